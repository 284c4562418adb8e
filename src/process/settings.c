#include "process/settings.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "process/yamlfile.h"

#define TEXT_MAX 256  /* bytes */
#define SECRET_MIN 16 /* bytes */
#define DEFAULT_THREADS 1
#define DEFAULT_SHARDS 4
#define DEFAULT_WAITING_MAX 10000
#define DEFAULT_WAITING_MIB 96
#define DEFAULT_BODY_MAX_KIB 1024
#define DEFAULT_CONNECTIONS_MAX 20000
#define DEFAULT_ENTRIES_MAX 7
#define DEFAULT_WORKER_CONNECTIONS 64

static const cyaml_schema_field_t operator_fields[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER,
			       struct settings_operator, name, 1, TEXT_MAX),
	CYAML_FIELD_STRING_PTR("token", CYAML_FLAG_POINTER,
			       struct settings_operator, token, SECRET_MIN,
			       TEXT_MAX),
	CYAML_FIELD_END
};

static const cyaml_schema_value_t operator_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct settings_operator,
			    operator_fields),
};

#define TEXT_FIELD(field, min_bytes)                                        \
	CYAML_FIELD_STRING_PTR(#field, CYAML_FLAG_POINTER, struct settings, \
			       field, min_bytes, TEXT_MAX)
#define NUMBER_FIELD(field) \
	CYAML_FIELD_UINT(#field, CYAML_FLAG_OPTIONAL, struct settings, field)

static const cyaml_schema_field_t fields[] = {
	TEXT_FIELD(name, 1),
	TEXT_FIELD(zone, 1),
	TEXT_FIELD(callers, 1),
	TEXT_FIELD(admin, 1),
	TEXT_FIELD(peers, 1),
	TEXT_FIELD(platform, 1),
	TEXT_FIELD(secret, SECRET_MIN),
	NUMBER_FIELD(threads),
	NUMBER_FIELD(shards),
	NUMBER_FIELD(waiting_max),
	NUMBER_FIELD(waiting_mib),
	NUMBER_FIELD(body_max_kib),
	NUMBER_FIELD(connections_max),
	NUMBER_FIELD(entries_max),
	NUMBER_FIELD(worker_connections),
	CYAML_FIELD_SEQUENCE("operators",
			     CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     struct settings, operators, &operator_schema, 0,
			     CYAML_UNLIMITED),
	CYAML_FIELD_END
};

static const cyaml_schema_value_t schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct settings, fields),
};

/* Checks that the schema cannot express */

struct bound {
	const char *field;
	size_t offset;
	uint32_t default_value; /* if the file lacks the field */
	uint32_t min;
	uint32_t max;
};

#define BOUND(field, default_value, min, max)                                 \
	{                                                                     \
#field, offsetof(struct settings, field), default_value, min, \
			max                                                   \
	}

static const struct bound bounds[] = {
	BOUND(threads, DEFAULT_THREADS, 1, 64),
	BOUND(shards, DEFAULT_SHARDS, 1, 4096),
	BOUND(waiting_max, DEFAULT_WAITING_MAX, 1, 1000000),
	BOUND(waiting_mib, DEFAULT_WAITING_MIB, 1, 65536),
	BOUND(body_max_kib, DEFAULT_BODY_MAX_KIB, 1, 65536),
	BOUND(connections_max, DEFAULT_CONNECTIONS_MAX, 1, 100000),
	BOUND(entries_max, DEFAULT_ENTRIES_MAX, 1, 64),
	BOUND(worker_connections, DEFAULT_WORKER_CONNECTIONS, 1, 100000),
};

static bool check_numbers(struct settings *s, const char *path,
			  struct status_message *m)
{
	size_t i;

	for (i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++) {
		const struct bound *b = &bounds[i];
		uint32_t *value = (uint32_t *)((char *)s + b->offset);
		unsigned int line = yamlfile_line(path, b->field, NULL);

		if (!line)
			*value = b->default_value;
		if (*value >= b->min && *value <= b->max)
			continue;
		status_set(m,
			   "%s:%u: field \"%s\" is %u, wanted a number from "
			   "%u to %u",
			   path, line, b->field, *value, b->min, b->max);
		return false;
	}
	return true;
}

static bool check_address(const char *path, const char *field,
			  const char *value, struct status_message *m)
{
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	if (settings_address(value, ip, &port))
		return true;
	status_set(m,
		   "%s:%u: field \"%s\" is \"%s\", wanted an IP address and a "
		   "port, as in 10.0.0.1:8080",
		   path, yamlfile_line(path, field, NULL), field, value);
	return false;
}

static bool check(struct settings *s, const char *path,
		  struct status_message *m)
{
	if (!check_numbers(s, path, m) ||
	    !check_address(path, "callers", s->callers, m) ||
	    !check_address(path, "admin", s->admin, m) ||
	    !check_address(path, "peers", s->peers, m))
		return false;
	if (!strncmp(s->platform, "http://", 7))
		return true;
	status_set(m,
		   "%s:%u: field \"platform\" is \"%s\", wanted a URL that "
		   "begins with http://",
		   path, yamlfile_line(path, "platform", NULL), s->platform);
	return false;
}

struct settings *settings_load(const char *path, struct status_message *message)
{
	struct settings *s = NULL;

	if (!yamlfile_load(path, &schema, (void **)&s, message))
		return NULL;
	if (check(s, path, message))
		return s;
	settings_free(s);
	return NULL;
}

void settings_free(struct settings *s)
{
	yamlfile_free(&schema, s);
}

bool settings_address(const char *text, char *ip, uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	struct in_addr address;
	char *end;
	unsigned long value;

	if (!colon || colon - text >= INET_ADDRSTRLEN)
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	value = strtoul(colon + 1, &end, 10);
	if (*end || end == colon + 1 || !value || value > UINT16_MAX)
		return false;
	*port = (uint16_t)value;
	return inet_pton(AF_INET, ip, &address) == 1;
}
