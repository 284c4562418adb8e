#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "test/walk/upkeep_world_internal.h"

#define FAULTS_END_MS 32000u /* no fault begins later */
#define FINISH_MS 300000u    /* from the end of traffic; all jobs end by then */
#define SETTLE_MS 8000u	     /* the least time from the end of traffic */
#define STATES_MS 500u	     /* between two readings of jobs' states */
#define TURN_FACTOR 5	     /* demand in a pool's turn against its mean */
#define QUIET_DIVISOR 20     /* of the mean: demand outside of its turn */

uint32_t upkeep_random(struct upkeep_world *w, uint32_t below)
{
	w->random_counter++;
	return (uint32_t)(XXH64(&w->random_counter, sizeof(w->random_counter),
				w->seed) %
			  below);
}

uint32_t upkeep_between(struct upkeep_world *w, uint32_t low, uint32_t high)
{
	return low + upkeep_random(w, high - low + 1);
}

void upkeep_trace(const struct upkeep_world *w, const char *fmt, ...)
{
	va_list ap;

	if (!w->verbose)
		return;
	printf("%7.2f ", (double)(w->now - UPKEEP_BEGIN_MS) / 1000.0);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

/* Set-up */

static uint32_t min_uint32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static uint32_t max_uint32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

static bool is_tight(const struct upkeep_world *w)
{
	return w->faults & UPKEEP_TIGHT;
}

static void set_up_config(struct upkeep_world *w)
{
	uint32_t p;

	w->pool_count = upkeep_between(w, 2, POOLS_MAX);
	for (p = 0; p < w->pool_count; p++) {
		bool spare = p == w->pool_count - 1;

		snprintf(w->names[p], sizeof(w->names[p]),
			 spare ? "spare" : "p%u", p);
		w->pools[p] = (struct config_pool){ .name = w->names[p],
						    .has_admission_check = true,
						    .spare = spare };
		w->queues[p] = (struct config_queue){
			.name = w->names[p],
			.host = "h",
			.prefix = "/",
			.pool = w->names[p],
			.objective_factor = 2,
			.objective_slack_ms = upkeep_between(w, 500, 3000),
		};
	}
	w->workspaces[0] = (struct config_workspace){ .name = "w" };
	w->workspaces[1] = (struct config_workspace){ .name = "v" };
	w->config = (struct config){ .version = 1,
				     .queue_count = w->pool_count - 1,
				     .pool_count = w->pool_count,
				     .workspace_count =
					     w->faults & UPKEEP_CAPS ? 2 : 1,
				     .queues = w->queues,
				     .pools = w->pools,
				     .workspaces = w->workspaces };
	w->config_now = &w->config;
}

static struct upkeep_job *job_new(struct upkeep_world *w)
{
	struct upkeep_job *job;

	w->jobs = talloc_realloc(w->ctx, w->jobs, struct upkeep_job,
				 w->job_count + 1);
	assert(w->jobs);
	job = &w->jobs[w->job_count++];
	memset(job, 0, sizeof(*job));
	snprintf(job->id, sizeof(job->id), "%016x", w->job_count);
	job->cancel_ms = UPKEEP_NEVER;
	return job;
}

static uint32_t machines_for(const struct upkeep_job *job)
{
	uint32_t each = MACHINE_MEM / job->mem;

	if (job->spread_limit)
		each = min_uint32(each, job->spread_limit);
	return (job->count + each - 1) / each;
}

/* Long-running jobs that take so many machines, by pool in needs. */
static void set_up_lasting(struct upkeep_world *w, uint32_t machines,
			   uint32_t *needs)
{
	const bool tight = is_tight(w);
	uint32_t count = upkeep_between(w, 3, LASTING_MAX);
	uint32_t n;

	for (n = 0; n < count; n++) {
		struct upkeep_job *job = job_new(w);

		job->lasting = true;
		job->pool = upkeep_random(w, w->pool_count - 1);
		job->count = upkeep_between(w, tight ? 12 : 2, TASKS_MAX);
		job->cpu = upkeep_between(w, 100, 1000);
		job->mem = tight ? upkeep_between(w, 16000, 22000)
				 : upkeep_between(w, 10000, 35000);
		job->may_miss = tight ? 0 : upkeep_random(w, 4);
		job->spread_limit = tight || upkeep_random(w, 3)
					    ? 0
					    : upkeep_between(w, 1, 3);
		if (w->faults & UPKEEP_SPREAD) {
			job->spread_limit = upkeep_between(w, 1, 3);
			job->near_rack = upkeep_random(w, w->rack_count + 1);
		}
		while (job->count > 2 && machines_for(job) > machines)
			job->count--;
		if (machines_for(job) > machines) {
			job->spread_limit = 0;
			job->mem = upkeep_between(w, 10000, 15000);
		}
		job->submit_ms = w->now + upkeep_random(w, 1000);
		if (!upkeep_random(w, 4))
			job->submit_ms += upkeep_random(w, 25000);
		if (!upkeep_random(w, 5))
			job->cancel_ms =
				job->submit_ms + 8000 + upkeep_random(w, 20000);
		job->tasks = talloc_zero_array(w->ctx, struct upkeep_task,
					       job->count);
		assert(job->tasks);
		needs[job->pool] += machines_for(job);
		machines -= min_uint32(machines, machines_for(job));
	}
	w->lasting_count = w->job_count;
}

static uint32_t choose_pool(struct upkeep_world *w, const uint32_t *weights)
{
	uint32_t sum = 0;
	uint32_t p, n;

	for (p = 0; p < w->pool_count; p++)
		sum += weights[p];
	n = upkeep_random(w, sum);
	for (p = 0; n >= weights[p]; p++)
		n -= weights[p];
	return p;
}

/*
 * How many machines the long-running tasks fill: at most so many that there is
 * a place for each of them while all waves have as many machines away as they
 * may, and each pool keeps a machine for other work.
 */
static uint32_t lasting_machines(struct upkeep_world *w)
{
	uint32_t others = w->pool_count - 1;
	uint32_t n, most;

	for (n = 0; n < w->wave_count; n++)
		others += w->waves[n].at_once;
	most = w->machine_count > others ? w->machine_count - others : 1;
	return max_uint32(
		1, most * upkeep_between(w, is_tight(w) ? 90 : 50, 100) / 100);
}

/* Pools hold what their long-running tasks need, and some machines more. */
static void set_up_machines(struct upkeep_world *w)
{
	uint32_t needs[POOLS_MAX] = { 0 };
	uint32_t weights[POOLS_MAX];
	uint32_t i, p = 0;

	set_up_lasting(w, lasting_machines(w), needs);
	for (i = 0; i < w->pool_count; i++)
		weights[i] = upkeep_between(w, 1, 10);
	for (i = 0; i < w->machine_count; i++) {
		struct upkeep_machine *m = &w->machines[i];

		m->listing_ms = m->unlisting_ms = UPKEEP_NEVER;
		while (p < w->pool_count && !needs[p])
			p++;
		if (p < w->pool_count)
			needs[p]--;
		m->pool = p < w->pool_count ? p : choose_pool(w, weights);
		site_come_up(w, m);
		m->listing_ms = w->now;
	}
}

static void set_up_demand(struct upkeep_world *w)
{
	double site = (double)w->machine_count * MACHINE_CPU;

	w->peak_work = site *
		       (is_tight(w) ? upkeep_between(w, 150, 300)
				    : upkeep_between(w, 40, 200)) /
		       100;
	w->quiet_work = w->peak_work / TURN_FACTOR / QUIET_DIVISOR;
	w->turn_ms = is_tight(w) ? upkeep_between(w, 2000, 6000)
				 : upkeep_between(w, 2000, 10000);
	w->turn_offset_ms = upkeep_random(w, 40000);
	w->traffic_end_ms = w->now + upkeep_between(w, 30000, 45000);
}

static void add_member(struct upkeep_wave *v, struct upkeep_world *w,
		       uint32_t machine)
{
	uint32_t i;

	for (i = 0; i < v->count; i++)
		if (v->machines[i] == machine)
			return;
	v->machines[v->count] = machine;
	v->names[v->count++] = w->machines[machine].name;
}

/* The time suffices for each machine to be drained and maintained in turn. */
static void set_up_wave(struct upkeep_world *w, struct upkeep_wave *v)
{
	uint32_t wanted = w->machine_count * upkeep_between(w, 30, 60) / 100;
	bool by_rack = !upkeep_random(w, 3);
	uint32_t i, rounds;

	while (v->count < wanted) {
		uint32_t machine = upkeep_random(w, w->machine_count);
		uint32_t rack = w->machines[machine].rack;

		if (!by_rack) {
			add_member(v, w, machine);
			continue;
		}
		for (i = 0; i < w->machine_count; i++)
			if (w->machines[i].rack == rack)
				add_member(v, w, i);
	}
	v->start_ms = w->now + upkeep_between(w, 5000, 28000);
	v->at_once = max_uint32(1, v->count * upkeep_between(w, 15, 40) / 100);
	rounds = (v->count + v->at_once - 1) / v->at_once;
	v->duration_ms = rounds * 4 * upkeep_between(w, 1000, 2000);
	v->duration_ms = min_uint32(max_uint32(v->duration_ms, 12000), 30000);
	upkeep_trace(w, "wave %u at %.2f s: %u machines, %u at once, in %u ms",
		     (uint32_t)(v - w->waves) + 1,
		     (double)(v->start_ms - UPKEEP_BEGIN_MS) / 1000.0, v->count,
		     v->at_once, v->duration_ms);
}

void upkeep_set_windows(struct upkeep_world *w, enum upkeep_fault fault,
			struct upkeep_window *windows, uint32_t min_ms,
			uint32_t max_ms)
{
	uint32_t count, n;

	if (!(w->faults & fault) || upkeep_random(w, 2))
		return;
	count = upkeep_between(w, 1, 2);
	for (n = 0; n < count; n++) {
		windows[n].begin_ms =
			w->now + 4000 + upkeep_random(w, FAULTS_END_MS - 4000);
		windows[n].end_ms =
			windows[n].begin_ms + upkeep_between(w, min_ms, max_ms);
	}
}

static void set_up(struct upkeep_world *w)
{
	uint32_t n, j;

	set_up_config(w);
	w->machine_count =
		10 + upkeep_random(w, 71) * upkeep_random(w, 71) / 70;
	w->rack_count = (w->machine_count + RACK_MACHINES - 1) / RACK_MACHINES;
	for (n = 0; n < w->machine_count; n++) {
		snprintf(w->machines[n].name, sizeof(w->machines[n].name),
			 "m-%u", n);
		w->machines[n].rack = n / RACK_MACHINES;
	}
	w->wave_count = upkeep_between(w, is_tight(w) ? 2 : 1, WAVES_MAX);
	for (n = 0; n < w->wave_count; n++)
		set_up_wave(w, &w->waves[n]);
	set_up_machines(w);
	set_up_demand(w);
	upkeep_set_windows(w, UPKEEP_FAULT_RACKS, w->rack_faults, 6000, 6000);
	upkeep_set_windows(w, UPKEEP_FAULT_STORE, w->store_faults, 1000, 6000);
	upkeep_set_windows(w, UPKEEP_FAULT_ORDERS, w->order_faults, 1000, 5000);
	upkeep_set_windows(w, UPKEEP_FAULT_STARTS, w->start_faults, 1000, 4000);
	fault_set_up(w);
	for (j = 0; j < w->lasting_count; j++)
		upkeep_trace(w,
			     "job %s in %s: %u tasks of %u MiB, %u "
			     "millicores, spread %u, may miss %u",
			     w->jobs[j].id, w->names[w->jobs[j].pool],
			     w->jobs[j].count, w->jobs[j].mem, w->jobs[j].cpu,
			     w->jobs[j].spread_limit, w->jobs[j].may_miss);
}

/* Faults */

bool upkeep_fault_active(const struct upkeep_world *w,
			 const struct upkeep_window *windows)
{
	uint32_t n;

	for (n = 0; n < WINDOWS_MAX; n++)
		if (w->now >= windows[n].begin_ms && w->now < windows[n].end_ms)
			return true;
	return false;
}

static void crash_racks(struct upkeep_world *w, uint32_t n)
{
	uint32_t rack = upkeep_random(w, w->rack_count);
	uint32_t i;

	for (i = 0; i < w->machine_count; i++)
		if (w->machines[i].rack == rack &&
		    w->machines[i].state == UPKEEP_UP)
			site_crash(w, &w->machines[i],
				   w->now + upkeep_between(w, 4000, 6000));
	(void)n;
}

static void refuse_starts(struct upkeep_world *w, uint64_t until_ms)
{
	uint32_t i;

	for (i = 0; i < w->machine_count; i++)
		if (upkeep_random(w, 2))
			w->machines[i].refuses_until_ms = until_ms;
}

static void faults_advance(struct upkeep_world *w)
{
	uint32_t n;

	for (n = 0; n < WINDOWS_MAX; n++) {
		if (w->rack_faults[n].begin_ms &&
		    w->now - w->rack_faults[n].begin_ms < UPKEEP_TICK_MS)
			crash_racks(w, n);
		if (w->start_faults[n].begin_ms &&
		    w->now - w->start_faults[n].begin_ms < UPKEEP_TICK_MS)
			refuse_starts(w, w->start_faults[n].end_ms);
	}
	if (upkeep_fault_active(w, w->rack_faults) ||
	    upkeep_fault_active(w, w->store_faults) ||
	    upkeep_fault_active(w, w->order_faults) ||
	    upkeep_fault_active(w, w->start_faults))
		w->fault_ms = w->now;
	fault_advance(w);
}

/* Callers */

Fleet__JobRow *upkeep_job_row(const struct upkeep_world *w,
			      const struct upkeep_job *job)
{
	Fleet__JobRow *row = calloc(1, sizeof(*row));
	Fleet__Step *st = calloc(1, sizeof(*st));
	char rack[16];

	assert(row && st);
	fleet__job_row__init(row);
	row->queue = strdup(w->names[job->pool]);
	row->pool = strdup(w->names[job->pool]);
	row->workspace = strdup(w->workspaces[job->workspace].name);
	row->payload = strdup("x");
	row->steps = calloc(1, sizeof(*row->steps));
	assert(row->steps);
	row->n_steps = 1;
	fleet__step__init(st);
	st->count = job->count;
	st->cpu = job->cpu;
	st->mem = job->mem;
	st->estimate_ms = job->estimate_ms;
	st->label = strdup("");
	snprintf(rack, sizeof(rack), "r%u", job->near_rack - 1);
	st->near_rack = strdup(job->near_rack ? rack : "");
	st->image = strdup("");
	st->lasting = job->lasting;
	st->spread_limit = job->spread_limit;
	st->may_miss = job->may_miss;
	row->steps[0] = st;
	return row;
}

/* A long-running job that is refused is sent again; another is given up. */
static void submit(struct upkeep_world *w, struct upkeep_job *job)
{
	uint32_t after = 0;

	switch (sched_submit(w->sched, job->id, upkeep_job_row(w, job), w->now,
			     w->now, &after)) {
	case SUBMIT_ACCEPTED:
	case SUBMIT_KNOWN:
		job->submitted = true;
		job->accepted = !job->lasting;
		return;
	case SUBMIT_REFUSED:
	case SUBMIT_INVALID:
		job->submit_ms = w->now + max_uint32(after, UPKEEP_TICK_MS);
		return;
	}
}

static void lasting_advance(struct upkeep_world *w)
{
	uint32_t i, t;

	for (i = 0; i < w->lasting_count; i++) {
		struct upkeep_job *job = &w->jobs[i];

		if (!job->submitted && w->now >= job->submit_ms)
			submit(w, job);
		if (job->submitted && !job->accepted &&
		    sched_durable(w->sched, job->id)) {
			upkeep_trace(w, "job %s is accepted", job->id);
			job->accepted = true;
			fault_job_added(w, i);
			for (t = 0; t < job->count; t++)
				job->tasks[t].without_since_ms =
					job->tasks[t].at_work_ms = w->now;
		}
		if (job->accepted && !job->cancelled &&
		    w->now >= job->cancel_ms) {
			upkeep_trace(w, "job %s is cancelled", job->id);
			job->cancelled = true;
			sched_cancel(w->sched, job->id, w->names[job->pool],
				     w->now);
		}
	}
}

static void add_batch_job(struct upkeep_world *w, uint32_t pool)
{
	struct upkeep_job *job = job_new(w);

	job->pool = pool;
	job->count = upkeep_between(w, 1, 12);
	job->cpu = upkeep_between(w, 1000, 8000);
	job->mem = upkeep_between(w, 200, 1000);
	job->run_ms = upkeep_between(w, 300, 2000);
	job->estimate_ms = job->run_ms * upkeep_between(w, 50, 200) / 100;
	w->owed_work[pool] -= (double)job->count * job->cpu * job->run_ms;
	if (w->faults & UPKEEP_CAPS)
		job->workspace = upkeep_random(w, 2);
	if (w->faults & UPKEEP_SPREAD)
		job->near_rack = upkeep_random(w, w->rack_count + 1);
	submit(w, job);
	if (job->accepted)
		fault_job_added(w, w->job_count - 1);
}

static void demand_advance(struct upkeep_world *w)
{
	uint32_t slots = max_uint32(w->pool_count - 1, 2);
	uint64_t turn = (w->now + w->turn_offset_ms) / w->turn_ms % slots;
	uint32_t p;

	for (p = 0; p + 1 < w->pool_count && w->now < w->traffic_end_ms; p++) {
		w->owed_work[p] += (p == turn ? w->peak_work : w->quiet_work) *
				   UPKEEP_TICK_MS;
		while (w->owed_work[p] > 0)
			add_batch_job(w, p);
	}
}

static void waves_advance(struct upkeep_world *w)
{
	uint32_t n;

	for (n = 0; n < w->wave_count; n++) {
		struct upkeep_wave *v = &w->waves[n];
		char name[16];

		if (v->started || w->now < v->start_ms)
			continue;
		v->started = true;
		snprintf(name, sizeof(name), "wave/%u", n + 1);
		fleet_add_wave(w->fleet, name, n + 1, v->at_once,
			       v->duration_ms, v->names, v->count, w->now);
	}
}

static bool all_ended(struct upkeep_world *w)
{
	bool all = true;
	uint32_t i;

	if (w->now % STATES_MS || !w->sched)
		return false;
	for (i = w->lasting_count; i < w->job_count; i++) {
		struct upkeep_job *job = &w->jobs[i];

		if (!job->accepted || job->ended)
			continue;
		job->ended =
			sched_state(w->sched, job->id, w->names[job->pool]) ==
			FLEET__JOB_STATE__COMPLETED;
		all &= job->ended;
	}
	for (i = 0; i < w->wave_count; i++)
		all &= w->waves[i].completed;
	return all;
}

static bool is_over(struct upkeep_world *w)
{
	uint64_t end_ms = w->traffic_end_ms + FINISH_MS;
	uint32_t n;

	if (w->now < w->traffic_end_ms + SETTLE_MS)
		return false;
	for (n = 0; n < w->wave_count; n++)
		if (!w->waves[n].completed)
			end_ms = UPKEEP_NEVER;
	return all_ended(w) || w->now >= end_ms;
}

void upkeep_world_run(uint64_t seed, unsigned int faults, bool verbose,
		      struct upkeep_result *result)
{
	struct upkeep_world *w = talloc_zero(NULL, struct upkeep_world);

	assert(w);
	memset(result, 0, sizeof(*result));
	w->ctx = w;
	w->seed = seed;
	w->faults = faults;
	w->verbose = verbose;
	w->result = result;
	w->now = UPKEEP_BEGIN_MS;
	set_up(w);
	w->forecast_trust_max = upkeep_random(w, 2) ? 100 : 0;
	lead_begin(w);
	while (!is_over(w)) {
		w->now += UPKEEP_TICK_MS;
		faults_advance(w);
		site_advance(w);
		if (w->sched) {
			waves_advance(w);
			lasting_advance(w);
			demand_advance(w);
		}
		lead_calls_advance(w);
		if (w->sched)
			lead_advance(w);
		check_tick(w);
	}
	check_end(w);
	result->jobs = w->job_count - w->lasting_count;
	talloc_free(w);
}
