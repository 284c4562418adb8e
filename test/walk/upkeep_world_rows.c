#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "test/walk/upkeep_world_internal.h"

/* Takes what the store needs of the change. */
void rows_add(struct upkeep_call *write, struct sched_change *change)
{
	struct upkeep_row *row = talloc_zero(write, struct upkeep_row);

	assert(row);
	row->job = (uint32_t)strtoull(change->id, NULL, 16) - 1;
	row->is_ended = change->is_ended;
	row->end_state = change->end.state;
	LL_PREPEND(write->rows, row);
	if (!change->progress)
		return;
	row->progress_bytes =
		fleet__progress_row__get_packed_size(change->progress);
	row->progress = talloc_array(row, uint8_t, row->progress_bytes + 1);
	assert(row->progress);
	fleet__progress_row__pack(change->progress, row->progress);
	fleet__progress_row__free_unpacked(change->progress, NULL);
}

void rows_apply(struct upkeep_world *w, const struct upkeep_call *write)
{
	const struct upkeep_row *row;

	LL_FOREACH(write->rows, row)
	{
		struct upkeep_job *job = &w->jobs[row->job];

		job->written = true;
		if (row->is_ended) {
			job->ended_written = true;
			job->end_state = row->end_state;
		}
		if (!row->progress)
			continue;
		talloc_free(job->progress);
		job->progress = talloc_memdup(w->ctx, row->progress,
					      row->progress_bytes + 1);
		assert(job->progress);
		job->progress_bytes = row->progress_bytes;
	}
}

static void load_job(struct upkeep_world *w, struct upkeep_job *job)
{
	Fleet__ProgressRow *progress = NULL;
	Fleet__EndRow end = FLEET__END_ROW__INIT;

	if (job->ended_written) {
		end.queue = w->names[job->pool];
		end.state = job->end_state;
		sched_load_end(w->sched, job->id, &end, w->now);
		return;
	}
	if (job->progress)
		progress = fleet__progress_row__unpack(
			NULL, job->progress_bytes, job->progress);
	sched_load_job(w->sched, job->id, upkeep_job_row(w, job), progress,
		       w->now);
	if (progress)
		fleet__progress_row__free_unpacked(progress, NULL);
	/* Its caller repeats a cancellation that is not in the store. */
	if (job->cancelled)
		sched_cancel(w->sched, job->id, w->names[job->pool], w->now);
}

void rows_load(struct upkeep_world *w)
{
	uint32_t i;

	for (i = 0; i < w->machine_count; i++)
		if (w->machines[i].listed)
			site_list_instance(w, &w->machines[i]);
	for (i = 0; i < w->job_count; i++)
		if (w->jobs[i].written)
			load_job(w, &w->jobs[i]);
}

/* Callers of other jobs got no answer; those of long-running ones repeat. */
void rows_forget_unwritten(struct upkeep_world *w)
{
	uint32_t i;

	for (i = 0; i < w->job_count; i++) {
		struct upkeep_job *job = &w->jobs[i];

		if (job->written)
			continue;
		job->submitted = job->accepted = false;
		job->ended = !job->lasting;
	}
}
