/*
 * yamlfile - YAML files checked by a libcyaml schema
 *
 * All errors that libcyaml reports for a file become one message.
 */
#ifndef YAMLFILE_H
#define YAMLFILE_H

#include <cyaml/cyaml.h>
#include <stdbool.h>

#include "process/status.h"

/*
 * yamlfile_load - load a file and check it against a schema
 *
 * On failure returns false; the message names file, line, field and the
 * expected value. Free the value with yamlfile_free.
 */
bool yamlfile_load(const char *path, const cyaml_schema_value_t *schema,
		   void **value, struct status_message *message);

void yamlfile_free(const cyaml_schema_value_t *schema, void *value);

/*
 * yamlfile_line - number of the first line that begins with a field, or 0
 *
 * If value is not NULL, the field must have this value. Does not find a field
 * in the middle of a line.
 */
unsigned int yamlfile_line(const char *path, const char *field,
			   const char *value);

#endif
