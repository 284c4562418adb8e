/*
 * sched_throttle - speed of fillers beside tasks with a latency target
 *
 * A task with a latency target must keep its tail latency under it. Fillers on
 * its instance are slowed down as soon as the tail comes near the target, and
 * sped up again step by step, so that they use the remaining capacity. After
 * each change, the next one waits until its effect shows in the tail.
 */
#include <inttypes.h>

#include "pool/sched_internal.h"

#define SLOWDOWN_ABOVE 0.85 /* ratio of tail to target */
#define SPEEDUP_BELOW 0.6   /* ratio of tail to target */
#define SLOWDOWN_DIVISOR 2u /* halves the speed at once */
#define SPEEDUP_STEP 10u    /* percentage points */
#define SPEED_MIN 5u /* percent; a filler that would be slower is paused */
#define SPEEDUP_INTERVAL_MS 1500u /* until the next change, after a speedup */
#define SLOWDOWN_INTERVAL_MS 500u /* the same after a slowdown */

/* The highest ratio of tail latency to target on the instance. */
static double worst_tail(const struct instance *i)
{
	const struct run *run;
	double worst = 0;

	DL_FOREACH(i->runs, run)
	{
		const Fleet__Step *spec = run->task->step->spec;
		double ratio;

		if (!spec->target_ms || spec->filler || !run_is_available(run))
			continue;
		ratio = run->load / spec->target_ms;
		if (ratio > worst)
			worst = ratio;
	}
	return worst;
}

static void set_speed(struct sched *s, struct run *run, uint32_t percent,
		      double tail)
{
	char name[SCHED_TASK_MAX];

	if (run->speed_wanted == percent)
		return;
	task_name(run->task, name);
	sched_trace(s, "pace", name,
		    "\"instance\":\"%s\",\"from\":%u,\"to\":%u,"
		    "\"tail_of_target\":%.2f",
		    run->instance->id, run->speed_wanted, percent, tail);
	run->speed_wanted = percent;
	run_watch(s, run);
	if (!run->in_flight)
		run_queue_order(s, run);
}

static uint32_t slowed_down(uint32_t percent)
{
	percent /= SLOWDOWN_DIVISOR;
	return percent < SPEED_MIN ? 0 : percent;
}

void instance_throttle(struct sched *s, struct instance *i, uint64_t now)
{
	double tail = worst_tail(i);
	bool down = tail > SLOWDOWN_ABOVE;
	struct run *run;

	if (now < i->next_throttle_ms || (!down && tail > SPEEDUP_BELOW))
		return;
	DL_FOREACH(i->runs, run)
	{
		uint32_t wanted = run->speed_wanted;

		if (!run->task->step->spec->filler || run->state != RUN_RUNNING)
			continue;
		if (down)
			set_speed(s, run, slowed_down(wanted), tail);
		else if (wanted < 100)
			set_speed(s, run,
				  wanted + SPEEDUP_STEP > 100
					  ? 100
					  : wanted + SPEEDUP_STEP,
				  tail);
	}
	i->next_throttle_ms =
		now + (down ? SLOWDOWN_INTERVAL_MS : SPEEDUP_INTERVAL_MS);
}
