/*
 * services - partitions of the store's tables
 */
#include "node/services.h"

#include <string.h>

#include "node/node_internal.h"

const char *store_partition(const char *table)
{
	static const char *const separate[] = { NODE_TABLE_NODE,
						NODE_TABLE_MAINTENANCE };
	size_t i;

	for (i = 0; i < sizeof(separate) / sizeof(separate[0]); i++)
		if (!strcmp(table, separate[i]))
			return separate[i];
	return "";
}
