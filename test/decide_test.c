/*
 * Decisions of an entry without I/O: shares, the fair queue, health, retries,
 * freshness, members and brokers. Guards against a team that gets less than its
 * share, a worker that is ejected because of its requests, retries that exceed
 * their budget, an entry that is taken for fresh although it may lack an
 * accepted change, and units that stay where there is no demand.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "process/broker.h"
#include "process/freshness.h"
#include "process/health.h"
#include "process/share.h"
#include "request/fq.h"
#include "request/retry.h"

/* Shares */

struct share_row {
	double capacity;
	struct share_claim claims[3];
	double allocated[3];
};

static const struct share_row share_rows[] = {
	{ 12, { { 1, 9, 0 }, { 1, 9, 0 }, { 2, 9, 0 } }, { 3, 3, 6 } },
	{ 12,
	  { { 1, 1, 0 }, { 1, 9, 0 }, { 2, 9, 0 } },
	  { 1, 11.0 / 3, 22.0 / 3 } },
	{ 12, { { 1, 1, 0 }, { 1, 2, 0 }, { 2, 3, 0 } }, { 1, 2, 3 } },
	{ 0, { { 1, 1, 0 }, { 1, 2, 0 }, { 2, 3, 0 } }, { 0, 0, 0 } },
	{ 12, { { 1, 0, 0 }, { 1, 20, 0 }, { 2, 0, 0 } }, { 0, 12, 0 } },
};

static void test_share(void **state)
{
	size_t i;
	int k;

	(void)state;
	for (i = 0; i < sizeof(share_rows) / sizeof(share_rows[0]); i++) {
		struct share_row r = share_rows[i];

		share_divide(r.claims, 3, r.capacity);
		for (k = 0; k < 3; k++)
			assert_float_equal(r.claims[k].allocated,
					   r.allocated[k], 1e-6);
	}
}

/* The fair queue */

static bool any_team(void *arg, team_handle team)
{
	(void)arg;
	(void)team;
	return true;
}

static bool not_team_1(void *arg, team_handle team)
{
	(void)arg;
	return team.i != 1;
}

static void push(struct fq *q, struct job *job, uint32_t team,
		 enum cfg_class class, uint64_t at_ms)
{
	memset(job, 0, sizeof(*job));
	job->team.i = team;
	job->class = class;
	job->arrived_ms = at_ms;
	fq_push(q, job, at_ms);
}

static void test_fq_order(void **state)
{
	struct fq *q = fq_new(NULL);
	struct job a, b, c, d;

	(void)state;
	push(q, &a, 0, CFG_NORMAL, 1);
	push(q, &b, 0, CFG_NORMAL, 2);
	push(q, &c, 0, CFG_URGENT, 3);
	push(q, &d, 1, CFG_NORMAL, 4);
	assert_ptr_equal(fq_pick(q, 5, not_team_1, NULL), &c);
	fq_remove(q, &c);
	assert_ptr_equal(fq_pick(q, 5, not_team_1, NULL), &a);
	/* A team below its target goes first, even if its job came later. */
	fq_set_target(q, (team_handle){ 1 }, 2.0);
	assert_ptr_equal(fq_pick(q, 5, any_team, NULL), &d);
	/* A delayed retry is not overtaken by other jobs of its team. */
	fq_remove(q, &a);
	a.not_before_ms = 50;
	fq_push_front(q, &a, 6);
	assert_null(fq_pick(q, 6, not_team_1, NULL));
	assert_ptr_equal(fq_pick(q, 50, not_team_1, NULL), &a);
	talloc_free(q);
}

static void test_fq_fractional_targets(void **state)
{
	/* One slot, targets 0.75 and 0.25: team 0 gets 3 of 4 starts. */
	struct fq *q = fq_new(NULL);
	struct job jobs[2];
	uint32_t starts[2] = { 0 };
	uint64_t now = 1000;
	int i;

	(void)state;
	push(q, &jobs[0], 0, CFG_NORMAL, now);
	push(q, &jobs[1], 1, CFG_NORMAL, now);
	fq_set_target(q, (team_handle){ 0 }, 0.75);
	fq_set_target(q, (team_handle){ 1 }, 0.25);
	for (i = 0; i < 400; i++) {
		struct job *job = fq_pick(q, now, any_team, NULL);

		fq_remove(q, job);
		fq_push(q, job, now);
		fq_started(q, job->team, now);
		starts[job->team.i]++;
		now += 100;
		fq_ended(q, job->team, now);
	}
	assert_in_range(starts[0], 294, 306);
	talloc_free(q);
}

/* Health and retries */

static void test_health(void **state)
{
	struct health h = { 0 };
	uint64_t now = 1000;
	int i;

	(void)state;
	for (i = 0; i < 5; i++)
		health_record(&h, true, now);
	/* If the peers fail too, the requests are the cause. */
	assert_false(health_should_eject(&h, 0.9));
	assert_true(health_should_eject(&h, 0.0));
	health_eject(&h, now);
	assert_false(health_available(&h, now + HEALTH_PROBE_DELAY_MS - 1));
	assert_true(health_available(&h, now + HEALTH_PROBE_DELAY_MS));
	health_request_started(&h);
	/* One probe at a time. */
	assert_false(health_available(&h, now + HEALTH_PROBE_DELAY_MS));
	assert_false(health_record(&h, true, now + HEALTH_PROBE_DELAY_MS));
	assert_false(health_available(&h, now + 2 * HEALTH_PROBE_DELAY_MS));
	health_request_started(&h);
	assert_true(health_record(&h, false, now + 4 * HEALTH_PROBE_DELAY_MS));
	assert_true(health_available(&h, now + 4 * HEALTH_PROBE_DELAY_MS));
}

static void test_retry_budget(void **state)
{
	struct retry_budget b = { 0 };
	int granted = 0;
	int i;

	(void)state;
	for (i = 0; i < 1000; i++) {
		retry_credit(&b);
		granted += retry_consume(&b);
	}
	assert_in_range(granted, 99, 100);
}

/* Freshness */

struct freshness_row {
	const char *name;
	uint64_t store_read_ms;
	uint64_t peer_sent_ms[2]; /* 0: no answer */
	uint64_t peer_version[2]; /* this entry has version 7 */
	uint64_t until;
};

static const struct freshness_row freshness_rows[] = {
	{ "no read and no answer", 0, { 0, 0 }, { 0, 0 }, 0 },
	{ "read the store",
	  5000,
	  { 0, 0 },
	  { 0, 0 },
	  5000 + FRESHNESS_LIFETIME_MS },
	{ "one of two peers",
	  0,
	  { 4000, 0 },
	  { 7, 0 },
	  4000 + FRESHNESS_LIFETIME_MS },
	{ "the newer of two peers",
	  0,
	  { 4000, 6000 },
	  { 7, 7 },
	  6000 + FRESHNESS_LIFETIME_MS },
	{ "a peer has a newer version", 0, { 4000, 6000 }, { 8, 7 }, 0 },
	{ "a peer has an older version",
	  0,
	  { 4000, 6000 },
	  { 6, 7 },
	  6000 + FRESHNESS_LIFETIME_MS },
	{ "the store was read after the peers",
	  9000,
	  { 4000, 6000 },
	  { 7, 7 },
	  9000 + FRESHNESS_LIFETIME_MS },
};

static void test_freshness(void **state)
{
	struct members m = { .version = 3, .count = 3 };
	size_t i;
	int k;

	(void)state;
	for (k = 0; k < 3; k++) {
		m.list[k].incarnation = (uint64_t)k + 1;
		m.list[k].state = MEMBER_FULL;
	}
	for (i = 0; i < sizeof(freshness_rows) / sizeof(freshness_rows[0]);
	     i++) {
		const struct freshness_row *r = &freshness_rows[i];
		struct freshness f = { .store_read_ms = r->store_read_ms };

		for (k = 0; k < 2; k++) {
			struct freshness_peer p = { (uint64_t)k + 2,
						    r->peer_sent_ms[k],
						    r->peer_version[k], 3 };

			if (r->peer_sent_ms[k])
				freshness_record(&f, &p);
		}
		if (freshness_until(&f, &m, 1, 7) != r->until)
			fail_msg("%s", r->name);
	}
}

static void test_freshness_joining_does_not_count(void **state)
{
	struct members m = { .version = 3, .count = 3 };
	struct freshness f = { 0 };
	struct freshness_peer p = { 2, 4000, 7, 3 };

	(void)state;
	m.list[0] = (struct member){ .incarnation = 1, .state = MEMBER_FULL };
	m.list[1] =
		(struct member){ .incarnation = 2, .state = MEMBER_JOINING };
	m.list[2] = (struct member){ .incarnation = 3, .state = MEMBER_FULL };
	freshness_record(&f, &p);
	assert_int_equal(freshness_until(&f, &m, 1, 7), 0);
	assert_int_equal(freshness_count_config(&f, &m, 1, 7), 1);
	m.list[2].state = MEMBER_DEAD;
	/* Entry 1 is the only full member: no change is accepted without it. */
	assert_true(freshness_until(&f, &m, 1, 7) > 1u << 30);
}

static void test_members_register(void **state)
{
	struct members m = { 0 };
	struct members back;
	struct member self = { .name = "entry-1", .nonce = 9 };
	json_t *json;

	(void)state;
	assert_int_equal(members_register(&m, &self, 4), 1);
	assert_int_equal(m.list[0].state, MEMBER_FULL);
	assert_int_equal(members_register(&m, &self, 4), 2);
	assert_int_equal(m.list[0].state, MEMBER_DEAD);
	assert_int_equal(members_register(&m, &self, 8), 0);
	json = members_to_json(&m);
	assert_true(members_parse(json, 5, &back));
	assert_int_equal(back.next_incarnation, 3);
	assert_int_equal(back.list[1].nonce, 9);
	json_decref(json);
}

/* Brokers */

struct advised {
	uint32_t milli_slots[4];  /* target of team 0, by entry */
	uint32_t transfers[4][4]; /* units, by lender and receiver */
};

static bool team_view(void *arg, uint32_t team, uint32_t *share,
		      uint32_t *limit)
{
	(void)arg;
	(void)team;
	*share = 1;
	*limit = 100;
	return true;
}

static void advise(void *arg, uint64_t entry, const struct broker_advice *a)
{
	struct advised *got = arg;
	uint32_t i;

	for (i = 0; i < a->target_count; i++)
		if (a->targets[i].team == 0)
			got->milli_slots[entry] = a->targets[i].milli_slots;
	for (i = 0; i < a->transfer_count; i++)
		got->transfers[entry][a->transfers[i].to] =
			a->transfers[i].units;
}

static void test_broker_moves_units_to_demand(void **state)
{
	struct advised got = { 0 };
	struct broker_callbacks callbacks = { team_view, advise, &got };
	struct broker *b = broker_new(NULL, &callbacks);
	struct broker_team t = { 0, 36000 };
	struct broker_demand d = { { BROKER_POOL, 0 }, 6, 0, 1, &t };

	(void)state;
	/* Entry 1 has all of the demand and holds 6 of the 18 slots. */
	broker_report(b, 1, &d, 1000);
	d.team_count = 0;
	d.idle = 6;
	broker_report(b, 2, &d, 1000);
	broker_report(b, 3, &d, 1000);
	broker_run(b, 1000);
	assert_int_equal(got.milli_slots[1], 18000);
	assert_int_equal(got.transfers[2][1], 6);
	assert_int_equal(got.transfers[3][1], 6);
	memset(&got, 0, sizeof(got));
	broker_run(b, 1250); /* no new report: no advice */
	assert_int_equal(got.milli_slots[1], 0);
	broker_forget(b, 1);
	broker_run(b, 1500);
	assert_int_equal(got.transfers[2][1], 0);
	talloc_free(b);
}

static void test_broker_choice_is_stable(void **state)
{
	uint64_t entries[] = { 1, 2, 3, 4, 5, 6, 7 };
	char name[16];
	int moved = 0;
	int i;

	(void)state;
	for (i = 0; i < 1000; i++) {
		uint64_t of_7, of_6;

		snprintf(name, sizeof(name), "pool-%d", i);
		of_7 = broker_choose(BROKER_POOL, name, entries, 7);
		of_6 = broker_choose(BROKER_POOL, name, entries, 6);
		if (of_7 != 7)
			assert_int_equal(of_7, of_6);
		moved += of_7 != of_6;
	}
	assert_in_range(moved, 1000 / 14, 1000 * 2 / 7);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_share),
		cmocka_unit_test(test_fq_order),
		cmocka_unit_test(test_fq_fractional_targets),
		cmocka_unit_test(test_health),
		cmocka_unit_test(test_retry_budget),
		cmocka_unit_test(test_freshness),
		cmocka_unit_test(test_freshness_joining_does_not_count),
		cmocka_unit_test(test_members_register),
		cmocka_unit_test(test_broker_moves_units_to_demand),
		cmocka_unit_test(test_broker_choice_is_stable),
	};

	return cmocka_run_group_tests_name("decide", tests, NULL, NULL);
}
