/*
 * Placement beside steps that wait, in virtual time. Guards against steps that
 * can't be placed at present and keep others of their pool, for which there is
 * room, from ever being placed.
 */
#include "test/rig/sched_rig.h"

#define PASS_MS 50u
/* Work that could be done starts within this time. */
#define START_MS 3000u

static const char id_other[] = "ffffffffffffffff";

/* What the steps in front wait for. */
enum wait {
	WAIT_LABEL,
	WAIT_ROOM,
	WAIT_CAP,
	WAIT_SPREAD,
	WAIT_TICKET,
	WAIT_GANG
};

struct site {
	struct rig r;
	struct config_queue queues[2]; /* the second has an adviser */
	struct config_workspace workspaces[3];
	bool started; /* the other job */
};

static void site_new(struct site *x)
{
	struct rig *r = &x->r;
	uint32_t i;

	memset(x, 0, sizeof(*x));
	rig_new(r);
	for (i = 0; i < 2; i++)
		x->queues[i] = r->queue;
	x->queues[1].name = "advised";
	x->queues[1].prefix = "/advised";
	x->queues[1].needs_advice = true;
	x->workspaces[0] = (struct config_workspace){ .name = "w" };
	x->workspaces[1] = (struct config_workspace){ .name = "capped",
						      .cap = { 500, 0, 0 } };
	x->workspaces[2] = (struct config_workspace){ .name = "other" };
	r->config.queue_count = 2;
	r->config.queues = x->queues;
	r->config.workspace_count = 3;
	r->config.workspaces = x->workspaces;
	sched_configure(r->s, &r->config, r->now);
	rig_become_leader(r);
	make_all_usable(r);
}

static void set_text(char **field, const char *text)
{
	free(*field);
	*field = strdup(text);
}

static void hand_in(struct site *x, const char *id, Fleet__JobRow *row)
{
	uint32_t after;

	assert_int_equal(
		sched_submit(x->r.s, id, row, x->r.now, x->r.now, &after),
		SUBMIT_ACCEPTED);
}

static Fleet__JobRow *waiting_row(enum wait wait, uint32_t n)
{
	Fleet__JobRow *row = job_row(1, 1, true);
	Fleet__Step *st = row->steps[0];

	st->may_miss = 0;
	st->cpu = 1;
	switch (wait) {
	case WAIT_LABEL:
		set_text(&st->label, "special");
		break;
	case WAIT_ROOM:
		st->cpu = 4000 - n % 1000; /* each needs less than the last */
		break;
	case WAIT_CAP:
		st->cpu = 1000;
		set_text(&row->workspace, "capped");
		break;
	case WAIT_SPREAD:
		fleet__job_row__free_unpacked(row, NULL);
		row = job_row(3, 1, true);
		row->steps[0]->cpu = 1;
		row->steps[0]->mem = 1;
		row->steps[0]->spread_limit = 1;
		break;
	case WAIT_TICKET:
		set_text(&row->queue, "advised");
		break;
	case WAIT_GANG:
		fleet__job_row__free_unpacked(row, NULL);
		row = job_row(4, 1, true);
		row->steps[0]->cpu = 1500;
		row->steps[0]->gang = true;
		break;
	}
	return row;
}

/* A pass; all orders are carried out. */
static void pass(struct site *x)
{
	struct rig *r = &x->r;
	uint32_t i;

	while (take_orders(r)) {
		for (i = 0; i < r->order_count; i++)
			if (!strncmp(r->orders[i].task, id_other,
				     strlen(id_other)))
				x->started = true;
		answer_orders(r, ORDER_DONE);
	}
	r->now += PASS_MS;
	sched_leader_confirmed(r->s, r->now);
}

/* Takes 2,500 of 4,000 millicores of both instances for good. */
static void occupy(struct site *x)
{
	Fleet__JobRow *row = job_row(2, 1, true);

	row->steps[0]->cpu = 2500;
	row->steps[0]->spread_limit = 1;
	hand_in(x, "00000000000000ff", row);
	write_all(&x->r);
	pass(x);
}

static void test_waiting_steps_hold_up_no_others(void **state)
{
	static const struct {
		const char *name;
		enum wait wait;
		uint32_t jobs;
	} cases[] = {
		{ "a label", WAIT_LABEL, 70 },
		{ "a label, many", WAIT_LABEL, 3000 },
		{ "room", WAIT_ROOM, 70 },
		{ "room, many", WAIT_ROOM, 3000 },
		{ "the cap", WAIT_CAP, 2100 },
		{ "the cap, many", WAIT_CAP, 5000 },
		{ "spread", WAIT_SPREAD, 70 },
		{ "spread, many", WAIT_SPREAD, 1000 },
		{ "a ticket", WAIT_TICKET, 70 },
		{ "a ticket, many", WAIT_TICKET, 3000 },
		{ "room for a gang", WAIT_GANG, 70 },
		{ "room for a gang, many", WAIT_GANG, 1000 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		Fleet__JobRow *row = job_row(1, 1, false);
		struct site x;
		char id[SCHED_ID_BYTES + 1];
		uint32_t n;

		site_new(&x);
		if (cases[c].wait == WAIT_LABEL) {
			/* Its jobs are accepted, then it is lost. */
			struct sched_instance_info info = {
				.id = "i-2",
				.address = "a:1",
				.zone = "z",
				.pool = "p",
				.machine = "i-2",
				.capacity = { 4000, 4000, 0 },
				.label_count = 2,
				.labels = { "special", "r1" },
			};

			sched_instance_listed(x.r.s, &info, x.r.now);
		}
		occupy(&x);
		for (n = 0; n < cases[c].jobs; n++) {
			snprintf(id, sizeof(id), "%016x", 0x1000 + n);
			hand_in(&x, id, waiting_row(cases[c].wait, n));
		}
		sched_instance_unlisted(x.r.s, "i-2", x.r.now);
		set_text(&row->workspace, "other");
		row->steps[0]->cpu = 100;
		hand_in(&x, id_other, row);
		while (sched_change_pending(x.r.s))
			write_all(&x.r);
		for (n = 0; n < START_MS / PASS_MS && !x.started; n++)
			pass(&x);
		if (!x.started)
			fail_msg("%s: not started", cases[c].name);
		talloc_free(x.r.s);
	}
}

/* The instance on which a job of one task is started, "" if on none. */
static const char *placed_on(struct site *x, const char *id, uint32_t cpu,
			     uint32_t mem)
{
	static char instance[16];
	Fleet__JobRow *row = job_row(1, 1, true);
	uint32_t i;

	row->steps[0]->lasting = false;
	row->steps[0]->may_miss = 0;
	row->steps[0]->cpu = cpu;
	row->steps[0]->mem = mem;
	hand_in(x, id, row);
	write_all(&x->r);
	instance[0] = '\0';
	take_orders(&x->r);
	for (i = 0; i < x->r.order_count; i++)
		if (!strncmp(x->r.orders[i].task, id, strlen(id)))
			snprintf(instance, sizeof(instance), "%s",
				 x->r.orders[i].instance_id);
	answer_orders(&x->r, ORDER_DONE);
	x->r.now += PASS_MS;
	sched_leader_confirmed(x->r.s, x->r.now);
	return instance;
}

/*
 * Guards against memory that no task can use as the CPU beside it is taken, and
 * against a change where memory is plentiful: there the instance with least
 * free CPU is filled first, so that others become idle.
 */
static void test_packing_by_cpu_and_memory(void **state)
{
	static const struct {
		const char *name;
		struct amount used[2];
		struct amount tasks[2];
		const char *on[2]; /* "": nowhere */
	} cases[] = {
		{ "CPU beside memory, then memory beside CPU",
		  { { 2500, 500, 0 }, { 2000, 3000, 0 } },
		  { { 1000, 100, 0 }, { 1000, 3000, 0 } },
		  { "i-1", "i-0" } },
		{ "memory beside CPU, then CPU beside memory",
		  { { 2500, 500, 0 }, { 2000, 3000, 0 } },
		  { { 1000, 3000, 0 }, { 1500, 900, 0 } },
		  { "i-0", "i-1" } },
		{ "little memory: least free CPU first",
		  { { 2500, 50, 0 }, { 2000, 300, 0 } },
		  { { 1000, 10, 0 }, { 500, 10, 0 } },
		  { "i-0", "i-0" } },
		{ "memory alike: least free CPU first",
		  { { 2500, 2500, 0 }, { 1000, 1000, 0 } },
		  { { 500, 500, 0 }, { 500, 500, 0 } },
		  { "i-0", "i-0" } },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct site x;
		uint32_t n;

		site_new(&x);
		/* One after the other: what takes i-1 has no room on i-0. */
		sched_instance_unlisted(x.r.s, "i-1", x.r.now);
		for (n = 0; n < 2; n++) {
			char id[SCHED_ID_BYTES + 1];

			snprintf(id, sizeof(id), "%016x", 0x10 + n);
			assert_string_equal(
				placed_on(&x, id,
					  (uint32_t)cases[c].used[n].cpu,
					  (uint32_t)cases[c].used[n].mem),
				n ? "i-1" : "i-0");
			add_instance(&x.r, n ? "i-0" : "i-1", false);
			if (!n)
				sched_instance_unlisted(x.r.s, "i-0", x.r.now);
		}
		x.r.now += 200; /* sums over the pool are computed again */
		sched_leader_confirmed(x.r.s, x.r.now);
		for (n = 0; n < 2; n++) {
			char id[SCHED_ID_BYTES + 1];
			const char *on;

			snprintf(id, sizeof(id), "%016x", 0x20 + n);
			on = placed_on(&x, id, (uint32_t)cases[c].tasks[n].cpu,
				       (uint32_t)cases[c].tasks[n].mem);
			if (strcmp(on, cases[c].on[n]))
				fail_msg("%s: task %u on \"%s\"", cases[c].name,
					 n, on);
		}
		talloc_free(x.r.s);
	}
}

/* Sums over a pool are up to 100 ms old; this task must not wait for them. */
static void test_large_task_starts_once_its_instance_is_usable(void **state)
{
	struct sched_instance_info large = {
		.id = "large",
		.address = "a:1",
		.zone = "z",
		.pool = "p",
		.machine = "large",
		.started_unix_ms = 7,
		.capacity = { 8000, 8000, 0 },
	};
	static const struct {
		const char *name;
		uint32_t cpu, mem;
		bool leaving; /* else reserved */
	} cases[] = {
		{ "reserved, by CPU", 6000, 100, false },
		{ "reserved, by memory", 100, 6000, false },
		{ "leaving, by CPU", 6000, 100, true },
		{ "leaving, by memory", 100, 6000, true },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		instance_handle_t handle;
		struct site x;

		site_new(&x);
		large.leaving = false;
		sched_instance_listed(x.r.s, &large, x.r.now);
		make_all_usable(&x.r);
		handle = find_instance(&x.r, large.id);
		large.leaving = cases[c].leaving;
		sched_instance_listed(x.r.s, &large, x.r.now);
		sched_reserve(x.r.s, handle, !large.leaving, x.r.now);
		assert_string_not_equal(placed_on(&x, "1", 100, 100), "");
		assert_string_equal(
			placed_on(&x, id_other, cases[c].cpu, cases[c].mem),
			"");
		large.leaving = false;
		sched_instance_listed(x.r.s, &large, x.r.now);
		sched_reserve(x.r.s, handle, false, x.r.now);
		pass(&x);
		if (!x.started)
			fail_msg("%s: not started", cases[c].name);
		talloc_free(x.r.s);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_waiting_steps_hold_up_no_others),
		cmocka_unit_test(test_packing_by_cpu_and_memory),
		cmocka_unit_test(
			test_large_task_starts_once_its_instance_is_usable),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
