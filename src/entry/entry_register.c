#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "entry/entry_internal.h"
#include "process/clock.h"
#include "process/log.h"

/* Members in the core and as peer links */

static void update_core_members(struct entry *e)
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
	core_set_members(e->core, &members);
	/* A link may have come up before the core knew its peer. */
	for (i = 0; i < e->members.count; i++)
		if (peer_linked(e->net, ids[i]))
			core_set_reachable(e->core, ids[i], true);
	pthread_mutex_unlock(&e->core_lock);
}

static void dial_peers(struct entry *e)
{
	uint32_t i;

	for (i = 0; i < e->members.count; i++) {
		const struct member *m = &e->members.list[i];

		if (m->state != MEMBER_DEAD && m->incarnation < e->incarnation)
			peer_dial(e->net, m->incarnation, m->address);
	}
}

static void remove_member(struct entry *e, const struct member *m,
			  uint64_t version)
{
	log_write(LOG_INFO, "members",
		  "%s (incarnation %" PRIu64 ") is unregistered", m->name,
		  m->incarnation);
	peer_forget(e->net, m->incarnation);
	freshness_forget(&e->freshness, m->incarnation);
	pthread_mutex_lock(&e->core_lock);
	core_member_removed(e->core, m->incarnation, version);
	pthread_mutex_unlock(&e->core_lock);
}

static void remove_unregistered(struct entry *e, struct members *now)
{
	uint32_t i;

	for (i = 0; i < e->members.count; i++)
		if (!members_find(now, e->members.list[i].incarnation))
			remove_member(e, &e->members.list[i], now->version);
}

static void check_self(struct entry *e)
{
	if (members_find(&e->members, e->incarnation) || e->removed_self)
		return;
	log_write(LOG_ERROR, "members",
		  "incarnation %" PRIu64 " was unregistered: stopping",
		  e->incarnation);
	atomic_store(&e->state, ENTRY_GONE);
	e->exit_code = 1;
}

void entry_set_members(struct entry *e, const json_t *value, uint64_t version)
{
	struct members now;

	if (version <= e->members.version)
		return;
	if (!members_parse(value, version, &now)) {
		log_write(LOG_ERROR, "members", "row %s is malformed: ignored",
			  ROW_MEMBERS);
		return;
	}
	if (!e->core) {
		e->members = now;
		return;
	}
	remove_unregistered(e, &now);
	e->members = now;
	update_core_members(e);
	dial_peers(e);
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
		.random = e->registration_nonce,
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

static void finish_registration(struct entry *e, uint64_t incarnation)
{
	e->incarnation = incarnation;
	e->registered_members_version = e->members.version;
	make_core(e);
	peer_identify(e->net, incarnation);
	update_core_members(e);
	dial_peers(e);
	e->revision = 0;
	entry_scan(e);
}

static void on_registered(void *arg, const struct platform_answer *answer)
{
	struct entry *e = arg;

	(void)answer;
	e->writing_members = false;
	e->revision = 0;
	entry_scan(e); /* finds the registration by its nonce */
}

static const struct member *find_registration(const struct entry *e)
{
	uint32_t i;

	for (i = 0; i < e->members.count; i++)
		if (e->members.list[i].nonce == e->registration_nonce)
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

/*
 * There are too many entries, or this one has another number of shards. All
 * entries must map the ledger's domains to the same shards, otherwise limits
 * would be counted twice.
 */
static void refuse_registration(struct entry *e)
{
	if (e->members.shards == e->settings->shards) {
		log_write(LOG_ERROR, "members",
			  "cannot register: there are already %d entries",
			  MEMBERS_MAX);
		return;
	}
	log_write(LOG_ERROR, "members",
		  "cannot register: field \"shards\" is %u, the registered "
		  "entries have %u",
		  e->settings->shards, e->members.shards);
	e->exit_code = 1;
	atomic_store(&e->state, ENTRY_GONE);
}

void entry_register(struct entry *e)
{
	const struct member *known = find_registration(e);
	struct members next = e->members;
	struct member self = { .nonce = e->registration_nonce };

	if (known) {
		finish_registration(e, known->incarnation);
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

	log_write(LOG_INFO, "peer", "link to incarnation %" PRIu64 " is up",
		  incarnation);
	pthread_mutex_lock(&e->core_lock);
	if (e->core)
		core_set_reachable(e->core, incarnation, true);
	pthread_mutex_unlock(&e->core_lock);
	entry_push_members(e, incarnation);
	entry_probe(e);
	if (!members_find(&e->members, incarnation))
		entry_scan(e);
}

static void on_down(void *arg, uint64_t incarnation)
{
	struct entry *e = arg;

	log_write(LOG_INFO, "peer", "link to incarnation %" PRIu64 " is down",
		  incarnation);
	pthread_mutex_lock(&e->core_lock);
	if (e->core)
		core_set_reachable(e->core, incarnation, false);
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

/* Entries whose process has ended */

static struct entry_absence *absence_of(struct entry *e, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < e->absence_count; i++)
		if (e->absences[i].incarnation == incarnation)
			return &e->absences[i];
	if (e->absence_count == MEMBERS_MAX) {
		memmove(e->absences, e->absences + 1,
			(MEMBERS_MAX - 1) * sizeof(e->absences[0]));
		e->absence_count--;
	}
	memset(&e->absences[e->absence_count], 0, sizeof(e->absences[0]));
	e->absences[e->absence_count].incarnation = incarnation;
	return &e->absences[e->absence_count++];
}

static bool is_listed(const json_t *list, const char *name)
{
	json_t *item;
	size_t i;

	json_array_foreach((json_t *)list, i, item)
	{
		const char *listed =
			json_string_value(json_object_get(item, "name"));

		if (listed && !strcmp(listed, name))
			return true;
	}
	return false;
}

/*
 * A member is absent when the list had its name and no longer has it, or when
 * it is marked dead, which the registration of a newer incarnation does.
 */
static void on_list(void *arg, const struct platform_answer *answer)
{
	struct entry *e = arg;
	uint32_t i;

	if (answer->status != PLATFORM_OK)
		return;
	conductor_set_instances(e, answer->value);
	for (i = 0; i < e->members.count; i++) {
		const struct member *m = &e->members.list[i];
		struct entry_absence *a = absence_of(e, m->incarnation);
		bool listed = is_listed(answer->value, m->name);
		bool absent =
			m->state == MEMBER_DEAD || (a->was_listed && !listed);

		a->was_listed |= listed;
		if (absent && !a->absent)
			a->since_ms = clock_now_ms();
		a->absent = absent;
	}
}

void entry_read_instances(struct entry *e)
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

/* Longest time that requests of an ended entry may still run on workers. */
static uint64_t lease_ms(const struct entry *e)
{
	return e->cfg->run_max_ms + CORE_LEASE_MARGIN_MS;
}

/* Makes the changes to the members that are due; false if there are none. */
static bool next_members(struct entry *e, struct members *next, uint64_t now_ms)
{
	struct member *self = members_find(next, e->incarnation);
	bool changed = false;
	uint32_t i;

	for (i = 0; i < next->count; i++) {
		struct member *m = &next->list[i];
		const struct entry_absence *a = absence_of(e, m->incarnation);

		if (m == self || !a->absent)
			continue;
		if (now_ms >= a->since_ms + lease_ms(e)) {
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
				    e->registered_members_version) >=
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
