#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <unistd.h>

#include "entry/entry_internal.h"
#include "process/clock.h"

/* Called under core_lock, from any thread. */
static void add(struct entry *e, struct entry_out *out)
{
	uint64_t one = 1;
	bool first = !e->out;

	*e->out_tail = out;
	e->out_tail = &out->next;
	if (first && write(e->out_fd, &one, sizeof(one)) < 0)
		abort(); /* an eventfd takes its first count */
}

void entry_core_send(void *arg, uint64_t incarnation,
		     const struct core_message *m)
{
	struct entry *e = arg;
	struct entry_out *out = calloc(1, sizeof(*out));

	assert(out);
	out->incarnation = incarnation;
	out->frame = entry_pack(e, m);
	add(e, out);
}

static void row_key(char *key, uint32_t shard)
{
	snprintf(key, ENTRY_KEY_MAX, ROW_LEDGER "%" PRIu32, shard);
}

void entry_core_write(void *arg, uint32_t shard, const struct ledger_cas *cas)
{
	struct entry *e = arg;
	struct entry_out *out = calloc(1, sizeof(*out));
	char key[ENTRY_KEY_MAX];

	assert(out);
	row_key(key, shard);
	out->is_write = true;
	out->shard = shard;
	out->txn = platform_txn();
	platform_compare(out->txn, key, cas->row_version);
	if (cas->members_version)
		platform_compare(out->txn, ROW_MEMBERS, cas->members_version);
	platform_put(out->txn, key,
		     entry_row_json(core_ledger(e->core), cas->row));
	add(e, out);
}

/* Outcomes of writes */

struct row_write {
	struct entry *entry;
	uint32_t shard;
};

static void on_written(void *arg, const struct platform_answer *answer)
{
	struct row_write *w = arg;
	struct entry *e = w->entry;
	enum ledger_cas_status status = LEDGER_CAS_UNKNOWN;

	if (answer->status == PLATFORM_OK)
		status = LEDGER_CAS_DONE;
	else if (answer->status == PLATFORM_CONFLICT ||
		 answer->status == PLATFORM_NOT_SENT)
		status = LEDGER_CAS_CONFLICT;
	pthread_mutex_lock(&e->core_lock);
	core_planned(e->core, w->shard, status, answer->revision,
		     clock_now_ms());
	pthread_mutex_unlock(&e->core_lock);
	if (status != LEDGER_CAS_DONE)
		entry_scan(e);
	talloc_free(w);
}

static void run_write(struct entry *e, struct entry_out *out)
{
	struct row_write *w = talloc_zero(e, struct row_write);

	assert(w);
	w->entry = e;
	w->shard = out->shard;
	platform_commit(e->platform, out->txn, on_written, w);
	json_decref(out->txn);
}

static void run_send(struct entry *e, struct entry_out *out)
{
	peer_send(e->net, out->incarnation, out->frame);
	jackdawwell__peer_frame__free_unpacked(out->frame, NULL);
}

static struct entry_out *take_out(struct entry *e)
{
	struct entry_out *out;

	pthread_mutex_lock(&e->core_lock);
	out = e->out;
	e->out = NULL;
	e->out_tail = &e->out;
	pthread_mutex_unlock(&e->core_lock);
	return out;
}

void entry_run_out(struct entry *e)
{
	struct entry_out *out;
	struct entry_out *next;

	for (out = take_out(e); out; out = next) {
		next = out->next;
		if (out->is_write)
			run_write(e, out);
		else
			run_send(e, out);
		free(out);
	}
}

void entry_drop_out(struct entry *e)
{
	struct entry_out *out;
	struct entry_out *next;

	for (out = take_out(e); out; out = next) {
		next = out->next;
		if (out->is_write)
			json_decref(out->txn);
		else
			jackdawwell__peer_frame__free_unpacked(out->frame,
							       NULL);
		free(out);
	}
}
