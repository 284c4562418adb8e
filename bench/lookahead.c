/*
 * Plays a load of large and small tasks against the scheduler in virtual time,
 * with and without reservations, and prints what each way gives.
 *
 *	lookahead [--seeds N] [--cycles N] [--instances N] [--burst X]
 *		[--quiet X] [--small X]
 *
 * One pool of instances of 64 cores and 128 GB; jobs whose tasks take 6 to 40
 * cores and up to 71 GB, and small ones; bursts of five times the mean load for
 * 4.5 s and a twentieth of it in between; declared run times that are off by up
 * to 0.9, 0.5 or 0.2. Each way gets the same jobs.
 */
#include <argtable2.h>
#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool/sched.h"

#define STEP_MS 5u
#define BURST_MS 4500u
#define CYCLE_MS 23450u /* with a twentieth in between the mean is a fifth */
#define QUIET_PART 0.01 /* of the load in a burst, by default */
#define DRAIN_MS 60000u /* after the last cycle, for what is left */
#define CORES 64000
#define MEMORY 128000
#define MEMORY_TASK_MAX 71000
#define RUNS_MAX 256u /* on an instance, with unacknowledged ends */
#define TRIES_MAX 5u  /* submissions of a job that is refused */
#define STRETCH 1.5
#define SLO_MS 600u
#define STEPS_MAX 2u
#define LARGEST_PART 10u /* jobs of the largest 1 / this by work */

enum kind { KIND_SMALL, KIND_MEDIUM, KIND_LARGE, KINDS };

static const char *const queue_names[KINDS] = { "small", "medium", "large" };

struct bench_job {
	enum kind kind;
	uint32_t steps, tasks;
	uint32_t cpu, mem;
	uint32_t run_ms[STEPS_MAX];
	uint32_t declared_ms[STEPS_MAX];
	double work; /* in core-seconds, by real run times */
	uint64_t arrives_ms, next_ms;
	uint32_t tries;
	bool accepted, done, refused;
	uint64_t done_ms;
};

struct bench_run {
	char task[SCHED_TASK_MAX];
	uint64_t number;
	uint64_t ends_ms;
	uint64_t end_seq; /* 0: it runs */
};

struct bench_instance {
	char id[16];
	struct bench_run runs[RUNS_MAX];
	uint32_t run_count;
	uint64_t last_seq;
	bool polling;
	struct sched_poll poll;
	uint64_t polled_ms;
};

struct way {
	const char *name;
	uint32_t reservations;
};

struct play {
	struct sched *s;
	struct config config;
	struct config_queue queues[KINDS];
	struct config_pool pool;
	struct config_workspace workspace;
	struct bench_instance *instances;
	uint32_t instance_count;
	struct bench_job *jobs;
	uint32_t job_count;
	uint64_t now;
	uint64_t used_ms; /* of instances with a run */
};

/* What all seeds of one way gave. */
struct outcome {
	double *large_ms, *rest_ms; /* waits of completed jobs */
	uint32_t large_count, rest_count;
	uint32_t jobs, in_time, large, large_in_time, refused;
	double used_s;
	uint64_t made, used, given_up, displaced;
};

struct load {
	uint32_t instances, cycles;
	double burst; /* CPU asked for in a burst, x that of the pool */
	double quiet; /* part of that in between */
	double small; /* part of small jobs; the others are half medium */
	double error; /* of declared run times */
};

/* Jobs */

static uint64_t random_next(uint64_t *state)
{
	*state += 0x9e3779b97f4a7c15u;
	uint64_t x = *state;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	return x ^ (x >> 31);
}

static double uniform(uint64_t *state, double low, double high)
{
	return low +
	       (high - low) * (double)(random_next(state) >> 11) * 0x1p-53;
}

static void job_draw(struct bench_job *job, double small, double error,
		     uint64_t *state)
{
	double kind = uniform(state, 0, 1);
	uint32_t i;

	memset(job, 0, sizeof(*job));
	job->kind = kind < small	     ? KIND_SMALL
		    : kind < (1 + small) / 2 ? KIND_MEDIUM
					     : KIND_LARGE;
	switch (job->kind) {
	case KIND_SMALL:
		job->cpu = (uint32_t)uniform(state, 500, 4000);
		job->mem = (uint32_t)(job->cpu * uniform(state, 0.2, 2));
		break;
	case KIND_MEDIUM:
		job->cpu = (uint32_t)uniform(state, 6000, 16000);
		job->mem = (uint32_t)(job->cpu * uniform(state, 0.5, 3));
		break;
	default:
		job->cpu = (uint32_t)uniform(state, 16000, 40000);
		job->mem = (uint32_t)(job->cpu * uniform(state, 0.5, 3));
		break;
	}
	if (job->mem > MEMORY_TASK_MAX)
		job->mem = MEMORY_TASK_MAX;
	job->tasks = 1 + (uint32_t)uniform(state, 0, 6);
	job->steps = 1 + (uniform(state, 0, 1) < 0.3);
	for (i = 0; i < job->steps; i++) {
		double off = 1 + error * uniform(state, -1, 1);

		job->run_ms[i] =
			(uint32_t)(300 * exp(uniform(state, 0, log(6))));
		job->declared_ms[i] = (uint32_t)(job->run_ms[i] * off) + 1;
		job->work += 1e-6 * job->tasks * job->cpu * job->run_ms[i];
	}
}

static double mean_work(double small)
{
	uint64_t state = 1;
	double sum = 0;
	uint32_t i;

	for (i = 0; i < 20000; i++) {
		struct bench_job job;

		job_draw(&job, small, 0, &state);
		sum += job.work;
	}
	return sum / 20000;
}

static void draw_jobs(struct play *p, const struct load *load, uint64_t seed)
{
	uint64_t state = seed * 7919;
	uint64_t end_ms = (uint64_t)load->cycles * CYCLE_MS;
	double per_ms = load->burst * load->instances * CORES * 1e-6 /
			mean_work(load->small);
	uint32_t alloc = 0;
	double at_ms = 0;

	for (;;) {
		bool burst = (uint64_t)at_ms % CYCLE_MS < BURST_MS;

		at_ms += -log(1 - uniform(&state, 0, 1)) /
			 (burst ? per_ms : per_ms * load->quiet);
		if (at_ms >= (double)end_ms)
			return;
		if (p->job_count == alloc) {
			alloc = alloc ? 2 * alloc : 1024;
			p->jobs = realloc(p->jobs, alloc * sizeof(*p->jobs));
			assert(p->jobs);
		}
		job_draw(&p->jobs[p->job_count], load->small, load->error,
			 &state);
		p->jobs[p->job_count].arrives_ms =
			p->jobs[p->job_count].next_ms =
				p->now + (uint64_t)at_ms;
		p->job_count++;
	}
}

static uint64_t path_ms(const struct bench_job *job)
{
	return job->run_ms[0] + (job->steps > 1 ? job->run_ms[1] : 0);
}

static Fleet__JobRow *row_new(const struct bench_job *job)
{
	Fleet__JobRow *row = calloc(1, sizeof(*row));
	uint32_t i;

	assert(row);
	fleet__job_row__init(row);
	row->queue = strdup(queue_names[job->kind]);
	row->pool = strdup("p");
	row->workspace = strdup("w");
	row->payload = strdup("x");
	row->n_steps = job->steps;
	row->steps = calloc(job->steps, sizeof(*row->steps));
	assert(row->steps);
	for (i = 0; i < job->steps; i++) {
		Fleet__Step *st = calloc(1, sizeof(*st));

		assert(st);
		fleet__step__init(st);
		st->count = job->tasks;
		st->cpu = job->cpu;
		st->mem = job->mem;
		st->estimate_ms = job->declared_ms[i];
		st->label = strdup("");
		st->near_rack = strdup("");
		st->image = strdup("");
		if (i) {
			st->after = calloc(1, sizeof(*st->after));
			assert(st->after);
			st->n_after = 1;
		}
		row->steps[i] = st;
	}
	return row;
}

static void submit_due(struct play *p)
{
	uint32_t i;

	for (i = 0; i < p->job_count; i++) {
		struct bench_job *job = &p->jobs[i];
		char id[SCHED_ID_BYTES + 1];
		uint32_t after_ms = 0;

		if (job->accepted || job->refused || job->next_ms > p->now)
			continue;
		snprintf(id, sizeof(id), "%016x", i);
		if (sched_submit(p->s, id, row_new(job), p->now, p->now,
				 &after_ms) == SUBMIT_ACCEPTED)
			job->accepted = true;
		else if (++job->tries == TRIES_MAX)
			job->refused = true;
		else
			job->next_ms = p->now + after_ms;
	}
}

/* Instances */

static void start(struct play *p, const struct sched_order *order)
{
	struct bench_instance *i =
		&p->instances[strtoul(order->instance_id + 2, NULL, 10)];
	struct bench_run *run = &i->runs[i->run_count++];
	const struct bench_job *job = &p->jobs[strtoul(order->task, NULL, 16)];
	unsigned step;

	assert(i->run_count < RUNS_MAX);
	memset(run, 0, sizeof(*run));
	memcpy(run->task, order->task, sizeof(run->task));
	run->number = order->number;
	if (sscanf(order->task, "%*[^.].%*u.%u", &step) != 1)
		abort();
	run->ends_ms = p->now + job->run_ms[step];
}

static void answer_poll(struct play *p, struct bench_instance *i)
{
	struct sched_running running[RUNS_MAX];
	struct sched_ended ended[RUNS_MAX];
	struct sched_report report = { .clock_ms = p->now,
				       .started_unix_ms = 7,
				       .running = running,
				       .ended = ended };
	bool news = p->now >= i->polled_ms + i->poll.wait_ms;
	uint32_t n, kept = 0;

	for (n = 0; n < i->run_count; n++) {
		struct bench_run *run = &i->runs[n];

		if (run->ends_ms <= p->now && !run->end_seq) {
			run->end_seq = ++i->last_seq;
			news = true;
		}
	}
	if (!news)
		return;
	for (n = 0; n < i->run_count; n++) {
		const struct bench_run *run = &i->runs[n];

		if (run->end_seq && run->end_seq <= i->poll.acked)
			continue;
		i->runs[kept++] = *run;
	}
	i->run_count = kept;
	for (n = 0; n < kept; n++) {
		const struct bench_run *run = &i->runs[n];

		if (run->end_seq)
			ended[report.ended_count++] =
				(struct sched_ended){ run->end_seq, run->task,
						      run->number, SCHED_DONE,
						      "" };
		else
			running[report.running_count++] =
				(struct sched_running){ run->task, run->number,
							"", 50, 0 };
	}
	i->polling = false;
	sched_poll_done(p->s, i->poll.instance, &report, i->polled_ms, p->now);
}

static void step_instances(struct play *p)
{
	uint32_t n, r;

	for (n = 0; n < p->instance_count; n++) {
		struct bench_instance *i = &p->instances[n];

		for (r = 0; r < i->run_count; r++)
			if (i->runs[r].ends_ms > p->now) {
				p->used_ms += STEP_MS;
				break;
			}
		if (i->polling)
			answer_poll(p, i);
	}
}

/* Leader */

static void write_rows(struct play *p)
{
	struct sched_change change;

	while (sched_next_change(p->s, 1, &change)) {
		struct bench_job *job = &p->jobs[strtoul(change.id, NULL, 16)];

		if (change.progress)
			fleet__progress_row__free_unpacked(change.progress,
							   NULL);
		if (change.is_ended && !job->done) {
			job->done = true;
			job->done_ms = p->now;
		}
	}
	while (sched_next_expired(p->s, 1))
		;
	sched_batch_done(p->s, 1, true, p->now);
}

static void step(struct play *p)
{
	struct sched_order order;
	struct sched_poll poll;

	p->now += STEP_MS;
	submit_due(p);
	write_rows(p);
	step_instances(p);
	sched_leader_confirmed(p->s, p->now);
	sched_tick(p->s, p->now, p->now);
	while (sched_next_order(p->s, p->now, &order)) {
		assert(order.kind == ORDER_START);
		start(p, &order);
		sched_order_done(p->s, &order, ORDER_DONE, 0, p->now, p->now);
	}
	while (sched_next_poll(p->s, p->now, &poll)) {
		struct bench_instance *i =
			&p->instances[strtoul(poll.instance_id + 2, NULL, 10)];

		i->polling = true;
		i->poll = poll;
		i->polled_ms = p->now;
	}
}

static void configure(struct play *p)
{
	uint32_t i;

	p->pool = (struct config_pool){ .name = "p",
					.has_admission_check = true };
	p->workspace = (struct config_workspace){ .name = "w", .weight = 1 };
	for (i = 0; i < KINDS; i++)
		p->queues[i] =
			(struct config_queue){ .name = queue_names[i],
					       .host = "h",
					       .prefix = "/",
					       .pool = "p",
					       .objective_factor = STRETCH,
					       .objective_slack_ms = SLO_MS,
					       .attempts_max = 3 };
	p->config = (struct config){ .version = 1,
				     .queue_count = KINDS,
				     .pool_count = 1,
				     .workspace_count = 1,
				     .queues = p->queues,
				     .pools = &p->pool,
				     .workspaces = &p->workspace };
	sched_configure(p->s, &p->config, p->now);
}

static void play_begin(struct play *p, const struct load *load,
		       const struct way *way)
{
	struct sched_options options = { .lease_ms = 4000,
					 .lease_max_ms = 6000,
					 .predecessor_orders_ms = 6000,
					 .start_wait_ms = 400,
					 .end_keep_ms = 1000,
					 .placement_reservations =
						 way->reservations };
	uint32_t i;

	memset(p, 0, sizeof(*p));
	p->now = 1000;
	p->s = sched_new(NULL, &options);
	sched_set_clock(p->s, p->now);
	configure(p);
	p->instance_count = load->instances;
	p->instances = calloc(load->instances, sizeof(*p->instances));
	assert(p->instances);
	for (i = 0; i < load->instances; i++) {
		struct sched_instance_info info = {
			.id = p->instances[i].id,
			.address = "a:1",
			.zone = "z",
			.pool = "p",
			.machine = p->instances[i].id,
			.capacity = { CORES, MEMORY, 0 },
			.label_count = 1,
			.labels = { "r1" },
		};

		snprintf(p->instances[i].id, sizeof(p->instances[i].id), "i-%u",
			 i);
		sched_instance_listed(p->s, &info, p->now);
	}
	sched_become_leader(p->s, 1, true, p->now);
	sched_expect_complete(p->s, p->now);
	for (i = 0; i < 100; i++)
		step(p);
}

/* Results */

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Work of the smallest job of the largest tenth. */
static double largest_work(const struct play *p)
{
	double *work = calloc(p->job_count, sizeof(*work));
	double value;
	uint32_t i;

	assert(work);
	for (i = 0; i < p->job_count; i++)
		work[i] = p->jobs[i].work;
	qsort(work, p->job_count, sizeof(*work), by_value);
	value = work[p->job_count - p->job_count / LARGEST_PART];
	free(work);
	return value;
}

static void add_wait(double **waits, uint32_t *count, double wait)
{
	if (!(*count & (*count - 1)))
		*waits = realloc(*waits,
				 (*count ? 2 * *count : 1) * sizeof(**waits));
	assert(*waits);
	(*waits)[(*count)++] = wait;
}

static void count_jobs(const struct play *p, struct outcome *o)
{
	double largest = largest_work(p);
	uint32_t i;

	for (i = 0; i < p->job_count; i++) {
		const struct bench_job *job = &p->jobs[i];
		uint64_t took = job->done_ms - job->arrives_ms;
		bool large = job->work >= largest;
		bool in_time =
			job->done &&
			(double)took <= STRETCH * (double)path_ms(job) + SLO_MS;

		o->jobs++;
		o->large += large;
		o->in_time += in_time;
		o->large_in_time += large && in_time;
		o->refused += job->refused;
		if (!job->done)
			continue;
		if (large)
			add_wait(&o->large_ms, &o->large_count,
				 (double)(took - path_ms(job)));
		else
			add_wait(&o->rest_ms, &o->rest_count,
				 (double)(took - path_ms(job)));
	}
}

static void play(const struct load *load, const struct way *way, uint64_t seed,
		 struct outcome *o)
{
	struct sched_stats stats;
	struct play p;
	uint64_t end_ms;

	play_begin(&p, load, way);
	draw_jobs(&p, load, seed);
	end_ms = p.now + load->cycles * (uint64_t)CYCLE_MS + DRAIN_MS;
	p.used_ms = 0;
	while (p.now < end_ms)
		step(&p);
	count_jobs(&p, o);
	sched_stats(p.s, &stats);
	o->used_s += (double)p.used_ms / 1000;
	o->made += stats.reservations_made;
	o->used += stats.reservations_used;
	o->given_up += stats.reservations_given_up;
	o->displaced += stats.reservations_displaced;
	talloc_free(p.s);
	free(p.instances);
	free(p.jobs);
}

static double percentile(const double *sorted, uint32_t count, double part)
{
	return count ? sorted[(uint32_t)(part * (count - 1))] / 1000 : 0;
}

static void print_outcome(const struct load *load, const struct way *way,
			  struct outcome *o)
{
	qsort(o->large_ms, o->large_count, sizeof(double), by_value);
	qsort(o->rest_ms, o->rest_count, sizeof(double), by_value);
	printf("%4.1f %-10s | %6.2f %6.2f %6.2f %5.3f | %6.2f %6.2f %6.2f | "
	       "%5.3f %6u %8.0f | %6llu %6llu %6llu %6llu\n",
	       load->error, way->name,
	       percentile(o->large_ms, o->large_count, 0.5),
	       percentile(o->large_ms, o->large_count, 0.95),
	       percentile(o->large_ms, o->large_count, 0.99),
	       (double)o->large_in_time / o->large,
	       percentile(o->rest_ms, o->rest_count, 0.5),
	       percentile(o->rest_ms, o->rest_count, 0.95),
	       percentile(o->rest_ms, o->rest_count, 0.99),
	       (double)o->in_time / o->jobs, o->refused, o->used_s,
	       (unsigned long long)o->made, (unsigned long long)o->used,
	       (unsigned long long)o->given_up,
	       (unsigned long long)o->displaced);
	fflush(stdout);
	free(o->large_ms);
	free(o->rest_ms);
}

static int value(const struct arg_int *arg, int otherwise)
{
	return arg->count ? arg->ival[0] : otherwise;
}

int main(int argc, char **argv)
{
	static const struct way ways[] = { { "none", 0 },
					   { "first 1", 1 },
					   { "first 2", 2 },
					   { "first 4", 4 },
					   { "first 8", 8 } };
	static const double errors[] = { 0.9, 0.5, 0.2 };
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "3 by default");
	struct arg_int *cycles = arg_int0(NULL, "cycles", "N", "3 by default");
	struct arg_int *instances =
		arg_int0(NULL, "instances", "N", "40 by default");
	struct arg_dbl *burst = arg_dbl0(NULL, "burst", "X",
					 "CPU asked for, x that of the pool");
	struct arg_dbl *small =
		arg_dbl0(NULL, "small", "X", "part of small jobs");
	struct arg_dbl *quiet = arg_dbl0(NULL, "quiet", "X",
					 "load in between, part of a burst");
	struct arg_end *end = arg_end(4);
	void *table[] = { seeds, cycles, instances, burst, quiet, small, end };
	uint32_t e, w, seed;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "lookahead");
		return 2;
	}
	printf("waits in s, beyond the critical path: p50, p95, p99\n"
	       "off  way        | largest tenth        in time | the rest     "
	       "        | in time, refused, instance-s | reservations made, "
	       "used, given up, displaced\n");
	for (e = 0; e < sizeof(errors) / sizeof(errors[0]); e++)
		for (w = 0; w < sizeof(ways) / sizeof(ways[0]); w++) {
			struct load load = {
				(uint32_t)value(instances, 40),
				(uint32_t)value(cycles, 3),
				burst->count ? burst->dval[0] : 1.6,
				quiet->count ? quiet->dval[0] : QUIET_PART,
				small->count ? small->dval[0] : 0.9,
				errors[e]
			};
			struct outcome o = { 0 };

			for (seed = 1; seed <= (uint32_t)value(seeds, 3);
			     seed++)
				play(&load, &ways[w], seed, &o);
			print_outcome(&load, &ways[w], &o);
		}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}
