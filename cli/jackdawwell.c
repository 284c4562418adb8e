/*
 * jackdawwell - command line for operators
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/command.h"
#include "process/log.h"

#define ENTRIES_MAX 64
#define ARGS_MAX 1000
#define ARG_ERRORS_MAX 8 /* reported for one command line */

static const struct command commands[] = {
	{ "load", "FILE", 1, 1, command_load },
	{ "key", "issue NAME TEAM | withdraw NAME", 1, 3, command_key },
	{ "teams", "", 0, 0, command_teams },
	{ "queues", "", 0, 0, command_queues },
	{ "instances", "", 0, 0, command_instances },
	{ "status", "", 0, 0, command_status },
	{ "drain", "INSTANCE...", 1, ARGS_MAX, command_drain },
	{ "undrain", "INSTANCE...", 1, ARGS_MAX, command_undrain },
	{ "out", "INSTANCE...", 1, ARGS_MAX, command_out },
	{ "move", "INSTANCE POOL", 2, 2, command_move },
	{ "depart", "INSTANCE...", 1, ARGS_MAX, command_depart },
	{ "wave",
	  "plan|start NAME [pool=P] [zone=Z] [rack=R] [return_max_s=N] | "
	  "pause|resume|abort|show NAME",
	  2, 6, command_wave },
	{ "nodes", "", 0, 0, command_nodes },
	{ "explain", "JOB", 1, 1, command_explain },
	{ "check", "FILE", 1, 1, command_check },
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void print_usage(void **arg_table)
{
	size_t i;

	fprintf(stderr, "usage: jackdawwell");
	arg_print_syntax(stderr, arg_table, "\n");
	arg_print_glossary(stderr, arg_table, "  %-24s %s\n");
	fprintf(stderr, "commands:\n");
	for (i = 0; i < COMMAND_COUNT; i++)
		fprintf(stderr, "  %s %s\n", commands[i].name,
			commands[i].usage);
}

static const struct command *find_command(const char *name)
{
	size_t i;

	for (i = 0; i < COMMAND_COUNT; i++)
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	return NULL;
}

static int run_command(struct command_context *cmd, const char **words,
		       int count, void **arg_table)
{
	const struct command *command = find_command(words[0]);

	if (command && command->run != command_check && !cmd->api.entry_count) {
		fprintf(stderr, "jackdawwell: missing option -e\n");
		print_usage(arg_table);
		return EXIT_USAGE;
	}
	cmd->args = words + 1;
	cmd->arg_count = count - 1;
	if (command && cmd->arg_count >= command->args_min &&
	    cmd->arg_count <= command->args_max)
		return command->run(cmd);
	if (!command)
		fprintf(stderr, "jackdawwell: unknown command \"%s\"\n",
			words[0]);
	else
		fprintf(stderr,
			"jackdawwell: wrong arguments, expected `%s %s`\n",
			command->name, command->usage);
	print_usage(arg_table);
	return EXIT_USAGE;
}

int main(int argc, char **argv)
{
	struct arg_str *entries =
		arg_strn("e", "entry", "IP:PORT", 0, ENTRIES_MAX,
			 "administration address of an entry");
	struct arg_str *token = arg_str0("t", "token", "TOKEN",
					 "credential; else JACKDAWWELL_TOKEN");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *dry_run =
		arg_lit0(NULL, "dry-run", "show what load would change");
	struct arg_file *in_force =
		arg_file0(NULL, "in-force", "FILE",
			  "check: the version in force; else that of a node "
			  "given by -e");
	struct arg_file *facts = arg_file0(NULL, "facts", "FILE",
					   "check: what is known of the site");
	struct arg_str *words =
		arg_strn(NULL, NULL, "COMMAND", 1, ARGS_MAX, "see below");
	struct arg_end *end = arg_end(ARG_ERRORS_MAX);
	void *arg_table[] = { entries,	token, json,  dry_run,
			      in_force, facts, words, end };
	struct command_context cmd = { 0 };

	if (arg_parse(argc, argv, arg_table)) {
		arg_print_errors(stderr, end, "jackdawwell");
		print_usage(arg_table);
		return EXIT_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	log_init(LOG_ERROR, "jackdawwell");
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return EXIT_REFUSED;
	cmd.api.entries = entries->sval;
	cmd.api.entry_count = entries->count;
	cmd.api.token =
		token->count ? token->sval[0] : getenv("JACKDAWWELL_TOKEN");
	if (!cmd.api.token)
		cmd.api.token = "";
	cmd.json = json->count;
	cmd.dry_run = dry_run->count;
	cmd.in_force = in_force->count ? in_force->filename[0] : NULL;
	cmd.facts = facts->count ? facts->filename[0] : NULL;
	return run_command(&cmd, words->sval, words->count, arg_table);
}
