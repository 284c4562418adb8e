/*
 * sched_ends - ended jobs whose state is no longer kept
 *
 * Such a job stays known until its row is deleted. A caller that repeats it
 * meanwhile meets the job that ended, not a new one whose row a deletion that
 * is carried out late would remove.
 */
#include <assert.h>
#include <stdio.h>

#include "pool/sched_internal.h"

struct job *ends_add(struct sched *s, const char *id, const Fleet__EndRow *row,
		     uint64_t now)
{
	struct job *job = talloc_zero(s, struct job);

	assert(job);
	snprintf(job->id, sizeof(job->id), "%s", id);
	snprintf(job->queue, sizeof(job->queue), "%s", row->queue);
	job->state = job->shown = row->state;
	job->stored = true;
	job->kept_since_ms = now;
	job->pool = sched_pool(s, "");
	job_add(s, job);
	return job;
}

static void expire(struct sched *s, struct job *job)
{
	job_set_list(s, job, JOBS_EXPIRED);
	s->expired++;
}

void ends_expire(struct sched *s, uint64_t now)
{
	struct job *job;

	while ((job = s->lists[JOBS_ENDED]) && job->change == CHANGE_NONE &&
	       now - job->kept_since_ms > s->options.end_keep_ms)
		expire(s, job);
}

void ends_batch_done(struct sched *s, uint32_t batch, bool written)
{
	struct job *job, *next;

	DL_FOREACH_SAFE2(s->lists[JOBS_DELETING], job, next, list_next)
	{
		if (job->batch != batch)
			continue;
		if (!written) {
			expire(s, job);
			continue;
		}
		s->stats.ends_deleted++;
		job_free(s, job);
	}
}

void sched_load_expired(struct sched *s, const char *id,
			const Fleet__EndRow *row, uint64_t now)
{
	if (!sched_job(s, id))
		expire(s, ends_add(s, id, row, now));
}

uint32_t sched_expired(const struct sched *s)
{
	return s->expired;
}

const char *sched_next_expired(struct sched *s, uint32_t batch)
{
	struct job *job = s->lists[JOBS_EXPIRED];

	if (!job)
		return NULL;
	job->batch = batch;
	job_set_list(s, job, JOBS_DELETING);
	s->expired--;
	return job->id;
}
