/*
 * node - the commands `nodes` and `explain`, which call nodes, not entries
 *
 * For them the option -e gives the nodes' addresses for peers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/command.h"
#include "cli/table.h"

#define EXPLAIN_PATH_MAX 64 /* bytes */

static void print_document(const json_t *document)
{
	char *text = json_dumps(document, JSON_INDENT(2));

	printf("%s\n", text ? text : "null");
	free(text);
}

int command_nodes(const struct command_context *cmd)
{
	static const char *const columns[] = { "zone",	"leads",  "lead",
					       "epoch", "config", "store",
					       "peers", "jobs",	  "evacuated",
					       NULL };
	json_t *rows = json_object();
	int exit_code;
	int i;

	for (i = 0; i < cmd->api.entry_count; i++) {
		const char *node = cmd->api.entries[i];
		long code;
		json_t *status = api_call_entry(&cmd->api, node, "GET",
						"/status", NULL, &code);
		const char *name =
			json_string_value(json_object_get(status, "node"));

		if (code == 200 && name)
			json_object_set(rows, name, status);
		else
			fprintf(stderr, "jackdawwell: %s: no answer\n", node);
		json_decref(status);
	}
	exit_code = json_object_size(rows) ? 0 : EXIT_UNREACHABLE;
	if (cmd->json)
		print_document(rows);
	else if (!exit_code)
		table_print(rows, "node", columns);
	json_decref(rows);
	return exit_code;
}

/* Only the leader can explain a job; other nodes answer 404. */
int command_explain(const struct command_context *cmd)
{
	char path[EXPLAIN_PATH_MAX];
	int reached = 0;
	int i;

	snprintf(path, sizeof(path), "/explain/%s", cmd->args[0]);
	for (i = 0; i < cmd->api.entry_count; i++) {
		long code;
		json_t *job = api_call_entry(&cmd->api, cmd->api.entries[i],
					     "GET", path, NULL, &code);

		reached += code != 0;
		if (code == 200 && job) {
			print_document(job);
			json_decref(job);
			return 0;
		}
		json_decref(job);
	}
	if (!reached) {
		fprintf(stderr, "jackdawwell: no node answers\n");
		return EXIT_UNREACHABLE;
	}
	fprintf(stderr, "jackdawwell: no job %s at the nodes asked\n",
		cmd->args[0]);
	return EXIT_REFUSED;
}
