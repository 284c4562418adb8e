/*
 * metrics - counters in the Prometheus text format
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "node/node_internal.h"

static void counter(FILE *out, const char *name, const char *labels,
		    uint64_t value)
{
	fprintf(out, "jackdawwell_%s%s%s%s %" PRIu64 "\n", name,
		*labels ? "{" : "", labels, *labels ? "}" : "", value);
}

static void print_requests(FILE *out, const struct node *n)
{
	static const char *const verbs[] = { NULL, "submit", "state", "cancel",
					     "pending" };
	static const char *const results[] = { "unanswered",  "accepted",
					       "refused",     "known",
					       "no_such_job", "unsettled" };
	char labels[64];
	uint32_t i;

	for (i = 1; i < sizeof(verbs) / sizeof(verbs[0]); i++) {
		snprintf(labels, sizeof(labels), "verb=\"%s\"", verbs[i]);
		counter(out, "asks_total", labels, n->requests[i]);
	}
	for (i = 0; i < sizeof(results) / sizeof(results[0]); i++) {
		snprintf(labels, sizeof(labels), "result=\"%s\"", results[i]);
		counter(out, "answers_total", labels, n->answers[i]);
	}
}

static void print_queues(FILE *out, const struct node *n)
{
	const struct sched_queue_stats *q;
	char labels[160];
	uint32_t i;

	for (i = 0; (q = sched_queue_stats(n->sched, i)); i++) {
		snprintf(labels, sizeof(labels), "queue=\"%s\"", q->queue);
		counter(out, "queue_accepted_total", labels, q->accepted);
		counter(out, "queue_refused_total", labels, q->refused);
		counter(out, "queue_in_time_total", labels, q->in_time);
		counter(out, "queue_late_total", labels, q->late);
		counter(out, "queue_failed_total", labels, q->failed);
		counter(out, "queue_cancelled_total", labels, q->cancelled);
		metric_print(out, "jackdawwell_queue_first_start_seconds",
			     labels, &q->first_start);
		metric_print(out, "jackdawwell_queue_completed_seconds", labels,
			     &q->completed);
	}
}

/* Machine moves, maintenance and waves. */
static void print_machines(FILE *out, const struct node *n)
{
	struct fleet_stats f;

	if (!machines_stats(n, &f))
		return;
	counter(out, "machine_moves_total", "", f.moves);
	counter(out, "machine_upkeeps_total", "", f.maintenances);
	counter(out, "waves_completed_total", "", f.waves_completed);
	counter(out, "waves_running", "", f.waves_running);
	counter(out, "machines", "", f.machines);
	counter(out, "machines_draining", "", f.draining);
}

static void print_sched(FILE *out, const struct node *n)
{
	struct sched_stats s;

	if (!n->sched)
		return;
	sched_stats(n->sched, &s);
	counter(out, "jobs_accepted_total", "", s.accepted);
	counter(out, "jobs_refused_total", "", s.refused);
	counter(out, "jobs_ended_total", "state=\"completed\"", s.completed);
	counter(out, "jobs_ended_total", "state=\"failed\"", s.failed);
	counter(out, "jobs_ended_total", "state=\"cancelled\"", s.cancelled);
	counter(out, "runs_started_total", "", s.starts);
	counter(out, "runs_refused_total", "", s.starts_refused);
	counter(out, "runs_unanswered_total", "", s.starts_unknown);
	counter(out, "runs_stopped_total", "", s.stops);
	counter(out, "runs_lost_total", "", s.runs_lost);
	counter(out, "runs_ended_total", "how=\"done\"", s.ends_done);
	counter(out, "runs_ended_total", "how=\"failed\"", s.ends_failed);
	counter(out, "runs_ended_total", "how=\"stopped\"", s.ends_stopped);
	counter(out, "runs_ended_total", "how=\"lapsed\"", s.ends_lapsed);
	counter(out, "jobs", "", s.jobs);
	counter(out, "instances", "", s.instances);
	print_queues(out, n);
	print_machines(out, n);
}

char *node_metrics(const struct node *n)
{
	struct relay_stats relay;
	char *text = NULL;
	size_t length;
	FILE *out = open_memstream(&text, &length);

	assert(out);
	print_requests(out, n);
	print_sched(out, n);
	counter(out, "lead", "", n->phase == LEADER_DECIDING);
	counter(out, "lead_epoch", "", n->leader.epoch);
	counter(out, "config_version", "", n->config ? n->config->version : 0);
	counter(out, "config_age_ms", "", staleness_ms(n, clock_now_ms()));
	counter(out, "config_holds", "", node_config_is_current(n));
	counter(out, "peers", "", n->peer_count);
	counter(out, "store_calls_total", "", n->store_calls);
	counter(out, "store_unknown_total", "", n->store_unknown);
	counter(out, "store_refused_total", "", n->store_refused);
	counter(out, "claims_total", "", n->claims);
	counter(out, "takeovers_total", "", n->takeovers);
	counter(out, "commits_total", "", n->commits);
	counter(out, "looks_total", "", n->polls);
	counter(out, "looks_failed_total", "", n->polls_failed);
	counter(out, "orders_total", "", n->orders);
	relay_stats(n, &relay);
	counter(out, "relay_peers", "", relay.peers);
	counter(out, "relay_calls_total", "", relay.calls);
	counter(out, "relay_calls_lost_total", "", relay.lost);
	counter(out, "relay_calls_served_total", "", n->calls_served);
	counter(out, "log_lines_dropped_total", "", event_dropped());
	fclose(out);
	return text;
}
