/*
 * config_lint - finds mistakes in a configuration before it is sent to nodes
 *
 * Makes its findings from the loaded configuration alone; what the decoder did
 * not load as written is reported by config_document. Reads no clock and does
 * no input or output. What it would need to know and isn't told is a finding
 * of its own, so that nothing passes silently.
 */
#ifndef CONFIG_LINT_H
#define CONFIG_LINT_H

#include "job/config.h"
#include "job/config_document.h"

enum lint_severity {
	LINT_ERROR,   /* refused, ignored or without the effect it is for */
	LINT_WARNING, /* takes effect, but hardly as intended */
	LINT_INFO,    /* a difference, or something that was not checked */
	LINT_SEVERITIES
};

struct lint_finding {
	enum lint_severity severity;
	const char *code; /* kind of finding, for programs */
	enum config_field field;
	uint32_t index; /* in the list of the configuration, if the field's */
	bool in_force;	/* the list is of the version in force */
	const char *text;
};

/* Largest task of a workspace, in each dimension. */
struct lint_task {
	const char *workspace;
	struct amount amount;
};

/* What is known of the site that the configuration is for. */
struct lint_facts {
	bool has_capacity;
	struct amount capacity;	 /* of all instances */
	uint32_t caller_wait_ms; /* longest time callers wait; 0: unknown */
	bool has_tasks;
	uint32_t task_count;
	const struct lint_task *tasks;
	/* Bounds of the nodes' program; 0: not checked */
	uint32_t name_bytes; /* longest name that nodes hold */
	uint32_t pools_max;  /* that machines are moved between */
};

struct lint_report {
	uint32_t count;
	struct lint_finding *findings;
	uint32_t counts[LINT_SEVERITIES];
	/*
	 * Look-ups and comparisons of entries, by which tests show that the
	 * work grows in proportion to the configuration.
	 */
	uint64_t operations;
};

/*
 * config_lint - check c, and its differences from the version in force
 *
 * in_force may be NULL. The report is owned by ctx; it copies no names.
 */
struct lint_report *config_lint(TALLOC_CTX *ctx, const struct config *c,
				const struct config *in_force,
				const struct lint_facts *facts);

#endif
