/*
 * conductor - carries out maintenance waves step by step
 *
 * Each entry picks the conductor by rendezvous hashing over the entries that
 * it can reach. No lease is needed: a step is a configuration change based on
 * the version that it was planned with. When two entries act as conductor, or
 * one was frozen meanwhile, the later step conflicts and is refused.
 */
#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "entry/entry_internal.h"
#include "process/clock.h"
#include "process/log.h"
#include "version/wave.h"

#define STEPS_PER_CHANGE 50  /* planned steps in one configuration change */
#define REBOOT_RETRY_MS 5000 /* between requests to reboot an instance */
#define INSTANCES_EXTRA 16   /* spare entries of a grown table */

/* What this entry has observed of an instance. */
struct conductor_instance {
	uint32_t boots;		 /* boot count in the platform's list */
	bool failed;		 /* the platform's list has it as failed */
	uint64_t away_since_ms;	 /* first seen draining or out, 0 if neither */
	uint64_t reboot_sent_ms; /* last request to reboot */
};

struct conductor {
	struct conductor_instance *instances; /* index: instance_handle */
	uint32_t count;
	bool changing; /* a configuration change is being committed */
};

/* Observations */

static struct conductor_instance *get_instance(struct conductor *c,
					       uint32_t instance)
{
	uint32_t count = c->count;

	if (instance >= count) {
		c->count = instance * 2 + INSTANCES_EXTRA;
		c->instances = talloc_realloc(
			c, c->instances, struct conductor_instance, c->count);
		assert(c->instances);
		memset(c->instances + count, 0,
		       (c->count - count) * sizeof(*c->instances));
	}
	return &c->instances[instance];
}

struct conductor *conductor_new(TALLOC_CTX *ctx)
{
	return talloc_zero(ctx, struct conductor);
}

void conductor_set_instances(struct entry *e, const json_t *list)
{
	json_t *item;
	size_t i;

	json_array_foreach((json_t *)list, i, item)
	{
		const char *name =
			json_string_value(json_object_get(item, "name"));
		const char *state =
			json_string_value(json_object_get(item, "state"));
		uint32_t id = name ? intern_find(e->names->instances, name)
				   : INTERN_NONE;
		struct conductor_instance *seen;

		if (id == INTERN_NONE)
			continue;
		seen = get_instance(e->conductor, id);
		seen->boots = (uint32_t)json_integer_value(
			json_object_get(item, "boots"));
		seen->failed = state && !strcmp(state, "failed");
	}
}

static bool is_conductor(struct entry *e)
{
	uint64_t live[MEMBERS_MAX];
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < e->members.count; i++) {
		const struct member *m = &e->members.list[i];

		if (m->state != MEMBER_DEAD &&
		    (m->incarnation == e->incarnation ||
		     peer_linked(e->net, m->incarnation)))
			live[n++] = m->incarnation;
	}
	return broker_choose(BROKER_POOL, "conductor", live, n) ==
	       e->incarnation;
}

/* Changes */

static void on_step(void *arg, unsigned int code, json_t *body)
{
	struct entry *e = arg;

	e->conductor->changing = false;
	if (code != 200 && code != 202 && code != 409)
		log_write(LOG_WARN, "conductor",
			  "configuration change refused: %s",
			  json_string_value(json_object_get(body, "error")));
	json_decref(body);
}

/* Takes over change. */
static void commit(struct entry *e, json_t *change)
{
	uint8_t bytes[ENTRY_CHANGE_ID_BYTES];
	char id[sizeof(bytes) * 2 + 1];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(id, sizeof(id), bytes, sizeof(bytes));
	e->conductor->changing = true;
	entry_change(e, e->cfg->version, change, id, "conductor", on_step, e);
	json_decref(change);
}

static json_t *copy_of(const struct entry *e, const char *kind,
		       const char *name)
{
	return json_copy(
		json_object_get(json_object_get(e->cfg->doc, kind), name));
}

static void set_wave(struct entry *e, const struct cfg_wave *wave,
		     enum cfg_wave_state state, const char *reason)
{
	json_t *object = copy_of(e, "waves", wave->name);

	log_write(LOG_INFO, "conductor", "wave %s is %s%s%s", wave->name,
		  cfg_wave_state_name(state), *reason ? ": " : "", reason);
	json_object_set_new(object, "state",
			    json_string(cfg_wave_state_name(state)));
	json_object_set_new(object, "why", json_string(reason));
	commit(e, json_pack("{s:{s:o}}", "waves", wave->name, object));
}

static void add_step(struct entry *e, json_t *instances,
		     const struct cfg_wave *wave, uint32_t id,
		     enum cfg_instance_state state)
{
	const char *name = e->cfg->instances[id].name;
	json_t *object = copy_of(e, "instances", name);

	json_object_set_new(object, "state",
			    json_string(cfg_state_name(state)));
	json_object_set_new(object, "wave", json_string(wave->name));
	json_object_set_new(
		object, "boots",
		json_integer(get_instance(e->conductor, id)->boots));
	json_object_set_new(instances, name, object);
}

/* Planning */

/* Completes the plan's input with this entry's observations. */
static void add_observations(struct entry *e, struct plan_instance *all)
{
	uint32_t i;

	pthread_mutex_lock(&e->core_lock);
	for (i = 0; i < e->cfg->instance_count; i++) {
		const struct cfg_instance *w = &e->cfg->instances[i];
		const struct conductor_instance *seen =
			get_instance(e->conductor, i);

		all[i].empty =
			w->present &&
			core_instance_is_empty(e->core, (instance_handle){ i });
		all[i].rebooted = w->present && seen->boots > w->boots;
		if (all[i].state == PLAN_SERVING && seen->failed)
			all[i].state = PLAN_FAILED;
	}
	pthread_mutex_unlock(&e->core_lock);
}

static void on_reboot(void *arg, const struct platform_answer *answer)
{
	(void)arg;
	(void)answer; /* requested again until the list shows the reboot */
}

static void request_reboot(struct entry *e, const struct cfg_instance *w,
			   struct conductor_instance *seen, uint64_t now_ms)
{
	if (now_ms < seen->reboot_sent_ms + REBOOT_RETRY_MS)
		return;
	seen->reboot_sent_ms = now_ms;
	platform_reboot(e->platform, w->name, w->boots, on_reboot, NULL);
}

/*
 * Requests reboots of the wave's instances that are out. Returns false with
 * the reason when one has been draining or out for the wave's return_max_s;
 * running work is never stopped to end a drain.
 */
static bool reboot_instances(struct entry *e, const struct cfg_wave *wave,
			     const struct plan_instance *all, uint64_t now_ms,
			     struct status_message *reason)
{
	bool in_time = true;
	uint32_t i;

	for (i = 0; i < e->cfg->instance_count; i++) {
		const struct cfg_instance *w = &e->cfg->instances[i];
		struct conductor_instance *seen = get_instance(e->conductor, i);
		bool out = all[i].state == PLAN_OUT;

		if (!all[i].selected || all[i].rebooted ||
		    (!out && all[i].state != PLAN_DRAINING)) {
			seen->away_since_ms = 0;
			continue;
		}
		if (!seen->away_since_ms)
			seen->away_since_ms = now_ms;
		if (out)
			request_reboot(e, w, seen, now_ms);
		if (!in_time ||
		    now_ms < seen->away_since_ms + wave->return_max_s * 1000ull)
			continue;
		status_set(reason, "%s %s after %u s", w->name,
			   out ? "has not come back" : "still has work",
			   wave->return_max_s);
		in_time = false;
	}
	return in_time;
}

/* The instance state after a step; false when the wave's state forbids it. */
static bool step_state(const struct cfg_wave *wave, enum plan_step_kind kind,
		       enum cfg_instance_state *state)
{
	switch (kind) {
	case PLAN_RETURN:
		*state = CFG_SERVING;
		return true;
	case PLAN_TAKE_OUT:
		*state = CFG_OUT;
		return wave->state != CFG_WAVE_ABORTED;
	case PLAN_DRAIN:
		*state = CFG_DRAINING;
		return wave->state == CFG_WAVE_RUNNING;
	}
	return false;
}

/* The plan's steps that the wave's state admits; aborting ends all drains. */
static json_t *steps_to_json(struct entry *e, const struct cfg_wave *wave,
			     const struct plan_instance *all,
			     const struct plan_result *plan)
{
	json_t *instances = json_object();
	enum cfg_instance_state state;
	uint32_t i;

	for (i = 0; i < plan->count && i < STEPS_PER_CHANGE; i++)
		if (step_state(wave, plan->steps[i].kind, &state))
			add_step(e, instances, wave, plan->steps[i].instance,
				 state);
	for (i = 0;
	     wave->state == CFG_WAVE_ABORTED && i < e->cfg->instance_count; i++)
		if (all[i].selected && all[i].state == PLAN_DRAINING)
			add_step(e, instances, wave, i, CFG_SERVING);
	return instances;
}

static void run_wave(struct entry *e, const struct cfg_wave *wave,
		     uint64_t now_ms)
{
	struct plan_instance *all;
	struct plan_input *in = wave_input(e, e->cfg, wave, &all);
	struct plan_result plan;
	struct status_message reason = { "" };
	json_t *steps;

	add_observations(e, all);
	plan_next(in, in, &plan);
	steps = steps_to_json(e, wave, all, &plan);
	if (!reboot_instances(e, wave, all, now_ms, &reason) &&
	    wave->state == CFG_WAVE_RUNNING) {
		json_decref(steps);
		set_wave(e, wave, CFG_WAVE_HALTED, reason.text);
	} else if (json_object_size(steps)) {
		commit(e, json_pack("{s:o}", "instances", steps));
	} else {
		json_decref(steps);
		if (!plan.remaining && wave->state == CFG_WAVE_RUNNING)
			set_wave(e, wave, CFG_WAVE_DONE, "");
	}
	talloc_free(in);
}

void conductor_tick(struct entry *e, uint64_t now_ms)
{
	struct cfg *cfg = e->cfg;
	uint32_t i;

	if (!cfg->wave_count || e->conductor->changing ||
	    entry_state(e) != ENTRY_SERVING || !is_conductor(e))
		return;
	for (i = 0; i < cfg->wave_count && !e->conductor->changing; i++)
		if (cfg->waves[i].state != CFG_WAVE_DONE)
			run_wave(e, &cfg->waves[i], now_ms);
}
