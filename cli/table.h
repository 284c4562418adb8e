/*
 * table - prints named objects as a table with aligned columns
 */
#ifndef TABLE_H
#define TABLE_H

#include <jansson.h>

/*
 * table_print - print one row for each object, sorted by name
 *
 * The first column has the names, under title. columns is a list of field names
 * that ends with NULL.
 */
void table_print(const json_t *objects, const char *title,
		 const char *const *columns);

#endif
