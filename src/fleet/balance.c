/*
 * balance - moves of machines between pools
 *
 * Designed for queues that by turns demand several times the capacity of their
 * pool for some seconds, and a fraction of it in between. A pool whose waiting
 * work would take too long gets powered-off machines first, then machines that
 * other pools do not need. Work that a trusted forecast expects within the time
 * of a move counts as demand. Machines that stay idle are moved to the spare
 * pool and powered off, since each second of a machine in a pool is paid for.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_internal.h"

#define BALANCE_INTERVAL_MS 100u  /* between two planning passes */
#define BACKLOG_TARGET_MS 250u	  /* goal for a pool to do its waiting work */
#define DONOR_UTILIZATION_MAX 0.7 /* of a pool after it gave machines away */
/*
 * Machines that a donor pool keeps for jobs that may come, unless another pool
 * has a backlog for longer than a move
 */
#define POOL_MACHINES_MIN 2u
#define ARRIVED_MS 1000u /* from a machine's return to its instance's entry */
#define DRAIN_TIMEOUT_MS 2000u /* of a busy machine; then it stays */
/*
 * Longest time for which a machine with an open order counts as coming. A list
 * that shows its outcome is read 300 ms after the order, if one can be read.
 */
#define OPEN_ORDER_MS 1000u
/* A machine whose move was given up is chosen after others for this long */
#define GIVEN_UP_MS 10000u
#define IDLE_BEFORE_OFF_MS 1000u  /* idle time before power-off */
#define IDLE_TRUSTED_MS 300u	  /* same, by a fully trusted forecast */
#define IDLE_PAYS_MS 1500u	  /* idle time that costs less than two moves */
#define MOVE_MARGIN_MS 500u	  /* added to the time of a move */
#define MOVE_COOLDOWN_MS 1500u	  /* between two moves of the same machine */
#define MACHINE_CPU_DEFAULT 16000 /* millicores, if a pool has no instance */
/* Highest ratio of a pool's demand to the CPU that its tasks use or wait for */
#define HEADROOM_FACTOR 4.0
/* Machines beyond those that the spread of a long-running step needs */
#define SPREAD_RESERVE 1u
/*
 * Utilization of the machines that are kept for expected work. 0.8 cost 6% more
 * and had 0.001 more of the jobs in time (bench/forecast).
 */
#define FORECAST_UTILIZATION 0.9

/* A machine that its pool may give away. */
struct donor_machine {
	struct machine *machine;
	uint64_t given_up_ms; /* when its last move was, lately; 0: it wasn't */
	int64_t used_cpu;
	bool idle;
};

struct pool_balance {
	const char *name;
	bool spare;
	struct sched_pool_load load;
	uint32_t incoming;   /* machines that are being moved to it */
	uint32_t outgoing;   /* machines that drain to leave it */
	uint32_t moved_in;   /* of incoming ones, those of this pass */
	uint32_t arrived;    /* came within ARRIVED_MS */
	int64_t machine_cpu; /* mean capacity of its machines, in millicores */
	uint32_t lacking;    /* machines, for long-running tasks that wait */
	/* more of them, for those that drains want to stop */
	uint32_t places_lacking;
	int64_t deficit;	/* CPU that it lacks, in millicores */
	int64_t coming_deficit; /* CPU that it will lack besides */
	int64_t surplus;	/* CPU that it can give away, in millicores */
	/* Of the forecast, scaled by its trust */
	double trust;
	int64_t coming_cpu; /* that it needs within the time of a move */
	int64_t kept_cpu;   /* that it needs before powering off pays */
	int64_t lacked;	    /* its deficit before any move of this pass */
	bool denied;	    /* no pool could give it a machine */
	bool no_machine;    /* same, for its long-running tasks */
	bool places_tried;  /* in this pass */
	bool places_paused; /* machines that came for drains did not help */
	struct donor_machine *machines; /* NULL: not listed in this pass */
	uint32_t machine_count;
	uint32_t machines_taken;
	bool exhausted; /* none of them is left */
};

struct balance {
	struct pool_balance pools[FLEET_POOLS_MAX];
	uint32_t pool_count;
};

static struct pool_balance *balance_of(struct balance *b, const char *name)
{
	uint32_t i;

	for (i = 0; i < b->pool_count; i++)
		if (!strcmp(b->pools[i].name, name))
			return &b->pools[i];
	return NULL;
}

static bool may_not_come(const struct machine *m, uint64_t now)
{
	return m->evacuated /* it adds no capacity */ ||
	       (m->phase == PHASE_UNCERTAIN &&
		now - m->phase_since_ms > OPEN_ORDER_MS);
}

static void count_moving(struct fleet *f, struct balance *b, uint64_t now)
{
	struct machine *m;

	for (m = f->machines; m; m = m->hh.next) {
		struct pool_balance *to, *from;

		if (m->phase == PHASE_NONE && m->pool_since_ms &&
		    now - m->pool_since_ms < ARRIVED_MS) {
			to = balance_of(b, m->pool);
			if (to)
				to->arrived++;
		}
		if (m->wave || m->phase == PHASE_NONE)
			continue;
		to = balance_of(b, m->target_pool);
		from = balance_of(b, m->pool);
		if (to && !may_not_come(m, now))
			to->incoming++;
		if (from && m->phase == PHASE_DRAINING)
			from->outgoing++;
	}
}

static uint32_t lacks(uint32_t wanted, uint32_t incoming)
{
	return wanted > incoming ? wanted - incoming : 0;
}

/*
 * Demand for memory or for accelerators. Long-running tasks don't give theirs
 * back, so only the room that they leave counts.
 */
struct room_demand {
	int64_t machine; /* mean of the pool's machines; 0: they have none */
	int64_t room;
	int64_t coming;	 /* on machines that are being moved to the pool */
	int64_t used;	 /* of room */
	int64_t waiting; /* requested by tasks that may start */
	int64_t work;	 /* of these, x ms */
};

#define ROOM_DEMANDS 2u

static void set_room(const struct pool_balance *v, struct room_demand *d,
		     int64_t capacity, int64_t lasting)
{
	d->machine = v->load.instances ? capacity / v->load.instances : 0;
	d->room = capacity - lasting;
	d->coming = d->machine * (v->incoming + v->moved_in);
}

static void room_demands(const struct pool_balance *v,
			 struct room_demand *demands)
{
	const struct sched_pool_load *l = &v->load;

	demands[0].used = l->used.mem - l->lasting.mem;
	demands[0].waiting = l->allowed.mem;
	demands[0].work = l->allowed_work.mem;
	set_room(v, &demands[0], l->capacity.mem, l->lasting.mem);
	demands[1].used = l->used.gpu - l->lasting.gpu;
	demands[1].waiting = l->allowed.gpu;
	demands[1].work = l->allowed_work.gpu;
	set_room(v, &demands[1], l->capacity.gpu, l->lasting.gpu);
}

static int64_t min_int64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t max_int64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Returns the CPU of the machines that have so much of a resource. */
static int64_t machines_cpu(const struct pool_balance *v, int64_t amount,
			    int64_t machine)
{
	return (int64_t)((double)amount / (double)machine *
			 (double)v->machine_cpu);
}

/*
 * Returns the CPU of the machines that it lacks for memory or accelerators, and
 * no more than what waits takes: unlike CPU, it can't be used up faster.
 */
static int64_t room_deficit(const struct pool_balance *v)
{
	struct room_demand demands[ROOM_DEMANDS];
	int64_t deficit = 0;
	uint32_t n;

	room_demands(v, demands);
	for (n = 0; n < ROOM_DEMANDS; n++) {
		const struct room_demand *d = &demands[n];
		int64_t needed = min_int64(d->work / BACKLOG_TARGET_MS,
					   d->used + d->waiting);

		if (d->machine)
			deficit = max_int64(
				deficit,
				machines_cpu(v, needed - d->room - d->coming,
					     d->machine));
	}
	return deficit;
}

/* Limits a surplus of CPU to the machines that are not kept for either. */
static int64_t limit_surplus(const struct pool_balance *v, int64_t surplus)
{
	struct room_demand demands[ROOM_DEMANDS];
	uint32_t n;

	room_demands(v, demands);
	for (n = 0; n < ROOM_DEMANDS; n++) {
		const struct room_demand *d = &demands[n];
		int64_t kept = (int64_t)((double)(d->used + d->waiting) /
					 DONOR_UTILIZATION_MAX);

		if (d->machine && kept)
			surplus = min_int64(
				surplus,
				machines_cpu(v, d->room - kept, d->machine));
	}
	return surplus;
}

static void compute_demand(struct pool_balance *v)
{
	const struct sched_pool_load *l = &v->load;
	int64_t capacity = l->capacity.cpu + v->incoming * v->machine_cpu;
	int64_t needed_cpu = (int64_t)(l->waiting_work / BACKLOG_TARGET_MS);
	int64_t busy_cpu = l->used.cpu + l->waiting.cpu;
	uint32_t machines = l->instances + v->incoming;
	int64_t limit_cpu = (int64_t)(HEADROOM_FACTOR * (double)busy_cpu);

	/*
	 * A few long tasks are much work, but use no more CPU than they
	 * request. The limit is a multiple of that, since more work may arrive
	 * during the moves.
	 */
	if (needed_cpu > limit_cpu)
		needed_cpu = limit_cpu;
	v->deficit = needed_cpu > capacity ? needed_cpu - capacity : 0;
	if (needed_cpu < v->coming_cpu)
		needed_cpu = v->coming_cpu;
	v->coming_deficit =
		needed_cpu > capacity ? needed_cpu - capacity - v->deficit : 0;
	v->deficit = max_int64(v->deficit, room_deficit(v));
	if (machines < v->load.spread + SPREAD_RESERVE && v->load.spread)
		v->deficit += v->machine_cpu *
			      (v->load.spread + SPREAD_RESERVE - machines);
	v->lacking = lacks(v->load.long_running_machines, v->incoming);
	v->places_lacking =
		lacks(v->load.long_running_machines + v->load.place_machines,
		      v->incoming) -
		v->lacking;
	v->deficit += v->machine_cpu * (v->lacking + v->places_lacking);
	v->surplus = 0;
	if (!v->deficit && !v->coming_deficit && !l->stranded) {
		int64_t kept =
			(int64_t)((double)busy_cpu / DONOR_UTILIZATION_MAX);

		if (kept < v->kept_cpu)
			kept = v->kept_cpu;
		v->surplus = limit_surplus(v, l->capacity.cpu - kept);
	}
}

/* Sets what the forecast, as far as it is trusted, adds to a pool's demand. */
static void apply_forecast(const struct fleet *f, struct pool_balance *v,
			   uint64_t now)
{
	double trust_max = f->options.forecast_trust_max / 100.0;
	uint64_t arrival_ms = now + f->options.move_ms + MOVE_MARGIN_MS;
	double share;

	v->trust = forecast_trust(f->forecast, v->name);
	if (v->trust > trust_max)
		v->trust = trust_max;
	if (v->trust <= 0)
		return;
	share = v->trust / FORECAST_UTILIZATION;
	v->coming_cpu = (int64_t)(share * forecast_peak(f->forecast, v->name,
							now, arrival_ms));
	v->kept_cpu =
		(int64_t)(share * forecast_peak(f->forecast, v->name, now,
						arrival_ms + IDLE_PAYS_MS));
}

static uint32_t max_uint32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* Returns the number of machines that the pool does not give away. */
static uint32_t min_machines(const struct pool_balance *v, uint32_t least)
{
	uint32_t spread = v->load.spread ? v->load.spread + SPREAD_RESERVE : 0;

	return max_uint32(spread, least);
}

/*
 * Whether a machine that is moved to the pool now arrives before the pool, with
 * those it has and gets, has done the work that waits.
 */
static bool backlog_outlasts_move(const struct fleet *f,
				  const struct pool_balance *v)
{
	const uint32_t ms = f->options.move_ms + MOVE_MARGIN_MS;
	uint32_t coming = v->incoming + v->moved_in;
	struct room_demand demands[ROOM_DEMANDS];
	bool outlasts = v->load.allowed_work.cpu >
			(v->load.capacity.cpu + coming * v->machine_cpu) * ms;
	uint32_t n;

	room_demands(v, demands);
	for (n = 0; n < ROOM_DEMANDS; n++)
		outlasts = outlasts ||
			   (demands[n].machine &&
			    demands[n].work >
				    (demands[n].room + demands[n].coming) * ms);
	return outlasts;
}

static void assess_pools(struct fleet *f, const struct sched *s, uint64_t now)
{
	struct balance *b = f->balance;
	uint32_t i;

	b->pool_count = 0;
	for (i = 0; i < f->config->pool_count && i < FLEET_POOLS_MAX; i++) {
		struct pool_balance *v = &b->pools[b->pool_count++];

		memset(v, 0, sizeof(*v));
		v->name = f->config->pools[i].name;
		v->spare = f->config->pools[i].spare;
		sched_pool_load(s, v->name, &v->load);
		v->places_paused = v->load.places_barred ||
				   demand_places_paused(f, v->name, now);
		if (v->places_paused)
			v->load.place_machines = 0;
		v->machine_cpu = v->load.instances ? v->load.capacity.cpu /
							     v->load.instances
						   : MACHINE_CPU_DEFAULT;
		if (f->forecast && !v->spare) {
			forecast_observe(f->forecast, v->name,
					 v->load.arrived_work, now);
			apply_forecast(f, v, now);
		}
	}
	if (f->forecast)
		forecast_update(f->forecast, now);
	count_moving(f, b, now);
	for (i = 0; i < b->pool_count; i++) {
		compute_demand(&b->pools[i]);
		b->pools[i].lacked = b->pools[i].deficit;
	}
}

/* A machine of an evacuated zone strengthens no pool, and stays until then. */
static bool machine_is_movable(const struct machine *m, uint64_t now)
{
	return m->listed && m->phase == PHASE_NONE && m->state == FLEET_UP &&
	       !m->evacuated && now - m->pool_since_ms >= MOVE_COOLDOWN_MS;
}

bool balance_given_up(const struct machine *m, uint64_t now)
{
	return m->given_up_ms && now - m->given_up_ms < GIVEN_UP_MS;
}

static int by_given_up_and_used(const void *a, const void *b)
{
	const struct donor_machine *x = a;
	const struct donor_machine *y = b;

	if (x->given_up_ms != y->given_up_ms)
		return x->given_up_ms < y->given_up_ms ? -1 : 1;
	return x->used_cpu < y->used_cpu ? -1 : x->used_cpu > y->used_cpu;
}

/*
 * Lists the machines that the pool may give away, the least used first, but
 * those last whose move was given up lately: what kept them may last, and
 * others may be idle sooner. A spare one of them stays: nothing runs on it, so
 * the platform doesn't move it.
 */
static void list_machines(struct fleet *f, const struct sched *s,
			  struct pool_balance *from, uint64_t now)
{
	struct machine *m;

	from->machines = talloc_array(f->balance, struct donor_machine,
				      HASH_COUNT(f->machines));
	assert(from->machines);
	from->machine_count = from->machines_taken = 0;
	for (m = f->machines; m; m = m->hh.next) {
		struct sched_instance_load load = { 0 };
		bool given_up = balance_given_up(m, now);

		if (strcmp(m->pool, from->name) || !machine_is_movable(m, now))
			continue;
		if (from->spare && given_up)
			continue;
		if (!from->spare &&
		    (!sched_machine_load(s, m->name, &load) || !load.usable ||
		     load.unreported || load.long_running || load.fillers ||
		     load.held))
			continue;
		from->machines[from->machine_count++] =
			(struct donor_machine){ m,
						given_up ? m->given_up_ms : 0,
						load.used.cpu, !load.runs };
	}
	qsort(from->machines, from->machine_count, sizeof(*from->machines),
	      by_given_up_and_used);
}

static struct machine *pick_machine(struct fleet *f, const struct sched *s,
				    struct pool_balance *from, bool idle,
				    uint64_t now)
{
	if (!from->machines)
		list_machines(f, s, from, now);
	if (from->machines_taken == from->machine_count ||
	    (idle && !from->machines[from->machines_taken].idle))
		return NULL;
	return from->machines[from->machines_taken++].machine;
}

static void forget_machines(struct balance *b)
{
	uint32_t i;

	for (i = 0; i < b->pool_count; i++)
		TALLOC_FREE(b->pools[i].machines);
}

static void start_move(struct machine *m, const char *pool, struct sched *s,
		       uint64_t now)
{
	snprintf(m->target_pool, sizeof(m->target_pool), "%s", pool);
	m->wave = NULL;
	machine_drain(m, s, now);
}

/*
 * Returns the pool with the smallest deficit. If machines are too few for all
 * pools and the largest deficit went first, a pool at its demand peak would
 * take every machine, while each other pool needs only a few.
 */
static struct pool_balance *smallest_deficit(struct balance *b)
{
	struct pool_balance *best = NULL;
	uint32_t i;

	for (i = 0; i < b->pool_count; i++)
		if (b->pools[i].deficit > 0 && !b->pools[i].spare &&
		    (!best || b->pools[i].deficit < best->deficit))
			best = &b->pools[i];
	return best;
}

/*
 * Returns the pool to take a machine from: a spare pool if one is left, else
 * the one with the largest surplus.
 */
static struct pool_balance *donor_pool(const struct fleet *f,
				       const struct pool_balance *to)
{
	struct balance *b = f->balance;
	uint32_t least = backlog_outlasts_move(f, to) ? 1 : POOL_MACHINES_MIN;
	struct pool_balance *best = NULL;
	uint32_t i;

	for (i = 0; i < b->pool_count; i++) {
		struct pool_balance *v = &b->pools[i];

		if (v == to || v->deficit)
			continue;
		if (v->spare)
			return v;
		if (v->surplus < v->machine_cpu ||
		    v->load.instances <= min_machines(v, least))
			continue;
		if (!best || v->surplus > best->surplus)
			best = v;
	}
	return best;
}

static bool has_no_work(const struct sched_pool_load *l)
{
	return l->idle == l->instances && !l->waiting_work &&
	       !l->long_running_machines;
}

/*
 * Returns the pool with most idle machines, whatever it would keep for jobs
 * that may come, for a pool with tasks that can't run or are to be stopped. A
 * pool without work gives its last one too. It gets one back the same way, but
 * no machine is moved again within MOVE_COOLDOWN_MS.
 */
static struct pool_balance *idle_donor(struct balance *b,
				       const struct pool_balance *to)
{
	struct pool_balance *best = NULL;
	uint32_t i;

	for (i = 0; i < b->pool_count; i++) {
		struct pool_balance *v = &b->pools[i];
		uint32_t keeps =
			max_uint32(v->load.spread, !has_no_work(&v->load));

		if (v == to || v->spare || v->exhausted || v->lacking ||
		    v->load.stranded || v->load.instances <= keeps)
			continue;
		if (v->load.idle && (!best || v->load.idle > best->load.idle))
			best = v;
	}
	return best;
}

/*
 * Whether the pool is given machines for its waiting tasks alone: if it gave
 * one to another such pool, the two would only exchange them.
 */
static bool gets_machines_for_waiting(const struct pool_balance *v)
{
	const uint32_t coming = v->incoming + v->moved_in;

	return coming && coming <= v->load.long_running_machines;
}

/*
 * Returns the pool with most machines that run no long-running task, whatever
 * waits there: its backlog takes somewhat longer, while a long-running task
 * would not run at all. It keeps those that its own waiting tasks may take.
 */
static struct pool_balance *backlog_donor(struct balance *b,
					  const struct pool_balance *to)
{
	struct pool_balance *best = NULL;
	uint32_t i;

	for (i = 0; i < b->pool_count; i++) {
		struct pool_balance *v = &b->pools[i];
		uint32_t keeps = v->load.spread ? v->load.spread : 1;

		if (v == to || v->exhausted || v->load.instances <= keeps ||
		    gets_machines_for_waiting(v) ||
		    v->load.instances <=
			    v->load.pinned + v->load.long_running_machines)
			continue;
		if (!best || v->load.instances - v->load.pinned >
				     best->load.instances - best->load.pinned)
			best = v;
	}
	return best;
}

/*
 * despite_backlog: for tasks that can't run, so also from a pool that has a
 * deficit itself, idle machines first. Sets whether the pool gives only those.
 */
static struct pool_balance *next_donor(const struct fleet *f,
				       const struct pool_balance *to,
				       bool despite_backlog, bool *idle)
{
	struct pool_balance *from = donor_pool(f, to);

	*idle = false;
	if (!from && despite_backlog) {
		from = idle_donor(f->balance, to);
		*idle = from != NULL;
	}
	if (!from && despite_backlog)
		from = backlog_donor(f->balance, to);
	return from;
}

static bool move_one(struct fleet *f, struct sched *s, struct pool_balance *to,
		     bool despite_backlog, uint64_t now)
{
	struct pool_balance *from;
	struct machine *m;
	bool idle;

	while ((from = next_donor(f, to, despite_backlog, &idle))) {
		m = pick_machine(f, s, from, idle, now);
		if (!m && idle) {
			from->load.idle = 0;
			continue;
		}
		if (!m) {
			/* No machine of this pool can be moved now. */
			from->spare = false;
			from->surplus = 0;
			from->exhausted = true;
			continue;
		}
		start_move(m, to->name, s, now);
		from->surplus -= from->machine_cpu;
		if (from->load.instances)
			from->load.instances--;
		if (from->load.idle)
			from->load.idle--;
		to->deficit -= to->machine_cpu;
		to->moved_in++;
		return true;
	}
	to->denied = true;
	return false;
}

static const char *find_spare_pool(const struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->config->pool_count; i++)
		if (f->config->pools[i].spare)
			return f->config->pools[i].name;
	return NULL;
}

/* The more the forecast is trusted, the sooner it tells idle from needed. */
static uint64_t idle_before_off_ms(const struct pool_balance *v)
{
	return IDLE_BEFORE_OFF_MS -
	       (uint64_t)(v->trust * (IDLE_BEFORE_OFF_MS - IDLE_TRUSTED_MS));
}

/* Moves machines that were idle long enough to the spare pool. */
static void move_idle_off(struct fleet *f, struct sched *s, uint64_t now)
{
	const char *spare_name = find_spare_pool(f);
	struct machine *m;

	if (!spare_name)
		return;
	for (m = f->machines; m; m = m->hh.next) {
		struct pool_balance *v = balance_of(f->balance, m->pool);
		struct sched_instance_load load;

		if (!v || v->spare || !machine_is_movable(m, now) ||
		    !sched_machine_load(s, m->name, &load) || !load.usable ||
		    load.runs || load.held || load.unreported) {
			m->idle_since_ms = 0;
			continue;
		}
		if (!m->idle_since_ms)
			m->idle_since_ms = now;
		if (now - m->idle_since_ms < idle_before_off_ms(v) ||
		    v->surplus < v->machine_cpu ||
		    v->load.instances <= min_machines(v, POOL_MACHINES_MIN))
			continue;
		/* It stayed empty though drains wanted one. */
		if (v->load.place_machines)
			demand_pause_places(f, v->name, now);
		v->surplus -= v->machine_cpu;
		v->load.instances--;
		start_move(m, spare_name, s, now);
	}
}

static void cover_deficits(struct fleet *f, struct sched *s, uint64_t now)
{
	struct pool_balance *to;

	while ((to = smallest_deficit(f->balance)))
		if (!move_one(f, s, to, false, now))
			to->deficit = 0;
}

static struct pool_balance *smallest_lack(struct balance *b)
{
	struct pool_balance *best = NULL;
	uint32_t i;

	for (i = 0; i < b->pool_count; i++)
		if (b->pools[i].lacking && !b->pools[i].spare &&
		    (!best || b->pools[i].lacking < best->lacking))
			best = &b->pools[i];
	return best;
}

/* A pool gets a machine for its waiting tasks before others get any. */
static void cover_waiting(struct fleet *f, struct sched *s, uint64_t now)
{
	struct pool_balance *to;

	while ((to = smallest_lack(f->balance))) {
		if (!move_one(f, s, to, true, now)) {
			to->no_machine = true;
			to->lacking = 0;
			continue;
		}
		to->lacking--;
	}
}

/* Returns the pool that has been stranded for longest and gets no machine. */
static struct pool_balance *longest_stranded(const struct fleet *f,
					     uint64_t now)
{
	struct balance *b = f->balance;
	struct pool_balance *best = NULL;
	uint64_t longest_ms = 0;
	uint32_t i;

	for (i = 0; i < b->pool_count; i++) {
		struct pool_balance *v = &b->pools[i];
		uint64_t stranded_ms;

		if (!v->load.stranded || v->spare || v->denied || v->incoming ||
		    v->moved_in || v->arrived)
			continue;
		stranded_ms = demand_stranded_ms(f, v->name, now);
		if (best && stranded_ms <= longest_ms)
			continue;
		best = v;
		longest_ms = stranded_ms;
	}
	return best;
}

/*
 * A pool that can run nothing of what waits gets one machine before others get
 * more, however large their deficits are. Accepted jobs are to end within a few
 * seconds, so an idle machine is not kept from them for longer than a move
 * takes.
 */
static void cover_stranded(struct fleet *f, struct sched *s, uint64_t now)
{
	struct pool_balance *to;

	while ((to = longest_stranded(f, now)))
		move_one(f, s, to, true, now);
}

static bool wants_place(const struct pool_balance *v)
{
	return v->load.place_machines && !v->spare && !v->incoming &&
	       !v->moved_in && !v->load.long_running_machines &&
	       !v->places_tried;
}

/* In any other order one pool gets every machine while others get none. */
static struct pool_balance *longest_without_place(struct fleet *f, uint64_t now)
{
	struct pool_balance *best = NULL;
	uint64_t best_ms = 0;
	uint32_t i;

	for (i = 0; i < f->balance->pool_count; i++) {
		struct pool_balance *v = &f->balance->pools[i];
		uint64_t none_ms = demand_none_ms(f, v->name, now);

		if (!wants_place(v) || (best && none_ms <= best_ms))
			continue;
		best = v;
		best_ms = none_ms;
	}
	return best;
}

/*
 * With one machine more, a wave takes the others of the pool one after the
 * other, so a pool with a backlog gives no more than one.
 */
static void cover_places(struct fleet *f, struct sched *s, uint64_t now)
{
	struct pool_balance *to;
	uint32_t i;

	for (i = 0; i < f->balance->pool_count; i++)
		if (f->balance->pools[i].places_paused)
			f->balance->pools[i].no_machine = true;
	while ((to = longest_without_place(f, now))) {
		to->places_tried = true;
		to->no_machine = !move_one(f, s, to, true, now);
	}
}

/* What waits goes first: what is foreseen may not come. */
static void plan_moves(struct fleet *f, struct sched *s, uint64_t now)
{
	struct pool_balance *v;
	uint32_t i;

	if (!f->balance)
		f->balance = talloc_zero(f, struct balance);
	assert(f->balance);
	assess_pools(f, s, now);
	cover_waiting(f, s, now);
	cover_stranded(f, s, now);
	cover_deficits(f, s, now);
	cover_places(f, s, now);
	for (i = 0; i < f->balance->pool_count; i++) {
		v = &f->balance->pools[i];
		demand_note(f, v->name, &v->load, v->lacked, v->denied,
			    v->no_machine, now);
		/* Below 0: the last machine was more than it lacked. */
		v->deficit =
			v->coming_deficit + (v->deficit < 0 ? v->deficit : 0);
	}
	cover_deficits(f, s, now);
	forget_machines(f->balance);
	move_idle_off(f, s, now);
}

/*
 * A machine that takes too long to drain stays in its pool, and so does one
 * that its pool needs again, that the platform refuses to move or whose zone is
 * evacuated.
 */
bool balance_order(struct sched *s, struct machine *m, uint64_t now,
		   struct fleet_action *action)
{
	struct sched_instance_load load;

	bool known = sched_machine_load(s, m->name, &load);
	bool given_up = now - m->drain_since_ms > DRAIN_TIMEOUT_MS;

	if (given_up)
		m->given_up_ms = now;
	if (given_up || m->evacuated ||
	    (known && sched_has_place_for_waiting(s, load.instance))) {
		machine_release(m, s, now);
		return false;
	}
	if (known && (load.runs || load.unreported || load.ends_unwritten))
		return false;
	machine_order(m, s, now);
	action->kind = FLEET_ACTION_MOVE;
	snprintf(action->machine, sizeof(action->machine), "%s", m->name);
	snprintf(action->pool, sizeof(action->pool), "%s", m->target_pool);
	return true;
}

void balance_plan(struct fleet *f, struct sched *s, uint64_t now)
{
	if (!f->config || now < f->balance_due_ms)
		return;
	f->balance_due_ms = now + BALANCE_INTERVAL_MS;
	plan_moves(f, s, now);
}
