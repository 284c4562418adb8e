/*
 * sched_poll - polls of instances and what their reports prove
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "pool/sched_internal.h"

/* How long an instance waits for a task to end before it answers a poll */
#define POLL_WAIT_IDLE_MS 2000u	  /* nothing runs */
#define POLL_WAIT_ENDING_MS 500u  /* a task runs that will end by itself */
#define POLL_WAIT_LOSSY_MS 200u	  /* such a task runs, and calls are lossy */
#define POLL_WAIT_START_MS 200u	  /* an order's effect has to be seen */
#define POLL_WAIT_SERVING_MS 500u /* else, a task has a latency target */
#define POLL_WAIT_MS 1000u	  /* else: other long-running tasks */

/* Polls are short for so long after a start; tasks start up in less */
#define STARTUP_MS 2000u

/* Calls count as lossy for this long after one that got no answer */
#define CALLS_LOSSY_MS 3000u

#define POLL_UNWRITTEN_MS 300u /* between polls while ends are not durable */
#define POLL_ANSWER_MS 300u /* timeout after the wait: network, busy leader */

#define UNACKED_FIRST 8u /* entries allocated first, for reported ends */

/* After an unanswered poll the next one follows at the later of these times */
#define POLL_FAILED_MS 50u	/* from the failure */
#define POLL_FAILED_GAP_MS 200u /* from sending the unanswered poll */

/*
 * Longest time from a report to the next poll without assuming a restart:
 * above POLL_UNWRITTEN_MS plus an iteration of the event loop.
 */
#define SAME_INCARNATION_MS 500u

/*
 * Longest time after a restart in which a leader doesn't notice it and sends
 * calls to the former incarnation, with the error of clocks.
 */
#define RESTART_UNNOTICED_MS 8000u

static bool instance_serves(const struct instance *i)
{
	struct run *run;

	DL_FOREACH(i->runs, run)
	if (run->task->step->spec->target_ms)
		return true;
	return false;
}

static bool instance_has_ending(const struct instance *i)
{
	struct run *run;

	DL_FOREACH(i->runs, run)
	if (!run->task->step->spec->lasting)
		return true;
	return false;
}

static bool instance_has_order_to_report(const struct instance *i)
{
	struct run *run;

	DL_FOREACH(i->runs, run)
	if (run_needs_report(run) || run_stop_needs_report(run))
		return true;
	return false;
}

/* Whether a run awaits a report that may be asked for now and wasn't yet. */
static bool instance_is_awaited(const struct sched *s, const struct instance *i,
				uint64_t now)
{
	struct run *run;

	DL_FOREACH(i->runs, run)
	{
		uint64_t wanted_ms = run_report_wanted_ms(s, run, now);

		if (wanted_ms && now >= wanted_ms &&
		    i->report_sent_ms < wanted_ms)
			return true;
	}
	return false;
}

/* Whether a task with a disruption budget was started lately, to work soon. */
static bool instance_has_starting(const struct instance *i, uint64_t now)
{
	struct run *run;

	DL_FOREACH(i->runs, run)
	if (run->state == RUN_RUNNING && !run_is_available(run) &&
	    now - run->running_since_ms < STARTUP_MS &&
	    run->task->step->spec->lasting && run->task->step->spec->may_miss)
		return true;
	return false;
}

/*
 * Designed for instances that leave calls unanswered. An end is reported in
 * answer to the next poll, so where ends are expected an unanswered poll must
 * be noticed soon.
 */
static uint32_t poll_wait(const struct sched *s, const struct instance *i,
			  uint64_t now)
{
	if (!i->reported || i->restart_possible || i->unacked_count ||
	    i->unresponsive || i->down_ms)
		return 0;
	if (!i->run_count)
		return POLL_WAIT_IDLE_MS;
	if (instance_is_awaited(s, i, now))
		return 0;
	if (instance_has_order_to_report(i) || instance_has_starting(i, now))
		return POLL_WAIT_START_MS;
	if (instance_has_ending(i))
		return s->call_unanswered_ms && now - s->call_unanswered_ms <
							CALLS_LOSSY_MS
			       ? POLL_WAIT_LOSSY_MS
			       : POLL_WAIT_ENDING_MS;
	return instance_serves(i) ? POLL_WAIT_SERVING_MS : POLL_WAIT_MS;
}

static bool poll_needed(const struct instance *i)
{
	return *i->address && (i->listed || i->run_count || i->unacked_count ||
			       (i->counted_unreported && !i->expired));
}

/*
 * Whether no restart of the instance is assumed since its last report, so that
 * its ends may be acknowledged by the numbers that it gave them. Polls follow
 * one another without a gap while it answers. After a gap, or when it was
 * listed in the directory again, it may have restarted, and may number its ends
 * from the start again.
 */
static bool is_same_incarnation(const struct instance *i, uint64_t now)
{
	return !i->unresponsive && i->report_sent_ms >= i->listed_ms &&
	       now - i->clock_read_ms <= SAME_INCARNATION_MS;
}

void instance_leave_idle(struct sched *s, struct instance *i)
{
	if (s->idle_next == i)
		s->idle_next = i->idle_next;
	DL_DELETE2(s->idle, i, idle_prev, idle_next);
}

void instance_leave_asked(struct sched *s, struct instance *i)
{
	if (!i->asked)
		return;
	i->asked = false;
	DL_DELETE2(s->asked, i, asked_prev, asked_next);
}

void instance_ask(struct sched *s, struct instance *i, uint64_t now)
{
	if (i->asked || i->polls > 1 ||
	    (i->unresponsive && now < i->next_poll_ms))
		return;
	i->asked = true;
	DL_APPEND2(s->asked, i, asked_prev, asked_next);
}

static void poll_begun(struct sched *s, struct instance *i, uint64_t now)
{
	i->poll_sent_ms = now;
	i->polls_overlap = i->polls > 0;
	if (i->polls++)
		return;
	i->polling = true;
	instance_leave_idle(s, i);
}

static void poll_ended(struct sched *s, struct instance *i)
{
	if (!i->polls || --i->polls)
		return;
	i->polling = false;
	DL_APPEND2(s->idle, i, idle_prev, idle_next);
}

static void fill_poll(struct sched *s, struct instance *i, uint32_t wait_ms,
		      uint64_t now, struct sched_poll *poll)
{
	poll->instance = i->handle;
	poll->instance_id = i->id;
	poll->address = i->address;
	poll->acked = is_same_incarnation(i, now) ? i->acked : 0;
	poll->wait_ms = wait_ms;
	poll->timeout_ms = poll->wait_ms + POLL_ANSWER_MS;
	poll->lease_until = 0;
	/* The lease of an unresponsive instance is left to expire. */
	if (i->run_count && !i->unresponsive)
		poll->lease_until = instance_extend_lease(s, i, now);
	if (poll->lease_until)
		instance_deadline_sent(s, i, now, poll->timeout_ms);
	poll_begun(s, i, now);
}

/*
 * Those without a poll for longest are searched first; a search goes on where
 * the last one found a poll, until it finds none.
 */
bool sched_next_poll(struct sched *s, uint64_t now, struct sched_poll *poll)
{
	struct instance *i = s->asked;

	if (i) {
		instance_leave_asked(s, i);
		fill_poll(s, i, 0, now, poll);
		return true;
	}
	i = s->idle_next ? s->idle_next : s->idle;
	s->idle_next = NULL;
	for (; i; i = i->idle_next) {
		if (now < i->next_poll_ms || !poll_needed(i))
			continue;
		s->idle_next = i->idle_next;
		fill_poll(s, i, poll_wait(s, i, now), now, poll);
		return true;
	}
	return false;
}

static struct run *run_find(const struct instance *i, const struct task *task,
			    uint64_t number)
{
	struct run *run;

	DL_FOREACH2(task->runs, run, task_next)
	if (run->instance == i && run->number == number)
		return run;
	return NULL;
}

/* Adds a run found in a report; stops it if it should not run. */
static void adopt_run(struct sched *s, struct instance *i,
		      const struct sched_running *r, struct task *task,
		      uint64_t now)
{
	struct step *step = task->step;
	bool duplicate = task->runs && !step->spec->duplicates;
	struct run *run = run_new(s, task, i, r->number, now);

	run->state = RUN_RUNNING;
	run->adopted_ms = now;
	/* A former leader may have stopped the run before it for a drain. */
	if (!run_number_is_first(r->number))
		task->relocated_ms = now;
	run_mark_running(s, run, now);
	sched_trace(s, "run-found", r->task,
		    "\"instance\":\"%s\",\"run\":%" PRIu64 ",\"twin\":%d",
		    i->id, r->number, duplicate);
	if (task->done || job_is_over(step->job))
		run_stop(s, run, STOP_JOB_OVER);
	else if (duplicate)
		run_stop(s, run, STOP_DUPLICATE);
}

/* Keeps the last checkpoint; one that is too long can't be sent back whole. */
static void task_set_checkpoint(struct sched *s, struct task *task,
				const char *text)
{
	size_t length = strlen(text);

	if (!length || (task->checkpoint && !strcmp(task->checkpoint, text)))
		return;
	if (length > SCHED_CHECKPOINT_MAX) {
		sched_trace(s, "checkpoint-too-long", task->step->job->id,
			    "\"bytes\":%zu,\"bound\":%u", length,
			    SCHED_CHECKPOINT_MAX);
		return;
	}
	talloc_free(task->checkpoint);
	task->checkpoint = talloc_strdup(task->step->tasks, text);
	assert(task->checkpoint);
}

static void apply_running(struct sched *s, struct instance *i,
			  const struct sched_running *r, uint64_t sent_ms,
			  uint64_t now)
{
	struct task *task = sched_reported_task(s, r->task);
	struct run *run;

	if (!task) {
		sched_trace(s, "run-unknown", r->task, "\"instance\":\"%s\"",
			    i->id);
		return;
	}
	run = run_find(i, task, r->number);
	if (!run) {
		adopt_run(s, i, r, task, now);
		run = run_find(i, task, r->number);
	}
	run_mark_running(s, run, now);
	run->percent = r->percent;
	run->load = r->load;
	task_set_checkpoint(s, task, r->checkpoint);
	if (run_is_available(run)) {
		longest_ended(task, task_waited_ms(s, task, now));
		task->unavailable_since_ms = 0;
	}
	(void)sent_ms;
}

static void add_unacked(struct sched *s, struct instance *i, uint64_t end_seq)
{
	if (i->unacked_count == i->unacked_alloc) {
		i->unacked_alloc =
			i->unacked_alloc ? i->unacked_alloc * 2 : UNACKED_FIRST;
		i->unacked = talloc_realloc(i, i->unacked, struct unacked,
					    i->unacked_alloc);
		assert(i->unacked);
	}
	if (!i->unacked_count)
		DL_APPEND2(s->unacked, i, unacked_prev, unacked_next);
	i->unacked[i->unacked_count].end_seq = end_seq;
	i->unacked[i->unacked_count].change_seq = s->change_seq;
	i->unacked_count++;
}

/* Stops the other members of a gang, so that all are placed anew. */
static void gang_restart(struct sched *s, struct step *step)
{
	struct run *run;
	uint32_t t;

	for (t = 0; t < step->spec->count; t++)
		DL_FOREACH2(step->tasks[t].runs, run, task_next)
	run_stop(s, run, STOP_GANG);
}

static void apply_end(struct sched *s, struct instance *i,
		      const struct sched_ended *e, uint64_t now)
{
	struct task *task = sched_reported_task(s, e->task);
	struct run *run;

	if (!task)
		return;
	sched_trace(s, "run-end", e->task,
		    "\"instance\":\"%s\",\"run\":%" PRIu64
		    ",\"how\":%d,\"n\":%" PRIu64,
		    i->id, e->number, e->outcome, e->seq);
	run = run_find(i, task, e->number);
	if (run)
		run->outcome = (int)e->outcome;
	/* Stopped by a former leader, maybe for a drain. */
	if (e->outcome == SCHED_STOPPED && (!run || !run->stop_reason))
		task->relocated_ms = now;
	job_set_started(task->step->job);
	task_set_checkpoint(s, task, e->checkpoint);
	if (run && e->outcome == SCHED_DONE)
		estimate_run_done(s, run, now);
	if (run)
		run_free(s, run, now);
	switch (e->outcome) {
	case SCHED_DONE:
		s->stats.ends_done++;
		instance_record_success(i);
		if (!job_is_over(task->step->job) && !task->step->spec->lasting)
			task_done(s, task, now);
		break;
	case SCHED_FAILED:
		s->stats.ends_failed++;
		instance_record_failure(s, i, task->step->job, now);
		task->avoid_instance = i->handle.i + 1;
		if (!job_is_over(task->step->job))
			task_failed(s, task, e->number, now);
		break;
	case SCHED_STOPPED:
		s->stats.ends_stopped++;
		break;
	case SCHED_LAPSED:
		s->stats.ends_lapsed++;
		break;
	case SCHED_GANG_BROKEN:
	case SCHED_GANG_INCOMPLETE:
		break;
	}
	if (task->step->spec->gang && !task->done)
		gang_restart(s, task->step);
}

/*
 * Marks runs that should be in the report and are not. A run may be missing
 * because its end is not listed yet.
 */
static void mark_missing_runs(struct sched *s, struct instance *i,
			      const struct sched_report *r, uint64_t sent_ms)
{
	struct run *run;
	char name[SCHED_TASK_MAX];
	uint32_t n;

	if (r->more_ended)
		return;
	DL_FOREACH(i->runs, run)
	{
		/* Within a millisecond the order of events is unknown. */
		bool was_running = run->running_since_ms &&
				   run->running_since_ms < sent_ms;
		bool stopped = run->stop_done_ms && run->stop_done_ms < sent_ms;

		if (run->state == RUN_UNKNOWN &&
		    (sent_ms > run->unanswered_ms ||
		     sent_ms >= run->ordered_ms + s->options.start_wait_ms))
			run->absent_ms = sent_ms;
		if (!was_running && !stopped)
			continue;
		task_name(run->task, name);
		for (n = 0; n < r->running_count; n++)
			if (r->running[n].number == run->number &&
			    !strcmp(r->running[n].task, name))
				break;
		run->missing = n == r->running_count;
		i->has_missing |= run->missing;
	}
}

/*
 * Frees the missing runs. After a restart an instance doesn't know the fence of
 * a successor, nor which ends that has taken note of, so they wait for a
 * confirmation.
 */
void instance_free_missing(struct sched *s, struct instance *i, uint64_t now)
{
	struct run *run, *next;
	char name[SCHED_TASK_MAX];

	if (!i->has_missing || !instance_is_confirmed(s, i))
		return;
	i->has_missing = false;
	DL_FOREACH_SAFE(i->runs, run, next)
	{
		if (!run->missing)
			continue;
		if (!run->stop_done_ms) {
			task_name(run->task, name);
			s->stats.runs_lost++;
			sched_trace(s, "run-lost", name,
				    "\"instance\":\"%s\",\"run\":%" PRIu64,
				    i->id, run->number);
		}
		run_free(s, run, now);
	}
}

/*
 * Whether the instance may have restarted, under the id that it had, so late
 * that a deadline that a former leader sent to it still holds.
 */
static bool has_started_lately(const struct sched *s,
			       const struct sched_report *r)
{
	return s->epoch > FIRST_EPOCH &&
	       r->started_unix_ms + s->options.lease_max_ms +
			       RESTART_UNNOTICED_MS >
		       s->unix_ms;
}

static void new_incarnation(struct sched *s, struct instance *i,
			    const struct sched_report *r, uint64_t now)
{
	if (i->started_unix_ms && r->started_unix_ms &&
	    r->started_unix_ms != i->started_unix_ms) {
		sched_trace(s, "instance-reborn", i->id, "\"runs\":%u",
			    i->run_count);
		if (i->run_count)
			instance_extend_lease_max(s, i, now);
		instance_restarted(i);
	} else if (!i->reported && has_started_lately(s, r)) {
		instance_extend_lease_max(s, i, now);
	}
	i->started_unix_ms = r->started_unix_ms;
	i->last_end_seq = 0;
	i->acked = 0;
	instance_clear_unacked(s, i);
	i->failures = 0;
	i->ejected_until_ms = 0;
}

static void apply_ends(struct sched *s, struct instance *i,
		       const struct sched_report *r, uint64_t now)
{
	uint32_t n;

	for (n = 0; n < r->ended_count; n++) {
		const struct sched_ended *e = &r->ended[n];

		if (e->seq <= i->last_end_seq)
			continue;
		i->last_end_seq = e->seq;
		apply_end(s, i, e, now);
		add_unacked(s, i, e->seq);
	}
}

/* If no change is to be written, the next poll acknowledges all ends. */
static void acknowledge_unchanged(struct sched *s, struct instance *i)
{
	if (!sched_is_written(s) || !i->unacked_count)
		return;
	i->acked = i->unacked[i->unacked_count - 1].end_seq;
	instance_clear_unacked(s, i);
}

void sched_poll_lost(struct sched *s, instance_handle_t h, uint64_t now)
{
	struct instance *i = instance_of(s, h);

	if (!i)
		return;
	poll_ended(s, i);
	i->poll_sent_ms = 0;
	i->next_poll_ms = now;
}

static uint64_t max_uint64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/*
 * When to poll an instance that has just answered. Its first poll can't renew
 * the lease, as its clock and runs aren't known; the next one has to, at once:
 * the lease may be about to expire.
 */
static uint64_t next_poll_ms(const struct instance *i, uint64_t now)
{
	if (!i->unacked_count || (i->run_count && !i->leased))
		return now;
	return now + POLL_UNWRITTEN_MS;
}

/*
 * Whether what came later, or was asked for later, is known already. Answers to
 * polls that follow one another come in their order; those of two that overlap
 * are told apart by the instance's clock.
 */
static bool is_outdated(const struct instance *i, const struct sched_report *r,
			uint64_t sent_ms)
{
	if (!i->polls_overlap)
		return false;
	if (r && i->reported && r->started_unix_ms == i->started_unix_ms)
		return r->clock_ms <= i->clock_ms;
	return sent_ms < i->report_sent_ms;
}

static void poll_failed(struct sched *s, struct instance *i, uint64_t sent_ms,
			uint64_t now)
{
	if (!i->unresponsive && i->reported)
		s->call_unanswered_ms = now;
	if (!i->unresponsive)
		sched_trace(s, "instance-silent", i->id,
			    "\"runs\":%u,\"lease_in_ms\":%" PRId64,
			    i->run_count, (int64_t)(i->lease_end_ms - now));
	i->unresponsive = true;
	i->leased = false;
	i->next_poll_ms =
		max_uint64(now + POLL_FAILED_MS, sent_ms + POLL_FAILED_GAP_MS);
}

void sched_poll_done(struct sched *s, instance_handle_t h,
		     const struct sched_report *r, uint64_t sent_ms,
		     uint64_t now)
{
	struct instance *i = instance_of(s, h);
	bool outdated;
	uint32_t n;

	if (!i)
		return;
	outdated = is_outdated(i, r, sent_ms);
	poll_ended(s, i);
	if (outdated) {
		i->next_poll_ms = now;
		return;
	}
	if (!r) {
		poll_failed(s, i, sent_ms, now);
		return;
	}
	if (i->started_unix_ms != r->started_unix_ms || !i->reported) {
		new_incarnation(s, i, r, now);
		i->first_report_ms = now;
	}
	if (i->unresponsive) {
		i->first_report_ms = now;
		sched_trace(s, "instance-answers", i->id, "\"runs\":%u",
			    r->running_count);
	}
	if (i->restart_possible && sent_ms >= i->listed_ms) {
		i->first_report_ms = now;
		i->restart_possible = false;
	}
	i->clock_ms = r->clock_ms;
	i->clock_read_ms = now;
	i->report_sent_ms = max_uint64(i->report_sent_ms, sent_ms);
	if (sent_ms > i->gone_ms)
		i->gone_ms = 0;
	if (i->down_ms && sent_ms > i->down_ms)
		instance_outlived_order(i);
	i->unresponsive = false;
	i->unanswered_orders = 0;
	i->expired = false;
	i->reported = true;
	for (n = 0; n < r->running_count; n++)
		apply_running(s, i, &r->running[n], sent_ms, now);
	apply_ends(s, i, r, now);
	mark_missing_runs(s, i, r, sent_ms);
	instance_free_missing(s, i, now);
	if (!r->more_ended)
		instance_count_reported(s, i);
	acknowledge_unchanged(s, i);
	i->next_poll_ms = next_poll_ms(i, now);
	instance_throttle(s, i, now);
}
