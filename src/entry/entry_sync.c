#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry_internal.h"
#include "process/clock.h"
#include "process/log.h"

/* Configuration */

void entry_install(struct entry *e, struct cfg *cfg)
{
	struct cfg *old = e->cfg;

	pthread_mutex_lock(&e->core_lock);
	e->cfg = cfg;
	if (e->core)
		core_configure(e->core, cfg, clock_now_ms());
	atomic_store(&e->cfg_version, cfg->version);
	pthread_mutex_unlock(&e->core_lock);
	cfg_unref(old);
	log_write(LOG_INFO, "config", "version %" PRIu64 " in force",
		  cfg->version);
}

static void store_change(struct entry *e, uint64_t version, json_t *change)
{
	json_t **slot = &e->changes[version % ENTRY_CHANGES_KEPT];

	json_decref(*slot);
	*slot = json_incref(change);
}

bool entry_apply_change(struct entry *e, uint64_t version, json_t *change)
{
	struct status_message m;
	struct cfg *next;

	if (version != e->cfg->version + 1)
		return false;
	if (cfg_apply(e->cfg, e->names, json_object_get(change, "change"),
		      version, &next, &m) != CFG_OK) {
		log_write(LOG_ERROR, "config",
			  "version %" PRIu64 " cannot be applied: %s", version,
			  m.text);
		return false;
	}
	store_change(e, version, change);
	entry_install(e, next);
	return true;
}

static void on_snapshot(void *arg, const struct platform_answer *answer)
{
	struct entry *e = arg;
	struct status_message m;
	struct cfg *empty;
	struct cfg *next;

	e->loading_snapshot = false;
	e->revision = 0; /* read the log again, from the snapshot on */
	if (answer->status != PLATFORM_OK) {
		log_write(LOG_WARN, "config", "cannot read the snapshot: %s",
			  answer->message);
		return;
	}
	empty = cfg_empty(e->names);
	if (cfg_apply(empty, e->names, answer->value, e->snapshot_version,
		      &next, &m) == CFG_OK) {
		if (next->run_max_ms < e->snapshot_run_max_ms)
			next->run_max_ms = e->snapshot_run_max_ms;
		entry_install(e, next);
	} else {
		log_write(LOG_ERROR, "config", "cannot apply the snapshot: %s",
			  m.text);
	}
	cfg_unref(empty);
	entry_scan(e);
}

static void load_snapshot(struct entry *e)
{
	char name[ENTRY_KEY_MAX];

	if (e->loading_snapshot || e->snapshot_version <= e->cfg->version)
		return;
	e->loading_snapshot = true;
	snprintf(name, sizeof(name), "jackdawwell-config-%" PRIu64,
		 e->snapshot_version);
	platform_get_object(e->platform, name, on_snapshot, e);
}

/* Rows */

static void apply_log_row(struct entry *e, const char *key, json_t *value)
{
	uint64_t version = strtoull(key + strlen(ROW_LOG), NULL, 16);

	if (version > e->cfg->version)
		entry_apply_change(e, version, value);
}

static void apply_ledger_row(struct entry *e, const char *key,
			     const json_t *value, uint64_t version)
{
	uint32_t shard = (uint32_t)strtoul(key + strlen(ROW_LEDGER), NULL, 10);
	struct ledger_row *row;

	if (!e->core || shard >= e->settings->shards)
		return;
	pthread_mutex_lock(&e->core_lock);
	row = entry_row_parse(e, core_ledger(e->core), value, version);
	core_set_row(e->core, shard, row, clock_now_ms());
	pthread_mutex_unlock(&e->core_lock);
	talloc_free(row);
}

static void apply_row(struct entry *e, const char *key, json_t *value,
		      uint64_t version)
{
	if (!strcmp(key, ROW_MEMBERS)) {
		entry_set_members(e, value, version);
	} else if (!strcmp(key, ROW_HEAD)) {
		e->head_revision = version;
		e->head_version = (uint64_t)json_integer_value(
			json_object_get(value, "version"));
	} else if (!strcmp(key, ROW_SNAPSHOT)) {
		e->snapshot_version = (uint64_t)json_integer_value(
			json_object_get(value, "version"));
		e->snapshot_run_max_ms = (uint32_t)json_integer_value(
			json_object_get(value, "run_max_ms"));
	} else if (!strncmp(key, ROW_LOG, strlen(ROW_LOG))) {
		apply_log_row(e, key, value);
	} else if (!strncmp(key, ROW_LEDGER, strlen(ROW_LEDGER))) {
		apply_ledger_row(e, key, value, version);
	}
}

/* A shard without a row starts with an empty one. */
static void init_missing_shards(struct entry *e)
{
	struct ledger_row empty = { 0 };
	uint32_t shard;

	if (!e->core)
		return;
	pthread_mutex_lock(&e->core_lock);
	for (shard = 0; shard < e->settings->shards; shard++)
		if (!ledger_ready(core_ledger(e->core), shard))
			core_set_row(e->core, shard, &empty, clock_now_ms());
	pthread_mutex_unlock(&e->core_lock);
}

static void apply_rows(struct entry *e, json_t *rows)
{
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		apply_row(e, json_string_value(json_object_get(row, "key")),
			  json_object_get(row, "value"),
			  (uint64_t)json_integer_value(
				  json_object_get(row, "version")));
	}
}

static void serve_when_ready(struct entry *e)
{
	int starting = ENTRY_STARTING;

	if (!e->core || e->cfg->version < e->head_version)
		return;
	if (atomic_compare_exchange_strong(&e->state, &starting, ENTRY_SERVING))
		log_write(LOG_INFO, "entry", "serving as incarnation %" PRIu64,
			  e->incarnation);
}

static void on_scan(void *arg, const struct platform_answer *answer)
{
	struct entry *e = arg;

	e->scanning = false;
	if (answer->status != PLATFORM_OK)
		return;
	apply_rows(e, answer->value);
	if (!e->core) {
		entry_register(e);
		return;
	}
	init_missing_shards(e);
	e->revision = answer->revision;
	if (e->cfg->version < e->head_version) {
		load_snapshot(e);
		if (!e->loading_snapshot)
			e->revision = 0;
		return;
	}
	if (answer->started_ms > e->freshness.store_read_ms)
		e->freshness.store_read_ms = answer->started_ms;
	serve_when_ready(e);
	entry_update_freshness(e);
}

void entry_scan(struct entry *e)
{
	if (e->scanning || e->loading_snapshot)
		return;
	e->scanning = true;
	e->scanned_ms = clock_now_ms();
	platform_scan(e->platform, ROW_PREFIX, e->revision, on_scan, e);
}

void entry_update_freshness(struct entry *e)
{
	uint64_t until = freshness_until(&e->freshness, &e->members,
					 e->incarnation, e->cfg->version);

	if (!e->core || entry_state(e) == ENTRY_STARTING ||
	    entry_state(e) == ENTRY_GONE)
		until = 0;
	if (!e->core)
		return;
	pthread_mutex_lock(&e->core_lock);
	core_set_fresh_until(e->core, until);
	pthread_mutex_unlock(&e->core_lock);
}
