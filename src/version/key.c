#include "version/key.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

void key_hasher_init(struct key_hasher *h, const char *fleet_secret)
{
	static const char purpose[] = "caller keys";
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(h->key));
	crypto_generichash_update(&state, (const uint8_t *)purpose,
				  sizeof(purpose));
	crypto_generichash_update(&state, (const uint8_t *)fleet_secret,
				  strlen(fleet_secret));
	crypto_generichash_final(&state, h->key, sizeof(h->key));
}

static void hash_secret(const struct key_hasher *h, const char *secret,
			uint8_t *hash)
{
	crypto_generichash(hash, CFG_HASH_BYTES, (const uint8_t *)secret,
			   strlen(secret), h->key, sizeof(h->key));
}

void key_issue(const struct key_hasher *h, const char *name, char *text,
	       uint8_t *hash)
{
	uint8_t bytes[KEY_SECRET_BYTES];
	char secret[KEY_SECRET_BYTES * 2 + 1];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(secret, sizeof(secret), bytes, sizeof(bytes));
	hash_secret(h, secret, hash);
	snprintf(text, KEY_TEXT_MAX, "%s.%s", name, secret);
}

const struct cfg_key *key_check(const struct key_hasher *h,
				const struct cfg *cfg, const char *text)
{
	const char *dot = strrchr(text, '.');
	char name[CFG_NAME_MAX + 1];
	uint8_t hash[CFG_HASH_BYTES];
	const struct cfg_key *key;

	if (!dot || dot - text > CFG_NAME_MAX)
		return NULL;
	memcpy(name, text, (size_t)(dot - text));
	name[dot - text] = '\0';
	key = cfg_find_key(cfg, name);
	if (!key)
		return NULL;
	hash_secret(h, dot + 1, hash);
	return sodium_memcmp(hash, key->hash, sizeof(hash)) ? NULL : key;
}
