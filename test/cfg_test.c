/*
 * Configuration versions: invalid changes are refused with a message that names
 * the fault, valid changes build the next version without changing the base,
 * and a key is accepted only with the right name and secret.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "version/cfg.h"
#include "version/key.h"

static const char base_text[] =
	"{\"pools\":{\"p1\":{\"service\":\"s\"}},"
	"\"teams\":{\"shop\":{\"share\":2,\"limit\":5}},"
	"\"instances\":{\"w1\":{\"address\":\"127.0.0.1:1\",\"pool\":\"p1\","
	"\"zone\":\"az-1\",\"rack\":\"r1\",\"slots\":8}},"
	"\"queues\":{\"renew\":{\"pool\":\"p1\",\"team\":\"shop\","
	"\"run_max_ms\":1000,\"wait_max_ms\":2000}}}";

struct invalid_change {
	const char *change;
	const char *message;
};

static const struct invalid_change invalid_changes[] = {
	{ "{\"teams\":{\"shop\":{\"share\":0,\"limit\":1}}}",
	  "teams \"shop\": field \"share\" is 0, wanted a whole number from 1 "
	  "to 1000000" },
	{ "{\"teams\":{\"shop\":{\"share\":1}}}",
	  "teams \"shop\": field \"limit\" is missing" },
	{ "{\"teams\":{\"shop\":{\"share\":1,\"limit\":1,\"x\":1}}}",
	  "teams \"shop\": unknown field \"x\"" },
	{ "{\"teams\":{\"a b\":{\"share\":1,\"limit\":1}}}",
	  "teams \"a b\": not a valid name" },
	{ "{\"gangs\":{}}", "unknown kind \"gangs\"" },
	{ "{\"pools\":{\"p1\":null}}",
	  "instances \"w1\": field \"pool\" names \"p1\", which does not "
	  "exist" },
	{ "{\"queues\":{\"q\":{\"pool\":\"p1\",\"team\":\"none\","
	  "\"run_max_ms\":1,\"wait_max_ms\":1}}}",
	  "queues \"q\": field \"team\" names \"none\", which does not "
	  "exist" },
	{ "{\"queues\":{\"q\":{\"pool\":\"p1\",\"open\":true,"
	  "\"run_max_ms\":1,\"wait_max_ms\":1}}}",
	  "queues \"q\": an open queue needs the field \"team\", for which its "
	  "work counts" },
	{ "{\"keys\":{\"k\":{\"team\":\"shop\",\"hash\":\"abc\"}}}",
	  "keys \"k\": field \"hash\" is not 32 hex bytes" },
};

struct fixture {
	struct cfg_names *names;
	struct cfg *cfg;
};

static struct cfg *apply(struct fixture *f, const char *text,
			 struct status_message *m)
{
	json_t *change = json_loads(text, 0, NULL);
	struct cfg *next = NULL;

	cfg_apply(f->cfg, f->names, change, f->cfg->version + 1, &next, m);
	json_decref(change);
	return next;
}

static int set_up(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);
	struct status_message m;
	struct cfg *next;

	f->names = cfg_names_new(f);
	f->cfg = cfg_empty(f->names);
	next = apply(f, base_text, &m);
	cfg_unref(f->cfg);
	f->cfg = next;
	*state = f;
	return next ? 0 : -1;
}

static int tear_down(void **state)
{
	struct fixture *f = *state;

	cfg_unref(f->cfg);
	talloc_free(f);
	return 0;
}

static void test_invalid_changes(void **state)
{
	size_t i;

	for (i = 0; i < sizeof(invalid_changes) / sizeof(invalid_changes[0]);
	     i++) {
		struct status_message m = { "" };

		assert_null(apply(*state, invalid_changes[i].change, &m));
		assert_string_equal(m.text, invalid_changes[i].message);
	}
}

static void test_change_replaces_one_object(void **state)
{
	struct fixture *f = *state;
	struct status_message m;
	struct cfg *next = apply(
		f, "{\"teams\":{\"club\":{\"share\":1,\"limit\":9}}}", &m);

	assert_non_null(next);
	assert_int_equal(next->version, 2);
	assert_int_equal(next->teams[0].limit, 5);
	assert_int_equal(next->teams[1].limit, 9);
	assert_int_equal(f->cfg->team_count, 1);
	cfg_unref(next);
}

static void test_diff_of_documents(void **state)
{
	struct fixture *f = *state;
	json_t *doc = json_loads("{\"teams\":{\"club\":{\"share\":1,"
				 "\"limit\":9}}}",
				 0, NULL);
	json_t *diff = cfg_diff(f->cfg->doc, doc);
	char *text = json_dumps(diff, JSON_COMPACT | JSON_SORT_KEYS);

	assert_string_equal(text, "{\"teams\":{\"club\":{\"limit\":9,"
				  "\"share\":1},\"shop\":null}}");
	free(text);
	json_decref(diff);
	json_decref(doc);
}

static void test_removed_queue_keeps_its_lease(void **state)
{
	struct status_message m;
	struct cfg *next = apply(*state, "{\"queues\":{\"renew\":null}}", &m);

	assert_int_equal(next->queue_count, 0);
	assert_int_equal(next->run_max_ms, 1000);
	cfg_unref(next);
}

static void test_key_check(void **state)
{
	struct key_hasher hasher;
	struct key_hasher other;
	struct status_message m;
	uint8_t hash[CFG_HASH_BYTES];
	char hex[CFG_HASH_BYTES * 2 + 1];
	char text[KEY_TEXT_MAX];
	char change[256];
	struct cfg *next;
	size_t i;

	key_hasher_init(&hasher, "a fleet's secret");
	key_hasher_init(&other, "another secret");
	key_issue(&hasher, "k1", text, hash);
	for (i = 0; i < sizeof(hash); i++)
		snprintf(hex + 2 * i, 3, "%02x", hash[i]);
	snprintf(change, sizeof(change),
		 "{\"keys\":{\"k1\":{\"team\":\"shop\",\"hash\":\"%s\"}}}",
		 hex);
	next = apply(*state, change, &m);
	assert_non_null(next);
	assert_non_null(key_check(&hasher, next, text));
	assert_null(key_check(&other, next, text));
	assert_null(key_check(&hasher, next, "k1"));
	assert_null(key_check(&hasher, next, "k1."));
	assert_null(key_check(&hasher, next, "k2.00"));
	text[strlen(text) - 1] ^= 1;
	assert_null(key_check(&hasher, next, text));
	cfg_unref(next);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invalid_changes),
		cmocka_unit_test(test_change_replaces_one_object),
		cmocka_unit_test(test_diff_of_documents),
		cmocka_unit_test(test_removed_queue_keeps_its_lease),
		cmocka_unit_test(test_key_check),
	};

	return cmocka_run_group_tests_name("cfg", tests, set_up, tear_down);
}
