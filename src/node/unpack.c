/*
 * unpack - decodes messages of clients within a bound on memory
 */
#include <stdlib.h>

#include "node/node_internal.h"

/* Room for the strings and bytes of a message, and their copies. */
#define UNPACK_LENGTH_FACTOR 2u
/* The part of its listener's bytes that a message's structures may take. */
#define UNPACK_BUDGET_DIVISOR 2u

static void *limited_alloc(void *arg, size_t size)
{
	size_t *left = arg;

	if (size > *left)
		return NULL;
	*left -= size;
	return malloc(size);
}

static void limited_free(void *arg, void *block)
{
	(void)arg;
	free(block);
}

void *node_unpack(const struct budget *b, const ProtobufCMessageDescriptor *d,
		  size_t length, const uint8_t *bytes)
{
	size_t left = UNPACK_LENGTH_FACTOR * length +
		      budget_bytes_max(b) / UNPACK_BUDGET_DIVISOR;
	ProtobufCAllocator allocator = { limited_alloc, limited_free, &left };

	return protobuf_c_message_unpack(d, &allocator, length, bytes);
}
