/*
 * cfg_internal - declarations shared by the configuration's source files
 *
 * cfg.c builds versions, cfg_check.c checks each object's fields by its kind.
 */
#ifndef CFG_INTERNAL_H
#define CFG_INTERNAL_H

#include "version/cfg.h"

#define CFG_KINDS 7

/* cfg_kind_name - a kind's name in a document */
const char *cfg_kind_name(uint32_t kind);

/* cfg_state_find, cfg_wave_state_find - a state by name, -1 if unknown */
int cfg_state_find(const char *name);
int cfg_wave_state_find(const char *name);

#endif
