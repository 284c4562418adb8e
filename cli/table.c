#include "cli/table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TABLE_CELL_MAX 64    /* bytes */
#define TABLE_COLUMNS_MAX 12 /* besides the name */

static void cell_text(const json_t *value, char *text)
{
	if (json_is_string(value))
		snprintf(text, TABLE_CELL_MAX, "%s", json_string_value(value));
	else if (json_is_integer(value))
		snprintf(text, TABLE_CELL_MAX, "%" JSON_INTEGER_FORMAT,
			 json_integer_value(value));
	else if (json_is_boolean(value))
		snprintf(text, TABLE_CELL_MAX, "%s",
			 json_is_true(value) ? "yes" : "no");
	else
		snprintf(text, TABLE_CELL_MAX, "-");
}

static void grow_width(size_t *width, const char *text)
{
	if (strlen(text) > *width)
		*width = strlen(text);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static const char **sorted_names(const json_t *objects, size_t *count)
{
	const char **names =
		calloc(json_object_size(objects) + 1, sizeof(*names));
	const char *name;
	json_t *object;

	*count = 0;
	json_object_foreach((json_t *)objects, name, object)
	{
		names[(*count)++] = name;
	}
	qsort(names, *count, sizeof(*names), compare_names);
	return names;
}

void table_print(const json_t *objects, const char *title,
		 const char *const *columns)
{
	size_t widths[TABLE_COLUMNS_MAX + 1] = { strlen(title) };
	char text[TABLE_CELL_MAX];
	size_t count;
	const char **names = sorted_names(objects, &count);
	size_t i;
	int c;

	for (c = 0; columns[c]; c++)
		widths[c + 1] = strlen(columns[c]);
	for (i = 0; i < count; i++) {
		json_t *o = json_object_get(objects, names[i]);

		grow_width(&widths[0], names[i]);
		for (c = 0; columns[c]; c++) {
			cell_text(json_object_get(o, columns[c]), text);
			grow_width(&widths[c + 1], text);
		}
	}
	printf("%-*s", (int)widths[0], title);
	for (c = 0; columns[c]; c++)
		printf("  %-*s", (int)widths[c + 1], columns[c]);
	printf("\n");
	for (i = 0; i < count; i++) {
		json_t *o = json_object_get(objects, names[i]);

		printf("%-*s", (int)widths[0], names[i]);
		for (c = 0; columns[c]; c++) {
			cell_text(json_object_get(o, columns[c]), text);
			printf("  %-*s", (int)widths[c + 1], text);
		}
		printf("\n");
	}
	free(names);
}
