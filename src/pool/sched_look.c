/*
 * sched_look - looks at instances and what their reports prove
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "pool/sched_internal.h"

#define LOOK_WAIT_MS 1000u	  /* a look waits that long for an end */
#define LOOK_WAIT_IDLE_MS 2000u	  /* the same where nothing runs */
#define LOOK_WAIT_ENDING_MS 500u  /* the same beside tasks that end */
#define LOOK_WAIT_LOSSY_MS 200u	  /* the same while calls go unanswered */
#define CALLS_LOSSY_MS 3000u	  /* after the last one that did */
#define LOOK_WAIT_SERVING_MS 500u /* the same beside tasks with a target */
#define LOOK_UNWRITTEN_MS 300u	  /* between looks while ends are not durable */
#define SESSION_GAP_MS 500u	  /* above LOOK_UNWRITTEN_MS and a pass */
#define LOOK_ANSWER_MS 300u /* beyond the wait, for the way and a busy lead */
#define LOOK_FAILED_MS 50u  /* before an unanswered look is repeated */
#define LOOK_FAILED_GAP_MS 200u /* from one look that fails to the next */

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

/*
 * The load it answers: instances that leave calls unanswered. What ended
 * there is heard of with the next look, so where ends are awaited a look that
 * is lost must be noticed soon.
 */
static uint32_t look_wait(const struct sched *s, const struct instance *i,
			  uint64_t now)
{
	if (!i->seen || i->unacked_count || i->silent)
		return 0;
	if (!i->run_count)
		return LOOK_WAIT_IDLE_MS;
	if (instance_has_ending(i))
		return s->call_lost_ms && now - s->call_lost_ms < CALLS_LOSSY_MS
			       ? LOOK_WAIT_LOSSY_MS
			       : LOOK_WAIT_ENDING_MS;
	return instance_serves(i) ? LOOK_WAIT_SERVING_MS : LOOK_WAIT_MS;
}

static bool look_wanted(const struct instance *i)
{
	return *i->address && (i->listed || i->run_count || i->unacked_count ||
			       (!i->seen && !i->expired));
}

/*
 * Looks follow one another without a gap while an instance answers. After a
 * gap, or when it came into the directory again, it may have started again,
 * and number its ends anew.
 */
static bool same_session(const struct instance *i, uint64_t now)
{
	return !i->silent && i->report_ms >= i->listed_ms &&
	       now - i->clock_at <= SESSION_GAP_MS;
}

/* Each search goes on where the last one ended, so that a pass is one round. */
bool sched_next_look(struct sched *s, uint64_t now, struct sched_look *look)
{
	uint32_t n;

	for (n = 0; n < s->instance_slots; n++) {
		uint32_t slot = s->look_turn++ % s->instance_slots;
		struct instance *i = s->instances[slot];

		if (!i || i->looking || now < i->look_ms || !look_wanted(i))
			continue;
		i->looking = true;
		look->instance = i->handle;
		look->instance_id = i->id;
		look->address = i->address;
		look->acked = same_session(i, now) ? i->acked : 0;
		look->wait_ms = look_wait(s, i, now);
		look->answer_ms = look->wait_ms + LOOK_ANSWER_MS;
		look->lease_until = 0;
		/* One that does not answer is not extended, so it lapses. */
		if (i->run_count && !i->silent)
			look->lease_until = instance_lease(s, i, now);
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

/* What is there and should not be is stopped as a run of its own. */
static void adopt(struct sched *s, struct instance *i,
		  const struct sched_running *r, struct task *task,
		  uint64_t now)
{
	struct step *step = task->step;
	bool twin = task->runs && !step->spec->duplicates;
	struct run *run = run_new(s, task, i, r->number, now);

	run->state = RUN_BEGUN;
	run_begun(s, run, now);
	sched_trace(s, "run-found", r->task,
		    "\"instance\":\"%s\",\"run\":%" PRIu64 ",\"twin\":%d",
		    i->id, r->number, twin);
	if (twin || task->done || job_is_over(step->job))
		run_stop(s, run);
}

static void saw_running(struct sched *s, struct instance *i,
			const struct sched_running *r, uint64_t sent_ms,
			uint64_t now)
{
	struct task *task = sched_task(s, r->task);
	struct run *run;

	if (!task) {
		sched_trace(s, "run-unknown", r->task, "\"instance\":\"%s\"",
			    i->id);
		return;
	}
	run = run_find(i, task, r->number);
	if (!run) {
		adopt(s, i, r, task, now);
		run = run_find(i, task, r->number);
	}
	run_begun(s, run, now);
	run->percent = r->percent;
	run->load = r->load;
	if (*r->saved)
		snprintf(task->saved, sizeof(task->saved), "%s", r->saved);
	if (run_at_work(run))
		task->away_ms = 0;
	(void)sent_ms;
}

static void remember_unacked(struct sched *s, struct instance *i, uint64_t n)
{
	if (i->unacked_count == i->unacked_room) {
		i->unacked_room = i->unacked_room ? i->unacked_room * 2 : 8;
		i->unacked = talloc_realloc(i, i->unacked, struct unacked,
					    i->unacked_room);
		assert(i->unacked);
	}
	i->unacked[i->unacked_count].n = n;
	i->unacked[i->unacked_count].seq = s->change_seq;
	i->unacked_count++;
}

static void gang_restart(struct sched *s, struct step *step)
{
	struct run *run;
	uint32_t t;

	for (t = 0; t < step->spec->count; t++)
		DL_FOREACH2(step->tasks[t].runs, run, task_next)
	run_stop(s, run);
}

static void saw_ended(struct sched *s, struct instance *i,
		      const struct sched_ended *e, uint64_t now)
{
	struct task *task = sched_task(s, e->task);
	struct run *run;

	if (!task)
		return;
	sched_trace(s, "run-end", e->task,
		    "\"instance\":\"%s\",\"run\":%" PRIu64
		    ",\"how\":%d,\"n\":%" PRIu64,
		    i->id, e->number, e->how, e->n);
	run = run_find(i, task, e->number);
	task->step->job->begun = true;
	if (*e->saved)
		snprintf(task->saved, sizeof(task->saved), "%s", e->saved);
	if (run)
		run_free(s, run, now);
	switch (e->how) {
	case SCHED_DONE:
		s->stats.ends_done++;
		instance_praised(i);
		if (!job_is_over(task->step->job) && !task->step->spec->lasting)
			task_done(s, task, now);
		break;
	case SCHED_FAILED:
		s->stats.ends_failed++;
		instance_blamed(s, i, task->step->job, now);
		task->avoid = i->handle.i + 1;
		if (!job_is_over(task->step->job))
			task_failed(s, task, e->number, now);
		break;
	case SCHED_STOPPED:
		s->stats.ends_stopped++;
		break;
	case SCHED_LAPSED:
		s->stats.ends_lapsed++;
		break;
	case SCHED_BROKEN:
	case SCHED_ALONE:
		break;
	}
	if (task->step->spec->gang && !task->done)
		gang_restart(s, task->step);
}

/* Runs that should be in the report and are not. */
static void find_missing(struct sched *s, struct instance *i,
			 const struct sched_report *r, uint64_t sent_ms,
			 uint64_t now)
{
	struct run *run, *next;
	char name[SCHED_TASK_MAX];
	uint32_t n;

	DL_FOREACH_SAFE(i->runs, run, next)
	{
		/* In the same millisecond either may have come first. */
		bool begun = run->known_ms && run->known_ms < sent_ms;
		bool prevented = run->stopped_ms && run->stopped_ms < sent_ms;

		if (!begun && !prevented)
			continue;
		task_name(run->task, name);
		for (n = 0; n < r->running_count; n++)
			if (r->running[n].number == run->number &&
			    !strcmp(r->running[n].task, name))
				break;
		if (n < r->running_count)
			continue;
		if (!prevented) {
			s->stats.runs_lost++;
			sched_trace(s, "run-lost", name,
				    "\"instance\":\"%s\",\"run\":%" PRIu64,
				    i->id, run->number);
		}
		run_free(s, run, now);
	}
}

static void new_life(struct sched *s, struct instance *i,
		     const struct sched_report *r, uint64_t now)
{
	if (i->born && r->born && r->born != i->born) {
		sched_trace(s, "instance-reborn", i->id, "\"runs\":%u",
			    i->run_count);
		if (i->run_count)
			instance_held_long(s, i, now);
	}
	i->born = r->born;
	i->last_n = 0;
	i->acked = 0;
	i->unacked_count = 0;
	i->failures = 0;
	i->shunned_until = 0;
}

static void saw_ends(struct sched *s, struct instance *i,
		     const struct sched_report *r, uint64_t now)
{
	uint32_t n;

	for (n = 0; n < r->ended_count; n++) {
		const struct sched_ended *e = &r->ended[n];

		if (e->n <= i->last_n)
			continue;
		i->last_n = e->n;
		saw_ended(s, i, e, now);
		remember_unacked(s, i, e->n);
	}
}

/* Ends that no change waits for are acknowledged by the next look. */
static void acknowledge_unchanged(struct sched *s, struct instance *i)
{
	if (s->changed || !i->unacked_count)
		return;
	i->acked = i->unacked[i->unacked_count - 1].n;
	i->unacked_count = 0;
}

void sched_look_lost(struct sched *s, instance_handle_t h, uint64_t now)
{
	struct instance *i = instance_of(s, h);

	if (!i)
		return;
	i->looking = false;
	i->look_ms = now;
}

static uint64_t later(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

void sched_looked(struct sched *s, instance_handle_t h,
		  const struct sched_report *r, uint64_t sent_ms, uint64_t now)
{
	struct instance *i = instance_of(s, h);
	uint32_t n;

	if (!i)
		return;
	i->looking = false;
	if (!r) {
		if (!i->silent && i->seen)
			s->call_lost_ms = now;
		if (!i->silent)
			sched_trace(s, "instance-silent", i->id,
				    "\"runs\":%u,\"lease_in_ms\":%" PRId64,
				    i->run_count,
				    (int64_t)(i->lease_end - now));
		i->silent = true;
		i->look_ms = later(now + LOOK_FAILED_MS,
				   sent_ms + LOOK_FAILED_GAP_MS);
		return;
	}
	if (i->born != r->born || !i->seen) {
		new_life(s, i, r, now);
		i->met_ms = now;
	}
	if (i->silent) {
		i->met_ms = now;
		sched_trace(s, "instance-answers", i->id, "\"runs\":%u",
			    r->running_count);
	}
	i->clock_ms = r->clock_ms;
	i->clock_at = now;
	i->report_ms = sent_ms;
	i->silent = false;
	i->unanswered = 0;
	i->expired = false;
	i->seen = true;
	for (n = 0; n < r->running_count; n++)
		saw_running(s, i, &r->running[n], sent_ms, now);
	saw_ends(s, i, r, now);
	find_missing(s, i, r, sent_ms, now);
	count_seen(s, i);
	acknowledge_unchanged(s, i);
	i->look_ms = i->unacked_count ? now + LOOK_UNWRITTEN_MS : now;
	instance_pace(s, i, now);
}
