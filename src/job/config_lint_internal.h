/*
 * config_lint_internal - shared by config_lint.c and config_differences.c
 */
#ifndef CONFIG_LINT_INTERNAL_H
#define CONFIG_LINT_INTERNAL_H

#include <uthash.h>

#include "job/config_lint.h"

struct lint {
	struct lint_report *report;
	const struct config *c;
	const struct config *in_force; /* may be NULL */
	const struct lint_facts *facts;
};

/* lint_add - add a finding about an entry of c, or of the version in force */
__attribute__((format(printf, 7, 8))) void lint_add(
	struct lint *l, enum lint_severity severity, const char *code,
	enum config_field field, uint32_t index, bool in_force, const char *fmt,
	...);

/* A table of texts with the first index that each has. */
struct lint_name {
	const char *name;
	uint32_t index;
	uint32_t holder; /* of a key: its workspace */
	bool used;
	UT_hash_handle hh;
};

/* lint_name_add - the text's entry; *is_new is false if it had one before */
struct lint_name *lint_name_add(struct lint *l, struct lint_name **names,
				const char *name, uint32_t index, bool *is_new);
struct lint_name *lint_name_find(struct lint *l, struct lint_name *names,
				 const char *name);

/* lint_differences - compare c with the version in force */
void lint_differences(struct lint *l);

#endif
