/*
 * sched_submit - jobs from callers, from other nodes, and from the rows of a
 * former leader
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "pool/sched_internal.h"

static void trace_refusal(struct sched *s, const struct job *job,
			  enum sched_refusal reason, uint32_t retry_after_ms,
			  uint64_t now)
{
	struct amount capacity, used;
	struct share_view v = { 0 };

	if (job->demand)
		share_view(s, job, &v, now);
	pool_amounts(job->pool, now, &capacity, &used);
	sched_trace(
		s, "job-refuse", job->id,
		"\"reason\":\"%s\",\"queue\":\"%s\",\"pool\":\"%s\","
		"\"workspace\":\"%s\",\"backlog_ms\":%u,"
		"\"in_time_ms\":%.0f,\"level_ms\":%.0f,\"own_ms\":%.0f,"
		"\"held_ms\":%.0f,"
		"\"room_ms\":%.0f,\"within_rate\":%d,"
		"\"pool_cpu\":%" PRId64 ",\"used_cpu\":%" PRId64
		",\"work\":%" PRIu64 ",\"chain_ms\":%" PRIu64
		",\"objective_ms\":%" PRIu64 ",\"config\":%" PRIu64
		",\"leader_rate\":%.0f,\"leader_limit\":%.0f"
		",\"leader_delay_ms\":%.0f,\"first_ms_ago\":%" PRIu64
		",\"retry_after_ms\":%u",
		sched_refusal_name(reason), job->queue, job->pool->name,
		job->row->workspace, sched_backlog_ms(job->pool, now),
		v.backlog_ms, v.level_backlog_ms, v.own_backlog_ms, v.work_ms,
		v.room_ms, v.within_rate, capacity.cpu, used.cpu, job->work,
		job->critical_path_ms, job->objective_ms - job->accepted_ms,
		s->config ? s->config->version : 0, s->pace.rate, s->pace.limit,
		s->pace.delay_ms, now - job->accepted_ms, retry_after_ms);
}

/*
 * Most that a task adds to the work that arrived. The forecast takes the work
 * that arrives within a second for the CPU that is needed: so this is at most
 * four times the CPU that tasks request, as for work that waits
 * (HEADROOM_FACTOR in src/fleet/balance.c).
 */
#define ARRIVED_MS_MAX 4000u

/*
 * Counts the work of a new job, for the forecast of its pool. Occurrences of a
 * repeating job arrive over a long time, so such a job is not counted.
 */
static void count_arrival(struct job *job)
{
	size_t i;

	if (job->row->times || !job->work)
		return;
	for (i = 0; i < job->row->n_steps; i++) {
		const Fleet__Step *st = job->row->steps[i];
		uint64_t ms = estimate_scaled_ms(st, job->estimate_ratio);

		if (!st->lasting)
			job->pool->arrived_work +=
				(uint64_t)st->count * st->cpu *
				(ms < ARRIVED_MS_MAX ? ms : ARRIVED_MS_MAX);
	}
}

enum sched_submit sched_submit(struct sched *s, const char *id,
			       Fleet__JobRow *row, uint64_t unix_ms,
			       uint64_t now, uint32_t *retry_after_ms)
{
	struct job *job = sched_job(s, id);
	struct job_verdict verdict;
	uint64_t first_ms;
	enum sched_refusal reason;
	uint32_t wait;

	if (job) {
		bool same = !strcmp(job->queue, row->queue);

		fleet__job_row__free_unpacked(row, NULL);
		return same ? SUBMIT_KNOWN : SUBMIT_INVALID;
	}
	if (!job_check(row, &verdict) ||
	    (s->options.row_bytes &&
	     !job_check_size(row, s->options.row_bytes, &verdict))) {
		sched_trace(s, "job-invalid", id,
			    "\"queue\":\"%s\",\"why\":\"%s\",\"value\":%" PRIu64
			    ",\"bound\":%" PRIu64,
			    row->queue, job_problem_name(verdict.problem),
			    verdict.value, verdict.bound);
		fleet__job_row__free_unpacked(row, NULL);
		return SUBMIT_INVALID;
	}
	s->unix_ms = unix_ms;
	first_ms = refused_since(s, id, now);
	row->accepted_unix_ms = unix_ms - (now - first_ms);
	job = job_new(s, id, row, first_ms);
	wait = sched_retry_after(s, job, &reason, now);
	if (wait) {
		trace_refusal(s, job, reason, wait, now);
		*retry_after_ms = wait;
		s->stats.refused++;
		s->stats.refusals[reason]++;
		if (reason == REFUSAL_EVACUATED)
			job->pool->refused_evacuated_ms = now;
		refused_add(s, job->id,
			    reason != REFUSAL_UNFIT &&
				    reason != REFUSAL_EVACUATED,
			    now);
		queue_stats(s, job->queue)->refused++;
		job_discard_steps(s, job);
		job_free(s, job);
		return SUBMIT_REFUSED;
	}
	refused_remove(s, id);
	s->stats.accepted++;
	queue_stats(s, job->queue)->accepted++;
	count_arrival(job);
	pace_count(s, job, true);
	share_count(job, true);
	share_count_accepted(job, now);
	job_mark_changed(s, job);
	sched_trace(s, "job-accept", id,
		    "\"queue\":\"%s\",\"workspace\":\"%s\",\"steps\":%zu,"
		    "\"work\":%" PRIu64 ",\"chain_ms\":%" PRIu64,
		    job->queue, job->row->workspace, job->row->n_steps,
		    job->work, job->critical_path_ms);
	return SUBMIT_ACCEPTED;
}

void sched_recorded(struct sched *s, const char *id, Fleet__JobRow *row,
		    uint64_t now)
{
	struct job *job = sched_job(s, id);

	if (job) {
		job->stored = true;
		fleet__job_row__free_unpacked(row, NULL);
		return;
	}
	/*
	 * A former leader may receive the job too. Only the leader that can
	 * still write may start it, so its rows are written first.
	 */
	job = job_new(s, id, row, now);
	job->stored = true;
	pace_count(s, job, true);
	share_count(job, true);
	job_mark_changed(s, job);
	count_arrival(job);
	s->stats.accepted++;
	sched_trace(s, "job-recorded", id, "\"queue\":\"%s\"", job->queue);
}

/* Takeover */

void sched_load_job(struct sched *s, const char *id, Fleet__JobRow *row,
		    const Fleet__ProgressRow *progress, uint64_t now)
{
	struct job *job = sched_job(s, id);
	uint64_t age;

	if (job) {
		fleet__job_row__free_unpacked(row, NULL);
		return;
	}
	age = s->unix_ms > row->accepted_unix_ms
		      ? s->unix_ms - row->accepted_unix_ms
		      : 0;
	job = job_new(s, id, row, now > age ? now - age : 0);
	job->stored = true;
	job->claimed = true;
	job->loaded = true;
	job->pool_changed = strcmp(row->pool, job->pool->name) != 0;
	row_apply(s, job, progress);
	pace_count(s, job, !job_is_over(job));
	share_count(job, !job_is_over(job));
}

void sched_load_end(struct sched *s, const char *id, const Fleet__EndRow *row,
		    uint64_t now)
{
	struct job *job = sched_job(s, id);

	if (job) {
		/* Its other rows were kept because runs of it may remain. */
		job->state = job->shown = row->state;
		job->rows_kept = true;
		job_set_list(s, job, JOBS_ENDING);
		pace_count(s, job, false);
		share_count(job, false);
		job_refresh_steps(job);
		return;
	}
	ends_add(s, id, row, now);
}
