/*
 * command - the operators' commands
 *
 * Each returns the exit code of the process.
 */
#ifndef COMMAND_H
#define COMMAND_H

#include <stdbool.h>

#include "cli/api.h"

struct command_context {
	struct api api;
	bool json;    /* machine-readable output */
	bool dry_run; /* only show what load would change */
	int arg_count;
	const char **args; /* without the command's name */
};

struct command {
	const char *name;
	const char *usage; /* its arguments */
	int args_min;
	int args_max;
	int (*run)(const struct command_context *cmd);
};

/*
 * command_change - commit a change; print the outcome
 *
 * base_version is the version that the change was made for. Takes over the
 * reference to change.
 */
int command_change(const struct command_context *cmd, json_int_t base_version,
		   json_t *change);

/* command_config - fetch the configuration; NULL after printing the error */
json_t *command_config(const struct command_context *cmd, int *exit_code);

int command_load(const struct command_context *cmd);
int command_key(const struct command_context *cmd);
/* command_list - print the objects of one kind */
int command_list(const struct command_context *cmd, const char *kind,
		 const char *const *columns);
int command_teams(const struct command_context *cmd);
int command_queues(const struct command_context *cmd);
int command_instances(const struct command_context *cmd);
int command_status(const struct command_context *cmd);
int command_drain(const struct command_context *cmd);
int command_undrain(const struct command_context *cmd);
int command_out(const struct command_context *cmd);
int command_move(const struct command_context *cmd);
int command_depart(const struct command_context *cmd);
int command_wave(const struct command_context *cmd);
int command_nodes(const struct command_context *cmd);
int command_explain(const struct command_context *cmd);

#endif
