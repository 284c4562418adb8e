/*
 * serve - what the stand-ins share: a server on loopback and timers
 */
#ifndef SERVE_H
#define SERVE_H

#include "connection/httpd.h"

/* serve_listen - serve on a loopback port; false after logging why not */
bool serve_listen(TALLOC_CTX *ctx, struct tevent_context *ev, const char *name,
		  int port, httpd_handler_fn handler, void *arg);

/* serve_after - call fn once after a time; cancelled with ctx */
void serve_after(TALLOC_CTX *ctx, struct tevent_context *ev, uint32_t ms,
		 void (*fn)(void *arg), void *arg);

#endif
