#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "entry/entry_internal.h"
#include "process/clock.h"
#include "process/log.h"

/* Members into the core and the peer links */

static void tell_core(struct entry *e)
{
	uint64_t ids[MEMBERS_MAX];
	struct ledger_members members = { e->members.version, e->members.count,
					  ids };
	uint32_t i;

	if (!e->core)
		return;
	for (i = 0; i < e->members.count; i++)
		ids[i] = e->members.list[i].incarnation;
	pthread_mutex_lock(&e->core_lock);
	core_members(e->core, &members);
	/* A link may have come up before its peer was known. */
	for (i = 0; i < e->members.count; i++)
		if (peer_linked(e->net, ids[i]))
			core_reachable(e->core, ids[i], true);
	pthread_mutex_unlock(&e->core_lock);
}

static void dial_all(struct entry *e)
{
	uint32_t i;

	for (i = 0; i < e->members.count; i++) {
		const struct member *m = &e->members.list[i];

		if (m->state != MEMBER_DEAD && m->incarnation < e->incarnation)
			peer_dial(e->net, m->incarnation, m->address);
	}
}

static void forget(struct entry *e, const struct member *m, uint64_t version)
{
	log_event(LOG_INFO, "members",
		  "%s (incarnation %" PRIu64 ") is unregistered", m->name,
		  m->incarnation);
	peer_forget(e->net, m->incarnation);
	freshness_forget(&e->freshness, m->incarnation);
	pthread_mutex_lock(&e->core_lock);
	core_gone(e->core, m->incarnation, version);
	pthread_mutex_unlock(&e->core_lock);
}

static void forget_removed(struct entry *e, struct members *now)
{
	uint32_t i;

	for (i = 0; i < e->members.count; i++)
		if (!members_find(now, e->members.list[i].incarnation))
			forget(e, &e->members.list[i], now->version);
}

static void check_self(struct entry *e)
{
	if (members_find(&e->members, e->incarnation) || e->removed_self)
		return;
	log_event(LOG_ERROR, "members",
		  "incarnation %" PRIu64 " was unregistered: stopping",
		  e->incarnation);
	atomic_store(&e->state, ENTRY_GONE);
	e->exit_code = 1;
}

void entry_take_members(struct entry *e, const json_t *value, uint64_t version)
{
	struct members now;

	if (version <= e->members.version)
		return;
	if (!members_parse(value, version, &now)) {
		log_event(LOG_ERROR, "members", "row %s is malformed",
			  ROW_MEMBERS);
		return;
	}
	if (!e->core) {
		e->members = now;
		return;
	}
	forget_removed(e, &now);
	e->members = now;
	tell_core(e);
	dial_all(e);
	check_self(e);
}

/* Registration */

static void make_core(struct entry *e)
{
	struct core_options options = {
		.incarnation = e->incarnation,
		.shard_count = e->settings->shards,
		.waiting_max = e->settings->waiting_max,
		.waiting_bytes = (uint64_t)e->settings->waiting_mib << 20,
		.random = e->boot,
		.advice = true,
		.callbacks = {
			.start = front_start,
			.refuse = front_refuse,
			.send = entry_core_send,
			.write = entry_core_write,
			.arg = e,
		},
	};

	pthread_mutex_lock(&e->core_lock);
	e->core = core_new(e, &options);
	core_configure(e->core, e->cfg, clock_now_ms());
	pthread_mutex_unlock(&e->core_lock);
}

static void registered(struct entry *e, uint64_t incarnation)
{
	e->incarnation = incarnation;
	e->registered_version = e->members.version;
	make_core(e);
	peer_identify(e->net, incarnation);
	tell_core(e);
	dial_all(e);
	e->revision = 0;
	entry_scan(e);
}

static void on_registered(void *arg, const struct platform_answer *answer)
{
	struct entry *e = arg;

	(void)answer;
	e->writing_members = false;
	e->revision = 0;
	entry_scan(e); /* finds the registration by its boot number */
}

static const struct member *find_boot(const struct entry *e)
{
	uint32_t i;

	for (i = 0; i < e->members.count; i++)
		if (e->members.list[i].nonce == e->boot)
			return &e->members.list[i];
	return NULL;
}

static void commit_members(struct entry *e, const struct members *next,
			   platform_fn fn)
{
	json_t *txn = platform_txn();

	e->writing_members = true;
	platform_compare(txn, ROW_MEMBERS, e->members.version);
	platform_put(txn, ROW_MEMBERS, members_to_json(next));
	platform_commit(e->platform, txn, fn, e);
	json_decref(txn);
}

/* An entry that divides the ledger otherwise would count limits twice. */
static void refuse_registration(struct entry *e)
{
	if (e->members.shards == e->settings->shards) {
		log_event(LOG_ERROR, "members", "%d entries are registered",
			  MEMBERS_MAX);
		return;
	}
	log_event(LOG_ERROR, "members",
		  "field \"shards\" is %u, the registered entries have %u",
		  e->settings->shards, e->members.shards);
	e->exit_code = 1;
	atomic_store(&e->state, ENTRY_GONE);
}

void entry_register(struct entry *e)
{
	const struct member *known = find_boot(e);
	struct members next = e->members;
	struct member self = { .nonce = e->boot };

	if (known) {
		registered(e, known->incarnation);
		return;
	}
	if (e->writing_members)
		return;
	snprintf(self.name, sizeof(self.name), "%s", e->settings->name);
	snprintf(self.zone, sizeof(self.zone), "%s", e->settings->zone);
	snprintf(self.address, sizeof(self.address), "%s", e->settings->peers);
	if (!members_register(&next, &self, e->settings->shards)) {
		refuse_registration(e);
		return;
	}
	commit_members(e, &next, on_registered);
}

/* Peer links */

static void on_up(void *arg, uint64_t incarnation)
{
	struct entry *e = arg;

	log_event(LOG_INFO, "peer", "link to incarnation %" PRIu64 " is up",
		  incarnation);
	pthread_mutex_lock(&e->core_lock);
	if (e->core)
		core_reachable(e->core, incarnation, true);
	pthread_mutex_unlock(&e->core_lock);
	entry_push_members(e, incarnation);
	entry_probe(e);
	if (!members_find(&e->members, incarnation))
		entry_scan(e);
}

static void on_down(void *arg, uint64_t incarnation)
{
	struct entry *e = arg;

	log_event(LOG_INFO, "peer", "link to incarnation %" PRIu64 " is down",
		  incarnation);
	pthread_mutex_lock(&e->core_lock);
	if (e->core)
		core_reachable(e->core, incarnation, false);
	pthread_mutex_unlock(&e->core_lock);
}

bool entry_listen_to_peers(struct entry *e)
{
	struct peer_options options = {
		.address = e->settings->peers,
		.name = e->settings->name,
		.secret = e->settings->secret,
		.callbacks = { on_up, on_down, entry_on_frame, e },
	};

	e->net = peer_net_new(e, e->ev, &options);
	return e->net != NULL;
}

/* Entries that are gone */

static struct entry_gone *gone_of(struct entry *e, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < e->gone_count; i++)
		if (e->gone[i].incarnation == incarnation)
			return &e->gone[i];
	if (e->gone_count == MEMBERS_MAX) {
		memmove(e->gone, e->gone + 1,
			(MEMBERS_MAX - 1) * sizeof(e->gone[0]));
		e->gone_count--;
	}
	memset(&e->gone[e->gone_count], 0, sizeof(e->gone[0]));
	e->gone[e->gone_count].incarnation = incarnation;
	return &e->gone[e->gone_count++];
}

static bool list_shows(const json_t *list, const char *name)
{
	json_t *item;
	size_t i;

	json_array_foreach((json_t *)list, i, item)
	{
		const char *shown =
			json_string_value(json_object_get(item, "name"));

		if (shown && !strcmp(shown, name))
			return true;
	}
	return false;
}

/* Gone: the list once showed it and no longer does, or its address is
 * another incarnation's. */
static void on_list(void *arg, const struct platform_answer *answer)
{
	struct entry *e = arg;
	uint32_t i;

	if (answer->status != PLATFORM_OK)
		return;
	conductor_see(e, answer->value);
	for (i = 0; i < e->members.count; i++) {
		const struct member *m = &e->members.list[i];
		struct entry_gone *g = gone_of(e, m->incarnation);
		bool shown = list_shows(answer->value, m->name);
		bool gone = m->state == MEMBER_DEAD || (g->listed && !shown);

		g->listed |= shown;
		if (gone && !g->gone)
			g->since_ms = clock_now_ms();
		g->gone = gone;
	}
}

void entry_read_list(struct entry *e)
{
	e->listed_ms = clock_now_ms();
	platform_instances(e->platform, on_list, e);
}

static void on_members_written(void *arg, const struct platform_answer *answer)
{
	struct entry *e = arg;

	(void)answer;
	e->writing_members = false;
	entry_scan(e);
}

/* The longest that work of a gone entry may still run on a worker. */
static uint64_t lease_ms(const struct entry *e)
{
	return e->cfg->run_max_ms + CORE_GRACE_MS;
}

/* What the members' row should say; true when that differs from it. */
static bool next_members(struct entry *e, struct members *next, uint64_t now_ms)
{
	struct member *self = members_find(next, e->incarnation);
	bool changed = false;
	uint32_t i;

	for (i = 0; i < next->count; i++) {
		struct member *m = &next->list[i];
		const struct entry_gone *g = gone_of(e, m->incarnation);

		if (m == self || !g->gone)
			continue;
		if (now_ms >= g->since_ms + lease_ms(e)) {
			members_remove(next, m->incarnation);
			return true;
		}
		if (m->state != MEMBER_DEAD) {
			m->state = MEMBER_DEAD;
			changed = true;
		}
	}
	if (self && self->state == MEMBER_JOINING &&
	    freshness_count_members(&e->freshness, next,
				    e->registered_version) >=
		    members_majority(next)) {
		self->state = MEMBER_FULL;
		changed = true;
	}
	return changed;
}

void entry_check_members(struct entry *e, uint64_t now_ms)
{
	struct members next = e->members;

	if (e->writing_members || !e->core || e->removed_self)
		return;
	if (next_members(e, &next, now_ms))
		commit_members(e, &next, on_members_written);
}

void entry_remove_self(struct entry *e)
{
	struct members next = e->members;

	if (e->writing_members)
		return;
	members_remove(&next, e->incarnation);
	commit_members(e, &next, on_members_written);
}
