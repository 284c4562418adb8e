/*
 * How long a node may answer by its configuration: what shows that it is the
 * newest, and a walk over nodes that stand still, lose answers and hear late.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "node/node_internal.h"

#define BOUND_MS 2000u

static void test_what_shows_it(void **state)
{
	static const struct {
		const char *what;
		uint64_t version, peer_version;
		uint32_t peer_age_ms;
		uint64_t asked_ms_ago;
		bool holds;
	} cases[] = {
		{ "a peer of the same version", 7, 7, 100, 50, true },
		{ "a peer that is behind", 7, 6, 100, 50, false },
		{ "a peer that is ahead", 7, 8, 100, 50, false },
		{ "a peer that does not know", 7, 7, CURRENCY_NEVER, 50,
		  false },
		{ "a peer whose knowledge is old", 7, 7, 1900, 50, false },
		{ "an answer that was long on its way", 7, 7, 100, 1800,
		  false },
		{ "just within the bound", 7, 7, 1700, 100, true },
	};
	const uint64_t now = 500000;
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct node *n = talloc_zero(NULL, struct node);

		n->settings.config_ms = BOUND_MS;
		n->config = talloc_zero(n, struct config);
		n->config->version = cases[c].version;
		currency_peer(n, cases[c].peer_version, cases[c].peer_age_ms,
			      now - cases[c].asked_ms_ago);
		if (currency_holds(n, now) != cases[c].holds)
			fail_msg("%s", cases[c].what);
		talloc_free(n);
	}
}

static void test_ages(void **state)
{
	static const struct {
		const char *what;
		uint64_t shown_ms, now;
		uint32_t age_ms;
	} cases[] = {
		{ "it was never shown", 0, 5000, CURRENCY_NEVER },
		{ "a while ago", 4000, 5000, 1000 },
		{ "just now", 5000, 5000, 0 },
		{ "after the caller took the time", 5001, 5000, 0 },
		{ "longer ago than can be told", 1, 1ull << 33,
		  CURRENCY_NEVER },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct node *n = talloc_zero(NULL, struct node);

		n->config = talloc_zero(n, struct config);
		n->config_shown_ms = cases[c].shown_ms;
		if (currency_age_ms(n, cases[c].now) != cases[c].age_ms)
			fail_msg("%s", cases[c].what);
		talloc_free(n);
	}
}

/* Whether the lead's version can decide what another version let in. */
static void test_verdicts(void **state)
{
	static const struct {
		const char *what;
		Fleet__Verb verb;
		const char *queue, *workspace;
		uint64_t asked_by;
		bool old;
		enum currency_verdict verdict;
	} cases[] = {
		{ "the same version", FLEET__VERB__SUBMIT, "q", "w", 9, false,
		  CURRENCY_DECIDES },
		{ "an open queue", FLEET__VERB__SUBMIT, "q", "", 9, false,
		  CURRENCY_DECIDES },
		{ "let in by an older version that may be current",
		  FLEET__VERB__SUBMIT, "q", "w", 8, false, CURRENCY_DECIDES },
		{ "let in by one that may be too old", FLEET__VERB__STATE, "q",
		  "", 8, true, CURRENCY_BEHIND },
		{ "not shown to be current, and it is", FLEET__VERB__STATE, "q",
		  "", 9, true, CURRENCY_DECIDES },
		{ "a queue that was dropped", FLEET__VERB__SUBMIT, "gone", "w",
		  8, false, CURRENCY_DROPPED },
		{ "a queue that the lead does not know yet",
		  FLEET__VERB__SUBMIT, "new", "w", 10, false, CURRENCY_BEHIND },
		{ "a workspace that it does not know yet", FLEET__VERB__SUBMIT,
		  "q", "new", 10, false, CURRENCY_BEHIND },
		{ "its job is asked for by a queue that was dropped",
		  FLEET__VERB__STATE, "gone", "", 8, false, CURRENCY_DECIDES },
	};
	struct config_queue queue = { .name = "q" };
	struct config_workspace workspace = { .name = "w" };
	struct config own = { .version = 9,
			      .queue_count = 1,
			      .queues = &queue,
			      .workspace_count = 1,
			      .workspaces = &workspace };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		Fleet__JobRow job = FLEET__JOB_ROW__INIT;
		struct node_request ask = { .verb = cases[c].verb,
					    .queue = cases[c].queue,
					    .config_version = cases[c].asked_by,
					    .config_old = cases[c].old };

		job.workspace = (char *)cases[c].workspace;
		if (cases[c].verb == FLEET__VERB__SUBMIT)
			ask.job = &job;
		if (currency_verdict(&own, &ask) != cases[c].verdict)
			fail_msg("%s", cases[c].what);
		if (currency_verdict(NULL, &ask) != CURRENCY_BEHIND)
			fail_msg("%s, without a configuration", cases[c].what);
	}
}

/* The walk */

#define NODES 6u
#define SEEDS 200u
#define WALK_MS 60000u
#define STEP_MS 10u
#define FAULT_STEPS 3000u /* between two faults of a kind at a node, about */
#define SLOW_PART 8u	  /* one in so many calls is slow, each way */
#define CALLS 2u	  /* of a node at one time: the store and a peer */

struct walk_call {
	bool under_way, lost;
	uint64_t asked_ms, decided_ms, arrives_ms;
	uint64_t version; /* that the answer tells */
	uint32_t age_ms;  /* of a peer's knowledge */
};

struct walk_node {
	struct node *node;
	uint64_t frozen_until_ms, cut_until_ms;
	struct walk_call calls[CALLS];
};

struct walk {
	uint64_t draw;
	uint64_t version;
	uint64_t confirmed_ms[WALK_MS]; /* of each version */
	struct walk_node nodes[NODES];
	uint32_t answered;
};

static uint32_t draw(struct walk *w, uint32_t below)
{
	w->draw = w->draw * 6364136223846793005u + 1442695040888963407u;
	return (uint32_t)((w->draw >> 33) % below);
}

static void ask(struct walk *w, struct walk_node *o, struct walk_call *c,
		uint64_t now)
{
	c->under_way = true;
	c->asked_ms = now;
	c->decided_ms = now + draw(w, draw(w, SLOW_PART) ? 20 : 2000);
	c->arrives_ms = c->decided_ms + draw(w, draw(w, SLOW_PART) ? 20 : 3000);
	c->lost = now < o->cut_until_ms || !draw(w, 10);
	c->version = 0;
}

/* The one that is asked puts what it knows into its answer. */
static void decide(struct walk *w, struct walk_call *c, bool store,
		   uint64_t now)
{
	const struct walk_node *peer = &w->nodes[draw(w, NODES)];

	if (c->version || now < c->decided_ms)
		return;
	c->version = store ? w->version : peer->node->config->version;
	c->age_ms = store ? 0 : currency_age_ms(peer->node, now);
	c->lost |= !store && now < peer->frozen_until_ms;
}

static void hear(struct walk *w, struct walk_node *o, struct walk_call *c,
		 bool store)
{
	struct node *n = o->node;

	c->under_way = false;
	if (c->lost)
		return;
	if (c->version > n->config->version && (store || !draw(w, 3)))
		n->config->version = c->version;
	if (store && c->version == n->config->version)
		currency_shown(n, c->asked_ms);
	else if (!store)
		currency_peer(n, c->version, c->age_ms, c->asked_ms);
}

static void node_step(struct walk *w, struct walk_node *o, uint64_t now)
{
	uint32_t i;

	if (now < o->frozen_until_ms)
		return;
	if (!draw(w, FAULT_STEPS))
		o->frozen_until_ms = now + draw(w, 5000);
	if (!draw(w, FAULT_STEPS))
		o->cut_until_ms = now + draw(w, 5000);
	for (i = 0; i < CALLS; i++) {
		struct walk_call *c = &o->calls[i];

		if (!c->under_way && !draw(w, 20))
			ask(w, o, c, now);
		if (c->under_way && c->version && now >= c->arrives_ms)
			hear(w, o, c, i == 0);
	}
}

static void check(struct walk *w, const struct walk_node *o, uint64_t now,
		  uint32_t seed)
{
	const struct node *n = o->node;

	if (now < o->frozen_until_ms || !currency_holds(n, now))
		return;
	w->answered++;
	if (n->config->version < w->version &&
	    w->confirmed_ms[n->config->version + 1] + BOUND_MS < now)
		fail_msg("seed %u, %llu ms: answers by %llu, not %llu", seed,
			 (unsigned long long)now,
			 (unsigned long long)n->config->version,
			 (unsigned long long)w->version);
}

static uint32_t walk_run(uint32_t seed)
{
	struct walk *w = talloc_zero(NULL, struct walk);
	uint32_t answered;
	uint64_t now;
	uint32_t i, k;

	w->draw = seed;
	w->version = 1;
	for (i = 0; i < NODES; i++) {
		struct node *n = talloc_zero(w, struct node);

		w->nodes[i].node = n;
		n->settings.config_ms = BOUND_MS;
		n->config = talloc_zero(n, struct config);
		n->config->version = 1;
	}
	for (now = 100000; now < 100000 + WALK_MS; now += STEP_MS) {
		if (!draw(w, 150))
			w->confirmed_ms[++w->version] = now;
		for (i = 0; i < NODES; i++)
			for (k = 0; k < CALLS; k++)
				if (w->nodes[i].calls[k].under_way)
					decide(w, &w->nodes[i].calls[k], k == 0,
					       now);
		for (i = 0; i < NODES; i++) {
			node_step(w, &w->nodes[i], now);
			check(w, &w->nodes[i], now, seed);
		}
	}
	answered = w->answered;
	talloc_free(w);
	return answered;
}

static void test_no_answer_by_an_old_version(void **state)
{
	uint64_t answered = 0;
	uint32_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++)
		answered += walk_run(seed);
	/* A rule that lets nobody answer would hold too. */
	assert_true(answered > (uint64_t)SEEDS * NODES * WALK_MS / STEP_MS / 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_what_shows_it),
		cmocka_unit_test(test_ages),
		cmocka_unit_test(test_verdicts),
		cmocka_unit_test(test_no_answer_by_an_old_version),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
