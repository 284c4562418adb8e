/*
 * Polls of instances in virtual time: when they are sent, which ends they
 * acknowledge, and how soon an unanswered poll is noticed.
 */
#include "test/rig/sched_rig.h"

/*
 * After an unanswered poll, or when it was listed again, an instance may have
 * restarted. Its ends are then not acknowledged by their former numbers.
 */
static void test_ack_of_former_incarnation(void **state)
{
	static const enum {
		ANSWERED,
		UNANSWERED,
		RELISTED
	} cases[] = { ANSWERED, UNANSWERED, RELISTED };
	struct sched_ended ended;
	struct rig r;
	struct sched_poll poll;
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		rig_new(&r);
		rig_become_leader(&r);
		make_all_usable(&r);
		submit(&r, id_a, 1, 1, false);
		write_all(&r);
		take_orders(&r);
		answer_orders(&r, ORDER_DONE);
		r.now += 2500;
		poll = next_poll(&r, r.orders[0].instance);
		ended = (struct sched_ended){ 5, r.orders[0].task,
					      r.orders[0].number, SCHED_DONE,
					      "" };
		report(&r, poll.instance, NULL, 0, &ended, 1, r.now);
		write_all(&r);
		r.now += 400;
		poll = next_poll(&r, poll.instance);
		assert_int_equal(poll.acked, 5);
		if (cases[c] == RELISTED) {
			sched_instance_unlisted(r.s, poll.instance_id,
						r.now + 1);
			add_instance(&r, poll.instance_id, false);
		}
		if (cases[c] == UNANSWERED)
			sched_poll_done(r.s, poll.instance, NULL, r.now, r.now);
		else
			report(&r, poll.instance, NULL, 0, NULL, 0, r.now - 1);
		r.now += 400;
		poll = next_poll(&r, poll.instance);
		assert_int_equal(poll.acked, cases[c] == ANSWERED ? 5 : 0);
		talloc_free(r.s);
	}
}

/*
 * Returns the time from a task's end until it is known, when the poll that
 * would have reported it is not answered.
 */
static uint64_t end_known_after(struct rig *r, bool lossy)
{
	struct sched_running running = { r->orders[0].task, r->orders[0].number,
					 "", 100, 0 };
	struct sched_ended ended = { 1, r->orders[0].task, r->orders[0].number,
				     SCHED_DONE, "" };
	struct sched_poll poll = next_poll(r, r->orders[0].instance);
	uint64_t ended_ms;

	if (lossy) {
		r->now += poll.timeout_ms;
		sched_poll_done(r->s, poll.instance, NULL,
				r->now - poll.timeout_ms, r->now);
		r->now += 500;
		poll = next_poll(r, poll.instance);
		report(r, poll.instance, &running, 1, NULL, 0, r->now);
		poll = next_poll(r, poll.instance);
	}
	ended_ms = r->now + 1;
	r->now += poll.timeout_ms;
	sched_poll_done(r->s, poll.instance, NULL, ended_ms - 1, r->now);
	r->now += 50;
	poll = next_poll(r, poll.instance);
	assert_int_equal(poll.wait_ms, 0);
	report(r, poll.instance, NULL, 0, &ended, 1, r->now);
	return r->now - ended_ms;
}

/*
 * Instances leave some calls unanswered during a demand peak. A task's end must
 * be known within the slack of its queue, or one unanswered poll makes its job
 * late. Where no task ends by itself, polls stay rare.
 */
static void test_unanswered_polls(void **state)
{
	static const struct {
		bool long_running, lossy;
		uint64_t known_within_ms;
		uint32_t wait_ms;
	} cases[] = {
		{ false, false, QUEUE_SLACK_MS * 3 / 2, 500 },
		{ false, true, QUEUE_SLACK_MS, 500 },
		{ true, false, 0, 1000 },
	};
	struct sched_poll poll;
	struct rig r;
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		rig_new(&r);
		rig_become_leader(&r);
		make_all_usable(&r);
		submit(&r, id_a, 1, 1, cases[c].long_running);
		write_all(&r);
		assert_int_equal(take_orders(&r), 1);
		answer_orders(&r, ORDER_DONE);
		r.now += 2500;
		if (cases[c].known_within_ms) {
			assert_in_range(end_known_after(&r, cases[c].lossy), 1,
					cases[c].known_within_ms);
		} else {
			poll = next_poll(&r, r.orders[0].instance);
			assert_int_equal(poll.wait_ms, cases[c].wait_ms);
		}
		talloc_free(r.s);
	}
}

/* An instance that refuses polls at once is polled with pauses. */
static void test_refused_polls_are_spaced(void **state)
{
	struct sched_poll poll;
	struct rig r;
	uint32_t polls = 0;
	uint64_t end;

	(void)state;
	rig_new(&r);
	rig_become_leader(&r);
	make_all_usable(&r);
	r.now += 2500;
	for (end = r.now + 1000; r.now < end; r.now += 10)
		while (sched_next_poll(r.s, r.now, &poll)) {
			sched_poll_done(r.s, poll.instance, NULL, r.now,
					r.now + 1);
			polls++;
		}
	assert_in_range(polls, 2, 12); /* of two instances in 1 s */
	talloc_free(r.s);
}

/*
 * A report whose list of ends is cut off may lack a run because it has ended:
 * the run counts until its end is listed.
 */
static void test_run_whose_end_is_not_listed_yet(void **state)
{
	static const struct {
		const char *what;
		bool takeover, more_ended;
		uint32_t starts;
	} cases[] = {
		{ "all ends are listed", false, false, 1 },
		{ "further ends follow", false, true, 0 },
		{ "to a new leader, all ends are listed", true, false, 1 },
		{ "to a new leader, further ends follow", true, true, 0 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct sched_report cut_off = { .started_unix_ms = 7,
						.more_ended =
							cases[c].more_ended };
		struct sched_poll poll;
		struct rig r;

		rig_new(&r);
		add_instance(&r, "i-0", false);
		if (cases[c].takeover) {
			sched_load_job(r.s, id_a, job_row(1, 1, false), NULL,
				       r.now);
			sched_become_leader(r.s, 2, true, r.now);
			sched_expect_complete(r.s, r.now);
		} else {
			sched_become_leader(r.s, 1, true, r.now);
			sched_expect_complete(r.s, r.now);
			make_all_usable(&r);
			submit(&r, id_a, 1, 1, false);
			write_all(&r);
			assert_int_equal(take_orders(&r), 1);
			answer_orders(&r, ORDER_DONE);
			r.now += 1000;
		}
		assert_true(sched_next_poll(r.s, r.now, &poll));
		cut_off.clock_ms = r.now;
		sched_poll_done(r.s, poll.instance, &cut_off, r.now, r.now);
		r.now += 100;
		sched_leader_confirmed(r.s, r.now);
		if (take_orders(&r) != cases[c].starts)
			fail_msg("%s: %u starts", cases[c].what, r.order_count);
		talloc_free(r.s);
	}
}

/* Lists both instances again, out of the directory before or not. */
static void list_again(struct rig *r, bool unlisted, uint64_t started_unix_ms)
{
	r->now += 50;
	if (unlisted) {
		sched_instance_unlisted(r->s, "i-0", r->now);
		sched_instance_unlisted(r->s, "i-1", r->now);
	}
	r->started_unix_ms = started_unix_ms;
	r->now += 50;
	add_instance(r, "i-0", false);
	add_instance(r, "i-1", false);
}

/*
 * A restarted instance knows no fence, so a leader that was replaced could
 * start tasks there that its successor starts elsewhere.
 */
static void test_restarted_instance_is_used_without_report(void **state)
{
	static const struct {
		const char *name;
		bool unlisted;
		uint64_t started_unix_ms;
		bool used;
	} cases[] = {
		{ "not listed for a moment", true, 7, true },
		{ "listed all the time", false, 7, true },
		{ "listed again after a restart", true, 8, false },
		{ "listed again, its start unknown", true, 0, false },
		{ "restarted between two readings", false, 8, false },
	};
	struct sched_poll polls[2];
	struct rig r;
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		rig_new(&r);
		rig_become_leader(&r);
		make_all_usable(&r);
		submit(&r, id_a, 2, 1, false);
		write_all(&r);
		r.now += 50;
		assert_true(sched_next_poll(r.s, r.now, &polls[0]));
		assert_true(sched_next_poll(r.s, r.now, &polls[1]));
		list_again(&r, cases[c].unlisted, cases[c].started_unix_ms);
		if (take_orders(&r) != (cases[c].used ? 2 : 0))
			fail_msg("%s: %u starts", cases[c].name, r.order_count);
		if (cases[c].used) {
			talloc_free(r.s);
			continue;
		}
		report(&r, polls[0].instance, NULL, 0, NULL, 0, r.now - 100);
		report(&r, polls[1].instance, NULL, 0, NULL, 0, r.now - 100);
		sched_leader_confirmed(r.s, ++r.now);
		if (take_orders(&r))
			fail_msg("%s: %u starts, by a poll sent before",
				 cases[c].name, r.order_count);
		poll_all_empty(&r);
		if (take_orders(&r) || !sched_needs_confirmation(r.s, r.now))
			fail_msg("%s: %u starts, not confirmed", cases[c].name,
				 r.order_count);
		sched_leader_confirmed(r.s, ++r.now);
		if (take_orders(&r) != 2)
			fail_msg("%s: not used again", cases[c].name);
		talloc_free(r.s);
	}
}

/* An instance that is not listed for a moment keeps its runs and its lease. */
static void test_instance_out_of_directory_loses_runs(void **state)
{
	static const uint64_t started_unix_ms[] = { 7, 0 };
	struct sched_running running;
	struct sched_poll poll;
	struct rig r;
	size_t c;

	(void)state;
	for (c = 0; c < 2; c++) {
		rig_new(&r);
		rig_become_leader(&r);
		make_all_usable(&r);
		submit(&r, id_a, 1, 1, true);
		write_all(&r);
		assert_int_equal(take_orders(&r), 1);
		answer_orders(&r, ORDER_DONE);
		running = (struct sched_running){ r.orders[0].task,
						  r.orders[0].number, "", 100,
						  0 };
		list_again(&r, true, started_unix_ms[c]);
		assert_int_equal(take_orders(&r), 0);
		poll = next_poll(&r, r.orders[0].instance);
		assert_true(poll.lease_until != 0);
		r.started_unix_ms = 7;
		report(&r, poll.instance, &running, 1, NULL, 0, r.now);
		sched_leader_confirmed(r.s, ++r.now);
		assert_int_equal(take_orders(&r), 0);
		talloc_free(r.s);
	}
}

/*
 * A new leader has seen a part of the ends of i-0 only. It waits for the rest,
 * or for the end of the lease if i-0 falls silent.
 */
static void test_instance_with_a_cut_off_list_is_not_waited_for_ever(
	void **state)
{
	static const struct {
		const char *what;
		bool silent;
		uint64_t within_ms;
	} cases[] = {
		{ "the rest of its ends follows", false, 500 },
		{ "it falls silent", true, 6000 + 2 * LEASE_MS },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct sched_report part = { .started_unix_ms = 7,
					     .more_ended = true };
		uint64_t begin_ms;
		struct sched_poll polls[8];
		struct rig r;

		rig_new(&r);
		add_instance(&r, "i-0", false);
		add_instance(&r, "i-1", false);
		sched_load_job(r.s, id_a, job_row(1, 1, false), NULL, r.now);
		sched_become_leader(r.s, 2, false, r.now);
		sched_expect_complete(r.s, r.now);
		begin_ms = r.now;
		assert_true(sched_next_poll(r.s, r.now, &polls[0]));
		assert_string_equal(polls[0].instance_id, "i-0");
		part.clock_ms = r.now;
		sched_poll_done(r.s, polls[0].instance, &part, r.now, r.now);
		r.now++;
		sched_leader_confirmed(r.s, r.now);
		assert_int_equal(take_orders(&r), 0);
		do {
			uint32_t n = 0;

			r.now += 100;
			while (n < 8 && sched_next_poll(r.s, r.now, &polls[n]))
				n++;
			while (n-- > 0) {
				if (cases[c].silent &&
				    !strcmp(polls[n].instance_id, "i-0"))
					sched_poll_done(r.s, polls[n].instance,
							NULL, r.now, r.now);
				else
					report(&r, polls[n].instance, NULL, 0,
					       NULL, 0, r.now);
			}
			sched_leader_confirmed(r.s, r.now);
		} while (!take_orders(&r) &&
			 r.now - begin_ms < cases[c].within_ms);
		if (!r.order_count)
			fail_msg("%s: no start in %u ms", cases[c].what,
				 (unsigned int)(r.now - begin_ms));
		if (cases[c].silent)
			assert_true(r.now - begin_ms >= 6000 + LEASE_MS);
		talloc_free(r.s);
	}
}

/* An instance that outlived an order to its machine is out of use for long. */
static void test_instance_outlives_order(void **state)
{
	struct sched_poll poll;
	instance_handle_t i;
	struct rig r;
	uint64_t sent_ms;

	(void)state;
	rig_new(&r);
	rig_become_leader(&r);
	make_all_usable(&r);
	i = find_instance(&r, "i-0");
	poll = next_poll(&r, i);
	sent_ms = r.now++;
	sched_machine_down(r.s, i, r.now);
	r.now = sent_ms + poll.wait_ms;
	report(&r, i, NULL, 0, NULL, 0, sent_ms);
	poll = next_poll(&r, i);
	assert_int_equal(poll.wait_ms, 0);
	talloc_free(r.s);
}

/* Answers a poll with a report of that time, of one run or one end. */
static void answer_at(struct rig *r, instance_handle_t i, uint64_t clock_ms,
		      uint64_t sent_ms, const struct sched_running *running,
		      const struct sched_ended *ended)
{
	struct sched_report rep = { .clock_ms = clock_ms,
				    .started_unix_ms = r->started_unix_ms,
				    .running = running,
				    .running_count = running != NULL,
				    .ended = ended,
				    .ended_count = ended != NULL };

	sched_poll_done(r->s, i, &rep, sent_ms, r->now);
}

/*
 * A second poll asks what became of a start while the first waits for an end.
 * An answer that is older than one applied before would bring back a run that
 * has ended.
 */
static void test_older_of_two_answers_is_applied(void **state)
{
	static const struct {
		const char *name;
		bool first_answered_last;
	} cases[] = {
		{ "the first poll is answered last", true },
		{ "the second one is, with an older report", false },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct sched_running running;
		struct sched_ended ended;
		struct sched_poll first, second;
		struct sched_order start;
		uint64_t first_ms, second_ms;
		struct rig r;
		uint32_t n;

		print_message("%s\n", cases[c].name);
		rig_new(&r);
		rig_become_leader(&r);
		make_all_usable(&r);
		submit(&r, id_a, 1, 1, true);
		write_all(&r);
		assert_int_equal(take_orders(&r), 1);
		start = r.orders[0];
		first_ms = r.now;
		first = next_poll(&r, start.instance);
		r.now += 300;
		answer_orders(&r, ORDER_UNKNOWN);
		r.now += 20;
		take_orders(&r);
		second_ms = r.now;
		second = next_poll(&r, start.instance);
		assert_int_equal(second.wait_ms, 0);
		running = (struct sched_running){ start.task, start.number, "",
						  100, 0 };
		ended = (struct sched_ended){ 1, start.task, start.number,
					      SCHED_LAPSED, "" };
		r.now += 20;
		if (cases[c].first_answered_last)
			answer_at(&r, second.instance, r.now, second_ms, NULL,
				  &ended);
		else
			answer_at(&r, first.instance, r.now, first_ms, NULL,
				  &ended);
		write_all(&r);
		assert_int_equal(take_orders(&r), 1);
		answer_orders(&r, ORDER_DONE);
		if (cases[c].first_answered_last)
			answer_at(&r, first.instance, r.now - 10, first_ms,
				  &running, NULL);
		else
			answer_at(&r, second.instance, r.now - 10, second_ms,
				  &running, NULL);
		r.now += 20;
		take_orders(&r);
		for (n = 0; n < r.order_count; n++)
			if (r.orders[n].kind == ORDER_STOP)
				fail_msg(
					"%s: run %llu is stopped",
					cases[c].name,
					(unsigned long long)r.orders[n].number);
		talloc_free(r.s);
	}
}

/*
 * A wave waits for a task that already works: its start came while the poll of
 * an idle instance waited.
 */
static void test_task_at_work_is_seen_late(void **state)
{
	struct sched_running running;
	struct sched_poll poll;
	instance_handle_t i;
	Fleet__JobRow *row;
	uint32_t after;
	struct rig r;

	(void)state;
	rig_new(&r);
	rig_become_leader(&r);
	make_all_usable(&r);
	i = find_instance(&r, "i-0");
	poll = next_poll(&r, i);
	assert_int_equal(poll.wait_ms, 2000);
	row = job_row(1, 1, true);
	row->steps[0]->may_miss = 1;
	assert_int_equal(sched_submit(r.s, id_a, row, r.now, r.now, &after),
			 SUBMIT_ACCEPTED);
	write_all(&r);
	assert_int_equal(take_orders(&r), 1);
	assert_int_equal(r.orders[0].instance.i, i.i);
	r.now += 10;
	answer_orders(&r, ORDER_DONE);
	poll = next_poll(&r, i);
	assert_int_equal(poll.wait_ms, 0);
	running = (struct sched_running){ r.orders[0].task, r.orders[0].number,
					  "", 50, 0 };
	report(&r, i, &running, 1, NULL, 0, r.now++);
	report(&r, i, &running, 1, NULL, 0, r.now++); /* of the first poll */
	poll = next_poll(&r, i);
	assert_in_range(poll.wait_ms, 0, 200);
	talloc_free(r.s);
}

/* Reports the runs that were started on the instance. */
static void report_started(struct rig *r, instance_handle_t i,
			   const struct sched_order *orders, uint32_t count)
{
	struct sched_running running[8];
	uint32_t n, here = 0;

	for (n = 0; n < count; n++)
		if (orders[n].instance.i == i.i)
			running[here++] = (struct sched_running){
				orders[n].task, orders[n].number, "", 100, 0
			};
	report(r, i, running, here, NULL, 0, r->now);
}

/* Only one of two tasks finds another place, so neither is drained. */
static void test_places_that_are_given_up_are_polled(void **state)
{
	Fleet__JobRow *row = job_row(3, 1, true);
	struct sched_order orders[3];
	struct sched_poll poll;
	instance_handle_t i;
	struct rig r;
	uint32_t after, n, polls = 0;

	(void)state;
	rig_new(&r);
	r.workspace.cap.cpu = 0;
	rig_become_leader(&r);
	make_all_usable(&r);
	row->steps[0]->cpu = 1400; /* an instance has 4000 */
	sched_submit(r.s, id_a, row, r.now, r.now, &after);
	write_all(&r);
	assert_int_equal(take_orders(&r), 3);
	memcpy(orders, r.orders, sizeof(orders));
	answer_orders(&r, ORDER_DONE);
	r.now += 2500;
	for (n = 0; n < 2; n++) {
		poll = next_poll(&r, find_instance(&r, n ? "i-1" : "i-0"));
		report_started(&r, poll.instance, orders, 3);
	}
	i = orders[0].instance.i == orders[1].instance.i ||
			    orders[0].instance.i == orders[2].instance.i
		    ? orders[0].instance
		    : orders[1].instance;
	for (n = 0; n < 20; n++) {
		r.now += 100;
		sched_tick(r.s, r.now, r.now);
		assert_int_equal(sched_hold_places(r.s, i, true, r.now),
				 PLACES_NONE);
		while (sched_next_poll(r.s, r.now, &poll)) {
			polls += poll.wait_ms == 0;
			if (poll.wait_ms == 0)
				report_started(&r, poll.instance, orders, 3);
		}
	}
	assert_in_range(polls, 0, 1);
	talloc_free(r.s);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_task_at_work_is_seen_late),
		cmocka_unit_test(test_places_that_are_given_up_are_polled),
		cmocka_unit_test(test_instance_outlives_order),
		cmocka_unit_test(test_older_of_two_answers_is_applied),
		cmocka_unit_test(test_ack_of_former_incarnation),
		cmocka_unit_test(test_unanswered_polls),
		cmocka_unit_test(test_refused_polls_are_spaced),
		cmocka_unit_test(test_run_whose_end_is_not_listed_yet),
		cmocka_unit_test(
			test_instance_with_a_cut_off_list_is_not_waited_for_ever),
		cmocka_unit_test(
			test_restarted_instance_is_used_without_report),
		cmocka_unit_test(test_instance_out_of_directory_loses_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
