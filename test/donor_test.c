/*
 * Machines of other pools for long-running tasks that wait: as many as help,
 * and none is waited for that is gone or kept after its move.
 */
#include "test/rig/drain_rig.h"

/* A machine that is gone, or was refused, is not waited for. */
static void test_expected_machine_is_lost(void **state)
{
	static const struct {
		const char *name;
		bool listed;
		enum fleet_machine_state state;
	} cases[] = {
		{ "it isn't listed any more", false, FLEET_UP },
		{ "it is down", true, FLEET_DOWN },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct drain_rig x;

		print_message("%s\n", cases[c].name);
		drain_new(&x, 1);
		drain_add_machine(&x, "m-0", "spare");
		drain_list_machines(&x);
		x.result = FLEET_BUSY;
		drain_submit(&x, id_a, 2); /* room for one */
		drain_advance(&x, 200);
		assert_int_equal(x.moves, 1);
		x.machine_count = 1;
		if (cases[c].listed)
			x.machines[x.machine_count++].state = cases[c].state;
		drain_add_machine(&x, "m-1", "spare");
		drain_list_machines(&x);
		x.result = FLEET_DONE;
		drain_advance(&x, 3000);
		assert_int_equal(x.moves, 2);
		assert_string_equal(x.moved, "m-1");
		drain_free(&x);
	}
}

/* Machines are ordered for all waiting tasks at once, also by their memory. */
static void test_machines_by_memory(void **state)
{
	static const char *const spares[] = { "m-0", "m-1", "m-2" };
	struct drain_rig x;
	Fleet__JobRow *row = job_row(3, 1, true);
	uint32_t i, after;

	(void)state;
	drain_new(&x, 1);
	for (i = 0; i < 3; i++)
		drain_add_machine(&x, spares[i], "spare");
	drain_list_machines(&x);
	row->steps[0]->cpu = 100;
	row->steps[0]->mem = 3000; /* an instance has 4000 */
	sched_submit(x.r.s, id_a, row, x.r.now, x.r.now, &after);
	write_all(&x.r);
	drain_advance(&x, 300);
	assert_int_equal(x.starts, 1);
	assert_int_equal(x.moves, 2);
	drain_free(&x);
}

/* A pool with a backlog and idle machines gives none to a task that waits. */
static void test_backlog_keeps_idle_machines(void **state)
{
	struct drain_rig x;

	(void)state;
	drain_new(&x, 1);
	drain_add_backlog(&x);
	drain_list_machines(&x);
	drain_submit(&x, id_a, 2); /* room for one */
	drain_advance(&x, 1000);
	assert_int_equal(x.moves, 1);
	drain_free(&x);
}

/*
 * The list shows a machine in the pool that it has left, so it is ordered to
 * the one where it is. It is back in time, but its instance reports a little
 * later.
 */
static void test_reservation_outlives_move(void **state)
{
	Fleet__JobRow *row = job_row(200, 1, false);
	struct drain_rig x;

	(void)state;
	drain_new(&x, 2);
	x.machines[1].pool = "spare";
	drain_list_machines(&x);
	drain_set_workspace(row, "capped"); /* one task at a time */
	row->steps[0]->cpu = 3000;
	drain_submit_row(&x, drain_id_other, row);
	x.runs.silent = "i-1";
	drain_advance(&x, 2500);
	assert_int_equal(x.moves, 1);
	assert_string_equal(x.moved, "i-1");
	x.runs.silent = NULL;
	report(&x.r, find_instance(&x.r, "i-1"), NULL, 0, NULL, 0, x.r.now);
	drain_submit(&x, id_a, 1);
	drain_advance(&x, 500);
	assert_int_equal(x.starts, 2);
	drain_free(&x);
}

/* A list that was requested before a move was answered shows the old pool. */
static void test_old_list_hides_move(void **state)
{
	struct drain_rig x;

	(void)state;
	drain_new(&x, 1);
	drain_add_machine(&x, "m-0", "spare");
	drain_list_machines(&x);
	drain_submit(&x, id_a, 2); /* room for one */
	fleet_list_requested(x.f, x.r.now);
	drain_advance(&x, 100);
	assert_int_equal(x.moves, 1);
	drain_list_machines(&x);
	drain_advance(&x, 4000);
	assert_int_equal(x.moves, 1);
	drain_free(&x);
}

/* A pool without a machine gets none for a long-running task. */
static void test_empty_pool_gets_no_machine(void **state)
{
	struct drain_rig x;

	(void)state;
	drain_new(&x, 0);
	drain_add_machine(&x, "m-0", "spare");
	drain_list_machines(&x);
	drain_submit(&x, id_a, 1);
	drain_advance(&x, 3000);
	assert_int_equal(x.moves, 1);
	drain_free(&x);
}

/* A pool gives its machines to a task that can run on none of them. */
static void test_waiting_task_empties_other_pool(void **state)
{
	static const char id_labelled[] = "00000000000000ab";
	Fleet__JobRow *row = drain_row(1, 0);
	struct drain_rig x;

	(void)state;
	drain_new(&x, 1);
	drain_list_instance(&x.r, "i-0", "p", "gpu");
	drain_add_backlog(&x);
	drain_list_machines(&x);
	drain_submit(&x, id_a, 1);
	drain_advance(&x, 200);
	drain_set_label(row, "gpu"); /* the instance with it is full */
	drain_submit_row(&x, id_labelled, row);
	drain_advance_joining(&x, 10000);
	assert_in_range(x.moves, 0, 1);
	drain_free(&x);
}

/* Tasks of several jobs that fit on one machine get one each. */
static void test_a_machine_for_each_job(void **state)
{
	static const char *const ids[] = { "00000000000000a1",
					   "00000000000000a2",
					   "00000000000000a3" };
	static const char *const spares[] = { "m-0", "m-1", "m-2" };
	struct drain_rig x;
	uint32_t n;

	(void)state;
	drain_new(&x, 1);
	for (n = 0; n < 3; n++)
		drain_add_machine(&x, spares[n], "spare");
	drain_list_machines(&x);
	drain_submit(&x, id_a, 1);
	drain_advance(&x, 100);
	for (n = 0; n < 3; n++) {
		Fleet__JobRow *row = drain_row(1, 0);

		row->steps[0]->cpu = 1200; /* an instance has 4000 */
		drain_submit_row(&x, ids[n], row);
	}
	drain_advance(&x, 500);
	assert_int_equal(x.starts, 1);
	assert_int_equal(x.moves, 1);
	drain_free(&x);
}

/* Machines come for a task that waits for a moment, with room in its pool. */
static void test_machines_despite_room(void **state)
{
	static const struct {
		const char *name;
		bool store_slow, adviser_silent;
	} cases[] = {
		{ "a task that is placed at once", false, false },
		{ "a job that is not written yet", true, false },
		{ "the adviser does not answer", false, true },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct drain_rig x;
		uint32_t after;

		print_message("%s\n", cases[c].name);
		if (cases[c].adviser_silent)
			drain_new_advised(&x, 2);
		else
			drain_new(&x, 2);
		x.adviser_silent = cases[c].adviser_silent;
		drain_add_backlog(&x);
		drain_list_machines(&x);
		drain_advance(&x, 200);
		x.store_slow = cases[c].store_slow;
		assert_int_equal(sched_submit(x.r.s, id_a, drain_row(1, 0),
					      x.r.now, x.r.now, &after),
				 SUBMIT_ACCEPTED);
		if (!x.store_slow)
			write_all(&x.r);
		drain_advance(&x, 1000);
		assert_int_equal(x.moves, 0);
		drain_free(&x);
	}
}

static void add_idle_machines(struct drain_rig *x, uint32_t count)
{
	static const char *const names[] = { "b-0", "b-1", "b-2" };
	uint32_t i;

	for (i = 0; i < count; i++) {
		drain_list_instance(&x->r, names[i], "backlog", NULL);
		drain_add_machine(x, names[i], "backlog");
	}
	make_all_usable(&x->r);
	drain_list_machines(x);
}

/* Tasks that end by themselves; an instance has room for one of them. */
static Fleet__JobRow *short_row(const char *pool, uint32_t tasks,
				uint32_t estimate_ms)
{
	Fleet__JobRow *row = job_row(tasks, 1, false);

	free(row->queue);
	free(row->pool);
	row->queue = strdup(!strcmp(pool, "p") ? "q" : pool);
	row->pool = strdup(pool);
	row->steps[0]->cpu = 3000;
	row->steps[0]->estimate_ms = estimate_ms;
	return row;
}

/* Jobs of a pool without a machine wait for good beside idle machines. */
static void test_pool_without_machine_beside_idle_ones(void **state)
{
	static const struct {
		const char *name;
		uint32_t idle; /* machines of another pool */
		uint32_t work; /* tasks there, one at a time to a machine */
		bool capped;
		bool long_running;
		uint32_t moves; /* ordered, or of machines that are drained */
	} cases[] = {
		{ "two of a pool without work", 2, 0, false, false, 1 },
		{ "the last of a pool without work", 1, 0, false, false, 1 },
		{ "same, for a long-running task", 1, 0, false, true, 1 },
		{ "one beside one at work", 2, 1, false, false, 1 },
		{ "the last of a pool at work", 1, 1, false, false, 0 },
		{ "two at work, with a backlog", 2, 9, false, false, 1 },
		{ "the workspace is at its cap", 2, 0, true, false, 0 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		Fleet__JobRow *row = short_row("p", 1, 500);
		struct fleet_stats stats;
		struct drain_rig x;

		print_message("%s\n", cases[c].name);
		drain_new(&x, 0);
		add_idle_machines(&x, cases[c].idle);
		if (cases[c].work)
			drain_submit_row(
				&x, drain_id_other,
				short_row("backlog", cases[c].work, 500));
		drain_advance(&x, 200);
		if (cases[c].capped) {
			drain_set_workspace(row, "capped");
			row->steps[0]->cpu = 3500;
		}
		row->steps[0]->lasting = cases[c].long_running;
		drain_submit_row(&x, id_a, row);
		drain_advance(&x, 300);
		fleet_stats(x.f, &stats);
		assert_int_equal(x.moves + stats.draining, cases[c].moves);
		drain_free(&x);
	}
}

/* The last machine leaves a pool whose accepted job isn't written yet. */
static void test_last_machine_leaves_accepted_job(void **state)
{
	struct drain_rig x;
	uint32_t after;

	(void)state;
	drain_new(&x, 0);
	add_idle_machines(&x, 1);
	drain_submit_row(&x, id_a, short_row("p", 1, 500));
	assert_int_equal(sched_submit(x.r.s, drain_id_other,
				      short_row("backlog", 1, 500), x.r.now,
				      x.r.now, &after),
			 SUBMIT_ACCEPTED);
	x.store_slow = true;
	drain_advance(&x, 300);
	assert_int_equal(x.moves, 0);
	drain_free(&x);
}

/* A pool takes its only machine back as soon as it has given it away. */
static void test_last_machine_goes_back_at_once(void **state)
{
	struct drain_rig x;

	(void)state;
	drain_new(&x, 0);
	add_idle_machines(&x, 1);
	drain_submit_row(&x, id_a, short_row("p", 1, 500));
	drain_advance_joining(&x, 500);
	drain_submit_row(&x, drain_id_other, short_row("backlog", 1, 500));
	drain_advance_joining(&x, 5000);
	assert_int_equal(x.moves, 1);
	assert_int_equal(x.starts, 1);
	drain_free(&x);
}

/* A backlog of minutes waits for one machine while a quiet pool keeps two. */
static void test_backlog_beside_quiet_pools(void **state)
{
	static const struct {
		const char *name;
		uint32_t tasks, estimate_ms;
		uint32_t moves;
	} cases[] = {
		{ "shorter than a move", 3, 500, 0 },
		{ "longer than a move", 10, 500, 1 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct drain_rig x;

		print_message("%s\n", cases[c].name);
		drain_new(&x, 1);
		add_idle_machines(&x, 2);
		drain_submit_row(
			&x, id_a,
			short_row("p", cases[c].tasks, cases[c].estimate_ms));
		drain_advance(&x, 1000);
		assert_int_equal(x.moves, cases[c].moves);
		drain_free(&x);
	}
}

static void list_machine(struct drain_rig *x, const char *name,
			 const char *pool)
{
	drain_list_instance(&x->r, name, pool, NULL);
	drain_add_machine(x, name, pool);
	drain_list_machines(x);
	make_all_usable(&x->r);
}

/*
 * Two pools lack a machine for a wave, and the one that another pool can give
 * goes to the pool that has just begun to lack it.
 */
static void test_longest_lack_goes_last(void **state)
{
	static const char *const old[] = { "o-0" };
	static const char *const young[] = { "i-0" };
	Fleet__JobRow *row = drain_row(1, 0);
	struct drain_rig x;

	(void)state;
	drain_new(&x, 1);
	x.pools[1].spare = false;
	list_machine(&x, "o-0", "backlog");
	free(row->queue);
	free(row->pool);
	row->queue = strdup("backlog");
	row->pool = strdup("backlog");
	drain_submit_row(&x, drain_id_other, row);
	drain_submit(&x, id_a, 1);
	drain_advance(&x, 200);
	assert_int_equal(x.starts, 2);
	fleet_add_wave(x.f, "wave/1", 1, 1, 20000, old, 1, x.r.now);
	drain_advance(&x, 1000);
	fleet_add_wave(x.f, "wave/2", 2, 1, 20000, young, 1, x.r.now);
	drain_advance(&x, 500);
	assert_int_equal(x.moves, 0);
	list_machine(&x, "d-0", "spare");
	drain_advance(&x, 500);
	assert_int_equal(x.moves, 1);
	assert_string_equal(x.moved_to, "backlog");
	drain_free(&x);
}

/* Lists an instance with an accelerator besides what others have. */
static void add_machine(struct drain_rig *x, const char *id, const char *pool)
{
	struct sched_instance_info info = {
		.id = id,
		.address = "a:1",
		.zone = "z",
		.pool = pool,
		.machine = id,
		.started_unix_ms = x->r.started_unix_ms,
		.capacity = { 4000, 4000, 1 },
		.label_count = 1,
		.labels = { "r1" },
	};

	sched_instance_listed(x->r.s, &info, x->r.now);
	drain_add_machine(x, id, pool);
}

static Fleet__JobRow *row_of_size(uint32_t tasks, uint32_t mem, uint32_t gpu,
				  uint32_t estimate_ms)
{
	Fleet__JobRow *row = job_row(tasks, 1, false);

	row->steps[0]->cpu = 100;
	row->steps[0]->mem = mem;
	row->steps[0]->gpu = gpu;
	row->steps[0]->estimate_ms = estimate_ms;
	return row;
}

/* Jobs wait for good, as CPU is free where memory or accelerators are not. */
static void test_full_by_memory_beside_idle_machines(void **state)
{
	static const struct {
		const char *name;
		uint32_t lasting, lasting_mem, lasting_gpu; /* tasks; of each */
		uint32_t tasks, mem, gpu;
		uint32_t estimate_ms;
		uint32_t moves;
	} cases[] = {
		{ "long-running tasks leave too little memory", 2, 3000, 0, 1,
		  2000, 0, 500, 1 },
		{ "they take the accelerators", 2, 100, 1, 1, 100, 1, 500, 1 },
		{ "two jobs get one machine first", 2, 3000, 0, 2, 2000, 0, 100,
		  1 },
		{ "they leave enough", 2, 1000, 0, 1, 2000, 0, 500, 0 },
		{ "memory is free on one instance", 1, 3000, 0, 1, 2000, 0, 500,
		  0 },
		{ "a short queue by memory", 0, 0, 0, 3, 3000, 0, 100, 0 },
		{ "a backlog by memory", 0, 0, 0, 10, 3000, 0, 2000, 1 },
		{ "a backlog by accelerators", 0, 0, 0, 10, 10, 1, 2000, 1 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		Fleet__JobRow *row;
		struct drain_rig x;

		print_message("%s\n", cases[c].name);
		drain_new(&x, 0);
		add_machine(&x, "i-0", "p");
		add_machine(&x, "i-1", "p");
		add_machine(&x, "b-0", "backlog");
		add_machine(&x, "b-1", "backlog");
		make_all_usable(&x.r);
		drain_list_machines(&x);
		if (cases[c].lasting) {
			row = row_of_size(cases[c].lasting,
					  cases[c].lasting_mem,
					  cases[c].lasting_gpu, 500);
			row->steps[0]->lasting = true;
			drain_submit_row(&x, drain_id_other, row);
			drain_advance(&x, 500);
			assert_int_equal(x.starts, cases[c].lasting);
		}
		drain_submit_row(&x, id_a,
				 row_of_size(cases[c].tasks, cases[c].mem,
					     cases[c].gpu,
					     cases[c].estimate_ms));
		drain_advance(&x, 500);
		assert_int_equal(x.moves, cases[c].moves);
		drain_free(&x);
	}
}

/* A pool whose machines are full by memory gives one to another pool. */
static void test_surplus_of_pool_full_by_memory(void **state)
{
	struct fleet_stats stats;
	struct drain_rig x;

	(void)state;
	drain_new(&x, 3);
	add_idle_machines(&x, 1);
	drain_submit_row(&x, id_a, row_of_size(4, 3000, 0, 2000));
	drain_advance(&x, 200);
	drain_submit_row(&x, drain_id_other, short_row("backlog", 10, 500));
	drain_advance(&x, 500);
	fleet_stats(x.f, &stats);
	assert_int_equal(stats.draining + x.moves, 0);
	drain_free(&x);
}

/*
 * A task is stopped without another place while a machine that another pool can
 * give is away for its maintenance.
 */
static void test_stopped_while_a_machine_is_away(void **state)
{
	static const char *const full[] = { "i-0" };
	static const char *const idle[] = { "d-0" };
	struct drain_rig x;

	(void)state;
	drain_new(&x, 1);
	x.pools[1].spare = false;
	drain_submit(&x, id_a, 1);
	drain_advance(&x, 200);
	assert_int_equal(x.starts, 1);
	drain_list_instance(&x.r, "d-0", "spare", NULL);
	drain_add_machine(&x, "d-0", "spare");
	drain_list_machines(&x);
	drain_advance(&x, 100);
	fleet_add_wave(x.f, "wave/1", 1, 1, 2000, idle, 1, x.r.now);
	fleet_add_wave(x.f, "wave/2", 2, 1, 20000, full, 1, x.r.now - 9000);
	drain_advance(&x, 40);
	assert_int_equal(x.upkeeps, 1);
	sched_instance_unlisted(x.r.s, "d-0", x.r.now);
	x.runs.silent = "d-0";
	drain_advance(&x, 3200);
	assert_int_equal(x.stops, 0);
	x.runs.silent = NULL;
	x.r.started_unix_ms++;
	drain_list_instance(&x.r, "d-0", "spare", NULL);
	drain_advance(&x, 500);
	assert_int_equal(x.moves, 1);
	assert_string_equal(x.moved_to, "p");
	x.r.started_unix_ms++;
	add_instance(&x.r, "d-0", false);
	drain_advance(&x, 2500);
	assert_int_equal(x.stops, 1);
	assert_int_equal(x.starts, 2);
	drain_free(&x);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_backlog_keeps_idle_machines),
		cmocka_unit_test(test_pool_without_machine_beside_idle_ones),
		cmocka_unit_test(test_last_machine_leaves_accepted_job),
		cmocka_unit_test(test_last_machine_goes_back_at_once),
		cmocka_unit_test(test_backlog_beside_quiet_pools),
		cmocka_unit_test(test_full_by_memory_beside_idle_machines),
		cmocka_unit_test(test_surplus_of_pool_full_by_memory),
		cmocka_unit_test(test_reservation_outlives_move),
		cmocka_unit_test(test_old_list_hides_move),
		cmocka_unit_test(test_empty_pool_gets_no_machine),
		cmocka_unit_test(test_waiting_task_empties_other_pool),
		cmocka_unit_test(test_a_machine_for_each_job),
		cmocka_unit_test(test_machines_despite_room),
		cmocka_unit_test(test_machines_by_memory),
		cmocka_unit_test(test_expected_machine_is_lost),
		cmocka_unit_test(test_longest_lack_goes_last),
		cmocka_unit_test(test_stopped_while_a_machine_is_away),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
