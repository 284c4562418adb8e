#include "process/yamlfile.h"

#include <stdio.h>
#include <string.h>

#define YAMLFILE_LINE_MAX 1024 /* bytes */

/* Appends one of libcyaml's log lines, without its newline. */
static void on_log(cyaml_log_t level, void *arg, const char *fmt, va_list ap)
{
	struct status_message *m = arg;
	size_t used = strlen(m->text);

	(void)level;
	if (used && used + 2 < sizeof(m->text)) {
		memcpy(m->text + used, ", ", 3);
		used += 2;
	}
	vsnprintf(m->text + used, sizeof(m->text) - used, fmt, ap);
	used = strlen(m->text);
	while (used && (m->text[used - 1] == '\n' || m->text[used - 1] == ' '))
		m->text[--used] = '\0';
}

static cyaml_config_t config_with(struct status_message *log)
{
	cyaml_config_t config = {
		.log_fn = on_log,
		.log_ctx = log,
		.log_level = CYAML_LOG_ERROR,
		.mem_fn = cyaml_mem,
	};

	return config;
}

bool yamlfile_load(const char *path, const cyaml_schema_value_t *schema,
		   void **value, struct status_message *message)
{
	struct status_message log = { "" };
	cyaml_config_t config = config_with(&log);
	cyaml_err_t error;

	error = cyaml_load_file(path, &config, schema, value, NULL);
	if (error == CYAML_OK)
		return true;
	status_set(message, "%s: %s: %.400s", path, cyaml_strerror(error),
		   log.text);
	return false;
}

void yamlfile_free(const cyaml_schema_value_t *schema, void *value)
{
	struct status_message log = { "" };
	cyaml_config_t config = config_with(&log);

	cyaml_free(&config, schema, value, 0);
}

/* Whether the value at text is exactly this one, bare or in quotes. */
static bool value_is(const char *text, const char *value)
{
	size_t n = strlen(value);

	text += strspn(text, " \"'");
	return !strncmp(text, value, n) &&
	       (!text[n] || strchr(" \"',}\r\n#", text[n]));
}

static bool line_sets(const char *text, const char *field, const char *value)
{
	const char *s = text + strspn(text, " -{");
	size_t n = strlen(field);

	return !strncmp(s, field, n) && s[n] == ':' &&
	       (!value || value_is(s + n + 1, value));
}

unsigned int yamlfile_line(const char *path, const char *field,
			   const char *value)
{
	FILE *in = fopen(path, "r");
	char text[YAMLFILE_LINE_MAX];
	unsigned int line = 0;
	unsigned int found = 0;

	if (!in)
		return 0;
	while (!found && fgets(text, sizeof(text), in)) {
		line++;
		if (line_sets(text, field, value))
			found = line;
	}
	fclose(in);
	return found;
}
