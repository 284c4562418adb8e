#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/walk/fleet_world_internal.h"

/* Leads */

static uint32_t instance_index(const struct world *w, const char *id)
{
	uint32_t i;

	for (i = 0; i < WORLD_INSTANCES; i++)
		if (!strcmp(w->instances[i].id, id))
			return i;
	abort();
}

static void directory(struct world *w, struct lead *l)
{
	uint32_t i;

	for (i = 0; i < WORLD_INSTANCES; i++) {
		struct world_instance *in = &w->instances[i];
		struct sched_instance_info info = {
			.id = in->id,
			.address = in->id,
			.zone = "z",
			.pool = in->pool,
			.machine = in->id,
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

static void load_rows(struct world *w, struct lead *l)
{
	uint32_t i;

	for (i = 0; i < WORLD_JOBS; i++) {
		struct world_job *job = &w->jobs[i];
		Fleet__ProgressRow *progress = NULL;
		Fleet__EndRow end = FLEET__END_ROW__INIT;
		uint8_t bytes[2048];
		size_t length;

		l->inbox_seen[i] = 0;
		if (job->end && !job->has_row) {
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
		if (!job->end)
			continue;
		end.queue = job->row->queue;
		end.state = job->end;
		sched_load_end(l->s, job->id, &end, w->now);
	}
}

static void on_trace(void *arg, const char *kind, const char *id,
		     const char *text)
{
	say(arg, "    %s %s %s", kind, id, text);
}

void claim(struct world *w, uint32_t who)
{
	struct sched_options options = { .lease_ms = LEASE_MS,
					 .lease_max_ms = LEASE_MAX_MS,
					 .former_leader_ms = ORDERS_MS,
					 .start_wait_ms = 1000,
					 .end_keep_ms = 120000 };
	struct lead *l = &w->leads[who];

	if (l->s)
		lead_resign(w, l);
	l->life++;
	w->holder = who + 1;
	w->lead_revision = ++w->store_revision;
	w->epoch++;
	w->result->takeovers++;
	say(w, "lead %u claims epoch %llu", who, (unsigned long long)w->epoch);
	l->revision = l->fence = w->lead_revision;
	l->epoch = w->epoch;
	l->confirmed_ms = w->now;
	l->commits = 0;
	l->settle = false;
	l->retry_ms = 0;
	l->machines_ms = w->now + 20 + pick(w, 200);
	l->s = sched_new(NULL, &options);
	if (w->verbose)
		sched_set_trace(l->s, on_trace, w);
	sched_set_clock(l->s, w->now);
	sched_configure(l->s, &w->config, w->now);
	directory(w, l);
	load_rows(w, l);
	sched_become_leader(l->s, l->epoch, false, w->now);
}

static void lead_machines(struct world *w, struct lead *l)
{
	uint32_t i;

	if (!l->machines_ms || w->now < l->machines_ms)
		return;
	l->machines_ms = 0;
	for (i = 0; i < WORLD_INSTANCES; i++)
		if (w->instances[i].up)
			sched_expect_instance(l->s, w->instances[i].id,
					      w->instances[i].pool,
					      w->instances[i].id, w->now);
	sched_expect_complete(l->s, w->now);
}

static void lead_inbox(struct world *w, struct lead *l)
{
	uint8_t bytes[2048];
	uint32_t i;

	for (i = 0; i < WORLD_JOBS; i++) {
		struct world_job *job = &w->jobs[i];
		size_t length;

		if (!l->inbox_seen[i] || w->now < l->inbox_seen[i])
			continue;
		l->inbox_seen[i] = 0;
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

static void lead_commit(struct world *w, uint32_t who)
{
	struct lead *l = &w->leads[who];
	struct sched_change change;
	struct call *c;
	uint32_t most;

	if (w->now < l->retry_ms || l->commits >= COMMITS_MAX ||
	    (l->commits && (l->settle || pick(w, 4))) ||
	    !sched_change_pending(l->s))
		return;
	c = call_new(w, who, CALL_TXN, TXN_TIMEOUT_MS);
	c->condition = l->revision;
	c->batch = ++w->batches;
	most = 1 + pick(w, WORLD_JOBS);
	c->settles = l->settle;
	while (c->change_count < most &&
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
		ch->progress_length = fleet__progress_row__pack(change.progress,
								ch->progress);
		fleet__progress_row__free_unpacked(change.progress, NULL);
	}
	l->commits++;
}

static void lead_send(struct world *w, uint32_t who)
{
	struct lead *l = &w->leads[who];
	struct sched_order order;
	struct sched_poll look;
	struct call *c;

	if (!l->confirmed_ms || w->now - l->confirmed_ms >= ORDERS_MS)
		return;
	while (sched_next_order(l->s, w->now, &order)) {
		c = call_new(w, who, CALL_ORDER, ORDER_TIMEOUT_MS);
		c->order = order;
		c->fence = l->fence;
		c->instance = instance_index(w, order.instance_id);
		c->life = w->instances[c->instance].born;
	}
	while (sched_next_poll(l->s, w->now, &look)) {
		c = call_new(w, who, CALL_LOOK, look.timeout_ms);
		c->look = look;
		c->fence = l->fence;
		c->instance = instance_index(w, look.instance_id);
		c->life = w->instances[c->instance].born;
		c->answer_ms += c->answer_ms == UINT64_MAX ? 0 : pick(w, 200);
	}
}

void lead_advance(struct world *w, uint32_t who)
{
	struct lead *l = &w->leads[who];

	if (!l->s || w->now < l->frozen_until_ms)
		return;
	if (w->now - l->advanced_ms >= GAP_MS)
		l->confirmed_ms = 0;
	l->advanced_ms = w->now;
	lead_machines(w, l);
	lead_inbox(w, l);
	directory(w, l);
	/* Reading the row confirms the lead, or ends it. */
	if ((w->now - l->confirmed_ms >= CONFIRM_MS ||
	     sched_needs_confirmation(l->s)) &&
	    w->now >= l->cut_until_ms && !pick(w, 4)) {
		if (w->holder != who + 1) {
			lead_resign(w, l);
			return;
		}
		l->confirmed_ms = w->now;
		sched_leader_confirmed(l->s, w->now);
	}
	sched_tick(l->s, w->now, w->now);
	if (chance(w, FAULT_EVACUATIONS, 5)) {
		struct sched_instance_load load;
		uint32_t slot = pick(w, WORLD_INSTANCES);

		if (sched_instance_next(l->s, &slot, &load))
			sched_evacuate(l->s, load.instance, true, w->now);
	}
	lead_send(w, who);
	lead_commit(w, who);
}
