/*
 * What a job may cost: checked where it is decoded, submitted and loaded.
 */
#include "platform/platform.h"
#include "test/rig/sched_rig.h"

#define BODY_MAX 4096
#define YEAR_OF_SECONDS 31536000u

static const char id_b[] = "000000000000000b";

/* A value that doesn't fit is refused with its field; nothing wraps. */
static void test_decode(void **state)
{
	static const struct {
		const char *body;
		const char *why; /* part of the message; NULL: accepted */
	} cases[] = {
		{ "{\"steps\":[{\"count\":1,\"cpu\":100}]}", NULL },
		{ "{\"steps\":[{\"count\":1}],\"times\":31536000,"
		  "\"startMs\":1780000000000,\"intervalMs\":1000}",
		  NULL },
		{ "{\"steps\":[{\"count\":1}],\"times\":4294967295}", NULL },
		{ "{\"steps\":[{\"count\":1,\"estimateMs\":800.0}]}", NULL },
		{ "{\"steps\":[{\"count\":1}],\"times\":4294967296}",
		  "times is 4294967296, wanted 0 to 4294967295" },
		{ "{\"steps\":[{\"count\":1}],\"times\":-1}", "times is -1" },
		{ "{\"steps\":[{\"count\":1}],\"times\":1.5}", "times is 1.5" },
		{ "{\"steps\":[{\"count\":1}],\"times\":\"8\"}",
		  "times: wanted a number" },
		{ "{\"steps\":[{\"count\":4294967297}]}",
		  "steps[0].count is 4294967297" },
		{ "{\"steps\":[{\"count\":0}]}", "steps[0].count: wanted 1" },
		{ "{\"steps\":[{\"count\":10001}]}", "steps[0].count" },
		{ "{\"steps\":[{\"count\":1},{\"count\":1,"
		  "\"cpu\":4294967396}]}",
		  "steps[1].cpu is 4294967396" },
		{ "{\"steps\":[{\"count\":1,\"memMb\":1e30}]}",
		  "steps[0].memMb" },
		{ "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[1]}]}",
		  "steps[1].after[0]" },
		{ "{\"steps\":[{\"count\":10000},{\"count\":10000},"
		  "{\"count\":1}]}",
		  "sum of all counts is 20001, wanted at most 20000" },
		{ "{\"steps\":[{\"count\":1}],\"times\":3,\"startMs\":1,"
		  "\"intervalMs\":9007199254740992}",
		  "intervalMs" },
		{ "{\"steps\":[{\"count\":1}],"
		  "\"startMs\":18446744073709551616}",
		  "too big integer" },
		{ "{\"steps\":[]}", "steps: has 0" },
		{ "[]", "steps: has 0" },
		{ "", "line 1" },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct status_message why = { "" };
		Fleet__JobRow *row = platform_job_decode(
			cases[c].body, strlen(cases[c].body), &why);

		print_message("%s\n", cases[c].body);
		assert_int_equal(row != NULL, cases[c].why == NULL);
		if (row)
			fleet__job_row__free_unpacked(row, NULL);
		else
			assert_non_null(strstr(why.text, cases[c].why));
	}
}

static Fleet__JobRow *repeated_row(uint32_t tasks, uint32_t times,
				   uint64_t first_due_ms, uint64_t interval_ms)
{
	Fleet__JobRow *row = job_row(tasks, 1, false);

	row->times = times;
	row->first_due_unix_ms = first_due_ms;
	row->interval_ms = interval_ms;
	return row;
}

static uint32_t count_in(const char *text, const char *part)
{
	uint32_t count = 0;

	while ((text = strstr(text, part))) {
		count++;
		text++;
	}
	return count;
}

static uint32_t open_occurrences(const struct rig *r)
{
	char *text = sched_explain(r->s, NULL, id_a);
	uint32_t count = count_in(text, "\"occurrence\":");

	talloc_free(text);
	return count;
}

static void usable_rig(struct rig *r)
{
	rig_new(r);
	r->workspace.cap.cpu = 0;
	rig_become_leader(r);
	make_all_usable(r);
}

/* Ends all runs that were ordered, as done. */
static void end_orders(struct rig *r, uint64_t *end_seq)
{
	uint32_t count = r->order_count;
	uint32_t n;

	answer_orders(r, ORDER_DONE);
	r->now += 10;
	for (n = 0; n < count; n++) {
		struct sched_ended ended = { end_seq[r->orders[n].instance.i]++,
					     r->orders[n].task,
					     r->orders[n].number, SCHED_DONE,
					     "" };

		sched_order_done(r->s, &r->orders[n], ORDER_DONE, 0, r->now,
				 r->now);
		next_poll(r, r->orders[n].instance);
		report(r, r->orders[n].instance, NULL, 0, &ended, 1,
		       r->now - 1);
	}
}

/* What a job holds grows with what is open, not with how often it repeats. */
static void test_window(void **state)
{
	struct rig r;
	uint64_t end_seq[2] = { 1, 1 };
	size_t before;
	uint32_t after, n;

	(void)state;
	usable_rig(&r);
	before = talloc_total_size(r.s);
	assert_int_equal(sched_submit(r.s, id_a,
				      repeated_row(1, YEAR_OF_SECONDS, 1000, 0),
				      r.now, r.now, &after),
			 SUBMIT_ACCEPTED);
	write_all(&r);
	for (n = 0; n < 400; n++) {
		assert_int_not_equal(take_orders(&r), 0);
		r.order_count = 1;
		end_orders(&r, end_seq);
		write_all(&r);
		assert_in_range(open_occurrences(&r), 1, 256);
	}
	assert_in_range(talloc_total_size(r.s) - before, 1, 1 << 20);
	talloc_free(r.s);
}

static const struct bad_row {
	const char *name;
	uint32_t tasks, steps;
	uint32_t after; /* of the last step; 0: as job_row() */
} bad_rows[] = {
	{ "too many tasks in a step", 10001, 1, 0 },
	{ "too many tasks", 100, 300, 0 },
	{ "too many steps", 1, 1001, 0 },
	{ "after a step that doesn't exist", 1, 2, 7 },
};

static Fleet__JobRow *make_bad_row(const struct bad_row *b)
{
	Fleet__JobRow *row = job_row(b->tasks, b->steps, false);

	if (b->after)
		row->steps[b->steps - 1]->after[0] = b->after;
	return row;
}

/* The leader checks what a node of any release sends it. */
static void test_submit(void **state)
{
	uint32_t after;
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(bad_rows) / sizeof(bad_rows[0]); c++) {
		struct rig r;

		usable_rig(&r);
		print_message("%s\n", bad_rows[c].name);
		assert_int_equal(sched_submit(r.s, id_a,
					      make_bad_row(&bad_rows[c]), r.now,
					      r.now, &after),
				 SUBMIT_INVALID);
		assert_false(sched_change_pending(r.s));
		talloc_free(r.s);
	}
}

/* A row that can't be held is set aside; the jobs beside it go on. */
static void test_load(void **state)
{
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(bad_rows) / sizeof(bad_rows[0]); c++) {
		struct rig r;

		rig_new(&r);
		print_message("%s\n", bad_rows[c].name);
		sched_load_job(r.s, id_a, make_bad_row(&bad_rows[c]), NULL,
			       r.now);
		sched_load_job(r.s, id_b, job_row(2, 1, false), NULL, r.now);
		rig_become_leader(&r);
		make_all_usable(&r);
		assert_int_equal(take_orders(&r), 2);
		assert_memory_equal(r.orders[0].task, id_b, SCHED_ID_BYTES);
		assert_int_equal(sched_state(r.s, id_a, "q"),
				 FLEET__JOB_STATE__QUEUED);
		assert_true(sched_cancel(r.s, id_a, "q", r.now));
		write_all(&r);
		assert_int_equal(sched_state(r.s, id_a, "q"),
				 FLEET__JOB_STATE__CANCELLED);
		talloc_free(r.s);
	}
}

/* Jobs are refused while those that are not ended take too much memory. */
static void test_memory(void **state)
{
	struct sched_options options = { .lease_ms = LEASE_MS,
					 .lease_max_ms = 10000,
					 .end_keep_ms = 120000,
					 .job_bytes_max = 1 << 20 };
	uint32_t accepted = 0;
	char id[SCHED_ID_BYTES + 1];
	uint32_t after = 0;
	struct rig r;
	uint32_t n;

	(void)state;
	rig_new(&r);
	talloc_free(r.s);
	r.s = sched_new(NULL, &options);
	r.queue.objective_factor = 1e9;
	sched_set_clock(r.s, r.now);
	sched_configure(r.s, &r.config, r.now);
	rig_become_leader(&r);
	make_all_usable(&r);
	for (n = 0; n < 100; n++) {
		snprintf(id, sizeof(id), "%016x", n + 256);
		if (sched_submit(r.s, id, job_row(1000, 1, false), r.now, r.now,
				 &after) != SUBMIT_ACCEPTED)
			break;
		accepted++;
	}
	assert_in_range(accepted, 1, 20);
	assert_true(after > 0);
	snprintf(id, sizeof(id), "%016x", 256);
	sched_cancel(r.s, id, "q", r.now);
	write_all(&r);
	sched_tick(r.s, r.now, r.now);
	assert_int_equal(sched_submit(r.s, id_b, job_row(1000, 1, false), r.now,
				      r.now, &after),
			 SUBMIT_ACCEPTED);
	talloc_free(r.s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_decode), cmocka_unit_test(test_window),
		cmocka_unit_test(test_submit), cmocka_unit_test(test_load),
		cmocka_unit_test(test_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
