#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/walk/upkeep_world_internal.h"

struct upkeep_machine *site_instance(struct upkeep_world *w, uint32_t serial)
{
	struct upkeep_machine *m = &w->machines[w->instance_machine[serial]];

	return m->state == UPKEEP_UP && m->instance == serial ? m : NULL;
}

static bool is_spare(const struct upkeep_world *w, uint32_t pool)
{
	return pool == w->pool_count - 1;
}

static void run_trace(const struct upkeep_world *w,
		      const struct upkeep_machine *m,
		      const struct upkeep_run *run, const char *what)
{
	const struct upkeep_job *job = &w->jobs[run->job];

	if (job->lasting)
		upkeep_trace(w, "%s.0.0.%u run %llu %s on i-%u (%s in %s)",
			     job->id, run->task,
			     (unsigned long long)run->number, what, m->instance,
			     m->name, w->names[m->pool]);
}

/* Keeps the numbers that tell a start that comes late. */
static void remember(const struct upkeep_world *w, struct upkeep_machine *m,
		     const struct upkeep_run *run)
{
	if (fault_has_leases(w))
		m->past[m->past_count++ % PAST_MAX] = *run;
}

static bool is_past(const struct upkeep_machine *m, uint32_t job, uint32_t task,
		    uint64_t number)
{
	uint32_t n;

	for (n = 0; n < m->past_count && n < PAST_MAX; n++)
		if (m->past[n].job == job && m->past[n].task == task &&
		    m->past[n].number >= number)
			return true;
	return false;
}

static void run_count(struct upkeep_world *w, const struct upkeep_run *run,
		      int change)
{
	struct upkeep_job *job = &w->jobs[run->job];

	job->running += (uint32_t)change;
	if (job->workspace)
		return;
	w->used.cpu += change * (int64_t)job->cpu;
	w->used.mem += change * (int64_t)job->mem;
}

static void run_remove(struct upkeep_world *w, struct upkeep_machine *m,
		       uint32_t r, enum upkeep_cause cause)
{
	static const char *const how[] = {
		[CAUSE_ITSELF] = "ends",
		[CAUSE_STOP] = "ends, stopped",
		[CAUSE_MACHINE] = "ends with its machine",
		[CAUSE_CRASH] = "ends by a crash",
		[CAUSE_LAPSE] = "ends as its lease lapses",
	};
	struct upkeep_run run = m->runs[r];
	const struct upkeep_job *job = &w->jobs[run.job];

	run_trace(w, m, &run, how[cause]);
	m->runs[r] = m->runs[--m->run_count];
	m->cpu -= job->cpu;
	m->mem -= job->mem;
	m->lasting_count -= job->lasting;
	run_count(w, &run, -1);
	if (cause == CAUSE_ITSELF)
		w->jobs[run.job].done++;
	remember(w, m, &run);
	check_ended(w, &run, cause);
}

static void add_end(struct upkeep_machine *m, const struct upkeep_run *run,
		    enum sched_outcome outcome)
{
	assert(m->end_count < ENDS_MAX);
	m->ends[m->end_count++] =
		(struct upkeep_end){ ++m->last_seq, run->job, run->task,
				     run->number, outcome };
}

void site_come_up(struct upkeep_world *w, struct upkeep_machine *m)
{
	m->state = UPKEEP_UP;
	m->up_ms = w->now;
	m->last_seq = m->end_count = m->past_count = 0;
	m->lease_ms = m->silent_until_ms = m->fence = 0;
	upkeep_trace(w, "%s is up in %s", m->name, w->names[m->pool]);
	if (is_spare(w, m->pool))
		return;
	m->instance = ++w->instance_count;
	w->instance_machine = talloc_realloc(w->ctx, w->instance_machine,
					     uint32_t, w->instance_count + 1);
	assert(w->instance_machine);
	w->instance_machine[m->instance] = (uint32_t)(m - w->machines);
	m->listing_ms = w->now + upkeep_random(w, UPKEEP_LISTED_MAX_MS);
	fault_came_up(w, m);
}

static void go_away(struct upkeep_world *w, struct upkeep_machine *m,
		    enum upkeep_machine_state state, uint64_t back_ms,
		    enum upkeep_cause cause)
{
	while (m->run_count)
		run_remove(w, m, m->run_count - 1, cause);
	m->end_count = 0;
	m->state = state;
	m->back_ms = back_ms;
	m->instance = 0;
	m->listing_ms = UPKEEP_NEVER;
	if (m->listed)
		m->unlisting_ms =
			w->now + upkeep_random(w, UPKEEP_LISTED_MAX_MS);
}

void site_crash(struct upkeep_world *w, struct upkeep_machine *m,
		uint64_t back_ms)
{
	upkeep_trace(w, "%s crashes", m->name);
	go_away(w, m, UPKEEP_DOWN, back_ms, CAUSE_CRASH);
}

/* Tells the leader of the instance that the directory shows. */
void site_list_instance(struct upkeep_world *w, struct upkeep_machine *m)
{
	char id[16], rack[16];
	struct sched_instance_info info = {
		.id = id,
		.address = "a:1",
		.zone = fault_zone(w, m),
		.pool = w->names[m->pool],
		.machine = m->name,
		.capacity = { MACHINE_CPU, MACHINE_MEM, 0 },
		.label_count = 1,
		.labels = { rack },
		.started_unix_ms = m->up_ms,
	};

	snprintf(id, sizeof(id), "i-%u", m->listed);
	snprintf(rack, sizeof(rack), "r%u", m->rack);
	if (w->sched)
		sched_instance_listed(w->sched, &info, w->now);
}

static void directory_advance(struct upkeep_world *w, struct upkeep_machine *m)
{
	char id[16];

	if (m->listed && (w->now >= m->unlisting_ms ||
			  (w->now >= m->listing_ms && m->instance))) {
		snprintf(id, sizeof(id), "i-%u", m->listed);
		if (w->sched)
			sched_instance_unlisted(w->sched, id, w->now);
		m->listed = 0;
		m->unlisting_ms = UPKEEP_NEVER;
	}
	if (w->now < m->listing_ms || !m->instance)
		return;
	m->listing_ms = UPKEEP_NEVER;
	m->listed = m->instance;
	site_list_instance(w, m);
}

void site_advance(struct upkeep_world *w)
{
	uint32_t i, r;

	for (i = 0; i < w->machine_count; i++) {
		struct upkeep_machine *m = &w->machines[i];

		if (m->state != UPKEEP_UP && w->now >= m->back_ms)
			site_come_up(w, m);
		directory_advance(w, m);
		for (r = m->run_count; r-- > 0;) {
			struct upkeep_run *run = &m->runs[r];
			bool stopped = w->now >= run->stop_ms;
			bool lapsed =
				fault_has_leases(w) && w->now >= m->lease_ms;

			if (!stopped && !lapsed && w->now < run->ends_ms)
				continue;
			add_end(m, run,
				lapsed	  ? SCHED_LAPSED
				: stopped ? SCHED_STOPPED
					  : SCHED_DONE);
			run_remove(w, m, r,
				   lapsed    ? CAUSE_LAPSE
				   : stopped ? CAUSE_STOP
					     : CAUSE_ITSELF);
		}
	}
}

void site_extend_lease(const struct upkeep_world *w, struct upkeep_machine *m,
		       uint64_t until_ms)
{
	if (until_ms > w->now + UPKEEP_LEASE_MAX_MS)
		until_ms = w->now + UPKEEP_LEASE_MAX_MS;
	if (until_ms > m->lease_ms)
		m->lease_ms = until_ms;
}

/* A task's name is its job, occurrence, step and index. */
static bool find_task(const struct upkeep_world *w, const char *name,
		      uint32_t *job, uint32_t *task)
{
	char id[SCHED_ID_BYTES + 1];
	uint64_t index;

	snprintf(id, sizeof(id), "%.16s", name);
	index = strtoull(id, NULL, 16);
	if (!index || index > w->job_count)
		return false;
	*job = (uint32_t)(index - 1);
	*task = (uint32_t)strtoul(strrchr(name, '.') + 1, NULL, 10);
	return true;
}

static enum sched_order_result start_task(struct upkeep_world *w,
					  struct upkeep_machine *m,
					  const struct upkeep_call *c)
{
	const struct sched_order *o = &c->order;
	struct upkeep_run *run = &m->runs[m->run_count];
	const struct upkeep_job *job;
	uint32_t index, task, r;

	if (!find_task(w, o->task, &index, &task))
		return ORDER_REFUSED;
	job = &w->jobs[index];
	if (w->now < m->refuses_until_ms)
		return ORDER_REFUSED;
	if (fault_has_leases(w)) {
		for (r = 0; r < m->run_count; r++)
			if (m->runs[r].job == index && m->runs[r].task == task)
				return m->runs[r].number == o->number
					       ? ORDER_DONE
					       : ORDER_REFUSED_STALE;
		if (is_past(m, index, task, o->number))
			return ORDER_REFUSED_STALE;
		if (o->lease_until <= w->now)
			return ORDER_REFUSED_LATE;
		site_extend_lease(w, m, o->lease_until);
	}
	if (m->cpu + job->cpu > MACHINE_CPU || m->mem + job->mem > MACHINE_MEM)
		return ORDER_REFUSED_CAPACITY;
	assert(m->run_count < RUNS_MAX);
	*run = (struct upkeep_run){
		.job = index,
		.task = task,
		.number = o->number,
		.begun_ms = w->now,
		.ends_ms = job->lasting ? UPKEEP_NEVER : w->now + job->run_ms,
		.stop_ms = UPKEEP_NEVER,
		.unanswered = c->unanswered || c->late,
	};
	m->run_count++;
	m->cpu += job->cpu;
	m->mem += job->mem;
	m->lasting_count += job->lasting;
	run_count(w, run, 1);
	w->result->starts += job->lasting;
	run_trace(w, m, run, "starts");
	check_began(w, index, task);
	return ORDER_DONE;
}

static enum sched_order_result stop_task(struct upkeep_world *w,
					 struct upkeep_machine *m,
					 const struct sched_order *o, bool late)
{
	uint32_t index, task, r;

	if (!find_task(w, o->task, &index, &task))
		return ORDER_REFUSED;
	remember(w, m,
		 &(struct upkeep_run){
			 .job = index, .task = task, .number = o->number });
	for (r = 0; r < m->run_count; r++) {
		struct upkeep_run *run = &m->runs[r];

		if (run->job != index || run->task != task ||
		    run->number != o->number || run->stop_ms != UPKEEP_NEVER)
			continue;
		run_trace(w, m, run, "is told to stop");
		if (w->jobs[index].lasting) {
			w->result->stops++;
			check_stop(w, run, late);
		}
		run->stop_ms = w->now + upkeep_random(w, UPKEEP_STOP_MAX_MS);
	}
	return ORDER_DONE;
}

enum sched_order_result site_order(struct upkeep_world *w,
				   const struct upkeep_call *c)
{
	struct upkeep_machine *m = site_instance(w, c->instance);

	if (!m)
		return ORDER_UNREACHED;
	if (c->fence < m->fence)
		return ORDER_REFUSED_FENCE;
	m->fence = c->fence;
	switch (c->order.kind) {
	case ORDER_START:
		return start_task(w, m, c);
	case ORDER_STOP:
		return stop_task(w, m, &c->order, c->late);
	case ORDER_THROTTLE:
		return ORDER_DONE;
	}
	return ORDER_REFUSED;
}

static const char *name_task(const struct upkeep_world *w,
			     struct upkeep_call *c, uint32_t job, uint32_t task)
{
	char *name = talloc_asprintf(c, "%s.0.0.%u", w->jobs[job].id, task);

	assert(name);
	return name;
}

/* Fills the report that answers a poll. */
void site_report(struct upkeep_world *w, struct upkeep_call *c)
{
	struct upkeep_machine *m = site_instance(w, c->instance);
	uint32_t n;

	c->answered = true;
	c->report_ms = w->now;
	c->born_ms = m->up_ms;
	c->running = talloc_zero_array(c, struct sched_running, m->run_count);
	c->ended = talloc_zero_array(c, struct sched_ended, m->end_count);
	assert(c->running && c->ended);
	for (n = 0; n < m->run_count; n++) {
		const struct upkeep_run *run = &m->runs[n];
		bool ready = w->now - run->begun_ms >= UPKEEP_STARTUP_MS;

		c->running[n] = (struct sched_running){
			name_task(w, c, run->job, run->task), run->number, "",
			ready ? 100 : 50, 0
		};
	}
	for (n = 0; n < m->end_count; n++) {
		const struct upkeep_end *e = &m->ends[n];

		c->ended[n] =
			(struct sched_ended){ e->seq,
					      name_task(w, c, e->job, e->task),
					      e->number, e->outcome, "" };
	}
	c->running_count = m->run_count;
	c->ended_count = m->end_count;
}

void site_list(struct upkeep_world *w, struct upkeep_call *c)
{
	static const enum fleet_machine_state states[] = {
		[UPKEEP_UP] = FLEET_UP,
		[UPKEEP_MOVING] = FLEET_MOVING,
		[UPKEEP_IN_MAINTENANCE] = FLEET_IN_MAINTENANCE,
		[UPKEEP_DOWN] = FLEET_DOWN,
	};
	uint32_t i;

	c->machine_count = w->machine_count;
	c->machines = talloc_zero_array(c, struct fleet_machine_info,
					w->machine_count);
	c->instances =
		talloc_zero_size(c, w->machine_count * sizeof(*c->instances));
	assert(c->machines && c->instances);
	for (i = 0; i < w->machine_count; i++) {
		const struct upkeep_machine *m = &w->machines[i];

		c->machines[i] = (struct fleet_machine_info){
			.machine = m->name,
			.pool = w->names[m->pool],
			.rack = talloc_asprintf(c, "r%u", m->rack),
			.state = states[m->state],
			.zone = fault_zone(w, m),
		};
		if (m->state == UPKEEP_UP && m->instance)
			snprintf(c->instances[i], sizeof(c->instances[i]),
				 "i-%u", m->instance);
	}
}

static struct upkeep_machine *find_machine(struct upkeep_world *w,
					   const char *name)
{
	uint32_t i;

	for (i = 0; i < w->machine_count; i++)
		if (!strcmp(w->machines[i].name, name))
			return &w->machines[i];
	return NULL;
}

static enum fleet_result maintain(struct upkeep_world *w,
				  struct upkeep_machine *m, uint32_t number)
{
	struct upkeep_wave *v = &w->waves[number - 1];
	uint32_t i;

	for (i = 0; i < v->count; i++)
		if (&w->machines[v->machines[i]] == m)
			break;
	if (i == v->count)
		return FLEET_REFUSED;
	if (v->done[i]) /* the same order again */
		return FLEET_DONE;
	if (m->state != UPKEEP_UP)
		return FLEET_BUSY;
	check_maintenance(w, number);
	v->done[i] = true;
	m->wave = number;
	w->result->maintenances++;
	go_away(w, m, UPKEEP_IN_MAINTENANCE, w->now + UPKEEP_MAINTENANCE_MS,
		CAUSE_MACHINE);
	return FLEET_DONE;
}

static enum fleet_result move(struct upkeep_world *w, struct upkeep_machine *m,
			      const char *name)
{
	uint32_t pool;

	for (pool = 0; pool < w->pool_count; pool++)
		if (!strcmp(w->names[pool], name))
			break;
	if (pool == w->pool_count)
		return FLEET_REFUSED;
	if (m->pool == pool) /* the same order again */
		return FLEET_DONE;
	if (m->state != UPKEEP_UP)
		return FLEET_BUSY;
	w->result->moves++;
	go_away(w, m, UPKEEP_MOVING, w->now + UPKEEP_MOVE_MS, CAUSE_MACHINE);
	m->pool = pool;
	return FLEET_DONE;
}

enum fleet_result site_action(struct upkeep_world *w,
			      const struct fleet_action *a)
{
	struct upkeep_machine *m;

	if (a->kind == FLEET_ACTION_WAVE_STATE) {
		upkeep_trace(w, "%s is %s", a->wave_name,
			     a->completed ? "complete" : "running");
		if (a->completed)
			w->waves[a->wave - 1].completed = true;
		return FLEET_DONE;
	}
	m = find_machine(w, a->machine);
	if (!m)
		return FLEET_REFUSED;
	upkeep_trace(w, "%s in %s is ordered to %s", m->name, w->names[m->pool],
		     a->kind == FLEET_ACTION_MOVE ? a->pool : "maintenance");
	return a->kind == FLEET_ACTION_MOVE ? move(w, m, a->pool)
					    : maintain(w, m, (uint32_t)a->wave);
}

void site_record(struct upkeep_world *w, const struct fleet_action *a)
{
	struct upkeep_wave *v = &w->waves[a->wave - 1];
	uint32_t i;

	for (i = 0; i < v->count; i++)
		if (!strcmp(v->names[i], a->machine))
			v->recorded[i] = true;
}

void site_load_waves(struct upkeep_world *w)
{
	uint32_t n, i;

	for (n = 0; n < w->wave_count; n++) {
		struct upkeep_wave *v = &w->waves[n];
		char name[16];

		if (!v->started)
			continue;
		snprintf(name, sizeof(name), "wave/%u", n + 1);
		fleet_add_wave(w->fleet, name, n + 1, v->at_once,
			       v->duration_ms, v->names, v->count, v->start_ms);
		for (i = 0; i < v->count; i++)
			if (v->recorded[i])
				fleet_record_maintenance(w->fleet, n + 1,
							 v->names[i]);
	}
}
