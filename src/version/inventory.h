/*
 * inventory - operators' files of inventory and rules
 *
 * A YAML file lists departments, pools, instances, teams and queues, each
 * with a name. It becomes a configuration document; kinds that the file does
 * not mention are left as they are.
 */
#ifndef INVENTORY_H
#define INVENTORY_H

#include <jansson.h>

#include "process/status.h"

/*
 * inventory_load - read and check a file
 *
 * Returns a new reference, or NULL with a message that names file, line,
 * field, the value met and what was wanted.
 */
json_t *inventory_load(const char *path, struct status_message *message);

#endif
