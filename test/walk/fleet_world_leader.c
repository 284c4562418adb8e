#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/walk/fleet_world_internal.h"

/* Leaders */

static const char *const zone_names[ZONES] = { "z0", "z1" };

static uint32_t instance_index(const struct world *w, const char *id)
{
	uint32_t i;

	for (i = 0; i < WORLD_INSTANCES; i++)
		if (!strcmp(w->instances[i].id, id))
			return i;
	abort();
}

static void leader_read_directory(struct world *w, struct leader *l)
{
	uint32_t i;

	for (i = 0; i < WORLD_INSTANCES; i++) {
		struct world_instance *in = &w->instances[i];
		struct sched_instance_info info = {
			.id = in->id,
			.address = in->id,
			.zone = zone_names[in->zone],
			.pool = in->pool,
			.machine = in->id,
			.started_unix_ms = in->listed_incarnation,
			.capacity = { 8000, 8000, 0 },
			.label_count = 1,
			.labels = { "r1" },
		};

		if (in->listed)
			sched_instance_listed(l->s, &info, w->now);
		else
			sched_instance_unlisted(l->s, in->id, w->now);
	}
}

static void leader_load_rows(struct world *w, struct leader *l)
{
	uint32_t i;

	for (i = 0; i < WORLD_JOBS; i++) {
		struct world_job *job = &w->jobs[i];
		Fleet__ProgressRow *progress = NULL;
		Fleet__EndRow end = FLEET__END_ROW__INIT;
		uint8_t bytes[2048];
		size_t length;

		l->inbox_due_ms[i] = 0;
		l->ends_left &= ~(1u << i);
		if (job->end_ms && !job->has_row &&
		    (w->faults & FAULT_FORGET) && random_below(w, 2)) {
			l->ends_left |= 1u << i;
		} else if (job->end_ms && !job->has_row) {
			end.queue = job->row->queue;
			end.state = job->end;
			sched_load_end(l->s, job->id, &end, w->now);
		}
		if (!job->has_row)
			continue;
		length = fleet__job_row__pack(job->row, bytes);
		if (job->has_progress)
			progress = fleet__progress_row__unpack(
				NULL, job->progress_length, job->progress);
		sched_load_job(l->s, job->id,
			       fleet__job_row__unpack(NULL, length, bytes),
			       progress, w->now);
		if (progress)
			fleet__progress_row__free_unpacked(progress, NULL);
		if (!job->end_ms)
			continue;
		end.queue = job->row->queue;
		end.state = job->end;
		sched_load_end(l->s, job->id, &end, w->now);
	}
}

static void on_trace(void *arg, const char *kind, const char *id,
		     const char *text)
{
	trace(arg, "    %s %s %s", kind, id, text);
}

/* Whether the predecessor was killed, and no leader before it is left. */
static bool predecessors_gone(const struct world *w)
{
	uint32_t i;

	for (i = 0; i < WORLD_LEADERS; i++)
		if (w->leaders[i].s)
			return false;
	return w->leader_killed;
}

void leader_claim(struct world *w, uint32_t index)
{
	struct sched_options options = {
		.lease_ms = LEASE_MS,
		.lease_max_ms = LEASE_MAX_MS,
		.predecessor_orders_ms = ORDERS_VALID_MS,
		.start_wait_ms = 1000,
		.end_keep_ms = w->faults & FAULT_FORGET ? FORGET_MS : 120000,
		.row_bytes = PROGRESS_MAX,
		.open_max = w->open_max,
		.placement_reservations = 4
	};
	struct leader *l = &w->leaders[index];
	bool predecessor_gone;

	if (l->s)
		leader_resign(w, l);
	predecessor_gone = predecessors_gone(w);
	w->leader_killed = false;
	l->incarnation++;
	w->row_leader = index + 1;
	w->leader_revision = ++w->store_revision;
	w->epoch++;
	w->result->takeovers++;
	trace(w, "leader %u claims epoch %llu", index,
	      (unsigned long long)w->epoch);
	l->revision = l->fence = w->leader_revision;
	l->epoch = w->epoch;
	l->confirmed_ms = l->claimed_ms = w->now;
	l->commits = 0;
	l->resolved = w->leader_resolved = 0;
	l->resolve = false;
	l->retry_ms = 0;
	l->evacuated = 0;
	l->evacuations_ms = 0;
	l->held = false;
	l->machines_due_ms = w->now + 20 + random_below(w, 200);
	l->s = sched_new(NULL, &options);
	if (w->verbose)
		sched_set_trace(l->s, on_trace, w);
	sched_set_clock(l->s, leader_unix_ms(w, l));
	sched_configure(l->s, &w->config, w->now);
	if (w->faults & FAULT_REPEATS)
		sched_set_ranges(l->s, random_below(w, 2));
	leader_read_directory(w, l);
	leader_load_rows(w, l);
	sched_become_leader(l->s, l->epoch, predecessor_gone, w->now);
}

static void leader_read_machines(struct world *w, struct leader *l)
{
	uint32_t i;

	if (!l->machines_due_ms || w->now < l->machines_due_ms)
		return;
	l->machines_due_ms = 0;
	for (i = 0; i < WORLD_INSTANCES; i++)
		if (w->instances[i].up)
			sched_expect_instance(l->s, w->instances[i].id,
					      w->instances[i].pool,
					      w->instances[i].id, w->now);
	sched_expect_complete(l->s, w->now);
}

/*
 * Learns the evacuations, unless the store's feed is silent or cut off, and
 * holds starts while they are unknown or were known too long ago.
 */
static void leader_read_evacuations(struct world *w, struct leader *l)
{
	const char *zones[ZONES];
	uint32_t count = 0;
	uint32_t z;

	if (!(w->faults & FAULT_EVACUATIONS))
		return;
	if (w->now >= l->cut_off_until_ms &&
	    w->now >= l->feed_silent_until_ms && !random_below(w, 10)) {
		l->evacuated = 0;
		l->evacuations_ms = w->now;
		for (z = 0; z < ZONES; z++)
			if (w->evacuated_ms[z]) {
				l->evacuated |= 1u << z;
				zones[count++] = zone_names[z];
			}
		sched_set_evacuated(l->s, zones, count, w->now);
	}
	l->held = !l->evacuations_ms ||
		  w->now - l->evacuations_ms > EVACUATIONS_USED_MS;
	sched_hold_starts(l->s, l->held, w->now);
}

/* A start must not go where the leader itself knows it must not. */
static void check_start_sent(struct world *w, const struct leader *l,
			     const struct call *c)
{
	if (c->order.kind == ORDER_START &&
	    (l->held || l->evacuated & 1u << w->instances[c->instance].zone))
		violation(w, "EVACUATION: %s is sent to %s, %s", c->order.task,
			  w->instances[c->instance].id,
			  l->held ? "while starts are held"
				  : "whose zone is known to be evacuated");
}

static void leader_read_inbox(struct world *w, struct leader *l)
{
	uint8_t bytes[2048];
	uint32_t i;

	for (i = 0; i < WORLD_JOBS; i++) {
		struct world_job *job = &w->jobs[i];
		size_t length;

		if (!l->inbox_due_ms[i] || w->now < l->inbox_due_ms[i])
			continue;
		l->inbox_due_ms[i] = 0;
		if (!job->has_row)
			continue;
		length = fleet__job_row__pack(job->row, bytes);
		sched_recorded(l->s, job->id,
			       fleet__job_row__unpack(NULL, length, bytes),
			       w->now);
		if (job->cancelled_ms)
			sched_cancel(l->s, job->id, job->row->queue, w->now);
	}
}

/* Reads the ends that were left in the store, some time after the claim. */
static void leader_read_ends(struct world *w, struct leader *l)
{
	uint32_t i;

	if (!l->ends_left || w->now - l->claimed_ms < FORGET_MS ||
	    w->now < l->cut_off_until_ms)
		return;
	for (i = 0; i < WORLD_JOBS; i++) {
		Fleet__EndRow end = FLEET__END_ROW__INIT;

		if (!(l->ends_left & 1u << i) || !w->jobs[i].end_ms)
			continue;
		end.queue = w->jobs[i].row->queue;
		end.state = w->jobs[i].end;
		sched_load_expired(l->s, w->jobs[i].id, &end, w->now);
	}
	l->ends_left = 0;
}

static void add_deletions(struct world *w, struct leader *l, struct call *c)
{
	const char *id;
	uint32_t i;

	if (l->commits)
		return;
	while ((id = sched_next_expired(l->s, c->batch))) {
		for (i = 0; strcmp(w->jobs[i].id, id); i++)
			;
		c->deleted |= 1u << i;
	}
}

static void leader_commit(struct world *w, uint32_t index)
{
	struct leader *l = &w->leaders[index];
	struct sched_change change;
	struct call *c;
	uint32_t change_limit;

	if (w->now < l->retry_ms || l->commits >= COMMITS_MAX ||
	    (l->commits && (l->resolve || random_below(w, 4))) ||
	    (!sched_change_pending(l->s) && !sched_expired(l->s)))
		return;
	c = call_new(w, index, CALL_TXN, TXN_TIMEOUT_MS);
	c->condition = l->revision;
	c->batch = ++w->last_batch;
	c->ask_ms = w->now + ASK_MIN_MS + random_below(w, ASK_SPREAD_MS);
	if (!l->commits)
		l->slots = 0;
	while (l->slots & (1u << c->slot))
		c->slot++;
	l->slots |= 1u << c->slot;
	change_limit = 1 + random_below(w, WORLD_JOBS);
	c->resolves = l->resolve;
	c->marker = (struct world_marker){ l->epoch, c->batch,
					   l->resolved + c->resolves, 0 };
	while (c->change_count < change_limit &&
	       sched_next_change(l->s, c->batch, &change)) {
		struct change *ch = &c->changes[c->change_count++];
		uint32_t i;

		for (i = 0; strcmp(w->jobs[i].id, change.id); i++)
			;
		ch->job = i;
		ch->is_new = change.is_new;
		ch->is_ended = change.is_ended;
		ch->drop = change.drop;
		ch->end = change.end.state;
		if (!change.progress)
			continue;
		ch->has_progress = true;
		assert(fleet__progress_row__get_packed_size(change.progress) <=
		       PROGRESS_MAX);
		ch->progress_length = fleet__progress_row__pack(change.progress,
								ch->progress);
		fleet__progress_row__free_unpacked(change.progress, NULL);
	}
	add_deletions(w, l, c);
	l->commits++;
}

static void leader_send(struct world *w, uint32_t index)
{
	struct leader *l = &w->leaders[index];
	struct sched_order order;
	struct sched_poll poll;
	struct call *c;

	if (!l->confirmed_ms || w->now - l->confirmed_ms >= ORDERS_VALID_MS)
		return;
	while (sched_next_order(l->s, w->now, &order)) {
		c = call_new(w, index, CALL_ORDER, ORDER_TIMEOUT_MS);
		c->order = order;
		c->fence = l->fence;
		c->instance = instance_index(w, order.instance_id);
		c->target_incarnation = w->instances[c->instance].incarnation;
		check_start_sent(w, l, c);
	}
	while (sched_next_poll(l->s, w->now, &poll)) {
		c = call_new(w, index, CALL_POLL, poll.timeout_ms);
		c->poll = poll;
		c->fence = l->fence;
		c->instance = instance_index(w, poll.instance_id);
		c->target_incarnation = w->instances[c->instance].incarnation;
		c->answer_ms +=
			c->answer_ms == UINT64_MAX ? 0 : random_below(w, 200);
	}
}

void leader_advance(struct world *w, uint32_t index)
{
	struct leader *l = &w->leaders[index];

	if (!l->s || w->now < l->frozen_until_ms)
		return;
	if (w->now - l->advanced_ms >= FREEZE_DETECT_MS)
		l->confirmed_ms = 0;
	l->advanced_ms = w->now;
	leader_read_machines(w, l);
	leader_read_inbox(w, l);
	leader_read_directory(w, l);
	/* Reading the leader row confirms the leader or makes it resign. */
	if ((w->now - l->confirmed_ms >= CONFIRM_INTERVAL_MS ||
	     sched_needs_confirmation(l->s, w->now)) &&
	    w->now >= l->cut_off_until_ms && !random_below(w, 4)) {
		if (w->row_leader != index + 1) {
			leader_resign(w, l);
			return;
		}
		l->confirmed_ms = w->now;
		sched_leader_confirmed(l->s, w->now);
	}
	leader_read_evacuations(w, l);
	leader_read_ends(w, l);
	sched_tick(l->s, leader_unix_ms(w, l), w->now);
	if (fault_occurs(w, FAULT_RELOCATIONS, 5)) {
		struct sched_instance_load load;
		uint32_t slot = random_below(w, WORLD_INSTANCES);

		if (sched_instance_next(l->s, &slot, &load))
			sched_relocate(l->s, load.instance, true, true, w->now);
	}
	leader_send(w, index);
	leader_commit(w, index);
}
