/*
 * Leases that the leader can't renew: a successor that it doesn't know of may
 * have renewed them. And a lease that an instance with a slow clock may hold
 * for longer than the leader counts.
 */
#include "test/rig/sched_rig.h"

#define TASK "000000000000000a.0.0.0"
/* A leader counts a lease as 3% and 150 ms longer. */
#define LEASE_OVER_MS (LEASE_MS + LEASE_MS * 3 / 100 + 150)
/* Of an instance that has restarted and read a deadline by its new clock */
#define LEASE_MAX_OVER_MS (LEASE_MAX_MS + LEASE_MAX_MS * 3 / 100 + 150)
#define CLOCK_SLOW 0.98 /* an instance's clock, at the least */
#define ORDERS_MS 6000u /* of a former leader, after the takeover */
#define LONGER(a, b) ((a) > (b) ? (a) : (b))
#define TAKEOVER_OVER_MS LONGER(ORDERS_MS + LEASE_OVER_MS, LEASE_MAX_OVER_MS)

/* Confirmations of the leader, relative to the end of the lease. */
static const struct {
	const char *name;
	int64_t confirmed_ms;
	bool expired;
} cases[] = {
	{ "confirmed when the lease was renewed", -(int64_t)LEASE_OVER_MS,
	  false },
	{ "confirmed shortly before the end", -1, false },
	{ "confirmed at the end", 0, true },
	{ "confirmed after the end", 100, true },
};

/* Leaves all polls of one instance unanswered; the other one has no runs. */
static void poll_for_ms(struct rig *r, instance_handle_t silent, uint64_t ms)
{
	uint64_t end_ms = r->now + ms;

	while (r->now < end_ms) {
		struct sched_poll polls[8];
		uint32_t n = 0;

		r->now += 50;
		sched_tick(r->s, r->now, r->now);
		while (n < 8 && sched_next_poll(r->s, r->now, &polls[n]))
			n++;
		while (n-- > 0) {
			if (polls[n].instance.i == silent.i)
				sched_poll_done(r->s, silent, NULL, r->now,
						r->now);
			else
				report(r, polls[n].instance, NULL, 0, NULL, 0,
				       r->now);
		}
	}
}

/* Whether the task is started, once the leader is confirmed as in the case. */
static void check_case(struct rig *r, size_t c, uint64_t end_ms)
{
	r->now += 50;
	sched_leader_confirmed(r->s, end_ms + (uint64_t)cases[c].confirmed_ms);
	if (take_orders(r) != cases[c].expired)
		fail_msg("%s: %u starts", cases[c].name, r->order_count);
	if (sched_needs_confirmation(r->s, r->now) == cases[c].expired)
		fail_msg("%s: confirmation is %sneeded", cases[c].name,
			 cases[c].expired ? "" : "not ");
}

static void test_run_is_not_repeated_on_a_lease_a_successor_may_renew(
	void **state)
{
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		instance_handle_t silent;
		uint64_t end_ms;
		struct rig r;

		rig_new(&r);
		rig_become_leader(&r);
		make_all_usable(&r);
		submit(&r, id_a, 1, 1, true);
		write_all(&r);
		assert_int_equal(take_orders(&r), 1);
		answer_orders(&r, ORDER_DONE);
		silent = r.orders[0].instance;
		next_poll(&r, silent);
		sched_poll_done(r.s, silent, NULL, r.now, r.now);
		end_ms = r.now + LEASE_OVER_MS;
		poll_for_ms(&r, silent, LEASE_OVER_MS + 500);
		check_case(&r, c, end_ms);
		talloc_free(r.s);
	}
}

static void test_takeover_repeats_no_run_that_a_successor_may_renew(
	void **state)
{
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct sched_poll polls[2];
		uint64_t end_ms;
		struct rig r;

		rig_new(&r);
		add_instance(&r, "i-0", false);
		add_instance(&r, "i-1", false);
		sched_load_job(r.s, id_a, job_row(1, 1, true), NULL, r.now);
		sched_become_leader(r.s, 2, false, r.now);
		sched_expect_complete(r.s, r.now);
		end_ms = r.now + TAKEOVER_OVER_MS;
		assert_true(sched_next_poll(r.s, r.now, &polls[0]));
		assert_true(sched_next_poll(r.s, r.now, &polls[1]));
		report(&r, polls[0].instance, NULL, 0, NULL, 0, r.now);
		sched_poll_done(r.s, polls[1].instance, NULL, r.now, r.now);
		r.now++;
		sched_leader_confirmed(r.s, r.now);
		poll_for_ms(&r, polls[1].instance, TAKEOVER_OVER_MS + 500);
		check_case(&r, c, end_ms);
		talloc_free(r.s);
	}
}

static void test_runs_of_unknown_instances_may_be_renewed_by_a_successor(
	void **state)
{
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		instance_handle_t none = { .i = UINT32_MAX };
		uint64_t end_ms;
		struct rig r;

		rig_new(&r);
		add_instance(&r, "i-0", false);
		sched_load_job(r.s, id_a, job_row(1, 1, true), NULL, r.now);
		/* The list of machines is never read. */
		sched_become_leader(r.s, 2, false, r.now);
		end_ms = r.now + TAKEOVER_OVER_MS;
		make_all_usable(&r);
		poll_for_ms(&r, none, TAKEOVER_OVER_MS + 500);
		check_case(&r, c, end_ms);
		talloc_free(r.s);
	}
}

/*
 * The store is down for 30 s and nothing is polled. The clock of an instance
 * that is 2% slow is behind the estimate: its lease must still end before the
 * leader takes it for over.
 */
static void test_lease_after_a_gap(void **state)
{
	const uint64_t gap_ms = 24000; /* 30 s less 6 s of orders */
	uint64_t clock_ms, started_ms;
	double held_ms;
	struct rig r;

	(void)state;
	rig_new(&r);
	rig_become_leader(&r);
	make_all_usable(&r);
	clock_ms = r.now - 1; /* of the reports, by the rig */
	r.now += gap_ms;
	sched_leader_confirmed(r.s, r.now);
	submit(&r, id_a, 1, 1, false);
	write_all(&r);
	assert_int_equal(take_orders(&r), 1);
	held_ms = ((double)r.orders[0].lease_until - (double)clock_ms) /
			  CLOCK_SLOW -
		  (double)gap_ms;
	answer_orders(&r, ORDER_DONE);
	started_ms = r.now;
	sched_poll_done(r.s, r.orders[0].instance, NULL, r.now, r.now);
	while (!take_orders(&r) && r.now - started_ms < 3 * LEASE_MS) {
		r.now += 10;
		sched_leader_confirmed(r.s, r.now);
	}
	if ((double)(r.now - started_ms) < held_ms)
		fail_msg("started again after %u ms, held for %.0f ms",
			 (unsigned int)(r.now - started_ms), held_ms);
	talloc_free(r.s);
}

enum loss { LISTED_WITHOUT, ORDERED_DOWN, RESTARTED };

/*
 * What runs on an instance has ended, by other signs than a report. If it had
 * ended before, a successor may have taken note of that.
 */
static void test_lost_run_is_not_repeated_before_a_confirmation(void **state)
{
	static const struct {
		const char *name;
		enum loss loss;
	} losses[] = {
		{ "its machine runs another instance", LISTED_WITHOUT },
		{ "its machine was ordered down", ORDERED_DOWN },
		{ "it has restarted", RESTARTED },
	};
	struct sched_report restarted = { .started_unix_ms = 9 };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(losses) / sizeof(losses[0]); c++) {
		instance_handle_t lost;
		const char *id;
		struct rig r;

		rig_new(&r);
		rig_become_leader(&r);
		make_all_usable(&r);
		submit(&r, id_a, 1, 1, false);
		write_all(&r);
		assert_int_equal(take_orders(&r), 1);
		answer_orders(&r, ORDER_DONE);
		lost = r.orders[0].instance;
		id = lost.i ? "i-1" : "i-0";
		r.now += 100;
		next_poll(&r, lost);
		if (losses[c].loss != RESTARTED)
			sched_poll_done(r.s, lost, NULL, r.now, r.now);
		r.now += 100;
		switch (losses[c].loss) {
		case LISTED_WITHOUT:
			sched_machine_listed(r.s, id, "i-9", r.now, r.now);
			break;
		case ORDERED_DOWN:
			sched_machine_down(r.s, lost, r.now);
			break;
		case RESTARTED:
			sched_poll_done(r.s, lost, &restarted, r.now, r.now);
			break;
		}
		r.now += 100;
		if (take_orders(&r))
			fail_msg("%s: started without a confirmation",
				 losses[c].name);
		if (!sched_needs_confirmation(r.s, r.now))
			fail_msg("%s: no confirmation is needed",
				 losses[c].name);
		sched_leader_confirmed(r.s, r.now - 101);
		r.now += 100;
		if (take_orders(&r))
			fail_msg("%s: started on an early confirmation",
				 losses[c].name);
		sched_leader_confirmed(r.s, r.now - 50);
		r.now += 100;
		if (take_orders(&r) != 1)
			fail_msg("%s: not started again", losses[c].name);
		talloc_free(r.s);
	}
}

/*
 * An order for a machine is answered although it was carried out before: the
 * instance that is there goes on, and is used again.
 */
static void test_instance_that_outlives_an_order_is_used_again(void **state)
{
	struct sched_poll poll;
	instance_handle_t i;
	struct rig r;

	(void)state;
	rig_new(&r);
	add_instance(&r, "i-0", false);
	sched_become_leader(r.s, 1, true, r.now);
	sched_expect_complete(r.s, r.now);
	assert_true(sched_next_poll(r.s, r.now, &poll));
	i = poll.instance;
	report(&r, i, NULL, 0, NULL, 0, r.now);
	r.now++;
	sched_leader_confirmed(r.s, r.now);
	next_poll(&r, i);
	sched_machine_down(r.s, i, r.now);
	submit(&r, id_a, 1, 1, false);
	write_all(&r);
	report(&r, i, NULL, 0, NULL, 0, r.now); /* from before the answer */
	r.now += 100;
	sched_leader_confirmed(r.s, r.now);
	assert_int_equal(take_orders(&r), 0);
	next_poll(&r, i);
	report(&r, i, NULL, 0, NULL, 0, r.now);
	r.now += 100;
	sched_leader_confirmed(r.s, r.now);
	assert_int_equal(take_orders(&r), 1);
	talloc_free(r.s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_instance_that_outlives_an_order_is_used_again),
		cmocka_unit_test(
			test_lost_run_is_not_repeated_before_a_confirmation),
		cmocka_unit_test(
			test_run_is_not_repeated_on_a_lease_a_successor_may_renew),
		cmocka_unit_test(
			test_takeover_repeats_no_run_that_a_successor_may_renew),
		cmocka_unit_test(
			test_runs_of_unknown_instances_may_be_renewed_by_a_successor),
		cmocka_unit_test(test_lease_after_a_gap),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
