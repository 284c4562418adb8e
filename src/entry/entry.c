#include "entry/entry.h"

#include <assert.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "entry/entry_internal.h"
#include "process/clock.h"
#include "process/log.h"

#define SCAN_INTERVAL_MS 1000
#define PROBE_INTERVAL_MS 1000
#define LIST_INTERVAL_MS 1000
#define NOTICE_DELAY_MS 1000   /* from reporting not ready to draining */
#define RETURN_TIMEOUT_MS 5000 /* to return all units and unregister */

/* Periodic work */

static void tick_core(struct entry *e, uint64_t now_ms)
{
	if (!e->core)
		return;
	pthread_mutex_lock(&e->core_lock);
	core_tick(e->core, now_ms);
	pthread_mutex_unlock(&e->core_lock);
}

static void run_periodic(struct entry *e, uint64_t now_ms)
{
	if (now_ms >= e->scanned_ms + SCAN_INTERVAL_MS)
		entry_scan(e);
	if (!e->core)
		return;
	if (now_ms >= e->probed_ms + PROBE_INTERVAL_MS)
		entry_probe(e);
	if (now_ms >= e->listed_ms + LIST_INTERVAL_MS) {
		entry_read_instances(e);
		conductor_tick(e, now_ms);
	}
	entry_check_members(e, now_ms);
	entry_changes_tick(e, now_ms);
}

/* Draining */

static bool fronts_idle(const struct entry *e)
{
	uint32_t i;

	for (i = 0; i < e->settings->threads; i++)
		if (front_pending(e->fronts[i]))
			return false;
	return true;
}

static bool core_is_drained(struct entry *e)
{
	bool drained;

	if (!e->core)
		return true;
	pthread_mutex_lock(&e->core_lock);
	drained = core_drained(e->core);
	pthread_mutex_unlock(&e->core_lock);
	return drained;
}

static void begin_notice(struct entry *e)
{
	int serving = ENTRY_SERVING;
	int starting = ENTRY_STARTING;

	if (!atomic_compare_exchange_strong(&e->state, &serving,
					    ENTRY_NOTICE) &&
	    !atomic_compare_exchange_strong(&e->state, &starting, ENTRY_NOTICE))
		return;
	e->drain_since_ms = clock_now_ms();
	log_write(LOG_INFO, "entry", "stopping: reporting not ready");
}

static void begin_drain(struct entry *e, uint64_t now_ms)
{
	uint32_t i;

	atomic_store(&e->state, ENTRY_DRAINING);
	for (i = 0; i < e->settings->threads; i++)
		front_stop_accepting(e->fronts[i]);
	if (e->core) {
		pthread_mutex_lock(&e->core_lock);
		core_stop(e->core, now_ms);
		pthread_mutex_unlock(&e->core_lock);
	}
	e->drain_since_ms = now_ms;
	log_write(LOG_INFO, "entry",
		  "draining: no longer accepting connections");
}

/*
 * Whether draining is finished. An entry unregisters once it has no work and
 * has returned all its units. RETURN_TIMEOUT_MS after its last request it stops
 * in any case.
 */
static bool drain_done(struct entry *e, uint64_t now_ms)
{
	if (!fronts_idle(e)) {
		e->drain_since_ms = now_ms;
		return false;
	}
	if (!core_is_drained(e) &&
	    now_ms < e->drain_since_ms + RETURN_TIMEOUT_MS)
		return false;
	if (!e->core || !core_is_drained(e))
		return true;
	if (!members_find(&e->members, e->incarnation))
		return true;
	if (!e->removed_self || !e->writing_members) {
		e->removed_self = true;
		entry_remove_self(e);
	}
	return now_ms >= e->drain_since_ms + RETURN_TIMEOUT_MS;
}

static bool advance_drain(struct entry *e, uint64_t now_ms)
{
	switch (entry_state(e)) {
	case ENTRY_NOTICE:
		if (now_ms >= e->drain_since_ms + NOTICE_DELAY_MS)
			begin_drain(e, now_ms);
		return false;
	case ENTRY_DRAINING:
		return drain_done(e, now_ms);
	case ENTRY_GONE:
		return true;
	default:
		return false;
	}
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *arg);

static void schedule_tick(struct entry *e)
{
	struct tevent_timer *te = tevent_add_timer(
		e->ev, e, tevent_timeval_current_ofs(0, CORE_TICK_MS * 1000),
		on_tick, e);

	assert(te);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *arg)
{
	struct entry *e = arg;
	uint64_t now_ms = clock_now_ms();

	(void)ev;
	(void)te;
	(void)now;
	run_periodic(e, now_ms);
	tick_core(e, now_ms);
	e->finished = advance_drain(e, now_ms);
	schedule_tick(e);
}

static void on_effects(struct tevent_context *ev, struct tevent_fd *fde,
		       uint16_t flags, void *arg)
{
	struct entry *e = arg;
	uint64_t count;

	(void)ev;
	(void)fde;
	(void)flags;
	if (read(e->effects_fd, &count, sizeof(count)) > 0)
		entry_run_effects(e);
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *se,
		      int number, int count, void *info, void *arg)
{
	(void)ev;
	(void)se;
	(void)number;
	(void)count;
	(void)info;
	begin_notice(arg);
}

/* Construction */

static bool make_fronts(struct entry *e)
{
	uint32_t i;

	e->fronts = talloc_zero_array(e, struct front *, e->settings->threads);
	assert(e->fronts);
	for (i = 0; i < e->settings->threads; i++) {
		e->fronts[i] = front_new(e, i);
		if (e->fronts[i])
			continue;
		log_write(LOG_ERROR, "entry", "cannot listen on %s",
			  e->settings->callers);
		return false;
	}
	return true;
}

static bool listen_all(struct entry *e)
{
	if (!entry_listen_to_peers(e)) {
		log_write(LOG_ERROR, "entry", "cannot listen on %s",
			  e->settings->peers);
		return false;
	}
	if (!admin_listen(e)) {
		log_write(LOG_ERROR, "entry", "cannot listen on %s",
			  e->settings->admin);
		return false;
	}
	return make_fronts(e);
}

static struct entry *entry_new(const struct settings *settings)
{
	struct entry *e = talloc_zero(NULL, struct entry);

	assert(e);
	e->settings = settings;
	e->ev = tevent_context_init(e);
	e->names = cfg_names_new(e);
	e->cfg = cfg_empty(e->names);
	e->conductor = conductor_new(e);
	e->effects_tail = &e->effects;
	e->effects_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	pthread_mutex_init(&e->core_lock, NULL);
	randombytes_buf(&e->registration_nonce, sizeof(e->registration_nonce));
	e->registration_nonce >>= 16; /* 48 bits are exact in a JSON number */
	key_hasher_init(&e->hasher, settings->secret);
	e->platform = platform_new(e, e->ev, settings->platform);
	assert(e->ev && e->effects_fd >= 0 && e->platform && e->conductor);
	return e;
}

static void start_events(struct entry *e)
{
	struct tevent_fd *fde = tevent_add_fd(e->ev, e, e->effects_fd,
					      TEVENT_FD_READ, on_effects, e);

	assert(fde);
	tevent_add_signal(e->ev, e, SIGTERM, 0, on_signal, e);
	tevent_add_signal(e->ev, e, SIGINT, 0, on_signal, e);
	schedule_tick(e);
	entry_scan(e);
}

static void entry_free(struct entry *e)
{
	uint32_t i;

	entry_discard_effects(e);
	for (i = 0; i < ENTRY_CHANGES_KEPT; i++)
		json_decref(e->changes[i]);
	close(e->effects_fd);
	cfg_unref(e->cfg);
	talloc_free(e);
}

int entry_run(const struct settings *settings)
{
	struct entry *e = entry_new(settings);
	int exit_code;
	uint32_t i;

	if (!listen_all(e))
		return 1;
	start_events(e);
	while (!e->finished)
		tevent_loop_once(e->ev);
	log_write(LOG_INFO, "entry", "stopped");
	exit_code = e->exit_code;
	/* If unregistered, does not wait for work: peers reclaim the units. */
	if (entry_state(e) == ENTRY_GONE)
		_exit(exit_code);
	for (i = 0; i < settings->threads; i++)
		front_join(e->fronts[i]);
	entry_free(e);
	return exit_code;
}
