#include "test/rig/course_rig.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MOVE_MS 1500u
#define MAINTENANCE_MS 2000u
#define LISTED_MS 300u	    /* from an instance's start to its entry */
#define LIST_SILENT_MS 400u /* between two lists while one is silent */
#define ACTION_MS 100u	    /* between two passes of the planner */
#define NEVER UINT64_MAX

/* The rule on accepted long-running tasks */
#define LOST_MS 6000u
#define LOST_ROOM_MS 3000u

/* Set-up */

static const char *const pool_names[] = { "p0", "p1", "p2", "p3", "p4" };

static void set_up_config(struct course_rig *x,
			  const struct course_options *options)
{
	uint32_t p;

	assert_true(options->pools < COURSE_POOLS_MAX);
	for (p = 0; p <= options->pools; p++) {
		bool spare = p == options->pools;

		x->pools[p] = (struct config_pool){
			.name = spare ? "spare" : pool_names[p],
			.has_admission_check = true,
			.spare = spare,
		};
		x->queues[p] = (struct config_queue){
			.name = pool_names[p],
			.host = "h",
			.prefix = "/",
			.pool = x->pools[p].name,
			.objective_factor = 20,
			.objective_slack_ms = 20000,
			.attempts_max = 2,
		};
		if (!options->advised)
			continue;
		x->queues[p].needs_advice = true;
		x->queues[p].advice_valid_ms = 3000;
		x->queues[p].advice_decision_ms = 20;
		x->queues[p].advice_instance_ms = 3;
	}
	x->workspaces[0] = (struct config_workspace){ .name = "w" };
	x->workspaces[1] = (struct config_workspace){ .name = "capped" };
	x->config = (struct config){ .version = 1,
				     .queue_count = options->pools,
				     .pool_count = options->pools + 1,
				     .workspace_count = COURSE_WORKSPACES,
				     .queues = x->queues,
				     .pools = x->pools,
				     .workspaces = x->workspaces };
}

void course_new(struct course_rig *x, const struct course_options *options)
{
	struct sched_options sched = { .lease_ms = 4000,
				       .lease_max_ms = 10000,
				       .predecessor_orders_ms = 6000,
				       .start_wait_ms = 1000,
				       .end_keep_ms = 120000,
				       .placement_reservations = 2 };
	struct fleet_options fleet = { .maintenance_ms = MAINTENANCE_MS,
				       .move_ms = MOVE_MS };

	memset(x, 0, sizeof(*x));
	x->now = 10000;
	x->jobs = calloc(COURSE_JOBS_MAX, sizeof(*x->jobs));
	assert_non_null(x->jobs);
	set_up_config(x, options);
	x->s = sched_new(NULL, &sched);
	sched_set_clock(x->s, x->now);
	sched_configure(x->s, &x->config, x->now);
	sched_become_leader(x->s, options->epoch ? options->epoch : 1, true,
			    x->now);
	x->f = fleet_new(x->s, &fleet);
	fleet_configure(x->f, &x->config);
}

void course_free(struct course_rig *x)
{
	talloc_free(x->s);
	free(x->jobs);
}

static void come_up(struct course_rig *x, struct course_machine *m)
{
	m->state = FLEET_UP;
	m->up_ms = x->now;
	m->last_seq = m->end_count = 0;
	m->listed = false;
	if (!x->pools[m->pool].spare)
		snprintf(m->instance, sizeof(m->instance), "i-%u",
			 ++x->instance_count);
}

struct course_machine *course_add_machine(struct course_rig *x, uint32_t pool)
{
	struct course_machine *m = &x->machines[x->machine_count];

	assert_true(x->machine_count < COURSE_MACHINES_MAX);
	snprintf(m->name, sizeof(m->name), "m-%u", x->machine_count++);
	m->pool = pool;
	m->zone = "z";
	m->result = FLEET_DONE;
	m->capacity_cpu = COURSE_CPU;
	m->capacity_mem = COURSE_MEM;
	come_up(x, m);
	x->list_is_due = true;
	return m;
}

/* Jobs */

static Fleet__JobRow *row_of(const struct course_rig *x,
			     const struct course_job *job)
{
	Fleet__JobRow *row = calloc(1, sizeof(*row));
	Fleet__Step *st = calloc(1, sizeof(*st));

	assert(row && st);
	fleet__job_row__init(row);
	row->queue = strdup(x->queues[job->pool].name);
	row->pool = strdup(x->pools[job->pool].name);
	row->workspace = strdup(job->workspace ? job->workspace : "w");
	row->payload = strdup("x");
	row->steps = calloc(1, sizeof(Fleet__Step *));
	assert(row->steps);
	row->n_steps = 1;
	fleet__step__init(st);
	st->count = job->count;
	st->cpu = job->cpu;
	st->mem = job->mem;
	st->estimate_ms = job->lasting ? 500 : job->run_ms;
	st->label = strdup(job->label ? job->label : "");
	st->near_rack = strdup("");
	st->image = strdup("");
	st->lasting = job->lasting;
	st->spread_limit = job->spread_limit;
	st->may_miss = job->may_miss;
	row->steps[0] = st;
	return row;
}

static void write_rows(struct course_rig *x)
{
	struct sched_change change;

	if (x->store_slow)
		return;
	while (sched_next_change(x->s, 1, &change))
		if (change.progress)
			fleet__progress_row__free_unpacked(change.progress,
							   NULL);
	sched_batch_done(x->s, 1, true, x->now);
}

uint32_t course_submit(struct course_rig *x, const struct course_job *job)
{
	struct course_job *j = &x->jobs[x->job_count++];
	uint32_t after, t;

	assert_true(x->job_count < COURSE_JOBS_MAX);
	*j = *job;
	snprintf(j->id, sizeof(j->id), "%016x", x->job_count);
	for (t = 0; j->lasting && t < j->count; t++)
		j->tasks[t].without_since_ms = x->now;
	if (sched_submit(x->s, j->id, row_of(x, j), x->now, x->now, &after) !=
	    SUBMIT_ACCEPTED)
		j->cancelled = true;
	assert_true(!j->lasting || !j->cancelled);
	return x->job_count - 1;
}

void course_cancel(struct course_rig *x, uint32_t job)
{
	x->jobs[job].cancelled = true;
	sched_cancel(x->s, x->jobs[job].id, x->queues[x->jobs[job].pool].name,
		     x->now);
}

/* Machines and instances */

static void run_end(struct course_rig *x, struct course_machine *m, uint32_t r,
		    bool reported, enum sched_outcome outcome)
{
	struct course_run run = m->runs[r];
	struct course_job *job = &x->jobs[run.job];

	m->runs[r] = m->runs[--m->run_count];
	m->cpu -= job->cpu;
	m->mem -= job->mem;
	if (reported) {
		assert_true(m->end_count < COURSE_ENDS_MAX);
		m->ends[m->end_count++] =
			(struct course_end){ run, ++m->last_seq, outcome };
	}
	if (job->lasting) {
		job->tasks[run.task].runs--;
		job->tasks[run.task].without_since_ms = x->now;
	}
}

static void go_away(struct course_rig *x, struct course_machine *m,
		    enum fleet_machine_state state, uint64_t back_ms)
{
	while (m->run_count)
		run_end(x, m, m->run_count - 1, false, SCHED_STOPPED);
	if (m->listed)
		sched_instance_unlisted(x->s, m->instance, x->now);
	m->listed = false;
	m->instance[0] = '\0';
	m->state = state;
	m->back_ms = back_ms;
}

void course_crash(struct course_rig *x, struct course_machine *m,
		  uint64_t back_ms)
{
	go_away(x, m, FLEET_DOWN, back_ms);
	x->list_is_due = true;
}

static void list_instance(struct course_rig *x, struct course_machine *m)
{
	struct sched_instance_info info = {
		.id = m->instance,
		.address = "a:1",
		.zone = m->zone,
		.pool = x->pools[m->pool].name,
		.machine = m->name,
		.started_unix_ms = m->up_ms,
		.capacity = { m->capacity_cpu, m->capacity_mem, 0 },
	};

	if (m->label)
		info.labels[info.label_count++] = m->label;
	info.labels[info.label_count++] = "r1";
	sched_instance_listed(x->s, &info, x->now);
	m->listed = true;
}

static void machines_advance(struct course_rig *x)
{
	uint32_t i, r;

	for (i = 0; i < x->machine_count; i++) {
		struct course_machine *m = &x->machines[i];

		if (m->state != FLEET_UP && x->now >= m->back_ms) {
			if (m->state == FLEET_DOWN)
				x->list_is_due = true;
			come_up(x, m);
		}
		if (*m->instance && !m->listed &&
		    (x->now - m->up_ms >= LISTED_MS || m->up_ms == 10000))
			list_instance(x, m);
		for (r = m->run_count; r-- > 0;)
			if (x->now >= m->runs[r].ends_ms)
				run_end(x, m, r, true, SCHED_DONE);
	}
}

static struct course_machine *machine_of_instance(struct course_rig *x,
						  const char *id)
{
	uint32_t i;

	for (i = 0; i < x->machine_count; i++)
		if (!strcmp(x->machines[i].instance, id))
			return &x->machines[i];
	return NULL;
}

static struct course_machine *machine_named(struct course_rig *x,
					    const char *name)
{
	uint32_t i;

	for (i = 0; i < x->machine_count; i++)
		if (!strcmp(x->machines[i].name, name))
			return &x->machines[i];
	fail_msg("no machine %s", name);
	return NULL;
}

/* Orders to instances */

static void find_task(const char *name, uint32_t *job, uint32_t *task)
{
	char id[SCHED_ID_BYTES + 1];

	snprintf(id, sizeof(id), "%.16s", name);
	*job = (uint32_t)strtoul(id, NULL, 16) - 1;
	*task = (uint32_t)strtoul(strrchr(name, '.') + 1, NULL, 10);
}

static enum sched_order_result start(struct course_rig *x,
				     struct course_machine *m,
				     const struct sched_order *o)
{
	struct course_run run = { .number = o->number, .ends_ms = NEVER };
	struct course_job *job;

	find_task(o->task, &run.job, &run.task);
	job = &x->jobs[run.job];
	if (m->refuses_starts)
		return ORDER_REFUSED;
	if (m->cpu + job->cpu > m->capacity_cpu ||
	    m->mem + job->mem > m->capacity_mem)
		return ORDER_REFUSED_CAPACITY;
	assert_true(m->run_count < COURSE_RUNS_MAX);
	if (!job->lasting)
		run.ends_ms = x->now + job->run_ms;
	m->runs[m->run_count++] = run;
	m->cpu += job->cpu;
	m->mem += job->mem;
	if (job->lasting) {
		job->tasks[run.task].runs++;
		job->tasks[run.task].starts++;
	}
	return ORDER_DONE;
}

static enum sched_order_result stop(struct course_rig *x,
				    struct course_machine *m,
				    const struct sched_order *o)
{
	uint32_t job, task, r;

	find_task(o->task, &job, &task);
	for (r = m->run_count; r-- > 0;)
		if (m->runs[r].job == job && m->runs[r].task == task &&
		    m->runs[r].number == o->number)
			run_end(x, m, r, true, SCHED_STOPPED);
	m->silent |= m->silent_after_stop;
	return m->stop_unanswered ? ORDER_UNKNOWN : ORDER_DONE;
}

static void carry_out(struct course_rig *x, const struct sched_order *o)
{
	struct course_machine *m = machine_of_instance(x, o->instance_id);
	enum sched_order_result result = ORDER_DONE;

	if (!m)
		result = ORDER_UNREACHED;
	else if (o->kind == ORDER_START)
		result = start(x, m, o);
	else if (o->kind == ORDER_STOP)
		result = stop(x, m, o);
	sched_order_done(x->s, o, result, x->now, x->now, x->now);
}

/* Polls */

static const char *task_name(const struct course_rig *x,
			     const struct course_run *run, char *name)
{
	snprintf(name, SCHED_TASK_MAX, "%s.0.0.%u", x->jobs[run->job].id,
		 run->task);
	return name;
}

static void answer_poll(struct course_rig *x, const struct sched_poll *poll)
{
	static char names[COURSE_RUNS_MAX + COURSE_ENDS_MAX][SCHED_TASK_MAX];
	struct course_machine *m = machine_of_instance(x, poll->instance_id);
	struct sched_running running[COURSE_RUNS_MAX];
	struct sched_ended ended[COURSE_ENDS_MAX];
	struct sched_report report = { .clock_ms = x->now,
				       .running = running,
				       .ended = ended };
	uint32_t n, kept = 0;

	if (!m || m->silent) {
		sched_poll_done(x->s, poll->instance, NULL, x->now, x->now);
		return;
	}
	for (n = 0; n < m->end_count; n++)
		if (m->ends[n].seq > poll->acked)
			m->ends[kept++] = m->ends[n];
	m->end_count = kept;
	for (n = 0; n < m->run_count; n++)
		running[n] =
			(struct sched_running){ task_name(x, &m->runs[n],
							  names[n]),
						m->runs[n].number, "", 100, 0 };
	for (n = 0; n < kept; n++)
		ended[n] = (struct sched_ended){
			m->ends[n].seq,
			task_name(x, &m->ends[n].run,
				  names[COURSE_RUNS_MAX + n]),
			m->ends[n].run.number, m->ends[n].outcome, ""
		};
	report.started_unix_ms = m->up_ms;
	report.running_count = m->run_count;
	report.ended_count = kept;
	sched_poll_done(x->s, poll->instance, &report, x->now, x->now);
}

static void answer_polls(struct course_rig *x)
{
	struct sched_poll polls[COURSE_MACHINES_MAX];
	uint32_t count = 0, n;

	while (count < COURSE_MACHINES_MAX &&
	       sched_next_poll(x->s, x->now, &polls[count]))
		count++;
	for (n = 0; n < count; n++)
		answer_poll(x, &polls[n]);
}

static void answer_adviser(struct course_rig *x)
{
	struct sched_approval approvals[SCHED_ADVICE_MAX];
	struct sched_advice advice;

	while (sched_next_advice(x->s, x->now, &advice)) {
		uint32_t n, count = 0;

		for (n = 0; n < advice.count; n++) {
			struct course_machine *m =
				machine_of_instance(x, advice.instances[n]);

			if (m && !m->denied)
				approvals[count++] = (struct sched_approval){
					advice.instances[n], "ticket"
				};
		}
		sched_advice_done(x->s, advice.step, approvals, count, 3000,
				  x->now, x->now);
	}
}

/* Orders to machines */

static enum fleet_result order_machine(struct course_rig *x,
				       const struct fleet_action *a)
{
	struct course_machine *m = machine_named(x, a->machine);
	uint32_t pool = 0;

	if (a->kind == FLEET_ACTION_MAINTENANCE) {
		go_away(x, m, FLEET_IN_MAINTENANCE, x->now + MAINTENANCE_MS);
		return FLEET_DONE;
	}
	while (strcmp(x->pools[pool].name, a->pool) != 0)
		pool++;
	if (m->result != FLEET_DONE)
		return m->result;
	x->moves_to[pool]++;
	m->pool = pool;
	go_away(x, m, FLEET_MOVING, x->now + MOVE_MS);
	return FLEET_DONE;
}

static void plan(struct course_rig *x)
{
	struct fleet_action a;

	if (x->now % ACTION_MS)
		return;
	while (fleet_next_action(x->f, x->s, x->now, &a))
		fleet_action_result(x->f, x->s, &a,
				    a.kind == FLEET_ACTION_WAVE_STATE
					    ? FLEET_DONE
					    : order_machine(x, &a),
				    x->now);
}

static void list_machines(struct course_rig *x)
{
	static struct fleet_machine_info list[COURSE_MACHINES_MAX];
	uint32_t i;

	x->list_is_due |= fleet_needs_machine_list(x->f, x->now) ||
			  (sched_needs_machine_list(x->s) &&
			   x->now - x->listed_ms >= LIST_SILENT_MS);
	if (x->list_fails || !x->list_is_due)
		return;
	x->list_is_due = false;
	x->listed_ms = x->now;
	fleet_list_requested(x->f, x->now);
	for (i = 0; i < x->machine_count; i++) {
		const struct course_machine *m = &x->machines[i];

		list[i] = (struct fleet_machine_info){
			.machine = m->name,
			.pool = x->pools[m->pool].name,
			.rack = "r1",
			.state = m->state,
			.zone = m->zone,
		};
	}
	fleet_set_machines(x->f, list, x->machine_count, x->now);
	for (i = 0; i < x->machine_count; i++)
		sched_machine_listed(x->s, x->machines[i].name,
				     x->machines[i].instance, x->now, x->now);
	sched_expect_complete(x->s, x->now);
}

/* What is measured */

struct course_machine *course_machine_of(struct course_rig *x, uint32_t job,
					 uint32_t task)
{
	uint32_t i, r;

	for (i = 0; i < x->machine_count; i++)
		for (r = 0; r < x->machines[i].run_count; r++)
			if (x->machines[i].runs[r].job == job &&
			    x->machines[i].runs[r].task == task)
				return &x->machines[i];
	return NULL;
}

uint64_t course_waited_ms(const struct course_rig *x, uint32_t job,
			  uint32_t task)
{
	const struct course_task *t = &x->jobs[job].tasks[task];

	return t->runs ? 0 : x->now - t->without_since_ms;
}

/* Tasks of the job that all machines of its pool have room for. */
static uint32_t count_room(const struct course_rig *x, uint32_t index)
{
	const struct course_job *job = &x->jobs[index];
	uint32_t room = 0;
	uint32_t i, r;

	for (i = 0; i < x->machine_count; i++) {
		const struct course_machine *m = &x->machines[i];
		int64_t fits;
		uint32_t taken = 0;

		if (m->pool != job->pool || !m->listed || m->silent ||
		    m->denied || m->refuses_starts ||
		    (job->label &&
		     (!m->label || strcmp(job->label, m->label) != 0)))
			continue;
		fits = (m->capacity_mem - m->mem) / job->mem;
		if (fits > (m->capacity_cpu - m->cpu) / job->cpu)
			fits = (m->capacity_cpu - m->cpu) / job->cpu;
		for (r = 0; r < m->run_count; r++)
			taken += m->runs[r].job == index;
		if (job->spread_limit && fits > job->spread_limit - taken)
			fits = job->spread_limit - taken;
		room += (uint32_t)fits;
	}
	return room;
}

static void check_task(struct course_rig *x, uint32_t job, uint32_t task,
		       bool asked)
{
	struct course_job *j = &x->jobs[job];
	struct course_task *t = &j->tasks[task];
	struct course_wait *w = &x->current[job * COURSE_TASKS_MAX + task];

	if (t->runs || j->cancelled) {
		w->ms = 0;
		t->lost = false;
		return;
	}
	if (!w->ms)
		*w = (struct course_wait){ .job = job,
					   .task = task,
					   .begin_ms = t->without_since_ms };
	w->ms = x->now - t->without_since_ms;
	w->asked_ms += asked ? COURSE_TICK_MS : 0;
	w->room_ms += j->room_since_ms ? COURSE_TICK_MS : 0;
	if (w->begin_ms >= x->count_from_ms && w->ms > x->longest.ms)
		x->longest = *w;
	if (!t->lost && w->ms >= LOST_MS && j->room_since_ms &&
	    x->now - j->room_since_ms >= LOST_ROOM_MS) {
		t->lost = true;
		x->lost++;
	}
}

static void check(struct course_rig *x)
{
	bool asked[COURSE_POOLS_MAX];
	uint32_t p, n, t;

	for (p = 0; p < x->config.pool_count; p++) {
		struct sched_pool_load load;

		asked[p] = sched_pool_load(x->s, x->pools[p].name, &load) &&
			   load.long_running_machines;
	}
	for (n = 0; n < x->job_count && n < 16; n++) {
		struct course_job *job = &x->jobs[n];

		if (!job->lasting)
			continue;
		if (count_room(x, n) < 2)
			job->room_since_ms = 0;
		else if (!job->room_since_ms)
			job->room_since_ms = x->now;
		for (t = 0; t < job->count; t++)
			check_task(x, n, t, asked[job->pool]);
	}
}

void course_advance(struct course_rig *x, uint32_t ms)
{
	uint64_t end = x->now + ms;
	struct sched_order order;

	while (x->now < end) {
		x->now += COURSE_TICK_MS;
		machines_advance(x);
		sched_leader_confirmed(x->s, x->now - 1);
		list_machines(x);
		answer_polls(x);
		answer_adviser(x);
		sched_tick(x->s, x->now, x->now);
		while (sched_next_order(x->s, x->now, &order))
			carry_out(x, &order);
		write_rows(x);
		plan(x);
		check(x);
	}
}
