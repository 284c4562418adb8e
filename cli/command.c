#include "cli/command.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/table.h"
#include "version/cfg.h"
#include "version/inventory.h"

#define ID_BYTES 16 /* of a change's id */

/* Answers */

static void print_json(const json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	printf("\n");
}

static void print_conflict(const json_t *answer)
{
	json_t *change;
	size_t i;

	json_array_foreach(json_object_get(answer, "changes"), i, change)
	{
		char *text = json_dumps(json_object_get(change, "change"),
					JSON_COMPACT | JSON_SORT_KEYS);

		fprintf(stderr,
			"  version %" JSON_INTEGER_FORMAT " by %s: %.200s\n",
			json_integer_value(json_object_get(change, "version")),
			json_string_value(json_object_get(change, "by")), text);
		free(text);
	}
}

/* Prints an error answer; returns the exit code for it. */
static int print_error(long code, const json_t *answer)
{
	const char *error = json_string_value(json_object_get(answer, "error"));

	if (!code) {
		fprintf(stderr, "jackdawwell: no entry can be reached\n");
		return EXIT_UNREACHABLE;
	}
	fprintf(stderr, "jackdawwell: %s\n", error ? error : "refused");
	if (code == 409)
		print_conflict(answer);
	return EXIT_REFUSED;
}

static void print_accepted(const struct command_context *cmd, long code,
			   const json_t *answer)
{
	json_int_t version =
		json_integer_value(json_object_get(answer, "version"));
	const char *key = json_string_value(json_object_get(answer, "key"));

	if (cmd->json) {
		print_json(answer);
		return;
	}
	printf("version %" JSON_INTEGER_FORMAT " %s\n", version,
	       code == 200 ? "accepted"
			   : "committed; a majority of the entries does not "
			     "know it yet");
	if (key)
		printf("key %s\n", key);
}

/* Changes */

static void add_id(json_t *body)
{
	uint8_t bytes[ID_BYTES];
	char id[ID_BYTES * 2 + 1];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(id, sizeof(id), bytes, sizeof(bytes));
	json_object_set_new(body, "id", json_string(id));
}

static int post_change(const struct command_context *cmd, const char *path,
		       json_t *body)
{
	long code;
	json_t *answer;
	int exit_code = 0;

	add_id(body);
	answer = api_call(&cmd->api, "POST", path, body, &code);
	if (code == 200 || code == 202)
		print_accepted(cmd, code, answer);
	else
		exit_code = print_error(code, answer);
	json_decref(answer);
	json_decref(body);
	return exit_code;
}

int command_change(const struct command_context *cmd, json_int_t base_version,
		   json_t *change)
{
	return post_change(cmd, "/v1/config",
			   json_pack("{s:I, s:o}", "base", base_version,
				     "change", change));
}

json_t *command_config(const struct command_context *cmd, int *exit_code)
{
	long code;
	json_t *answer = api_call(&cmd->api, "GET", "/v1/config", NULL, &code);

	*exit_code = code == 200 ? 0 : print_error(code, answer);
	if (!*exit_code)
		return answer;
	json_decref(answer);
	return NULL;
}

static json_int_t answer_version(const json_t *answer)
{
	return json_integer_value(json_object_get(answer, "version"));
}

/* load */

static void print_object_change(const char *kind, const char *name,
				const json_t *before, const json_t *after)
{
	char *old_text =
		before ? json_dumps(before, JSON_COMPACT | JSON_SORT_KEYS)
		       : NULL;
	char *new_text =
		json_is_null(after)
			? NULL
			: json_dumps(after, JSON_COMPACT | JSON_SORT_KEYS);

	if (old_text)
		printf("- %s %s %s\n", kind, name, old_text);
	if (new_text)
		printf("+ %s %s %s\n", kind, name, new_text);
	free(old_text);
	free(new_text);
}

static void print_change(const json_t *config, const json_t *change)
{
	const char *kind;
	const char *name;
	json_t *objects;
	json_t *object;

	json_object_foreach((json_t *)change, kind, objects)
	{
		json_object_foreach(objects, name, object)
		{
			print_object_change(
				kind, name,
				json_object_get(json_object_get(config, kind),
						name),
				object);
		}
	}
}

/*
 * Files do not set states and generations: keeps the current ones. An instance
 * that has no state yet is serving.
 */
static void keep_current_state(const json_t *config, json_t *doc)
{
	const char *name;
	json_t *object;
	json_t *current;

	json_object_foreach(json_object_get(doc, "instances"), name, object)
	{
		current = json_object_get(json_object_get(config, "instances"),
					  name);
		if (json_object_get(current, "state"))
			json_object_set(object, "state",
					json_object_get(current, "state"));
		else
			json_object_set_new(object, "state",
					    json_string("serving"));
		if (json_object_get(current, "generation"))
			json_object_set(object, "generation",
					json_object_get(current, "generation"));
	}
}

static int load_doc(const struct command_context *cmd, json_t *doc)
{
	int exit_code;
	json_t *answer = command_config(cmd, &exit_code);
	const json_t *config = json_object_get(answer, "config");
	json_t *change;

	if (!answer)
		return exit_code;
	keep_current_state(config, doc);
	change = cfg_diff(config, doc);
	if (!cmd->json)
		print_change(config, change);
	else if (cmd->dry_run)
		print_json(change);
	if (!json_object_size(change)) {
		printf("nothing to change\n");
		json_decref(change);
	} else if (cmd->dry_run) {
		json_decref(change);
	} else {
		exit_code = command_change(cmd, answer_version(answer), change);
	}
	json_decref(answer);
	return exit_code;
}

int command_load(const struct command_context *cmd)
{
	struct status_message message;
	json_t *doc = inventory_load(cmd->args[0], &message);
	int exit_code;

	if (!doc) {
		fprintf(stderr, "jackdawwell: %s\n", message.text);
		return EXIT_REFUSED;
	}
	exit_code = load_doc(cmd, doc);
	json_decref(doc);
	return exit_code;
}

/* key */

int command_key(const struct command_context *cmd)
{
	const char *name = cmd->arg_count > 1 ? cmd->args[1] : "";
	int exit_code;
	json_t *answer;

	if (!strcmp(cmd->args[0], "issue") && cmd->arg_count == 3)
		return post_change(cmd, "/v1/keys",
				   json_pack("{s:s, s:s}", "name", name, "team",
					     cmd->args[2]));
	if (strcmp(cmd->args[0], "withdraw") || cmd->arg_count != 2) {
		fprintf(stderr, "usage: jackdawwell key issue NAME TEAM | "
				"withdraw NAME\n");
		return EXIT_USAGE;
	}
	answer = command_config(cmd, &exit_code);
	if (!answer)
		return exit_code;
	if (!json_object_get(
		    json_object_get(json_object_get(answer, "config"), "keys"),
		    name)) {
		fprintf(stderr, "jackdawwell: no key \"%s\"\n", name);
		json_decref(answer);
		return EXIT_REFUSED;
	}
	exit_code = command_change(cmd, answer_version(answer),
				   json_pack("{s:{s:n}}", "keys", name));
	json_decref(answer);
	return exit_code;
}

/* Lists */

int command_list(const struct command_context *cmd, const char *kind,
		 const char *const *columns)
{
	int exit_code;
	json_t *answer = command_config(cmd, &exit_code);
	const json_t *objects;

	if (!answer)
		return exit_code;
	objects = json_object_get(json_object_get(answer, "config"), kind);
	if (cmd->json)
		print_json(objects);
	else
		table_print(objects, kind, columns);
	json_decref(answer);
	return 0;
}

int command_teams(const struct command_context *cmd)
{
	static const char *const columns[] = { "share", "limit", NULL };

	return command_list(cmd, "teams", columns);
}

int command_queues(const struct command_context *cmd)
{
	static const char *const columns[] = { "pool",	      "team",
					       "class",	      "idempotent",
					       "open",	      "run_max_ms",
					       "wait_max_ms", NULL };

	return command_list(cmd, "queues", columns);
}

int command_instances(const struct command_context *cmd)
{
	static const char *const columns[] = { "state",	  "pool",  "zone",
					       "rack",	  "slots", "department",
					       "address", NULL };

	return command_list(cmd, "instances", columns);
}

/* status */

static json_t *status_row(const json_t *status)
{
	return json_pack("{s:O, s:O, s:O, s:O, s:O}", "zone",
			 json_object_get(status, "zone"), "state",
			 json_object_get(status, "state"), "version",
			 json_object_get(status, "version"), "fresh",
			 json_object_get(status, "fresh"), "incarnation",
			 json_object_get(status, "incarnation"));
}

int command_status(const struct command_context *cmd)
{
	static const char *const columns[] = { "zone",	      "state",
					       "version",     "fresh",
					       "incarnation", NULL };
	json_t *rows = json_object();
	json_t *statuses = json_object();
	int reached = 0;
	int i;

	for (i = 0; i < cmd->api.entry_count; i++) {
		long code;
		const char *entry = cmd->api.entries[i];
		json_t *status = api_call_entry(&cmd->api, entry, "GET",
						"/v1/status", NULL, &code);

		if (code == 200) {
			reached++;
			json_object_set_new(rows,
					    json_string_value(json_object_get(
						    status, "name")),
					    status_row(status));
			json_object_set(statuses, entry, status);
		} else if (code) {
			print_error(code, status);
		} else {
			fprintf(stderr, "jackdawwell: %s: no answer\n", entry);
		}
		json_decref(status);
	}
	if (cmd->json)
		print_json(statuses);
	else if (reached)
		table_print(rows, "entry", columns);
	json_decref(rows);
	json_decref(statuses);
	return reached ? 0 : EXIT_UNREACHABLE;
}

/* States of instances */

/* Sets a field of the instances named by the first arguments, in one change. */
static int change_instances(const struct command_context *cmd, int count,
			    const char *field, const char *value)
{
	int exit_code;
	json_t *answer = command_config(cmd, &exit_code);
	json_t *instances;
	json_t *changed = json_object();
	int i;

	if (!answer) {
		json_decref(changed);
		return exit_code;
	}
	instances =
		json_object_get(json_object_get(answer, "config"), "instances");
	for (i = 0; i < count && !exit_code; i++) {
		json_t *object =
			json_copy(json_object_get(instances, cmd->args[i]));

		if (!object) {
			fprintf(stderr, "jackdawwell: no instance \"%s\"\n",
				cmd->args[i]);
			exit_code = EXIT_REFUSED;
			break;
		}
		json_object_set_new(object, field, json_string(value));
		json_object_set_new(changed, cmd->args[i], object);
	}
	if (exit_code)
		json_decref(changed);
	else
		exit_code = command_change(
			cmd, answer_version(answer),
			json_pack("{s:o}", "instances", changed));
	json_decref(answer);
	return exit_code;
}

int command_drain(const struct command_context *cmd)
{
	return change_instances(cmd, cmd->arg_count, "state", "draining");
}

int command_undrain(const struct command_context *cmd)
{
	return change_instances(cmd, cmd->arg_count, "state", "serving");
}

int command_out(const struct command_context *cmd)
{
	return change_instances(cmd, cmd->arg_count, "state", "out");
}

int command_depart(const struct command_context *cmd)
{
	return change_instances(cmd, cmd->arg_count, "state", "departed");
}

int command_move(const struct command_context *cmd)
{
	return change_instances(cmd, 1, "pool", cmd->args[1]);
}
