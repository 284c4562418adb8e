#include "version/cfg_internal.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

#define DEFAULT_CONNECTIONS 64	 /* to an instance */
#define DEFAULT_RETURN_MAX_S 600 /* of a wave */

/* Documents */

/* Returns a copy of doc with the change applied; it shares doc's objects. */
static json_t *doc_merge(const json_t *doc, const json_t *change)
{
	json_t *merged = json_object();
	json_t *objects;
	json_t *object;
	const char *name;
	uint32_t i;

	for (i = 0; i < CFG_KINDS; i++) {
		objects = json_copy(json_object_get(doc, cfg_kind_name(i)));
		if (!objects)
			objects = json_object();
		json_object_foreach(json_object_get(change, cfg_kind_name(i)),
				    name, object)
		{
			if (json_is_null(object))
				json_object_del(objects, name);
			else
				json_object_set(objects, name, object);
		}
		json_object_set_new(merged, cfg_kind_name(i), objects);
	}
	return merged;
}

json_t *cfg_diff(const json_t *base, const json_t *doc)
{
	json_t *change = json_object();
	json_t *old;
	json_t *new;
	json_t *diff;
	json_t *object;
	const char *name;
	uint32_t i;

	for (i = 0; i < CFG_KINDS; i++) {
		new = json_object_get(doc, cfg_kind_name(i));
		old = json_object_get(base, cfg_kind_name(i));
		if (!new)
			continue;
		diff = json_object();
		json_object_foreach(new, name, object)
		{
			if (!json_equal(object, json_object_get(old, name)))
				json_object_set(diff, name, object);
		}
		json_object_foreach(old, name, object)
		{
			if (!json_object_get(new, name))
				json_object_set_new(diff, name, json_null());
		}
		if (json_object_size(diff))
			json_object_set(change, cfg_kind_name(i), diff);
		json_decref(diff);
	}
	return change;
}

/* Compiled tables */

static uint32_t get_number(const json_t *object, const char *field,
			   uint32_t default_value)
{
	const json_t *v = json_object_get(object, field);

	return v ? (uint32_t)json_integer_value(v) : default_value;
}

static const char *get_text(const json_t *object, const char *field)
{
	const char *s = json_string_value(json_object_get(object, field));

	return s ? s : "";
}

static void load_teams(struct cfg *c, struct cfg_names *names)
{
	json_t *all = json_object_get(c->doc, "teams");
	const char *name;
	json_t *o;

	json_object_foreach(all, name, o)
	{
		intern_add(names->teams, name);
	}
	c->team_count = intern_count(names->teams);
	c->teams = talloc_zero_array(c, struct cfg_team, c->team_count + 1);
	json_object_foreach(all, name, o)
	{
		uint32_t id = intern_find(names->teams, name);
		struct cfg_team *t = &c->teams[id];

		t->name = intern_name(names->teams, id);
		t->share = get_number(o, "share", 1);
		t->limit = get_number(o, "limit", 0);
		t->present = true;
	}
}

static void load_pools(struct cfg *c, struct cfg_names *names)
{
	json_t *all = json_object_get(c->doc, "pools");
	const char *name;
	json_t *o;

	json_object_foreach(all, name, o)
	{
		intern_add(names->pools, name);
	}
	c->pool_count = intern_count(names->pools);
	c->pools = talloc_zero_array(c, struct cfg_pool, c->pool_count + 1);
	json_object_foreach(all, name, o)
	{
		uint32_t id = intern_find(names->pools, name);
		struct cfg_pool *p = &c->pools[id];

		p->name = intern_name(names->pools, id);
		p->service = get_text(o, "service");
		p->serving_min = get_number(o, "serving_min", 0);
		p->out_max = get_number(o, "out_max", 1);
		p->present = true;
	}
}

static enum cfg_status dangling_reference(const char *kind, const char *object,
					  const char *field, const char *value,
					  struct status_message *m)
{
	status_set(m,
		   "%s \"%s\": field \"%s\" names \"%s\", which does not "
		   "exist",
		   kind, object, field, value);
	return CFG_INVALID;
}

static bool find_pool(const struct cfg *c, struct cfg_names *names,
		      const char *name, pool_handle *pool)
{
	pool->i = intern_find(names->pools, name);
	return pool->i != INTERN_NONE && pool->i < c->pool_count &&
	       c->pools[pool->i].present;
}

static bool find_team(const struct cfg *c, struct cfg_names *names,
		      const char *name, team_handle *team)
{
	team->i = intern_find(names->teams, name);
	return team->i != INTERN_NONE && team->i < c->team_count &&
	       c->teams[team->i].present;
}

static enum cfg_status load_instances(struct cfg *c, struct cfg_names *names,
				      struct status_message *m)
{
	json_t *all = json_object_get(c->doc, "instances");
	const char *name;
	json_t *o;

	json_object_foreach(all, name, o)
	{
		intern_add(names->instances, name);
	}
	c->instance_count = intern_count(names->instances);
	c->instances = talloc_zero_array(c, struct cfg_instance,
					 c->instance_count + 1);
	json_object_foreach(all, name, o)
	{
		uint32_t id = intern_find(names->instances, name);
		struct cfg_instance *instance = &c->instances[id];
		json_t *state = json_object_get(o, "state");

		instance->name = intern_name(names->instances, id);
		instance->address = get_text(o, "address");
		instance->zone = get_text(o, "zone");
		instance->rack = get_text(o, "rack");
		instance->department = get_text(o, "department");
		instance->slots = get_number(o, "slots", 1);
		instance->connections =
			get_number(o, "connections", DEFAULT_CONNECTIONS);
		instance->generation = get_number(o, "generation", 0);
		instance->wave = get_text(o, "wave");
		instance->boots = get_number(o, "boots", 0);
		instance->state =
			state ? (enum cfg_instance_state)cfg_state_find(
					json_string_value(state))
			      : CFG_SERVING;
		instance->present = true;
		if (!find_pool(c, names, get_text(o, "pool"), &instance->pool))
			return dangling_reference("instances", name, "pool",
						  get_text(o, "pool"), m);
		if (*instance->department &&
		    !json_object_get(json_object_get(c->doc, "departments"),
				     instance->department))
			return dangling_reference("instances", name,
						  "department",
						  instance->department, m);
	}
	return CFG_OK;
}

static enum cfg_status load_queues(struct cfg *c, struct cfg_names *names,
				   struct status_message *m)
{
	json_t *all = json_object_get(c->doc, "queues");
	const char *name;
	json_t *o;

	c->queue_names = intern_new(c);
	c->queue_count = (uint32_t)json_object_size(all);
	c->queues = talloc_zero_array(c, struct cfg_queue, c->queue_count + 1);
	json_object_foreach(all, name, o)
	{
		uint32_t id = intern_add(c->queue_names, name);
		struct cfg_queue *q = &c->queues[id];

		q->name = intern_name(c->queue_names, id);
		q->class = strcmp(get_text(o, "class"), "urgent") ? CFG_NORMAL
								  : CFG_URGENT;
		q->idempotent = json_is_true(json_object_get(o, "idempotent"));
		q->open = json_is_true(json_object_get(o, "open"));
		q->run_max_ms = get_number(o, "run_max_ms", 1);
		q->wait_max_ms = get_number(o, "wait_max_ms", 1);
		q->team.i = INTERN_NONE;
		if (q->run_max_ms > c->run_max_ms)
			c->run_max_ms = q->run_max_ms;
		if (!find_pool(c, names, get_text(o, "pool"), &q->pool))
			return dangling_reference("queues", name, "pool",
						  get_text(o, "pool"), m);
		if (json_object_get(o, "team") &&
		    !find_team(c, names, get_text(o, "team"), &q->team))
			return dangling_reference("queues", name, "team",
						  get_text(o, "team"), m);
		if (q->open && q->team.i == INTERN_NONE) {
			status_set(m,
				   "queues \"%s\": an open queue needs the "
				   "field \"team\", for which its work counts",
				   name);
			return CFG_INVALID;
		}
	}
	return CFG_OK;
}

static enum cfg_status load_keys(struct cfg *c, struct cfg_names *names,
				 struct status_message *m)
{
	json_t *all = json_object_get(c->doc, "keys");
	const char *name;
	size_t length;
	json_t *o;

	c->key_names = intern_new(c);
	c->key_count = (uint32_t)json_object_size(all);
	c->keys = talloc_zero_array(c, struct cfg_key, c->key_count + 1);
	json_object_foreach(all, name, o)
	{
		uint32_t id = intern_add(c->key_names, name);
		struct cfg_key *k = &c->keys[id];
		const char *hash = get_text(o, "hash");

		k->name = intern_name(c->key_names, id);
		if (sodium_hex2bin(k->hash, sizeof(k->hash), hash, strlen(hash),
				   NULL, &length, NULL) ||
		    length != sizeof(k->hash)) {
			status_set(m,
				   "keys \"%s\": field \"hash\" is not %d hex "
				   "bytes",
				   name, CFG_HASH_BYTES);
			return CFG_INVALID;
		}
		if (!find_team(c, names, get_text(o, "team"), &k->team))
			return dangling_reference("keys", name, "team",
						  get_text(o, "team"), m);
	}
	return CFG_OK;
}

static void load_waves(struct cfg *c)
{
	json_t *all = json_object_get(c->doc, "waves");
	const char *name;
	json_t *o;

	c->waves = talloc_zero_array(c, struct cfg_wave,
				     json_object_size(all) + 1);
	json_object_foreach(all, name, o)
	{
		struct cfg_wave *w = &c->waves[c->wave_count++];

		w->name = talloc_strdup(c, name);
		w->pool = get_text(o, "pool");
		w->zone = get_text(o, "zone");
		w->rack = get_text(o, "rack");
		w->halt_reason = get_text(o, "why");
		w->return_max_s =
			get_number(o, "return_max_s", DEFAULT_RETURN_MAX_S);
		w->state = (enum cfg_wave_state)cfg_wave_state_find(
			get_text(o, "state"));
	}
}

static int cfg_destroy(struct cfg *c)
{
	json_decref(c->doc);
	return 0;
}

/*
 * Builds a version; takes over the reference to doc. run_max_ms is the longest
 * task lease of the earlier versions.
 */
static enum cfg_status compile(json_t *doc, struct cfg_names *names,
			       uint64_t version, uint32_t run_max_ms,
			       struct cfg **out, struct status_message *m)
{
	struct cfg *c = talloc_zero(NULL, struct cfg);

	assert(c);
	c->doc = doc;
	c->version = version;
	c->run_max_ms = run_max_ms;
	c->refs = 1;
	talloc_set_destructor(c, cfg_destroy);
	load_teams(c, names);
	load_pools(c, names);
	load_waves(c);
	if (load_instances(c, names, m) != CFG_OK ||
	    load_queues(c, names, m) != CFG_OK ||
	    load_keys(c, names, m) != CFG_OK) {
		talloc_free(c);
		return CFG_INVALID;
	}
	*out = c;
	return CFG_OK;
}

/* Versions */

struct cfg_names *cfg_names_new(TALLOC_CTX *ctx)
{
	struct cfg_names *n = talloc_zero(ctx, struct cfg_names);

	assert(n);
	n->teams = intern_new(n);
	n->pools = intern_new(n);
	n->instances = intern_new(n);
	return n;
}

struct cfg *cfg_empty(struct cfg_names *names)
{
	struct status_message m;
	struct cfg *c = NULL;

	compile(json_object(), names, 0, 0, &c, &m);
	return c;
}

enum cfg_status cfg_apply(const struct cfg *base, struct cfg_names *names,
			  const json_t *change, uint64_t version,
			  struct cfg **out, struct status_message *message)
{
	if (cfg_check(change, message) != CFG_OK)
		return CFG_INVALID;
	return compile(doc_merge(base->doc, change), names, version,
		       base->run_max_ms, out, message);
}

struct cfg *cfg_ref(struct cfg *c)
{
	__atomic_add_fetch(&c->refs, 1, __ATOMIC_RELAXED);
	return c;
}

void cfg_unref(struct cfg *c)
{
	if (c && !__atomic_sub_fetch(&c->refs, 1, __ATOMIC_ACQ_REL))
		talloc_free(c);
}

const struct cfg_queue *cfg_find_queue(const struct cfg *c, const char *name)
{
	uint32_t id = intern_find(c->queue_names, name);

	return id == INTERN_NONE ? NULL : &c->queues[id];
}

const struct cfg_key *cfg_find_key(const struct cfg *c, const char *name)
{
	uint32_t id = intern_find(c->key_names, name);

	return id == INTERN_NONE ? NULL : &c->keys[id];
}
