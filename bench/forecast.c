/*
 * forecast - machines that move ahead of demand, in virtual time
 *
 * Four queues by turns ask for several times their mean for a fourth of a
 * period, and for little in between. They share 350 machines, most of them in a
 * spare pool at first. Drives the scheduler and fleet/ with instances that do
 * what they are told, without and with the forecast and with the same arrivals,
 * and prints what both cost:
 *
 *	forecast [--seed N] [--count M] [--seconds N] [--period MS]
 *		[--load PERCENT] [--random]
 */
#include <argtable2.h>
#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "fleet/fleet.h"

#define QUEUES 4u
#define MACHINES 350u
#define MACHINE_CPU 64000
#define MACHINES_AT_FIRST 10u /* in each pool */
#define STEP_MS 10u
#define CALL_MS 10u
#define MOVE_MS 1500u
#define STEPS 2u
#define TASKS 6u
#define JOBS_PER_S 25.0	    /* of a queue, in its turn */
#define QUIET_PART 0.01	    /* of that rate, in between */
#define TURN_START_MS 2000u /* start of a turn that is counted by itself */
#define ENDS_MAX 256u

/* Costs in parts of a day's value, of a measured day */
#define COST_MACHINE_S (0.141 / 10967)
#define COST_MOVE (0.0243 / 1669)

struct play {
	uint64_t seed;
	uint32_t seconds;
	uint32_t period_ms;
	uint32_t load; /* percent of JOBS_PER_S */
	bool random_turns;
	uint32_t trust_max;
};

struct result {
	uint32_t jobs, in_time, refused;
	uint32_t first_jobs, first_in_time; /* that arrived as a turn began */
	double machine_s;
	uint64_t moves;
};

struct task_run {
	struct task_run *prev, *next;
	char task[SCHED_TASK_MAX];
	uint64_t number, ends_ms, end_seq;
};

struct machine_sim {
	char name[16], id[32], rack[8];
	uint32_t pool; /* QUEUES: spare */
	uint32_t boots;
	uint64_t back_ms; /* 0: it is up */
	struct task_run *runs;
	uint64_t last_seq;
	bool polled;
	struct sched_poll poll;
	uint64_t polled_ms;
};

struct job_sim {
	uint32_t queue;
	uint64_t arrived_ms, objective_ms;
	bool first, over;
	uint32_t runs_ms[STEPS * TASKS];
};

struct world {
	struct play play;
	struct result result;
	uint64_t random, now, begun_ms;
	struct sched *s;
	struct fleet *f;
	struct config config;
	struct config_queue queues[QUEUES];
	struct config_pool pools[QUEUES + 1];
	struct config_workspace workspace;
	struct machine_sim machines[MACHINES];
	struct job_sim *jobs;
	uint32_t job_count, job_alloc;
	uint32_t turn;
	uint64_t turn_began_ms;
};

static const char *const names[QUEUES + 1] = { "a", "b", "c", "d", "off" };

static double uniform(struct world *w)
{
	w->random ^= w->random << 13;
	w->random ^= w->random >> 7;
	w->random ^= w->random << 17;
	return (double)(w->random >> 11) / 9007199254740992.0;
}

/* Callers */

static void arrive(struct world *w, uint32_t queue)
{
	Fleet__JobRow *row = calloc(1, sizeof(*row));
	uint64_t path_ms = 0;
	struct job_sim *job;
	char id[SCHED_ID_BYTES + 1];
	uint32_t i, t, after;

	if (w->job_count == w->job_alloc) {
		w->job_alloc = w->job_alloc ? 2 * w->job_alloc : 4096;
		w->jobs = realloc(w->jobs, w->job_alloc * sizeof(*w->jobs));
	}
	assert(row && w->jobs);
	job = &w->jobs[w->job_count++];
	memset(job, 0, sizeof(*job));
	fleet__job_row__init(row);
	row->queue = strdup(names[queue]);
	row->pool = strdup(names[queue]);
	row->workspace = strdup("w");
	row->payload = strdup("x");
	row->n_steps = STEPS;
	row->steps = calloc(STEPS, sizeof(*row->steps));
	for (i = 0; i < STEPS; i++) {
		Fleet__Step *st = calloc(1, sizeof(*st));

		fleet__step__init(st);
		row->steps[i] = st;
		st->count = TASKS;
		st->cpu = 6000 + (uint32_t)(uniform(w) * 20000);
		st->mem = 1000;
		st->estimate_ms = 300 + (uint32_t)(uniform(w) * 1000);
		st->label = strdup("");
		st->near_rack = strdup("");
		st->image = strdup("");
		if (i) {
			st->after = calloc(1, sizeof(*st->after));
			st->after[st->n_after++] = i - 1;
		}
		path_ms += st->estimate_ms;
		for (t = 0; t < TASKS; t++)
			job->runs_ms[i * TASKS + t] =
				(uint32_t)(st->estimate_ms *
					   (0.6 + 0.8 * uniform(w)));
	}
	job->queue = queue;
	job->arrived_ms = w->now;
	job->objective_ms = w->now + 600 + (uint64_t)(1.6 * (double)path_ms);
	job->first =
		queue == w->turn && w->now - w->turn_began_ms < TURN_START_MS;
	snprintf(id, sizeof(id), "%016x", w->job_count);
	w->result.jobs++;
	w->result.first_jobs += job->first;
	if (sched_submit(w->s, id, row, w->now, w->now, &after) !=
	    SUBMIT_ACCEPTED) {
		job->over = true;
		w->result.refused++;
	}
}

static void next_turn(struct world *w)
{
	uint64_t length_ms = w->play.period_ms / QUEUES;

	if (w->now < w->turn_began_ms + length_ms)
		return;
	w->turn_began_ms = w->now;
	if (!w->play.random_turns)
		w->turn = (w->turn + 1) % QUEUES;
	else
		w->turn = (uint32_t)(uniform(w) * QUEUES) % QUEUES;
}

static void callers(struct world *w)
{
	uint32_t q;

	next_turn(w);
	for (q = 0; q < QUEUES; q++) {
		double rate = JOBS_PER_S * w->play.load / 100 *
			      (q == w->turn ? 1 : QUIET_PART);

		if (uniform(w) < rate * STEP_MS / 1000)
			arrive(w, q);
	}
}

/* Machines and instances */

static void list_instance(struct world *w, struct machine_sim *m)
{
	struct sched_instance_info info = {
		.id = m->id,
		.address = "a:1",
		.zone = "z",
		.pool = names[m->pool],
		.machine = m->name,
		.started_unix_ms = 1 + m->boots,
		.capacity = { MACHINE_CPU, 128000, 0 },
		.label_count = 1,
		.labels = { m->rack },
	};

	snprintf(m->id, sizeof(m->id), "%s-%u", m->name, m->boots);
	sched_instance_listed(w->s, &info, w->now);
}

static struct machine_sim *machine_of(struct world *w, const char *name)
{
	return &w->machines[strtoul(name + 2, NULL, 10)];
}

static void move(struct world *w, const struct fleet_action *a)
{
	struct machine_sim *m = machine_of(w, a->machine);
	struct task_run *run, *next;

	DL_FOREACH_SAFE(m->runs, run, next)
	{
		DL_DELETE(m->runs, run);
		free(run);
	}
	fleet_action_result(w->f, w->s, a, FLEET_DONE, w->now);
	if (m->pool < QUEUES)
		sched_instance_unlisted(w->s, m->id, w->now);
	if (m->polled)
		sched_poll_done(w->s, m->poll.instance, NULL, m->polled_ms,
				w->now);
	m->polled = false;
	for (m->pool = 0; strcmp(names[m->pool], a->pool);)
		m->pool++;
	m->boots++;
	m->last_seq = 0;
	m->back_ms = w->now + MOVE_MS;
	w->result.moves++;
}

static void read_list(struct world *w)
{
	struct fleet_machine_info infos[MACHINES];
	uint32_t i;

	for (i = 0; i < MACHINES; i++) {
		const struct machine_sim *m = &w->machines[i];

		infos[i] = (struct fleet_machine_info){
			.machine = m->name,
			.pool = names[m->pool],
			.rack = m->rack,
			.state = m->back_ms ? FLEET_MOVING : FLEET_UP
		};
	}
	fleet_set_machines(w->f, infos, MACHINES, w->now);
}

static void count_end(struct world *w, struct job_sim *job)
{
	if (job->over)
		return;
	job->over = true;
	if (w->now > job->objective_ms)
		return;
	w->result.in_time++;
	w->result.first_in_time += job->first;
}

static void report(struct world *w, struct machine_sim *m)
{
	struct sched_running running[ENDS_MAX];
	struct sched_ended ended[ENDS_MAX];
	struct sched_report report = { .clock_ms = w->now,
				       .started_unix_ms = 1 + m->boots,
				       .running = running,
				       .ended = ended };
	struct task_run *run;

	DL_FOREACH(m->runs, run)
	{
		if (run->ends_ms <= w->now && !run->end_seq)
			run->end_seq = ++m->last_seq;
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
	if (!report.ended_count &&
	    w->now - m->polled_ms < m->poll.wait_ms + CALL_MS)
		return;
	m->polled = false;
	sched_poll_done(w->s, m->poll.instance, &report, m->polled_ms, w->now);
}

static void machines(struct world *w)
{
	uint32_t i;

	for (i = 0; i < MACHINES; i++) {
		struct machine_sim *m = &w->machines[i];

		if (m->back_ms && w->now >= m->back_ms) {
			m->back_ms = 0;
			if (m->pool < QUEUES)
				list_instance(w, m);
		}
		if (m->pool < QUEUES)
			w->result.machine_s += STEP_MS / 1000.0;
		if (m->polled && w->now - m->polled_ms >= CALL_MS)
			report(w, m);
	}
}

/* Leader */

static void start(struct world *w, const struct sched_order *o)
{
	struct machine_sim *m = machine_of(w, o->instance_id);
	struct task_run *run = calloc(1, sizeof(*run));
	const struct job_sim *job = &w->jobs[strtoul(o->task, NULL, 16) - 1];
	unsigned step, task;

	assert(run);
	assert(sscanf(o->task + SCHED_ID_BYTES, ".%*u.%u.%u", &step, &task) ==
	       2);
	memcpy(run->task, o->task, sizeof(run->task));
	run->number = o->number;
	run->ends_ms = w->now + CALL_MS + job->runs_ms[step * TASKS + task];
	DL_APPEND(m->runs, run);
}

static void polls(struct world *w)
{
	struct sched_poll poll;

	while (sched_next_poll(w->s, w->now, &poll)) {
		struct machine_sim *m = machine_of(w, poll.instance_id);
		struct task_run *run, *next;

		m->polled = true;
		m->poll = poll;
		m->polled_ms = w->now;
		DL_FOREACH_SAFE(m->runs, run, next)
		if (run->end_seq && run->end_seq <= poll.acked) {
			DL_DELETE(m->runs, run);
			free(run);
		}
	}
}

static void pass(struct world *w)
{
	struct sched_order order;
	struct sched_change change;
	struct fleet_action action;
	bool any = false;

	sched_tick(w->s, w->now, w->now);
	while (sched_next_order(w->s, w->now, &order)) {
		if (order.kind == ORDER_START)
			start(w, &order);
		sched_order_done(w->s, &order, ORDER_DONE, 0, w->now, w->now);
	}
	polls(w);
	while (sched_next_change(w->s, 1, &change)) {
		any = true;
		if (change.progress)
			fleet__progress_row__free_unpacked(change.progress,
							   NULL);
		if (change.is_ended)
			count_end(w,
				  &w->jobs[strtoul(change.id, NULL, 16) - 1]);
	}
	while (sched_next_expired(w->s, 1))
		any = true;
	if (any)
		sched_batch_done(w->s, 1, true, w->now);
	sched_leader_confirmed(w->s, w->now);
	if (fleet_needs_machine_list(w->f, w->now))
		read_list(w);
	while (fleet_next_action(w->f, w->s, w->now, &action))
		if (action.kind == FLEET_ACTION_MOVE)
			move(w, &action);
		else
			fleet_action_result(w->f, w->s, &action, FLEET_DONE,
					    w->now);
}

static void configure(struct world *w)
{
	uint32_t i;

	for (i = 0; i <= QUEUES; i++)
		w->pools[i] = (struct config_pool){ .name = names[i],
						    .has_admission_check = true,
						    .spare = i == QUEUES };
	for (i = 0; i < QUEUES; i++)
		w->queues[i] = (struct config_queue){ .name = names[i],
						      .host = "h",
						      .prefix = "/",
						      .pool = names[i],
						      .objective_factor = 1.6,
						      .objective_slack_ms = 600,
						      .attempts_max = 3 };
	w->workspace = (struct config_workspace){ .name = "w", .weight = 1 };
	w->config =
		(struct config){ 1,	    QUEUES,   QUEUES + 1,    1,
				 w->queues, w->pools, &w->workspace, { 0 } };
	sched_configure(w->s, &w->config, w->now);
	fleet_configure(w->f, &w->config);
}

static struct result run_play(const struct play *play)
{
	struct sched_options options = { .lease_ms = 4000,
					 .lease_max_ms = 6000,
					 .predecessor_orders_ms = 6000,
					 .start_wait_ms = 400,
					 .end_keep_ms = 20000 };
	struct fleet_options fleet = { .maintenance_ms = 2000,
				       .move_ms = MOVE_MS,
				       .forecast_trust_max = play->trust_max };
	struct world *w = calloc(1, sizeof(*w));
	struct result result;
	uint64_t end_ms;
	uint32_t i;

	assert(w);
	w->play = *play;
	w->random = play->seed * 0x9e3779b97f4a7c15ull + 1;
	w->now = w->begun_ms = w->turn_began_ms = 100000;
	w->s = sched_new(NULL, &options);
	w->f = fleet_new(w->s, &fleet);
	sched_set_clock(w->s, w->now);
	configure(w);
	for (i = 0; i < MACHINES; i++) {
		struct machine_sim *m = &w->machines[i];

		snprintf(m->name, sizeof(m->name), "m-%03u", i);
		snprintf(m->rack, sizeof(m->rack), "r%u", i % 10);
		m->pool = i / MACHINES_AT_FIRST < QUEUES ? i / MACHINES_AT_FIRST
							 : QUEUES;
		if (m->pool < QUEUES)
			list_instance(w, m);
	}
	sched_become_leader(w->s, 1, true, w->now);
	sched_expect_complete(w->s, w->now);
	read_list(w);
	end_ms = w->now + 1000u * play->seconds;
	while (w->now < end_ms) {
		w->now += STEP_MS;
		machines(w);
		callers(w);
		pass(w);
	}
	result = w->result;
	for (i = 0; i < MACHINES; i++) {
		struct task_run *run, *next;

		DL_FOREACH_SAFE(w->machines[i].runs, run, next)
		free(run);
	}
	talloc_free(w->s);
	free(w->jobs);
	free(w);
	return result;
}

static void add(struct result *sum, const struct result *r)
{
	sum->jobs += r->jobs;
	sum->in_time += r->in_time;
	sum->refused += r->refused;
	sum->first_jobs += r->first_jobs;
	sum->first_in_time += r->first_in_time;
	sum->machine_s += r->machine_s;
	sum->moves += r->moves;
}

static void print(const char *name, const struct result *r)
{
	printf("%-14s %6u jobs, in time %.3f, at the start of a turn %.3f of "
	       "%u; %.0f machine-seconds, %llu moves; cost %.4f\n",
	       name, r->jobs, (double)r->in_time / r->jobs,
	       (double)r->first_in_time / r->first_jobs, r->first_jobs,
	       r->machine_s, (unsigned long long)r->moves,
	       r->machine_s * COST_MACHINE_S + (double)r->moves * COST_MOVE);
}

static uint32_t value(const struct arg_int *arg, uint32_t otherwise)
{
	return arg->count ? (uint32_t)arg->ival[0] : otherwise;
}

int main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "1 by default");
	struct arg_int *count = arg_int0(NULL, "count", "N", "seeds");
	struct arg_int *seconds = arg_int0(NULL, "seconds", "N", "of a play");
	struct arg_int *period = arg_int0(NULL, "period", "MS", "18000");
	struct arg_int *load = arg_int0(NULL, "load", "PERCENT", "of 100");
	struct arg_lit *random =
		arg_lit0(NULL, "random", "turns without a pattern");
	struct arg_end *end = arg_end(4);
	void *table[] = { seed, count, seconds, period, load, random, end };
	uint32_t mode, i;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "forecast");
		return 2;
	}
	for (mode = 0; mode < 2; mode++) {
		struct result sum = { 0 };

		for (i = 0; i < value(count, 4); i++) {
			struct play play = { .seed = value(seed, 1) + i,
					     .seconds = value(seconds, 120),
					     .period_ms = value(period, 18000),
					     .load = value(load, 100),
					     .random_turns = random->count > 0,
					     .trust_max = mode ? 100 : 0 };
			struct result r = run_play(&play);

			add(&sum, &r);
		}
		print(mode ? "forecast" : "no forecast", &sum);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}
