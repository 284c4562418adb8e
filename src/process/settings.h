/*
 * settings - what an entry is told at its start
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
	char *name;	/* as in the platform's instance list */
	char *zone;	/* availability zone */
	char *callers;	/* IP number and port */
	char *admin;	/* IP number and port */
	char *peers;	/* IP number and port */
	char *platform; /* URL of the table service */
	char *secret;	/* fleet-wide; hashes keys, proves peers */
	uint32_t threads;
	uint32_t shards;	  /* of the ledger; the same at all entries */
	uint32_t waiting_max;	  /* requests */
	uint32_t waiting_mib;	  /* MiB that they may take */
	uint32_t body_max_kib;	  /* KiB of a request's body */
	uint32_t connections_max; /* of callers */
	uint32_t entries_max;	  /* that share a worker's connections */
	uint32_t worker_connections; /* of all entries to one worker */
	struct settings_operator *operators;
	uint32_t operators_count;
};

/*
 * settings_load - read and check a file
 *
 * Returns NULL with a message that names file, line, field and what was
 * wanted.
 */
struct settings *settings_load(const char *path,
			       struct status_message *message);

void settings_free(struct settings *s);

/*
 * settings_address - split "IP:port"
 *
 * ip has room for INET_ADDRSTRLEN bytes.
 */
bool settings_address(const char *text, char *ip, uint16_t *port);

#endif
