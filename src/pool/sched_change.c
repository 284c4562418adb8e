/*
 * sched_change - jobs whose rows have to be written, and acknowledgement of
 * ends once they are
 */
#include <string.h>

#include "pool/sched_internal.h"

bool sched_durable(const struct sched *s, const char *id)
{
	const struct job *job = sched_job(s, id);

	return job && job->stored && job->change == CHANGE_NONE;
}

bool sched_change_pending(const struct sched *s)
{
	return s->changes[CHANGE_NEW] || s->changes[CHANGE_WAITING];
}

/* Whether no change is to be written or being written. */
bool sched_is_written(const struct sched *s)
{
	return !sched_change_pending(s) && !s->changes[CHANGE_BATCHED];
}

void job_set_change(struct sched *s, struct job *job, enum change_state change)
{
	if (job->change != CHANGE_NONE)
		DL_DELETE(s->changes[job->change], job);
	job->change = change;
	if (change != CHANGE_NONE)
		DL_APPEND(s->changes[change], job);
}

static void job_wait_for_write(struct sched *s, struct job *job)
{
	job_set_change(s, job, job->stored ? CHANGE_WAITING : CHANGE_NEW);
}

/* Notes that a job's rows have to be written. */
void job_mark_changed(struct sched *s, struct job *job)
{
	if (job->set_aside && !job_is_over(job) && job->claimed)
		return;
	switch (job->change) {
	case CHANGE_BATCHED:
		s->change_seq++;
		if (!job->changed_while_batched)
			job->next_change_seq = s->change_seq;
		job->changed_while_batched = true;
		return;
	case CHANGE_NONE:
		job->change_seq = ++s->change_seq;
		job_wait_for_write(s, job);
		return;
	default:
		return;
	}
}

/* Whether any task of the job runs or possibly runs. */
bool job_has_runs(const struct job *job)
{
	/* Even a task that is done may have another, unreported run. */
	return job->loaded || job_occurrences_have_runs(job);
}

/* New jobs go first: callers wait for them, and none of them has started. */
static struct job *first_waiting(const struct sched *s)
{
	return s->changes[CHANGE_NEW] ? s->changes[CHANGE_NEW]
				      : s->changes[CHANGE_WAITING];
}

bool sched_next_change(struct sched *s, uint32_t batch,
		       struct sched_change *change)
{
	struct job *job = first_waiting(s);

	if (!job)
		return false;
	memset(change, 0, sizeof(*change));
	memcpy(change->id, job->id, sizeof(change->id));
	job_set_change(s, job, CHANGE_BATCHED);
	job->batch = batch;
	job->changed_while_batched = false;
	change->is_new = !job->stored;
	change->job = job->row;
	change->is_ended = job_is_over(job);
	if (change->is_ended) {
		change->drop = !job_has_runs(job);
		job->rows_kept = !change->drop;
		fleet__end_row__init(&change->end);
		change->end.queue = job->queue;
		change->end.state = job->state;
		change->end.ended_unix_ms = s->unix_ms;
	} else {
		change->progress = row_progress(s, job);
		if (!change->progress && !change->is_new)
			change->progress = row_progress_empty();
	}
	return true;
}

/*
 * Frees what an ended job needs only while it has runs. Rows that were kept for
 * the runs are deleted first; sched_batch_done() of the deletion calls this
 * again.
 */
void job_shrink(struct sched *s, struct job *job)
{
	if (job_has_runs(job))
		return; /* its runs are still being stopped */
	if (job->rows_kept) {
		job_mark_changed(s, job);
		return;
	}
	occurrences_free(job);
	job_forget_cost(s, job);
	fleet__job_row__free_unpacked(job->row, NULL);
	job->row = NULL;
	/* Not since its end: callers learn of that once it is written. */
	job->kept_since_ms = s->tick_ms;
	job_set_list(s, job, JOBS_ENDED);
}

/*
 * Returns the change_seq up to which all changes are written. Ends that depend
 * on no later change may be acknowledged.
 */
static uint64_t durable_seq(const struct sched *s)
{
	uint64_t least = s->change_seq + 1;
	const struct job *job;
	uint32_t n;

	for (n = 0; n < CHANGE_STATES; n++)
		DL_FOREACH(s->changes[n], job)
	if (job->change_seq < least)
		least = job->change_seq;
	return least - 1;
}

void instance_clear_unacked(struct sched *s, struct instance *i)
{
	if (i->unacked_count)
		DL_DELETE2(s->unacked, i, unacked_prev, unacked_next);
	i->unacked_count = 0;
}

/* Acknowledges the ends of an instance up to a change. */
static void instance_acknowledge(struct sched *s, struct instance *i,
				 uint64_t durable, uint64_t now)
{
	uint32_t n;

	for (n = 0; n < i->unacked_count; n++) {
		if (i->unacked[n].change_seq > durable)
			break;
		i->acked = i->unacked[n].end_seq;
	}
	if (n == i->unacked_count) {
		instance_clear_unacked(s, i);
		i->next_poll_ms = now;
		return;
	}
	i->unacked_count -= n;
	memmove(i->unacked, i->unacked + n,
		i->unacked_count * sizeof(*i->unacked));
}

static void acknowledge(struct sched *s, uint64_t now)
{
	uint64_t durable = durable_seq(s);
	struct instance *i, *next;

	DL_FOREACH_SAFE2(s->unacked, i, next, unacked_next)
	instance_acknowledge(s, i, durable, now);
}

static void job_written(struct sched *s, struct job *job)
{
	job->stored = true;
	job->claimed = true;
	job->write_refused = false;
	job_set_change(s, job, CHANGE_NONE);
	occurrences_written(job, true);
	if (job->changed_while_batched) {
		job->change_seq = job->next_change_seq;
		job_wait_for_write(s, job);
		return;
	}
	job->shown = job->state;
	if (job_is_over(job) && job->row)
		job_shrink(s, job);
}

void sched_batch_done(struct sched *s, uint32_t batch, bool written,
		      uint64_t now)
{
	struct job *job, *next;

	DL_FOREACH_SAFE(s->changes[CHANGE_BATCHED], job, next)
	{
		if (job->batch != batch)
			continue;
		if (written) {
			job_written(s, job);
			continue;
		}
		occurrences_written(job, false);
		job_wait_for_write(s, job);
	}
	ends_batch_done(s, batch, written);
	acknowledge(s, now);
}

bool sched_change_refused(struct sched *s, const char *id, uint64_t commits)
{
	struct job *job = sched_job(s, id);
	bool again;

	if (!job)
		return false;
	again = job->write_refused && commits > job->refused_at_commit;
	if (!job->write_refused)
		job->refused_at_commit = commits;
	job->write_refused = true;
	return again;
}

bool sched_change_invalid(struct sched *s, const char *id, const char *why,
			  uint64_t value, uint64_t bound)
{
	struct job *job = sched_job(s, id);

	if (!job)
		return true;
	job_set_aside(s, job, why, value, bound);
	occurrences_written(job, false);
	job_set_change(s, job, CHANGE_NONE);
	if (job->stored)
		return true;
	job_discard_steps(s, job);
	job_free(s, job);
	return false;
}

void sched_set_ranges(struct sched *s, bool ranges)
{
	s->ranges = ranges;
}

void sched_row_exists(struct sched *s, const char *id)
{
	struct job *job = sched_job(s, id);

	if (job)
		job->stored = true;
}
