/*
 * conductor - carries waves out, a step at a time
 *
 * The entry that rendezvous hashing chooses among those it reaches conducts.
 * No lease is needed: each step is a change of the configuration made on the
 * version that it was planned with, so of two conductors, or one that was
 * frozen, the later one's step is refused.
 */
#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "entry/entry_internal.h"
#include "process/clock.h"
#include "process/log.h"
#include "version/wave.h"

#define STEPS_MAX 50 /* in one change */
#define REBOOT_AGAIN_MS 5000

/* What the conductor has seen of an instance. */
struct sight {
	uint32_t boots;	   /* by the platform's list */
	bool failed;	   /* by the same */
	uint64_t away_ms;  /* first seen draining or out, 0 when it is not */
	uint64_t asked_ms; /* last request to reboot */
};

struct conductor {
	struct sight *sights; /* by instance_handle */
	uint32_t count;
	bool changing; /* a step is being committed */
};

/* Sights */

static struct sight *sight_of(struct conductor *c, uint32_t instance)
{
	uint32_t count = c->count;

	if (instance >= count) {
		c->count = instance * 2 + 16;
		c->sights =
			talloc_realloc(c, c->sights, struct sight, c->count);
		assert(c->sights);
		memset(c->sights + count, 0,
		       (c->count - count) * sizeof(*c->sights));
	}
	return &c->sights[instance];
}

struct conductor *conductor_new(TALLOC_CTX *ctx)
{
	return talloc_zero(ctx, struct conductor);
}

void conductor_see(struct entry *e, const json_t *list)
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
		struct sight *s;

		if (id == INTERN_NONE)
			continue;
		s = sight_of(e->conductor, id);
		s->boots = (uint32_t)json_integer_value(
			json_object_get(item, "boots"));
		s->failed = state && !strcmp(state, "failed");
	}
}

static bool is_chosen(struct entry *e)
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
		log_event(LOG_WARN, "conductor", "step refused: %s",
			  json_string_value(json_object_get(body, "error")));
	json_decref(body);
}

/* Takes over change. */
static void commit(struct entry *e, json_t *change)
{
	uint8_t bytes[16];
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
		     enum cfg_wave_state state, const char *why)
{
	json_t *object = copy_of(e, "waves", wave->name);

	log_event(LOG_INFO, "conductor", "wave %s is %s%s%s", wave->name,
		  cfg_wave_state_name(state), *why ? ": " : "", why);
	json_object_set_new(object, "state",
			    json_string(cfg_wave_state_name(state)));
	json_object_set_new(object, "why", json_string(why));
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
	json_object_set_new(object, "boots",
			    json_integer(sight_of(e->conductor, id)->boots));
	json_object_set_new(instances, name, object);
}

/* Planning */

/* Adds what only this entry knows of the instances. */
static void complete(struct entry *e, struct plan_instance *all)
{
	uint32_t i;

	pthread_mutex_lock(&e->core_lock);
	for (i = 0; i < e->cfg->instance_count; i++) {
		const struct cfg_instance *w = &e->cfg->instances[i];
		const struct sight *s = sight_of(e->conductor, i);

		all[i].empty =
			w->present &&
			core_instance_home(e->core, (instance_handle){ i });
		all[i].rebooted = w->present && s->boots > w->boots;
		if (all[i].state == PLAN_SERVING && s->failed)
			all[i].state = PLAN_FAILED;
	}
	pthread_mutex_unlock(&e->core_lock);
}

static void on_reboot(void *arg, const struct platform_answer *answer)
{
	(void)arg;
	(void)answer; /* asked again until the list shows it */
}

static void ask_reboot(struct entry *e, const struct cfg_instance *w,
		       struct sight *s, uint64_t now_ms)
{
	if (now_ms < s->asked_ms + REBOOT_AGAIN_MS)
		return;
	s->asked_ms = now_ms;
	platform_reboot(e->platform, w->name, w->boots, on_reboot, NULL);
}

/*
 * Asks for reboots of what is out. False with the reason when an instance
 * drains or is out for too long; nothing is ever cut off for that.
 */
static bool tend(struct entry *e, const struct cfg_wave *wave,
		 const struct plan_instance *all, uint64_t now_ms,
		 struct status_message *why)
{
	bool good = true;
	uint32_t i;

	for (i = 0; i < e->cfg->instance_count; i++) {
		const struct cfg_instance *w = &e->cfg->instances[i];
		struct sight *s = sight_of(e->conductor, i);
		bool out = all[i].state == PLAN_OUT;

		if (!all[i].selected || all[i].rebooted ||
		    (!out && all[i].state != PLAN_DRAINING)) {
			s->away_ms = 0;
			continue;
		}
		if (!s->away_ms)
			s->away_ms = now_ms;
		if (out)
			ask_reboot(e, w, s, now_ms);
		if (!good || now_ms < s->away_ms + wave->return_max_s * 1000ull)
			continue;
		status_set(why, "%s %s after %u s", w->name,
			   out ? "has not come back" : "still has work",
			   wave->return_max_s);
		good = false;
	}
	return good;
}

/* The state that a step leads to; false when the wave's state forbids it. */
static bool step_state(const struct cfg_wave *wave, enum plan_kind kind,
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

static json_t *steps_json(struct entry *e, const struct cfg_wave *wave,
			  const struct plan_instance *all,
			  const struct plan_result *plan)
{
	json_t *instances = json_object();
	enum cfg_instance_state state;
	uint32_t i;

	for (i = 0; i < plan->count && i < STEPS_MAX; i++)
		if (step_state(wave, plan->steps[i].kind, &state))
			add_step(e, instances, wave, plan->steps[i].instance,
				 state);
	for (i = 0;
	     wave->state == CFG_WAVE_ABORTED && i < e->cfg->instance_count; i++)
		if (all[i].selected && all[i].state == PLAN_DRAINING)
			add_step(e, instances, wave, i, CFG_SERVING);
	return instances;
}

static void conduct(struct entry *e, const struct cfg_wave *wave,
		    uint64_t now_ms)
{
	struct plan_instance *all;
	struct plan_input *in = wave_input(e, e->cfg, wave, &all);
	struct plan_result plan;
	struct status_message why = { "" };
	json_t *steps;

	complete(e, all);
	plan_next(in, in, &plan);
	steps = steps_json(e, wave, all, &plan);
	if (!tend(e, wave, all, now_ms, &why) &&
	    wave->state == CFG_WAVE_RUNNING) {
		json_decref(steps);
		set_wave(e, wave, CFG_WAVE_HALTED, why.text);
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
	    entry_state(e) != ENTRY_SERVING || !is_chosen(e))
		return;
	for (i = 0; i < cfg->wave_count && !e->conductor->changing; i++)
		if (cfg->waves[i].state != CFG_WAVE_DONE)
			conduct(e, &cfg->waves[i], now_ms);
}
