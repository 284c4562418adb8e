/*
 * A leader so short of processor that refusing takes most of it. Guards against
 * refusals that leave no time for the jobs that were accepted.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "test/rig/overload.h"

static void test_refusals_leave_time_for_jobs(void **state)
{
	static const struct overload_case quarter = {
		"a quarter of what it needs", 0.175, 0.7
	};

	(void)state;
	overload_check(&quarter);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refusals_leave_time_for_jobs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
