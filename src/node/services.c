#include "node/services.h"

#include <string.h>

#include "node/node_internal.h"

const char *store_part(const char *table)
{
	static const char *const apart[] = { NODE_TABLE_NODE,
					     NODE_TABLE_UPKEEP };
	size_t i;

	for (i = 0; i < sizeof(apart) / sizeof(apart[0]); i++)
		if (!strcmp(table, apart[i]))
			return apart[i];
	return "";
}
