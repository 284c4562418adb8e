/*
 * What a new leader may take for not running before all instances have
 * reported to it. Guards against a task that is started while an instance that
 * has not reported may run it.
 */
#include "test/rig/sched_rig.h"

static void list_in_pool(struct rig *r, const char *id, const char *pool)
{
	struct sched_instance_info info = { .id = id,
					    .address = "a:1",
					    .zone = "z",
					    .pool = pool,
					    .machine = id,
					    .capacity = { 4000, 4000, 0 },
					    .label_count = 1,
					    .labels = { "r1" } };

	sched_instance_listed(r->s, &info, r->now);
}

static void report_empty(struct rig *r, const char *id)
{
	struct sched_instance_load load;
	uint32_t slot = 0;

	while (sched_instance_next(r->s, &slot, &load))
		if (!strcmp(load.id, id))
			break;
	assert_string_equal(load.id, id);
	next_poll(r, load.instance);
	report(r, load.instance, NULL, 0, NULL, 0, r->now);
	r->now++;
	sched_leader_confirmed(r->s, r->now);
}

/* When the pool of i-1 changes, and how often. */
static const struct {
	const char *name;
	bool before_report; /* of i-0; else after it */
	const char *pools[3];
} changes[] = {
	{ "after the report of the others", false, { "other" } },
	{ "before the report of the others", true, { "other" } },
	{ "twice", true, { "other", "third" } },
	{ "there and back", true, { "other", "p" } },
	{ "back and away again", false, { "other", "p", "other" } },
};

static void change_pools(struct rig *r, size_t c)
{
	size_t n;

	for (n = 0; n < 3 && changes[c].pools[n]; n++)
		list_in_pool(r, "i-1", changes[c].pools[n]);
}

/* The directory names another pool than the machine list did. */
static void test_unreported_changes_pool(void **state)
{
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(changes) / sizeof(changes[0]); c++) {
		struct rig r;

		rig_new(&r);
		add_instance(&r, "i-0", false);
		sched_load_job(r.s, id_a, job_row(1, 1, false), NULL, r.now);
		sched_become_leader(r.s, 2, false, r.now);
		sched_expect_instance(r.s, "i-1", "p", "i-1", r.now);
		sched_expect_complete(r.s, r.now);
		if (changes[c].before_report)
			change_pools(&r, c);
		report_empty(&r, "i-0");
		if (take_orders(&r))
			fail_msg("%s: started with i-0", changes[c].name);
		if (!changes[c].before_report)
			change_pools(&r, c);
		if (take_orders(&r))
			fail_msg("%s: i-1 has not reported", changes[c].name);
		report_empty(&r, "i-1");
		if (take_orders(&r) != 1)
			fail_msg("%s: not started", changes[c].name);
		talloc_free(r.s);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unreported_changes_pool),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
