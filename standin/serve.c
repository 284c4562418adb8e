#include "standin/serve.h"

#include <assert.h>
#include <signal.h>

#include "process/log.h"

#define BODY_MAX (64u << 20) /* bytes */
#define CONNECTIONS_MAX 1000

struct delayed_call {
	void (*fn)(void *arg);
	void *arg;
};

bool serve_listen(TALLOC_CTX *ctx, struct tevent_context *ev, const char *name,
		  int port, httpd_handler_fn handler, void *arg)
{
	struct httpd_options options = {
		.address = "127.0.0.1",
		.port = (uint16_t)port,
		.limits = { .body_max = BODY_MAX },
		.connections_max = CONNECTIONS_MAX,
		.handler = handler,
		.arg = arg,
	};

	signal(SIGPIPE, SIG_IGN);
	log_init(LOG_INFO, name);
	if (httpd_new(ctx, ev, &options))
		return true;
	log_write(LOG_ERROR, name, "cannot listen on port %d", port);
	return false;
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *arg)
{
	struct delayed_call call = *(struct delayed_call *)arg;

	(void)ev;
	(void)now;
	talloc_free(te);
	call.fn(call.arg);
}

void serve_after(TALLOC_CTX *ctx, struct tevent_context *ev, uint32_t ms,
		 void (*fn)(void *arg), void *arg)
{
	struct delayed_call *call;
	struct tevent_timer *te;

	call = talloc_zero(ctx, struct delayed_call);
	assert(call);
	call->fn = fn;
	call->arg = arg;
	te = tevent_add_timer(
		ev, ctx,
		tevent_timeval_current_ofs(ms / 1000, ms % 1000 * 1000),
		on_timer, call);
	assert(te);
	talloc_steal(te, call);
}
