#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <unistd.h>

#include "entry/entry_internal.h"
#include "process/clock.h"

/* Called under core_lock, by any thread. */
static void enqueue(struct entry *e, struct entry_effect *effect)
{
	uint64_t one = 1;
	bool first = !e->effects;

	*e->effects_tail = effect;
	e->effects_tail = &effect->next;
	if (first && write(e->effects_fd, &one, sizeof(one)) < 0)
		abort(); /* the write can't fail on an empty eventfd */
}

void entry_core_send(void *arg, uint64_t incarnation,
		     const struct core_message *m)
{
	struct entry *e = arg;
	struct entry_effect *effect = calloc(1, sizeof(*effect));

	assert(effect);
	effect->incarnation = incarnation;
	effect->frame = entry_pack_message(e, m);
	enqueue(e, effect);
}

static void row_key(char *key, uint32_t shard)
{
	snprintf(key, ENTRY_KEY_MAX, ROW_LEDGER "%" PRIu32, shard);
}

void entry_core_write(void *arg, uint32_t shard, const struct ledger_cas *cas)
{
	struct entry *e = arg;
	struct entry_effect *effect = calloc(1, sizeof(*effect));
	char key[ENTRY_KEY_MAX];

	assert(effect);
	row_key(key, shard);
	effect->is_write = true;
	effect->shard = shard;
	effect->txn = platform_txn();
	platform_compare(effect->txn, key, cas->row_version);
	if (cas->members_version)
		platform_compare(effect->txn, ROW_MEMBERS,
				 cas->members_version);
	platform_put(effect->txn, key,
		     entry_row_to_json(core_ledger(e->core), cas->row));
	enqueue(e, effect);
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
	core_finish_cas(e->core, w->shard, status, answer->revision,
			clock_now_ms());
	pthread_mutex_unlock(&e->core_lock);
	if (status != LEDGER_CAS_DONE)
		entry_scan(e);
	talloc_free(w);
}

static void run_write(struct entry *e, struct entry_effect *effect)
{
	struct row_write *w = talloc_zero(e, struct row_write);

	assert(w);
	w->entry = e;
	w->shard = effect->shard;
	platform_commit(e->platform, effect->txn, on_written, w);
	json_decref(effect->txn);
}

static void run_send(struct entry *e, struct entry_effect *effect)
{
	peer_send(e->net, effect->incarnation, effect->frame);
	jackdawwell__peer_frame__free_unpacked(effect->frame, NULL);
}

static struct entry_effect *take_effects(struct entry *e)
{
	struct entry_effect *effect;

	pthread_mutex_lock(&e->core_lock);
	effect = e->effects;
	e->effects = NULL;
	e->effects_tail = &e->effects;
	pthread_mutex_unlock(&e->core_lock);
	return effect;
}

void entry_run_effects(struct entry *e)
{
	struct entry_effect *effect;
	struct entry_effect *next;

	for (effect = take_effects(e); effect; effect = next) {
		next = effect->next;
		if (effect->is_write)
			run_write(e, effect);
		else
			run_send(e, effect);
		free(effect);
	}
}

void entry_discard_effects(struct entry *e)
{
	struct entry_effect *effect;
	struct entry_effect *next;

	for (effect = take_effects(e); effect; effect = next) {
		next = effect->next;
		if (effect->is_write)
			json_decref(effect->txn);
		else
			jackdawwell__peer_frame__free_unpacked(effect->frame,
							       NULL);
		free(effect);
	}
}
