/*
 * wave - conversion of a maintenance wave to the planner's input
 */
#ifndef WAVE_H
#define WAVE_H

#include "process/plan.h"
#include "version/cfg.h"

/*
 * wave_input - a wave as the planner's input, allocated on ctx
 *
 * Has all instances of the configuration, by instance_handle; departed and
 * absent ones are not selected and are in an extra pool. `empty` and `rebooted`
 * are left false: the entry fills them in. *instances is the array in the
 * result, for writing.
 */
struct plan_input *wave_input(TALLOC_CTX *ctx, const struct cfg *cfg,
			      const struct cfg_wave *wave,
			      struct plan_instance **instances);

/* wave_find - the wave of that name or NULL */
const struct cfg_wave *wave_find(const struct cfg *cfg, const char *name);

#endif
