/*
 * Repeated jobs: their occurrences over a change of leader.
 */
#include "test/rig/sched_rig.h"

#define INTERVAL_MS 60000
#define TAKEOVER_MS 1000000
/* A former leader's leases have ended, also of instances that restarted */
#define EXPIRY_MS (LEASE_MAX_MS + 500u)

/* Runs of these tests have numbers of the first epoch. */
#define RUN 10001u

static Fleet__JobRow *repeated_row(uint32_t tasks, uint32_t steps,
				   uint64_t first_due_ms)
{
	Fleet__JobRow *row = job_row(tasks, steps, false);

	row->times = 3;
	row->interval_ms = INTERVAL_MS;
	row->first_due_unix_ms = first_due_ms;
	row->accepted_unix_ms = 1;
	return row;
}

/* Becomes the leader of the second epoch; it has loaded the row. */
static void take_over(struct rig *r, Fleet__JobRow *row,
		      const Fleet__ProgressRow *progress)
{
	rig_new(r);
	r->now = TAKEOVER_MS;
	r->workspace.cap.cpu = 0;
	add_instance(r, "i-0", false);
	add_instance(r, "i-1", false);
	sched_set_clock(r->s, r->now);
	sched_load_job(r->s, id_a, row, progress, r->now);
	sched_become_leader(r->s, 2, true, r->now);
	sched_expect_complete(r->s, r->now);
}

/* Lets i-0 report; i-1 stays silent. */
static void report_first(struct rig *r, const char *task)
{
	struct sched_running running = { task, RUN, "", 0, 0 };
	instance_handle_t i = find_instance(r, "i-0");

	next_poll(r, i);
	report(r, i, &running, *task ? 1 : 0, NULL, 0, r->now);
	r->now++;
	sched_leader_confirmed(r->s, r->now);
}

/* Keeps i-0 reporting until the leases of the former leader have expired. */
static uint32_t orders_after_expiry(struct rig *r, const char *task)
{
	uint64_t end = r->now + EXPIRY_MS;

	while (r->now < end) {
		r->now += 200;
		report_first(r, task);
		if (take_orders(r))
			break;
	}
	return r->order_count;
}

/*
 * Tasks of an occurrence may run on an instance that has not reported, when
 * the occurrence was due before the takeover and when it becomes due after it.
 */
static void test_unreported_runs(void **state)
{
	static const struct {
		const char *name;
		int64_t due_in_ms;
		uint32_t tasks, steps;
		bool gang;
		const char *found; /* on the instance that reports */
		uint32_t starts; /* that fit, once nothing can run on the other
				  */
	} cases[] = {
		{ "due before", -500, 3, 1, false, "", 3 },
		{ "due before, one task found", -500, 3, 1, false,
		  "000000000000000a.0.0.1", 2 },
		{ "due while no instance had reported", 50, 3, 1, false, "",
		  3 },
		{ "due for long, several occurrences", -2 * INTERVAL_MS, 2, 1,
		  false, "", 4 },
		{ "begun early, by a clock ahead", 2000, 2, 1, false,
		  "000000000000000a.0.0.0", 1 },
		{ "a gang", -500, 3, 1, true, "", 3 },
		{ "two steps", -500, 2, 2, false, "", 2 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		Fleet__JobRow *row = repeated_row(
			cases[c].tasks, cases[c].steps,
			(uint64_t)(TAKEOVER_MS + cases[c].due_in_ms));
		struct rig r;
		uint32_t n;

		print_message("%s\n", cases[c].name);
		row->steps[0]->gang = cases[c].gang;
		take_over(&r, row, NULL);
		for (n = 0; n < 10; n++) {
			report_first(&r, cases[c].found);
			assert_int_equal(take_orders(&r), 0);
			r.now += 100;
		}
		assert_int_equal(orders_after_expiry(&r, cases[c].found),
				 cases[c].starts);
		for (n = 0; n < r.order_count; n++)
			assert_string_not_equal(r.orders[n].task,
						cases[c].found);
		talloc_free(r.s);
	}
}

/* A second takeover, before the first leader knew all, starts nothing either.
 */
static void test_progress_is_no_proof(void **state)
{
	Fleet__ProgressRow progress = FLEET__PROGRESS_ROW__INIT;
	Fleet__StepProgress step = FLEET__STEP_PROGRESS__INIT;
	Fleet__StepProgress *steps[] = { &step };
	uint8_t done = 1; /* the first of two tasks */
	struct rig r;

	(void)state;
	step.done.data = &done;
	step.done.len = 1;
	progress.steps = steps;
	progress.n_steps = 1;
	take_over(&r, repeated_row(2, 1, TAKEOVER_MS - 500), &progress);
	report_first(&r, "");
	assert_int_equal(take_orders(&r), 0);
	assert_int_equal(orders_after_expiry(&r, ""), 1);
	assert_string_equal(r.orders[0].task, "000000000000000a.0.0.1");
	talloc_free(r.s);
}

/* Runs of a job that was cancelled while there was no leader are stopped. */
static void test_cancelled_without_leader(void **state)
{
	static const struct {
		const char *name;
		int64_t due_in_ms;
	} cases[] = { { "due", -500 }, { "not due by this clock", 2000 } };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct rig r;

		print_message("%s\n", cases[c].name);
		take_over(&r,
			  repeated_row(
				  2, 1,
				  (uint64_t)(TAKEOVER_MS + cases[c].due_in_ms)),
			  NULL);
		assert_true(sched_cancel(r.s, id_a, "q", r.now));
		write_all(&r);
		report_first(&r, "000000000000000a.0.0.0");
		assert_int_equal(take_orders(&r), 1);
		assert_int_equal(r.orders[0].kind, ORDER_STOP);
		assert_int_equal(r.orders[0].number, RUN);
		talloc_free(r.s);
	}
}

/* Runs that a former leader may have started count against the cap. */
static void test_cap(void **state)
{
	static const char id_b[] = "000000000000000b";
	struct rig r;

	(void)state;
	take_over(&r, repeated_row(3, 1, TAKEOVER_MS - 500), NULL);
	r.workspace.cap.cpu = 3000;
	sched_configure(r.s, &r.config, r.now);
	report_first(&r, "");
	submit(&r, id_b, 1, 1, false);
	write_all(&r);
	assert_int_equal(take_orders(&r), 0);
	talloc_free(r.s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unreported_runs),
		cmocka_unit_test(test_progress_is_no_proof),
		cmocka_unit_test(test_cancelled_without_leader),
		cmocka_unit_test(test_cap),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
