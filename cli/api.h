/*
 * api - calls of the administration API, at the first entry that answers
 */
#ifndef API_H
#define API_H

#include <jansson.h>
#include <stdint.h>

#define EXIT_REFUSED 1	   /* refused or failed */
#define EXIT_USAGE 2	   /* wrong words */
#define EXIT_UNREACHABLE 3 /* no entry answers */

struct api {
	const char **entries; /* IP number and port of each */
	int entry_count;
	const char *token;
};

/*
 * api_call - one request; the answer's body as a new reference
 *
 * Tries the entries in order until one answers; a change is safe to repeat,
 * because it carries an id. code is 0 and the result NULL when none does.
 */
json_t *api_call(const struct api *api, const char *method, const char *path,
		 const json_t *body, long *code);

/* api_call_at - the same at one entry */
json_t *api_call_at(const struct api *api, const char *entry,
		    const char *method, const char *path, const json_t *body,
		    long *code);

#endif
