/*
 * slopes - cost of an entry's decision code per additional object
 *
 * Measures each cost at four sizes, five times, and prints the slope and
 * constant of a least-squares fit, r squared, and the range of the slope over
 * the repeats. docs/CAPACITY.md quotes the slopes by name.
 */
#include <assert.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/core.h"
#include "entry/entry_internal.h"
#include "process/clock.h"

#define REPEATS 5
#define SIZES_MAX 4
#define ENTRIES 7

typedef double (*measure_fn)(uint32_t size);

struct slope {
	const char *name;
	const char *unit;
	const char *per;
	measure_fn measure;
	uint32_t sizes[SIZES_MAX];
};

struct fit {
	double slope;
	double constant;
	double r2;
};

static struct fit fit_line(const uint32_t *x, const double *y, int n)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, syy = 0;
	struct fit f;
	double cov, vx, vy;
	int i;

	for (i = 0; i < n; i++) {
		sx += x[i];
		sy += y[i];
		sxx += (double)x[i] * x[i];
		sxy += x[i] * y[i];
		syy += y[i] * y[i];
	}
	cov = sxy - sx * sy / n;
	vx = sxx - sx * sx / n;
	vy = syy - sy * sy / n;
	f.slope = cov / vx;
	f.constant = (sy - f.slope * sx) / n;
	f.r2 = vy > 0 ? cov * cov / (vx * vy) : 1;
	return f;
}

/* Configurations of a given size */

static json_t *make_document(uint32_t instances, uint32_t teams)
{
	json_t *pools = json_object();
	json_t *instance_objects = json_object();
	json_t *team_objects = json_object();
	char name[32];
	char pool[32];
	uint32_t i;

	for (i = 0; i < 60; i++) {
		snprintf(name, sizeof(name), "pool-%u", i);
		json_object_set_new(pools, name,
				    json_pack("{s:s}", "service", name));
	}
	for (i = 0; i < instances; i++) {
		snprintf(name, sizeof(name), "worker-%u", i);
		snprintf(pool, sizeof(pool), "pool-%u", i % 60);
		json_object_set_new(
			instance_objects, name,
			json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i}",
				  "address", "10.0.0.1:8000", "pool", pool,
				  "zone", "az-1", "rack", "rack-1", "slots", 8,
				  "state", "serving", "generation", 0));
	}
	for (i = 0; i < teams; i++) {
		snprintf(name, sizeof(name), "team-%u", i);
		json_object_set_new(
			team_objects, name,
			json_pack("{s:i, s:i}", "share", 1, "limit", 100));
	}
	return json_pack("{s:o, s:o, s:o}", "pools", pools, "instances",
			 instance_objects, "teams", team_objects);
}

static struct cfg *make_cfg(struct cfg_names *names, uint32_t instances,
			    uint32_t teams)
{
	struct cfg *empty = cfg_empty(names);
	json_t *doc = make_document(instances, teams);
	struct status_message m;
	struct cfg *cfg = NULL;

	if (cfg_apply(empty, names, doc, 1, &cfg, &m) != CFG_OK) {
		fprintf(stderr, "slopes: %s\n", m.text);
		exit(1);
	}
	json_decref(doc);
	cfg_unref(empty);
	return cfg;
}

/* A core with a given number of workers; writes succeed, messages are lost. */

struct bench {
	struct cfg_names *names;
	struct core *core;
	struct job *started;
	struct ledger_row *written;
	uint32_t shard;
	struct entry frames; /* context to pack messages in, for their size */
	size_t report_bytes; /* largest report of a pool's demand */
};

static void on_start(void *arg, struct job *job)
{
	((struct bench *)arg)->started = job;
}

static void on_refuse(void *arg, struct job *job, enum job_refusal refusal)
{
	(void)arg;
	(void)job;
	(void)refusal;
}

static void on_send(void *arg, uint64_t to, const struct core_message *m)
{
	struct bench *b = arg;
	Jackdawwell__PeerFrame *f;
	size_t bytes;

	(void)to;
	if (m->kind != CORE_DEMAND || m->u.demand.group.kind != BROKER_POOL)
		return;
	f = entry_pack_message(&b->frames, m);
	bytes = jackdawwell__peer_frame__get_packed_size(f) + 4;
	if (bytes > b->report_bytes)
		b->report_bytes = bytes; /* that of the pool with demand */
	jackdawwell__peer_frame__free_unpacked(f, NULL);
}

static void on_write(void *arg, uint32_t shard, const struct ledger_cas *cas)
{
	struct bench *b = arg;

	b->written = ledger_row_copy(b->names, cas->row);
	b->shard = shard;
}

static struct bench *bench_new(uint32_t workers, uint32_t teams)
{
	static const uint64_t ids[] = { 1, 2 };
	struct ledger_members members = { 1, 1, ids };
	struct bench *b = talloc_zero(NULL, struct bench);
	struct core_options options = {
		.incarnation = 1,
		.shard_count = 1,
		.waiting_max = 1000000,
		.waiting_bytes = UINT64_MAX / 2,
		.advice = true,
		.callbacks = { on_start, on_refuse, on_send, on_write, b },
	};
	struct ledger_row empty = { 0 };
	struct cfg *cfg;

	b->names = cfg_names_new(b);
	cfg = make_cfg(b->names, workers, teams);
	b->core = core_new(b, &options);
	b->frames.names = b->names;
	b->frames.core = b->core;
	core_configure(b->core, cfg, 0);
	core_set_members(b->core, &members);
	core_set_fresh_until(b->core, UINT64_MAX);
	core_set_row(b->core, 0, &empty, 1);
	while (b->written) {
		struct ledger_row *row = b->written;

		b->written = NULL;
		core_finish_cas(b->core, 0, LEDGER_CAS_DONE, row->version + 1,
				1);
		talloc_free(row);
		core_tick(b->core, 1);
	}
	cfg_unref(cfg);
	return b;
}

/* Measurements */

static double cfg_change_us(uint32_t size)
{
	struct cfg_names *names = cfg_names_new(NULL);
	struct cfg *cfg = make_cfg(names, size, size / 4);
	json_t *change = json_pack("{s:{s:{s:i,s:i}}}", "teams", "team-0",
				   "share", 2, "limit", 50);
	struct status_message m;
	struct cfg *next;
	uint64_t start = clock_now_us();
	double us;
	int i;

	for (i = 0; i < 10; i++) {
		cfg_apply(cfg, names, change, 2, &next, &m);
		cfg_unref(next);
	}
	us = (double)(clock_now_us() - start) / 10;
	json_decref(change);
	cfg_unref(cfg);
	talloc_free(names);
	return us;
}

static double cfg_bytes(uint32_t size)
{
	size_t before = mallinfo2().uordblks;
	struct cfg_names *names = cfg_names_new(NULL);
	struct cfg *cfg = make_cfg(names, size, size / 4);
	double bytes = (double)(mallinfo2().uordblks - before);

	cfg_unref(cfg);
	talloc_free(names);
	return bytes;
}

static double snapshot_bytes(uint32_t size)
{
	json_t *doc = make_document(size, size / 4);
	char *text = json_dumps(doc, JSON_COMPACT);
	double bytes = (double)strlen(text);

	free(text);
	json_decref(doc);
	return bytes;
}

static double core_bytes(uint32_t size)
{
	size_t before = mallinfo2().uordblks;
	struct bench *b = bench_new(size, 10);
	double bytes = (double)(mallinfo2().uordblks - before);

	talloc_free(b);
	return bytes - cfg_bytes(size);
}

static double row_bytes(uint32_t size)
{
	struct ledger_options options = { .incarnation = 1, .shard_count = 1 };
	struct ledger *l = ledger_new(NULL, &options);
	struct ledger_row row = { .cell_count = size };
	char name[32];
	json_t *json;
	char *text;
	double bytes;
	uint32_t i;

	row.cells = talloc_zero_array(l, struct ledger_cell, size);
	for (i = 0; i < size; i++) {
		snprintf(name, sizeof(name), "w:worker-%u", i);
		row.cells[i].domain = ledger_domain(l, name);
		row.cells[i].total = 8;
		row.cells[i].config_version = 1234567;
	}
	json = entry_row_to_json(l, &row);
	text = json_dumps(json, JSON_COMPACT);
	bytes = (double)strlen(text);
	free(text);
	json_decref(json);
	talloc_free(l);
	return bytes;
}

static double tick_us(uint32_t size)
{
	struct bench *b = bench_new(size, 10);
	uint64_t start = clock_now_us();
	double us;
	int i;

	for (i = 0; i < 200; i++)
		core_tick(b->core, (uint64_t)(100 + i * CORE_TICK_MS));
	us = (double)(clock_now_us() - start) / 200;
	talloc_free(b);
	return us;
}

/* One end and one start while this many teams wait for a pool of 8 workers. */
static double dispatch_us(uint32_t teams)
{
	struct bench *b = bench_new(8 * 60, teams);
	struct job *jobs = talloc_zero_array(b, struct job, teams * 2);
	enum job_refusal refusal;
	uint64_t now = 1000;
	uint64_t start;
	double us;
	uint32_t i;

	for (i = 0; i < teams * 2; i++) {
		jobs[i].team.i = i / 2;
		jobs[i].run_max_ms = 1000;
		jobs[i].arrived_ms = now;
		jobs[i].deadline_ms = now + 1000000;
		jobs[i].checked_version = 1;
		core_submit(b->core, &jobs[i], now, &refusal);
	}
	assert(b->started);
	start = clock_now_us();
	for (i = 0; i < 500; i++) {
		struct job *job = b->started;

		now++;
		core_end_attempt(b->core, job, JOB_ENDED, now);
		job->arrived_ms = now;
		core_submit(b->core, job, now, &refusal);
	}
	us = (double)(clock_now_us() - start) / 500;
	talloc_free(b);
	return us;
}

static bool find_team(void *arg, uint32_t team, uint32_t *share,
		      uint32_t *limit)
{
	(void)arg;
	(void)team;
	*share = 1;
	*limit = 100;
	return true;
}

static void discard_advice(void *arg, uint64_t entry,
			   const struct broker_advice *a)
{
	(void)arg;
	(void)entry;
	(void)a;
}

/* One run of a pool's broker while this many teams wait at 7 entries each. */
static double broker_us(uint32_t teams)
{
	struct broker_callbacks callbacks = { find_team, discard_advice, NULL };
	struct broker *b = broker_new(NULL, &callbacks);
	struct broker_team *t = talloc_zero_array(b, struct broker_team, teams);
	struct broker_demand d = { { BROKER_POOL, 0 }, 60, 0, teams, t };
	uint64_t total_us = 0;
	uint64_t start;
	uint32_t i;
	int repeat;

	for (i = 0; i < teams; i++)
		t[i] = (struct broker_team){ i, 1000 + i };
	for (repeat = 0; repeat < 5; repeat++) {
		for (i = 0; i < ENTRIES; i++)
			broker_report(b, i + 1, &d, (uint64_t)repeat * 1000);
		start = clock_now_us();
		broker_run(b, (uint64_t)repeat * 1000 + 500);
		total_us += clock_now_us() - start;
	}
	talloc_free(b);
	return (double)total_us / 5;
}

static double report_bytes(uint32_t teams)
{
	struct bench *b = bench_new(8 * 60, teams);
	static const uint64_t ids[] = { 1, 2, 3, 4, 5, 6, 7 };
	struct ledger_members members = { 1, ENTRIES, ids };
	struct job *jobs = talloc_zero_array(b, struct job, teams * 2);
	enum job_refusal refusal;
	double bytes;
	uint32_t i;

	core_set_members(b->core, &members);
	for (i = 2; i <= ENTRIES; i++)
		core_set_reachable(b->core, i, true);
	for (i = 0; i < teams * 2; i++) {
		jobs[i].team.i = i / 2;
		jobs[i].pool.i = 7; /* its broker is another entry */
		jobs[i].deadline_ms = 1000000;
		jobs[i].checked_version = 1;
		core_submit(b->core, &jobs[i], 1000, &refusal);
	}
	for (i = 0; i < 20; i++)
		core_tick(b->core, 1000 + i * CORE_TICK_MS);
	bytes = (double)b->report_bytes;
	talloc_free(b);
	return bytes;
}

static const struct slope slopes[] = {
	{ "config-change",
	  "us",
	  "instance",
	  cfg_change_us,
	  { 500, 1000, 2000, 3300 } },
	{ "config-memory",
	  "B",
	  "instance",
	  cfg_bytes,
	  { 500, 1000, 2000, 3300 } },
	{ "config-snapshot",
	  "B",
	  "instance",
	  snapshot_bytes,
	  { 500, 1000, 2000, 3300 } },
	{ "core-memory", "B", "worker", core_bytes, { 500, 1000, 2000, 3300 } },
	{ "core-tick", "us", "worker", tick_us, { 500, 1000, 2000, 3300 } },
	{ "ledger-row", "B", "domain", row_bytes, { 16, 64, 256, 1024 } },
	{ "dispatch",
	  "us",
	  "waiting team",
	  dispatch_us,
	  { 50, 200, 400, 750 } },
	{ "broker-run", "us", "waiting team", broker_us, { 25, 50, 100, 200 } },
	{ "demand-report",
	  "B",
	  "waiting team",
	  report_bytes,
	  { 10, 50, 100, 200 } },
};

static void run(const struct slope *s)
{
	double values[SIZES_MAX];
	double low = 0, high = 0;
	struct fit f = { 0 };
	int i, k;

	for (k = 0; k < REPEATS; k++) {
		for (i = 0; i < SIZES_MAX; i++)
			values[i] = s->measure(s->sizes[i]);
		f = fit_line(s->sizes, values, SIZES_MAX);
		low = k == 0 || f.slope < low ? f.slope : low;
		high = k == 0 || f.slope > high ? f.slope : high;
	}
	printf("%-16s %9.4g %s a %s, constant %.4g, r2 %.3f, spread %.4g to "
	       "%.4g, at",
	       s->name, f.slope, s->unit, s->per, f.constant, f.r2, low, high);
	for (i = 0; i < SIZES_MAX; i++)
		printf(" %u:%.4g", s->sizes[i], values[i]);
	printf("\n");
	fflush(stdout);
}

int main(void)
{
	size_t i;

	for (i = 0; i < sizeof(slopes) / sizeof(slopes[0]); i++)
		run(&slopes[i]);
	return 0;
}
