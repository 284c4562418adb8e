#include <assert.h>

#include "entry/entry_internal.h"

#define CELL_FIELDS 6

json_t *entry_row_to_json(const struct ledger *l, const struct ledger_row *row)
{
	json_t *cells = json_object();
	json_t *pending = json_array();
	uint32_t i;

	for (i = 0; i < row->pending_count; i++)
		json_array_append_new(
			pending, json_integer((json_int_t)row->pending[i]));
	for (i = 0; i < row->cell_count; i++) {
		const struct ledger_cell *c = &row->cells[i];

		json_object_set_new(
			cells, ledger_domain_name(l, c->domain),
			json_pack("[I,I,I,I,I,I]", (json_int_t)c->total,
				  (json_int_t)c->free, (json_int_t)c->reported,
				  (json_int_t)c->acquired,
				  (json_int_t)c->generation,
				  (json_int_t)c->config_version));
	}
	return json_pack("{s:I, s:I, s:b, s:o, s:o}", "round",
			 (json_int_t)row->round, "opened_at",
			 (json_int_t)row->members_version, "open",
			 (int)row->open, "pending", pending, "cells", cells);
}

static int64_t item(const json_t *array, size_t i)
{
	return json_integer_value(json_array_get(array, i));
}

static void parse_cells(struct ledger_row *row, struct ledger *l,
			const json_t *cells)
{
	const char *name;
	json_t *value;
	uint32_t n = 0;

	row->cell_count = (uint32_t)json_object_size(cells);
	row->cells =
		talloc_zero_array(row, struct ledger_cell, row->cell_count + 1);
	assert(row->cells);
	json_object_foreach((json_t *)cells, name, value)
	{
		struct ledger_cell *c = &row->cells[n++];

		c->domain = ledger_domain(l, name);
		c->total = item(value, 0);
		c->free = item(value, 1);
		c->reported = item(value, 2);
		c->acquired = item(value, 3);
		c->generation = (uint64_t)item(value, 4);
		c->config_version = (uint64_t)item(value, 5);
	}
}

struct ledger_row *entry_row_parse(TALLOC_CTX *ctx, struct ledger *l,
				   const json_t *value, uint64_t version)
{
	struct ledger_row *row = talloc_zero(ctx, struct ledger_row);
	json_t *pending = json_object_get(value, "pending");
	size_t i;

	assert(row);
	row->version = version;
	row->round =
		(uint64_t)json_integer_value(json_object_get(value, "round"));
	row->members_version = (uint64_t)json_integer_value(
		json_object_get(value, "opened_at"));
	row->open = json_is_true(json_object_get(value, "open"));
	row->pending_count = (uint32_t)json_array_size(pending);
	row->pending = talloc_zero_array(row, uint64_t, row->pending_count + 1);
	assert(row->pending);
	for (i = 0; i < row->pending_count; i++)
		row->pending[i] = (uint64_t)item(pending, i);
	parse_cells(row, l, json_object_get(value, "cells"));
	return row;
}
