/*
 * key - API keys of callers
 *
 * A key is "name.secret". The configuration stores the name, the team and a
 * hash of the secret under a hash key, which is derived from the fleet's
 * secret. The key itself is shown once, when it is issued.
 */
#ifndef KEY_H
#define KEY_H

#include <stdbool.h>
#include <stdint.h>

#include "version/cfg.h"

#define KEY_SECRET_BYTES 24
/* Bytes of a name, a dot, the secret in hex and the NUL */
#define KEY_TEXT_MAX (CFG_NAME_MAX + 1 + KEY_SECRET_BYTES * 2 + 1)

/* The hash key. */
struct key_hasher {
	uint8_t key[32];
};

/* key_hasher_init - derive the hash key from the fleet's secret */
void key_hasher_init(struct key_hasher *h, const char *fleet_secret);

/*
 * key_issue - generate a key for a name
 *
 * text has KEY_TEXT_MAX bytes, hash CFG_HASH_BYTES.
 */
void key_issue(const struct key_hasher *h, const char *name, char *text,
	       uint8_t *hash);

/*
 * key_check - find a caller's key in a configuration
 *
 * Returns NULL if the text names no key or has the wrong secret. Compares in
 * constant time, so that timing reveals nothing about the secret.
 */
const struct cfg_key *key_check(const struct key_hasher *h,
				const struct cfg *cfg, const char *text);

#endif
