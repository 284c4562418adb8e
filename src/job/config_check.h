/*
 * config_check - checks a document of the operators before it is sent
 *
 * Joins what the decoder does not load as written with the findings about what
 * it loads, and gives all of them paths in the document.
 */
#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include "job/config_lint.h"

struct check_finding {
	enum lint_severity severity;
	const char *code;
	const char *path; /* "": the document */
	int line;	  /* 0: unknown */
	bool in_force;	  /* the path is in the version in force */
	const char *text;
};

struct check_report {
	bool readable; /* the document is JSON; else there is one finding */
	struct config *config; /* NULL: nodes refuse the document */
	uint32_t count;
	struct check_finding *findings;
	uint32_t counts[LINT_SEVERITIES];
	uint64_t operations; /* see struct lint_report */
};

/* Bytes of a document; bytes is NULL when there is none. */
struct check_input {
	const uint8_t *bytes;
	size_t length;
};

/*
 * config_check - check a document, and its differences from the one in force
 *
 * Of the version in force only what nodes have loaded counts: it isn't checked
 * itself. If it can't be loaded, in_force_loaded, which may be NULL, is false,
 * and the report says that differences were not checked.
 */
struct check_report *config_check(TALLOC_CTX *ctx,
				  const struct config_document *document,
				  const struct check_input *input,
				  const struct check_input *in_force,
				  const struct lint_facts *facts,
				  bool *in_force_loaded);

/* lint_severity_name - "error", "warning" or "info" */
const char *lint_severity_name(enum lint_severity severity);

#endif
