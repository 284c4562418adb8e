#include <inttypes.h>

#include "entry/core_internal.h"
#include "request/outcome.h"

static void print_counters(const struct core_counters *n, FILE *out)
{
	const struct {
		const char *name;
		uint64_t value;
	} lines[] = {
		{ "submitted", n->submitted },
		{ "started", n->started },
		{ "ended", n->ended },
		{ "failed", n->failed },
		{ "may_run", n->may_run },
		{ "retried", n->retried },
		{ "lent_units", n->lent },
		{ "row_writes", n->writes },
		{ "peer_messages", n->messages },
		{ "workers_ejected", n->ejected },
	};
	size_t i;

	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++)
		fprintf(out, "jackdawwell_%s_total %" PRIu64 "\n",
			lines[i].name, lines[i].value);
	for (i = 0; i < CORE_REFUSALS; i++)
		fprintf(out,
			"jackdawwell_refused_total{reason=\"%s\"} %" PRIu64
			"\n",
			outcome_refusal_name((enum job_refusal)i),
			n->refused[i]);
}

static void print_team(const struct core *c, uint32_t id, FILE *out)
{
	static const char *const classes[] = { "normal", "urgent" };
	const struct core_team *t = &c->teams[id];
	struct ledger_domain_view view;
	const char *name = c->cfg->teams[id].name;
	char labels[CFG_NAME_MAX + 64];
	int i;

	ledger_view(c->ledger, t->domain, &view);
	fprintf(out, "jackdawwell_team_units_held{team=\"%s\"} %" PRId64 "\n",
		name, view.held);
	fprintf(out, "jackdawwell_team_running{team=\"%s\"} %" PRIu32 "\n",
		name, t->running);
	fprintf(out, "jackdawwell_team_waiting{team=\"%s\"} %" PRIu32 "\n",
		name, t->waiting);
	for (i = 0; i < 2; i++) {
		if (!t->waits[i].count)
			continue;
		snprintf(labels, sizeof(labels), "team=\"%s\",class=\"%s\"",
			 name, classes[i]);
		metric_print(out, "jackdawwell_wait_seconds", labels,
			     &t->waits[i]);
	}
}

static uint64_t backlog_age_ms(const struct fq *q, uint64_t now_ms)
{
	struct fq_flow_view flow;
	uint64_t age = 0;
	uint32_t i;

	for (i = 0; i < fq_flows(q); i++) {
		fq_view(q, i, &flow);
		if (flow.oldest_ms && now_ms - flow.oldest_ms > age)
			age = now_ms - flow.oldest_ms;
	}
	return age;
}

static void print_pool(const struct core *c, uint32_t id, uint64_t now_ms,
		       FILE *out)
{
	const char *name = c->cfg->pools[id].name;
	const struct fq *q = c->pools[id].queue;

	fprintf(out, "jackdawwell_pool_waiting{pool=\"%s\"} %" PRIu32 "\n",
		name, fq_waiting(q));
	fprintf(out, "jackdawwell_backlog_age_seconds{pool=\"%s\"} %g\n", name,
		(double)backlog_age_ms(q, now_ms) / 1000.0);
}

void core_print(struct core *c, FILE *out, uint64_t now_ms)
{
	uint32_t i;

	print_counters(&c->counters, out);
	fprintf(out, "jackdawwell_held_for_unknown %" PRIu32 "\n",
		c->hold_count);
	if (!c->cfg)
		return;
	for (i = 0; i < c->cfg->team_count; i++)
		if (c->cfg->teams[i].present)
			print_team(c, i, out);
	for (i = 0; i < c->cfg->pool_count; i++)
		if (c->cfg->pools[i].present)
			print_pool(c, i, now_ms, out);
}
