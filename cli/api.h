/*
 * api - client of the entries' administration API
 */
#ifndef API_H
#define API_H

#include <jansson.h>
#include <stdint.h>

/* Exit codes of the process */
#define EXIT_REFUSED 1	   /* the command was refused or failed */
#define EXIT_USAGE 2	   /* wrong command line */
#define EXIT_UNREACHABLE 3 /* no entry answered */

struct api {
	const char **entries; /* IP address and port of each */
	int entry_count;
	const char *token;
};

/*
 * api_call - send a request to the first entry that answers
 *
 * Tries the entries in order; a change is safe to repeat, because it carries an
 * id. Sets *code to the HTTP status and returns the answer's body as a new
 * reference; if no entry answers, *code is 0 and the result is NULL.
 */
json_t *api_call(const struct api *api, const char *method, const char *path,
		 const json_t *body, long *code);

/* api_call_entry - send a request to one entry; results as api_call's */
json_t *api_call_entry(const struct api *api, const char *entry,
		       const char *method, const char *path, const json_t *body,
		       long *code);

#endif
