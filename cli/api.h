/*
 * api - client of the entries' administration API
 */
#ifndef API_H
#define API_H

#include <jansson.h>
#include <stdint.h>

#define EXIT_REFUSED 1	   /* refused or failed */
#define EXIT_USAGE 2	   /* wrong command line */
#define EXIT_UNREACHABLE 3 /* no entry answers */

struct api {
	const char **entries; /* IP number and port of each */
	int entry_count;
	const char *token;
};

/*
 * api_call - send one request and return the answer's body
 *
 * Tries the entries in order until one answers; a change is safe to repeat,
 * because it carries an id. When none answers, *code is 0 and the result is
 * NULL. The caller owns the returned reference.
 */
json_t *api_call(const struct api *api, const char *method, const char *path,
		 const json_t *body, long *code);

/* api_call_entry - send one request to one entry */
json_t *api_call_entry(const struct api *api, const char *entry,
		       const char *method, const char *path, const json_t *body,
		       long *code);

#endif
