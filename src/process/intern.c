#include "process/intern.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

#define INTERN_INITIAL_BUCKETS 64u

struct intern {
	const char **names;
	uint32_t count;
	uint32_t *buckets; /* by hash: id + 1, 0 if empty */
	uint32_t bucket_count;
};

static uint32_t intern_bucket(const struct intern *t, const char *name)
{
	uint32_t mask = t->bucket_count - 1;
	uint32_t i = (uint32_t)XXH64(name, strlen(name), 0) & mask;

	while (t->buckets[i] && strcmp(t->names[t->buckets[i] - 1], name))
		i = (i + 1) & mask;
	return i;
}

static void intern_grow(struct intern *t)
{
	uint32_t i;

	t->bucket_count = t->bucket_count * 2;
	talloc_free(t->buckets);
	t->buckets = talloc_zero_array(t, uint32_t, t->bucket_count);
	t->names = talloc_realloc(t, t->names, const char *, t->bucket_count);
	assert(t->buckets && t->names);
	for (i = 0; i < t->count; i++)
		t->buckets[intern_bucket(t, t->names[i])] = i + 1;
}

struct intern *intern_new(TALLOC_CTX *ctx)
{
	struct intern *t = talloc_zero(ctx, struct intern);

	assert(t);
	t->bucket_count = INTERN_INITIAL_BUCKETS / 2;
	intern_grow(t);
	return t;
}

uint32_t intern_add(struct intern *t, const char *name)
{
	uint32_t bucket = intern_bucket(t, name);

	if (t->buckets[bucket])
		return t->buckets[bucket] - 1;
	if ((t->count + 1) * 2 > t->bucket_count) {
		intern_grow(t);
		bucket = intern_bucket(t, name);
	}
	t->names[t->count] = talloc_strdup(t, name);
	assert(t->names[t->count]);
	t->buckets[bucket] = ++t->count;
	return t->count - 1;
}

uint32_t intern_find(const struct intern *t, const char *name)
{
	uint32_t bucket = intern_bucket(t, name);

	return t->buckets[bucket] ? t->buckets[bucket] - 1 : INTERN_NONE;
}

const char *intern_name(const struct intern *t, uint32_t id)
{
	assert(id < t->count);
	return t->names[id];
}

uint32_t intern_count(const struct intern *t)
{
	return t->count;
}
