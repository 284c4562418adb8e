#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/command.h"
#include "version/wave.h"

#define BAR_WIDTH 30
#define CYCLE_S 300.0 /* taken for an instance's drain and reboot */

/* A wave's object from words `field=value`; NULL after printing why not. */
static json_t *wave_object(const struct command_call *call, int from)
{
	json_t *object = json_pack("{s:s}", "state", "running");
	int i;

	for (i = from; i < call->word_count; i++) {
		const char *word = call->words[i];
		const char *equals = strchr(word, '=');
		char field[32];

		if (!equals || equals - word >= (int)sizeof(field)) {
			fprintf(stderr,
				"jackdawwell: \"%s\": wanted pool=NAME, "
				"zone=NAME, rack=NAME or return_max_s=N\n",
				word);
			json_decref(object);
			return NULL;
		}
		snprintf(field, sizeof(field), "%.*s", (int)(equals - word),
			 word);
		if (!strcmp(field, "return_max_s"))
			json_object_set_new(object, field,
					    json_integer(atoi(equals + 1)));
		else
			json_object_set_new(object, field,
					    json_string(equals + 1));
	}
	return object;
}

/* The configuration as the entries see it, with the wave put in. */
static struct cfg *compile(TALLOC_CTX *ctx, json_t *config, const char *name,
			   json_t *wave, struct status_message *m)
{
	struct cfg_names *names = cfg_names_new(ctx);
	struct cfg *empty = cfg_empty(names);
	struct cfg *cfg = NULL;
	json_t *waves = json_object_get(config, "waves");

	if (wave && waves)
		json_object_set(waves, name, wave);
	else if (wave)
		json_object_set_new(config, "waves",
				    json_pack("{s:O}", name, wave));
	cfg_apply(empty, names, config, 1, &cfg, m);
	cfg_unref(empty);
	return cfg;
}

struct progress {
	uint32_t wanted;
	uint32_t done;
	uint32_t draining;
	uint32_t out;
};

static struct progress progress_of(const struct plan_input *in)
{
	struct progress p = { 0 };
	uint32_t i;

	for (i = 0; i < in->instance_count; i++) {
		const struct plan_instance *x = &in->instances[i];

		if (!x->selected)
			continue;
		p.wanted++;
		p.done += x->done;
		p.draining += !x->done && x->state == PLAN_DRAINING;
		p.out += !x->done && x->state == PLAN_OUT;
	}
	return p;
}

static void print_progress(const struct cfg_wave *wave,
			   const struct progress *p)
{
	uint32_t full = p->wanted ? p->done * BAR_WIDTH / p->wanted : 0;
	uint32_t i;

	printf("wave %s %s [", wave->name, cfg_wave_state_name(wave->state));
	for (i = 0; i < BAR_WIDTH; i++)
		putchar(i < full ? '#' : '.');
	printf("] %u of %u done, %u draining, %u out%s%s\n", p->done, p->wanted,
	       p->draining, p->out, *wave->halt_reason ? ": " : "",
	       wave->halt_reason);
}

static char mark_of(const struct plan_instance *x)
{
	if (x->done)
		return '#';
	switch (x->state) {
	case PLAN_SERVING:
		return x->selected ? '.' : '-';
	case PLAN_DRAINING:
		return 'd';
	case PLAN_OUT:
		return 'o';
	case PLAN_FAILED:
		return 'f';
	}
	return '?';
}

struct place {
	const char *zone;
	const char *rack;
	char mark;
};

static int by_place(const void *a, const void *b)
{
	const struct place *x = a;
	const struct place *y = b;
	int zones = strcmp(x->zone, y->zone);

	return zones ? zones : strcmp(x->rack, y->rack);
}

/* A line a rack, grouped by availability zone, a mark an instance. */
static void print_fleet(const struct cfg *cfg, const struct plan_input *in)
{
	struct place *places =
		talloc_array(NULL, struct place, cfg->instance_count + 1);
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < cfg->instance_count; i++)
		if (cfg->instances[i].present)
			places[n++] =
				(struct place){ cfg->instances[i].zone,
						cfg->instances[i].rack,
						mark_of(&in->instances[i]) };
	qsort(places, n, sizeof(*places), by_place);
	printf("# done  . to do  - not in the wave  d draining  o out");
	for (i = 0; i < n; i++) {
		if (!i || by_place(&places[i - 1], &places[i]))
			printf("\n%-10s %-10s ", places[i].zone,
			       places[i].rack);
		putchar(places[i].mark);
	}
	printf("\n");
	talloc_free(places);
}

static void print_bound(const struct plan_input *in)
{
	double s = plan_min_duration_s(in, CYCLE_S);

	printf("at %.0f s an instance it takes at least %.0f min\n", CYCLE_S,
	       s / 60);
}

/* False after printing which budget stands in the way. */
static bool check_possible(const struct cfg *cfg, const struct plan_input *in)
{
	struct plan_result result;

	if (plan_feasible(in, &result))
		return true;
	fprintf(stderr,
		"jackdawwell: the wave cannot be met: pool \"%s\", %s stands "
		"in its way until it is changed\n",
		cfg->pools[result.blocked_pool].name,
		plan_budget_name(result.blocked));
	return false;
}

static int show(json_t *config, const char *name, json_t *wave, bool plan)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct status_message m = { "" };
	struct cfg *cfg = compile(ctx, config, name, wave, &m);
	const struct cfg_wave *found = cfg ? wave_find(cfg, name) : NULL;
	struct plan_instance *all;
	struct plan_input *in;
	struct progress progress;
	int exit_code = 0;

	if (!found) {
		fprintf(stderr, "jackdawwell: %s\n",
			cfg ? "no such wave" : m.text);
		exit_code = EXIT_REFUSED;
	} else {
		in = wave_input(ctx, cfg, found, &all);
		progress = progress_of(in);
		print_progress(found, &progress);
		print_fleet(cfg, in);
		if (plan)
			print_bound(in);
		if (plan && !check_possible(cfg, in))
			exit_code = EXIT_REFUSED;
	}
	cfg_unref(cfg);
	talloc_free(ctx);
	return exit_code;
}

static int set_state(const struct command_call *call, const json_t *answer,
		     const char *name, const char *state)
{
	json_t *known = json_object_get(
		json_object_get(json_object_get(answer, "config"), "waves"),
		name);
	json_t *object;

	if (!known) {
		fprintf(stderr, "jackdawwell: no wave \"%s\"\n", name);
		return EXIT_REFUSED;
	}
	object = json_copy(known);
	json_object_set_new(object, "state", json_string(state));
	json_object_del(object, "why");
	return command_change(
		call, json_integer_value(json_object_get(answer, "version")),
		json_pack("{s:{s:o}}", "waves", name, object));
}

static int start(const struct command_call *call, json_t *answer,
		 const char *name, bool really)
{
	json_t *wave = wave_object(call, 2);
	json_t *config = json_object_get(answer, "config");
	int exit_code;

	if (!wave)
		return EXIT_USAGE;
	if (json_object_get(json_object_get(config, "waves"), name)) {
		fprintf(stderr, "jackdawwell: a wave \"%s\" exists\n", name);
		json_decref(wave);
		return EXIT_REFUSED;
	}
	exit_code = show(config, name, wave, true);
	if (!exit_code && really)
		exit_code = command_change(
			call,
			json_integer_value(json_object_get(answer, "version")),
			json_pack("{s:{s:O}}", "waves", name, wave));
	json_decref(wave);
	return exit_code;
}

static int run(const struct command_call *call, json_t *answer)
{
	const char *verb = call->words[0];
	const char *name = call->words[1];

	if (!strcmp(verb, "plan") || !strcmp(verb, "start"))
		return start(call, answer, name, !strcmp(verb, "start"));
	if (!strcmp(verb, "show"))
		return show(json_object_get(answer, "config"), name, NULL,
			    false);
	if (!strcmp(verb, "pause"))
		return set_state(call, answer, name, "paused");
	if (!strcmp(verb, "resume"))
		return set_state(call, answer, name, "running");
	if (!strcmp(verb, "abort"))
		return set_state(call, answer, name, "aborted");
	fprintf(stderr, "jackdawwell: wanted `wave plan|start|pause|resume|"
			"abort|show NAME`\n");
	return EXIT_USAGE;
}

int command_wave(const struct command_call *call)
{
	int exit_code;
	json_t *answer = command_config(call, &exit_code);

	if (!answer)
		return exit_code;
	exit_code = run(call, answer);
	json_decref(answer);
	return exit_code;
}
