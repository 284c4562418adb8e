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
	const struct job *job;

	DL_FOREACH(s->changed, job)
	if (job->change == CHANGE_WAITING)
		return true;
	return false;
}

/* Whether any task of the job runs or possibly runs. */
bool job_has_runs(const struct job *job)
{
	uint32_t k, t;
	size_t i;

	/* Even a task that is done may have another, unreported run. */
	if (job->loaded)
		return true;
	for (k = 0; k < job->occurrence_count; k++)
		for (i = 0; job->occurrences[k].steps && i < job->row->n_steps;
		     i++)
			for (t = 0; t < job->row->steps[i]->count; t++) {
				const struct task *task =
					&job->occurrences[k].steps[i].tasks[t];

				if (task->runs || task->possibly_running)
					return true;
			}
	return false;
}

/* New jobs go first: callers wait for them, and none of them has started. */
static struct job *first_waiting(const struct sched *s)
{
	struct job *first = NULL;
	struct job *job;

	DL_FOREACH(s->changed, job)
	{
		if (job->change != CHANGE_WAITING)
			continue;
		if (!job->stored)
			return job;
		if (!first)
			first = job;
	}
	return first;
}

bool sched_next_change(struct sched *s, uint32_t batch,
		       struct sched_change *change)
{
	struct job *job = first_waiting(s);

	if (!job)
		return false;
	memset(change, 0, sizeof(*change));
	memcpy(change->id, job->id, sizeof(change->id));
	job->change = CHANGE_BATCHED;
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
		change->progress = row_progress(job);
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
	talloc_free(job->occurrences);
	job->occurrences = NULL;
	job->occurrence_count = 0;
	fleet__job_row__free_unpacked(job->row, NULL);
	job->row = NULL;
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

	DL_FOREACH(s->changed, job)
	if (job->change_seq < least)
		least = job->change_seq;
	return least - 1;
}

static void acknowledge(struct sched *s, uint64_t now)
{
	uint64_t durable = durable_seq(s);
	uint32_t i, n;

	for (i = 0; i < s->instance_slots; i++) {
		struct instance *inst = s->instances[i];

		if (!inst)
			continue;
		for (n = 0; n < inst->unacked_count; n++) {
			if (inst->unacked[n].change_seq > durable)
				break;
			inst->acked = inst->unacked[n].end_seq;
		}
		if (!n)
			continue;
		inst->unacked_count -= n;
		memmove(inst->unacked, inst->unacked + n,
			inst->unacked_count * sizeof(*inst->unacked));
		if (!inst->unacked_count)
			inst->next_poll_ms = now;
	}
}

void sched_batch_done(struct sched *s, uint32_t batch, bool written,
		      uint64_t now)
{
	struct job *job, *next;

	DL_FOREACH_SAFE(s->changed, job, next)
	{
		if (job->change != CHANGE_BATCHED || job->batch != batch)
			continue;
		if (!written) {
			job->change = CHANGE_WAITING;
			continue;
		}
		DL_DELETE(s->changed, job);
		job->stored = true;
		job->claimed = true;
		job->change = CHANGE_NONE;
		if (job->changed_while_batched) {
			job->change = CHANGE_WAITING;
			job->change_seq = job->next_change_seq;
			DL_APPEND(s->changed, job);
			continue;
		}
		job->shown = job->state;
		if (job_is_over(job) && job->row)
			job_shrink(s, job);
	}
	acknowledge(s, now);
}

void sched_row_exists(struct sched *s, const char *id)
{
	struct job *job = sched_job(s, id);

	if (job)
		job->stored = true;
}
