#include "version/cfg_internal.h"

#include <assert.h>
#include <string.h>

/* Fields of each kind of object */

enum field_type {
	FIELD_NUMBER,
	FIELD_NAME,
	FIELD_BOOL,
	FIELD_CLASS,
	FIELD_STATE,
	FIELD_WAVE_STATE,
	FIELD_TEXT,
};

struct field {
	const char *name;
	enum field_type type;
	bool required;
	uint32_t min;
	uint32_t max;
};

struct kind {
	const char *name;
	const struct field *fields;
};

static const struct field department_fields[] = {
	{ "leaves", FIELD_TEXT, false, 0, 0 },
	{ NULL, 0, false, 0, 0 },
};

static const struct field pool_fields[] = {
	{ "service", FIELD_NAME, true, 0, 0 },
	{ "serving_min", FIELD_NUMBER, false, 0, 100000 },
	{ "out_max", FIELD_NUMBER, false, 0, 100000 },
	{ NULL, 0, false, 0, 0 },
};

static const struct field instance_fields[] = {
	{ "address", FIELD_TEXT, true, 0, 0 },
	{ "pool", FIELD_NAME, true, 0, 0 },
	{ "zone", FIELD_NAME, true, 0, 0 },
	{ "rack", FIELD_NAME, true, 0, 0 },
	{ "department", FIELD_NAME, false, 0, 0 },
	{ "slots", FIELD_NUMBER, true, 1, 10000 },
	{ "connections", FIELD_NUMBER, false, 1, 100000 },
	{ "generation", FIELD_NUMBER, false, 0, UINT32_MAX },
	{ "state", FIELD_STATE, false, 0, 0 },
	{ "wave", FIELD_NAME, false, 0, 0 },
	{ "boots", FIELD_NUMBER, false, 0, UINT32_MAX },
	{ NULL, 0, false, 0, 0 },
};

static const struct field team_fields[] = {
	{ "share", FIELD_NUMBER, true, 1, 1000000 },
	{ "limit", FIELD_NUMBER, true, 0, 1000000 },
	{ NULL, 0, false, 0, 0 },
};

static const struct field queue_fields[] = {
	{ "pool", FIELD_NAME, true, 0, 0 },
	{ "team", FIELD_NAME, false, 0, 0 },
	{ "class", FIELD_CLASS, false, 0, 0 },
	{ "idempotent", FIELD_BOOL, false, 0, 0 },
	{ "open", FIELD_BOOL, false, 0, 0 },
	{ "run_max_ms", FIELD_NUMBER, true, 1, CFG_RUN_MAX_MS },
	{ "wait_max_ms", FIELD_NUMBER, true, 1, CFG_RUN_MAX_MS },
	{ NULL, 0, false, 0, 0 },
};

static const struct field key_fields[] = {
	{ "team", FIELD_NAME, true, 0, 0 },
	{ "hash", FIELD_TEXT, true, 0, 0 },
	{ NULL, 0, false, 0, 0 },
};

static const struct field wave_fields[] = {
	{ "state", FIELD_WAVE_STATE, true, 0, 0 },
	{ "pool", FIELD_NAME, false, 0, 0 },
	{ "zone", FIELD_NAME, false, 0, 0 },
	{ "rack", FIELD_NAME, false, 0, 0 },
	{ "return_max_s", FIELD_NUMBER, false, 1, 86400 },
	{ "why", FIELD_TEXT, false, 0, 0 },
	{ NULL, 0, false, 0, 0 },
};

static const struct kind kinds[] = {
	{ "departments", department_fields },
	{ "pools", pool_fields },
	{ "instances", instance_fields },
	{ "teams", team_fields },
	{ "queues", queue_fields },
	{ "keys", key_fields },
	{ "waves", wave_fields },
};

_Static_assert(sizeof(kinds) / sizeof(kinds[0]) == CFG_KINDS,
	       "CFG_KINDS is the number of kinds");

static const char *const state_names[] = { "serving", "draining", "out",
					   "departed" };

static const char *const wave_state_names[] = { "running", "paused", "halted",
						"aborted", "done" };

/* Checks */

static bool name_is_valid(const char *name)
{
	size_t n = strlen(name);

	return n > 0 && n <= CFG_NAME_MAX &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVW"
			    "XYZ0123456789-_.") == n;
}

int cfg_state_find(const char *name)
{
	int i;

	for (i = 0; i <= CFG_DEPARTED; i++)
		if (!strcmp(state_names[i], name))
			return i;
	return -1;
}

int cfg_wave_state_find(const char *name)
{
	int i;

	for (i = 0; i <= CFG_WAVE_DONE; i++)
		if (!strcmp(wave_state_names[i], name))
			return i;
	return -1;
}

static const char *expected_value(const struct field *f)
{
	switch (f->type) {
	case FIELD_NUMBER:
		return "a whole number";
	case FIELD_NAME:
		return "a name of letters, digits, '-', '_' and '.'";
	case FIELD_BOOL:
		return "true or false";
	case FIELD_CLASS:
		return "normal or urgent";
	case FIELD_STATE:
		return "serving, draining, out or departed";
	case FIELD_WAVE_STATE:
		return "running, paused, halted, aborted or done";
	case FIELD_TEXT:
		return "a text";
	}
	return "";
}

static bool value_is_valid(const struct field *f, const json_t *v)
{
	const char *s = json_string_value(v);

	switch (f->type) {
	case FIELD_NUMBER:
		return json_is_integer(v) &&
		       json_integer_value(v) >= (json_int_t)f->min &&
		       json_integer_value(v) <= (json_int_t)f->max;
	case FIELD_NAME:
		return s && name_is_valid(s);
	case FIELD_BOOL:
		return json_is_boolean(v);
	case FIELD_CLASS:
		return s && (!strcmp(s, "normal") || !strcmp(s, "urgent"));
	case FIELD_STATE:
		return s && cfg_state_find(s) >= 0;
	case FIELD_WAVE_STATE:
		return s && cfg_wave_state_find(s) >= 0;
	case FIELD_TEXT:
		return s != NULL;
	}
	return false;
}

static const struct field *field_find(const struct kind *kind, const char *name)
{
	const struct field *f;

	for (f = kind->fields; f->name; f++)
		if (!strcmp(f->name, name))
			return f;
	return NULL;
}

static enum cfg_status fail_value(const struct kind *kind, const char *object,
				  const struct field *f, const json_t *value,
				  struct status_message *m)
{
	char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

	if (f->type == FIELD_NUMBER)
		status_set(m,
			   "%s \"%s\": field \"%s\" is %s, wanted a whole "
			   "number from %u to %u",
			   kind->name, object, f->name, text, f->min, f->max);
	else
		status_set(m, "%s \"%s\": field \"%s\" is %s, wanted %s",
			   kind->name, object, f->name, text,
			   expected_value(f));
	free(text);
	return CFG_INVALID;
}

static enum cfg_status check_object(const struct kind *kind, const char *name,
				    const json_t *object,
				    struct status_message *m)
{
	const struct field *f;
	const char *key;
	json_t *value;

	if (!name_is_valid(name)) {
		status_set(m, "%s \"%s\": not a valid name", kind->name, name);
		return CFG_INVALID;
	}
	if (!json_is_object(object)) {
		status_set(m, "%s \"%s\": wanted an object", kind->name, name);
		return CFG_INVALID;
	}
	json_object_foreach((json_t *)object, key, value)
	{
		f = field_find(kind, key);
		if (!f) {
			status_set(m, "%s \"%s\": unknown field \"%s\"",
				   kind->name, name, key);
			return CFG_INVALID;
		}
		if (!value_is_valid(f, value))
			return fail_value(kind, name, f, value, m);
	}
	for (f = kind->fields; f->name; f++) {
		if (!f->required || json_object_get(object, f->name))
			continue;
		status_set(m, "%s \"%s\": field \"%s\" is missing", kind->name,
			   name, f->name);
		return CFG_INVALID;
	}
	return CFG_OK;
}

static const struct kind *kind_find(const char *name)
{
	size_t i;

	for (i = 0; i < CFG_KINDS; i++)
		if (!strcmp(kinds[i].name, name))
			return &kinds[i];
	return NULL;
}

enum cfg_status cfg_check(const json_t *change, struct status_message *m)
{
	const char *kind_name;
	const char *name;
	json_t *objects;
	json_t *object;
	const struct kind *kind;

	if (!json_is_object(change)) {
		status_set(m, "change: wanted an object of kinds");
		return CFG_INVALID;
	}
	json_object_foreach((json_t *)change, kind_name, objects)
	{
		kind = kind_find(kind_name);
		if (!kind || !json_is_object(objects)) {
			status_set(m, "unknown kind \"%s\"", kind_name);
			return CFG_INVALID;
		}
		json_object_foreach(objects, name, object)
		{
			if (json_is_null(object))
				continue;
			if (check_object(kind, name, object, m) != CFG_OK)
				return CFG_INVALID;
		}
	}
	return CFG_OK;
}

/* Names */

const char *cfg_kind_name(uint32_t kind)
{
	assert(kind < CFG_KINDS);
	return kinds[kind].name;
}

const char *cfg_wave_state_name(enum cfg_wave_state state)
{
	return wave_state_names[state];
}

const char *cfg_state_name(enum cfg_instance_state state)
{
	return state_names[state];
}
