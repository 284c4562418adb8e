#include "entry/core_internal.h"

#include <string.h>

/* Tables sized by the configuration */

static void *grow(TALLOC_CTX *ctx, void *table, size_t size, uint32_t *count,
		  uint32_t needed)
{
	char *grown = table;

	if (needed <= *count)
		return table;
	grown = talloc_realloc_size(ctx, table, size * needed);
	assert(grown);
	memset(grown + size * *count, 0, size * (needed - *count));
	*count = needed;
	return grown;
}

static void grow_tables(struct core *c, const struct cfg *cfg)
{
	uint32_t pools = c->pool_count;
	uint32_t i;

	c->teams = grow(c, c->teams, sizeof(*c->teams), &c->team_count,
			cfg->team_count);
	c->instances = grow(c, c->instances, sizeof(*c->instances),
			    &c->instance_count, cfg->instance_count);
	c->pools = grow(c, c->pools, sizeof(*c->pools), &c->pool_count,
			cfg->pool_count);
	for (i = pools; i < c->pool_count; i++)
		c->pools[i].queue = fq_new(c);
}

/* Configuration */

static void configure_teams(struct core *c, const struct cfg *cfg)
{
	char name[CORE_KIND_NAME_MAX];
	uint32_t i;

	for (i = 0; i < cfg->team_count; i++) {
		struct core_team *t = &c->teams[i];
		const struct cfg_team *team = &cfg->teams[i];

		if (!team->present && !t->configured)
			continue;
		if (!t->configured) {
			snprintf(name, sizeof(name), "t:%s", team->name);
			t->domain = ledger_domain(c->ledger, name);
			t->configured = true;
		}
		ledger_configure(c->ledger, t->domain,
				 team->present ? team->limit : 0, 0,
				 cfg->version);
	}
}

static uint32_t instance_units(const struct cfg_instance *w)
{
	return w->present && w->state == CFG_SERVING ? w->slots : 0;
}

static void configure_instances(struct core *c, const struct cfg *cfg)
{
	char name[CORE_KIND_NAME_MAX];
	uint32_t i;

	for (i = 0; i < cfg->instance_count; i++) {
		struct core_instance *n = &c->instances[i];
		const struct cfg_instance *w = &cfg->instances[i];

		if (!w->present && !n->configured)
			continue;
		if (!n->configured) {
			snprintf(name, sizeof(name), "w:%s", w->name);
			n->domain = ledger_domain(c->ledger, name);
			n->configured = true;
		}
		ledger_configure(c->ledger, n->domain, instance_units(w),
				 w->generation, cfg->version);
	}
}

static void list_instances(struct core *c, const struct cfg *cfg)
{
	uint32_t i;

	for (i = 0; i < c->pool_count; i++) {
		c->pools[i].instance_count = 0;
		c->pools[i].slots = 0;
	}
	for (i = 0; i < cfg->instance_count; i++) {
		const struct cfg_instance *w = &cfg->instances[i];
		struct core_pool *p;

		if (!w->present)
			continue;
		p = &c->pools[w->pool.i];
		p->instances = talloc_realloc(c, p->instances, uint32_t,
					      p->instance_count + 1);
		assert(p->instances);
		p->instances[p->instance_count++] = i;
		p->slots += instance_units(w);
	}
}

void core_configure(struct core *c, struct cfg *cfg, uint64_t now_ms)
{
	struct cfg *old = c->cfg;
	uint32_t i;

	c->now_ms = now_ms;
	c->cfg = cfg_ref(cfg);
	cfg_unref(old);
	grow_tables(c, cfg);
	configure_teams(c, cfg);
	configure_instances(c, cfg);
	list_instances(c, cfg);
	c->full_update_ms = 0;
	for (i = 0; i < c->pool_count; i++)
		core_dispatch(c, (pool_handle){ i });
}

/* Members and peers */

struct core_peer *core_peer(struct core *c, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < c->peer_count; i++)
		if (c->peers[i].incarnation == incarnation)
			return &c->peers[i];
	return NULL;
}

static void peer_add(struct core *c, uint64_t incarnation)
{
	struct core_peer *p;

	if (incarnation == c->options.incarnation ||
	    core_peer(c, incarnation) || c->peer_count == CORE_PEERS_MAX)
		return;
	p = &c->peers[c->peer_count++];
	memset(p, 0, sizeof(*p));
	p->incarnation = incarnation;
	p->link = ledger_link_new(c, c->ledger);
}

void core_set_members(struct core *c, const struct ledger_members *members)
{
	uint32_t i;

	talloc_free(c->member_ids);
	c->member_ids = talloc_memdup(c, members->incarnations,
				      members->count * sizeof(uint64_t));
	c->members = *members;
	c->members.incarnations = c->member_ids;
	c->full_update_ms = 0;
	for (i = 0; i < members->count; i++)
		peer_add(c, members->incarnations[i]);
}

void core_set_reachable(struct core *c, uint64_t incarnation, bool reachable)
{
	struct core_peer *p = core_peer(c, incarnation);

	if (p)
		p->reachable = reachable;
	if (p && !reachable)
		broker_forget(c->broker, incarnation);
}

void core_member_removed(struct core *c, uint64_t incarnation, uint64_t version)
{
	struct core_peer *p = core_peer(c, incarnation);

	ledger_member_removed(c->ledger, version);
	broker_forget(c->broker, incarnation);
	if (!p)
		return;
	ledger_link_drop(p->link);
	*p = c->peers[--c->peer_count];
}
