/*
 * fairness - simulates the decision code of seven entries
 *
 * Measures deviation from the fair share, utilization and control traffic in
 * virtual time, with a simulated store and network. Each of six teams, two of
 * them with large shares, sends five times its mean rate or a twentieth
 * of it, chosen at random for each phase of 4 to 15 seconds. No team may ever
 * run more than its limit and no worker more than its slots. Modes compared:
 *	escrow	entries acquire units, lend them and follow brokers' advice
 *	static	each entry has a fixed part of every limit and worker
 *	owner	all requests of a team go to one entry
 */
#include <argtable2.h>
#include <assert.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/core.h"
#include "entry/entry_internal.h"
#include "process/share.h"

#define ENTRIES 7
#define WORKERS 10
#define SLOTS 8 /* of each worker */
#define TEAMS 6
#define CAPACITY (WORKERS * SLOTS)
#define HOLD_MEAN_MS 200 /* mean run time of a request */
#define WAIT_MAX_MS 12000
#define SHARDS 2
#define PEER_LATENCY_MS 2
#define STORE_ROUND_TRIP_MS 5
#define WARMUP_MS 2000 /* start of a phase that is not measured */
#define PHASE_MIN_MS 4000
#define PHASE_RANGE_MS 11000
#define EVENT_RING_MS 65536  /* events lie less than this ahead */
#define SHARE_ERROR_MAX 0.05 /* relative deviation from the fair share */
#define BUSY_MIN 0.97	     /* part of the slots or units that are usable */
#define BYTES_MAX_PER_S 6000 /* messages to and from one entry */

enum mode { MODE_ESCROW, MODE_STATIC, MODE_OWNER };

enum event_kind { EVENT_END, EVENT_MESSAGE, EVENT_WRITE };

struct event {
	struct event *next;
	enum event_kind kind;
	uint32_t entry; /* receiver */
	uint64_t from;
	struct job *job;
	struct core_message message;
	uint32_t shard;
	struct ledger_row *row;
	uint64_t row_version;
};

struct sim;

struct sim_entry {
	struct sim *sim;
	uint32_t index;
	struct core *core;
	struct entry frames; /* context to pack messages in, for their size */
	uint64_t bytes;
	bool dead;
};

struct team {
	double rate; /* mean, requests per millisecond */
	bool high_demand;
	double pending_arrivals; /* due but not submitted, with a fraction */
	uint32_t share;
	uint32_t limit;
	uint32_t running;
	uint32_t waiting;
	/* Since the end of the interval's warm-up */
	double slot_ms;	  /* slots used, summed over the milliseconds */
	double requested; /* running or waiting at that end, or arrived */
	bool backlogged;  /* some request has waited all the time */
};

struct sim {
	TALLOC_CTX *ctx;
	enum mode mode;
	bool skewed; /* callers use entries 0 and 1 only, by their team */
	uint64_t random;
	uint64_t now;
	struct sim_entry entries[ENTRIES];
	struct team teams[TEAMS];
	uint32_t workers[WORKERS]; /* requests running on each */
	struct event *ring[EVENT_RING_MS];
	struct event **ring_tail[EVENT_RING_MS];
	struct cfg_names *names;
	struct ledger_row *rows[SHARDS];
	uint64_t revision;
	uint64_t interval_start;
	uint64_t phase_ends_ms;
	bool store_out;
	/* Results */
	double worst_error; /* relative deviation from the fair share */
	double sum_error;
	uint32_t error_count;
	double busy_slot_ms; /* while a team below its limit has waiting work */
	double usable_slot_ms; /* of all slots, in the same milliseconds */
	uint64_t refused;
	uint64_t ended;
};

static double uniform(struct sim *s)
{
	s->random ^= s->random << 13;
	s->random ^= s->random >> 7;
	s->random ^= s->random << 17;
	return (double)(s->random >> 11) / 9007199254740992.0;
}

/* Events */

static struct event *add_event(struct sim *s, uint64_t delay,
			       enum event_kind kind, uint32_t entry)
{
	struct event *e = calloc(1, sizeof(*e));
	uint64_t slot = (s->now + delay) % EVENT_RING_MS;

	assert(delay > 0 && delay < EVENT_RING_MS);
	e->kind = kind;
	e->entry = entry;
	if (!s->ring[slot])
		s->ring_tail[slot] = &s->ring[slot];
	*s->ring_tail[slot] = e;
	s->ring_tail[slot] = &e->next;
	return e;
}

/* The core's callbacks */

static void on_start(void *arg, struct job *job)
{
	struct sim_entry *n = arg;
	struct sim *s = n->sim;
	struct team *t = &s->teams[job->team.i];
	uint64_t hold = 1 + (uint64_t)(uniform(s) * 2 * HOLD_MEAN_MS);

	t->running++;
	s->workers[job->instance.i]++;
	if (t->running > t->limit || s->workers[job->instance.i] > SLOTS) {
		printf("violation at %" PRIu64 " ms: team %u runs %u of %u\n",
		       s->now, job->team.i, t->running, t->limit);
		exit(1);
	}
	add_event(s, hold, EVENT_END, n->index)->job = job;
}

static void on_refuse(void *arg, struct job *job, enum job_refusal refusal)
{
	struct sim_entry *n = arg;

	n->sim->refused++;
	free(job);
}

static void copy_message(struct core_message *to, const struct core_message *m)
{
	*to = *m;
	if (m->kind == CORE_DEMAND) {
		to->u.demand.teams = talloc_memdup(
			NULL, m->u.demand.teams,
			m->u.demand.team_count * sizeof(struct broker_team));
	} else if (m->kind == CORE_ADVICE) {
		to->u.advice.targets =
			talloc_memdup(NULL, m->u.advice.targets,
				      m->u.advice.target_count *
					      sizeof(struct broker_target));
		to->u.advice.transfers =
			talloc_memdup(NULL, m->u.advice.transfers,
				      m->u.advice.transfer_count *
					      sizeof(struct broker_transfer));
	}
}

static void free_message(struct core_message *m)
{
	if (m->kind == CORE_DEMAND) {
		talloc_free(m->u.demand.teams);
	} else if (m->kind == CORE_ADVICE) {
		talloc_free(m->u.advice.targets);
		talloc_free(m->u.advice.transfers);
	}
}

static void on_send(void *arg, uint64_t to, const struct core_message *m)
{
	struct sim_entry *n = arg;
	Jackdawwell__PeerFrame *frame = entry_pack_message(&n->frames, m);
	size_t bytes = jackdawwell__peer_frame__get_packed_size(frame) + 4;
	struct event *e;

	jackdawwell__peer_frame__free_unpacked(frame, NULL);
	n->bytes += bytes;
	n->sim->entries[to - 1].bytes += bytes;
	e = add_event(n->sim, PEER_LATENCY_MS, EVENT_MESSAGE, (uint32_t)to - 1);
	e->from = n->index + 1;
	copy_message(&e->message, m);
}

static void on_write(void *arg, uint32_t shard, const struct ledger_cas *cas)
{
	struct sim_entry *n = arg;
	struct event *e =
		add_event(n->sim, STORE_ROUND_TRIP_MS, EVENT_WRITE, n->index);

	e->shard = shard;
	e->row = ledger_row_copy(NULL, cas->row);
	e->row_version = cas->row_version;
}

static void finish_write(struct sim *s, struct sim_entry *n, struct event *e)
{
	struct ledger_row **row = &s->rows[e->shard];
	uint32_t i;

	if (s->store_out) {
		core_finish_cas(n->core, e->shard, LEDGER_CAS_CONFLICT, 0,
				s->now);
	} else if (s->mode != MODE_STATIC &&
		   (*row)->version != e->row_version) {
		core_finish_cas(n->core, e->shard, LEDGER_CAS_CONFLICT, 0,
				s->now);
		core_set_row(n->core, e->shard, *row, s->now);
	} else {
		talloc_free(*row);
		*row = ledger_row_copy(s->ctx, e->row);
		(*row)->version = ++s->revision;
		core_finish_cas(n->core, e->shard, LEDGER_CAS_DONE, s->revision,
				s->now);
		/* Entries read rows written in the first 50 ms of a second. */
		for (i = 0; i < ENTRIES && s->mode != MODE_STATIC; i++)
			if (!s->entries[i].dead && s->now % 1000 < 50)
				core_set_row(s->entries[i].core, e->shard, *row,
					     s->now);
	}
	talloc_free(e->row);
}

static void finish_job(struct sim *s, struct sim_entry *n, struct job *job)
{
	s->teams[job->team.i].running--;
	s->workers[job->instance.i]--;
	s->ended++;
	if (!n->dead)
		core_end_attempt(n->core, job, JOB_ENDED, s->now);
	free(job);
}

static void run_events(struct sim *s)
{
	uint64_t slot = s->now % EVENT_RING_MS;
	struct event *e;

	while ((e = s->ring[slot])) {
		struct sim_entry *n = &s->entries[e->entry];

		s->ring[slot] = e->next;
		if (e->kind == EVENT_END)
			finish_job(s, n, e->job);
		else if (e->kind == EVENT_MESSAGE && !n->dead)
			core_receive(n->core, e->from, &e->message, s->now);
		else if (e->kind == EVENT_WRITE && !n->dead)
			finish_write(s, n, e);
		if (e->kind == EVENT_MESSAGE)
			free_message(&e->message);
		free(e);
	}
}

/* Demand */

static void submit_request(struct sim *s, uint32_t team)
{
	struct job *job = calloc(1, sizeof(*job));
	uint32_t entry = (uint32_t)(uniform(s) * ENTRIES);
	enum job_refusal refusal;

	if (s->skewed)
		entry = team % 2;
	if (s->mode == MODE_OWNER)
		entry = team % ENTRIES;
	if (s->entries[entry].dead)
		entry = (entry + 1) % ENTRIES;
	job->team.i = team;
	job->run_max_ms = 60000;
	job->arrived_ms = s->now;
	job->deadline_ms = s->now + WAIT_MAX_MS;
	job->checked_version = 1;
	if (!core_submit(s->entries[entry].core, job, s->now, &refusal)) {
		s->refused++;
		free(job);
	}
}

/* Chooses the teams, two at least, with high demand in the next phase. */
static void start_phase(struct sim *s)
{
	uint32_t high_count = 0;
	uint32_t i;

	while (high_count < 2)
		for (i = 0, high_count = 0; i < TEAMS; i++) {
			s->teams[i].high_demand = uniform(s) < 0.5;
			high_count += s->teams[i].high_demand;
		}
	s->phase_ends_ms =
		s->now + PHASE_MIN_MS + (uint64_t)(uniform(s) * PHASE_RANGE_MS);
}

/* Returns true if a phase has ended; deviation is measured per phase. */
static bool generate_demand(struct sim *s)
{
	bool phase_ended = s->now >= s->phase_ends_ms;
	uint32_t i;

	if (phase_ended)
		start_phase(s);
	for (i = 0; i < TEAMS; i++) {
		struct team *t = &s->teams[i];

		t->pending_arrivals += t->rate * (t->high_demand ? 5.0 : 0.05);
		while (t->pending_arrivals >= 1.0) {
			t->pending_arrivals -= 1.0;
			t->requested += 1.0;
			submit_request(s, i);
		}
	}
	return phase_ended;
}

/* Measurement */

static void count_waiting(struct sim *s)
{
	uint32_t i;
	uint32_t k;
	uint32_t waiting;
	uint32_t running;

	for (i = 0; i < TEAMS; i++) {
		s->teams[i].waiting = 0;
		for (k = 0; k < ENTRIES; k++) {
			if (s->entries[k].dead)
				continue;
			core_team_load(s->entries[k].core, (pool_handle){ 0 },
				       (team_handle){ i }, &waiting, &running);
			s->teams[i].waiting += waiting;
		}
	}
}

static void sample(struct sim *s)
{
	bool work_waits = false;
	uint32_t busy = 0;
	uint32_t i;

	count_waiting(s);
	for (i = 0; i < TEAMS; i++) {
		struct team *t = &s->teams[i];

		busy += t->running;
		if (t->waiting && t->running < t->limit)
			work_waits = true;
		if (s->now < s->interval_start + WARMUP_MS)
			continue;
		if (s->now == s->interval_start + WARMUP_MS)
			t->requested = t->running + t->waiting;
		t->slot_ms += t->running;
		if (!t->waiting)
			t->backlogged = false;
	}
	if (work_waits && s->now > WARMUP_MS) {
		s->busy_slot_ms += busy;
		s->usable_slot_ms += CAPACITY;
	}
}

/*
 * Slots that a team could use on average, in an interval of `ms`: as many as
 * its requests need, at most its limit. If it was not backlogged, it used what
 * it needed.
 */
static double demand_of(const struct team *t, double ms)
{
	double requested = t->requested * HOLD_MEAN_MS / ms;

	if (!t->backlogged)
		return t->slot_ms / ms;
	return requested < t->limit ? requested : t->limit;
}

static void record_errors(struct sim *s)
{
	struct share_claim claims[TEAMS];
	double ms = (double)(s->now - s->interval_start - WARMUP_MS);
	uint32_t i;

	for (i = 0; i < TEAMS; i++) {
		struct team *t = &s->teams[i];

		claims[i].weight = t->share;
		claims[i].demand = demand_of(t, ms);
	}
	share_divide(claims, TEAMS, CAPACITY);
	for (i = 0; i < TEAMS; i++) {
		struct team *t = &s->teams[i];
		double error;

		if (!t->backlogged)
			continue;
		error = fabs(t->slot_ms / ms - claims[i].allocated) /
			claims[i].allocated;
		if (error > s->worst_error)
			s->worst_error = error;
		s->sum_error += error;
		s->error_count++;
	}
}

static void start_interval(struct sim *s)
{
	uint32_t i;

	if (s->interval_start && s->now >= s->interval_start + PHASE_MIN_MS)
		record_errors(s);
	s->interval_start = s->now;
	for (i = 0; i < TEAMS; i++) {
		s->teams[i].slot_ms = 0;
		s->teams[i].backlogged = true;
	}
}

/* Set-up */

static json_t *instances_json(uint32_t slots, uint32_t entry)
{
	json_t *all = json_object();
	char name[16];
	uint32_t i;

	for (i = 0; i < WORKERS; i++) {
		uint32_t extra_slot = (i + entry) % ENTRIES == 0;

		snprintf(name, sizeof(name), "w%u", i);
		json_object_set_new(all, name,
				    json_pack("{s:s, s:s, s:s, s:s, s:i}",
					      "address", "x", "pool", "p",
					      "zone", "z", "rack", "r", "slots",
					      (int)(slots + extra_slot)));
	}
	return all;
}

static json_t *teams_json(const struct sim *s, uint32_t divisor)
{
	json_t *all = json_object();
	char name[16];
	uint32_t i;

	for (i = 0; i < TEAMS; i++) {
		snprintf(name, sizeof(name), "t%u", i);
		json_object_set_new(
			all, name,
			json_pack("{s:i, s:i}", "share", (int)s->teams[i].share,
				  "limit", (int)(s->teams[i].limit / divisor)));
	}
	return all;
}

static struct cfg *make_cfg(struct sim *s, uint32_t entry)
{
	bool is_static = s->mode == MODE_STATIC;
	struct cfg *empty = cfg_empty(s->names);
	struct status_message m;
	struct cfg *cfg = NULL;
	json_t *change =
		json_pack("{s:{s:{s:s}}, s:o, s:o}", "pools", "p", "service",
			  "s", "instances",
			  is_static ? instances_json(1, entry)
				    : instances_json(SLOTS, 99),
			  "teams", teams_json(s, is_static ? ENTRIES : 1));
	json_t *w;
	const char *name;

	if (!is_static)
		json_object_foreach(json_object_get(change, "instances"), name,
				    w)
			json_object_set_new(w, "slots", json_integer(SLOTS));
	if (cfg_apply(empty, s->names, change, 1, &cfg, &m) != CFG_OK) {
		printf("%s\n", m.text);
		exit(1);
	}
	json_decref(change);
	cfg_unref(empty);
	return cfg;
}

static void make_entry(struct sim *s, uint32_t i)
{
	static const uint64_t ids[ENTRIES] = { 1, 2, 3, 4, 5, 6, 7 };
	struct ledger_members members = { 1, ENTRIES, ids };
	struct sim_entry *n = &s->entries[i];
	struct core_options options = {
		.incarnation = i + 1,
		.shard_count = SHARDS,
		.waiting_max = 1000000,
		.waiting_bytes = UINT64_MAX / 2,
		.random = i,
		.advice = s->mode != MODE_STATIC,
		.callbacks = { on_start, on_refuse, on_send, on_write, n },
	};
	struct ledger_row empty = { .version = 0 };
	struct cfg *cfg = make_cfg(s, i);
	uint32_t k;

	if (s->mode == MODE_STATIC)
		members.count = 1;
	n->sim = s;
	n->index = i;
	n->core = core_new(s->ctx, &options);
	n->frames.names = s->names;
	n->frames.core = n->core;
	core_configure(n->core, cfg, 0);
	core_set_members(n->core, &members);
	for (k = 0; k < ENTRIES; k++)
		core_set_reachable(n->core, k + 1, true);
	core_set_fresh_until(n->core, UINT64_MAX);
	for (k = 0; k < SHARDS; k++)
		core_set_row(n->core, k, &empty, 0);
	cfg_unref(cfg);
}

static void set_up(struct sim *s, enum mode mode, bool skewed, uint64_t seed,
		   const uint32_t *limits)
{
	static const uint32_t shares[TEAMS] = { 4, 4, 1, 1, 1, 1 };
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->ctx = talloc_new(NULL);
	s->mode = mode;
	s->skewed = skewed;
	s->random = seed * 0x9e3779b97f4a7c15u + 12345;
	s->names = cfg_names_new(s->ctx);
	for (i = 0; i < TEAMS; i++) {
		struct team *t = &s->teams[i];

		t->share = shares[i];
		t->limit = limits[i];
		t->rate = (double)CAPACITY / HOLD_MEAN_MS * shares[i] / 12;
	}
	for (i = 0; i < SHARDS; i++)
		s->rows[i] = talloc_zero(s->ctx, struct ledger_row);
	for (i = 0; i < ENTRIES; i++)
		make_entry(s, i);
}

static void tick_all(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		if (!s->entries[i].dead && (s->now + i * 7) % CORE_TICK_MS == 0)
			core_tick(s->entries[i].core, s->now);
}

static void run(struct sim *s, uint64_t until)
{
	while (s->now < until) {
		s->now++;
		run_events(s);
		if (generate_demand(s))
			start_interval(s);
		tick_all(s);
		sample(s);
	}
}

static double bytes_per_s(const struct sim *s)
{
	uint64_t most = 0;
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		if (s->entries[i].bytes > most)
			most = s->entries[i].bytes;
	return (double)most * 1000.0 / (double)s->now;
}

/* Ledger row writes of all entries. */
static double writes_per_s(const struct sim *s)
{
	uint64_t writes = 0;
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		writes += core_counters(s->entries[i].core)->row_writes;
	return (double)writes * 1000.0 / (double)s->now;
}

static const uint32_t wide_limits[TEAMS] = { 80, 80, 80, 80, 80, 80 };

static int bench_mode(const char *name, enum mode mode, bool skewed,
		      uint64_t seconds, uint64_t seed, bool check_bounds)
{
	static struct sim s;
	double utilization;

	set_up(&s, mode, skewed, seed, wide_limits);
	run(&s, seconds * 1000);
	utilization = s.busy_slot_ms / s.usable_slot_ms;
	printf("%-7s %-6s worst %5.1f%% mean %4.1f%% over %3u, busy %5.1f%%, "
	       "%6.0f B/s, %.2f writes/s, %" PRIu64 " ended\n",
	       name, skewed ? "skewed" : "even", s.worst_error * 100,
	       s.sum_error / s.error_count * 100, s.error_count,
	       utilization * 100, bytes_per_s(&s), writes_per_s(&s), s.ended);
	if (check_bounds &&
	    (s.worst_error > SHARE_ERROR_MAX || utilization < BUSY_MIN ||
	     bytes_per_s(&s) > BYTES_MAX_PER_S)) {
		printf("out of bounds: wanted worst <= 5%%, busy >= 97%%, "
		       "<= 6000 B/s\n");
		return 1;
	}
	return 0;
}

/* Measures how much of a limit of 5 is used by 7 entries while 5 wait. */
static int bench_small_limit(enum mode mode, const char *name,
			     bool check_bounds)
{
	static const uint32_t limits[TEAMS] = { 5, 5, 5, 5, 5, 5 };
	static struct sim s;
	double used = 0;
	uint64_t ms = 0;
	uint32_t i;

	set_up(&s, mode, false, 5, limits);
	while (s.now < 40000) {
		run(&s, s.now + 1);
		for (i = 0; i < TEAMS; i++)
			if (s.now > WARMUP_MS &&
			    s.teams[i].waiting >= s.teams[i].limit) {
				used += s.teams[i].running;
				ms++;
			}
	}
	used = ms ? used / (double)ms / 5 : 0;
	printf("%-7s limit 5 over 7 entries: %5.1f%% used while 5 wait\n", name,
	       used * 100);
	if (check_bounds && used < BUSY_MIN) {
		printf("out of bounds: wanted >= 97%%\n");
		return 1;
	}
	return 0;
}

/*
 * An entry is killed while the store is unavailable: the other entries must
 * hold all slots but those that it held.
 */
static int bench_dead_entry(void)
{
	static struct sim s;
	struct ledger_domain_view view;
	domain_handle d;
	int64_t held = 0;
	int64_t dead_held = 0;
	uint32_t i;

	set_up(&s, MODE_ESCROW, false, 7, wide_limits);
	run(&s, 20000);
	s.store_out = true;
	s.entries[3].dead = true;
	for (i = 0; i < ENTRIES; i++)
		core_set_reachable(s.entries[i].core, 4, false);
	run(&s, 40000);
	for (i = 0; i < ENTRIES; i++)
		for (d.i = 0;
		     d.i < ledger_domain_count(core_ledger(s.entries[i].core));
		     d.i++) {
			struct ledger *l = core_ledger(s.entries[i].core);

			if (ledger_domain_name(l, d)[0] != 'w')
				continue;
			ledger_view(l, d, &view);
			if (i == 3)
				dead_held += view.held;
			else
				held += view.held;
		}
	printf("one entry dead, store out: %" PRId64 " of %d slots idle, the "
	       "dead one held %" PRId64 "\n",
	       CAPACITY - held, CAPACITY, dead_held);
	return CAPACITY - held > dead_held;
}

int main(int argc, char **argv)
{
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "S", "virtual time");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "first seed");
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "number of seeds");
	struct arg_lit *brief = arg_lit0(NULL, "brief", "one escrow run");
	struct arg_end *end = arg_end(4);
	void *table[] = { seconds, seed, seeds, brief, end };
	int failed = 0;
	int i;

	seconds->ival[0] = 120;
	seed->ival[0] = 1;
	seeds->ival[0] = 5;
	if (arg_parse(argc, argv, table))
		return 2;
	if (brief->count)
		return bench_mode("escrow", MODE_ESCROW, false,
				  (uint64_t)seconds->ival[0],
				  (uint64_t)seed->ival[0], false);
	for (i = 0; i < seeds->ival[0]; i++) {
		uint64_t n = (uint64_t)(seed->ival[0] + i);
		uint64_t time = (uint64_t)seconds->ival[0];

		failed |=
			bench_mode("escrow", MODE_ESCROW, false, time, n, true);
		failed |=
			bench_mode("escrow", MODE_ESCROW, true, time, n, true);
	}
	bench_mode("static", MODE_STATIC, false, 120, 1, false);
	bench_mode("static", MODE_STATIC, true, 120, 1, false);
	bench_mode("owner", MODE_OWNER, false, 120, 1, false);
	failed |= bench_small_limit(MODE_ESCROW, "escrow", true);
	bench_small_limit(MODE_STATIC, "static", false);
	failed |= bench_dead_entry();
	return failed;
}
