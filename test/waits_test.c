/*
 * What the log says of long-running tasks that wait. Guards against lines that
 * leave open why a task has no run: no memory, machines that are kept, a task
 * that is stopped again and again, no machine in any other pool.
 */
#include "test/rig/drain_rig.h"

#define PASS_MS 20u
#define LINES_MAX 256u
#define TEXT_MAX 800u
#define FIELDS_MAX 8u

struct line {
	char kind[32];
	char id[64];
	char text[TEXT_MAX];
};

struct fixture {
	struct rig r;
	struct config_queue queue;
	struct config_pool pools[3];
	struct line lines[LINES_MAX];
	uint32_t line_count;
	struct drain_runs runs;
};

static void on_trace(void *arg, const char *kind, const char *id,
		     const char *text)
{
	struct fixture *x = arg;
	struct line *l = &x->lines[x->line_count];

	if (strncmp(kind, "lasting-", 8))
		return;
	assert_true(x->line_count < LINES_MAX);
	assert_true(strlen(text) < TEXT_MAX);
	x->line_count++;
	snprintf(l->kind, sizeof(l->kind), "%s", kind);
	snprintf(l->id, sizeof(l->id), "%s", id);
	snprintf(l->text, sizeof(l->text), "%s", text);
}

static uint32_t count_lines(const struct fixture *x, const char *kind)
{
	uint32_t i, count = 0;

	for (i = 0; i < x->line_count; i++)
		count += !strcmp(x->lines[i].kind, kind);
	return count;
}

/* Returns the last line of a kind; fails if there is none. */
static const struct line *last_line(const struct fixture *x, const char *kind)
{
	uint32_t i = x->line_count;

	while (i-- > 0)
		if (!strcmp(x->lines[i].kind, kind))
			return &x->lines[i];
	fail_msg("no line %s", kind);
	return NULL;
}

static long long field(const struct line *l, const char *name)
{
	char key[64];
	const char *at;

	snprintf(key, sizeof(key), "\"%s\":", name);
	at = strstr(l->text, key);
	if (!at)
		fail_msg("no %s in %s", name, l->text);
	return strtoll(at + strlen(key), NULL, 10);
}

/* Pool p has the two instances i-0 and i-1, pool o has o-0. */
static void fixture_new(struct fixture *x)
{
	memset(x, 0, sizeof(*x));
	rig_new(&x->r);
	x->r.now = 10000;
	x->r.workspace.cap.cpu = 0;
	x->pools[0] = (struct config_pool){ .name = "p",
					    .has_admission_check = true };
	x->pools[1] = (struct config_pool){ .name = "o",
					    .has_admission_check = true };
	x->pools[2] = (struct config_pool){ .name = "spare",
					    .has_admission_check = true,
					    .spare = true };
	x->r.config.pools = x->pools;
	x->r.config.pool_count = 3;
	sched_configure(x->r.s, &x->r.config, x->r.now);
	drain_list_instance(&x->r, "i-0", "p", NULL);
	drain_list_instance(&x->r, "i-1", "p", NULL);
	drain_list_instance(&x->r, "o-0", "o", NULL);
	sched_become_leader(x->r.s, 1, true, x->r.now);
	sched_expect_complete(x->r.s, x->r.now);
	make_all_usable(&x->r);
	sched_set_trace(x->r.s, on_trace, x);
}

static void pass(struct fixture *x, enum sched_order_result result,
		 enum sched_outcome outcome)
{
	uint32_t n;

	x->r.now += PASS_MS;
	sched_leader_confirmed(x->r.s, x->r.now);
	take_orders(&x->r);
	for (n = 0; result == ORDER_DONE && n < x->r.order_count; n++)
		drain_runs_note(&x->runs, &x->r.orders[n]);
	answer_orders(&x->r, result);
	drain_runs_report(&x->runs, &x->r, outcome);
	write_all(&x->r);
}

static void advance_with(struct fixture *x, uint32_t ms,
			 enum sched_order_result result)
{
	uint64_t end = x->r.now + ms;

	while (x->r.now < end)
		pass(x, result, SCHED_STOPPED);
}

static void advance(struct fixture *x, uint32_t ms)
{
	advance_with(x, ms, ORDER_DONE);
}

/* An instance has memory for one of its tasks. */
static void submit_lasting(struct fixture *x, const char *id, uint32_t tasks)
{
	Fleet__JobRow *row = job_row(tasks, 1, true);
	uint32_t after;

	row->steps[0]->may_miss = 0;
	row->steps[0]->cpu = 100;
	row->steps[0]->mem = 3000;
	assert_int_equal(
		sched_submit(x->r.s, id, row, x->r.now, x->r.now, &after),
		SUBMIT_ACCEPTED);
	write_all(&x->r);
}

static const char *instance_of_run(const struct fixture *x)
{
	uint32_t n = x->runs.count;

	while (n-- > 0)
		if (x->runs.orders[n].number)
			return x->runs.orders[n].instance_id;
	fail_msg("no run");
	return NULL;
}

/* What keeps a task waiting */

enum obstacle {
	OBSTACLE_NONE,
	OBSTACLE_RESERVED,
	OBSTACLE_RESERVED_UNLISTED,
	OBSTACLE_CAP,
	OBSTACLE_FAILURES, /* on both instances */
};

struct wait_case {
	const char *name;
	enum obstacle obstacle; /* of i-0 */
	uint32_t tasks;
	struct {
		const char *name;
		long long min, max;
	} fields[FIELDS_MAX];
};

static const struct wait_case wait_cases[] = {
	{ "no memory is left, while CPU is",
	  OBSTACLE_NONE,
	  3,
	  { { "waiting", 1, 1 },
	    { "usable", 0, 0 },
	    { "full", 2, 2 },
	    { "cpu", 8000, 8000 },
	    { "used_cpu", 200, 200 },
	    { "mem", 8000, 8000 },
	    { "used_mem", 6000, 6000 },
	    { "machines_wanted", 1, 1 } } },
	{ "an instance with room is kept",
	  OBSTACLE_RESERVED,
	  2,
	  { { "waiting", 1, 1 },
	    { "reserved", 1, 1 },
	    { "reserved_room", 1, 1 },
	    { "reserved_ms", 2000, 2200 },
	    { "unlisted", 0, 0 },
	    { "mem", 4000, 4000 },
	    { "used_mem", 3000, 3000 } } },
	{ "the cap of its workspace",
	  OBSTACLE_CAP,
	  2,
	  { { "waiting", 1, 1 },
	    { "capped", 1, 1 },
	    { "usable", 1, 1 },
	    { "not_taken", 0, 0 },
	    { "empty", 1, 1 },
	    { "unreported", 0, 0 },
	    { "machines_wanted", 0, 0 } } },
	{ "all instances fail its starts",
	  OBSTACLE_FAILURES,
	  1,
	  { { "waiting", 1, 1 },
	    { "capped", 0, 0 },
	    { "usable", 2, 2 },
	    { "not_taken", 2, 2 },
	    { "empty", 2, 2 } } },
	{ "an instance that was kept is gone from the directory",
	  OBSTACLE_RESERVED_UNLISTED,
	  2,
	  { { "waiting", 1, 1 },
	    { "reserved", 0, 0 },
	    { "reserved_room", 0, 0 },
	    { "reserved_ms", 0, 0 },
	    { "unlisted", 1, 1 } } },
};

static void test_obstacles_are_logged(void **state)
{
	size_t c, n;

	(void)state;
	for (c = 0; c < sizeof(wait_cases) / sizeof(wait_cases[0]); c++) {
		const struct wait_case *w = &wait_cases[c];
		enum sched_order_result result =
			w->obstacle == OBSTACLE_FAILURES ? ORDER_REFUSED
							 : ORDER_DONE;
		struct sched_pool_load load;
		const struct line *l;
		struct fixture x;

		print_message("%s\n", w->name);
		fixture_new(&x);
		if (w->obstacle == OBSTACLE_RESERVED ||
		    w->obstacle == OBSTACLE_RESERVED_UNLISTED)
			sched_reserve(x.r.s, find_instance(&x.r, "i-0"), true,
				      x.r.now);
		if (w->obstacle == OBSTACLE_RESERVED_UNLISTED)
			sched_instance_unlisted(x.r.s, "i-0", x.r.now);
		x.r.workspace.cap.cpu = w->obstacle == OBSTACLE_CAP ? 100 : 0;
		submit_lasting(&x, id_a, w->tasks);
		advance_with(&x, 500, result);
		sched_pool_load(x.r.s, "p", &load);
		advance_with(&x, 1600, result);
		l = last_line(&x, "lasting-waits");
		for (n = 0; n < FIELDS_MAX && w->fields[n].name; n++) {
			long long value = field(l, w->fields[n].name);

			if (value < w->fields[n].min ||
			    value > w->fields[n].max)
				fail_msg("%s is %lld in %s", w->fields[n].name,
					 value, l->text);
		}
		talloc_free(x.r.s);
	}
}

/* The longest wait of each pool */

enum blocked_by {
	BLOCKED_FULL,
	BLOCKED_LABEL,
	BLOCKED_UNREPORTED, /* which has just been listed */
	BLOCKED_SILENT,	    /* which never reports */
	BLOCKED_CAP,
	BLOCKED_FIRST_UNANSWERED, /* its first start */
	BLOCKED_UNANSWERED,	  /* its second start */
};

static void submit_blocked(struct fixture *x, enum blocked_by by)
{
	const bool runs_first = by == BLOCKED_UNANSWERED;
	const uint32_t tasks = by >= BLOCKED_FIRST_UNANSWERED ? 1 : 3;
	Fleet__JobRow *row = job_row(tasks, 1, true);
	uint32_t after;

	row->steps[0]->may_miss = 0;
	row->steps[0]->mem = 3000;
	if (by == BLOCKED_LABEL || by == BLOCKED_SILENT)
		drain_list_instance(&x->r, "i-2", "p", "l");
	if (by == BLOCKED_UNREPORTED || by == BLOCKED_SILENT)
		x->runs.silent = "i-2";
	if (by == BLOCKED_LABEL) {
		free(row->steps[0]->label);
		row->steps[0]->label = strdup("l");
	}
	if (by == BLOCKED_CAP) {
		x->r.workspace.cap.cpu = 1000;
		sched_configure(x->r.s, &x->r.config, x->r.now);
	}
	assert_int_equal(
		sched_submit(x->r.s, id_a, row, x->r.now, x->r.now, &after),
		SUBMIT_ACCEPTED);
	write_all(&x->r);
	if (!runs_first)
		return;
	advance(x, 600);
	sched_relocate(x->r.s, find_instance(&x->r, instance_of_run(x)), true,
		       true, x->r.now);
	advance(x, PASS_MS);
}

/*
 * A wait whose cause is not told: why the pool asks for no machine, a cap, a
 * start without an answer.
 */
static void test_longest_wait_tells_its_cause(void **state)
{
	static const struct {
		enum blocked_by by;
		enum sched_wait wait;
		const char *place;
		long long machines_wanted, waiting, unanswered;
	} cases[] = {
		{ BLOCKED_FULL, SCHED_WAIT_PLACE, "machines wanted", 1, 1, 0 },
		{ BLOCKED_LABEL, SCHED_WAIT_PLACE, "empty instance", 0, 2, 0 },
		{ BLOCKED_UNREPORTED, SCHED_WAIT_PLACE, "unreported instance",
		  0, 1, 0 },
		{ BLOCKED_SILENT, SCHED_WAIT_PLACE, "machines wanted", 1, 1,
		  0 },
		{ BLOCKED_CAP, SCHED_WAIT_CAP, "", 0, 0, 0 },
		{ BLOCKED_FIRST_UNANSWERED, SCHED_WAIT_UNANSWERED, "", 0, 0,
		  1 },
		{ BLOCKED_UNANSWERED, SCHED_WAIT_UNANSWERED, "", 0, 0, 1 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		const char *name = sched_wait_name(cases[c].wait);
		const struct line *l;
		struct sched_pool_load load;
		struct sched_stats stats;
		struct fixture x;
		char text[64];
		uint32_t n;

		print_message("%s: %s\n", name, cases[c].place);
		fixture_new(&x);
		submit_blocked(&x, cases[c].by);
		for (n = 0; n < 2600 / PASS_MS; n++) {
			if (cases[c].by == BLOCKED_UNREPORTED &&
			    n == 1400 / PASS_MS)
				drain_list_instance(&x.r, "i-2", "p", "l");
			pass(&x,
			     cases[c].by >= BLOCKED_FIRST_UNANSWERED
				     ? ORDER_LOST
				     : ORDER_DONE,
			     SCHED_STOPPED);
			sched_pool_load(x.r.s, "p", &load);
		}
		l = last_line(&x, "lasting-longest");
		assert_string_equal(l->id, "p");
		snprintf(text, sizeof(text), "\"why\":\"%s\",\"place\":\"%s\"",
			 name, cases[c].place);
		if (!strstr(l->text, text))
			fail_msg("not %s: %s", text, l->text);
		assert_in_range(field(l, "waited_ms"), 1500, 3000);
		assert_int_equal(field(l, "machines_wanted"),
				 cases[c].machines_wanted);
		assert_int_equal(field(l, "waiting"), cases[c].waiting);
		assert_int_equal(field(l, "unanswered"), cases[c].unanswered);
		sched_stats(x.r.s, &stats);
		assert_true(stats.lasting_waits[cases[c].wait] > 0);
		assert_true(stats.lasting_longest_ms >= 1500);
		talloc_free(x.r.s);
	}
}

/* A task that is stopped soon after each start has a run most of the time. */
static void test_task_that_is_stopped_again_and_again_is_logged(void **state)
{
	static const struct {
		const char *name;
		uint32_t stops;
		uint32_t runs_ms; /* before each stop */
		bool logged;
	} cases[] = {
		{ "one stop", 1, 200, false },
		{ "four soon after the starts", 4, 200, true },
		{ "four of runs that had lasted", 4, 6000, false },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct fixture x;
		uint32_t i;

		print_message("%s\n", cases[c].name);
		fixture_new(&x);
		submit_lasting(&x, id_a, 1);
		for (i = 0; i < cases[c].stops; i++) {
			advance(&x, cases[c].runs_ms);
			sched_relocate(x.r.s,
				       find_instance(&x.r, instance_of_run(&x)),
				       true, true, x.r.now);
		}
		advance(&x, 1100);
		assert_int_equal(count_lines(&x, "lasting-end"),
				 cases[c].stops);
		assert_int_equal(count_lines(&x, "lasting-start"),
				 cases[c].stops + 1);
		assert_int_equal(count_lines(&x, "lasting-waits") > 0,
				 cases[c].logged);
		if (cases[c].logged) {
			const struct line *l = last_line(&x, "lasting-waits");

			assert_int_equal(field(l, "restarted"), 1);
			assert_int_equal(field(l, "short_runs"), 4);
		}
		talloc_free(x.r.s);
	}
}

/* With more lines a second the log would drop them as it does frequent ones. */
static void test_lines_of_the_longest_waits_are_few(void **state)
{
	static const char *const ids[] = {
		"000000000000000a", "000000000000000b", "000000000000000c",
		"000000000000000d", "000000000000000e", "000000000000000f",
	};
	struct fixture x;
	uint32_t i;

	(void)state;
	fixture_new(&x);
	sched_reserve(x.r.s, find_instance(&x.r, "i-0"), true, x.r.now);
	sched_reserve(x.r.s, find_instance(&x.r, "i-1"), true, x.r.now);
	for (i = 0; i < 6; i++) {
		submit_lasting(&x, ids[i], 1);
		advance(&x, 100);
	}
	advance(&x, 2000);
	x.line_count = 0;
	advance(&x, 1000);
	assert_int_equal(count_lines(&x, "lasting-waits"), 4);
	assert_int_equal(count_lines(&x, "lasting-waits-more"), 2);
	for (i = 0; i < 4; i++)
		assert_string_equal(x.lines[2 + i].id, ids[i]);
	talloc_free(x.r.s);
}

/* Starts and ends */

enum end_kind {
	END_RELOCATED,
	END_CANCELLED,
	END_FAILED,
	END_LAPSED,
	END_MACHINE_DOWN,
	END_START_REFUSED,
	END_OF_SHORT_TASK,
};

static void end_run(struct fixture *x, enum end_kind kind)
{
	instance_handle_t i = find_instance(&x->r, instance_of_run(x));

	switch (kind) {
	case END_RELOCATED:
		sched_relocate(x->r.s, i, true, true, x->r.now);
		break;
	case END_CANCELLED:
		assert_true(sched_cancel(x->r.s, id_a, "q", x->r.now));
		break;
	case END_FAILED:
	case END_LAPSED:
	case END_OF_SHORT_TASK:
		x->runs.orders[x->runs.count - 1].kind = ORDER_STOP;
		drain_runs_report(&x->runs, &x->r,
				  kind == END_LAPSED   ? SCHED_LAPSED
				  : kind == END_FAILED ? SCHED_FAILED
						       : SCHED_DONE);
		break;
	case END_MACHINE_DOWN:
		sched_machine_down(x->r.s, i, x->r.now);
		break;
	case END_START_REFUSED:
		break;
	}
}

static void test_why_a_run_ended_is_logged(void **state)
{
	static const struct {
		enum end_kind kind;
		const char *why; /* NULL: no line */
		uint32_t starts; /* lines by then */
	} cases[] = {
		{ END_RELOCATED, "relocated", 1 },
		{ END_CANCELLED, "job over", 1 },
		{ END_FAILED, "failed", 1 },
		{ END_LAPSED, "lapsed", 1 },
		{ END_MACHINE_DOWN, "instance gone", 1 },
		{ END_START_REFUSED, NULL, 1 },
		{ END_OF_SHORT_TASK, NULL, 0 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		bool refused = cases[c].kind == END_START_REFUSED;
		char why[64];
		struct fixture x;
		uint32_t n;

		fixture_new(&x);
		if (cases[c].kind == END_OF_SHORT_TASK) {
			submit(&x.r, id_a, 1, 1, false);
			write_all(&x.r);
		} else {
			submit_lasting(&x, id_a, 1);
		}
		pass(&x, refused ? ORDER_REFUSED_CAPACITY : ORDER_DONE,
		     SCHED_STOPPED);
		if (!refused) {
			advance(&x, 600);
			end_run(&x, cases[c].kind);
		}
		assert_int_equal(count_lines(&x, "lasting-start"),
				 cases[c].starts);
		/* Stops are sent and answered; nothing starts again. */
		sched_reserve(x.r.s, find_instance(&x.r, "i-0"), true, x.r.now);
		sched_reserve(x.r.s, find_instance(&x.r, "i-1"), true, x.r.now);
		for (n = 0; n < 50; n++)
			pass(&x, ORDER_DONE, SCHED_STOPPED);
		assert_int_equal(count_lines(&x, "lasting-end"),
				 cases[c].why ? 1 : 0);
		if (cases[c].why) {
			snprintf(why, sizeof(why), "\"why\":\"%s\"",
				 cases[c].why);
			if (!strstr(last_line(&x, "lasting-end")->text, why))
				fail_msg("not %s: %s", why,
					 last_line(&x, "lasting-end")->text);
		}
		talloc_free(x.r.s);
	}
}

/* Pools that lack machines */

static const char id_other[] = "00000000000000bb";

static void plan(struct fixture *x, struct fleet *f, enum fleet_result result,
		 uint32_t ms)
{
	uint64_t end = x->r.now + ms;
	struct fleet_action action;

	while (x->r.now < end) {
		pass(x, ORDER_DONE, SCHED_STOPPED);
		while (fleet_next_action(f, x->r.s, x->r.now, &action))
			fleet_action_result(f, x->r.s, &action, result,
					    x->r.now);
	}
}

/* A task that ends by itself runs in pool o, which keeps its machine for it. */
static void submit_work_for_other_pool(struct fixture *x,
				       struct config_queue *queues)
{
	Fleet__JobRow *row = job_row(1, 1, false);
	uint32_t after;

	queues[0] = queues[1] = x->r.queue;
	queues[1].name = queues[1].pool = "o";
	queues[1].prefix = "/o";
	x->r.config.queues = queues;
	x->r.config.queue_count = 2;
	sched_configure(x->r.s, &x->r.config, x->r.now);
	free(row->queue);
	free(row->pool);
	row->queue = strdup("o");
	row->pool = strdup("o");
	assert_int_equal(
		sched_submit(x->r.s, id_other, row, x->r.now, x->r.now, &after),
		SUBMIT_ACCEPTED);
	write_all(&x->r);
	advance(x, 100);
}

/* Pool o has no more machines than a pool at work keeps in any case. */
static void test_pools_that_lack_machines(void **state)
{
	static const char *const ids[] = { "i-0", "i-1", "o-0", "s-0" };
	static const char *const pools[] = { "p", "p", "o", "spare" };
	static const struct {
		const char *name;
		uint32_t tasks;
		uint32_t machines; /* the fourth is a spare one */
		uint32_t wanted;
		bool is_short;
		uint32_t incoming;
		enum fleet_result result; /* of its order */
	} cases[] = {
		{ "nothing waits", 2, 3, 0, false, 0, FLEET_DONE },
		{ "no pool gives a machine", 3, 3, 1, true, 0, FLEET_DONE },
		{ "a spare machine comes", 3, 4, 1, false, 1, FLEET_DONE },
		{ "one of two comes", 4, 4, 2, true, 1, FLEET_DONE },
		{ "its order is open", 3, 4, 1, false, 1, FLEET_UNKNOWN },
	};
	struct fleet_options options = { .maintenance_ms = 2000,
					 .move_ms = 1500 };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct fleet_machine_info infos[4] = { 0 };
		struct fleet_pool_demand *list;
		struct config_queue queues[2];
		struct fixture x;
		struct fleet *f;
		uint32_t count, i;

		print_message("%s\n", cases[c].name);
		fixture_new(&x);
		f = fleet_new(x.r.s, &options);
		fleet_configure(f, &x.r.config);
		for (i = 0; i < cases[c].machines; i++) {
			infos[i].machine = ids[i];
			infos[i].pool = pools[i];
			infos[i].rack = "r1";
			infos[i].state = FLEET_UP;
		}
		fleet_set_machines(f, infos, cases[c].machines, x.r.now);
		submit_work_for_other_pool(&x, queues);
		submit_lasting(&x, id_a, cases[c].tasks);
		plan(&x, f, cases[c].result, 1000);
		count = fleet_demands(f, x.r.s, 1000, x.r.now, &list, 4);
		assert_int_equal(count, cases[c].wanted ? 1 : 0);
		if (count) {
			assert_string_equal(list->pool, "p");
			assert_int_equal(list->wanted, cases[c].wanted);
			assert_in_range(list->wanted_ms, 800, 1001);
			assert_int_equal(list->short_ms >= 800,
					 cases[c].is_short);
			assert_int_equal(list->incoming_draining +
						 list->incoming_ordered,
					 cases[c].incoming);
			assert_int_equal(list->incoming_open,
					 cases[c].result == FLEET_UNKNOWN);
			assert_int_equal(list->spare, 0);
			assert_int_equal(list->others_unpinned, 1);
			assert_string_equal(list->largest, "o");
		}
		talloc_free(x.r.s);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_obstacles_are_logged),
		cmocka_unit_test(
			test_task_that_is_stopped_again_and_again_is_logged),
		cmocka_unit_test(test_longest_wait_tells_its_cause),
		cmocka_unit_test(test_lines_of_the_longest_waits_are_few),
		cmocka_unit_test(test_why_a_run_ended_is_logged),
		cmocka_unit_test(test_pools_that_lack_machines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
