/*
 * Queues with an adviser: which instances are named, when, and for whom.
 */
#include "test/rig/sched_rig.h"

#define VALID_MS 3000u
#define INSTANCES_MAX 150u
#define INSTANCE_ID_MAX 16

static const char id_b[] = "000000000000000b";

/* A pool whose adviser allows some of its instances. */
struct advised {
	struct rig r;
	uint32_t count;
	bool allowed[INSTANCES_MAX];
	uint32_t calls;
	uint32_t named[INSTANCES_MAX]; /* calls that named the instance */
};

static void instance_id(uint32_t n, char *id)
{
	snprintf(id, INSTANCE_ID_MAX, "i-%u", n);
}

static void make_usable(struct advised *a)
{
	uint32_t n;

	for (n = 0; n < a->count; n += 8)
		poll_all_empty(&a->r);
	a->r.now++;
	sched_leader_confirmed(a->r.s, a->r.now);
}

static void advised_new(struct advised *a, uint32_t count)
{
	char id[INSTANCE_ID_MAX];
	uint32_t n;

	memset(a, 0, sizeof(*a));
	rig_new(&a->r);
	a->r.queue.needs_advice = true;
	a->r.queue.advice_valid_ms = VALID_MS;
	a->r.queue.advice_decision_ms = 20;
	a->r.queue.advice_instance_ms = 3;
	a->r.workspace.cap.cpu = 0;
	sched_configure(a->r.s, &a->r.config, a->r.now);
	a->count = count;
	for (n = 0; n < count; n++) {
		instance_id(n, id);
		add_instance(&a->r, id, false);
	}
	sched_become_leader(a->r.s, 1, true, a->r.now);
	sched_expect_complete(a->r.s, a->r.now);
	make_usable(a);
}

static uint32_t instance_number(const char *id)
{
	return (uint32_t)strtoul(id + strlen("i-"), NULL, 10);
}

/* Answers a call as the adviser does. */
static void answer(struct advised *a, const struct sched_advice *advice)
{
	struct sched_approval approvals[SCHED_ADVICE_MAX];
	uint32_t count = 0;
	uint32_t n;

	a->calls++;
	for (n = 0; n < advice->count; n++) {
		uint32_t number = instance_number(advice->instances[n]);

		a->named[number]++;
		if (a->allowed[number])
			approvals[count++] =
				(struct sched_approval){ advice->instances[n],
							 "ticket" };
	}
	sched_advice_done(a->r.s, advice->step, approvals, count, VALID_MS,
			  a->r.now, a->r.now);
}

/* Makes and answers one call, if one is due; then runs a pass. */
static bool call_once(struct advised *a)
{
	struct sched_advice advice;
	bool due = sched_next_advice(a->r.s, a->r.now, &advice);

	if (due)
		answer(a, &advice);
	a->r.now += 10;
	return due;
}

static void submit_written(struct advised *a, const char *id, uint32_t tasks)
{
	submit(&a->r, id, tasks, 1, false);
	write_all(&a->r);
	take_orders(&a->r);
}

/* An allowed instance is found wherever it is in the order of the search. */
static void test_search(void **state)
{
	static const struct {
		const char *name;
		uint32_t count, allowed, tasks, calls_max;
	} cases[] = {
		{ "the first", 150, 0, 1, 5 },
		{ "in the middle", 150, 75, 1, 5 },
		{ "the last", 150, 149, 1, 5 },
		{ "of a few", 9, 8, 2, 3 },
		{ "beyond the first hundred", 150, 120, 2, 5 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct advised a;
		uint32_t n;

		print_message("%s\n", cases[c].name);
		advised_new(&a, cases[c].count);
		a.allowed[cases[c].allowed] = true;
		submit_written(&a, id_a, cases[c].tasks);
		while (!take_orders(&a.r))
			assert_true(call_once(&a));
		assert_int_equal(a.r.order_count, cases[c].tasks);
		assert_int_equal(instance_number(a.r.orders[0].instance_id),
				 cases[c].allowed);
		assert_in_range(a.calls, 1, cases[c].calls_max);
		for (n = 0; n < a.count; n++)
			assert_true(a.named[n] <= 1);
		talloc_free(a.r.s);
	}
}

/* Once all instances are refused there is nothing to ask, until one is new. */
static void test_search_ends(void **state)
{
	struct advised a;
	uint32_t n;

	(void)state;
	advised_new(&a, 20);
	submit_written(&a, id_a, 1);
	for (n = 0; n < 1000; n++)
		call_once(&a);
	for (n = 0; n < a.count; n++)
		assert_int_equal(a.named[n], 1);
	a.allowed[20] = true;
	a.count = 21;
	add_instance(&a.r, "i-20", false);
	make_usable(&a);
	for (n = 0; n < 100 && !take_orders(&a.r); n++)
		call_once(&a);
	assert_int_equal(a.r.order_count, 1);
	assert_int_equal(a.named[20], 1);
	talloc_free(a.r.s);
}

/* A call without an answer teaches nothing of the instances that it named. */
static void test_failed_call(void **state)
{
	struct sched_advice advice;
	struct advised a;
	uint32_t n;

	(void)state;
	advised_new(&a, 3);
	a.allowed[2] = true;
	submit_written(&a, id_a, 1);
	for (n = 0; n < 3; n++) {
		assert_true(sched_next_advice(a.r.s, a.r.now, &advice));
		assert_int_equal(advice.count, 3);
		sched_advice_done(a.r.s, advice.step, NULL, 0, 0, a.r.now,
				  a.r.now);
		assert_false(sched_next_advice(a.r.s, a.r.now, &advice));
		a.r.now += 1000;
	}
	assert_true(call_once(&a));
	assert_int_equal(take_orders(&a.r), 1);
	talloc_free(a.r.s);
}

/* An expired ticket is renewed before unknown instances are asked for. */
static void test_renewal(void **state)
{
	struct sched_advice advice;
	struct advised a;

	(void)state;
	advised_new(&a, 40);
	a.allowed[0] = true;
	submit_written(&a, id_a, 1);
	assert_true(call_once(&a));
	a.r.now += VALID_MS; /* it expires before the task is placed */
	assert_int_equal(take_orders(&a.r), 0);
	assert_true(sched_next_advice(a.r.s, a.r.now, &advice));
	assert_int_equal(advice.count, 1);
	assert_string_equal(advice.instances[0], "i-0");
	answer(&a, &advice);
	assert_int_equal(take_orders(&a.r), 1);
	assert_false(sched_next_advice(a.r.s, a.r.now + 1000, &advice));
	talloc_free(a.r.s);
}

/* While the approved instances are full, others are asked for. */
static void test_search_goes_on(void **state)
{
	struct advised a;
	uint32_t n;

	(void)state;
	advised_new(&a, 12);
	a.allowed[0] = a.allowed[11] = true;
	submit_written(&a, id_a, 8); /* four have room on an instance */
	for (n = 0; n < 4; n++)
		call_once(&a);
	assert_int_equal(take_orders(&a.r), 8);
	talloc_free(a.r.s);
}

/* Steps that no instance may run do not keep the adviser from others. */
static void test_turns(void **state)
{
	struct advised a;
	uint32_t calls = 0;
	char id[SCHED_ID_BYTES + 1];
	uint32_t n;

	(void)state;
	advised_new(&a, 150);
	for (n = 0; n < 20; n++) {
		snprintf(id, sizeof(id), "%016x", n + 256);
		submit_written(&a, id, 1);
	}
	for (n = 0; n < 5; n++)
		call_once(&a);
	submit_written(&a, id_b, 1);
	for (;;) {
		struct sched_advice advice;

		assert_true(sched_next_advice(a.r.s, a.r.now, &advice));
		if (!strncmp(advice.step, id_b, SCHED_ID_BYTES))
			break;
		answer(&a, &advice);
		a.r.now += 10;
		assert_in_range(++calls, 1, 50);
	}
	talloc_free(a.r.s);
}

/* A call names no more instances than the adviser gets through in time. */
static void test_page_of_slow_adviser(void **state)
{
	struct sched_advice advice;
	struct advised a;
	uint32_t n;

	(void)state;
	advised_new(&a, 100);
	a.r.queue.advice_instance_ms = 100;
	sched_configure(a.r.s, &a.r.config, a.r.now);
	submit_written(&a, id_a, 1);
	for (n = 0; n < 10; n++) {
		assert_true(sched_next_advice(a.r.s, a.r.now, &advice));
		assert_in_range(advice.count, 1, 5);
		answer(&a, &advice);
		a.r.now += 600;
	}
	talloc_free(a.r.s);
}

/* A ticket is sent as it came; one that expires in the queue is not sent. */
static void test_tickets(void **state)
{
	char ticket[1000];
	struct sched_approval approval = { "i-0", ticket };
	struct sched_advice advice;
	struct sched_order order;
	struct advised a;

	(void)state;
	memset(ticket, 't', sizeof(ticket) - 1);
	ticket[sizeof(ticket) - 1] = '\0';
	advised_new(&a, 1);
	submit_written(&a, id_a, 2);
	assert_true(sched_next_advice(a.r.s, a.r.now, &advice));
	sched_advice_done(a.r.s, advice.step, &approval, 1, VALID_MS, a.r.now,
			  a.r.now);
	sched_tick(a.r.s, a.r.now, a.r.now);
	assert_true(sched_next_order(a.r.s, a.r.now, &order));
	assert_string_equal(order.ticket, ticket);
	a.r.now += VALID_MS;
	assert_false(sched_next_order(a.r.s, a.r.now, &order));
	a.r.now += 1000;
	assert_true(sched_next_advice(a.r.s, a.r.now, &advice));
	sched_advice_done(a.r.s, advice.step, &approval, 1, VALID_MS, a.r.now,
			  a.r.now);
	assert_int_equal(take_orders(&a.r), 1);
	talloc_free(a.r.s);
}

/* Steps that no instance can be named for don't keep others from a call. */
static void test_call_beside_steps_without_candidates(void **state)
{
	const struct sched_instance_info special = {
		.id = "special",
		.address = "a:1",
		.zone = "z",
		.pool = "p",
		.machine = "special",
		.capacity = { 4000, 4000, 0 },
		.label_count = 1,
		.labels = { "special" },
	};
	struct advised a;
	char id[SCHED_ID_BYTES + 1];
	uint32_t after, n;

	(void)state;
	advised_new(&a, 4);
	a.allowed[0] = true;
	/* The only instance that could run them is lost. */
	sched_instance_listed(a.r.s, &special, a.r.now);
	for (n = 0; n < 300; n++) {
		Fleet__JobRow *row = job_row(1, 1, true);

		free(row->steps[0]->label);
		row->steps[0]->label = strdup("special");
		snprintf(id, sizeof(id), "%016x", 0x100 + n);
		assert_int_equal(
			sched_submit(a.r.s, id, row, a.r.now, a.r.now, &after),
			SUBMIT_ACCEPTED);
	}
	sched_instance_unlisted(a.r.s, special.id, a.r.now);
	submit(&a.r, id_a, 1, 1, false);
	while (sched_change_pending(a.r.s))
		write_all(&a.r);
	take_orders(&a.r);
	/* An idle leader has a pass every 50 ms. */
	for (n = 0; n < 60 && !a.calls; n++) {
		call_once(&a);
		a.r.now += 40;
		sched_tick(a.r.s, a.r.now, a.r.now);
	}
	if (!a.calls)
		fail_msg("no call for the step in 3 s");
	talloc_free(a.r.s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_search),
		cmocka_unit_test(test_search_ends),
		cmocka_unit_test(test_failed_call),
		cmocka_unit_test(test_renewal),
		cmocka_unit_test(test_search_goes_on),
		cmocka_unit_test(test_turns),
		cmocka_unit_test(test_page_of_slow_adviser),
		cmocka_unit_test(test_tickets),
		cmocka_unit_test(test_call_beside_steps_without_candidates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
