#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "entry/entry_internal.h"
#include "process/clock.h"
#include "process/log.h"

/* From its submission until a change that is not known to be written fails. */
#define CHANGE_RESOLVE_MS 6000
/* From its commit until a change that no majority knows gets the answer 202. */
#define CHANGE_ACCEPT_MS 5000
#define CHANGE_RETRY_MS 300   /* between attempts to write */
#define SNAPSHOT_INTERVAL 256 /* versions between two snapshots */

enum change_step {
	CHANGE_QUEUED,
	CHANGE_WRITING,
	CHANGE_RETRY,
	CHANGE_COMMITTED
};

struct entry_change {
	struct entry *entry;
	struct entry_change *next;
	enum change_step step;
	json_t *record; /* row of the log */
	char id[ENTRY_KEY_MAX];
	uint64_t base;
	uint64_t version;    /* set once committed */
	uint64_t since_ms;   /* submission; the commit once committed */
	uint64_t retry_ms;   /* earliest next attempt to write */
	bool may_be_written; /* the outcome of an attempt is unknown */
	entry_change_fn done;
	void *arg;
};

/* Answers */

static void finish(struct entry_change *c, unsigned int code, json_t *body)
{
	struct entry_change **p = &c->entry->pending;

	while (*p && *p != c)
		p = &(*p)->next;
	if (*p)
		*p = c->next;
	json_object_set_new(body, "id", json_string(c->id));
	c->done(c->arg, code, body);
	json_decref(c->record);
	talloc_free(c);
}

static void finish_error(struct entry_change *c, unsigned int code,
			 const char *text)
{
	finish(c, code, json_pack("{s:s}", "error", text));
}

static json_t *find_change(const struct entry *e, uint64_t version)
{
	json_t *change = e->changes[version % ENTRY_CHANGES_KEPT];

	if ((uint64_t)json_integer_value(json_object_get(change, "version")) !=
	    version)
		return NULL;
	return change;
}

/* Refuses the change; the answer has the changes committed since its base. */
static void finish_conflict(struct entry_change *c)
{
	struct entry *e = c->entry;
	json_t *others = json_array();
	uint64_t v;

	for (v = c->base + 1; v <= e->cfg->version; v++) {
		json_t *change = find_change(e, v);

		if (change)
			json_array_append(others, change);
	}
	finish(c, 409,
	       json_pack("{s:s, s:I, s:o}", "error",
			 "the configuration has changed since the version "
			 "seen",
			 "version", (json_int_t)e->cfg->version, "changes",
			 others));
}

static uint64_t version_of_id(const struct entry *e, const char *id)
{
	uint64_t v = e->cfg->version;
	uint32_t i;

	for (i = 0; i < ENTRY_CHANGES_KEPT && v > i; i++) {
		const char *known = json_string_value(
			json_object_get(find_change(e, v - i), "id"));

		if (known && !strcmp(known, id))
			return v - i;
	}
	return 0;
}

/* Rules about instances that are in use */

static enum cfg_instance_state parse_state(const json_t *object)
{
	const char *state = json_string_value(json_object_get(object, "state"));
	int i;

	for (i = CFG_SERVING; state && i <= CFG_DEPARTED; i++)
		if (!strcmp(cfg_state_name((enum cfg_instance_state)i), state))
			return (enum cfg_instance_state)i;
	return CFG_SERVING;
}

static bool instance_is_empty(struct entry *e, uint32_t instance)
{
	bool empty;

	pthread_mutex_lock(&e->core_lock);
	empty = core_instance_is_empty(e->core, (instance_handle){ instance });
	pthread_mutex_unlock(&e->core_lock);
	return empty;
}

/*
 * Whether an instance's change is allowed. Sets the generation in its object:
 * one more when the instance changes its pool.
 */
static bool check_instance(struct entry *e, const char *name, json_t *object,
			   struct status_message *m)
{
	uint32_t id = intern_find(e->names->instances, name);
	const struct cfg_instance *now;
	bool stops;
	bool moves;

	if (id == INTERN_NONE || id >= e->cfg->instance_count ||
	    !e->cfg->instances[id].present)
		return true;
	now = &e->cfg->instances[id];
	stops = json_is_null(object) || parse_state(object) >= CFG_OUT;
	moves = !stops &&
		strcmp(e->cfg->pools[now->pool.i].name,
		       json_string_value(json_object_get(object, "pool")));
	if (stops && now->state < CFG_OUT && !instance_is_empty(e, id)) {
		status_set(m,
			   "instances \"%s\" is %s and has or may get work: "
			   "drain it first",
			   name, cfg_state_name(now->state));
		return false;
	}
	if (moves && now->state != CFG_OUT) {
		status_set(m,
			   "instances \"%s\" is %s: an instance changes its "
			   "pool only while it is out",
			   name, cfg_state_name(now->state));
		return false;
	}
	if (!json_is_null(object))
		json_object_set_new(
			object, "generation",
			json_integer((json_int_t)now->generation + moves));
	return true;
}

static bool check_rules(struct entry *e, json_t *change,
			struct status_message *m)
{
	const char *name;
	json_t *object;

	json_object_foreach(json_object_get(change, "instances"), name, object)
	{
		if (!check_instance(e, name, object, m))
			return false;
	}
	return true;
}

/* Snapshots: entries that start later don't read the whole log */

struct snapshot {
	struct entry *entry;
	uint64_t version;
	uint32_t run_max_ms;
};

static void on_snapshot_row(void *arg, const struct platform_answer *answer)
{
	(void)answer;
	talloc_free(arg);
}

static void on_snapshot_object(void *arg, const struct platform_answer *answer)
{
	struct snapshot *s = arg;
	json_t *txn = platform_txn();
	char key[ENTRY_KEY_MAX];
	uint64_t v;

	if (answer->status != PLATFORM_OK) {
		json_decref(txn);
		talloc_free(s);
		return;
	}
	platform_put(txn, ROW_SNAPSHOT,
		     json_pack("{s:I, s:I}", "version", (json_int_t)s->version,
			       "run_max_ms", (json_int_t)s->run_max_ms));
	/* Deletes the log's rows up to the previous snapshot's version. */
	for (v = 1; v <= SNAPSHOT_INTERVAL && s->version > SNAPSHOT_INTERVAL;
	     v++) {
		snprintf(key, sizeof(key), ROW_LOG "%016" PRIx64,
			 s->version - SNAPSHOT_INTERVAL - SNAPSHOT_INTERVAL +
				 v);
		platform_delete(txn, key);
	}
	platform_commit(s->entry->platform, txn, on_snapshot_row, s);
	json_decref(txn);
}

static void write_snapshot(struct entry *e)
{
	struct snapshot *s;
	char name[ENTRY_KEY_MAX];

	if (e->cfg->version % SNAPSHOT_INTERVAL)
		return;
	s = talloc_zero(e, struct snapshot);
	assert(s);
	s->entry = e;
	s->version = e->cfg->version;
	s->run_max_ms = e->cfg->run_max_ms;
	snprintf(name, sizeof(name), "jackdawwell-config-%" PRIu64, s->version);
	platform_put_object(e->platform, name, e->cfg->doc, on_snapshot_object,
			    s);
}

/* Committing */

static void committed(struct entry_change *c, uint64_t version)
{
	struct entry *e = c->entry;
	uint32_t i;

	c->version = version;
	c->step = CHANGE_COMMITTED;
	c->since_ms = clock_now_ms();
	log_write(LOG_INFO, "config", "version %" PRIu64 " committed by %s",
		  version, json_string_value(json_object_get(c->record, "by")));
	write_snapshot(e);
	for (i = 0; i < e->members.count; i++)
		if (e->members.list[i].incarnation != e->incarnation)
			entry_push_change(e, e->members.list[i].incarnation,
					  version);
}

static void on_committed(void *arg, const struct platform_answer *answer)
{
	struct entry_change *c = arg;
	struct entry *e = c->entry;
	uint64_t version = (uint64_t)json_integer_value(
		json_object_get(c->record, "version"));

	if (answer->status == PLATFORM_OK) {
		e->head_revision = answer->revision;
		e->head_version = version;
		entry_apply_change(e, version, c->record);
		committed(c, version);
		entry_changes_tick(e, clock_now_ms());
		return;
	}
	if (answer->status == PLATFORM_UNKNOWN)
		c->may_be_written = true;
	c->step = CHANGE_RETRY;
	c->retry_ms = clock_now_ms() + CHANGE_RETRY_MS;
	entry_scan(e);
}

static void write_change(struct entry_change *c)
{
	struct entry *e = c->entry;
	json_t *txn = platform_txn();
	uint64_t version = e->cfg->version + 1;
	char key[ENTRY_KEY_MAX];

	c->step = CHANGE_WRITING;
	json_object_set_new(c->record, "version",
			    json_integer((json_int_t)version));
	snprintf(key, sizeof(key), ROW_LOG "%016" PRIx64, version);
	platform_compare(txn, ROW_HEAD, e->head_revision);
	platform_put(txn, ROW_HEAD,
		     json_pack("{s:I}", "version", (json_int_t)version));
	platform_put(txn, key, json_incref(c->record));
	platform_commit(e->platform, txn, on_committed, c);
	json_decref(txn);
}

/* Validates against the current version, then writes. */
static void check_and_write(struct entry_change *c)
{
	struct entry *e = c->entry;
	struct status_message m;
	struct cfg *next;
	json_t *change = json_object_get(c->record, "change");

	if (c->base != e->cfg->version) {
		finish_conflict(c);
		return;
	}
	if (cfg_apply(e->cfg, e->names, change, e->cfg->version + 1, &next,
		      &m) != CFG_OK) {
		finish_error(c, 422, m.text);
		return;
	}
	cfg_unref(next);
	if (!check_rules(e, change, &m)) {
		finish_error(c, 422, m.text);
		return;
	}
	write_change(c);
}

/*
 * Resolves a write that failed or whose outcome is unknown. The change is
 * committed when the log has its id. When another change has become the
 * next version, this one can no longer be written. Otherwise it is retried.
 */
static void resolve(struct entry_change *c, uint64_t now_ms)
{
	struct entry *e = c->entry;
	uint64_t version = version_of_id(e, c->id);

	if (version) {
		committed(c, version);
		return;
	}
	if (e->cfg->version != c->base) {
		finish_conflict(c);
		return;
	}
	if (now_ms >= c->since_ms + CHANGE_RESOLVE_MS) {
		if (c->may_be_written)
			finish_error(c, 504,
				     "unsettled: the table service gave no "
				     "answer and may have taken the change; "
				     "repeat it with the same id");
		else
			finish_error(c, 503,
				     "not changed: the table service cannot "
				     "be reached");
		return;
	}
	if (now_ms >= c->retry_ms && !e->scanning)
		write_change(c);
}

static void await_majority(struct entry_change *c, uint64_t now_ms)
{
	struct entry *e = c->entry;
	uint32_t known_by = freshness_count_config(&e->freshness, &e->members,
						   e->incarnation, c->version);
	bool accepted = known_by >= members_majority(&e->members);

	if (!accepted && now_ms < c->since_ms + CHANGE_ACCEPT_MS)
		return;
	finish(c, accepted ? 200 : 202,
	       json_pack("{s:I, s:b, s:i}", "version", (json_int_t)c->version,
			 "accepted", (int)accepted, "known_by", (int)known_by));
}

void entry_changes_tick(struct entry *e, uint64_t now_ms)
{
	struct entry_change *c;
	struct entry_change *next;
	bool first = true;

	for (c = e->pending; c; c = next) {
		next = c->next;
		switch (c->step) {
		case CHANGE_COMMITTED:
			await_majority(c, now_ms);
			continue; /* doesn't block the changes behind it */
		case CHANGE_QUEUED:
			if (first)
				check_and_write(c);
			break;
		case CHANGE_RETRY:
			resolve(c, now_ms);
			break;
		case CHANGE_WRITING:
			break;
		}
		first = false;
	}
}

/* Skips the write when a change with the same id is committed already. */
static void find_committed(struct entry_change *c)
{
	uint64_t version = version_of_id(c->entry, c->id);

	if (!version)
		return;
	c->version = version;
	c->step = CHANGE_COMMITTED;
}

static void append(struct entry *e, struct entry_change *c)
{
	struct entry_change **p = &e->pending;

	while (*p)
		p = &(*p)->next;
	*p = c;
}

void entry_change(struct entry *e, uint64_t base, const json_t *change,
		  const char *id, const char *operator_name,
		  entry_change_fn done, void *arg)
{
	struct entry_change *c = talloc_zero(e, struct entry_change);

	assert(c);
	c->entry = e;
	c->base = base;
	c->done = done;
	c->arg = arg;
	c->since_ms = clock_now_ms();
	c->step = CHANGE_QUEUED;
	snprintf(c->id, sizeof(c->id), "%s", id);
	c->record = json_pack("{s:s, s:s, s:o}", "id", id, "by", operator_name,
			      "change", json_deep_copy(change));
	append(e, c);
	if (!c->record) {
		finish_error(c, 400, "id or operator's name is not text");
		return;
	}
	if (entry_state(e) == ENTRY_STARTING) {
		finish_error(c, 503, "not changed: the entry is starting");
		return;
	}
	find_committed(c);
	entry_changes_tick(e, clock_now_ms());
}
