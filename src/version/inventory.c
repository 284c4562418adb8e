#include "version/inventory.h"

#include <string.h>

#include "process/yamlfile.h"
#include "version/cfg.h"

#define TEXT_MAX 256 /* bytes */

/* An object of any kind; which fields it has depends on the kind's schema. */
struct object {
	char *name;
	char *service;
	char *address;
	char *pool;
	char *zone;
	char *rack;
	char *department;
	char *leaves;
	char *team;
	char *class;
	uint32_t *slots;
	uint32_t *connections;
	uint32_t *share;
	uint32_t *limit;
	uint32_t *serving_min;
	uint32_t *out_max;
	uint32_t *run_max_ms;
	uint32_t *wait_max_ms;
	bool *idempotent;
	bool *open;
};

struct inventory {
	struct object *departments;
	uint32_t departments_count;
	struct object *pools;
	uint32_t pools_count;
	struct object *instances;
	uint32_t instances_count;
	struct object *teams;
	uint32_t teams_count;
	struct object *queues;
	uint32_t queues_count;
};

#define TEXT(field, flags)                                           \
	CYAML_FIELD_STRING_PTR(#field, CYAML_FLAG_POINTER | (flags), \
			       struct object, field, 1, TEXT_MAX)
#define NUMBER(field, flags)                                       \
	CYAML_FIELD_UINT_PTR(#field, CYAML_FLAG_POINTER | (flags), \
			     struct object, field)
#define FLAG(field)                                                            \
	CYAML_FIELD_BOOL_PTR(#field, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
			     struct object, field)
#define OPTIONAL CYAML_FLAG_OPTIONAL

static const cyaml_schema_field_t department_fields[] = {
	TEXT(name, 0), TEXT(leaves, OPTIONAL), CYAML_FIELD_END
};

static const cyaml_schema_field_t pool_fields[] = {
	TEXT(name, 0), TEXT(service, 0), NUMBER(serving_min, OPTIONAL),
	NUMBER(out_max, OPTIONAL), CYAML_FIELD_END
};

static const cyaml_schema_field_t instance_fields[] = {
	TEXT(name, 0),	  TEXT(address, 0),
	TEXT(pool, 0),	  TEXT(zone, 0),
	TEXT(rack, 0),	  TEXT(department, OPTIONAL),
	NUMBER(slots, 0), NUMBER(connections, OPTIONAL),
	CYAML_FIELD_END
};

static const cyaml_schema_field_t team_fields[] = {
	TEXT(name, 0), NUMBER(share, 0), NUMBER(limit, 0), CYAML_FIELD_END
};

static const cyaml_schema_field_t queue_fields[] = {
	TEXT(name, 0),	       TEXT(pool, 0),	       TEXT(team, OPTIONAL),
	TEXT(class, OPTIONAL), FLAG(idempotent),       FLAG(open),
	NUMBER(run_max_ms, 0), NUMBER(wait_max_ms, 0), CYAML_FIELD_END
};

#define OBJECT_SCHEMA(kind)                                            \
	static const cyaml_schema_value_t kind##_schema = {            \
		CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct object, \
				    kind##_fields),                    \
	}

OBJECT_SCHEMA(department);
OBJECT_SCHEMA(pool);
OBJECT_SCHEMA(instance);
OBJECT_SCHEMA(team);
OBJECT_SCHEMA(queue);

#define LIST(kind)                                                   \
	CYAML_FIELD_SEQUENCE(                                        \
		#kind "s", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
		struct inventory, kind##s, &kind##_schema, 0, CYAML_UNLIMITED)

static const cyaml_schema_field_t inventory_fields[] = {
	LIST(department), LIST(pool),  LIST(instance),
	LIST(team),	  LIST(queue), CYAML_FIELD_END
};

static const cyaml_schema_value_t inventory_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct inventory,
			    inventory_fields),
};

/* Conversion to a configuration document */

static void set_text(json_t *o, const char *field, const char *value)
{
	if (value)
		json_object_set_new(o, field, json_string(value));
}

static void set_number(json_t *o, const char *field, const uint32_t *value)
{
	if (value)
		json_object_set_new(o, field, json_integer(*value));
}

static void set_flag(json_t *o, const char *field, const bool *value)
{
	if (value)
		json_object_set_new(o, field, json_boolean(*value));
}

static json_t *object_to_json(const struct object *x)
{
	json_t *o = json_object();

	set_text(o, "service", x->service);
	set_text(o, "address", x->address);
	set_text(o, "pool", x->pool);
	set_text(o, "zone", x->zone);
	set_text(o, "rack", x->rack);
	set_text(o, "department", x->department);
	set_text(o, "leaves", x->leaves);
	set_text(o, "team", x->team);
	set_text(o, "class", x->class);
	set_number(o, "slots", x->slots);
	set_number(o, "connections", x->connections);
	set_number(o, "share", x->share);
	set_number(o, "limit", x->limit);
	set_number(o, "serving_min", x->serving_min);
	set_number(o, "out_max", x->out_max);
	set_number(o, "run_max_ms", x->run_max_ms);
	set_number(o, "wait_max_ms", x->wait_max_ms);
	set_flag(o, "idempotent", x->idempotent);
	set_flag(o, "open", x->open);
	return o;
}

static bool add_kind(json_t *doc, const char *path, const char *kind,
		     const struct object *objects, uint32_t count,
		     struct status_message *m)
{
	json_t *all;
	uint32_t i;

	if (!objects && !yamlfile_line(path, kind, NULL))
		return true;
	all = json_object();
	json_object_set_new(doc, kind, all);
	for (i = 0; i < count; i++) {
		if (json_object_get(all, objects[i].name)) {
			status_set(m, "%s: %s \"%s\" is listed twice", path,
				   kind, objects[i].name);
			return false;
		}
		json_object_set_new(all, objects[i].name,
				    object_to_json(&objects[i]));
	}
	return true;
}

static json_t *inventory_to_json(const struct inventory *v, const char *path,
				 struct status_message *m)
{
	json_t *doc = json_object();

	if (add_kind(doc, path, "departments", v->departments,
		     v->departments_count, m) &&
	    add_kind(doc, path, "pools", v->pools, v->pools_count, m) &&
	    add_kind(doc, path, "instances", v->instances, v->instances_count,
		     m) &&
	    add_kind(doc, path, "teams", v->teams, v->teams_count, m) &&
	    add_kind(doc, path, "queues", v->queues, v->queues_count, m))
		return doc;
	json_decref(doc);
	return NULL;
}

/*
 * Checks objects as the entries will, so that an invalid value is reported with
 * its line. References are not checked: they may be to objects that are not in
 * the file.
 */
static bool check_values(const json_t *doc, const char *path,
			 struct status_message *m)
{
	struct status_message error = { "" };
	char object[CFG_NAME_MAX + 1] = "";
	const char *quote;

	if (cfg_check(doc, &error) == CFG_OK)
		return true;
	quote = strchr(error.text, '"');
	if (quote)
		sscanf(quote + 1, "%63[^\"]", object);
	status_set(m, "%s:%u: %.400s", path,
		   yamlfile_line(path, "name", object), error.text);
	return false;
}

json_t *inventory_load(const char *path, struct status_message *message)
{
	struct inventory *v = NULL;
	json_t *doc;

	if (!yamlfile_load(path, &inventory_schema, (void **)&v, message))
		return NULL;
	doc = inventory_to_json(v, path, message);
	yamlfile_free(&inventory_schema, v);
	if (doc && !check_values(doc, path, message)) {
		json_decref(doc);
		return NULL;
	}
	return doc;
}
