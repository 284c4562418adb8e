/*
 * How long a new leader waits for orders of those before it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include <cmocka.h>

#include "node/node_internal.h"

#define START_MS 100000u
#define STEP_MS 50u

static uint64_t now_ms;

/* Instead of the C library's: all clocks show the test's time. */
int clock_gettime(clockid_t id, struct timespec *ts)
{
	(void)id;
	ts->tv_sec = (time_t)(now_ms / 1000);
	ts->tv_nsec = (long)(now_ms % 1000 * 1000000);
	return 0;
}

static struct leader_view claimed;

static void note_claim(void *impl, const struct store_txn *txn,
		       uint32_t timeout_ms, store_fn fn, void *arg)
{
	struct store_row row = { .value = (uint8_t *)txn->puts[0].value,
				 .length = txn->puts[0].length };

	(void)impl;
	(void)timeout_ms;
	(void)fn;
	(void)arg;
	assert_true(leader_decode(&row, &claimed));
}

static const struct services services = { .txn = note_claim };

enum sign { SILENT, RELEASED, REFUSED, RESTARTED };

/* n-2 claims at START_MS; some time later n-3 finds a sign that it is gone. */
struct former_case {
	const char *what;
	bool formers; /* as the row of n-2 says */
	uint32_t led_ms;
	enum sign sign;
	uint32_t orders_end_ms; /* after START_MS; 0: none may come */
	bool waits_in_full;	/* LEADER_ORDERS_MS, from the takeover on */
};

static const struct former_case cases[] = {
	{ "released", false, 3000, RELEASED, 0, false },
	{ "restarted", false, 3000, RESTARTED, 0, false },
	{ "silent", false, 3000, SILENT, 0, true },
	{ "a refused connection proves no end", false, 3000, REFUSED, 0, true },
	{ "released, one that it replaced may order", true, 3000, RELEASED,
	  LEADER_ORDERS_MS, false },
	{ "restarted, one that it replaced may order", true, 3000, RESTARTED,
	  LEADER_ORDERS_MS, false },
	{ "released, one that it replaced may order no more", true,
	  LEADER_ORDERS_MS + 1000, RELEASED, 0, false },
};

static void give_sign(struct node *n, enum sign sign)
{
	struct leader_view released = { .epoch = 2,
					.revision = 30,
					.formers = n->leader.formers,
					.known = true };

	switch (sign) {
	case SILENT:
		break;
	case RELEASED:
		leader_learn(n, &released, "test");
		break;
	case REFUSED:
		leader_connection_refused(n, n->leader.incarnation);
		break;
	case RESTARTED:
		leader_peer_seen(n, "n-2", 20);
		break;
	}
}

static void test_leader_waits_for_orders_of_all_before_it(void **state)
{
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct leader_view view = { .node = "n-2",
					    .incarnation = 2,
					    .epoch = 2,
					    .revision = 20,
					    .formers = cases[c].formers,
					    .known = true };
		struct node *n = talloc_zero(NULL, struct node);
		uint64_t end_ms, wanted_ms;

		n->ev = tevent_context_init(n);
		n->services = &services;
		n->settings.name = "n-3";
		n->incarnation = 3;
		n->store_ok = n->nodes_read = true;
		claimed.known = false;
		now_ms = START_MS;
		leader_learn(n, &view, "test");
		now_ms += cases[c].led_ms;
		n->leader_last_heard_ms = now_ms;
		give_sign(n, cases[c].sign);
		while (!claimed.known && now_ms < 2 * START_MS) {
			now_ms += STEP_MS;
			leader_tick(n, now_ms);
		}
		end_ms = now_ms + leader_formers_order_ms(n, now_ms);
		wanted_ms = now_ms;
		if (cases[c].waits_in_full)
			wanted_ms += LEADER_ORDERS_MS;
		else if (wanted_ms < START_MS + cases[c].orders_end_ms)
			wanted_ms = START_MS + cases[c].orders_end_ms;
		if (end_ms != wanted_ms)
			fail_msg("%s: waits for %u ms, wanted %u",
				 cases[c].what, (unsigned int)(end_ms - now_ms),
				 (unsigned int)(wanted_ms - now_ms));
		if (claimed.formers != (end_ms > now_ms))
			fail_msg("%s: its row says %d", cases[c].what,
				 claimed.formers);
		talloc_free(n);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_leader_waits_for_orders_of_all_before_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
