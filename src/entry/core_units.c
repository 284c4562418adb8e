#include "entry/core_internal.h"

#include <string.h>

#define REPORT_INTERVAL_MS 250 /* between reports, without an urgent change */
#define FULL_UPDATE_MS 1000    /* between updates of idle pools and teams */
#define REPORT_REFRESH_MS 2000 /* until an unchanged report is sent again */
#define TRANSFER_RESEND_MS 500 /* between sends of unacknowledged transfers */

/*
 * A team's demand counts as changed when it differs from the last report by
 * more than DEMAND_CHANGE_MILLI, in thousandths of a slot, and by more than the
 * reported demand divided by DEMAND_CHANGE_DIVISOR. The _URGENT_ bounds apply
 * in the same way to a change that is reported at once.
 */
#define DEMAND_CHANGE_MILLI 300
#define DEMAND_CHANGE_DIVISOR 8
#define DEMAND_CHANGE_URGENT_MILLI 2000
#define DEMAND_CHANGE_URGENT_DIVISOR 4

/* Acquiring units from the store */

static int64_t equal_share(const struct core *c, int64_t total)
{
	int64_t entries = c->members.count ? c->members.count : 1;
	int64_t base = total / entries;

	return total && !base ? 1 : base;
}

static void update_idle_target(struct core *c, domain_handle d,
			       uint32_t waiting)
{
	struct ledger_domain_view view;
	int64_t target;

	ledger_view(c->ledger, d, &view);
	if (c->stopping && !c->waiting) {
		ledger_set_idle_target(c->ledger, d, 0);
		ledger_return_units(c->ledger, d, view.held - view.running);
		return;
	}
	target = equal_share(c, view.total) - view.running;
	if (target < waiting)
		target = waiting;
	ledger_set_idle_target(c->ledger, d,
			       target < view.total ? target : view.total);
}

/*
 * Divides a pool's waiting jobs among its workers, in the order of their list.
 * A worker's part is at most its idle units held here plus its units free in
 * the store.
 */
static void update_pool_targets(struct core *c, struct core_pool *p)
{
	uint32_t need = fq_waiting(p->queue);
	uint32_t i;

	for (i = 0; i < p->instance_count; i++) {
		domain_handle d = c->instances[p->instances[i]].domain;
		struct ledger_domain_view view;
		uint32_t part;

		ledger_view(c->ledger, d, &view);
		part = (uint32_t)(view.held - view.running +
				  (view.free > 0 ? view.free : 0));
		part = part < need ? part : need;
		update_idle_target(c, d, part);
		need -= part;
	}
}

/*
 * A pool or team that has no work, and had none in its last report, needs an
 * update only after a change of rows, members or configuration. The next full
 * update covers it.
 */
static bool pool_is_active(const struct core_pool *p)
{
	return fq_waiting(p->queue) || fq_running(p->queue) ||
	       p->reported.team_count;
}

static bool team_is_active(const struct core_team *t)
{
	return t->waiting || t->running || t->reported.team_count;
}

static void update_all_targets(struct core *c, bool all)
{
	uint32_t i;

	for (i = 0; i < c->pool_count; i++)
		if (all || pool_is_active(&c->pools[i]))
			update_pool_targets(c, &c->pools[i]);
	for (i = 0; i < c->team_count; i++)
		if (c->teams[i].configured &&
		    (all || team_is_active(&c->teams[i])))
			update_idle_target(c, c->teams[i].domain,
					   c->teams[i].waiting);
}

void core_units_write(struct core *c)
{
	struct ledger_cas cas;
	uint32_t shard;

	if (!c->members.count)
		return;
	for (shard = 0; shard < c->options.shard_count; shard++) {
		if (!ledger_plan_cas(c->ledger, shard, c->now_ms, &c->members,
				     &cas))
			continue;
		c->counters.row_writes++;
		c->options.callbacks.write(c->options.callbacks.arg, shard,
					   &cas);
	}
}

/* Lending */

/* Sends the `last` newest transfers of the peer's outbox. */
static void send_transfers(struct core *c, struct core_peer *p, uint32_t last)
{
	struct core_message m = { .kind = CORE_LEND };
	const struct ledger_transfer *t;
	uint32_t count;
	uint32_t i;

	t = ledger_outbox(p->link, &count);
	for (i = count - last; i < count; i++) {
		m.u.lend = t[i];
		core_send(c, p->incarnation, &m);
	}
}

static uint32_t lend_domain(struct core *c, struct core_peer *p,
			    domain_handle d, uint32_t units)
{
	uint32_t lent = ledger_lend(p->link, d, units);

	if (!lent)
		return 0;
	c->counters.lent_units += lent;
	send_transfers(c, p, 1);
	return lent;
}

static void lend_pool_transfer(struct core *c, struct core_pool *pool,
			       struct broker_transfer *t)
{
	struct core_peer *p = core_peer(c, t->to);
	uint32_t i;

	if (!p || !p->reachable)
		return;
	for (i = 0; i < pool->instance_count && t->units; i++)
		t->units -= lend_domain(c, p,
					c->instances[pool->instances[i]].domain,
					t->units);
}

void core_units_lend_pool(struct core *c, uint32_t pool)
{
	struct core_pool *p = &c->pools[pool];
	uint32_t i;

	for (i = 0; i < p->transfers.count; i++)
		if (p->transfers.list[i].units)
			lend_pool_transfer(c, p, &p->transfers.list[i]);
}

void core_units_lend_team(struct core *c, uint32_t team)
{
	struct core_team *t = &c->teams[team];
	uint32_t i;

	for (i = 0; i < t->transfers.count; i++) {
		struct broker_transfer *transfer = &t->transfers.list[i];
		struct core_peer *p = core_peer(c, transfer->to);

		if (p && p->reachable && transfer->units)
			transfer->units -=
				lend_domain(c, p, t->domain, transfer->units);
	}
}

static void resend(struct core *c)
{
	uint32_t i;

	for (i = 0; i < c->peer_count; i++) {
		struct core_peer *p = &c->peers[i];
		uint32_t count;

		ledger_outbox(p->link, &count);
		if (!count || !p->reachable) {
			p->resent_ms = c->now_ms;
			continue;
		}
		if (c->now_ms < p->resent_ms + TRANSFER_RESEND_MS)
			continue;
		p->resent_ms = c->now_ms;
		send_transfers(c, p, count);
	}
}

/* Advice */

static void replace_transfers(struct core *c, struct core_transfers *transfers,
			      const struct broker_advice *advice)
{
	talloc_free(transfers->list);
	transfers->count = advice->transfer_count;
	transfers->list =
		talloc_memdup(c, advice->transfers,
			      transfers->count * sizeof(*transfers->list));
}

void core_units_set_advice(struct core *c, const struct broker_advice *advice)
{
	struct core_pool *p;
	uint32_t i;

	if (advice->group.kind == BROKER_TEAM) {
		if (advice->group.id >= c->team_count)
			return;
		replace_transfers(c, &c->teams[advice->group.id].transfers,
				  advice);
		core_units_lend_team(c, advice->group.id);
		return;
	}
	if (advice->group.id >= c->pool_count)
		return;
	p = &c->pools[advice->group.id];
	p->advised_ms = c->now_ms;
	p->target_sum = 0;
	replace_transfers(c, &p->transfers, advice);
	for (i = 0; i < advice->target_count; i++)
		p->target_sum += advice->targets[i].milli_slots / 1000.0;
	for (i = 0; i < advice->target_count; i++)
		if (advice->targets[i].team < c->team_count)
			fq_set_target(p->queue,
				      (team_handle){ advice->targets[i].team },
				      advice->targets[i].milli_slots / 1000.0);
	core_dispatch(c, (pool_handle){ advice->group.id });
}

static bool broker_team_view(void *arg, uint32_t team, uint32_t *share,
			     uint32_t *limit)
{
	const struct core *c = arg;

	if (!c->cfg || team >= c->cfg->team_count ||
	    !c->cfg->teams[team].present)
		return false;
	*share = c->cfg->teams[team].share;
	*limit = c->cfg->teams[team].limit;
	return true;
}

static void send_advice(void *arg, uint64_t entry,
			const struct broker_advice *advice)
{
	struct core_message m = { .kind = CORE_ADVICE };

	m.u.advice = *advice;
	core_send(arg, entry, &m);
}

struct broker *core_units_broker(struct core *c)
{
	struct broker_callbacks callbacks = {
		.team = broker_team_view,
		.advise = send_advice,
		.arg = c,
	};

	return broker_new(c, &callbacks);
}

/* Reports */

/* How much demand differs from the last report. */
enum demand_change {
	DEMAND_UNCHANGED,
	DEMAND_CHANGED,
	DEMAND_CHANGED_URGENTLY
};

static enum demand_change compare_team(uint32_t now, uint32_t reported)
{
	uint32_t change = now > reported ? now - reported : reported - now;

	if (change > DEMAND_CHANGE_URGENT_MILLI &&
	    change > reported / DEMAND_CHANGE_URGENT_DIVISOR)
		return DEMAND_CHANGED_URGENTLY;
	if (change > DEMAND_CHANGE_MILLI &&
	    change > reported / DEMAND_CHANGE_DIVISOR)
		return DEMAND_CHANGED;
	return DEMAND_UNCHANGED;
}

static uint32_t demand_of(const struct broker_demand *d, uint32_t team)
{
	uint32_t i;

	for (i = 0; i < d->team_count; i++)
		if (d->teams[i].team == team)
			return d->teams[i].milli_slots;
	return 0;
}

static enum demand_change compare_demand(const struct broker_demand *now,
					 const struct broker_demand *reported)
{
	enum demand_change most =
		now->held != reported->held ? DEMAND_CHANGED : DEMAND_UNCHANGED;
	enum demand_change change;
	uint32_t i;

	for (i = 0; i < now->team_count; i++) {
		change = compare_team(now->teams[i].milli_slots,
				      demand_of(reported, now->teams[i].team));
		most = change > most ? change : most;
	}
	for (i = 0; i < reported->team_count; i++) {
		change = compare_team(demand_of(now, reported->teams[i].team),
				      reported->teams[i].milli_slots);
		most = change > most ? change : most;
	}
	return most;
}

static uint64_t choose_broker(const struct core *c, enum broker_kind kind,
			      const char *name)
{
	uint64_t live[CORE_PEERS_MAX + 1];
	uint32_t n = 0;
	uint32_t i;

	live[n++] = c->options.incarnation;
	for (i = 0; i < c->peer_count; i++)
		if (c->peers[i].reachable)
			live[n++] = c->peers[i].incarnation;
	return broker_choose(kind, name, live, n);
}

static bool report_is_due(const struct core *c,
			  const struct broker_demand *demand,
			  const struct broker_demand *reported,
			  uint64_t reported_ms)
{
	switch (compare_demand(demand, reported)) {
	case DEMAND_CHANGED_URGENTLY:
		return true;
	case DEMAND_CHANGED:
		return c->now_ms >= reported_ms + REPORT_INTERVAL_MS;
	case DEMAND_UNCHANGED:
		break;
	}
	return (demand->held || demand->team_count) &&
	       c->now_ms >= reported_ms + REPORT_REFRESH_MS;
}

/* Sends demand to the group's broker when due; takes over demand->teams. */
static void report_demand(struct core *c, const char *name,
			  struct broker_demand *demand,
			  struct broker_demand *reported, uint64_t *reported_ms)
{
	struct core_message m = { .kind = CORE_DEMAND };

	if (!report_is_due(c, demand, reported, *reported_ms)) {
		talloc_free(demand->teams);
		return;
	}
	talloc_free(reported->teams);
	*reported = *demand;
	*reported_ms = c->now_ms;
	m.u.demand = *demand;
	core_send(c, choose_broker(c, demand->group.kind, name), &m);
}

static uint32_t min_u32(uint32_t value, uint32_t most)
{
	return value < most ? value : most;
}

static void collect_teams(struct core *c, const struct core_pool *p,
			  struct broker_demand *demand)
{
	struct fq_flow_view flow;
	uint32_t i;

	demand->teams = talloc_zero_array(c, struct broker_team,
					  fq_flow_count(p->queue) + 1);
	for (i = 0; i < fq_flow_count(p->queue); i++) {
		fq_view(p->queue, i, &flow);
		if (!flow.waiting && !flow.running)
			continue;
		/* Demand above the pool's slots changes no allocation. */
		demand->teams[demand->team_count++] = (struct broker_team){
			flow.team.i,
			1000 * min_u32(flow.waiting + flow.running, p->slots),
		};
	}
}

static void report_pool(struct core *c, uint32_t id)
{
	struct core_pool *p = &c->pools[id];
	struct broker_demand demand = { .group = { BROKER_POOL, id } };
	struct ledger_domain_view view;
	uint32_t i;

	if (id >= c->cfg->pool_count || !c->cfg->pools[id].present)
		return;
	for (i = 0; i < p->instance_count; i++) {
		ledger_view(c->ledger, c->instances[p->instances[i]].domain,
			    &view);
		demand.held += (uint32_t)view.held;
		demand.idle |= view.held > view.running;
	}
	collect_teams(c, p, &demand);
	report_demand(c, c->cfg->pools[id].name, &demand, &p->reported,
		      &p->reported_ms);
}

/*
 * A team's demand: its running jobs and the waiting ones, these up to its
 * limit, as more can't start. The broker moves units only to entries that hold
 * fewer than they demand: where jobs wait for the limit, not just for workers.
 */
static void report_team(struct core *c, uint32_t id)
{
	struct core_team *t = &c->teams[id];
	struct broker_demand demand = { .group = { BROKER_TEAM, id } };
	struct ledger_domain_view view;

	if (!t->configured || id >= c->cfg->team_count ||
	    !c->cfg->teams[id].present)
		return;
	ledger_view(c->ledger, t->domain, &view);
	demand.held = (uint32_t)view.held;
	demand.idle = view.held > view.running;
	demand.teams = talloc_zero_array(c, struct broker_team, 1);
	if (t->waiting || t->running)
		demand.teams[demand.team_count++] = (struct broker_team){
			id,
			1000 * (min_u32(t->waiting, c->cfg->teams[id].limit) +
				t->running),
		};
	report_demand(c, c->cfg->teams[id].name, &demand, &t->reported,
		      &t->reported_ms);
}

/* Without advice an entry divides the slots that it holds among its teams. */
static void set_local_targets(struct core *c, struct core_pool *p)
{
	uint32_t n = fq_flow_count(p->queue);
	struct share_claim *claims;
	struct fq_flow_view flow;
	struct ledger_domain_view view;
	double held = 0;
	uint32_t i;

	for (i = 0; i < p->instance_count; i++) {
		ledger_view(c->ledger, c->instances[p->instances[i]].domain,
			    &view);
		held += (double)view.held;
	}
	claims = talloc_zero_array(c, struct share_claim, n + 1);
	for (i = 0; i < n; i++) {
		uint32_t share = 1;
		uint32_t limit = 0;

		fq_view(p->queue, i, &flow);
		broker_team_view(c, flow.team.i, &share, &limit);
		claims[i].weight = share;
		claims[i].demand = flow.waiting + flow.running;
	}
	share_divide(claims, n, held);
	for (i = 0; i < n; i++) {
		fq_view(p->queue, i, &flow);
		fq_set_target(p->queue, flow.team, claims[i].allocated);
	}
	talloc_free(claims);
}

static void tick_pool(struct core *c, uint32_t id)
{
	struct core_pool *p = &c->pools[id];

	if (c->options.advice)
		report_pool(c, id);
	if (!c->options.advice ||
	    c->now_ms > p->advised_ms + CORE_ADVICE_TTL_MS)
		set_local_targets(c, p);
}

static void report_and_target(struct core *c, bool all)
{
	uint32_t i;

	if (c->options.advice)
		for (i = 0; i < c->team_count; i++)
			if (all || team_is_active(&c->teams[i]))
				report_team(c, i);
	for (i = 0; i < c->pool_count; i++)
		if (all || pool_is_active(&c->pools[i]))
			tick_pool(c, i);
	broker_run(c->broker, c->now_ms);
}

void core_units_tick(struct core *c)
{
	bool all = !c->full_update_ms ||
		   c->now_ms >= c->full_update_ms + FULL_UPDATE_MS;
	uint32_t i;

	if (!c->cfg)
		return;
	if (all)
		c->full_update_ms = c->now_ms;
	update_all_targets(c, all);
	core_units_write(c);
	resend(c);
	for (i = 0; i < c->team_count; i++)
		if (c->teams[i].transfers.count)
			core_units_lend_team(c, i);
	report_and_target(c, all);
}
