#include "cli/command.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/table.h"
#include "version/cfg.h"
#include "version/inventory.h"

#define ID_BYTES 16

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

/* Prints an error answer; the exit code that goes with it. */
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

static void print_accepted(const struct command_call *call, long code,
			   const json_t *answer)
{
	json_int_t version =
		json_integer_value(json_object_get(answer, "version"));
	const char *key = json_string_value(json_object_get(answer, "key"));

	if (call->json) {
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

static int post(const struct command_call *call, const char *path, json_t *body)
{
	long code;
	json_t *answer;
	int exit_code = 0;

	add_id(body);
	answer = api_call(&call->api, "POST", path, body, &code);
	if (code == 200 || code == 202)
		print_accepted(call, code, answer);
	else
		exit_code = print_error(code, answer);
	json_decref(answer);
	json_decref(body);
	return exit_code;
}

int command_change(const struct command_call *call, json_int_t base,
		   json_t *change)
{
	return post(call, "/v1/config",
		    json_pack("{s:I, s:o}", "base", base, "change", change));
}

json_t *command_config(const struct command_call *call, int *exit_code)
{
	long code;
	json_t *answer = api_call(&call->api, "GET", "/v1/config", NULL, &code);

	*exit_code = code == 200 ? 0 : print_error(code, answer);
	if (!*exit_code)
		return answer;
	json_decref(answer);
	return NULL;
}

static json_int_t version_of(const json_t *answer)
{
	return json_integer_value(json_object_get(answer, "version"));
}

/* load */

static void print_object_change(const char *kind, const char *name,
				const json_t *before, const json_t *after)
{
	char *was = before ? json_dumps(before, JSON_COMPACT | JSON_SORT_KEYS)
			   : NULL;
	char *is = json_is_null(after)
			   ? NULL
			   : json_dumps(after, JSON_COMPACT | JSON_SORT_KEYS);

	if (was)
		printf("- %s %s %s\n", kind, name, was);
	if (is)
		printf("+ %s %s %s\n", kind, name, is);
	free(was);
	free(is);
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

/* States and generations are the system's; a file does not set them. */
static void keep_state(const json_t *config, json_t *doc)
{
	const char *name;
	json_t *object;
	json_t *known;

	json_object_foreach(json_object_get(doc, "instances"), name, object)
	{
		known = json_object_get(json_object_get(config, "instances"),
					name);
		if (json_object_get(known, "state"))
			json_object_set(object, "state",
					json_object_get(known, "state"));
		else
			json_object_set_new(object, "state",
					    json_string("serving"));
		if (json_object_get(known, "generation"))
			json_object_set(object, "generation",
					json_object_get(known, "generation"));
	}
}

static int load_doc(const struct command_call *call, json_t *doc)
{
	int exit_code;
	json_t *answer = command_config(call, &exit_code);
	const json_t *config = json_object_get(answer, "config");
	json_t *change;

	if (!answer)
		return exit_code;
	keep_state(config, doc);
	change = cfg_diff(config, doc);
	if (!call->json)
		print_change(config, change);
	else if (call->dry_run)
		print_json(change);
	if (!json_object_size(change)) {
		printf("nothing to change\n");
		json_decref(change);
	} else if (call->dry_run) {
		json_decref(change);
	} else {
		exit_code = command_change(call, version_of(answer), change);
	}
	json_decref(answer);
	return exit_code;
}

int command_load(const struct command_call *call)
{
	struct status_message message;
	json_t *doc = inventory_load(call->words[0], &message);
	int exit_code;

	if (!doc) {
		fprintf(stderr, "jackdawwell: %s\n", message.text);
		return EXIT_REFUSED;
	}
	exit_code = load_doc(call, doc);
	json_decref(doc);
	return exit_code;
}

/* key issue NAME TEAM, key withdraw NAME */

int command_key(const struct command_call *call)
{
	const char *name = call->word_count > 1 ? call->words[1] : "";
	int exit_code;
	json_t *answer;

	if (!strcmp(call->words[0], "issue") && call->word_count == 3)
		return post(call, "/v1/keys",
			    json_pack("{s:s, s:s}", "name", name, "team",
				      call->words[2]));
	if (strcmp(call->words[0], "withdraw") || call->word_count != 2) {
		fprintf(stderr, "jackdawwell: wanted `key issue NAME TEAM` or "
				"`key withdraw NAME`\n");
		return EXIT_USAGE;
	}
	answer = command_config(call, &exit_code);
	if (!answer)
		return exit_code;
	if (!json_object_get(
		    json_object_get(json_object_get(answer, "config"), "keys"),
		    name)) {
		fprintf(stderr, "jackdawwell: no key \"%s\"\n", name);
		json_decref(answer);
		return EXIT_REFUSED;
	}
	exit_code = command_change(call, version_of(answer),
				   json_pack("{s:{s:n}}", "keys", name));
	json_decref(answer);
	return exit_code;
}

/* Lists */

int command_list(const struct command_call *call, const char *kind,
		 const char *const *columns)
{
	int exit_code;
	json_t *answer = command_config(call, &exit_code);
	const json_t *objects;

	if (!answer)
		return exit_code;
	objects = json_object_get(json_object_get(answer, "config"), kind);
	if (call->json)
		print_json(objects);
	else
		table_print(objects, kind, columns);
	json_decref(answer);
	return 0;
}

int command_teams(const struct command_call *call)
{
	static const char *const columns[] = { "share", "limit", NULL };

	return command_list(call, "teams", columns);
}

int command_queues(const struct command_call *call)
{
	static const char *const columns[] = { "pool",	      "team",
					       "class",	      "idempotent",
					       "open",	      "run_max_ms",
					       "wait_max_ms", NULL };

	return command_list(call, "queues", columns);
}

int command_instances(const struct command_call *call)
{
	static const char *const columns[] = { "state",	  "pool",  "zone",
					       "rack",	  "slots", "department",
					       "address", NULL };

	return command_list(call, "instances", columns);
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

int command_status(const struct command_call *call)
{
	static const char *const columns[] = { "zone",	      "state",
					       "version",     "fresh",
					       "incarnation", NULL };
	json_t *rows = json_object();
	json_t *all = json_object();
	int reached = 0;
	int i;

	for (i = 0; i < call->api.entry_count; i++) {
		long code;
		const char *entry = call->api.entries[i];
		json_t *status = api_call_at(&call->api, entry, "GET",
					     "/v1/status", NULL, &code);

		if (code == 200) {
			reached++;
			json_object_set_new(rows,
					    json_string_value(json_object_get(
						    status, "name")),
					    status_row(status));
			json_object_set(all, entry, status);
		} else if (code) {
			print_error(code, status);
		} else {
			fprintf(stderr, "jackdawwell: %s: no answer\n", entry);
		}
		json_decref(status);
	}
	if (call->json)
		print_json(all);
	else if (reached)
		table_print(rows, "entry", columns);
	json_decref(rows);
	json_decref(all);
	return reached ? 0 : EXIT_UNREACHABLE;
}

/* Instances' states */

/* A change that gives each named instance a field's value. */
static int change_instances(const struct command_call *call, int count,
			    const char *field, const char *value)
{
	int exit_code;
	json_t *answer = command_config(call, &exit_code);
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
			json_copy(json_object_get(instances, call->words[i]));

		if (!object) {
			fprintf(stderr, "jackdawwell: no instance \"%s\"\n",
				call->words[i]);
			exit_code = EXIT_REFUSED;
			break;
		}
		json_object_set_new(object, field, json_string(value));
		json_object_set_new(changed, call->words[i], object);
	}
	if (exit_code)
		json_decref(changed);
	else
		exit_code = command_change(
			call, version_of(answer),
			json_pack("{s:o}", "instances", changed));
	json_decref(answer);
	return exit_code;
}

int command_drain(const struct command_call *call)
{
	return change_instances(call, call->word_count, "state", "draining");
}

int command_undrain(const struct command_call *call)
{
	return change_instances(call, call->word_count, "state", "serving");
}

int command_out(const struct command_call *call)
{
	return change_instances(call, call->word_count, "state", "out");
}

int command_depart(const struct command_call *call)
{
	return change_instances(call, call->word_count, "state", "departed");
}

int command_move(const struct command_call *call)
{
	return change_instances(call, 1, "pool", call->words[1]);
}
