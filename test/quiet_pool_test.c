/*
 * Long-running tasks of pools whose queue is quiet: a machine is requested for
 * one that waits, another pool gives one, and it comes.
 */
#include <stdlib.h>
#include <string.h>

#include "test/rig/course_rig.h"

/* An owed long-running task runs again within this time. */
#define BOUND_MS 6000u
#define SETTLE_MS 15000u /* a leader knows all instances by then */

/* One of them fills an instance by memory. */
static const struct course_job lasting = {
	.lasting = true, .count = 1, .cpu = 1000, .mem = 40000
};

static uint32_t submit_lasting(struct course_rig *x, uint32_t pool,
			       uint32_t count)
{
	struct course_job job = lasting;

	job.pool = pool;
	job.count = count;
	return course_submit(x, &job);
}

static void add_machines(struct course_rig *x, uint32_t pool, uint32_t count)
{
	while (count--)
		course_add_machine(x, pool);
}

/* More work than the pool can do in the test, in jobs of 16 tasks. */
static void submit_backlog(struct course_rig *x, uint32_t pool, uint32_t jobs,
			   uint32_t run_ms)
{
	struct course_job job = { .pool = pool,
				  .count = 16,
				  .cpu = 4000,
				  .mem = 500,
				  .run_ms = run_ms };

	while (jobs--)
		course_submit(x, &job);
}

/* Silent instances: one of the pool is listed, and never reports */

static void check_silent_instance(uint32_t epoch, uint32_t settle_ms)
{
	struct course_options options = { .pools = 1, .epoch = epoch };
	struct course_rig x;
	uint32_t job;

	course_new(&x, &options);
	add_machines(&x, 0, 1);
	if (!settle_ms)
		course_add_machine(&x, 0)->silent = true;
	add_machines(&x, 1, 3);
	submit_lasting(&x, 0, 1);
	course_advance(&x, 1000 + settle_ms);
	if (settle_ms) {
		course_add_machine(&x, 0)->silent = true;
		course_advance(&x, 500);
	}
	job = submit_lasting(&x, 0, 1);
	course_advance(&x, BOUND_MS);
	assert_int_equal(x.jobs[job].tasks[0].runs, 1);
	course_free(&x);
}

static void test_silent_instance_stops_requests_of_first_leader(void **state)
{
	(void)state;
	check_silent_instance(1, 0);
}

static void test_silent_instance_stops_requests_after_takeover(void **state)
{
	(void)state;
	check_silent_instance(2, 0);
}

static void test_silent_instance_that_joins_stops_requests(void **state)
{
	(void)state;
	check_silent_instance(1, SETTLE_MS);
	check_silent_instance(2, SETTLE_MS);
}

/* An empty instance that the task may not use counts as a place for it */

enum no_place { REFUSES_STARTS, IS_DENIED, LACKS_LABEL };

static void check_empty_instance(enum no_place why)
{
	struct course_options options = { .pools = 2,
					  .advised = why == IS_DENIED };
	struct course_job job = lasting;
	struct course_machine *m;
	struct course_rig x;
	uint32_t n;

	course_new(&x, &options);
	job.label = why == LACKS_LABEL ? "gpu" : NULL;
	course_add_machine(&x, 0)->label = "gpu";
	m = course_add_machine(&x, 0);
	m->refuses_starts = why == REFUSES_STARTS;
	m->denied = why == IS_DENIED;
	for (n = 0; n < 4; n++)
		course_add_machine(&x, 1)->label = "gpu";
	course_submit(&x, &job);
	course_advance(&x, 2000);
	n = course_submit(&x, &job);
	course_advance(&x, BOUND_MS);
	assert_int_equal(x.jobs[n].tasks[0].runs, 1);
	course_free(&x);
}

static void test_empty_instance_refuses_starts(void **state)
{
	(void)state;
	check_empty_instance(REFUSES_STARTS);
}

static void test_empty_instance_is_denied(void **state)
{
	(void)state;
	check_empty_instance(IS_DENIED);
}

static void test_empty_instance_lacks_label(void **state)
{
	(void)state;
	check_empty_instance(LACKS_LABEL);
}

/* Empty instances that lack different resources count as room together. */
static void test_empty_instances_each_lack_a_resource(void **state)
{
	static const struct {
		const char *name;
		bool less_cpu, less_mem;
	} cases[] = {
		{ "less CPU", true, false },
		{ "less memory", false, true },
		{ "one has less CPU, the other less memory", true, true },
	};
	struct course_options options = { .pools = 2 };
	struct course_job large = lasting;
	size_t c;

	(void)state;
	large.count = 2;
	large.cpu = COURSE_CPU * 3 / 4;
	large.mem = COURSE_MEM * 3 / 4;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct course_rig x;
		uint32_t job;

		print_message("%s\n", cases[c].name);
		course_new(&x, &options);
		add_machines(&x, 0, 1);
		add_machines(&x, 1, 4);
		if (cases[c].less_cpu)
			course_add_machine(&x, 0)->capacity_cpu /= 2;
		if (cases[c].less_mem)
			course_add_machine(&x, 0)->capacity_mem /= 2;
		job = course_submit(&x, &large); /* one fits on a machine */
		course_advance(&x, BOUND_MS);
		assert_int_equal(x.jobs[job].tasks[0].runs, 1);
		assert_int_equal(x.jobs[job].tasks[1].runs, 1);
		course_free(&x);
	}
}

/* The request ends for 30 s while no other pool can give a machine. */
static void test_request_beside_refusing_instance_is_not_repeated(void **state)
{
	static const struct {
		const char *name;
		uint32_t refusing; /* empty instances that refuse starts */
	} cases[] = {
		{ "no instance has room", 0 },
		{ "an empty one refuses starts", 1 },
	};
	struct course_options options = { .pools = 2 };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct course_job busy = { .pool = 1,
					   .count = 4,
					   .cpu = 14000,
					   .mem = 500,
					   .run_ms = 6000 };
		struct course_rig x;
		uint32_t job;

		print_message("%s\n", cases[c].name);
		course_new(&x, &options);
		add_machines(&x, 0, 1);
		add_machines(&x, 1, 4);
		if (cases[c].refusing)
			course_add_machine(&x, 0)->refuses_starts = true;
		submit_lasting(&x, 0, 1);
		course_advance(&x, 1000);
		course_submit(&x, &busy);
		course_advance(&x, 500);
		job = submit_lasting(&x, 0, 1);
		course_advance(&x, 2 * BOUND_MS);
		assert_int_equal(x.jobs[job].tasks[0].runs, 1);
		course_free(&x);
	}
}

/* One machine after the other is moved to a pool for a task that none takes. */
static void test_machines_for_a_task_that_all_refuse(void **state)
{
	static const enum no_place reasons[] = { REFUSES_STARTS, IS_DENIED };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(reasons) / sizeof(reasons[0]); c++) {
		struct course_options options = {
			.pools = 1, .advised = reasons[c] == IS_DENIED
		};
		struct course_rig x;
		uint32_t n;

		course_new(&x, &options);
		add_machines(&x, 0, 1);
		add_machines(&x, 1, 6);
		for (n = 0; n < x.machine_count; n++) {
			x.machines[n].refuses_starts = !options.advised;
			x.machines[n].denied = options.advised;
		}
		submit_lasting(&x, 0, 1);
		course_advance(&x, 30000);
		assert_in_range(x.moves_to[0], 0, 1);
		course_free(&x);
	}
}

/* Donors */

/*
 * A pool with a backlog is not asked for a machine as long as a task of its own
 * waits, which no machine that it would give away could run.
 */
static void test_pool_with_waiting_task_gives_none(void **state)
{
	struct course_options options = { .pools = 2 };
	struct course_job labelled = lasting;
	struct course_rig x;
	uint32_t job;

	(void)state;
	course_new(&x, &options);
	labelled.pool = 1;
	labelled.label = "gpu";
	labelled.count = 2;
	course_add_machine(&x, 1)->label = "gpu";
	add_machines(&x, 1, 5);
	add_machines(&x, 0, 1);
	course_submit(&x, &labelled);
	submit_lasting(&x, 0, 1);
	submit_backlog(&x, 1, 40, 1000);
	course_advance(&x, 3000);
	job = submit_lasting(&x, 0, 1);
	course_advance(&x, BOUND_MS);
	assert_int_equal(x.jobs[job].tasks[0].runs, 1);
	course_free(&x);
}

/* The pool that looks like the best donor has no machine that may leave. */
static void test_pool_without_movable_machine_is_asked_first(void **state)
{
	struct course_options options = { .pools = 3 };
	struct course_rig x;
	uint32_t job, n;

	(void)state;
	course_new(&x, &options);
	add_machines(&x, 0, 1);
	add_machines(&x, 1, 6);
	add_machines(&x, 2, 3);
	submit_lasting(&x, 0, 1);
	submit_backlog(&x, 1, 40, 1000);
	submit_backlog(&x, 2, 40, 1000);
	course_advance(&x, 3000);
	for (n = 1; n < 7; n++)
		x.machines[n].silent = true;
	job = submit_lasting(&x, 0, 1);
	course_advance(&x, BOUND_MS);
	assert_int_equal(x.jobs[job].tasks[0].runs, 1);
	course_free(&x);
}

/* Each machine of the other pool runs a task that has room on the next one. */
static void test_all_machines_of_quiet_pools_are_pinned(void **state)
{
	struct course_options options = { .pools = 2 };
	struct course_job small = lasting;
	struct course_rig x;
	uint32_t job;

	(void)state;
	course_new(&x, &options);
	add_machines(&x, 0, 1);
	add_machines(&x, 1, 6);
	small.pool = 1;
	small.count = 6;
	small.mem = 20000;
	submit_lasting(&x, 0, 1);
	course_submit(&x, &small);
	course_advance(&x, 6000); /* a task that has just started isn't moved */
	job = submit_lasting(&x, 0, 1);
	course_advance(&x, BOUND_MS);
	assert_int_equal(x.jobs[job].tasks[0].runs, 1);
	assert_int_equal(x.moves_to[0], 1);
	course_free(&x);
}

/* Each of two pools with a waiting task gives the other a busy machine. */
static void test_waiting_pools_exchange_machines(void **state)
{
	struct course_options options = { .pools = 2 };
	struct course_rig x;
	uint32_t pool;

	(void)state;
	course_new(&x, &options);
	for (pool = 0; pool < 2; pool++) {
		struct course_job wide = { .pool = pool,
					   .count = 4,
					   .cpu = 12000,
					   .mem = 20000,
					   .run_ms = 4000 };

		add_machines(&x, pool, 4);
		submit_lasting(&x, pool, 1);
		course_submit(&x, &wide);
	}
	course_advance(&x, 500);
	for (pool = 0; pool < 2; pool++) {
		struct course_job second = lasting;

		second.pool = pool;
		second.cpu = 6000;
		second.mem = 30000;
		course_submit(&x, &second);
	}
	course_advance(&x, 10000);
	assert_true(!x.moves_to[0] || !x.moves_to[1]);
	course_free(&x);
}

/* Long-running tasks fill a pool, whose capacity counts as if it were free. */
static void test_job_waits_beside_long_running_tasks(void **state)
{
	struct course_options options = { .pools = 2 };
	struct course_job wide = lasting;
	struct course_job job = {
		.count = 1, .cpu = 8000, .mem = 500, .run_ms = 1000
	};
	uint32_t machines;

	(void)state;
	wide.cpu = 12000;
	for (machines = 1; machines < 6; machines++) {
		struct course_rig x;

		print_message("%u machines\n", machines);
		course_new(&x, &options);
		add_machines(&x, 0, machines);
		add_machines(&x, 1, 6);
		wide.count = machines;
		course_submit(&x, &wide);
		course_advance(&x, 2000);
		course_submit(&x, &job);
		course_advance(&x, 2 * BOUND_MS);
		assert_int_equal(x.moves_to[0], 1);
		course_free(&x);
	}
}

/* Machines that are counted and don't come */

/* tasks of run_ms on all machines of the donor, one of long_ms on its first */
static void check_busy_donor(uint32_t run_ms, uint32_t long_ms)
{
	struct course_options options = { .pools = 2 };
	struct course_job slow = {
		.pool = 1, .count = 1, .cpu = 100, .mem = 500, .run_ms = long_ms
	};
	struct course_rig x;
	uint32_t job, n;

	course_new(&x, &options);
	add_machines(&x, 0, 1);
	add_machines(&x, 1, 4);
	submit_lasting(&x, 0, 1);
	course_advance(&x, 400);
	if (long_ms)
		course_submit(&x, &slow);
	for (n = 0; n < 5; n++) {
		course_advance(&x, run_ms / 5);
		submit_backlog(&x, 1, 20, run_ms);
	}
	job = submit_lasting(&x, 0, 1);
	course_advance(&x, BOUND_MS);
	assert_int_equal(x.jobs[job].tasks[0].runs, 1);
	course_free(&x);
}

/*
 * The machine with the least in use is drained again and again, as a task on it
 * takes long, while others would be idle soon.
 */
static void test_machine_with_long_task_is_chosen_again(void **state)
{
	(void)state;
	check_busy_donor(900, 0);
	check_busy_donor(900, 20000);
}

/* No machine of the donor is idle within the time for which one is drained. */
static void test_machines_are_busy_for_longer(void **state)
{
	(void)state;
	check_busy_donor(1500, 0);
	check_busy_donor(3300, 0);
}

/* One that the platform doesn't move is waited for, while others could come. */
static void check_order(enum fleet_result result, bool list_fails)
{
	struct course_options options = { .pools = 1 };
	struct course_rig x;
	uint32_t job;

	course_new(&x, &options);
	add_machines(&x, 0, 1);
	add_machines(&x, 1, 3);
	x.machines[1].result = result;
	submit_lasting(&x, 0, 1);
	course_advance(&x, 3000);
	x.list_fails = list_fails;
	job = submit_lasting(&x, 0, 1);
	course_advance(&x, BOUND_MS);
	assert_int_equal(x.jobs[job].tasks[0].runs, 1);
	course_free(&x);
}

static void test_refused_machine_is_chosen_again(void **state)
{
	(void)state;
	check_order(FLEET_REFUSED, false);
}

static void test_machine_without_answers_is_chosen_again(void **state)
{
	(void)state;
	check_order(FLEET_UNKNOWN, false);
}

static void test_open_order_is_waited_for_without_a_list(void **state)
{
	(void)state;
	check_order(FLEET_UNKNOWN, true);
}

/* Runs that have ended: a wave stops a task, and another instance has room */

enum stop_fault { SILENT_AFTER_STOP, STOP_UNANSWERED, BOTH, STORE_SLOW };

static void check_stop(enum stop_fault fault)
{
	static const char *const machines[] = { "m-0" };
	struct course_options options = { .pools = 1 };
	struct course_machine *m;
	struct course_rig x;
	uint32_t job;

	course_new(&x, &options);
	m = course_add_machine(&x, 0);
	job = submit_lasting(&x, 0, 1);
	course_advance(&x, 1000);
	assert_ptr_equal(course_machine_of(&x, job, 0), m);
	add_machines(&x, 0, 2);
	course_advance(&x, 6000); /* a task that has just started isn't moved */
	m->silent_after_stop = fault == SILENT_AFTER_STOP || fault == BOTH;
	m->stop_unanswered = fault == STOP_UNANSWERED || fault == BOTH;
	x.store_slow = fault == STORE_SLOW;
	fleet_add_wave(x.f, "wave/1", 1, 1, 20000, machines, 1, x.now);
	course_advance(&x, 200);
	assert_ptr_not_equal(course_machine_of(&x, job, 0), m);
	course_advance(&x, BOUND_MS - 200);
	assert_int_equal(x.jobs[job].tasks[0].starts, 2);
	assert_int_equal(x.jobs[job].tasks[0].runs, 1);
	course_free(&x);
}

static void test_end_is_not_reported(void **state)
{
	(void)state;
	check_stop(SILENT_AFTER_STOP);
	check_stop(BOTH);
}

static void test_stop_is_not_answered(void **state)
{
	(void)state;
	check_stop(STOP_UNANSWERED);
}

static void test_end_is_not_written(void **state)
{
	(void)state;
	check_stop(STORE_SLOW);
}

/* The course of 2026-12-05: a task is stopped in the quiet part of its pool */

#define COURSE_ZONES 5u
#define TURN_MS 4500u
#define TROUBLE_MS 13750u /* from the start of traffic */
#define TROUBLE_END_MS 14000u
#define COURSE_MS 30000u

enum trouble { BY_WAVE, BY_EVACUATION, BY_CAP, BY_CANCEL, BY_CRASH };

struct course {
	struct course_rig x;
	uint64_t begin_ms;
	uint64_t random;
	double owed[COURSE_POOLS_MAX]; /* work, in millicores x ms */
	const char *wave[COURSE_MACHINES_MAX];
};

static uint32_t draw(struct course *c, uint32_t low, uint32_t high)
{
	c->random = c->random * 6364136223846793005u + 1442695040888963407u;
	return low + (uint32_t)(c->random >> 33) % (high - low + 1);
}

/* Each pool has its turn; in that of pool 2 more arrives than the site can do.
 */
static double demand_of(uint32_t pool, uint64_t ms)
{
	uint64_t turn = (ms + 3 * TURN_MS - 6000) / TURN_MS % 4;
	double peak = pool == 2 ? 1500e3 : 800e3;

	return turn == (pool + 3) % 4 ? peak : peak / 100;
}

static void submit_work(struct course *c, uint32_t pool)
{
	struct course_job job = { .pool = pool,
				  .count = draw(c, 1, 15),
				  .cpu = draw(c, 1000, 3400),
				  .mem = draw(c, 2000, 14000),
				  .run_ms = pool % 2 ? draw(c, 300, 2300)
						     : draw(c, 200, 1100) };

	c->owed[pool] -= (double)job.count * job.cpu * job.run_ms;
	course_submit(&c->x, &job);
}

static void advance_course(struct course *c, uint32_t to_ms)
{
	uint32_t p;

	while (c->x.now < c->begin_ms + to_ms) {
		for (p = 0; p < 4; p++) {
			c->owed[p] += demand_of(p, c->x.now - c->begin_ms) *
				      COURSE_TICK_MS;
			while (c->owed[p] > 0)
				submit_work(c, p);
		}
		course_advance(&c->x, COURSE_TICK_MS);
	}
}

/*
 * Two tasks fill an instance. Each pool has the machines that its tasks need
 * and one more; pool 2 also has those that the pools have by turns. all_pinned:
 * the machines are spread evenly before the tasks are, so that each runs one.
 */
static void set_up_course(struct course *c, uint64_t seed, bool all_pinned)
{
	static const char *const zones[COURSE_ZONES] = { "z0", "z1", "z2", "z3",
							 "z4" };
	struct course_options options = { .pools = 4 };
	uint32_t p, n;

	memset(c, 0, sizeof(*c));
	c->random = seed;
	course_new(&c->x, &options);
	for (p = 0; p < 4; p++) {
		uint32_t tasks = 0;

		for (n = 0; n < 2; n++) {
			struct course_job job = lasting;

			job.pool = p;
			job.count = draw(c, 12, 20);
			job.cpu = draw(c, 600, 2400);
			job.mem = draw(c, 24000, 32000);
			job.spread_limit = draw(c, 1, 3);
			job.may_miss = 3;
			course_submit(&c->x, &job);
			tasks += job.count;
		}
		add_machines(&c->x, p, all_pinned ? 21 + p : tasks / 2 + 1);
	}
	course_advance(&c->x, 1000);
	if (!all_pinned)
		add_machines(&c->x, 2,
			     COURSE_MACHINES_MAX - c->x.machine_count);
	for (n = 0; n < c->x.machine_count; n++)
		c->x.machines[n].zone = zones[n % COURSE_ZONES];
	course_advance(&c->x, 2000);
	c->begin_ms = c->x.now;
}

static void begin_wave(struct course *c)
{
	uint32_t count = c->x.machine_count * 2 / 5;
	uint32_t n;

	for (n = 0; n < count; n++)
		c->wave[n] = c->x.machines[n * 5 / 2].name;
	fleet_add_wave(c->x.f, "wave/1", 1, count / 4, 20000, c->wave, count,
		       c->x.now);
}

static void crash_machine_of_first_run(struct course *c)
{
	struct course_machine *m = NULL;
	uint32_t t;

	for (t = 0; !m && t < c->x.jobs[0].count; t++)
		m = course_machine_of(&c->x, 0, t);
	assert_non_null(m);
	course_crash(&c->x, m, c->x.now + 60000);
}

static void begin_trouble(struct course *c, enum trouble trouble)
{
	static const char *const zone[] = { "z1" };

	if (trouble == BY_EVACUATION) {
		sched_set_evacuated(c->x.s, zone, 1, c->x.now);
		fleet_set_evacuated(c->x.f, zone, 1);
	}
	if (trouble == BY_CAP)
		c->x.workspaces[0].cap.mem = 1000;
	if (trouble == BY_CANCEL)
		course_cancel(&c->x, 1);
	if (trouble == BY_CAP || trouble == BY_CRASH)
		crash_machine_of_first_run(c);
}

static void end_trouble(struct course *c)
{
	sched_set_evacuated(c->x.s, NULL, 0, c->x.now);
	fleet_set_evacuated(c->x.f, NULL, 0);
	c->x.workspaces[0].cap.mem = 0;
}

static void play_course(struct course *c, enum trouble trouble, uint64_t seed,
			bool all_pinned)
{
	set_up_course(c, seed, all_pinned);
	advance_course(c, 6000);
	begin_wave(c);
	c->x.count_from_ms = c->x.now;
	memset(&c->x.longest, 0, sizeof(c->x.longest));
	advance_course(c, TROUBLE_MS);
	begin_trouble(c, trouble);
	advance_course(c, TROUBLE_END_MS);
	end_trouble(c);
	advance_course(c, COURSE_MS);
}

static uint32_t seeds = 3; /* of each case */

/* Returns how many of the tasks wait for too long. */
static uint32_t play_cases(bool all_pinned)
{
	static const struct {
		const char *name;
		enum trouble trouble;
	} cases[] = {
		{ "stopped by a wave", BY_WAVE },
		{ "an evacuation that is lifted", BY_EVACUATION },
		{ "a cap that is lowered and raised", BY_CAP },
		{ "a cancelled job of its workspace", BY_CANCEL },
		{ "an instance that goes", BY_CRASH },
	};
	static struct course c;
	uint32_t failed = 0;
	uint64_t seed;
	size_t n;

	for (n = all_pinned ? BY_CRASH : 0;
	     n < sizeof(cases) / sizeof(cases[0]); n++)
		for (seed = 1; seed <= seeds; seed++) {
			const struct course_wait *w = &c.x.longest;

			play_course(&c, cases[n].trouble, seed, all_pinned);
			print_message("%s, seed %u: longest wait %u ms, of it "
				      "%u with a machine requested, %u with "
				      "room; %u lost\n",
				      cases[n].name, (unsigned int)seed,
				      (unsigned int)w->ms,
				      (unsigned int)w->asked_ms,
				      (unsigned int)w->room_ms, c.x.lost);
			failed += c.x.lost || w->ms > BOUND_MS;
			course_free(&c.x);
		}
	return failed;
}

/* A task of the quiet pool waits until its queue's next turn. */
static void test_task_waits_for_the_turn_of_its_queue(void **state)
{
	(void)state;
	assert_int_equal(play_cases(false), 0);
}

/*
 * The same, on a site each of whose machines runs a long-running task, with
 * room beside it on many: no pool gives a machine.
 */
static void test_task_waits_as_all_machines_are_pinned(void **state)
{
	(void)state;
	assert_int_equal(play_cases(true), 0);
}

/* --seeds N: of each case of a course */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_task_waits_for_the_turn_of_its_queue),
		cmocka_unit_test(test_task_waits_as_all_machines_are_pinned),
		cmocka_unit_test(
			test_silent_instance_stops_requests_of_first_leader),
		cmocka_unit_test(
			test_silent_instance_stops_requests_after_takeover),
		cmocka_unit_test(
			test_silent_instance_that_joins_stops_requests),
		cmocka_unit_test(test_empty_instance_refuses_starts),
		cmocka_unit_test(test_empty_instance_is_denied),
		cmocka_unit_test(test_empty_instance_lacks_label),
		cmocka_unit_test(test_empty_instances_each_lack_a_resource),
		cmocka_unit_test(
			test_request_beside_refusing_instance_is_not_repeated),
		cmocka_unit_test(test_waiting_pools_exchange_machines),
		cmocka_unit_test(test_job_waits_beside_long_running_tasks),
		cmocka_unit_test(test_machines_for_a_task_that_all_refuse),
		cmocka_unit_test(test_pool_with_waiting_task_gives_none),
		cmocka_unit_test(
			test_pool_without_movable_machine_is_asked_first),
		cmocka_unit_test(test_all_machines_of_quiet_pools_are_pinned),
		cmocka_unit_test(test_machine_with_long_task_is_chosen_again),
		cmocka_unit_test(test_machines_are_busy_for_longer),
		cmocka_unit_test(test_refused_machine_is_chosen_again),
		cmocka_unit_test(test_machine_without_answers_is_chosen_again),
		cmocka_unit_test(test_open_order_is_waited_for_without_a_list),
		cmocka_unit_test(test_end_is_not_reported),
		cmocka_unit_test(test_stop_is_not_answered),
		cmocka_unit_test(test_end_is_not_written),
	};

	if (argc == 3 && !strcmp(argv[1], "--seeds"))
		seeds = (uint32_t)strtoul(argv[2], NULL, 10);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
