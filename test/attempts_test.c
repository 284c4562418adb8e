/*
 * Attempts over a change of leader: a failed run counts although the instance
 * that lists its end hasn't reported to the new leader yet.
 */
#include "test/rig/sched_rig.h"

#define TASK "000000000000000a.0.0.0"
#define FIRST_RUN 10001u
#define SECOND_RUN 10002u

static instance_handle_t instance(const struct rig *r, const char *id)
{
	struct sched_instance_load load;
	uint32_t slot = 0;

	while (sched_instance_next(r->s, &slot, &load))
		if (!strcmp(load.id, id))
			return load.instance;
	fail_msg("no instance %s", id);
	return load.instance;
}

static void report_of(struct rig *r, const char *id,
		      const struct sched_running *running,
		      const struct sched_ended *ended)
{
	instance_handle_t i = instance(r, id);

	next_poll(r, i);
	report(r, i, running, running != NULL, ended, ended != NULL, r->now);
	r->now++;
	sched_leader_confirmed(r->s, r->now);
}

/*
 * The first run failed on i-1; the former leader started the second one, and
 * could write no more. The queue allows two attempts.
 */
static void test_unreported_failure(void **state)
{
	struct sched_running running = { TASK, SECOND_RUN, "", 0, 0 };
	struct sched_ended second = { 1, TASK, SECOND_RUN, SCHED_FAILED, "" };
	struct sched_ended first = { 1, TASK, FIRST_RUN, SCHED_FAILED, "" };
	struct rig r;

	(void)state;
	rig_new(&r);
	add_instance(&r, "i-0", false);
	add_instance(&r, "i-1", false);
	sched_load_job(r.s, id_a, job_row(1, 1, false), NULL, r.now);
	sched_become_leader(r.s, 2, true, r.now);
	sched_expect_complete(r.s, r.now);
	report_of(&r, "i-0", &running, NULL);
	assert_int_equal(take_orders(&r), 0);
	report_of(&r, "i-0", NULL, &second);
	assert_int_equal(take_orders(&r), 0);
	report_of(&r, "i-1", NULL, &first);
	write_all(&r);
	assert_int_equal(sched_state(r.s, id_a, "q"), FLEET__JOB_STATE__FAILED);
	talloc_free(r.s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unreported_failure),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
