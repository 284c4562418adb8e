#include "process/mtimer.h"

#include <assert.h>
#include <sys/timerfd.h>
#include <unistd.h>

struct mtimer {
	struct tevent_fd *fde;
	mtimer_fn fn;
	void *arg;
	int fd;
	bool pending;
	bool repeats;
};

static void on_expiry(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *arg)
{
	struct mtimer *t = arg;
	uint64_t expirations;

	(void)ev;
	(void)fde;
	(void)flags;
	if (read(t->fd, &expirations, sizeof(expirations)) !=
	    sizeof(expirations))
		return; /* set or cleared after it expired */
	t->pending = t->repeats;
	t->fn(t->arg);
}

static int mtimer_destroy(struct mtimer *t)
{
	TALLOC_FREE(t->fde);
	close(t->fd);
	return 0;
}

struct mtimer *mtimer_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			  mtimer_fn fn, void *arg)
{
	struct mtimer *t = talloc_zero(ctx, struct mtimer);

	assert(t);
	t->fn = fn;
	t->arg = arg;
	t->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (t->fd < 0) {
		talloc_free(t);
		return NULL;
	}
	t->fde = tevent_add_fd(ev, t, t->fd, TEVENT_FD_READ, on_expiry, t);
	assert(t->fde);
	talloc_set_destructor(t, mtimer_destroy);
	return t;
}

static void arm(struct mtimer *t, uint64_t ms, bool repeats)
{
	struct itimerspec spec = { 0 };
	int status;

	spec.it_value.tv_sec = (time_t)(ms / 1000);
	spec.it_value.tv_nsec = (long)(ms % 1000 * 1000000);
	if (repeats)
		spec.it_interval = spec.it_value;
	status = timerfd_settime(t->fd, 0, &spec, NULL);
	assert(!status);
	(void)status;
	t->pending = ms > 0;
	t->repeats = repeats;
}

void mtimer_set(struct mtimer *t, uint64_t ms)
{
	arm(t, ms ? ms : 1, false);
}

void mtimer_every(struct mtimer *t, uint64_t ms)
{
	arm(t, ms, true);
}

void mtimer_clear(struct mtimer *t)
{
	if (t->pending)
		arm(t, 0, false);
}

bool mtimer_pending(const struct mtimer *t)
{
	return t->pending;
}
