#include "version/wave.h"

#include <assert.h>
#include <string.h>

static bool matches(const char *pattern, const char *name)
{
	return !*pattern || !strcmp(pattern, name);
}

static enum plan_state plan_state_of(const struct cfg_instance *instance)
{
	switch (instance->state) {
	case CFG_SERVING:
		return PLAN_SERVING;
	case CFG_DRAINING:
		return PLAN_DRAINING;
	case CFG_OUT:
	case CFG_DEPARTED:
		break;
	}
	return PLAN_OUT;
}

/*
 * Departed and absent instances are in an extra pool, with the index
 * pool_count. It has no budget, and none of its instances is selected.
 */
static void fill_instance(const struct cfg *cfg, const struct cfg_wave *wave,
			  const struct cfg_instance *instance,
			  struct plan_instance *p, struct intern *zones,
			  struct intern *racks)
{
	bool drained_by_wave;

	p->pool = cfg->pool_count;
	p->state = PLAN_OUT;
	if (!instance->present || instance->state == CFG_DEPARTED)
		return;
	drained_by_wave = !strcmp(instance->wave, wave->name);
	p->pool = instance->pool.i;
	p->zone = intern_add(zones, instance->zone);
	p->rack = intern_add(racks, instance->rack);
	p->state = plan_state_of(instance);
	p->selected = drained_by_wave ||
		      (instance->state == CFG_SERVING &&
		       matches(wave->pool, cfg->pools[instance->pool.i].name) &&
		       matches(wave->zone, instance->zone) &&
		       matches(wave->rack, instance->rack));
	p->done = drained_by_wave && instance->state == CFG_SERVING;
}

struct plan_input *wave_input(TALLOC_CTX *ctx, const struct cfg *cfg,
			      const struct cfg_wave *wave,
			      struct plan_instance **instances)
{
	struct plan_input *in = talloc_zero(ctx, struct plan_input);
	struct plan_instance *all = talloc_zero_array(in, struct plan_instance,
						      cfg->instance_count + 1);
	struct plan_pool *pools =
		talloc_zero_array(in, struct plan_pool, cfg->pool_count + 1);
	struct intern *zones = intern_new(in);
	struct intern *racks = intern_new(in);
	uint32_t i;

	assert(in && all && pools);
	for (i = 0; i < cfg->instance_count; i++)
		fill_instance(cfg, wave, &cfg->instances[i], &all[i], zones,
			      racks);
	for (i = 0; i < cfg->pool_count; i++)
		pools[i] = (struct plan_pool){ cfg->pools[i].serving_min,
					       cfg->pools[i].out_max };
	in->instances = all;
	in->pools = pools;
	in->instance_count = cfg->instance_count;
	in->pool_count = cfg->pool_count + 1;
	in->zone_count = intern_count(zones);
	in->rack_count = intern_count(racks);
	*instances = all;
	return in;
}

const struct cfg_wave *wave_find(const struct cfg *cfg, const char *name)
{
	uint32_t i;

	for (i = 0; i < cfg->wave_count; i++)
		if (!strcmp(cfg->waves[i].name, name))
			return &cfg->waves[i];
	return NULL;
}
