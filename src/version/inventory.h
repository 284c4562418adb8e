/*
 * inventory - YAML files in which operators describe the fleet
 *
 * A file lists departments, pools, instances, teams and queues by name. It is
 * converted to a configuration document; loading it leaves kinds that are not
 * in the file unchanged.
 */
#ifndef INVENTORY_H
#define INVENTORY_H

#include <jansson.h>

#include "process/status.h"

/*
 * inventory_load - read and check a file
 *
 * Returns a new reference. On failure returns NULL; the message names the file
 * and, unless an object is listed twice, the line, the field, the value found
 * and the expected value.
 */
json_t *inventory_load(const char *path, struct status_message *message);

#endif
