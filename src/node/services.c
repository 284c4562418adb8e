/*
 * services - partitions of the store's tables, names of its answers
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

const char *store_status_name(enum store_status status)
{
	static const char *const names[STORE_STATUSES] = {
		[STORE_OK] = "ok",
		[STORE_CONFLICT] = "conflict",
		[STORE_REFUSED] = "refused",
		[STORE_HISTORY_LOST] = "history-lost",
		[STORE_UNKNOWN] = "unknown",
		[STORE_INVALID] = "invalid",
	};

	return names[status];
}
