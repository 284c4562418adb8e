#include "test/rig/drain_rig.h"

const char drain_id_other[] = "ffffffffffffffff";

static const char *const instance_names[] = { "i-0", "i-1", "i-2" };

void drain_runs_note(struct drain_runs *runs, const struct sched_order *o)
{
	uint32_t n;

	if (o->kind == ORDER_START) {
		assert_true(runs->count < DRAIN_RUNS_MAX);
		runs->orders[runs->count++] = *o;
		return;
	}
	for (n = 0; n < runs->count; n++)
		if (runs->orders[n].number == o->number &&
		    !strcmp(runs->orders[n].task, o->task))
			runs->orders[n].kind = ORDER_STOP;
}

/* Answers a poll; a stop that was sent has ended its run. */
static void report_one(struct drain_runs *runs, struct rig *r,
		       const struct sched_poll *poll,
		       enum sched_outcome outcome)
{
	struct sched_running running[DRAIN_RUNS_MAX];
	struct sched_ended ended[DRAIN_RUNS_MAX];
	uint32_t running_count = 0, ended_count = 0;
	uint32_t n;

	for (n = 0; n < runs->count; n++) {
		struct sched_order *o = &runs->orders[n];

		if (strcmp(o->instance_id, poll->instance_id) || !o->number)
			continue;
		if (o->kind == ORDER_START)
			running[running_count++] =
				(struct sched_running){ o->task, o->number, "",
							100, 0 };
		else
			ended[ended_count++] =
				(struct sched_ended){ ++runs->end_seq, o->task,
						      o->number, outcome, "" };
	}
	report(r, poll->instance, running, running_count, ended, ended_count,
	       r->now);
	for (n = 0; n < runs->count; n++)
		if (!strcmp(runs->orders[n].instance_id, poll->instance_id) &&
		    runs->orders[n].kind == ORDER_STOP)
			runs->orders[n].number = 0;
}

void drain_runs_report(struct drain_runs *runs, struct rig *r,
		       enum sched_outcome outcome)
{
	struct sched_poll polls[DRAIN_POLLS_MAX];
	uint32_t count = 0;

	while (count < DRAIN_POLLS_MAX &&
	       sched_next_poll(r->s, r->now, &polls[count]))
		count++;
	while (count-- > 0)
		if (!runs->silent ||
		    strcmp(polls[count].instance_id, runs->silent) != 0)
			report_one(runs, r, &polls[count], outcome);
}

void drain_list_instance(struct rig *r, const char *id, const char *pool,
			 const char *label)
{
	struct sched_instance_info info = {
		.id = id,
		.address = "a:1",
		.zone = "z",
		.pool = pool,
		.machine = id,
		.started_unix_ms = r->started_unix_ms,
		.capacity = { 4000, 4000, 0 },
	};

	if (label)
		info.labels[info.label_count++] = label;
	info.labels[info.label_count++] = "r1";
	sched_instance_listed(r->s, &info, r->now);
}

static void configure(struct drain_rig *x)
{
	x->pools[0] = (struct config_pool){ .name = "p",
					    .has_admission_check = true };
	x->pools[1] = (struct config_pool){ .name = "spare",
					    .has_admission_check = true,
					    .spare = true };
	x->pools[2] = (struct config_pool){ .name = "backlog",
					    .has_admission_check = true };
	x->queues[0] = x->queues[1] = x->r.queue;
	x->queues[1].name = "backlog";
	x->queues[1].prefix = "/backlog";
	x->queues[1].pool = "backlog";
	x->workspaces[0] = x->r.workspace;
	x->workspaces[1] = (struct config_workspace){ .name = "capped",
						      .cap = { 3000, 0, 0 } };
	x->r.config.pools = x->pools;
	x->r.config.pool_count = 3;
	x->r.config.queues = x->queues;
	x->r.config.queue_count = 2;
	x->r.config.workspaces = x->workspaces;
	x->r.config.workspace_count = 2;
	sched_configure(x->r.s, &x->r.config, x->r.now);
}

void drain_new(struct drain_rig *x, uint32_t instances)
{
	struct fleet_options options = { .maintenance_ms = 2000,
					 .move_ms = 1500 };
	uint32_t i;

	memset(x, 0, sizeof(*x));
	rig_new(&x->r);
	x->r.now = 10000;
	x->r.workspace.cap.cpu = 0;
	configure(x);
	for (i = 0; i < instances; i++) {
		add_instance(&x->r, instance_names[i], false);
		drain_add_machine(x, instance_names[i], "p");
	}
	sched_become_leader(x->r.s, 1, true, x->r.now);
	sched_expect_complete(x->r.s, x->r.now);
	make_all_usable(&x->r);
	x->f = fleet_new(x->r.s, &options);
	fleet_configure(x->f, &x->r.config);
}

void drain_new_advised(struct drain_rig *x, uint32_t instances)
{
	drain_new(x, instances);
	x->queues[0].needs_advice = true;
	x->queues[0].advice_valid_ms = 3000;
	x->queues[0].advice_decision_ms = 20;
	x->queues[0].advice_instance_ms = 3;
	sched_configure(x->r.s, &x->r.config, x->r.now);
	x->approves = true;
}

void drain_free(struct drain_rig *x)
{
	talloc_free(x->r.s);
}

void drain_add_machine(struct drain_rig *x, const char *machine,
		       const char *pool)
{
	assert_true(x->machine_count < DRAIN_MACHINES_MAX);
	x->machines[x->machine_count++] =
		(struct fleet_machine_info){ .machine = machine,
					     .pool = pool,
					     .rack = "r1",
					     .state = FLEET_UP };
}

void drain_list_machines(struct drain_rig *x)
{
	fleet_set_machines(x->f, x->machines, x->machine_count, x->r.now);
}

void drain_add_backlog(struct drain_rig *x)
{
	static const char *const names[] = { "b-0", "b-1", "b-2" };
	struct sched_instance_info info = {
		.address = "a:1",
		.zone = "z",
		.pool = "backlog",
		.capacity = { 4000, 4000, 0 },
		.label_count = 1,
		.labels = { "r1" },
	};
	Fleet__JobRow *row = job_row(200, 1, false);
	uint32_t i;

	for (i = 0; i < 3; i++) {
		info.id = info.machine = names[i];
		sched_instance_listed(x->r.s, &info, x->r.now);
		drain_add_machine(x, names[i], "backlog");
	}
	make_all_usable(&x->r);
	free(row->queue);
	free(row->pool);
	row->queue = strdup("backlog");
	row->pool = strdup("backlog");
	drain_set_workspace(row, "capped");
	row->steps[0]->cpu = 3000;
	drain_submit_row(x, drain_id_other, row);
}

void drain_add_wave(struct drain_rig *x, uint32_t max_concurrent,
		    uint32_t machines)
{
	fleet_add_wave(x->f, "wave/1", 1, max_concurrent, 4000, instance_names,
		       machines, x->r.now);
}

void drain_add_long_wave(struct drain_rig *x, uint32_t machines,
			 uint32_t begun_ms)
{
	fleet_add_wave(x->f, "wave/1", 1, 1, 20000, instance_names, machines,
		       x->r.now - begun_ms);
}

Fleet__JobRow *drain_row(uint32_t tasks, uint32_t may_miss)
{
	Fleet__JobRow *row = job_row(tasks, 1, true);

	row->steps[0]->may_miss = may_miss;
	row->steps[0]->cpu = 3000;
	return row;
}

void drain_set_workspace(Fleet__JobRow *row, const char *name)
{
	free(row->workspace);
	row->workspace = strdup(name);
}

void drain_set_label(Fleet__JobRow *row, const char *label)
{
	free(row->steps[0]->label);
	row->steps[0]->label = strdup(label);
}

void drain_submit_row(struct drain_rig *x, const char *id, Fleet__JobRow *row)
{
	uint32_t after;

	assert_int_equal(
		sched_submit(x->r.s, id, row, x->r.now, x->r.now, &after),
		SUBMIT_ACCEPTED);
	write_all(&x->r);
}

void drain_submit(struct drain_rig *x, const char *id, uint32_t tasks)
{
	drain_submit_row(x, id, drain_row(tasks, 0));
}

void drain_fail_run(struct drain_rig *x, const char *task)
{
	struct sched_order *o = NULL;
	struct sched_ended ended = { 0 };
	uint32_t n;

	for (n = 0; n < x->runs.count; n++)
		if (!strcmp(x->runs.orders[n].task, task))
			o = &x->runs.orders[n];
	assert_non_null(o);
	ended = (struct sched_ended){ ++x->runs.end_seq, o->task, o->number,
				      SCHED_FAILED, "" };
	report(&x->r, o->instance, NULL, 0, &ended, 1, x->r.now);
	o->number = 0;
	write_all(&x->r);
}

static void take_action(struct drain_rig *x, const struct fleet_action *action)
{
	enum fleet_result result = FLEET_DONE;

	if (action->kind == FLEET_ACTION_MOVE) {
		x->moves++;
		memcpy(x->moved, action->machine, sizeof(x->moved));
		memcpy(x->moved_to, action->pool, sizeof(x->moved_to));
		result = x->result;
	}
	if (action->kind == FLEET_ACTION_MAINTENANCE) {
		x->upkeeps++;
		x->upkeep_wave = action->wave;
		result = x->upkeep_result;
	}
	fleet_action_result(x->f, x->r.s, action, result, x->r.now);
}

void drain_order_machines(struct drain_rig *x)
{
	struct fleet_action action;

	while (fleet_next_action(x->f, x->r.s, x->r.now, &action))
		take_action(x, &action);
}

static void answer_adviser(struct drain_rig *x)
{
	struct sched_approval approvals[SCHED_ADVICE_MAX];
	struct sched_advice advice;
	uint32_t n;

	if (x->adviser_silent || !sched_next_advice(x->r.s, x->r.now, &advice))
		return;
	for (n = 0; n < advice.count; n++)
		approvals[n] = (struct sched_approval){ advice.instances[n],
							"ticket" };
	sched_advice_done(x->r.s, advice.step, approvals,
			  x->approves ? advice.count : 0, 3000, x->r.now,
			  x->r.now);
}

static void note_order(struct drain_rig *x, const struct sched_order *o)
{
	if (o->kind == ORDER_START)
		x->starts++;
	else
		x->stops++;
	drain_runs_note(&x->runs, o);
}

void drain_advance(struct drain_rig *x, uint32_t ms)
{
	uint64_t end = x->r.now + ms;
	uint32_t n;

	while (x->r.now < end) {
		x->r.now += DRAIN_PASS_MS;
		sched_leader_confirmed(x->r.s, x->r.now);
		answer_adviser(x);
		take_orders(&x->r);
		for (n = 0; n < x->r.order_count; n++)
			note_order(x, &x->r.orders[n]);
		answer_orders(&x->r, ORDER_DONE);
		drain_runs_report(&x->runs, &x->r, SCHED_STOPPED);
		if (!x->store_slow)
			write_all(&x->r);
		drain_order_machines(x);
	}
}

void drain_advance_joining(struct drain_rig *x, uint32_t ms)
{
	uint64_t end = x->r.now + ms;
	uint64_t join_ms = 0;
	char joining[FLEET_NAME_MAX];
	uint32_t moves = x->moves;

	while (x->r.now < end) {
		drain_advance(x, DRAIN_PASS_MS);
		if (x->moves != moves) {
			moves = x->moves;
			join_ms = x->r.now + 1500;
			memcpy(joining, x->moved, sizeof(joining));
		}
		if (join_ms && x->r.now >= join_ms) {
			add_instance(&x->r, joining, false);
			join_ms = 0;
		}
	}
}
