#include <inttypes.h>

#include "entry/core_internal.h"
#include "request/outcome.h"

#define LABELS_MAX (CFG_NAME_MAX + 64) /* bytes */

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
		{ "may_run", n->possibly_running },
		{ "retried", n->retried },
		{ "lent_units", n->lent_units },
		{ "row_writes", n->row_writes },
		{ "peer_messages", n->peer_messages },
		{ "workers_ejected", n->workers_ejected },
	};
	size_t i;

	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++)
		fprintf(out, "jackdawwell_%s_total %" PRIu64 "\n",
			lines[i].name, lines[i].value);
	for (i = 0; i < CORE_REFUSAL_COUNT; i++)
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
	char labels[LABELS_MAX];
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

/* Arrival of each queue's oldest waiting job, 0 if none waits. */
struct backlog_ages {
	const struct cfg *cfg;
	uint64_t *oldest_ms; /* index: as in cfg->queues */
};

static void record_age(void *arg, const struct job *job)
{
	struct backlog_ages *a = arg;
	const struct cfg_queue *queue = cfg_find_queue(a->cfg, job->queue);
	uint64_t *oldest;

	if (!queue)
		return;
	oldest = &a->oldest_ms[queue - a->cfg->queues];
	if (!*oldest || job->arrived_ms < *oldest)
		*oldest = job->arrived_ms;
}

static void print_ages(const struct core *c, uint64_t now_ms, FILE *out)
{
	struct backlog_ages a = { c->cfg, NULL };
	uint32_t i;

	a.oldest_ms = talloc_zero_array(c, uint64_t, c->cfg->queue_count + 1);
	assert(a.oldest_ms);
	for (i = 0; i < c->pool_count; i++)
		fq_for_each(c->pools[i].queue, record_age, &a);
	for (i = 0; i < c->cfg->queue_count; i++) {
		uint64_t age = a.oldest_ms[i] ? now_ms - a.oldest_ms[i] : 0;

		fprintf(out,
			"jackdawwell_backlog_age_seconds{queue=\"%s\"} %g\n",
			c->cfg->queues[i].name, (double)age / 1000.0);
	}
	talloc_free(a.oldest_ms);
}

static void print_pool(const struct core *c, uint32_t id, FILE *out)
{
	fprintf(out, "jackdawwell_pool_waiting{pool=\"%s\"} %" PRIu32 "\n",
		c->cfg->pools[id].name, fq_waiting(c->pools[id].queue));
}

void core_print_metrics(struct core *c, FILE *out, uint64_t now_ms)
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
			print_pool(c, i, out);
	print_ages(c, now_ms, out);
}
