#include "test/rig/site.h"

#include <assert.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* Processor time, in us of a whole core */
#define COST_TIMER 100.0
#define COST_PASS 200.0

#define START_SKEW_MS 300u
#define STRONG_POWER 500u /* thousandths of a core */
#define WEAK_POWER 125u
#define DIRECT_CALLS_MAX 100000u /* instances: no relays */
#define HISTORY_MAX (64u << 10)

struct site_event {
	uint64_t at_us;
	uint64_t sequence;
	site_fn fn;
	void *arg;
};

/* The clock and the log are functions without a context. */
static struct site *current_site;

int clock_gettime(clockid_t id, struct timespec *ts)
{
	uint64_t now_us = current_site ? current_site->now_us : SITE_START_US;

	(void)id;
	ts->tv_sec = (time_t)(now_us / 1000000);
	ts->tv_nsec = (long)(now_us % 1000000 * 1000);
	return 0;
}

/* SplitMix64 */
double site_random(struct site *s)
{
	uint64_t z = s->random += 0x9e3779b97f4a7c15u;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return (double)((z ^ (z >> 31)) >> 11) / (double)(1ull << 53);
}

/* Events */

static bool is_before(const struct site_event *a, const struct site_event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us
				    : a->sequence < b->sequence;
}

void site_at(struct site *s, uint64_t at_us, site_fn fn, void *arg)
{
	struct site_event e = { at_us, s->sequence++, fn, arg };
	uint32_t i, parent;

	if (s->event_count == s->event_alloc) {
		s->event_alloc = s->event_alloc ? 2 * s->event_alloc : 1024;
		s->events = talloc_realloc(s->ctx, s->events, struct site_event,
					   s->event_alloc);
		assert(s->events);
	}
	for (i = s->event_count++; i; i = parent) {
		parent = (i - 1) / 2;
		if (!is_before(&e, &s->events[parent]))
			break;
		s->events[i] = s->events[parent];
	}
	s->events[i] = e;
}

static struct site_event pop_event(struct site *s)
{
	struct site_event first = s->events[0];
	struct site_event last = s->events[--s->event_count];
	uint32_t i = 0;
	uint32_t child;

	while ((child = 2 * i + 1) < s->event_count) {
		if (child + 1 < s->event_count &&
		    is_before(&s->events[child + 1], &s->events[child]))
			child++;
		if (!is_before(&s->events[child], &last))
			break;
		s->events[i] = s->events[child];
		i = child;
	}
	s->events[i] = last;
	return first;
}

void site_run_until(struct site *s, uint64_t at_us)
{
	while (s->event_count && s->events[0].at_us <= at_us) {
		struct site_event e = pop_event(s);

		s->now_us = e.at_us;
		e.fn(e.arg);
	}
	s->now_us = at_us;
}

/* The processor of a host */

static void start_next(struct host *h);

static void run_immediate(void *arg)
{
	struct host *h = arg;

	h->pass_queued = false;
	tevent_loop_once(h->ev);
}

/* A pass that is to run at once waits behind what has arrived. */
static void queue_pass(struct host *h)
{
	if (!h->node || !h->node->pass_scheduled || h->pass_queued ||
	    mtimer_pending(h->node->pass_timer))
		return;
	h->pass_queued = true;
	host_post(h, COST_PASS, run_immediate, h);
}

static void finish_work(void *arg)
{
	struct host *h = arg;
	struct work *w = h->current;

	if (h->killed)
		return;
	h->current = NULL;
	if (h->frozen) {
		DL_PREPEND(h->queue, w);
		return;
	}
	h->free_us = h->site->now_us;
	h->site->running = h;
	w->fn(w->arg);
	queue_pass(h);
	h->site->running = NULL;
	talloc_free(w);
	if (h->site->handled)
		h->site->handled(h->site->handled_arg, h);
	start_next(h);
}

static void start_next(struct host *h)
{
	struct work *w = h->queue;
	uint64_t start_us =
		h->free_us > h->site->now_us ? h->free_us : h->site->now_us;

	if (h->current || h->frozen || h->killed || !w)
		return;
	DL_DELETE(h->queue, w);
	h->current = w;
	site_at(h->site, start_us + (uint64_t)(w->cost_us / h->processor_share),
		finish_work, h);
}

void host_post(struct host *h, double cost_us, site_fn fn, void *arg)
{
	struct work *w;

	if (h->killed)
		return;
	w = talloc_zero(h->site->ctx, struct work);
	assert(w);
	w->fn = fn;
	w->arg = arg;
	w->cost_us = cost_us;
	DL_APPEND(h->queue, w);
	start_next(h);
}

void host_spend(struct host *h, double cost_us)
{
	h->free_us += (uint64_t)(cost_us / h->processor_share);
}

void host_freeze(struct host *h)
{
	site_note(h->site, "%s is frozen", h->name);
	h->frozen = true;
	h->frozen_us = h->site->now_us;
}

void host_thaw(struct host *h)
{
	site_note(h->site, "%s goes on", h->name);
	h->frozen = false;
	h->thawed_us = h->site->now_us;
	start_next(h);
}

void host_kill(struct host *h)
{
	site_note(h->site, "%s is killed", h->name);
	h->killed = true;
}

/* Timers */

struct mtimer {
	struct timer *timer;
};

/* Outlives its mtimer: it may be in a queue. */
struct timer {
	struct host *host;
	mtimer_fn fn;
	void *arg;
	uint64_t due_us;
	uint64_t interval_us; /* 0: once */
	bool pending;	      /* fn will be called */
	bool queued;	      /* it has expired, its host has yet to see it */
	bool freed;
};

static void on_due(void *arg);

static void arm(struct timer *t, uint64_t ms, uint64_t interval_ms)
{
	t->due_us = t->host->site->now_us + ms * 1000;
	t->interval_us = interval_ms * 1000;
	t->pending = true;
	site_at(t->host->site, t->due_us, on_due, t);
}

static void run_timer(void *arg)
{
	struct timer *t = arg;
	uint64_t now_us = t->host->site->now_us;

	t->queued = false;
	if (t->freed || !t->pending || now_us < t->due_us)
		return; /* set or cleared after it expired */
	if (t->interval_us) {
		do {
			t->due_us += t->interval_us;
		} while (t->due_us <= now_us);
		site_at(t->host->site, t->due_us, on_due, t);
	} else {
		t->pending = false;
	}
	t->fn(t->arg);
}

static void on_due(void *arg)
{
	struct timer *t = arg;

	if (t->freed || t->queued || !t->pending ||
	    t->host->site->now_us < t->due_us)
		return;
	t->queued = true;
	host_post(t->host, COST_TIMER, run_timer, t);
}

static int mtimer_destroy(struct mtimer *m)
{
	m->timer->freed = true;
	return 0;
}

struct mtimer *mtimer_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			  mtimer_fn fn, void *arg)
{
	struct mtimer *m = talloc_zero(ctx, struct mtimer);

	(void)ev;
	m->timer = talloc_zero(current_site->ctx, struct timer);
	assert(m->timer);
	m->timer->host = current_site->running;
	m->timer->fn = fn;
	m->timer->arg = arg;
	talloc_set_destructor(m, mtimer_destroy);
	return m;
}

void mtimer_set(struct mtimer *m, uint64_t ms)
{
	arm(m->timer, ms ? ms : 1, 0);
}

void mtimer_every(struct mtimer *m, uint64_t ms)
{
	arm(m->timer, ms, ms);
}

void mtimer_clear(struct mtimer *m)
{
	m->timer->pending = false;
}

bool mtimer_pending(const struct mtimer *m)
{
	return m->timer->pending;
}

/* The log */

static void add_line(struct site *s, const char *fmt, va_list args)
{
	if (talloc_get_size(s->history) > HISTORY_MAX)
		return;
	s->history = talloc_asprintf_append(
		s->history, "  %7.3f s  ",
		(double)(s->now_us - SITE_START_US) / 1e6);
	s->history = talloc_vasprintf_append(s->history, fmt, args);
	s->history = talloc_strdup_append(s->history, "\n");
	assert(s->history);
}

void site_note(struct site *s, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	add_line(s, fmt, args);
	va_end(args);
}

void event_prefer(const char *kind)
{
	(void)kind;
}

void event_log(const char *kind, const char *id, const char *fmt, ...)
{
	static const char *const kept[] = { "claim",	    "claim-failed",
					    "resign",	    "takeover",
					    "stood-still",  "lead-ended",
					    "write-unknown" };
	struct site *s = current_site;
	va_list args;
	char *text;
	size_t i;

	(void)id;
	for (i = 0; i < sizeof(kept) / sizeof(kept[0]); i++)
		if (!strcmp(kind, kept[i]))
			break;
	if (!s || !s->running || i == sizeof(kept) / sizeof(kept[0]))
		return;
	va_start(args, fmt);
	text = talloc_vasprintf(s->ctx, fmt, args);
	va_end(args);
	site_note(s, "%s %s %s", s->running->name, kind, text);
	talloc_free(text);
}

const char *event_sanitize(const char *text)
{
	return text;
}

void event_flush(void)
{
}

uint64_t event_dropped(void)
{
	return 0;
}

/* The site */

static void start_node(void *arg)
{
	struct host *h = arg;
	struct site *s = h->site;
	struct node_settings settings = {
		.name = h->name,
		.zone = "z",
		.peers = h->address,
		.direct_calls_max = DIRECT_CALLS_MAX,
		.power = h->node_power,
		.lease_ms = 4000,
		.lease_max_ms = 6000,
		.end_keep_ms = 120000,
		.holder_ms = 10000,
		.move_ms = 10000,
		.maintenance_ms = 10000,
		.forecast_trust_max = 100,
		.config_ms = 2000,
	};

	s->running = h;
	h->node = node_new(s->ctx, h->ev, &settings, &h->services);
	assert(h->node);
	h->node->incarnation = h->index + 1; /* else it is random */
	queue_pass(h);
	s->running = NULL;
}

struct site *site_new(const struct site_options *options)
{
	struct site *s = talloc_zero(NULL, struct site);
	uint32_t i;

	assert(s && options->nodes <= SITE_HOSTS_MAX);
	s->ctx = s;
	s->now_us = SITE_START_US;
	s->random = options->seed;
	s->faults.slowness = 1;
	s->history = talloc_strdup(s, "");
	s->host_count = options->nodes;
	current_site = s;
	site_store_new(s, options->ended_jobs);
	for (i = 0; i < options->nodes; i++) {
		struct host *h = &s->hosts[i];

		h->site = s;
		h->index = i;
		h->node_power = i < options->weak ? WEAK_POWER : STRONG_POWER;
		h->processor_share =
			h->node_power / 1000.0 * options->processor_share;
		h->ev = tevent_context_init_byname(s, "poll");
		assert(h->ev);
		snprintf(h->name, sizeof(h->name), "%s-%u",
			 i < options->weak ? "weak" : "n", i);
		snprintf(h->address, sizeof(h->address), "10.0.0.%u:1", i);
		site_store_services(h);
		site_at(s,
			SITE_START_US + (uint64_t)(site_random(s) *
						   START_SKEW_MS * 1000),
			start_node, h);
	}
	return s;
}

void site_free(struct site *s)
{
	uint32_t i;

	for (i = 0; i < s->host_count; i++)
		TALLOC_FREE(s->hosts[i].node);
	current_site = NULL;
	talloc_free(s);
}
