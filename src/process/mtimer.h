/*
 * mtimer - a timer on the monotonic clock
 *
 * tevent's own timers follow the wall clock and are late when it is set back.
 * Each mtimer is a timerfd that tevent polls.
 */
#ifndef MTIMER_H
#define MTIMER_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct mtimer;

typedef void (*mtimer_fn)(void *arg);

/* mtimer_new - a stopped timer, owned by ctx; NULL if out of descriptors */
struct mtimer *mtimer_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			  mtimer_fn fn, void *arg);

/* mtimer_set - call fn once after ms; replaces the previous setting */
void mtimer_set(struct mtimer *t, uint64_t ms);

/* mtimer_every - call fn at this interval, until set or cleared */
void mtimer_every(struct mtimer *t, uint64_t ms);

/* mtimer_clear - stop the timer */
void mtimer_clear(struct mtimer *t);

/* mtimer_pending - whether fn will be called */
bool mtimer_pending(const struct mtimer *t);

#endif
