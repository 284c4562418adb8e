/*
 * wave - a maintenance wave of a configuration as the planner's input
 */
#ifndef WAVE_H
#define WAVE_H

#include "process/plan.h"
#include "version/cfg.h"

/*
 * wave_input - what the configuration says of a wave; allocated on ctx
 *
 * Instances are those of the configuration, by instance_handle; ones that
 * are not present are neither wanted nor in a pool that has any. `home` and
 * `rebooted` are left false: only the entry knows.
 */
struct plan_input *wave_input(TALLOC_CTX *ctx, const struct cfg *cfg,
			      const struct cfg_wave *wave,
			      struct plan_instance **instances);

/* wave_find - the wave of that name or NULL */
const struct cfg_wave *wave_find(const struct cfg *cfg, const char *name);

#endif
