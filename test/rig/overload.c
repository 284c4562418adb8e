#include "test/rig/overload.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "test/rig/leader_rig.h"

#define WARM_UP_MS 6000u
#define MEASURED_MS 10000u
#define REST_MS 10000u /* then the last jobs end */

/* Of the jobs that its processor carries, a leader serves these in time. */
#define SERVED_MIN 0.8
/* Part of a class's jobs served in time, relative to that of all jobs */
#define CLASS_MIN 0.5
#define SLOW_ANSWERS_MAX 0.05

static double in_time(const struct leader_rig *r, uint32_t class)
{
	const struct leader_rig_class *c = leader_rig_class(r, class);

	return (double)c->in_time / c->sent;
}

/*
 * The part of the jobs that the leader's processor carries while it reads and
 * refuses the others, as often as they come.
 */
static double carried(const struct overload_case *c)
{
	double jobs = 0, refusals;
	uint32_t i;

	for (i = 0; i < LEADER_RIG_CLASSES; i++)
		jobs += c->load * 0.5e6 / leader_rig_cost_us(i);
	refusals = jobs * leader_rig_refusal_us() / 1e6;
	if (c->processor_share >= c->load)
		return 1;
	return (c->processor_share - refusals) / (c->load - refusals);
}

void overload_check(const struct overload_case *c)
{
	struct leader_rig_options options = { 400, c->processor_share };
	struct leader_rig *r = leader_rig_new(&options);
	double wanted = SERVED_MIN * carried(c);
	uint32_t sent = 0, served = 0, answers = 0, slow = 0, i;
	double all;

	/* Each class takes half of the processor time. */
	for (i = 0; i < LEADER_RIG_CLASSES; i++)
		leader_rig_send(r, i, c->load * 0.5e6 / leader_rig_cost_us(i));
	leader_rig_run(r, WARM_UP_MS);
	leader_rig_forget(r);
	leader_rig_run(r, MEASURED_MS);
	for (i = 0; i < LEADER_RIG_CLASSES; i++)
		leader_rig_send(r, i, 0);
	leader_rig_run(r, REST_MS);
	for (i = 0; i < LEADER_RIG_CLASSES; i++) {
		const struct leader_rig_class *k = leader_rig_class(r, i);

		print_message("%s: class %u: sent %u, in time %u, late %u, "
			      "refused %u, %u retries; %u of %u answers slow\n",
			      c->name, i, k->sent, k->in_time, k->late,
			      k->refused, k->retried, k->slow_answers,
			      k->answers);
		sent += k->sent;
		served += k->in_time;
		answers += k->answers;
		slow += k->slow_answers;
	}
	all = (double)served / sent;
	print_message("%s: %.3f in time, wanted %.3f\n", c->name, all, wanted);
	if (all < wanted)
		fail_msg("%s: %.3f of the jobs in time, wanted %.3f", c->name,
			 all, wanted);
	for (i = 0; i < LEADER_RIG_CLASSES; i++)
		if (in_time(r, i) < CLASS_MIN * all)
			fail_msg("%s: class %u: %.2f in time, all %.2f",
				 c->name, i, in_time(r, i), all);
	if (slow > SLOW_ANSWERS_MAX * answers)
		fail_msg("%s: %u of %u answers took over %u ms", c->name, slow,
			 answers, LEADER_RIG_ANSWER_MS);
	leader_rig_free(r);
}
