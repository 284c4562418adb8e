/*
 * sched_explain - the leader's state of one job, for operators
 */
#include <inttypes.h>
#include <string.h>

#include "pool/sched_internal.h"

static const char *const state_names[] = { "unknown",	"queued", "running",
					   "completed", "failed", "cancelled" };

static char *explain_step(char *text, const struct step *step)
{
	uint32_t running = 0;
	uint32_t ordered_or_stopping = 0;
	uint32_t waiting = 0;
	uint32_t possibly_running = 0;
	const struct run *run;
	uint32_t t;

	for (t = 0; t < step->spec->count; t++) {
		const struct task *task = &step->tasks[t];

		if (task->possibly_running)
			possibly_running++;
		else if (!task->done && !task->runs)
			waiting++;
		DL_FOREACH2(task->runs, run, task_next)
		{
			if (run->state == RUN_RUNNING)
				running++;
			else
				ordered_or_stopping++;
		}
	}
	return talloc_asprintf_append(
		text,
		"%s{\"occurrence\":%u,\"step\":%u,\"tasks\":%u,\"done\":%u,"
		"\"ready\":%d,\"running\":%u,\"ordered_or_stopping\":%u,"
		"\"waiting\":%u,\"may_run_unseen\":%u,\"failed_ends\":%u,"
		"\"evacuated\":%d}",
		text[strlen(text) - 1] == '[' ? "" : ",", step->in->index,
		step->index, step->spec->count,
		step->spec->count - step->tasks_left, step->ready, running,
		ordered_or_stopping, waiting, possibly_running,
		step->failed_count, waiting && step_is_evacuated(step));
}

char *sched_explain(const struct sched *s, TALLOC_CTX *ctx, const char *id)
{
	const struct job *job = sched_job(s, id);
	char *text;
	const struct occurrence *o;
	size_t i;

	if (!job)
		return NULL;
	text = talloc_asprintf(
		ctx,
		"{\"id\":\"%s\",\"queue\":\"%s\",\"pool\":\"%s\","
		"\"state\":\"%s\",\"shown\":\"%s\",\"written\":%d,"
		"\"set_aside\":%d,\"starts_held\":%d,\"times\":%u,"
		"\"occurrences_left\":%u,"
		"\"open\":%u,\"window\":%u,\"steps\":[",
		job->id, job->queue, job->pool->name, state_names[job->state],
		state_names[job->shown], job->change == CHANGE_NONE,
		job->set_aside, s->starts_held, job->times,
		job->occurrences_left, job->open_count, job->window);
	for (o = job->occurrences; o; o = o->hh.next)
		for (i = 0; i < job->row->n_steps; i++)
			text = explain_step(text, &o->steps[i]);
	return talloc_asprintf_append(text, "]}\n");
}
