/*
 * Long-running tasks beside waves: none stays without a place because machines
 * are drained, and no wave stops because of one.
 */
#include "test/rig/drain_rig.h"

/* A task is stopped for a drain at most once in this time. */
#define STOPPED_AGAIN_MS 5000u

/* A task without another place is stopped when its machine can be ordered. */
static void test_no_other_place(void **state)
{
	static const struct {
		const char *name;
		uint32_t instances, tasks, stops;
	} cases[] = {
		{ "no other place", 2, 2, 1 },
		{ "one other place, outside of the wave", 3, 2, 1 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct drain_rig x;

		print_message("%s\n", cases[c].name);
		drain_new(&x, cases[c].instances);
		drain_list_machines(&x);
		drain_submit(&x, id_a, cases[c].tasks);
		drain_advance(&x, 100);
		assert_int_equal(x.starts, cases[c].tasks);
		drain_add_wave(&x, 1, 2);
		drain_advance(&x, 60);
		assert_int_equal(x.stops, cases[c].stops);
		drain_free(&x);
	}
}

/* A drained machine that waits for its turn takes a task that needs its room */
static void test_drained_machine_is_needed(void **state)
{
	struct drain_rig x;

	(void)state;
	drain_new(&x, 2);
	drain_list_machines(&x);
	drain_add_wave(&x, 1, 2);
	drain_advance(&x, 40); /* both are idle: one is ordered, one waits */
	assert_int_equal(x.upkeeps, 1);
	drain_submit(&x, id_a, 1);
	drain_advance(&x, 1500);
	assert_int_equal(x.starts, 1);
	drain_free(&x);
}

/*
 * A machine is back from its maintenance in time, but its instance is listed
 * again, under its id, a little later.
 */
static void test_reservation_outlives_maintenance(void **state)
{
	struct drain_rig x;

	(void)state;
	drain_new(&x, 2);
	drain_list_machines(&x);
	drain_add_wave(&x, 1, 1);
	drain_advance(&x, 40);
	assert_int_equal(x.upkeeps, 1);
	x.runs.silent = "i-0";
	sched_instance_unlisted(x.r.s, "i-0", x.r.now);
	drain_advance(&x, 3000);
	x.runs.silent = NULL;
	x.r.started_unix_ms++;
	add_instance(&x.r, "i-0", false);
	report(&x.r, find_instance(&x.r, "i-0"), NULL, 0, NULL, 0, x.r.now);
	drain_submit(&x, id_a, 2);
	drain_advance(&x, 500);
	assert_int_equal(x.starts, 2);
	drain_free(&x);
}

static uint32_t count_stops(const struct drain_rig *x, const char *task)
{
	uint32_t count = 0;
	uint32_t n;

	for (n = 0; n < x->runs.count; n++)
		count += !strcmp(x->runs.orders[n].task, task) &&
			 x->runs.orders[n].kind == ORDER_STOP;
	return count;
}

/*
 * Tasks without another place are stopped, their machines can't be ordered, so
 * they start again, and are stopped again.
 */
static void test_task_is_stopped_again_and_again(void **state)
{
	struct drain_rig x;
	uint32_t n, after;

	(void)state;
	drain_new(&x, 2);
	drain_list_machines(&x);
	drain_submit(&x, id_a, 2);
	drain_advance(&x, 100);
	drain_add_wave(&x, 2, 2);
	x.store_slow = true;
	assert_int_equal(sched_submit(x.r.s, drain_id_other,
				      job_row(1, 1, false), x.r.now, x.r.now,
				      &after),
			 SUBMIT_ACCEPTED);
	drain_advance(&x, STOPPED_AGAIN_MS);
	for (n = 0; n < x.runs.count; n++)
		assert_in_range(count_stops(&x, x.runs.orders[n].task), 0, 1);
	drain_free(&x);
}

/* A machine that the platform refuses to take down keeps its room for good. */
static void test_refused_machine_keeps_room(void **state)
{
	struct drain_rig x;

	(void)state;
	drain_new(&x, 2);
	drain_list_machines(&x);
	drain_submit(&x, id_a, 2);
	drain_advance(&x, 100);
	drain_add_wave(&x, 2, 2);
	x.upkeep_result = FLEET_REFUSED;
	drain_advance(&x, 1500);
	assert_in_range(x.stops, 1, 2);
	assert_int_equal(x.starts, 2 + x.stops);
	drain_free(&x);
}

/* A drained machine keeps room that a task waits for until it is ordered. */
static void test_drained_machine_keeps_room(void **state)
{
	struct drain_rig x;

	(void)state;
	drain_new(&x, 2);
	drain_list_machines(&x);
	drain_add_wave(&x, 1, 2);
	drain_advance(&x, 40); /* one is ordered, one waits for its turn */
	assert_int_equal(x.upkeeps, 1);
	drain_submit(&x, id_a, 1);
	drain_advance(&x, 300);
	assert_int_equal(x.starts, 1);
	drain_free(&x);
}

/* A task that has just lost its run goes before one that waits for longer. */
static void test_longest_wait_goes_last(void **state)
{
	struct drain_rig x;
	uint32_t n;
	bool other = false;

	(void)state;
	drain_new(&x, 2);
	drain_list_machines(&x);
	drain_submit(&x, id_a, 3); /* room for two */
	drain_advance(&x, 100);
	drain_submit(&x, drain_id_other, 1);
	drain_advance(&x, 500);
	assert_int_equal(x.starts, 2);
	drain_fail_run(&x, x.runs.orders[1].task);
	drain_advance(&x, 500);
	assert_int_equal(x.starts, 3);
	add_instance(&x.r, "i-2", false);
	report(&x.r, find_instance(&x.r, "i-2"), NULL, 0, NULL, 0, x.r.now);
	drain_advance(&x, 500);
	assert_int_equal(x.starts, 4);
	for (n = 0; n < x.runs.count; n++)
		other |= !strncmp(x.runs.orders[n].task, drain_id_other,
				  strlen(drain_id_other));
	assert_true(other);
	drain_free(&x);
}

/*
 * Room is held for a task that its budget keeps where it is, so the task of
 * its step that could use the room waits for ever.
 */
static void test_held_room_is_kept_from_waiting_task(void **state)
{
	static const struct {
		const char *name;
		uint32_t may_miss;
	} cases[] = { { "no budget", 0 }, { "a budget of one task", 1 } };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct drain_rig x;
		const char *failed;

		print_message("%s\n", cases[c].name);
		drain_new(&x, 2);
		drain_list_machines(&x);
		drain_submit_row(&x, id_a, drain_row(2, cases[c].may_miss));
		drain_advance(&x, 3000);
		assert_int_equal(x.starts, 2);
		failed = !strcmp(x.runs.orders[0].instance_id, "i-1")
				 ? x.runs.orders[0].task
				 : x.runs.orders[1].task;
		drain_add_long_wave(&x, 1, 0);
		drain_advance(&x, 40);
		assert_int_equal(x.upkeeps, 0);
		drain_fail_run(&x, failed);
		drain_order_machines(&x);
		drain_advance(&x, 6000);
		assert_true(x.starts >= 3);
		drain_free(&x);
	}
}

/* A waiting task that may not start, or fits nowhere, stops a wave for good. */
static void test_unplaceable_task_stops_wave(void **state)
{
	static const struct {
		const char *name, *workspace, *label;
		uint32_t tasks; /* that run when the wave begins */
	} cases[] = {
		{ "none waits", NULL, NULL, 2 },
		{ "one at its cap", "capped", NULL, 2 },
		{ "one with a label of full machines", "w", "gpu", 2 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct drain_rig x;

		print_message("%s\n", cases[c].name);
		drain_new(&x, 2);
		drain_list_instance(&x.r, "i-0", "p", "gpu");
		x.workspaces[1].cap.cpu = 1000;
		sched_configure(x.r.s, &x.r.config, x.r.now);
		drain_list_machines(&x);
		drain_submit(&x, id_a, cases[c].tasks);
		if (cases[c].workspace) {
			Fleet__JobRow *row = drain_row(1, 0);

			drain_set_workspace(row, cases[c].workspace);
			if (cases[c].label)
				drain_set_label(row, cases[c].label);
			drain_submit_row(&x, drain_id_other, row);
		}
		drain_advance(&x, 100);
		assert_int_equal(x.starts, cases[c].tasks);
		drain_add_long_wave(&x, 2, 0);
		drain_advance(&x, 30000);
		assert_true(x.upkeeps >= 1);
		drain_free(&x);
	}
}

/*
 * A machine whose task can't run on any that may be had is never drained, and
 * one machine after the other is moved to the pool for it.
 */
static void test_machines_that_cannot_help(void **state)
{
	static const char *const spares[] = { "m-0", "m-1", "m-2" };
	Fleet__JobRow *row = drain_row(1, 0);
	struct drain_rig x;
	uint32_t n;

	(void)state;
	drain_new(&x, 2);
	drain_list_instance(&x.r, "i-0", "p", "gpu");
	for (n = 0; n < 3; n++)
		drain_add_machine(&x, spares[n], "spare");
	drain_list_machines(&x);
	drain_set_label(row, "gpu");
	drain_submit_row(&x, id_a, row);
	drain_advance(&x, 100);
	assert_int_equal(x.starts, 1);
	assert_int_equal(x.moves, 0);
	drain_add_long_wave(&x, 2, 0);
	drain_advance_joining(&x, 30000);
	assert_int_equal(x.upkeeps, 2);
	assert_in_range(x.moves, 0, 1);
	drain_free(&x);
}

/*
 * No ticket is asked for while no task of a step waits, so no place is found
 * for its tasks, though an instance is empty.
 */
static void test_no_place_without_a_ticket(void **state)
{
	struct drain_rig x;

	(void)state;
	drain_new_advised(&x, 2);
	drain_list_machines(&x);
	drain_submit_row(&x, id_a, drain_row(1, 0));
	drain_advance(&x, 5000); /* its tickets have expired */
	assert_int_equal(x.starts, 1);
	drain_add_long_wave(&x, 1, 0);
	drain_advance(&x, 500);
	assert_int_equal(x.starts, 2);
	assert_int_equal(x.upkeeps, 1);
	drain_free(&x);
}

/* A task that the adviser lets start nowhere keeps idle machines from a wave */
static void test_task_without_ticket_stops_wave(void **state)
{
	struct drain_rig x;

	(void)state;
	drain_new_advised(&x, 2);
	x.approves = false;
	drain_list_machines(&x);
	drain_submit_row(&x, id_a, drain_row(1, 0));
	drain_advance(&x, 1000);
	assert_int_equal(x.starts, 0);
	drain_add_long_wave(&x, 2, 0);
	drain_advance(&x, 25000);
	assert_int_equal(x.upkeeps, 2);
	drain_free(&x);
}

/*
 * Machines whose tasks their budget keeps get all turns of a wave again and
 * again, while another could go.
 */
static void test_budget_keeps_turns(void **state)
{
	static const struct {
		const char *name;
		uint32_t begun_ms; /* ago */
	} cases[] = { { "in time", 0 }, { "after its deadline", 21000 } };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct drain_rig x;
		Fleet__JobRow *row = drain_row(3, 1);

		print_message("%s\n", cases[c].name);
		drain_new(&x, 3);
		x.r.now += 30000;
		make_all_usable(&x.r);
		x.workspaces[1].cap.cpu = 6000;
		sched_configure(x.r.s, &x.r.config, x.r.now);
		drain_list_machines(&x);
		drain_set_workspace(row, "capped");
		/* One of three waits at the cap. */
		drain_submit_row(&x, id_a, row);
		drain_advance(&x, 100);
		drain_submit_row(&x, drain_id_other, drain_row(1, 0));
		drain_advance(&x, 100);
		assert_int_equal(x.starts, 3);
		assert_string_equal(x.runs.orders[2].instance_id, "i-2");
		add_instance(&x.r, "i-3", false);
		drain_add_machine(&x, "i-3", "p");
		drain_list_machines(&x);
		drain_advance(&x, 100);
		drain_add_long_wave(&x, 3, cases[c].begun_ms);
		drain_advance(&x, 30000);
		assert_int_equal(x.upkeeps, 1);
		drain_free(&x);
	}
}

/* A task is stopped for a wave while nothing may be started. */
static void test_stopped_while_starts_are_held(void **state)
{
	static const struct {
		const char *name;
		uint32_t tasks;
	} cases[] = {
		{ "another instance has room", 1 },
		{ "no other place", 2 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct drain_rig x;

		print_message("%s\n", cases[c].name);
		drain_new(&x, 2);
		drain_list_machines(&x);
		drain_submit(&x, id_a, cases[c].tasks);
		drain_advance(&x, 100);
		sched_hold_starts(x.r.s, true, x.r.now);
		drain_add_wave(&x, 1, 1);
		drain_advance(&x, 6000);
		assert_int_equal(x.stops, 0);
		sched_hold_starts(x.r.s, false, x.r.now);
		drain_advance(&x, 5000);
		assert_int_equal(x.upkeeps, 1);
		assert_int_equal(x.starts, 2); /* i-0 doesn't come back */
		drain_free(&x);
	}
}

/* While a task is moved, others of its workspace start up to the cap. */
static void test_others_fill_the_cap_of_a_moved_task(void **state)
{
	struct drain_rig x;
	Fleet__JobRow *moved = drain_row(1, 0);
	Fleet__JobRow *other = drain_row(1, 0);

	(void)state;
	drain_new(&x, 3);
	drain_list_machines(&x);
	drain_set_workspace(moved, "capped"); /* at most one of its tasks */
	drain_set_workspace(other, "capped");
	drain_submit_row(&x, id_a, moved);
	drain_advance(&x, 100);
	assert_int_equal(x.starts, 1);
	drain_submit_row(&x, drain_id_other, other);
	drain_add_wave(&x, 1, 1);
	drain_advance(&x, 1000);
	assert_int_equal(x.stops, 1);
	assert_int_equal(x.starts, 2);
	assert_string_equal(x.runs.orders[1].task, x.runs.orders[0].task);
	drain_free(&x);
}

/* The next leader stops a task again right after its predecessor did. */
static void test_stopped_again_by_the_next_leader(void **state)
{
	static const struct {
		const char *name;
		bool end_unknown; /* to the predecessor */
	} cases[] = {
		{ "it learns of the end", true },
		{ "it finds the next run", false },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		static const char task[] = "000000000000000a.0.0.0";
		struct drain_rig x;
		struct sched_ended ended = { 0 };
		struct sched_order found = { .kind = ORDER_START,
					     .instance_id = "i-0",
					     .number = 10002 };

		print_message("%s\n", cases[c].name);
		drain_new(&x, 2);
		drain_list_machines(&x);
		drain_submit(&x, id_a, 1);
		if (cases[c].end_unknown) {
			drain_advance(&x, 100);
			ended = (struct sched_ended){ ++x.runs.end_seq, task, 1,
						      SCHED_STOPPED, "" };
			report(&x.r, find_instance(&x.r, "i-1"), NULL, 0,
			       &ended, 1, x.r.now);
			write_all(&x.r);
		} else {
			memcpy(found.task, task, sizeof(task));
			drain_runs_note(&x.runs, &found);
			drain_runs_report(&x.runs, &x.r, SCHED_STOPPED);
		}
		drain_add_long_wave(&x, 1, 0);
		drain_advance(&x, STOPPED_AGAIN_MS - 100);
		assert_int_equal(x.stops, 0);
		drain_advance(&x, 1000);
		assert_int_equal(x.stops, 1);
		drain_free(&x);
	}
}

/*
 * An instance is listed while the order that ends it is under way, and tasks
 * are started there.
 */
static void test_instance_listed_beside_its_order(void **state)
{
	static const struct {
		const char *name;
		bool gone;
		uint32_t ms, starts; /* by then */
	} cases[] = {
		{ "the order ends it", true, 2000, 0 },
		{ "the order was carried out before", false, 2500, 1 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct fleet_action action = { 0 };
		struct drain_rig x;

		print_message("%s\n", cases[c].name);
		drain_new(&x, 0);
		drain_add_machine(&x, "i-0", "p");
		drain_list_machines(&x);
		drain_add_long_wave(&x, 1, 0);
		do {
			assert_true(fleet_next_action(x.f, x.r.s, x.r.now,
						      &action));
		} while (action.kind != FLEET_ACTION_MAINTENANCE);
		add_instance(&x.r, "i-0", false);
		drain_advance(&x, DRAIN_PASS_MS);
		fleet_action_result(x.f, x.r.s, &action, FLEET_DONE, x.r.now);
		x.runs.silent = cases[c].gone ? "i-0" : NULL;
		drain_submit(&x, id_a, 1);
		drain_advance(&x, cases[c].ms);
		assert_int_equal(x.starts, cases[c].starts);
		drain_free(&x);
	}
}

/* A machine of two waves goes for the older one, which is due much later. */
static void test_wave_due_first_goes_last(void **state)
{
	static const char *const names[] = { "i-0" };
	struct drain_rig x;

	(void)state;
	drain_new(&x, 1);
	drain_list_machines(&x);
	drain_add_long_wave(&x, 1, 1000);
	fleet_add_wave(x.f, "wave/2", 2, 1, 4000, names, 1, x.r.now);
	drain_advance(&x, 40);
	assert_int_equal(x.upkeeps, 1);
	assert_int_equal(x.upkeep_wave, 2);
	drain_free(&x);
}

/* Machines that their budget keeps hide one that could go. */
static void test_blocked_machines_hide_another(void **state)
{
	static const char *const names[] = {
		"h-0",	"h-1",	"h-2",	"h-3",	"h-4",	"h-5",
		"h-6",	"h-7",	"h-8",	"h-9",	"h-10", "h-11",
		"h-12", "h-13", "h-14", "h-15", "h-16", "h-17",
	};
	const uint32_t kept = 16, members = 17;
	Fleet__JobRow *row = drain_row(kept + 1, 1);
	struct drain_rig x;
	uint32_t n;

	(void)state;
	drain_new(&x, 0);
	x.workspaces[1].cap.cpu = kept * 3000;
	sched_configure(x.r.s, &x.r.config, x.r.now);
	drain_set_workspace(row, "capped"); /* one task waits at the cap */
	for (n = 0; n < kept; n++)
		drain_list_instance(&x.r, names[n], "p", NULL);
	for (n = 0; n <= members; n++)
		drain_add_machine(&x, names[n], "p");
	drain_list_machines(&x);
	make_all_usable(&x.r);
	drain_submit_row(&x, id_a, row);
	drain_advance(&x, 500);
	assert_int_equal(x.starts, kept);
	drain_list_instance(&x.r, names[kept], "p", NULL);
	drain_submit(&x, drain_id_other, 1);
	drain_advance(&x, 500);
	assert_int_equal(x.starts, kept + 1);
	drain_list_instance(&x.r, names[members], "p", NULL);
	fleet_add_wave(x.f, "wave/1", 1, 1, 20000, names, members, x.r.now);
	drain_advance(&x, 10000);
	assert_int_equal(x.upkeeps, 1);
	drain_free(&x);
}

/*
 * A task is stopped without another place while a machine of its pool is back
 * from its maintenance and its instance is about to be listed.
 */
static void test_stopped_beside_a_machine_that_is_back(void **state)
{
	static const char *const full[] = { "i-0" };
	static const char *const freed[] = { "i-1" };
	struct drain_rig x;

	(void)state;
	drain_new(&x, 2);
	drain_list_machines(&x);
	drain_submit(&x, id_a, 1);
	drain_advance(&x, 100);
	drain_submit(&x, drain_id_other, 1);
	drain_advance(&x, 100);
	assert_int_equal(x.starts, 2);
	assert_string_equal(x.runs.orders[1].instance_id, "i-1");
	fleet_add_wave(x.f, "wave/1", 1, 1, 20000, full, 1, x.r.now - 9000);
	drain_advance(&x, 1000);
	sched_cancel(x.r.s, drain_id_other, x.r.queue.name, x.r.now);
	fleet_add_wave(x.f, "wave/2", 2, 1, 9000, freed, 1, x.r.now);
	drain_advance(&x, 100);
	assert_int_equal(x.upkeeps, 1);
	assert_int_equal(x.stops, 1);
	sched_instance_unlisted(x.r.s, "i-1", x.r.now);
	x.runs.silent = "i-1";
	drain_advance(&x, 2900);
	assert_int_equal(x.stops, 1);
	x.runs.silent = NULL;
	x.r.started_unix_ms++;
	add_instance(&x.r, "i-1", false);
	drain_advance(&x, 500);
	assert_int_equal(x.stops, 2);
	assert_int_equal(x.starts, 3);
	drain_free(&x);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reservation_outlives_maintenance),
		cmocka_unit_test(test_task_is_stopped_again_and_again),
		cmocka_unit_test(test_refused_machine_keeps_room),
		cmocka_unit_test(test_drained_machine_keeps_room),
		cmocka_unit_test(test_longest_wait_goes_last),
		cmocka_unit_test(test_held_room_is_kept_from_waiting_task),
		cmocka_unit_test(test_unplaceable_task_stops_wave),
		cmocka_unit_test(test_machines_that_cannot_help),
		cmocka_unit_test(test_no_place_without_a_ticket),
		cmocka_unit_test(test_task_without_ticket_stops_wave),
		cmocka_unit_test(test_budget_keeps_turns),
		cmocka_unit_test(test_stopped_while_starts_are_held),
		cmocka_unit_test(test_others_fill_the_cap_of_a_moved_task),
		cmocka_unit_test(test_stopped_again_by_the_next_leader),
		cmocka_unit_test(test_instance_listed_beside_its_order),
		cmocka_unit_test(test_wave_due_first_goes_last),
		cmocka_unit_test(test_blocked_machines_hide_another),
		cmocka_unit_test(test_stopped_beside_a_machine_that_is_back),
		cmocka_unit_test(test_no_other_place),
		cmocka_unit_test(test_drained_machine_is_needed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
