/*
 * fairness - nearness to share, utilization and control traffic of the
 * real decision code, in virtual time
 *
 * Seven cores with a fake table service and a fake network. Six teams, two
 * of them large, ask five times their mean or a twentieth of it in phases
 * of 4 to 15 seconds, drawn anew for each team and phase. After each step no
 *team may run more than its limit and no worker more than its slots. The ways
 *compared in one run: escrow	units drawn, lent and brokered
 *	static	each entry has a fixed part of every limit and worker
 *	owner	each team's requests all go to one entry
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
#define SLOTS 8
#define TEAMS 6
#define CAPACITY (WORKERS * SLOTS)
#define HOLD_MEAN_MS 200
#define WAIT_MAX_MS 12000
#define SHARDS 2
#define LATENCY_MS 2 /* between entries */
#define STORE_MS 5   /* to the table service and back */
#define LEAVE_OUT_MS 2000
#define PHASE_MIN_MS 4000
#define PHASE_MORE_MS 11000
#define EVENT_RING 65536 /* milliseconds */

enum way { WAY_ESCROW, WAY_STATIC, WAY_OWNER };

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

struct node {
	struct sim *sim;
	uint32_t index;
	struct core *core;
	struct entry frames; /* packs messages, to count their bytes */
	uint64_t bytes;
	bool dead;
};

struct team {
	double rate; /* mean, requests a millisecond */
	bool high;
	double owed; /* arrivals not yet made */
	uint32_t share;
	uint32_t limit;
	uint32_t running;
	uint32_t waiting;
	double slot_ms;	 /* in this interval */
	double asked;	 /* requests that waited or came in this interval */
	bool backlogged; /* all through this interval */
};

struct sim {
	TALLOC_CTX *ctx;
	enum way way;
	bool skewed; /* all callers reach one entry */
	uint64_t random;
	uint64_t now;
	struct node nodes[ENTRIES];
	struct team teams[TEAMS];
	uint32_t workers[WORKERS]; /* running */
	struct event *ring[EVENT_RING];
	struct event **ring_tail[EVENT_RING];
	struct cfg_names *names;
	struct ledger_row *rows[SHARDS];
	uint64_t revision;
	uint64_t interval_start;
	uint64_t phase_ends_ms;
	bool store_out;
	/* Results */
	double worst; /* departure from share, of one */
	double sum_error;
	uint32_t intervals;
	double busy_ms;
	double wanted_ms;
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

static struct event *event_at(struct sim *s, uint64_t delay,
			      enum event_kind kind, uint32_t entry)
{
	struct event *e = calloc(1, sizeof(*e));
	uint64_t slot = (s->now + delay) % EVENT_RING;

	assert(delay > 0 && delay < EVENT_RING);
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
	struct node *n = arg;
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
	event_at(s, hold, EVENT_END, n->index)->job = job;
}

static void on_refuse(void *arg, struct job *job, enum job_refusal why)
{
	struct node *n = arg;

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
	struct node *n = arg;
	Jackdawwell__PeerFrame *frame = entry_pack_message(&n->frames, m);
	size_t bytes = jackdawwell__peer_frame__get_packed_size(frame) + 4;
	struct event *e;

	jackdawwell__peer_frame__free_unpacked(frame, NULL);
	n->bytes += bytes;
	n->sim->nodes[to - 1].bytes += bytes;
	e = event_at(n->sim, LATENCY_MS, EVENT_MESSAGE, (uint32_t)to - 1);
	e->from = n->index + 1;
	copy_message(&e->message, m);
}

static void on_write(void *arg, uint32_t shard, const struct ledger_cas *cas)
{
	struct node *n = arg;
	struct event *e = event_at(n->sim, STORE_MS, EVENT_WRITE, n->index);

	e->shard = shard;
	e->row = ledger_row_copy(NULL, cas->row);
	e->row_version = cas->row_version;
}

static void run_write(struct sim *s, struct node *n, struct event *e)
{
	struct ledger_row **row = &s->rows[e->shard];
	uint32_t i;

	if (s->store_out) {
		core_finish_cas(n->core, e->shard, LEDGER_CAS_CONFLICT, 0,
				s->now);
	} else if (s->way != WAY_STATIC && (*row)->version != e->row_version) {
		core_finish_cas(n->core, e->shard, LEDGER_CAS_CONFLICT, 0,
				s->now);
		core_set_row(n->core, e->shard, *row, s->now);
	} else {
		talloc_free(*row);
		*row = ledger_row_copy(s->ctx, e->row);
		(*row)->version = ++s->revision;
		core_finish_cas(n->core, e->shard, LEDGER_CAS_DONE, s->revision,
				s->now);
		for (i = 0; i < ENTRIES && s->way != WAY_STATIC; i++)
			if (!s->nodes[i].dead && s->now % 1000 < 50)
				core_set_row(s->nodes[i].core, e->shard, *row,
					     s->now);
	}
	talloc_free(e->row);
}

static void run_end(struct sim *s, struct node *n, struct job *job)
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
	uint64_t slot = s->now % EVENT_RING;
	struct event *e;

	while ((e = s->ring[slot])) {
		struct node *n = &s->nodes[e->entry];

		s->ring[slot] = e->next;
		if (e->kind == EVENT_END)
			run_end(s, n, e->job);
		else if (e->kind == EVENT_MESSAGE && !n->dead)
			core_receive(n->core, e->from, &e->message, s->now);
		else if (e->kind == EVENT_WRITE && !n->dead)
			run_write(s, n, e);
		if (e->kind == EVENT_MESSAGE)
			free_message(&e->message);
		free(e);
	}
}

/* Demand */

static void arrive(struct sim *s, uint32_t team)
{
	struct job *job = calloc(1, sizeof(*job));
	uint32_t entry = (uint32_t)(uniform(s) * ENTRIES);
	enum job_refusal why;

	if (s->skewed)
		entry = team % 2;
	if (s->way == WAY_OWNER)
		entry = team % ENTRIES;
	if (s->nodes[entry].dead)
		entry = (entry + 1) % ENTRIES;
	job->team.i = team;
	job->run_max_ms = 60000;
	job->arrived_ms = s->now;
	job->deadline_ms = s->now + WAIT_MAX_MS;
	job->checked_version = 1;
	if (!core_submit(s->nodes[entry].core, job, s->now, &why)) {
		s->refused++;
		free(job);
	}
}

/* Draws who asks much in the next phase; two teams at least. */
static void start_phase(struct sim *s)
{
	uint32_t high = 0;
	uint32_t i;

	while (high < 2)
		for (i = 0, high = 0; i < TEAMS; i++) {
			s->teams[i].high = uniform(s) < 0.5;
			high += s->teams[i].high;
		}
	s->phase_ends_ms =
		s->now + PHASE_MIN_MS + (uint64_t)(uniform(s) * PHASE_MORE_MS);
}

/* True when a phase has ended, over which nearness is taken. */
static bool run_demand(struct sim *s)
{
	bool turned = s->now >= s->phase_ends_ms;
	uint32_t i;

	if (turned)
		start_phase(s);
	for (i = 0; i < TEAMS; i++) {
		struct team *t = &s->teams[i];

		t->owed += t->rate * (t->high ? 5.0 : 0.05);
		while (t->owed >= 1.0) {
			t->owed -= 1.0;
			t->asked += 1.0;
			arrive(s, i);
		}
	}
	return turned;
}

/* Measures */

static void count_waiting(struct sim *s)
{
	uint32_t i;
	uint32_t k;
	uint32_t waiting;
	uint32_t running;

	for (i = 0; i < TEAMS; i++) {
		s->teams[i].waiting = 0;
		for (k = 0; k < ENTRIES; k++) {
			if (s->nodes[k].dead)
				continue;
			core_team_load(s->nodes[k].core, (pool_handle){ 0 },
				       (team_handle){ i }, &waiting, &running);
			s->teams[i].waiting += waiting;
		}
	}
}

static void measure(struct sim *s)
{
	bool wanted = false;
	uint32_t busy = 0;
	uint32_t i;

	count_waiting(s);
	for (i = 0; i < TEAMS; i++) {
		struct team *t = &s->teams[i];

		busy += t->running;
		if (t->waiting && t->running < t->limit)
			wanted = true;
		if (s->now < s->interval_start + LEAVE_OUT_MS)
			continue;
		if (s->now == s->interval_start + LEAVE_OUT_MS)
			t->asked = t->running + t->waiting;
		t->slot_ms += t->running;
		if (!t->waiting)
			t->backlogged = false;
	}
	if (wanted && s->now > LEAVE_OUT_MS) {
		s->busy_ms += busy;
		s->wanted_ms += CAPACITY;
	}
}

/* Slots that a team could use: what it asked for, if that is less. */
static double demand_of(const struct team *t, double ms)
{
	double asked = t->asked * HOLD_MEAN_MS / ms;

	if (!t->backlogged)
		return t->slot_ms / ms;
	return asked < t->limit ? asked : t->limit;
}

static void judge_interval(struct sim *s)
{
	struct share_claim claims[TEAMS];
	double ms = (double)(s->now - s->interval_start - LEAVE_OUT_MS);
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
		if (error > s->worst)
			s->worst = error;
		s->sum_error += error;
		s->intervals++;
	}
}

static void start_interval(struct sim *s)
{
	uint32_t i;

	if (s->interval_start && s->now >= s->interval_start + PHASE_MIN_MS)
		judge_interval(s);
	s->interval_start = s->now;
	for (i = 0; i < TEAMS; i++) {
		s->teams[i].slot_ms = 0;
		s->teams[i].backlogged = true;
	}
}

/* Set-up */

static json_t *instances_json(uint32_t slots, uint32_t extra)
{
	json_t *all = json_object();
	char name[16];
	uint32_t i;

	for (i = 0; i < WORKERS; i++) {
		uint32_t more = (i + extra) % ENTRIES == 0;

		snprintf(name, sizeof(name), "w%u", i);
		json_object_set_new(all, name,
				    json_pack("{s:s, s:s, s:s, s:s, s:i}",
					      "address", "x", "pool", "p",
					      "zone", "z", "rack", "r", "slots",
					      (int)(slots + more)));
	}
	return all;
}

static json_t *teams_json(const struct sim *s, uint32_t part)
{
	json_t *all = json_object();
	char name[16];
	uint32_t i;

	for (i = 0; i < TEAMS; i++) {
		snprintf(name, sizeof(name), "t%u", i);
		json_object_set_new(all, name,
				    json_pack("{s:i, s:i}", "share",
					      (int)s->teams[i].share, "limit",
					      (int)(s->teams[i].limit / part)));
	}
	return all;
}

static struct cfg *make_cfg(struct sim *s, uint32_t entry)
{
	bool parts = s->way == WAY_STATIC;
	struct cfg *empty = cfg_empty(s->names);
	struct status_message m;
	struct cfg *cfg = NULL;
	json_t *change = json_pack("{s:{s:{s:s}}, s:o, s:o}", "pools", "p",
				   "service", "s", "instances",
				   parts ? instances_json(1, entry)
					 : instances_json(SLOTS, 99),
				   "teams", teams_json(s, parts ? ENTRIES : 1));
	json_t *w;
	const char *name;

	if (!parts)
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

static void make_node(struct sim *s, uint32_t i)
{
	static const uint64_t ids[ENTRIES] = { 1, 2, 3, 4, 5, 6, 7 };
	struct ledger_members members = { 1, ENTRIES, ids };
	struct node *n = &s->nodes[i];
	struct core_options options = {
		.incarnation = i + 1,
		.shard_count = SHARDS,
		.waiting_max = 1000000,
		.waiting_bytes = UINT64_MAX / 2,
		.random = i,
		.advice = s->way != WAY_STATIC,
		.callbacks = { on_start, on_refuse, on_send, on_write, n },
	};
	struct ledger_row empty = { .version = 0 };
	struct cfg *cfg = make_cfg(s, i);
	uint32_t k;

	if (s->way == WAY_STATIC)
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

static void set_up(struct sim *s, enum way way, bool skewed, uint64_t seed,
		   const uint32_t *limits)
{
	static const uint32_t shares[TEAMS] = { 4, 4, 1, 1, 1, 1 };
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->ctx = talloc_new(NULL);
	s->way = way;
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
		make_node(s, i);
}

static void tick_all(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		if (!s->nodes[i].dead && (s->now + i * 7) % CORE_TICK_MS == 0)
			core_tick(s->nodes[i].core, s->now);
}

static void run(struct sim *s, uint64_t until)
{
	while (s->now < until) {
		s->now++;
		run_events(s);
		if (run_demand(s))
			start_interval(s);
		tick_all(s);
		measure(s);
	}
}

static double bytes_a_second(const struct sim *s)
{
	uint64_t most = 0;
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		if (s->nodes[i].bytes > most)
			most = s->nodes[i].bytes;
	return (double)most * 1000.0 / (double)s->now;
}

/* Row writes of all entries together. */
static double writes_a_second(const struct sim *s)
{
	uint64_t writes = 0;
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		writes += core_counters(s->nodes[i].core)->row_writes;
	return (double)writes * 1000.0 / (double)s->now;
}

static const uint32_t wide_limits[TEAMS] = { 80, 80, 80, 80, 80, 80 };

static int bench_way(const char *name, enum way way, bool skewed,
		     uint64_t seconds, uint64_t seed, bool bound)
{
	static struct sim s;
	double utilization;

	set_up(&s, way, skewed, seed, wide_limits);
	run(&s, seconds * 1000);
	utilization = s.busy_ms / s.wanted_ms;
	printf("%-7s %-6s worst %5.1f%% mean %4.1f%% over %3u, busy %5.1f%%, "
	       "%6.0f B/s, %.2f writes/s, %" PRIu64 " ended\n",
	       name, skewed ? "skewed" : "even", s.worst * 100,
	       s.sum_error / s.intervals * 100, s.intervals, utilization * 100,
	       bytes_a_second(&s), writes_a_second(&s), s.ended);
	if (bound && (s.worst > 0.05 || utilization < 0.97 ||
		      bytes_a_second(&s) > 6000)) {
		printf("out of bounds: share 5%%, busy 97%%, 6000 B/s\n");
		return 1;
	}
	return 0;
}

/* A limit of 5 over 7 entries, while as much again waits. */
static int bench_small_limit(enum way way, const char *name, bool bound)
{
	static const uint32_t limits[TEAMS] = { 5, 5, 5, 5, 5, 5 };
	static struct sim s;
	double used = 0;
	uint64_t ms = 0;
	uint32_t i;

	set_up(&s, way, false, 5, limits);
	while (s.now < 40000) {
		run(&s, s.now + 1);
		for (i = 0; i < TEAMS; i++)
			if (s.now > LEAVE_OUT_MS &&
			    s.teams[i].waiting >= s.teams[i].limit) {
				used += s.teams[i].running;
				ms++;
			}
	}
	used = ms ? used / (double)ms / 5 : 0;
	printf("%-7s limit 5 over 7 entries: %5.1f%% used while 5 wait\n", name,
	       used * 100);
	if (bound && used < 0.97) {
		printf("out of bounds: 97%%\n");
		return 1;
	}
	return 0;
}

/* One entry dies while the store is out. */
static int bench_dead(void)
{
	static struct sim s;
	struct ledger_domain_view view;
	domain_handle d;
	int64_t held = 0;
	int64_t dead_held = 0;
	uint32_t i;

	set_up(&s, WAY_ESCROW, false, 7, wide_limits);
	run(&s, 20000);
	s.store_out = true;
	s.nodes[3].dead = true;
	for (i = 0; i < ENTRIES; i++)
		core_set_reachable(s.nodes[i].core, 4, false);
	run(&s, 40000);
	for (i = 0; i < ENTRIES; i++)
		for (d.i = 0;
		     d.i < ledger_domain_count(core_ledger(s.nodes[i].core));
		     d.i++) {
			struct ledger *l = core_ledger(s.nodes[i].core);

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
	struct arg_int *seconds = arg_int0(NULL, "seconds", "S", "virtual");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "first");
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "how many");
	struct arg_lit *brief = arg_lit0(NULL, "brief", "escrow only");
	struct arg_end *end = arg_end(4);
	void *table[] = { seconds, seed, seeds, brief, end };
	int bad = 0;
	int i;

	seconds->ival[0] = 120;
	seed->ival[0] = 1;
	seeds->ival[0] = 5;
	if (arg_parse(argc, argv, table))
		return 2;
	if (brief->count)
		return bench_way("escrow", WAY_ESCROW, false,
				 (uint64_t)seconds->ival[0],
				 (uint64_t)seed->ival[0], false);
	for (i = 0; i < seeds->ival[0]; i++) {
		uint64_t n = (uint64_t)(seed->ival[0] + i);
		uint64_t time = (uint64_t)seconds->ival[0];

		bad |= bench_way("escrow", WAY_ESCROW, false, time, n, true);
		bad |= bench_way("escrow", WAY_ESCROW, true, time, n, true);
	}
	bench_way("static", WAY_STATIC, false, 120, 1, false);
	bench_way("static", WAY_STATIC, true, 120, 1, false);
	bench_way("owner", WAY_OWNER, false, 120, 1, false);
	bad |= bench_small_limit(WAY_ESCROW, "escrow", true);
	bench_small_limit(WAY_STATIC, "static", false);
	bad |= bench_dead();
	return bad;
}
