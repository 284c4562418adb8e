/*
 * serve - HTTP server on loopback and one-shot timers, for the stand-ins
 */
#ifndef SERVE_H
#define SERVE_H

#include "connection/httpd.h"

/* serve_listen - serve on a loopback port; false after logging the error */
bool serve_listen(TALLOC_CTX *ctx, struct tevent_context *ev, const char *name,
		  int port, httpd_handler_fn handler, void *arg);

/* serve_after - call fn once after ms; freeing ctx cancels it */
void serve_after(TALLOC_CTX *ctx, struct tevent_context *ev, uint32_t ms,
		 void (*fn)(void *arg), void *arg);

#endif
