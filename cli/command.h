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
	bool json;	      /* print JSON instead of tables and text */
	bool dry_run;	      /* load shows the change without making it */
	const char *in_force; /* check: file, or NULL */
	const char *facts;    /* check: file, or NULL */
	int arg_count;
	const char **args; /* without the command's name */
};

struct command {
	const char *name;
	const char *usage; /* syntax of the arguments */
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

/*
 * command_config - fetch the configuration and its version
 *
 * Returns a new reference to the answer. On failure prints the error, sets
 * *exit_code and returns NULL.
 */
json_t *command_config(const struct command_context *cmd, int *exit_code);

/* command_list - print the objects of one kind */
int command_list(const struct command_context *cmd, const char *kind,
		 const char *const *columns);

/* The commands, by their names on the command line */

int command_load(const struct command_context *cmd);
int command_key(const struct command_context *cmd);
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
int command_check(const struct command_context *cmd);

#endif
