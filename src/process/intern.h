/*
 * intern - string interning: small, stable ids for names
 *
 * A name keeps its id for the lifetime of the process, so that tables that
 * outlive a configuration version can be indexed by id. Not thread-safe: one
 * thread adds names, the others use ids only.
 */
#ifndef INTERN_H
#define INTERN_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#define INTERN_NONE UINT32_MAX

struct intern;

/* intern_new - an empty table, owned by ctx */
struct intern *intern_new(TALLOC_CTX *ctx);

/* intern_add - the name's id; assigns one if it has none */
uint32_t intern_add(struct intern *t, const char *name);

/* intern_find - the name's id or INTERN_NONE */
uint32_t intern_find(const struct intern *t, const char *name);

/* intern_name - the name of an id, valid as long as the table */
const char *intern_name(const struct intern *t, uint32_t id);

/* intern_count - number of ids assigned so far */
uint32_t intern_count(const struct intern *t);

#endif
