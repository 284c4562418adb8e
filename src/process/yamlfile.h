/*
 * yamlfile - files checked by libcyaml, with its errors as one message
 */
#ifndef YAMLFILE_H
#define YAMLFILE_H

#include <cyaml/cyaml.h>
#include <stdbool.h>

#include "process/status.h"

/*
 * yamlfile_load - load a file by a schema
 *
 * Returns false with a message that names file, line, field and what was
 * wanted. The loaded value is freed by yamlfile_free.
 */
bool yamlfile_load(const char *path, const cyaml_schema_value_t *schema,
		   void **value, struct status_message *message);

void yamlfile_free(const cyaml_schema_value_t *schema, void *value);

/*
 * yamlfile_line - line that begins with a field, 0 if none
 *
 * With a value, of the first that has it. A field in the middle of a line
 * is not found.
 */
unsigned int yamlfile_line(const char *path, const char *field,
			   const char *value);

#endif
