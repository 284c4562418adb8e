/*
 * clock - monotonic time
 *
 * Decision code takes the time as an argument. Only the code that connects it
 * to sockets reads a clock, through these functions.
 */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>
#include <time.h>

/*
 * clock_now_us - microseconds since an unspecified point in time
 *
 * CLOCK_BOOTTIME also advances while the machine is suspended, so that a
 * process that was stopped or suspended finds its timestamps expired.
 */
static inline uint64_t clock_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000000u + (uint64_t)ts.tv_nsec / 1000u;
}

static inline uint64_t clock_now_ms(void)
{
	return clock_now_us() / 1000u;
}

#endif
