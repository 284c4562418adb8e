/*
 * check - the command `check`, which checks a configuration before it is sent
 *
 * Reads files and, with -e, one document from a node; writes nothing.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "cli/command.h"
#include "fleet/fleet.h"
#include "job/config_check.h"
#include "pool/sched.h"

#define EXIT_FINDINGS 1 /* errors or warnings */
/* Nodes send each other a configuration of at most 1 MB (peer_server.c). */
#define DOCUMENT_BYTES_MAX ((size_t)1 << 20)

/* Input */

/* Reads a file, or standard input for "-"; on failure says why. */
static bool read_file(TALLOC_CTX *ctx, const char *path,
		      struct check_input *input)
{
	bool is_stdin = !strcmp(path, "-");
	FILE *f = is_stdin ? stdin : fopen(path, "rb");
	uint8_t *bytes = talloc_size(ctx, DOCUMENT_BYTES_MAX + 1);
	int error = errno;

	if (!f || !bytes) {
		fprintf(stderr, "jackdawwell: %s: %s\n", path, strerror(error));
		return false;
	}
	input->bytes = bytes;
	input->length = fread(bytes, 1, DOCUMENT_BYTES_MAX + 1, f);
	error = ferror(f) ? errno : 0;
	if (!is_stdin)
		fclose(f);
	if (error)
		fprintf(stderr, "jackdawwell: %s: %s\n", path, strerror(error));
	else if (input->length > DOCUMENT_BYTES_MAX)
		fprintf(stderr,
			"jackdawwell: %s: more than %zu bytes, the most that "
			"nodes exchange\n",
			path, DOCUMENT_BYTES_MAX);
	return !error && input->length <= DOCUMENT_BYTES_MAX;
}

/* Fetches the document in force from the first node that has one. */
static bool fetch(TALLOC_CTX *ctx, const struct api *api, const char **name,
		  struct check_input *input)
{
	int i;

	for (i = 0; i < api->entry_count; i++) {
		long code;
		json_t *answer =
			api_call_entry(api, api->entries[i], "GET",
				       "/config/document", NULL, &code);
		char *text =
			code == 200 && answer ? json_dumps(answer, 0) : NULL;

		json_decref(answer);
		if (text) {
			input->bytes = talloc_memdup(ctx, text, strlen(text));
			input->length = strlen(text);
			free(text);
			*name = api->entries[i];
			return input->bytes != NULL;
		}
		fprintf(stderr, "jackdawwell: %s: no configuration (%ld)\n",
			api->entries[i], code);
	}
	return false;
}

/* Facts about the site */

static bool read_amount(json_t *o, struct amount *a)
{
	json_int_t cpu = 0, mem = 0, gpu = 0;

	if (json_unpack(o, "{s?I, s?I, s?I !}", "cpu", &cpu, "mem", &mem, "gpu",
			&gpu))
		return false;
	*a = (struct amount){ cpu, mem, gpu };
	return true;
}

static bool read_tasks(TALLOC_CTX *ctx, json_t *o, struct lint_facts *facts)
{
	struct lint_task *tasks = talloc_zero_array(ctx, struct lint_task,
						    json_object_size(o) + 1);
	const char *name;
	json_t *amount;

	json_object_foreach(o, name, amount)
	{
		struct lint_task *t = &tasks[facts->task_count++];

		t->workspace = talloc_strdup(ctx, name);
		if (!read_amount(amount, &t->amount))
			return false;
	}
	facts->tasks = tasks;
	facts->has_tasks = true;
	return true;
}

static bool decode_facts(TALLOC_CTX *ctx, json_t *o, struct lint_facts *facts)
{
	json_t *capacity = NULL, *tasks = NULL;
	json_int_t wait = 0;

	if (json_unpack(o, "{s?o, s?o, s?I !}", "capacity", &capacity,
			"largest_tasks", &tasks, "caller_wait_ms", &wait) ||
	    wait < 0 || wait > UINT32_MAX)
		return false;
	facts->caller_wait_ms = (uint32_t)wait;
	facts->has_capacity = capacity != NULL;
	if (capacity && !read_amount(capacity, &facts->capacity))
		return false;
	return !tasks ||
	       (json_is_object(tasks) && read_tasks(ctx, tasks, facts));
}

static bool load_facts(TALLOC_CTX *ctx, const char *path,
		       struct lint_facts *facts)
{
	struct check_input input;
	json_error_t error;
	json_t *o;
	bool valid;

	if (!read_file(ctx, path, &input))
		return false;
	o = json_loadb((const char *)input.bytes, input.length,
		       JSON_REJECT_DUPLICATES, &error);
	valid = o && decode_facts(ctx, o, facts);
	if (!o)
		fprintf(stderr, "jackdawwell: %s:%d: %s\n", path, error.line,
			error.text);
	else if (!valid)
		fprintf(stderr,
			"jackdawwell: %s: wanted an object of capacity, "
			"largest_tasks and caller_wait_ms\n",
			path);
	json_decref(o);
	return valid;
}

/* Output */

/* Prints a text of the document, without its control characters. */
static void print_clean(FILE *out, const char *text)
{
	for (; *text; text++)
		fputc((unsigned char)*text < ' ' || *text == '\x7f' ? '?'
								    : *text,
		      out);
}

static void print_finding(FILE *out, const char *file,
			  const struct check_finding *f)
{
	fprintf(out, "%s:", file);
	if (f->line)
		fprintf(out, "%d:", f->line);
	fprintf(out, " %s: ", lint_severity_name(f->severity));
	if (*f->path) {
		print_clean(out, f->path);
		fprintf(out, ": ");
	}
	print_clean(out, f->text);
	fprintf(out, " [%s]\n", f->code);
}

static void print_text(const struct check_report *r, const char *file,
		       const char *in_force)
{
	int severity;
	uint32_t i;

	for (severity = 0; severity < LINT_SEVERITIES; severity++)
		for (i = 0; i < r->count; i++)
			if ((int)r->findings[i].severity == severity)
				print_finding(stdout,
					      r->findings[i].in_force ? in_force
								      : file,
					      &r->findings[i]);
	printf("%s: %u errors, %u warnings, %u other lines\n", file,
	       r->counts[LINT_ERROR], r->counts[LINT_WARNING],
	       r->counts[LINT_INFO]);
}

/* False if a file's name is not UTF-8; texts of a document always are. */
static bool print_json(const struct check_report *r, const char *file,
		       const char *in_force)
{
	json_t *findings = json_array();
	json_t *document;
	uint32_t i;

	for (i = 0; i < r->count; i++) {
		const struct check_finding *f = &r->findings[i];
		json_t *o = json_pack("{s:s, s:s, s:s, s:s, s:s}", "severity",
				      lint_severity_name(f->severity), "code",
				      f->code, "file",
				      f->in_force ? in_force : file, "path",
				      f->path, "text", f->text);

		if (f->line)
			json_object_set_new(o, "line", json_integer(f->line));
		json_array_append_new(findings, o);
	}
	document = json_pack("{s:s, s:i, s:i, s:i, s:o}", "file", file,
			     "errors", (int)r->counts[LINT_ERROR], "warnings",
			     (int)r->counts[LINT_WARNING], "infos",
			     (int)r->counts[LINT_INFO], "findings", findings);
	if (!document)
		return false;
	json_dumpf(document, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	printf("\n");
	json_decref(document);
	return true;
}

/* Prints the report; returns the exit code for it. */
static int print_report(const struct command_context *cmd,
			const struct check_report *r, const char *file,
			const char *in_force)
{
	if (!r->readable) {
		print_finding(stderr, file, &r->findings[0]);
		return EXIT_USAGE;
	}
	if (cmd->json && !print_json(r, file, in_force)) {
		fprintf(stderr, "jackdawwell: %s: the name is not UTF-8\n",
			file);
		return EXIT_USAGE;
	}
	if (!cmd->json)
		print_text(r, file, in_force);
	return r->counts[LINT_ERROR] || r->counts[LINT_WARNING] ? EXIT_FINDINGS
								: 0;
}

int command_check(const struct command_context *cmd)
{
	struct lint_facts facts = { .name_bytes = SCHED_NAME_MAX - 1,
				    .pools_max = FLEET_POOLS_MAX };
	struct check_input input = { 0 }, in_force = { 0 };
	const char *file = cmd->args[0];
	const char *in_force_name = cmd->in_force;
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct check_report *r;
	int exit_code = EXIT_USAGE;
	bool loaded;

	if (!read_file(ctx, file, &input) ||
	    (cmd->facts && !load_facts(ctx, cmd->facts, &facts)))
		goto out;
	if (cmd->in_force && !read_file(ctx, cmd->in_force, &in_force))
		goto out;
	if (!cmd->in_force && cmd->api.entry_count &&
	    !fetch(ctx, &cmd->api, &in_force_name, &in_force))
		goto out;
	r = config_check(ctx, &config_document, &input, &in_force, &facts,
			 &loaded);
	if (in_force.bytes && !loaded) {
		fprintf(stderr, "jackdawwell: %s: nodes refuse this document\n",
			in_force_name);
		goto out;
	}
	exit_code = print_report(cmd, r, file, in_force_name);
out:
	talloc_free(ctx);
	return exit_code;
}
