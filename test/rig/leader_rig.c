#include "test/rig/leader_rig.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "node/node_internal.h"

/* Processor time of the leader, in us of a whole core */
#define COST_SUBMIT 150.0 /* read, decide, answer */
#define COST_ACCEPT 350.0 /* record a job */
#define COST_STATE 180.0
#define COST_PASS 200.0
#define COST_START 80.0	  /* encode the order, handle its answer */
#define COST_REPORT 100.0 /* of an instance */
#define COST_END 80.0	  /* reported by it */
#define COST_COMMIT 200.0

#define CALL_MS 3u	    /* to an instance and back */
#define STORE_MS 5u	    /* a transaction */
#define STATE_MS 300u	    /* between two queries of a job's state */
#define STATES_MAX 4u	    /* queries of a job */
#define STATES_PER_COUNT 8u /* jobs of which one caller counts the queue */
#define RETRIES_MAX 4u
#define CALLERS_RETRY_MS 1000u /* Retry-After is in whole seconds */
#define TASKS_PER_STEP 8u
#define TASK_CPU 2200u
#define TASK_MEM 10u
#define WAITING_MEM 500000u /* more than instances have */
#define INSTANCE_CPU 16000u
#define REPORT_MAX 500u /* rows of a report */
#define BATCH_MAX 60u	/* jobs in one transaction */

struct class_shape {
	const char *queue;
	uint32_t steps;
	uint32_t task_ms;
};

static const struct class_shape shapes[LEADER_RIG_CLASSES] = {
	{ "short", 1, 640 },
	{ "long", 2, 1300 },
};

struct task_run {
	struct task_run *prev, *next;
	char task[SCHED_TASK_MAX];
	uint64_t number;
	uint64_t ends_us;
	uint64_t end_seq; /* 0: it runs */
};

struct instance_sim {
	char id[16];
	struct task_run *runs; /* running, or ended and not acknowledged */
	uint64_t last_seq;
	bool polling;
	struct sched_poll poll;
	uint64_t polled_us;
	uint64_t answer_us; /* when it answers at the latest */
};

enum event_kind {
	EVENT_SUBMIT,
	EVENT_STATE,
	EVENT_STARTED,
	EVENT_REPORT,
	EVENT_WRITTEN,
	EVENT_KINDS
};

struct rig_event {
	struct rig_event *prev, *next;
	enum event_kind kind;
	uint64_t at_us;
	uint32_t subject; /* index of a job or an instance, number of a batch */
	struct sched_order order;
	uint64_t sent_ms;
	char instance_id[16];
};

struct rig_job {
	char id[SCHED_ID_BYTES + 1];
	uint32_t class;
	uint32_t tries;
	uint32_t states;
	uint64_t first_us;
	bool accepted, over;
};

struct leader_rig {
	struct leader_rig_options options;
	struct sched *s;
	struct config config;
	struct config_queue queues[LEADER_RIG_CLASSES];
	struct config_pool pools[LEADER_RIG_POOLS];
	struct config_workspace workspaces[LEADER_RIG_WORKSPACES];
	char names[LEADER_RIG_WORKSPACES][8];
	struct instance_sim *instances;
	uint32_t instance_count;
	struct rig_event *events; /* ordered by time */
	struct rig_job *jobs;
	uint32_t job_count, job_alloc;
	double per_s[LEADER_RIG_CLASSES];
	uint64_t next_arrival_us[LEADER_RIG_CLASSES];
	struct leader_rig_class counts[LEADER_RIG_CLASSES];
	uint64_t now_us;
	uint64_t free_us; /* when the leader has done what it is doing */
	uint64_t busy_us;
	uint64_t pass_us; /* when the next pass is due; 0: none */
	uint64_t pass_ended_us;
	uint64_t pass_took_us;
	uint32_t batch;
	bool committing;
	uint32_t ended_count; /* jobs that the transaction in flight ends */
	uint32_t ended[BATCH_MAX];
	uint32_t first_counted; /* earlier jobs aren't counted */
};

/* Events */

static int by_time(const struct rig_event *a, const struct rig_event *b)
{
	return a->at_us < b->at_us ? -1 : a->at_us > b->at_us;
}

static struct rig_event *event_new(struct leader_rig *r, enum event_kind kind,
				   uint64_t at_us, uint32_t subject)
{
	struct rig_event *e = calloc(1, sizeof(*e));
	struct rig_event *after = NULL;

	assert(e);
	e->kind = kind;
	e->at_us = at_us;
	e->subject = subject;
	/* Most events are later than all others: search from the end. */
	if (r->events)
		for (after = r->events->prev; by_time(after, e) > 0;
		     after = after->prev)
			if (after == r->events) {
				DL_PREPEND(r->events, e);
				return e;
			}
	if (after)
		DL_APPEND_ELEM(r->events, after, e);
	else
		DL_APPEND(r->events, e);
	return e;
}

/* Takes processor time; the leader is then at the end of it. */
static void spend(struct leader_rig *r, double cost_us)
{
	uint64_t us = (uint64_t)(cost_us / r->options.processor_share);

	r->now_us += us;
	r->busy_us += us;
}

static uint64_t now_ms(const struct leader_rig *r)
{
	return r->now_us / 1000;
}

static void schedule_pass(struct leader_rig *r)
{
	uint64_t due_us =
		r->pass_ended_us +
		1000u * node_pass_pause_ms((uint32_t)(r->pass_took_us / 1000));

	if (!r->pass_us)
		r->pass_us = due_us > r->now_us ? due_us : r->now_us;
}

/* Callers */

static Fleet__JobRow *row_new(const struct leader_rig *r, uint32_t class,
			      uint32_t workspace, uint32_t mem,
			      uint32_t estimate_ms)
{
	const struct class_shape *shape = &shapes[class];
	Fleet__JobRow *row = calloc(1, sizeof(*row));
	uint32_t i;

	assert(row);
	fleet__job_row__init(row);
	row->queue = strdup(shape->queue);
	row->pool = strdup(r->queues[class].pool);
	row->workspace = strdup(r->names[workspace % LEADER_RIG_WORKSPACES]);
	row->payload = strdup("x");
	row->steps = calloc(shape->steps, sizeof(*row->steps));
	row->n_steps = shape->steps;
	for (i = 0; i < shape->steps; i++) {
		Fleet__Step *st = calloc(1, sizeof(*st));

		assert(st);
		fleet__step__init(st);
		st->count = TASKS_PER_STEP;
		st->cpu = TASK_CPU;
		st->mem = mem;
		st->estimate_ms = estimate_ms;
		st->label = strdup("");
		st->near_rack = strdup("");
		st->image = strdup("");
		if (i) {
			st->after = calloc(1, sizeof(*st->after));
			assert(st->after);
			st->after[st->n_after++] = i - 1;
		}
		row->steps[i] = st;
	}
	return row;
}

static uint64_t objective_us(const struct leader_rig *r, uint32_t class)
{
	const struct config_queue *q = &r->queues[class];

	return 1000u * (uint64_t)(q->objective_slack_ms +
				  q->objective_factor * shapes[class].steps *
					  shapes[class].task_ms);
}

static void arrive(struct leader_rig *r, uint32_t class)
{
	struct rig_job *job;

	if (r->job_count == r->job_alloc) {
		r->job_alloc = r->job_alloc ? 2 * r->job_alloc : 1024;
		r->jobs = realloc(r->jobs, r->job_alloc * sizeof(*r->jobs));
		assert(r->jobs);
	}
	job = &r->jobs[r->job_count++];
	memset(job, 0, sizeof(*job));
	snprintf(job->id, sizeof(job->id), "%016x", r->job_count);
	job->class = class;
	job->first_us = r->next_arrival_us[class];
	r->counts[class].sent++;
	event_new(r, EVENT_SUBMIT, job->first_us, r->job_count - 1);
	r->next_arrival_us[class] += (uint64_t)(1e6 / r->per_s[class]);
}

static void on_submit(struct leader_rig *r, const struct rig_event *e)
{
	struct rig_job *job = &r->jobs[e->subject];
	struct leader_rig_class *c = &r->counts[job->class];
	bool counted = e->subject >= r->first_counted;
	uint32_t after_ms = 0;

	spend(r, COST_SUBMIT);
	c->answers++;
	c->slow_answers += r->now_us - e->at_us > 1000u * LEADER_RIG_ANSWER_MS;
	switch (sched_submit(r->s, job->id,
			     row_new(r, job->class, e->subject, TASK_MEM,
				     shapes[job->class].task_ms),
			     now_ms(r), now_ms(r), &after_ms)) {
	case SUBMIT_ACCEPTED:
		job->accepted = true;
		spend(r, COST_ACCEPT);
		event_new(r, EVENT_STATE, r->now_us + 1000u * STATE_MS,
			  e->subject);
		schedule_pass(r);
		break;
	case SUBMIT_REFUSED:
		if (job->tries++ == RETRIES_MAX) {
			job->over = true;
			c->refused += counted;
			break;
		}
		c->retried += counted;
		after_ms = (after_ms + CALLERS_RETRY_MS - 1) /
			   CALLERS_RETRY_MS * CALLERS_RETRY_MS;
		event_new(r, EVENT_SUBMIT, r->now_us + 1000u * after_ms,
			  e->subject);
		break;
	default:
		abort();
	}
}

static void count_end(struct leader_rig *r, struct rig_job *job)
{
	struct leader_rig_class *c = &r->counts[job->class];

	job->over = true;
	if ((uint32_t)(job - r->jobs) < r->first_counted)
		return;
	if (r->now_us - job->first_us <= objective_us(r, job->class))
		c->in_time++;
	else
		c->late++;
}

static void on_state(struct leader_rig *r, const struct rig_event *e)
{
	struct rig_job *job = &r->jobs[e->subject];

	spend(r, COST_STATE);
	sched_state(r->s, job->id, shapes[job->class].queue);
	if (e->subject % STATES_PER_COUNT == 0)
		sched_pending(r->s, shapes[job->class].queue);
	if (!job->over && ++job->states < STATES_MAX)
		event_new(r, EVENT_STATE, r->now_us + 1000u * STATE_MS,
			  e->subject);
}

/* Instances */

static uint32_t instance_index(const char *id)
{
	return (uint32_t)strtoul(id + 2, NULL, 10);
}

/* When an instance will answer its poll: at the next end, or in the end. */
static void schedule_report(struct leader_rig *r, struct instance_sim *i)
{
	uint64_t at_us = i->answer_us;
	const struct task_run *run;

	DL_FOREACH(i->runs, run)
	if (run->ends_us < at_us)
		at_us = run->ends_us;
	event_new(r, EVENT_REPORT,
		  at_us > r->now_us ? at_us : r->now_us + 1000u,
		  (uint32_t)(i - r->instances));
}

static void poll_begin(struct leader_rig *r, const struct sched_poll *poll)
{
	struct instance_sim *i =
		&r->instances[instance_index(poll->instance_id)];
	struct task_run *run, *next;

	i->polling = true;
	i->poll = *poll;
	i->polled_us = r->now_us;
	i->answer_us = r->now_us + 1000u * (poll->wait_ms + CALL_MS);
	DL_FOREACH_SAFE(i->runs, run, next)
	if (run->end_seq && run->end_seq <= poll->acked) {
		DL_DELETE(i->runs, run);
		free(run);
	}
	schedule_report(r, i);
}

static void on_report(struct leader_rig *r, const struct rig_event *e)
{
	struct instance_sim *i = &r->instances[e->subject];
	struct sched_running running[REPORT_MAX];
	struct sched_ended ended[REPORT_MAX];
	struct sched_report report = { .clock_ms = e->at_us / 1000,
				       .started_unix_ms = 7,
				       .running = running,
				       .ended = ended };
	struct task_run *run;

	if (!i->polling)
		return;
	i->polling = false;
	DL_FOREACH(i->runs, run)
	{
		if (run->ends_us <= e->at_us && !run->end_seq)
			run->end_seq = ++i->last_seq;
		if (run->end_seq)
			ended[report.ended_count++] =
				(struct sched_ended){ run->end_seq, run->task,
						      run->number, SCHED_DONE,
						      "" };
		else
			running[report.running_count++] =
				(struct sched_running){ run->task, run->number,
							"", 50, 0 };
		assert(report.ended_count < REPORT_MAX &&
		       report.running_count < REPORT_MAX);
	}
	spend(r, COST_REPORT + COST_END * report.ended_count);
	sched_poll_done(r->s, i->poll.instance, &report, i->polled_us / 1000,
			now_ms(r));
	schedule_pass(r);
}

static void start(struct leader_rig *r, const struct sched_order *order)
{
	struct instance_sim *i =
		&r->instances[instance_index(order->instance_id)];
	struct task_run *run = calloc(1, sizeof(*run));
	struct rig_event *e;
	uint32_t class;

	assert(run);
	class = r->jobs[strtoul(order->task, NULL, 16) - 1].class;
	memcpy(run->task, order->task, sizeof(run->task));
	run->number = order->number;
	run->ends_us = r->now_us + 1000u * (CALL_MS + shapes[class].task_ms);
	DL_APPEND(i->runs, run);
	e = event_new(r, EVENT_STARTED, r->now_us + 1000u * CALL_MS, 0);
	e->order = *order;
	e->sent_ms = now_ms(r);
	memcpy(e->instance_id, i->id, sizeof(e->instance_id));
	if (i->polling && run->ends_us < i->answer_us)
		event_new(r, EVENT_REPORT, run->ends_us,
			  (uint32_t)(i - r->instances));
}

static void on_started(struct leader_rig *r, struct rig_event *e)
{
	spend(r, COST_START / 2);
	e->order.instance_id = e->instance_id;
	sched_order_done(r->s, &e->order, ORDER_DONE, 0, e->sent_ms, now_ms(r));
	schedule_pass(r);
}

/* Leader */

static void on_written(struct leader_rig *r, const struct rig_event *e)
{
	uint32_t i;

	spend(r, COST_COMMIT / 2);
	r->committing = false;
	sched_batch_done(r->s, e->subject, true, now_ms(r));
	sched_leader_confirmed(r->s, now_ms(r));
	for (i = 0; i < r->ended_count; i++)
		count_end(r, &r->jobs[r->ended[i]]);
	schedule_pass(r);
}

static void commit(struct leader_rig *r)
{
	struct sched_change change;
	uint32_t count = 0;

	if (r->committing)
		return;
	r->batch++;
	r->ended_count = 0;
	while (count < BATCH_MAX &&
	       sched_next_change(r->s, r->batch, &change)) {
		if (change.progress)
			fleet__progress_row__free_unpacked(change.progress,
							   NULL);
		if (change.is_ended)
			r->ended[r->ended_count++] =
				(uint32_t)strtoul(change.id, NULL, 16) - 1;
		count++;
	}
	if (!count)
		return;
	while (sched_next_expired(r->s, r->batch))
		;
	r->committing = true;
	spend(r, COST_COMMIT / 2);
	event_new(r, EVENT_WRITTEN, r->now_us + 1000u * STORE_MS, r->batch);
}

static void pass(struct leader_rig *r)
{
	uint64_t begun_us = r->now_us;
	struct sched_order order;
	struct sched_poll poll;

	r->pass_us = 0;
	spend(r, COST_PASS);
	sched_set_busy(r->s, r->busy_us, now_ms(r));
	sched_tick(r->s, now_ms(r), now_ms(r));
	while (sched_next_order(r->s, now_ms(r), &order)) {
		assert(order.kind == ORDER_START);
		spend(r, COST_START / 2);
		start(r, &order);
	}
	while (sched_next_poll(r->s, now_ms(r), &poll))
		if (strcmp(poll.instance_id, "leaving"))
			poll_begin(r, &poll);
	commit(r);
	r->pass_ended_us = r->now_us;
	r->pass_took_us = r->now_us - begun_us;
}

static void handle(struct leader_rig *r, struct rig_event *e)
{
	switch (e->kind) {
	case EVENT_SUBMIT:
		on_submit(r, e);
		break;
	case EVENT_STATE:
		on_state(r, e);
		break;
	case EVENT_STARTED:
		on_started(r, e);
		break;
	case EVENT_REPORT:
		on_report(r, e);
		break;
	case EVENT_WRITTEN:
		on_written(r, e);
		break;
	case EVENT_KINDS:
		abort();
	}
}

void leader_rig_run(struct leader_rig *r, uint32_t ms)
{
	uint64_t end_us = r->now_us + 1000u * ms;
	uint32_t c;

	while (r->now_us < end_us) {
		struct rig_event *e;
		uint64_t next_us = end_us;

		for (c = 0; c < LEADER_RIG_CLASSES; c++) {
			while (r->per_s[c] > 0 &&
			       r->next_arrival_us[c] <= r->now_us)
				arrive(r, c);
			if (r->per_s[c] > 0 && r->next_arrival_us[c] < next_us)
				next_us = r->next_arrival_us[c];
		}
		/* Timers go before what has arrived. */
		if (r->pass_us && r->pass_us <= r->now_us) {
			pass(r);
			continue;
		}
		e = r->events;
		if (e && e->at_us <= r->now_us) {
			DL_DELETE(r->events, e);
			handle(r, e);
			free(e);
			continue;
		}
		if (e && e->at_us < next_us)
			next_us = e->at_us;
		if (r->pass_us && r->pass_us < next_us)
			next_us = r->pass_us;
		/* The node's tick schedules a pass when nothing happens. */
		if (!r->pass_us &&
		    r->pass_ended_us + 1000u * NODE_TICK_MS < next_us) {
			next_us = r->pass_ended_us + 1000u * NODE_TICK_MS;
			if (next_us < r->now_us)
				next_us = r->now_us;
			r->pass_us = next_us;
		}
		r->now_us = next_us;
	}
}

void leader_rig_add_ended(struct leader_rig *r, uint32_t count)
{
	Fleet__EndRow end = FLEET__END_ROW__INIT;
	char id[SCHED_ID_BYTES + 1];

	end.queue = (char *)shapes[0].queue;
	end.state = FLEET__JOB_STATE__COMPLETED;
	while (count-- > 0) {
		snprintf(id, sizeof(id), "e%015x", count);
		sched_load_end(r->s, id, &end, now_ms(r));
	}
}

/*
 * Only an instance that is leaving would have room. They are short, so that
 * they don't keep others from being accepted.
 */
void leader_rig_add_waiting(struct leader_rig *r, uint32_t count)
{
	struct sched_instance_info leaving = {
		.id = "leaving",
		.address = "a:1",
		.zone = "z",
		.pool = r->queues[0].pool,
		.machine = "leaving",
		.capacity = { INSTANCE_CPU, WAITING_MEM, 0 },
		.leaving = true,
	};
	char id[SCHED_ID_BYTES + 1];
	uint32_t after_ms;

	sched_instance_listed(r->s, &leaving, now_ms(r));
	while (count-- > 0) {
		snprintf(id, sizeof(id), "f%015x", count);
		sched_submit(r->s, id, row_new(r, 0, count, WAITING_MEM, 1),
			     now_ms(r), now_ms(r), &after_ms);
	}
}

void leader_rig_send(struct leader_rig *r, uint32_t class, double per_s)
{
	r->per_s[class] = per_s;
	r->next_arrival_us[class] = r->now_us;
}

double leader_rig_cost_us(uint32_t class)
{
	double tasks = shapes[class].steps * TASKS_PER_STEP;

	return COST_SUBMIT + COST_ACCEPT + STATES_MAX * COST_STATE +
	       tasks * (COST_START + COST_REPORT + COST_END);
}

double leader_rig_refusal_us(void)
{
	return (RETRIES_MAX + 1) * COST_SUBMIT;
}

void leader_rig_forget(struct leader_rig *r)
{
	memset(r->counts, 0, sizeof(r->counts));
	r->first_counted = r->job_count;
}

const struct leader_rig_class *leader_rig_class(const struct leader_rig *r,
						uint32_t class)
{
	return &r->counts[class];
}

static void configure(struct leader_rig *r)
{
	static const char *const pools[LEADER_RIG_POOLS] = { "p0", "p1" };
	uint32_t i;

	for (i = 0; i < LEADER_RIG_POOLS; i++)
		r->pools[i] =
			(struct config_pool){ .name = pools[i],
					      .has_admission_check = true };
	for (i = 0; i < LEADER_RIG_CLASSES; i++)
		r->queues[i] = (struct config_queue){ .name = shapes[i].queue,
						      .host = "h",
						      .prefix = "/",
						      .pool = pools[i],
						      .objective_factor = 1.5,
						      .objective_slack_ms = 600,
						      .attempts_max = 3 };
	for (i = 0; i < LEADER_RIG_WORKSPACES; i++) {
		snprintf(r->names[i], sizeof(r->names[i]), "w%u", i);
		r->workspaces[i].name = r->names[i];
		r->workspaces[i].weight = 1;
	}
	r->config = (struct config){ 1,
				     LEADER_RIG_CLASSES,
				     LEADER_RIG_POOLS,
				     LEADER_RIG_WORKSPACES,
				     r->queues,
				     r->pools,
				     r->workspaces,
				     { 0 } };
	sched_configure(r->s, &r->config, now_ms(r));
}

static void add_instances(struct leader_rig *r)
{
	uint32_t i;

	r->instance_count = r->options.instances * LEADER_RIG_POOLS;
	r->instances = calloc(r->instance_count, sizeof(*r->instances));
	assert(r->instances);
	for (i = 0; i < r->instance_count; i++) {
		struct instance_sim *sim = &r->instances[i];
		struct sched_instance_info info = {
			.id = sim->id,
			.address = "a:1",
			.zone = "z",
			.pool = r->pools[i % LEADER_RIG_POOLS].name,
			.machine = sim->id,
			.capacity = { INSTANCE_CPU, 64000, 0 },
			.label_count = 1,
			.labels = { "r1" },
		};

		snprintf(sim->id, sizeof(sim->id), "i-%u", i);
		sched_instance_listed(r->s, &info, now_ms(r));
	}
}

struct leader_rig *leader_rig_new(const struct leader_rig_options *options)
{
	struct sched_options sched = { .lease_ms = 4000,
				       .lease_max_ms = 6000,
				       .predecessor_orders_ms = 6000,
				       .start_wait_ms = 400,
				       .end_keep_ms = 120000,
				       .placement_reservations = 4 };
	struct leader_rig *r = calloc(1, sizeof(*r));

	assert(r);
	r->options = *options;
	r->now_us = 1000000;
	r->s = sched_new(NULL, &sched);
	sched_set_clock(r->s, now_ms(r));
	configure(r);
	add_instances(r);
	sched_become_leader(r->s, 1, true, now_ms(r));
	sched_expect_complete(r->s, now_ms(r));
	r->pass_us = r->now_us;
	leader_rig_run(r, 200);
	sched_leader_confirmed(r->s, now_ms(r));
	return r;
}

void leader_rig_free(struct leader_rig *r)
{
	struct rig_event *e, *next;
	struct task_run *run, *after;
	uint32_t i;

	DL_FOREACH_SAFE(r->events, e, next)
	free(e);
	for (i = 0; i < r->instance_count; i++)
		DL_FOREACH_SAFE(r->instances[i].runs, run, after)
	free(run);
	talloc_free(r->s);
	free(r->instances);
	free(r->jobs);
	free(r);
}
