/*
 * The store of a site, and the other services of its platform
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/rig/site.h"

/* Processor time of the node, in us of a whole core */
#define COST_CALL 100.0
#define COST_ROW 20.0

#define TXN_US 5000u	 /* transactions of a partition run one by one */
#define READ_US 5000u	 /* reads don't wait for each other */
#define BACKLOG_MS 1000u /* of transactions; further ones are refused */
#define REFUSAL_US 2000u
#define PAGE_ROWS 500u
#define LATE_MIN_MS 1000u
#define LATE_MAX_MS 6000u
#define FEED_MARGIN_MS 500u
#define TABLES_MAX 16u
#define OLD_MS 36000000u /* 10 hours */
#define JOB_ROW_MAX 256u /* bytes */
#define EPOCHS_MAX 256u

#define OPERATOR_TABLE "operator"
#define INSTANCE_TABLE "instance"
#define CONFIG_KEY "config"

struct row {
	char *key;
	uint8_t *value;
	size_t length;
	uint64_t revision;
	bool deleted;
};

struct table {
	char name[16];
	struct row *rows; /* sorted by key */
	uint32_t count, alloc;
};

enum call_kind { CALL_TXN, CALL_READ, CALL_FEED };

struct call {
	struct call *prev, *next; /* among the feeds that wait */
	struct host *host;
	enum call_kind kind;
	uint32_t references; /* events to come */
	bool over;	     /* the node has its outcome */
	bool unanswered;
	bool waiting;
	uint64_t deadline_us;
	struct store_txn *txn;
	char *table, *from, *to;
	uint64_t after;
	struct store_answer answer;
	store_fn fn;
	void *arg;
};

struct store {
	struct site *site;
	struct table tables[TABLES_MAX];
	uint32_t table_count;
	uint64_t revision;
	uint64_t txn_free_us; /* when the transactions so far are done */
	struct call *feeds;
	uint64_t claimed_us[EPOCHS_MAX];
};

/* Tables */

static struct table *table_get(struct store *st, const char *name)
{
	uint32_t i;

	for (i = 0; i < st->table_count; i++)
		if (!strcmp(st->tables[i].name, name))
			return &st->tables[i];
	assert(st->table_count < TABLES_MAX);
	snprintf(st->tables[i].name, sizeof(st->tables[i].name), "%s", name);
	st->table_count++;
	return &st->tables[i];
}

/* Index of the first row whose key isn't smaller. */
static uint32_t lower_bound(const struct table *t, const char *key)
{
	uint32_t low = 0;
	uint32_t high = t->count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (strcmp(t->rows[middle].key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct row *row_find(struct table *t, const char *key)
{
	uint32_t i = lower_bound(t, key);

	return i < t->count && !strcmp(t->rows[i].key, key) ? &t->rows[i]
							    : NULL;
}

static void row_put(struct store *st, const char *table, const char *key,
		    const uint8_t *value, size_t length)
{
	struct table *t = table_get(st, table);
	struct row *row = row_find(t, key);

	if (!row) {
		uint32_t i = lower_bound(t, key);

		if (t->count == t->alloc) {
			t->alloc = t->alloc ? 2 * t->alloc : 64;
			t->rows = talloc_realloc(st, t->rows, struct row,
						 t->alloc);
			assert(t->rows);
		}
		row = &t->rows[i];
		memmove(row + 1, row, (t->count++ - i) * sizeof(*row));
		*row = (struct row){ .key = talloc_strdup(st, key) };
	}
	talloc_free(row->value);
	row->value = talloc_memdup(st, value, length);
	row->length = length;
	row->revision = st->revision;
	row->deleted = false;
}

static void row_delete(struct store *st, const char *table, const char *key)
{
	struct row *row = row_find(table_get(st, table), key);

	if (!row)
		return;
	row->deleted = true;
	row->length = 0;
	row->revision = st->revision;
}

/* Answers */

static void add_row(struct call *call, const char *table, const char *key,
		    const struct row *row)
{
	struct store_answer *a = &call->answer;

	a->rows = talloc_realloc(call, a->rows, struct store_row,
				 a->row_count + 1);
	assert(a->rows);
	a->rows[a->row_count++] = (struct store_row){
		.table = table,
		.key = key,
		.value = row ? talloc_memdup(call, row->value, row->length)
			     : NULL,
		.length = row ? row->length : 0,
		.revision = row && !row->deleted ? row->revision : 0,
		.deleted = row && row->deleted,
	};
}

static void call_release(struct call *call)
{
	if (!--call->references)
		talloc_free(call);
}

static void finish(void *arg)
{
	struct call *call = arg;
	struct store_answer unknown = { .status = STORE_UNKNOWN };
	bool late = call->host->site->now_us >= call->deadline_us;

	if (!call->over) {
		call->over = true;
		call->fn(call->arg, late ? &unknown : &call->answer);
	}
	call_release(call);
}

static void on_answer(void *arg)
{
	struct call *call = arg;

	if (call->over)
		call_release(call);
	else
		host_post(call->host,
			  COST_CALL + COST_ROW * call->answer.row_count, finish,
			  call);
}

static void on_deadline(void *arg)
{
	struct call *call = arg;
	struct store *st = call->host->site->store;

	if (call->waiting) {
		DL_DELETE(st->feeds, call);
		call->waiting = false;
		call->references--;
	}
	if (call->over)
		call_release(call);
	else
		host_post(call->host, COST_CALL, finish, call);
}

static void send_answer(struct call *call)
{
	struct site *s = call->host->site;

	if (call->unanswered)
		call_release(call);
	else
		site_at(s, s->now_us + READ_US / 2, on_answer, call);
}

/* Feeds */

static void collect_changes(struct call *call)
{
	struct store *st = call->host->site->store;
	struct table *t = table_get(st, call->table);
	uint32_t i;

	for (i = 0; i < t->count; i++)
		if (t->rows[i].revision > call->after)
			add_row(call, call->table,
				talloc_strdup(call, t->rows[i].key),
				&t->rows[i]);
	call->answer.revision = st->revision;
}

static void end_wait(struct call *call)
{
	DL_DELETE(call->host->site->store->feeds, call);
	call->waiting = false;
	collect_changes(call);
	send_answer(call);
}

static void on_wait_over(void *arg)
{
	struct call *call = arg;

	if (call->waiting)
		end_wait(call);
	call_release(call);
}

static void wake_feeds(struct store *st, const char *table)
{
	struct call *call, *next;

	DL_FOREACH_SAFE(st->feeds, call, next)
	if (!strcmp(call->table, table))
		end_wait(call);
}

/* Calls as the store carries them out */

static bool conditions_hold(struct call *call)
{
	struct store *st = call->host->site->store;
	uint32_t i;

	for (i = 0; i < call->txn->condition_count; i++) {
		const struct store_condition *c = &call->txn->conditions[i];
		struct row *row = row_find(table_get(st, c->table), c->key);

		if ((row && !row->deleted ? row->revision : 0) != c->revision)
			add_row(call, c->table, c->key, row);
	}
	return !call->answer.row_count;
}

static bool leader_row(struct store *st, struct leader_view *view)
{
	struct row *row =
		row_find(table_get(st, NODE_TABLE_LEADER), NODE_LEADER_KEY);
	struct store_row r = { 0 };

	if (!row)
		return false;
	r.value = row->value;
	r.length = row->length;
	return leader_decode(&r, view);
}

static void note_epoch(struct store *st)
{
	struct leader_view view;

	if (leader_row(st, &view) && view.epoch < EPOCHS_MAX &&
	    !st->claimed_us[view.epoch])
		st->claimed_us[view.epoch] = st->site->now_us;
}

static void apply_txn(void *arg)
{
	struct call *call = arg;
	struct store *st = call->host->site->store;
	const struct store_txn *txn = call->txn;
	uint32_t i;

	if (conditions_hold(call)) {
		st->revision++;
		for (i = 0; i < txn->put_count; i++)
			row_put(st, txn->puts[i].table, txn->puts[i].key,
				txn->puts[i].value, txn->puts[i].length);
		for (i = 0; i < txn->delete_count; i++)
			row_delete(st, txn->deletes[i].table,
				   txn->deletes[i].key);
		note_epoch(st);
		for (i = 0; i < txn->put_count; i++)
			wake_feeds(st, txn->puts[i].table);
		for (i = 0; i < txn->delete_count; i++)
			wake_feeds(st, txn->deletes[i].table);
	} else {
		call->answer.status = STORE_CONFLICT;
	}
	call->answer.revision = st->revision;
	send_answer(call);
}

static void apply_read(void *arg)
{
	struct call *call = arg;
	struct store *st = call->host->site->store;
	struct table *t = table_get(st, call->table);
	uint32_t i = call->from ? lower_bound(t, call->from) : 0;

	for (; i < t->count; i++) {
		if (call->to && strcmp(t->rows[i].key, call->to) >= 0)
			break;
		if (t->rows[i].deleted)
			continue;
		if (call->answer.row_count == PAGE_ROWS) {
			call->answer.more = true;
			break;
		}
		add_row(call, call->table, talloc_strdup(call, t->rows[i].key),
			&t->rows[i]);
	}
	call->answer.revision = st->revision;
	send_answer(call);
}

static void apply_feed(void *arg)
{
	struct call *call = arg;
	struct store *st = call->host->site->store;

	collect_changes(call);
	if (call->answer.row_count) {
		send_answer(call);
		return;
	}
	call->waiting = true;
	DL_APPEND(st->feeds, call);
}

/* Calls as a node makes them */

static struct call *call_new(void *impl, enum call_kind kind,
			     uint32_t timeout_ms, store_fn fn, void *arg)
{
	struct host *h = impl;
	struct site *s = h->site;
	struct call *call = talloc_zero(s->ctx, struct call);

	assert(call);
	call->host = h;
	call->kind = kind;
	call->references = 2;
	call->deadline_us = s->now_us + 1000u * timeout_ms;
	call->fn = fn;
	call->arg = arg;
	site_at(s, call->deadline_us, on_deadline, call);
	return call;
}

static void refuse(struct call *call)
{
	struct site *s = call->host->site;

	call->answer.status = STORE_REFUSED;
	site_at(s, s->now_us + REFUSAL_US, on_answer, call);
}

static struct store_txn *txn_copy(TALLOC_CTX *ctx, const struct store_txn *txn)
{
	struct store_txn *copy = talloc_memdup(ctx, txn, sizeof(*txn));
	uint32_t i;

	assert(copy);
	for (i = 0; i < txn->condition_count; i++) {
		copy->conditions[i].table =
			talloc_strdup(copy, txn->conditions[i].table);
		copy->conditions[i].key =
			talloc_strdup(copy, txn->conditions[i].key);
	}
	for (i = 0; i < txn->put_count; i++) {
		copy->puts[i].table = talloc_strdup(copy, txn->puts[i].table);
		copy->puts[i].key = talloc_strdup(copy, txn->puts[i].key);
		copy->puts[i].value = talloc_memdup(copy, txn->puts[i].value,
						    txn->puts[i].length);
	}
	for (i = 0; i < txn->delete_count; i++) {
		copy->deletes[i].table =
			talloc_strdup(copy, txn->deletes[i].table);
		copy->deletes[i].key = talloc_strdup(copy, txn->deletes[i].key);
	}
	return copy;
}

/* A write of the leader row that begins another epoch, or ends one. */
static bool is_claim(const struct host *h, const struct store_txn *txn)
{
	return txn->put_count == 1 &&
	       !strcmp(txn->puts[0].table, NODE_TABLE_LEADER) &&
	       h->node->phase == LEADER_NONE;
}

static void note_claim(const struct host *h, const char *fate)
{
	const struct node *n = h->node;
	uint64_t now = clock_now_ms();

	site_note(h->site,
		  "%s sends a claim of epoch %" PRIu64
		  "; heard of %s as live %" PRIu64 " ms ago%s",
		  h->name, n->leader.epoch + 1,
		  *n->leader.node ? n->leader.node : "no leader",
		  n->leader_live_ms ? now - n->leader_live_ms : 0, fate);
}

static void store_txn_send(void *impl, const struct store_txn *txn,
			   uint32_t timeout_ms, store_fn fn, void *arg)
{
	struct host *h = impl;
	struct site *s = h->site;
	struct store *st = s->store;
	struct call *call = call_new(h, CALL_TXN, timeout_ms, fn, arg);
	const struct store_faults *f = &s->faults;
	bool claim = is_claim(h, txn);
	double fate = site_random(s);
	uint64_t us = (uint64_t)(TXN_US * f->slowness);
	const char *note = "";

	if (h->refused || (st->txn_free_us > s->now_us &&
			   st->txn_free_us - s->now_us > 1000u * BACKLOG_MS)) {
		if (claim)
			note_claim(h, "; refused by the store");
		refuse(call);
		return;
	}
	call->txn = txn_copy(call, txn);
	if (st->txn_free_us < s->now_us)
		st->txn_free_us = s->now_us;
	st->txn_free_us += us;
	if (claim && f->claims_answered)
		fate = 1;
	if (fate < f->lost) {
		call->unanswered = true;
		note = "; its answer is lost";
	} else if (fate < f->lost + f->dropped) {
		if (claim)
			note_claim(h, "; it is lost");
		call_release(call);
		return;
	} else if (fate < f->lost + f->dropped + f->late) {
		us += (uint64_t)(1000 * (LATE_MIN_MS +
					 site_random(s) *
						 (LATE_MAX_MS - LATE_MIN_MS)));
		note = "; it is late";
	}
	if (claim)
		note_claim(h, note);
	site_at(s, st->txn_free_us + us - (uint64_t)(TXN_US * f->slowness),
		apply_txn, call);
}

static void store_read(void *impl, const char *table, const char *from,
		       const char *to, uint32_t timeout_ms, store_fn fn,
		       void *arg)
{
	struct host *h = impl;
	struct site *s = h->site;
	struct call *call = call_new(h, CALL_READ, timeout_ms, fn, arg);

	if (h->refused) {
		refuse(call);
		return;
	}
	call->table = talloc_strdup(call, table);
	call->from = from ? talloc_strdup(call, from) : NULL;
	call->to = to ? talloc_strdup(call, to) : NULL;
	site_at(s, s->now_us + (uint64_t)(READ_US * s->faults.slowness),
		apply_read, call);
}

static void store_feed(void *impl, const char *table, uint64_t after,
		       uint32_t wait_ms, store_fn fn, void *arg)
{
	struct host *h = impl;
	struct site *s = h->site;
	struct call *call =
		call_new(h, CALL_FEED, wait_ms + FEED_MARGIN_MS, fn, arg);

	if (h->refused) {
		refuse(call);
		return;
	}
	call->table = talloc_strdup(call, table);
	call->after = after;
	call->references++;
	site_at(s, s->now_us + (uint64_t)(READ_US * s->faults.slowness),
		apply_feed, call);
	site_at(s, s->now_us + 1000u * wait_ms, on_wait_over, call);
}

/* Other services */

struct list_call {
	struct host *host;
	machines_fn fn;
	void *arg;
};

static void finish_list(void *arg)
{
	struct list_call *call = arg;

	call->fn(call->arg, true, NULL, 0);
	talloc_free(call);
}

static void on_list(void *arg)
{
	struct list_call *call = arg;

	host_post(call->host, COST_CALL, finish_list, call);
}

static void list_machines(void *impl, machines_fn fn, void *arg)
{
	struct host *h = impl;
	struct site *s = h->site;
	struct list_call *call = talloc_zero(s->ctx, struct list_call);

	assert(call);
	call->host = h;
	call->fn = fn;
	call->arg = arg;
	site_at(s, s->now_us + READ_US, on_list, call);
}

static struct config *decode_config(TALLOC_CTX *ctx, const uint8_t *value,
				    size_t length,
				    const struct config_observer *observer)
{
	static struct config_queue queue = { .name = "q",
					     .host = "h",
					     .prefix = "/",
					     .pool = "p",
					     .objective_factor = 1.5,
					     .objective_slack_ms = 60000,
					     .attempts_max = 3 };
	static struct config_pool pool = { .name = "p",
					   .has_admission_check = true };
	static struct config_workspace workspace = { .name = "w", .weight = 1 };
	struct config *c = talloc_zero(ctx, struct config);

	(void)value;
	(void)length;
	(void)observer;
	assert(c);
	*c = (struct config){ 1, 1, 1, 1, &queue, &pool, &workspace, { 0 } };
	return c;
}

static bool decode_instance(TALLOC_CTX *ctx, const char *key,
			    const uint8_t *value, size_t length,
			    struct sched_instance_info *info)
{
	(void)ctx;
	(void)key;
	(void)value;
	(void)length;
	(void)info;
	return false;
}

void site_store_services(struct host *h)
{
	Fleet__NodeRow row = FLEET__NODE_ROW__INIT;
	struct store *st = h->site->store;
	uint8_t *bytes;
	size_t length;

	h->services = (struct services){
		.impl = h,
		.operator_table = OPERATOR_TABLE,
		.instance_table = INSTANCE_TABLE,
		.status_table = "status",
		.config_key = CONFIG_KEY,
		.wave_prefix = "wave/",
		.txn = store_txn_send,
		.read = store_read,
		.feed = store_feed,
		.machines = list_machines,
		.config = decode_config,
		.instance = decode_instance,
	};
	row.address = h->address;
	row.zone = (char *)"z";
	row.incarnation = h->index + 1;
	row.power = h->node_power;
	bytes = node_pack(st, &row, &length);
	row_put(st, NODE_TABLE_NODE, h->name, bytes, length);
	talloc_free(bytes);
}

static void add_ended(struct store *st, const char *format, uint32_t count,
		      uint64_t ended_ms)
{
	Fleet__EndRow end = FLEET__END_ROW__INIT;
	uint8_t *bytes;
	size_t length;
	char key[SCHED_ID_BYTES + 1];
	uint32_t i;

	end.queue = (char *)"q";
	end.state = FLEET__JOB_STATE__COMPLETED;
	end.ended_unix_ms = ended_ms;
	bytes = node_pack(st, &end, &length);
	for (i = 0; i < count; i++) {
		snprintf(key, sizeof(key), format, i);
		row_put(st, NODE_TABLE_END, key, bytes, length);
	}
	talloc_free(bytes);
}

/* Job rows of every so many of the old jobs */
static void add_kept(struct store *st, const struct site_options *options)
{
	Fleet__JobRow *job = site_job_row();
	char key[SCHED_ID_BYTES + 1];
	uint8_t *bytes;
	size_t length;
	uint32_t i;

	bytes = node_pack(st, job, &length);
	fleet__job_row__free_unpacked(job, NULL);
	for (i = 0; i < options->kept_jobs; i++) {
		snprintf(key, sizeof(key), SITE_OLD_JOB,
			 i * (options->old_jobs / options->kept_jobs));
		row_put(st, NODE_TABLE_JOB, key, bytes, length);
	}
	talloc_free(bytes);
}

Fleet__JobRow *site_job_row(void)
{
	Fleet__Step step = FLEET__STEP__INIT;
	Fleet__Step *steps[] = { &step };
	Fleet__JobRow job = FLEET__JOB_ROW__INIT;
	uint8_t bytes[JOB_ROW_MAX];

	step.count = step.cpu = step.mem = 1;
	step.estimate_ms = 1000;
	job.queue = (char *)"q";
	job.pool = (char *)"p";
	job.workspace = (char *)"w";
	job.payload = (char *)"x";
	job.steps = steps;
	job.n_steps = 1;
	return fleet__job_row__unpack(NULL, fleet__job_row__pack(&job, bytes),
				      bytes);
}

void site_store_new(struct site *s, const struct site_options *options)
{
	struct store *st = talloc_zero(s, struct store);

	assert(st);
	st->site = s;
	st->revision = 1;
	s->store = st;
	row_put(st, OPERATOR_TABLE, CONFIG_KEY, (const uint8_t *)"1", 1);
	add_ended(st, SITE_OLD_JOB, options->old_jobs,
		  SITE_START_US / 1000 - OLD_MS);
	add_kept(st, options);
	add_ended(st, SITE_ENDED_JOB, options->ended_jobs,
		  SITE_START_US / 1000);
}

uint32_t site_rows(struct site *s, const char *table)
{
	const struct table *t = table_get(s->store, table);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < t->count; i++)
		count += !t->rows[i].deleted;
	return count;
}

bool site_has_row(struct site *s, const char *table, const char *key)
{
	const struct row *row = row_find(table_get(s->store, table), key);

	return row && !row->deleted;
}

struct host *site_leader(struct site *s)
{
	struct leader_view view;
	uint32_t i;

	if (!leader_row(s->store, &view))
		return NULL;
	for (i = 0; i < s->host_count; i++)
		if (view.incarnation == i + 1)
			return &s->hosts[i];
	return NULL;
}

bool site_has_formers(struct site *s)
{
	struct leader_view view;

	return leader_row(s->store, &view) && view.formers;
}

uint64_t site_claimed_us(const struct site *s, uint64_t epoch)
{
	return epoch < EPOCHS_MAX ? s->store->claimed_us[epoch] : 0;
}
