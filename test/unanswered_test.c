/*
 * Starts of long-running tasks that get no answer. Guards against a task that
 * waits for seconds for each of them, in virtual time: a poll of an instance
 * waits for an end as long as it says, and orders take their time.
 */
#include "test/rig/drain_rig.h"

#define STEP_MS 10u
#define CALLS_MAX 64u
#define RUNS_MAX 32u
#define ANSWER_MS 10u	/* until an order or a poll is answered */
#define ORDER_MS 300u	/* timeout of an order */
#define STOP_MS 200u	/* longest stop */
#define STARTUP_MS 300u /* until a task works */
#define LATE_MS 2000u	/* until a late order is carried out */

/* What becomes of an order. */
enum delivery {
	DELIVERED,
	LOST,		/* neither carried out nor answered */
	ANSWER_LOST,	/* carried out */
	DELIVERED_LATE, /* not answered, carried out after LATE_MS */
};

struct order_call {
	struct sched_order order;
	uint64_t sent_ms, done_ms, answer_ms;
	bool answered;
};

struct poll_call {
	struct sched_poll poll;
	uint64_t sent_ms;
};

struct run {
	char task[SCHED_TASK_MAX];
	uint64_t number, started_ms;
	uint64_t stopped_ms; /* 0: it isn't; when it ends */
	uint64_t end_seq;    /* 0: it hasn't ended */
	bool rejected;	     /* stopped before its start came */
	instance_handle_t instance;
};

struct fixture {
	struct rig r;
	struct order_call orders[CALLS_MAX];
	struct poll_call polls[CALLS_MAX];
	struct run runs[RUNS_MAX];
	uint32_t order_count, poll_count, run_count;
	uint64_t end_seq;
	enum delivery start_deliveries[8],
		stop_deliveries[8]; /* of the first ones */
	uint32_t starts, stops;
	uint64_t start_ms[CALLS_MAX], stop_ms[CALLS_MAX];
	char start_on[CALLS_MAX][16];
	char start_of[CALLS_MAX][SCHED_TASK_MAX];
	uint32_t stop_takes_ms;
	const char *gone; /* instance that answers nothing; NULL: none */
};

static struct run *find_run(struct fixture *x, const struct sched_order *o)
{
	uint32_t n;

	for (n = 0; n < x->run_count; n++)
		if (x->runs[n].number == o->number &&
		    x->runs[n].instance.i == o->instance.i &&
		    !strcmp(x->runs[n].task, o->task))
			return &x->runs[n];
	return NULL;
}

static uint32_t count_running(const struct fixture *x, const char *task)
{
	uint32_t n, count = 0;

	for (n = 0; n < x->run_count; n++)
		count += !strcmp(x->runs[n].task, task) &&
			 !x->runs[n].rejected && !x->runs[n].end_seq;
	return count;
}

static void carry_out(struct fixture *x, const struct sched_order *o)
{
	struct run *run = find_run(x, o);

	if (o->kind == ORDER_START && run)
		return;
	if (!run) {
		assert_true(x->run_count < RUNS_MAX);
		run = &x->runs[x->run_count++];
		memset(run, 0, sizeof(*run));
		snprintf(run->task, sizeof(run->task), "%s", o->task);
		run->number = o->number;
		run->instance = o->instance;
		run->started_ms = x->r.now;
		run->rejected = o->kind == ORDER_STOP;
		if (count_running(x, o->task) > 1)
			fail_msg("%s runs twice", o->task);
	} else if (!run->stopped_ms) {
		run->stopped_ms = x->r.now + x->stop_takes_ms;
	}
}

static void send_order(struct fixture *x, const struct sched_order *o)
{
	struct order_call *c = &x->orders[x->order_count++];
	enum delivery delivery = DELIVERED;

	if (x->gone && !strcmp(o->instance_id, x->gone))
		delivery = LOST;
	assert_true(x->order_count < CALLS_MAX);
	if (o->kind == ORDER_START) {
		if (x->starts < 8 && x->start_deliveries[x->starts])
			delivery = x->start_deliveries[x->starts];
		snprintf(x->start_on[x->starts], 16, "%s", o->instance_id);
		memcpy(x->start_of[x->starts], o->task, SCHED_TASK_MAX);
		x->start_ms[x->starts++] = x->r.now;
	} else {
		if (x->stops < 8 && x->stop_deliveries[x->stops])
			delivery = x->stop_deliveries[x->stops];
		x->stop_ms[x->stops++] = x->r.now;
	}
	c->order = *o;
	c->sent_ms = x->r.now;
	c->answered = delivery == DELIVERED;
	c->answer_ms = x->r.now + (c->answered ? ANSWER_MS : ORDER_MS);
	c->done_ms = x->r.now + ANSWER_MS;
	if (delivery == LOST)
		c->done_ms = UINT64_MAX;
	if (delivery == DELIVERED_LATE)
		c->done_ms = x->r.now + LATE_MS;
}

static void run_orders(struct fixture *x)
{
	uint32_t n;

	for (n = 0; n < x->order_count; n++) {
		struct order_call *c = &x->orders[n];

		if (x->r.now >= c->done_ms) {
			c->done_ms = UINT64_MAX;
			carry_out(x, &c->order);
		}
		if (x->r.now < c->answer_ms)
			continue;
		c->answer_ms = UINT64_MAX;
		sched_order_done(x->r.s, &c->order,
				 c->answered ? ORDER_DONE : ORDER_UNKNOWN, 0,
				 c->sent_ms, x->r.now);
	}
}

static void end_runs(struct fixture *x)
{
	uint32_t n;

	for (n = 0; n < x->run_count; n++)
		if (x->runs[n].stopped_ms && !x->runs[n].end_seq &&
		    x->r.now >= x->runs[n].stopped_ms)
			x->runs[n].end_seq = ++x->end_seq;
}

/* Returns whether the poll is answered: an end is there, or it has waited. */
static bool answer_poll(struct fixture *x, const struct poll_call *c)
{
	struct sched_running running[RUNS_MAX];
	struct sched_ended ended[RUNS_MAX];
	uint32_t running_count = 0, ended_count = 0;
	uint32_t n;

	for (n = 0; n < x->run_count; n++) {
		const struct run *run = &x->runs[n];

		if (run->instance.i != c->poll.instance.i || run->rejected ||
		    (run->end_seq && run->end_seq <= c->poll.acked))
			continue;
		if (run->end_seq)
			ended[ended_count++] =
				(struct sched_ended){ run->end_seq, run->task,
						      run->number,
						      SCHED_STOPPED, "" };
		else
			running[running_count++] = (struct sched_running){
				run->task, run->number, "",
				x->r.now - run->started_ms >= STARTUP_MS ? 100
									 : 0,
				0
			};
	}
	if (x->gone && !strcmp(c->poll.instance_id, x->gone)) {
		if (x->r.now < c->sent_ms + c->poll.timeout_ms)
			return false;
		sched_poll_done(x->r.s, c->poll.instance, NULL, c->sent_ms,
				x->r.now);
		return true;
	}
	if (x->r.now < c->sent_ms + ANSWER_MS ||
	    (!ended_count && x->r.now < c->sent_ms + c->poll.wait_ms))
		return false;
	report(&x->r, c->poll.instance, running, running_count, ended,
	       ended_count, c->sent_ms);
	return true;
}

static void run_polls(struct fixture *x)
{
	uint32_t n;

	for (n = 0; n < x->poll_count; n++)
		if (answer_poll(x, &x->polls[n]))
			x->polls[n--] = x->polls[--x->poll_count];
}

static void step(struct fixture *x)
{
	struct sched_order order;
	struct sched_poll poll;

	x->r.now += STEP_MS;
	run_orders(x);
	end_runs(x);
	run_polls(x);
	sched_leader_confirmed(x->r.s, x->r.now);
	write_all(&x->r);
	sched_tick(x->r.s, x->r.now, x->r.now);
	while (sched_next_order(x->r.s, x->r.now, &order))
		send_order(x, &order);
	while (sched_next_poll(x->r.s, x->r.now, &poll)) {
		assert_true(x->poll_count < CALLS_MAX);
		x->polls[x->poll_count].poll = poll;
		x->polls[x->poll_count++].sent_ms = x->r.now;
	}
}

static void advance(struct fixture *x, uint32_t ms)
{
	uint64_t end = x->r.now + ms;

	while (x->r.now < end)
		step(x);
}

/* Three instances, idle for a while: their polls wait as long as they may. */
static void fixture_new(struct fixture *x)
{
	memset(x, 0, sizeof(*x));
	rig_new(&x->r);
	x->r.now = 10000;
	x->r.workspace.cap.cpu = 0;
	x->stop_takes_ms = STOP_MS;
	sched_configure(x->r.s, &x->r.config, x->r.now);
	drain_list_instance(&x->r, "i-0", "p", NULL);
	drain_list_instance(&x->r, "i-1", "p", "l");
	drain_list_instance(&x->r, "i-2", "p", NULL);
	sched_become_leader(x->r.s, 1, true, x->r.now);
	sched_expect_complete(x->r.s, x->r.now);
	advance(x, 5000);
}

static void submit_lasting(struct fixture *x, const char *id, uint32_t tasks,
			   uint32_t may_miss, const char *label)
{
	Fleet__JobRow *row = job_row(tasks, 1, true);
	uint32_t after;

	row->steps[0]->may_miss = may_miss;
	drain_set_label(row, label);
	assert_int_equal(
		sched_submit(x->r.s, id, row, x->r.now, x->r.now, &after),
		SUBMIT_ACCEPTED);
}

/* Returns how many runs the task has that have not ended. */
static uint32_t runs_of(const struct fixture *x, const char *id)
{
	char task[SCHED_TASK_MAX];

	snprintf(task, sizeof(task), "%s.0.0.0", id);
	return count_running(x, task);
}

static void test_each_unanswered_start_costs_seconds(void **state)
{
	static const struct {
		const char *name;
		uint32_t may_miss;
		enum delivery starts[2], stops[2];
		uint32_t starts_count, stops_count;
		uint32_t again_ms; /* longest time to the last start */
	} cases[] = {
		{ "the start is lost",
		  0,
		  { LOST },
		  { DELIVERED },
		  2,
		  1,
		  ORDER_MS + ORDER_MS + STOP_MS },
		{ "the start is lost, with a budget",
		  1,
		  { LOST },
		  { DELIVERED },
		  2,
		  1,
		  ORDER_MS + ORDER_MS + STOP_MS },
		{ "the start is carried out late",
		  1,
		  { DELIVERED_LATE },
		  { DELIVERED },
		  2,
		  1,
		  ORDER_MS + ORDER_MS + STOP_MS },
		{ "two starts are lost",
		  0,
		  { LOST, LOST },
		  { DELIVERED },
		  3,
		  2,
		  2 * (ORDER_MS + ORDER_MS + STOP_MS) },
		{ "the stop is lost, too",
		  1,
		  { LOST },
		  { LOST },
		  2,
		  2,
		  ORDER_MS + 2 * ORDER_MS + STOP_MS },
		{ "only the answer is lost",
		  1,
		  { ANSWER_LOST },
		  { DELIVERED },
		  1,
		  0,
		  0 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct fixture x;
		uint64_t took;

		print_message("%s\n", cases[c].name);
		fixture_new(&x);
		memcpy(x.start_deliveries, cases[c].starts,
		       sizeof(cases[c].starts));
		memcpy(x.stop_deliveries, cases[c].stops,
		       sizeof(cases[c].stops));
		submit_lasting(&x, id_a, 1, cases[c].may_miss, "");
		advance(&x, 12000);
		assert_int_equal(runs_of(&x, id_a), 1);
		assert_int_equal(x.starts, cases[c].starts_count);
		assert_int_equal(x.stops, cases[c].stops_count);
		took = x.start_ms[x.starts - 1] - x.start_ms[0];
		if (took > cases[c].again_ms)
			fail_msg("%s: started again after %llu ms",
				 cases[c].name, (unsigned long long)took);
		talloc_free(x.r.s);
	}
}

/* The stop for a drain is repeated once a report shows the task at work. */
static void test_unanswered_stop_is_repeated_late(void **state)
{
	struct fixture x;

	(void)state;
	fixture_new(&x);
	submit_lasting(&x, id_a, 1, 1, "");
	advance(&x, 1500);
	x.stop_deliveries[0] = LOST;
	sched_relocate(x.r.s, find_instance(&x.r, "i-0"), true, true, x.r.now);
	sched_reserve(x.r.s, find_instance(&x.r, "i-0"), true, x.r.now);
	advance(&x, 3000);
	assert_int_equal(x.stops, 2);
	assert_in_range(x.stop_ms[1] - x.stop_ms[0], 0, ORDER_MS + 100);
	assert_int_equal(x.starts, 2);
	assert_in_range(x.start_ms[1] - x.stop_ms[0], 0,
			ORDER_MS + ORDER_MS + STOP_MS);
	talloc_free(x.r.s);
}

/* The start may be carried out late, just before the stop. */
static void test_stop_beyond_budget_comes_early(void **state)
{
	static const struct {
		const char *name;
		uint32_t tasks; /* all of them are away */
		uint32_t stop_ms_min, stop_ms_max;
	} cases[] = { { "one away, one may be", 1, ORDER_MS, ORDER_MS + 100 },
		      { "two away, one may be", 2, LEASE_MS, 4500 } };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct fixture x;

		print_message("%s\n", cases[c].name);
		fixture_new(&x);
		x.start_deliveries[0] = x.start_deliveries[1] = LOST;
		submit_lasting(&x, id_a, cases[c].tasks, 1, "");
		advance(&x, 6000);
		assert_true(x.stops >= cases[c].tasks);
		assert_in_range(x.stop_ms[0] - x.start_ms[0],
				cases[c].stop_ms_min, cases[c].stop_ms_max);
		talloc_free(x.r.s);
	}
}

static void test_silent_instance_gets_the_next_start(void **state)
{
	static const struct {
		const char *name;
		bool others_due; /* for maintenance */
	} cases[] = { { "others are free", false },
		      { "others are due for maintenance", true } };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct fixture x;

		print_message("%s\n", cases[c].name);
		fixture_new(&x);
		if (cases[c].others_due) {
			sched_mark_maintenance(x.r.s,
					       find_instance(&x.r, "i-1"));
			sched_mark_maintenance(x.r.s,
					       find_instance(&x.r, "i-2"));
		}
		x.start_deliveries[0] = LOST;
		if (!cases[c].others_due)
			x.start_deliveries[1] = LOST;
		submit_lasting(&x, id_a, 1, 0, "");
		advance(&x, 12000);
		assert_int_equal(x.starts, cases[c].others_due ? 2 : 3);
		assert_string_not_equal(x.start_on[1], x.start_on[0]);
		if (!cases[c].others_due) {
			assert_string_not_equal(x.start_on[2], x.start_on[0]);
			assert_string_not_equal(x.start_on[2], x.start_on[1]);
		}
		talloc_free(x.r.s);
	}
}

/* Another task's start, on the held instance, is lost before the stop ends. */
static void test_place_is_held_on_a_silent_instance(void **state)
{
	struct fixture x;
	uint32_t n;

	(void)state;
	fixture_new(&x);
	submit_lasting(&x, id_a, 1, 0, "");
	advance(&x, 1000);
	assert_string_equal(x.start_on[0], "i-0");
	x.stop_takes_ms = 600;
	sched_relocate(x.r.s, find_instance(&x.r, "i-0"), true, true, x.r.now);
	sched_reserve(x.r.s, find_instance(&x.r, "i-0"), true, x.r.now);
	x.start_deliveries[1] = x.start_deliveries[2] = LOST;
	submit_lasting(&x, drain_id_other, 1, 0, "l");
	advance(&x, 3000);
	assert_string_equal(x.start_on[1], "i-1");
	for (n = 1; strcmp(x.start_of[n], x.start_of[0]) != 0; n++)
		assert_true(n < x.starts);
	assert_string_equal(x.start_on[n], "i-2");
	assert_int_equal(runs_of(&x, id_a), 1);
	talloc_free(x.r.s);
}

/*
 * Polls of idle instances wait for 2 s, so i-1 isn't known to be gone; a place
 * on an instance that answers is used.
 */
static void test_place_is_held_on_an_instance_that_is_gone(void **state)
{
	static const struct {
		const char *gone, *start_on;
	} cases[] = { { "i-1", "i-2" }, { NULL, "i-1" } };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct fixture x;

		fixture_new(&x);
		submit_lasting(&x, id_a, 1, 0, "");
		advance(&x, 1100);
		assert_string_equal(x.start_on[0], "i-0");
		x.gone = cases[c].gone;
		sched_relocate(x.r.s, find_instance(&x.r, "i-0"), true, true,
			       x.r.now);
		sched_reserve(x.r.s, find_instance(&x.r, "i-0"), true, x.r.now);
		advance(&x, 1000);
		assert_int_equal(x.starts, 2);
		assert_string_equal(x.start_on[1], cases[c].start_on);
		assert_int_equal(runs_of(&x, id_a), 1);
		talloc_free(x.r.s);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_unanswered_start_costs_seconds),
		cmocka_unit_test(test_unanswered_stop_is_repeated_late),
		cmocka_unit_test(test_stop_beyond_budget_comes_early),
		cmocka_unit_test(test_silent_instance_gets_the_next_start),
		cmocka_unit_test(test_place_is_held_on_a_silent_instance),
		cmocka_unit_test(
			test_place_is_held_on_an_instance_that_is_gone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
