/*
 * A leader with less processor than the load needs: what each class of callers
 * gets. Guards against a leader that accepts more than it can start, so that
 * all of it is late.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "test/rig/overload.h"

static const struct overload_case cases[] = {
	{ "room to spare", 1.0, 0.7 },
	{ "three quarters of a core for the same", 0.75, 0.7 },
	{ "as much as it carries", 0.7, 0.7 },
	{ "a fifth too much", 0.58, 0.7 },
	{ "half of what it needs", 0.35, 0.7 },
	{ "two fifths of what it needs", 0.28, 0.7 },
	{ "a whole core and three times its load", 1.0, 3.0 },
};

static void test_leader_accepts_what_it_can_start(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		overload_check(&cases[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_leader_accepts_what_it_can_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
