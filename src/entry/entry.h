/*
 * entry - an entry process: forwards requests, shares limits with its peers
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "process/settings.h"

/*
 * entry_run - serve until SIGTERM or SIGINT, then drain and stop
 *
 * Returns the process's exit code: 0 after a drain, 1 when the entry could
 * not start or was unregistered by its peers.
 */
int entry_run(const struct settings *settings);

#endif
