/*
 * sched_run - runs of tasks, their orders and the outcomes of orders
 */
#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "pool/sched_internal.h"

#define RUN_NUMBER_STRIDE 10000u /* most starts of a task in one epoch */
#define RUNS_FIRST 64u		 /* slots allocated first */
#define ORDER_RETRY_MS 300u   /* until a stop or throttle order is repeated */
#define REFUSED_RETRY_MS 100u /* until a refused task is placed again */
#define CLOCK_BACK_MS 1000u   /* reordered answers differ by less */
#define STEADY_MS 5000u	      /* a run that lasts so long was worth its start */
/* Consecutive unanswered orders that make an instance unresponsive */
#define UNANSWERED_MAX 2u
/*
 * An instance that has left an order unanswered is avoided for so long: about
 * as long as orders are seen to be carried out late.
 */
#define SILENT_LATELY_MS 10000u

static uint32_t free_slot(struct sched *s)
{
	uint32_t alloc = s->run_alloc;
	uint32_t i;

	for (i = s->run_free_hint; i < alloc; i++)
		if (!s->runs[i])
			return i;
	for (i = 0; i < s->run_free_hint && i < alloc; i++)
		if (!s->runs[i])
			return i;
	s->run_alloc = alloc ? alloc * 2 : RUNS_FIRST;
	s->runs = talloc_realloc(s, s->runs, struct run *, s->run_alloc);
	s->run_generations =
		talloc_realloc(s, s->run_generations, uint32_t, s->run_alloc);
	assert(s->runs && s->run_generations);
	for (i = alloc; i < s->run_alloc; i++) {
		s->runs[i] = NULL;
		s->run_generations[i] = 0;
	}
	return alloc;
}

struct run *run_of(const struct sched *s, run_handle h)
{
	if (h.i >= s->run_alloc || s->run_generations[h.i] != h.generation)
		return NULL;
	return s->runs[h.i];
}

/* Adds a run's resources to its instance and workspace, or subtracts them. */
static void account_run(struct run *run, bool begins)
{
	const struct step *step = run->task->step;
	struct workspace *w = step->job->workspace;
	struct amount on_instance = step_amount(step->spec);
	struct amount requested = { step->spec->cpu, step->spec->mem,
				    step->spec->gpu };

	share_count_run(step, begins);
	if (begins) {
		amount_add(&run->instance->used, &on_instance);
		if (step->spec->lasting)
			amount_add(&run->instance->lasting, &on_instance);
		if (w)
			amount_add(&w->used, &requested);
	} else {
		amount_sub(&run->instance->used, &on_instance);
		if (step->spec->lasting)
			amount_sub(&run->instance->lasting, &on_instance);
		if (w)
			amount_sub(&w->used, &requested);
	}
}

struct run *run_new(struct sched *s, struct task *task,
		    struct instance *instance, uint64_t number, uint64_t now)
{
	struct run *run = talloc_zero(s, struct run);
	uint32_t slot = free_slot(s);

	assert(run);
	s->runs[slot] = run;
	s->run_free_hint = slot + 1;
	run->handle.i = slot;
	run->handle.generation = ++s->run_generations[slot];
	run->task = task;
	run->instance = instance;
	run->number = number;
	run->created_ms = now;
	run->outcome = RUN_NO_OUTCOME;
	run->speed_percent = run->speed_wanted = 100;
	DL_APPEND(instance->runs, run);
	DL_APPEND2(task->runs, run, task_prev, task_next);
	instance->run_count++;
	task_set_possibly_running(task, false);
	hold_update_cap(task);
	account_run(run, true);
	step_refresh(task->step);
	return run;
}

void run_watch(struct sched *s, struct run *run)
{
	if (run->unsettled)
		return;
	run->unsettled = true;
	DL_APPEND2(s->unsettled, run, unsettled_prev, unsettled_next);
}

static void run_unwatch(struct sched *s, struct run *run)
{
	if (!run->unsettled)
		return;
	run->unsettled = false;
	DL_DELETE2(s->unsettled, run, unsettled_prev, unsettled_next);
}

/*
 * A former leader may know of the end of a run as well, and may have started
 * the task again on an instance that has not reported yet.
 */
static void task_run_found_ended(struct task *task)
{
	if (!task->done)
		task_set_possibly_running(task, true);
}

bool run_is_steady(const struct run *run, uint64_t now)
{
	return run->adopted_ms || (run->running_since_ms &&
				   now - run->running_since_ms >= STEADY_MS);
}

/*
 * Counts the runs of a long-running task that ended within STEADY_MS of their
 * start, one after the other: a task that is stopped and started again and
 * again serves nobody, though it has a run most of the time.
 */
static void task_count_end(const struct run *run, uint64_t now)
{
	struct task *task = run->task;

	if (!run->running_since_ms)
		return;
	if (run_is_steady(run, now))
		task->short_runs = 0;
	else
		task->short_runs++;
}

static const char *end_reason(const struct run *run)
{
	static const char *const stopped[] = {
		[STOP_RELOCATED] = "relocated",
		[STOP_JOB_OVER] = "job over",
		[STOP_UNANSWERED] = "start unanswered",
		[STOP_DUPLICATE] = "duplicate",
		[STOP_GANG] = "gang",
	};
	static const char *const outcomes[] = {
		[SCHED_DONE] = "done",
		[SCHED_FAILED] = "failed",
		[SCHED_STOPPED] = "stopped",
		[SCHED_LAPSED] = "lapsed",
		[SCHED_GANG_BROKEN] = "gang broken",
		[SCHED_GANG_INCOMPLETE] = "gang incomplete",
	};

	if (run->stop_reason && run->outcome != SCHED_LAPSED)
		return stopped[run->stop_reason];
	if (run->outcome != RUN_NO_OUTCOME)
		return outcomes[run->outcome];
	return run->missing ? "not in the report" : "instance gone";
}

/* A start that was not carried out is logged when it is answered. */
static void log_lasting_end(struct sched *s, const struct run *run,
			    uint64_t now)
{
	uint64_t since_ms = run->running_since_ms;
	char name[SCHED_TASK_MAX];

	if (!s->trace || (run->state == RUN_ORDERED && !run->in_flight))
		return;
	task_name(run->task, name);
	sched_trace(s, "lasting-end", name,
		    "\"instance\":\"%s\",\"run\":%" PRIu64
		    ",\"why\":\"%s\",\"ran_ms\":%" PRIu64
		    ",\"short_runs\":%u,\"reserved\":%d",
		    run->instance->id, run->number, end_reason(run),
		    since_ms ? now - since_ms : 0, run->task->short_runs,
		    run->instance->reserved);
}

/* Frees a run that has ended or can no longer begin. */
void run_free(struct sched *s, struct run *run, uint64_t now)
{
	struct task *task = run->task;

	account_run(run, false);
	if (task->step->spec->lasting) {
		task_count_end(run, now);
		log_lasting_end(s, run, now);
	}
	if (run->to_send)
		DL_DELETE2(s->to_send, run, order_prev, order_next);
	run_unwatch(s, run);
	DL_DELETE(run->instance->runs, run);
	DL_DELETE2(task->runs, run, task_prev, task_next);
	hold_update_cap(task);
	run->instance->run_count--;
	s->runs[run->handle.i] = NULL;
	s->run_generations[run->handle.i]++;
	s->run_free_hint = run->handle.i;
	if (run->adopted_ms && task->step->job->loaded && !task->runs)
		task_run_found_ended(task);
	if (run->stop_reason == STOP_RELOCATED)
		task->relocated_ms = now;
	if (task->step->spec->lasting && !task->unavailable_since_ms)
		task->unavailable_since_ms = now;
	step_refresh(task->step);
	talloc_free(run);
}

void run_queue_order(struct sched *s, struct run *run)
{
	if (run->to_send)
		return;
	run->to_send = true;
	DL_APPEND2(s->to_send, run, order_prev, order_next);
}

void run_stop(struct sched *s, struct run *run, enum stop_reason reason)
{
	if (run->state == RUN_STOPPING)
		return;
	run->state = RUN_STOPPING;
	run->stop_reason = reason;
	run_watch(s, run);
	run->stop_done_ms = 0;
	if (!run->in_flight)
		run_queue_order(s, run);
}

void run_mark_running(struct sched *s, struct run *run, uint64_t now)
{
	struct job *job = run->task->step->job;

	if (!job->started)
		metric_observe(&queue_stats(s, job->queue)->first_start,
			       now - job->accepted_ms);
	if (run->state == RUN_ORDERED || run->state == RUN_UNKNOWN)
		run->state = RUN_RUNNING;
	if (!run->running_since_ms)
		run->running_since_ms = now;
	job_set_started(job);
}

bool run_is_available(const struct run *run)
{
	return run->state == RUN_RUNNING && run->percent >= 100;
}

/* Orders */

static bool fill_order(struct sched *s, struct run *run, uint64_t now,
		       struct sched_order *o)
{
	struct instance *i = run->instance;

	memset(o, 0, sizeof(*o));
	switch (run->state) {
	case RUN_ORDERED:
		o->kind = ORDER_START;
		break;
	case RUN_STOPPING:
		o->kind = ORDER_STOP;
		break;
	default:
		if (run->speed_percent == run->speed_wanted)
			return false;
		o->kind = ORDER_THROTTLE;
		o->percent = run->speed_wanted;
		break;
	}
	o->run = run->handle;
	o->instance = i->handle;
	o->instance_id = i->id;
	o->address = i->address;
	o->zone = i->zone;
	task_name(run->task, o->task);
	o->number = run->number;
	o->payload = run->task->step->job->row->payload;
	o->checkpoint = run->task->checkpoint ? run->task->checkpoint : "";
	if (o->kind == ORDER_START) {
		o->ticket = step_ticket(run->task->step, i, now);
		o->lease_until = instance_extend_lease(s, i, now);
		instance_deadline_sent(s, i, now, ORDER_LATE_MS);
	}
	return true;
}

/* Frees the run of a start that was not carried out. */
static void start_refused(struct sched *s, struct run *run,
			  enum sched_order_result result, uint64_t now)
{
	struct task *task = run->task;

	s->stats.starts_refused++;
	task->retry_ms = now + REFUSED_RETRY_MS;
	task->avoid_instance = run->instance->handle.i + 1;
	if (result == ORDER_UNREACHED)
		instance_record_no_answer(s, run->instance, now);
	if (result == ORDER_REFUSED)
		instance_record_failure(s, run->instance, task->step->job, now);
	if (result == ORDER_REFUSED_TICKET)
		step_ticket_refused(task->step, run->instance);
	if (result == ORDER_REFUSED_CAPACITY || result == ORDER_REFUSED_STALE)
		run->instance->next_poll_ms = now;
	run_free(s, run, now);
}

/* Whether a start's ticket has expired while the start waited to be sent. */
static bool lacks_ticket(const struct run *run, uint64_t now)
{
	const struct step *step = run->task->step;

	return run->state == RUN_ORDERED && step_needs_advice(step) &&
	       !step_ticket(step, run->instance, now);
}

bool sched_next_order(struct sched *s, uint64_t now, struct sched_order *order)
{
	struct run *run;

	while ((run = s->to_send)) {
		if (start_is_barred(s, run)) {
			withdraw_starts(s, now);
			continue;
		}
		DL_DELETE2(s->to_send, run, order_prev, order_next);
		run->to_send = false;
		if (lacks_ticket(run, now)) {
			start_refused(s, run, ORDER_REFUSED_TICKET, now);
			continue;
		}
		if (!fill_order(s, run, now, order))
			continue;
		run->in_flight = true;
		run->ordered_ms = now;
		if (order->kind == ORDER_START) {
			s->stats.starts++;
			s->stats.starts_worthless +=
				job_is_worthless(run->task->step->job, now);
		} else if (order->kind == ORDER_STOP) {
			s->stats.stops++;
		}
		return true;
	}
	return false;
}

static void start_unanswered(struct sched *s, struct run *run, uint64_t now)
{
	instance_record_no_answer(s, run->instance, now);
	if (run->task->step->spec->lasting)
		run->task->avoid_instance = run->instance->handle.i + 1;
}

static void start_answered(struct sched *s, struct run *run,
			   enum sched_order_result result, uint64_t now)
{
	switch (result) {
	case ORDER_DONE:
		run->instance->unanswered_orders = 0;
		run->instance->unanswered_ms = 0;
		run->timed = !run->running_since_ms && !run->task->checkpoint;
		run_mark_running(s, run, now);
		/* Others of its step are drained only once it works. */
		if (run->task->step->spec->may_miss && run->instance->polling)
			instance_ask(s, run->instance, now);
		return;
	case ORDER_UNKNOWN:
	case ORDER_LOST:
		s->stats.starts_unknown++;
		if (run->state == RUN_ORDERED)
			run->state = RUN_UNKNOWN;
		run_watch(s, run);
		run->relay_lost = result == ORDER_LOST;
		run->unanswered_ms = now;
		if (result == ORDER_UNKNOWN)
			start_unanswered(s, run, now);
		return;
	default:
		start_refused(s, run, result, now);
		return;
	}
}

static void stop_answered(struct run *run, enum sched_order_result result,
			  uint64_t now)
{
	if (result != ORDER_DONE) {
		/* Tried again by run_tick(). */
		run->unanswered_ms = now;
		if (result == ORDER_UNKNOWN)
			run->instance->unanswered_ms = now;
		return;
	}
	run->stop_done_ms = now;
	run->instance->next_poll_ms = now;
}

/*
 * A clock that went back shows that the instance has restarted: it has read
 * the order's deadline by its new clock and may hold the work for up to
 * lease_max_ms. Until it reports, its state is unknown, and ends are not
 * acknowledged with the numbers of its former incarnation.
 */
static void check_restart(struct sched *s, struct instance *i,
			  const struct sched_order *order, uint64_t clock_ms,
			  uint64_t now)
{
	if (!clock_ms || !i->clock_read_ms ||
	    clock_ms + CLOCK_BACK_MS >= i->clock_ms)
		return;
	sched_trace(s, "instance-restarted", i->id,
		    "\"clock_ms\":%" PRIu64 ",\"known_clock_ms\":%" PRIu64,
		    clock_ms, i->clock_ms);
	if (order->kind == ORDER_START)
		instance_extend_lease_max(s, i, now);
	instance_restarted(i);
	i->clock_read_ms = 0;
	i->unresponsive = true;
	i->next_poll_ms = now;
}

void sched_order_done(struct sched *s, const struct sched_order *order,
		      enum sched_order_result result, uint64_t clock_ms,
		      uint64_t sent_ms, uint64_t now)
{
	struct run *run = run_of(s, order->run);

	sched_trace(s, "order", order->task,
		    "\"kind\":%d,\"instance\":\"%s\",\"run\":%" PRIu64
		    ",\"result\":%d,\"took_ms\":%" PRIu64,
		    order->kind, order->instance_id, order->number, result,
		    now - sent_ms);
	if (!run)
		return;
	if (order->kind == ORDER_START && run->task->step->spec->lasting)
		sched_trace(s, "lasting-start", order->task,
			    "\"instance\":\"%s\",\"run\":%" PRIu64
			    ",\"result\":%d,\"took_ms\":%" PRIu64
			    ",\"waited_ms\":%" PRIu64 ",\"short_runs\":%u",
			    order->instance_id, order->number, result,
			    now - sent_ms, task_waited_ms(s, run->task, now),
			    run->task->short_runs);
	check_restart(s, run->instance, order, clock_ms, now);
	run->in_flight = false;
	switch (order->kind) {
	case ORDER_START:
		pace_order_answered(s, now - sent_ms);
		start_answered(s, run, result, now);
		break;
	case ORDER_STOP:
		stop_answered(run, result, now);
		break;
	case ORDER_THROTTLE:
		if (result == ORDER_DONE)
			run->speed_percent = order->percent;
		break;
	}
	run = run_of(s, order->run);
	if (run && run->state == RUN_STOPPING && order->kind != ORDER_STOP)
		run_queue_order(s, run);
}

bool run_needs_report(const struct run *run)
{
	return run->state == RUN_UNKNOWN &&
	       (run->relay_lost || run->task->step->spec->lasting);
}

/*
 * From when on a report that lacks the run lets it be stopped. A start that the
 * instance left unanswered isn't under way any more, unless the instance holds
 * it; then its stop may end a task that has just begun to work. If too many
 * others of the step are away for that, its deadline must have passed.
 */
static uint64_t absence_counts_ms(const struct sched *s, const struct run *run,
				  uint64_t now)
{
	if (!task_may_stop(run->task, now))
		return run->ordered_ms + lease_holds_ms(s->options.lease_ms);
	if (run->relay_lost)
		return run->ordered_ms + s->options.start_wait_ms;
	return run->unanswered_ms + 1; /* order is unknown within 1 ms */
}

/*
 * Whether to stop a run whose start was not answered, so that it can't begin
 * any more.
 */
static bool start_is_overdue(const struct sched *s, const struct run *run,
			     uint64_t now)
{
	if (run_needs_report(run))
		return run->absent_ms &&
		       run->absent_ms >= absence_counts_ms(s, run, now);
	return now - run->ordered_ms >= s->options.start_wait_ms;
}

/*
 * Whether the run may go on after all, so that its stop counts against the
 * disruption budget of its step again each time it is sent.
 */
static bool stop_is_optional(const struct run *run)
{
	const struct task *task = run->task;

	return task->step->spec->may_miss && !task->step->spec->gang &&
	       !task->runs->task_next && !job_is_over(task->step->job);
}

bool run_stop_needs_report(const struct run *run)
{
	return run->state == RUN_STOPPING && !run->stop_done_ms &&
	       !run->in_flight && !run->to_send && stop_is_optional(run) &&
	       run->instance->report_sent_ms <= run->ordered_ms;
}

uint64_t run_report_wanted_ms(const struct sched *s, const struct run *run,
			      uint64_t now)
{
	if (!run->task->step->spec->lasting)
		return 0;
	if (run->state == RUN_UNKNOWN)
		return absence_counts_ms(s, run, now);
	if (run_stop_needs_report(run))
		return run->unanswered_ms + 1;
	/* If it has not begun it has no end, which a poll would wait for. */
	return run->state == RUN_STOPPING && run->stop_done_ms &&
			       !run->running_since_ms
		       ? run->stop_done_ms + 1
		       : 0;
}

/*
 * A poll in flight may wait for an end for seconds, so another one asks what
 * became of an order.
 */
static void ask_for_report(struct sched *s, const struct run *run, uint64_t now)
{
	uint64_t wanted_ms = run_report_wanted_ms(s, run, now);

	if (wanted_ms && now >= wanted_ms &&
	    run->instance->poll_sent_ms < wanted_ms)
		instance_ask(s, run->instance, now);
}

/*
 * Repeats an unanswered stop. Other tasks of the step may have become
 * unavailable since it was sent, and an unanswered start may have been carried
 * out late: a run that is known to run is then left to serve.
 */
static void repeat_stop(struct sched *s, struct run *run, uint64_t now)
{
	char name[SCHED_TASK_MAX];

	if (run->stop_done_ms || now - run->ordered_ms < ORDER_RETRY_MS ||
	    run_stop_needs_report(run))
		return;
	if (!stop_is_optional(run) || !run->running_since_ms ||
	    task_may_stop(run->task, now)) {
		run_queue_order(s, run);
		return;
	}
	task_name(run->task, name);
	sched_trace(s, "stop-withdrawn", name,
		    "\"instance\":\"%s\",\"run\":%" PRIu64, run->instance->id,
		    run->number);
	run->state = RUN_RUNNING;
	run->stop_reason = STOP_NONE;
	run->stop_withdrawn_ms = now;
	hold_release(run->task);
}

/* Stops runs whose start has an unknown outcome; repeats unanswered orders. */
static void run_tick(struct sched *s, struct run *run, uint64_t now)
{
	if (run->in_flight || run->to_send)
		return;
	ask_for_report(s, run, now);
	if (run->instance->unresponsive)
		return;
	switch (run->state) {
	case RUN_UNKNOWN:
		if (start_is_overdue(s, run, now))
			run_stop(s, run, STOP_UNANSWERED);
		break;
	case RUN_STOPPING:
		repeat_stop(s, run, now);
		break;
	case RUN_RUNNING:
		if (run->speed_percent != run->speed_wanted &&
		    now - run->ordered_ms >= ORDER_RETRY_MS)
			run_queue_order(s, run);
		break;
	case RUN_ORDERED:
		break;
	}
}

static bool is_settled(const struct run *run)
{
	return run->state == RUN_RUNNING &&
	       run->speed_percent == run->speed_wanted;
}

void runs_tick(struct sched *s, uint64_t now)
{
	struct run *run, *next;

	DL_FOREACH_SAFE2(s->unsettled, run, next, unsettled_next)
	{
		if (is_settled(run))
			run_unwatch(s, run);
		else
			run_tick(s, run, now);
	}
}

void instance_record_no_answer(struct sched *s, struct instance *i,
			       uint64_t now)
{
	s->call_unanswered_ms = now;
	i->unanswered_ms = now;
	if (++i->unanswered_orders >= UNANSWERED_MAX)
		i->unresponsive = true;
}

bool instance_was_silent(const struct instance *i, uint64_t now)
{
	return i->unanswered_ms && now - i->unanswered_ms < SILENT_LATELY_MS;
}

uint64_t sched_run_number(const struct sched *s, struct task *task)
{
	return s->epoch * RUN_NUMBER_STRIDE + ++task->starts;
}

bool run_number_is_first(uint64_t number)
{
	return number % RUN_NUMBER_STRIDE <= 1;
}
