/*
 * table - named objects as aligned columns
 */
#ifndef TABLE_H
#define TABLE_H

#include <jansson.h>

/*
 * table_print - one row an object, by name; columns ends with NULL
 */
void table_print(const json_t *objects, const char *title,
		 const char *const *columns);

#endif
