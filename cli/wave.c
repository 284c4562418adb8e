/*
 * wave - the command `wave`: plan, start, pause, resume, abort and show waves
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/command.h"
#include "version/wave.h"

#define BAR_WIDTH 30	     /* characters */
#define DRAIN_REBOOT_S 300.0 /* estimate, from drain until serving again */

/* Reads a wave from arguments `field=value`; NULL after printing an error. */
static json_t *parse_wave(const struct command_context *cmd, int first_arg)
{
	json_t *object = json_pack("{s:s}", "state", "running");
	int i;

	for (i = first_arg; i < cmd->arg_count; i++) {
		const char *arg = cmd->args[i];
		const char *equals = strchr(arg, '=');
		char field[32];

		if (!equals || equals - arg >= (int)sizeof(field)) {
			fprintf(stderr,
				"jackdawwell: \"%s\": expected pool=NAME, "
				"zone=NAME, rack=NAME or return_max_s=N\n",
				arg);
			json_decref(object);
			return NULL;
		}
		snprintf(field, sizeof(field), "%.*s", (int)(equals - arg),
			 arg);
		if (!strcmp(field, "return_max_s"))
			json_object_set_new(object, field,
					    json_integer(atoi(equals + 1)));
		else
			json_object_set_new(object, field,
					    json_string(equals + 1));
	}
	return object;
}

/* Compiles the configuration as the entries do, with the wave added. */
static struct cfg *compile_config(TALLOC_CTX *ctx, json_t *config,
				  const char *name, json_t *wave,
				  struct status_message *m)
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

/* Numbers of instances of a wave. */
struct progress {
	uint32_t selected;
	uint32_t done;
	uint32_t draining;
	uint32_t out;
};

static struct progress count_progress(const struct plan_input *in)
{
	struct progress p = { 0 };
	uint32_t i;

	for (i = 0; i < in->instance_count; i++) {
		const struct plan_instance *x = &in->instances[i];

		if (!x->selected)
			continue;
		p.selected++;
		p.done += x->done;
		p.draining += !x->done && x->state == PLAN_DRAINING;
		p.out += !x->done && x->state == PLAN_OUT;
	}
	return p;
}

static void print_progress(const struct cfg_wave *wave,
			   const struct progress *p)
{
	uint32_t filled = p->selected ? p->done * BAR_WIDTH / p->selected : 0;
	uint32_t i;

	printf("wave %s %s [", wave->name, cfg_wave_state_name(wave->state));
	for (i = 0; i < BAR_WIDTH; i++)
		putchar(i < filled ? '#' : '.');
	printf("] %u of %u done, %u draining, %u out%s%s\n", p->done,
	       p->selected, p->draining, p->out, *wave->halt_reason ? ": " : "",
	       wave->halt_reason);
}

static char instance_mark(const struct plan_instance *x)
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

struct fleet_cell {
	const char *zone;
	const char *rack;
	char mark;
};

static int compare_cells(const void *a, const void *b)
{
	const struct fleet_cell *x = a;
	const struct fleet_cell *y = b;
	int zones = strcmp(x->zone, y->zone);

	return zones ? zones : strcmp(x->rack, y->rack);
}

/* One line per rack, grouped by availability zone; one mark per instance. */
static void print_fleet(const struct cfg *cfg, const struct plan_input *in)
{
	struct fleet_cell *cells =
		talloc_array(NULL, struct fleet_cell, cfg->instance_count + 1);
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < cfg->instance_count; i++)
		if (cfg->instances[i].present)
			cells[n++] = (struct fleet_cell){
				cfg->instances[i].zone, cfg->instances[i].rack,
				instance_mark(&in->instances[i])
			};
	qsort(cells, n, sizeof(*cells), compare_cells);
	printf("# done  . to do  - not in the wave  d draining  o out");
	for (i = 0; i < n; i++) {
		if (!i || compare_cells(&cells[i - 1], &cells[i]))
			printf("\n%-10s %-10s ", cells[i].zone, cells[i].rack);
		putchar(cells[i].mark);
	}
	printf("\n");
	talloc_free(cells);
}

static void print_min_duration(const struct plan_input *in)
{
	double s = plan_min_duration_s(in, DRAIN_REBOOT_S);

	printf("at %.0f s per instance the wave takes at least %.0f min\n",
	       DRAIN_REBOOT_S, s / 60);
}

/* Whether the budgets allow the wave; prints the one that does not. */
static bool check_feasible(const struct cfg *cfg, const struct plan_input *in)
{
	struct plan_result result;

	if (plan_feasible(in, &result))
		return true;
	fprintf(stderr,
		"jackdawwell: the wave is not feasible: in pool \"%s\" the "
		"budget %s lets no instance be out\n",
		cfg->pools[result.blocked_pool].name,
		plan_budget_name(result.blocked));
	return false;
}

static int show_wave(json_t *config, const char *name, json_t *wave, bool plan)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct status_message m = { "" };
	struct cfg *cfg = compile_config(ctx, config, name, wave, &m);
	const struct cfg_wave *found = cfg ? wave_find(cfg, name) : NULL;
	struct plan_instance *instances;
	struct plan_input *in;
	struct progress progress;
	int exit_code = 0;

	if (!found) {
		fprintf(stderr, "jackdawwell: %s\n",
			cfg ? "no such wave" : m.text);
		exit_code = EXIT_REFUSED;
	} else {
		in = wave_input(ctx, cfg, found, &instances);
		progress = count_progress(in);
		print_progress(found, &progress);
		print_fleet(cfg, in);
		if (plan)
			print_min_duration(in);
		if (plan && !check_feasible(cfg, in))
			exit_code = EXIT_REFUSED;
	}
	cfg_unref(cfg);
	talloc_free(ctx);
	return exit_code;
}

static int set_wave_state(const struct command_context *cmd,
			  const json_t *answer, const char *name,
			  const char *state)
{
	json_t *current = json_object_get(
		json_object_get(json_object_get(answer, "config"), "waves"),
		name);
	json_t *object;

	if (!current) {
		fprintf(stderr, "jackdawwell: no wave \"%s\"\n", name);
		return EXIT_REFUSED;
	}
	object = json_copy(current);
	json_object_set_new(object, "state", json_string(state));
	json_object_del(object, "why");
	return command_change(
		cmd, json_integer_value(json_object_get(answer, "version")),
		json_pack("{s:{s:o}}", "waves", name, object));
}

static int plan_or_start(const struct command_context *cmd, json_t *answer,
			 const char *name, bool commit)
{
	json_t *wave = parse_wave(cmd, 2);
	json_t *config = json_object_get(answer, "config");
	int exit_code;

	if (!wave)
		return EXIT_USAGE;
	if (json_object_get(json_object_get(config, "waves"), name)) {
		fprintf(stderr, "jackdawwell: wave \"%s\" exists already\n",
			name);
		json_decref(wave);
		return EXIT_REFUSED;
	}
	exit_code = show_wave(config, name, wave, true);
	if (!exit_code && commit)
		exit_code = command_change(
			cmd,
			json_integer_value(json_object_get(answer, "version")),
			json_pack("{s:{s:O}}", "waves", name, wave));
	json_decref(wave);
	return exit_code;
}

static int run_subcommand(const struct command_context *cmd, json_t *answer)
{
	const char *subcommand = cmd->args[0];
	const char *name = cmd->args[1];

	if (!strcmp(subcommand, "plan") || !strcmp(subcommand, "start"))
		return plan_or_start(cmd, answer, name,
				     !strcmp(subcommand, "start"));
	if (!strcmp(subcommand, "show"))
		return show_wave(json_object_get(answer, "config"), name, NULL,
				 false);
	if (!strcmp(subcommand, "pause"))
		return set_wave_state(cmd, answer, name, "paused");
	if (!strcmp(subcommand, "resume"))
		return set_wave_state(cmd, answer, name, "running");
	if (!strcmp(subcommand, "abort"))
		return set_wave_state(cmd, answer, name, "aborted");
	fprintf(stderr, "usage: jackdawwell wave plan|start|pause|resume|"
			"abort|show NAME\n");
	return EXIT_USAGE;
}

int command_wave(const struct command_context *cmd)
{
	int exit_code;
	json_t *answer = command_config(cmd, &exit_code);

	if (!answer)
		return exit_code;
	exit_code = run_subcommand(cmd, answer);
	json_decref(answer);
	return exit_code;
}
