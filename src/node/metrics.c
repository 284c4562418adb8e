/*
 * metrics - a node's metrics in the Prometheus text format
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "node/node_internal.h"

static void print_value(FILE *out, const char *name, const char *labels,
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
		print_value(out, "asks_total", labels, n->requests[i]);
	}
	for (i = 0; i < sizeof(results) / sizeof(results[0]); i++) {
		snprintf(labels, sizeof(labels), "result=\"%s\"", results[i]);
		print_value(out, "answers_total", labels, n->answers[i]);
	}
}

static void print_queues(FILE *out, const struct node *n)
{
	const struct sched_queue_stats *q;
	char labels[160];
	uint32_t i;

	for (i = 0; (q = sched_queue_stats(n->sched, i)); i++) {
		snprintf(labels, sizeof(labels), "queue=\"%s\"", q->queue);
		print_value(out, "queue_accepted_total", labels, q->accepted);
		print_value(out, "queue_refused_total", labels, q->refused);
		print_value(out, "queue_in_time_total", labels, q->in_time);
		print_value(out, "queue_late_total", labels, q->late);
		print_value(out, "queue_failed_total", labels, q->failed);
		print_value(out, "queue_cancelled_total", labels, q->cancelled);
		print_value(out, "queue_runs_timed_total", labels,
			    q->estimate_runs);
		print_value(out, "queue_estimate_percent", labels,
			    (uint64_t)(100 * q->estimate_ratio));
		metric_print(out, "jackdawwell_queue_first_start_seconds",
			     labels, &q->first_start);
		metric_print(out, "jackdawwell_queue_completed_seconds", labels,
			     &q->completed);
	}
}

static void print_machines(FILE *out, const struct node *n)
{
	struct fleet_stats f;

	if (!machines_stats(n, &f))
		return;
	print_value(out, "machine_moves_total", "", f.moves);
	print_value(out, "machine_upkeeps_total", "", f.maintenances);
	print_value(out, "waves_completed_total", "", f.waves_completed);
	print_value(out, "waves_running", "", f.waves_running);
	print_value(out, "machines", "", f.machines);
	print_value(out, "machines_draining", "", f.draining);
}

static void print_forecast(FILE *out, const struct node *n)
{
	const struct forecast *f = machines_forecast(n);
	struct forecast_stats s;
	char labels[160];
	uint32_t i;

	for (i = 0; f && forecast_stats(f, i, &s); i++) {
		snprintf(labels, sizeof(labels), "pool=\"%s\"", s.pool);
		print_value(out, "forecast_period_ms", labels, s.period_ms);
		print_value(out, "forecast_trust_percent", labels,
			    (uint64_t)(100 * s.trust));
		print_value(out, "forecast_expected_work", labels,
			    (uint64_t)s.expected);
		print_value(out, "forecast_observed_work", labels,
			    (uint64_t)s.observed);
	}
}

static void print_sched(FILE *out, const struct node *n)
{
	struct sched_stats s;
	char labels[64];
	uint32_t i;

	if (!n->sched)
		return;
	sched_stats(n->sched, &s);
	print_value(out, "jobs_accepted_total", "", s.accepted);
	print_value(out, "jobs_refused_total", "", s.refused);
	for (i = REFUSAL_NONE + 1; i < REFUSALS; i++) {
		snprintf(labels, sizeof(labels), "reason=\"%s\"",
			 sched_refusal_name(i));
		print_value(out, "job_refusals_total", labels, s.refusals[i]);
	}
	print_value(out, "jobs_ended_total", "state=\"completed\"",
		    s.completed);
	print_value(out, "jobs_ended_total", "state=\"failed\"", s.failed);
	print_value(out, "jobs_ended_total", "state=\"cancelled\"",
		    s.cancelled);
	print_value(out, "runs_started_total", "", s.starts);
	print_value(out, "runs_refused_total", "", s.starts_refused);
	print_value(out, "runs_unanswered_total", "", s.starts_unknown);
	print_value(out, "runs_stopped_total", "", s.stops);
	print_value(out, "runs_withdrawn_total", "", s.starts_withdrawn);
	print_value(out, "runs_lost_total", "", s.runs_lost);
	print_value(out, "runs_ended_total", "how=\"done\"", s.ends_done);
	print_value(out, "runs_ended_total", "how=\"failed\"", s.ends_failed);
	print_value(out, "runs_ended_total", "how=\"stopped\"", s.ends_stopped);
	print_value(out, "runs_ended_total", "how=\"lapsed\"", s.ends_lapsed);
	print_value(out, "jobs", "", s.jobs);
	print_value(out, "instances", "", s.instances);
	print_value(out, "jobs_unfinished", "", s.unfinished);
	print_value(out, "tasks_startable", "", s.startable);
	print_value(out, "leader_tasks_per_second", "", (uint64_t)s.rate);
	print_value(out, "leader_tasks_per_second_limit", "",
		    (uint64_t)s.rate_limit);
	print_value(out, "leader_delay_ms", "", (uint64_t)s.delay_ms);
	print_value(out, "runs_started_worthless_total", "",
		    s.starts_worthless);
	print_value(out, "reservations_made_total", "", s.reservations_made);
	print_value(out, "reservations_ended_total", "how=\"used\"",
		    s.reservations_used);
	print_value(out, "reservations_ended_total", "how=\"given_up\"",
		    s.reservations_given_up);
	print_value(out, "reservations_ended_total", "how=\"displaced\"",
		    s.reservations_displaced);
	print_value(out, "reservations_moved_total", "", s.reservations_moved);
	print_value(out, "reservations", "", s.reservations);
	for (i = 0; i < SCHED_WAITS; i++) {
		snprintf(labels, sizeof(labels), "why=\"%s\"",
			 sched_wait_name(i));
		print_value(out, "lasting_waiting", labels, s.lasting_waits[i]);
	}
	print_value(out, "lasting_longest_wait_ms", "", s.lasting_longest_ms);
	print_value(out, "lasting_longest_wait_term_ms", "",
		    s.lasting_longest_term_ms);
	print_queues(out, n);
	print_machines(out, n);
	print_forecast(out, n);
}

/* Where the event loop's time goes; the parts are of a leader. */
static void print_load(FILE *out, const struct node *n)
{
	char labels[64];
	uint32_t i;

	print_value(out, "busy_ms_total", "", load_busy_us(n) / 1000);
	print_value(out, "passes_total", "", n->load.passes);
	for (i = 0; i < LOAD_PARTS; i++) {
		snprintf(labels, sizeof(labels), "part=\"%s\"",
			 load_part_name(i));
		print_value(out, "leader_ms_total", labels,
			    n->load.part_us[i] / 1000);
	}
}

static void print_leadership(FILE *out, const struct node *n)
{
	const struct term *t = &n->term;
	uint64_t now = clock_now_ms();
	char labels[64];
	uint32_t i;

	print_value(out, "lead", "", n->phase == LEADER_DECIDING);
	print_value(out, "lead_epoch", "", n->leader.epoch);
	print_value(out, "claims_total", "", n->claims);
	for (i = STORE_CONFLICT; i < STORE_STATUSES; i++) {
		snprintf(labels, sizeof(labels), "status=\"%s\"",
			 store_status_name(i));
		print_value(out, "claims_failed_total", labels,
			    t->claims_failed[i]);
	}
	print_value(out, "takeovers_total", "", n->takeovers);
	print_value(out, "terms_decided_total", "", t->decided);
	print_value(out, "lead_phase_ms_total", "phase=\"loading\"",
		    term_phase_ms(n, LEADER_LOADING, now));
	print_value(out, "lead_phase_ms_total", "phase=\"deciding\"",
		    term_phase_ms(n, LEADER_DECIDING, now));
	print_value(out, "lead_beats_sent_total", "", t->heartbeats_sent);
	print_value(out, "lead_beats_total", "result=\"answered\"",
		    t->heartbeats_answered);
	print_value(out, "lead_beats_total", "result=\"timed_out\"",
		    t->heartbeats_timed_out);
	print_value(out, "lead_beats_total", "result=\"failed\"",
		    t->heartbeats_failed);
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
	print_load(out, n);
	print_value(out, "states_repeated_total", "", n->states->repeated);
	print_leadership(out, n);
	print_value(out, "config_version", "",
		    n->config ? n->config->version : 0);
	print_value(out, "config_age_ms", "", staleness_ms(n, clock_now_ms()));
	print_value(out, "config_holds", "", node_config_is_current(n));
	print_value(out, "evacuated_zones", "",
		    n->evacuation.set ? evacuations_count(n->evacuation.set)
				      : 0);
	print_value(out, "evacuations_age_ms", "",
		    evacuations_age_ms(n, clock_now_ms()));
	print_value(out, "evacuation_reads_total", "", n->evacuation.reads);
	print_value(out, "starts_held", "", n->evacuation.held);
	print_value(out, "peers", "", n->peer_count);
	print_value(out, "store_calls_total", "", n->store_calls);
	print_value(out, "store_unknown_total", "", n->store_unknown);
	print_value(out, "store_refused_total", "", n->store_refused);
	print_value(out, "commits_total", "", n->commits);
	print_value(out, "looks_total", "", n->polls);
	print_value(out, "looks_failed_total", "", n->polls_failed);
	print_value(out, "orders_total", "", n->orders);
	relay_stats(n, &relay);
	print_value(out, "relay_peers", "", relay.peers);
	print_value(out, "relay_calls_total", "", relay.calls);
	print_value(out, "relay_calls_lost_total", "", relay.lost);
	print_value(out, "relay_calls_served_total", "", n->calls_served);
	budget_print(n->settings.budgets, out);
	print_value(out, "log_lines_dropped_total", "", event_dropped());
	fclose(out);
	return text;
}
