/*
 * key - callers' keys
 *
 * A key is "name.secret". The configuration keeps the name, the team and a
 * hash of the secret keyed with the fleet's secret; the key itself is shown
 * once, when it is issued.
 */
#ifndef KEY_H
#define KEY_H

#include <stdbool.h>
#include <stdint.h>

#include "version/cfg.h"

#define KEY_SECRET_BYTES 24
#define KEY_TEXT_MAX (CFG_NAME_MAX + 1 + KEY_SECRET_BYTES * 2 + 1)

/* The part of the fleet's secret that hashes keys. */
struct key_hasher {
	uint8_t key[32];
};

void key_hasher_init(struct key_hasher *h, const char *fleet_secret);

/* key_issue - a random secret for a name; text has KEY_TEXT_MAX bytes */
void key_issue(const struct key_hasher *h, const char *name, char *text,
	       uint8_t *hash);

/*
 * key_check - find a caller's key in a configuration
 *
 * Returns NULL when the text names no key or has the wrong secret. The time
 * taken does not tell how much of the secret was right.
 */
const struct cfg_key *key_check(const struct key_hasher *h,
				const struct cfg *cfg, const char *text);

#endif
