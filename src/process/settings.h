/*
 * settings - an entry's settings file, read at its start
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "process/status.h"

struct settings_operator {
	char *name;
	char *token; /* credential for the administration API */
};

struct settings {
	char *name;	  /* as in the platform's instance list */
	char *zone;	  /* availability zone */
	char *callers;	  /* IP address and port */
	char *admin;	  /* IP address and port */
	char *peers;	  /* IP address and port */
	char *platform;	  /* URL of the table service */
	char *secret;	  /* fleet-wide; hashes keys, authenticates peers */
	uint32_t threads; /* threads that serve callers */
	uint32_t shards;  /* shards of the ledger; the same at all entries */
	uint32_t waiting_max;	  /* most requests waiting */
	uint32_t waiting_mib;	  /* most memory of waiting requests, in MiB */
	uint32_t body_max_kib;	  /* largest body of a request, in KiB */
	uint32_t connections_max; /* most connections of callers */
	uint32_t entries_max;	  /* entries that divide worker_connections */
	uint32_t worker_connections; /* most to one worker, from all entries */
	struct settings_operator *operators;
	uint32_t operators_count;
};

/*
 * settings_load - read and check a file
 *
 * On failure returns NULL; the message names file, line, field and the
 * expected value.
 */
struct settings *settings_load(const char *path,
			       struct status_message *message);

void settings_free(struct settings *s);

/*
 * settings_address - split "IP:port"
 *
 * ip is a buffer of INET_ADDRSTRLEN bytes.
 */
bool settings_address(const char *text, char *ip, uint16_t *port);

#endif
