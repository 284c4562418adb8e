#include "entry/core_internal.h"

#include <inttypes.h>
#include <string.h>

#define CORE_ESTIMATE_MIN 16 /* waiting jobs of a team; fewer: no estimate */
#define CORE_HOLDS_INITIAL 64u
#define CORE_RESERVE_MAX_MS 150		/* longest reservation of a free slot */
#define CORE_ROUND_INTERVAL_MIN_MS 1000 /* between rounds opened in a shard */
/*
 * In slots. A free slot is not reserved if the team that would get it runs less
 * than CORE_RESERVE_ABOVE_TARGET above its target, or if this entry holds more
 * than CORE_RESERVE_UNTARGETED above the sum of its targets.
 */
#define CORE_RESERVE_ABOVE_TARGET 0.5
#define CORE_RESERVE_UNTARGETED 1.0

/* Request path */

static void remove_waiting(struct core *c, const struct job *job)
{
	c->waiting--;
	c->waiting_bytes -= job->bytes;
	c->teams[job->team.i].waiting--;
}

static void add_waiting(struct core *c, const struct job *job)
{
	c->waiting++;
	c->waiting_bytes += job->bytes;
	c->teams[job->team.i].waiting++;
}

static void refuse(struct core *c, struct job *job, enum job_refusal refusal)
{
	remove_waiting(c, job);
	job->state = JOB_DONE;
	c->counters.refused[refusal]++;
	c->options.callbacks.refuse(c->options.callbacks.arg, job, refusal);
}

/* Whether the current configuration lets the job's key use its queue. */
static bool job_allowed(struct core *c, struct job *job,
			enum job_refusal *refusal)
{
	const struct cfg_key *key;
	const struct cfg_queue *queue;

	if (job->checked_version == c->cfg->version)
		return true;
	queue = cfg_find_queue(c->cfg, job->queue);
	key = cfg_find_key(c->cfg, job->key);
	if (*job->key && (!key || key->team.i != job->team.i ||
			  memcmp(key->hash, job->key_hash, CFG_HASH_BYTES))) {
		*refusal = JOB_REFUSED_KEY;
		return false;
	}
	if (!queue || queue->pool.i != job->pool.i ||
	    (!*job->key && !queue->open) ||
	    (queue->team.i != INTERN_NONE && queue->team.i != job->team.i)) {
		*refusal = JOB_REFUSED_QUEUE;
		return false;
	}
	job->checked_version = c->cfg->version;
	return true;
}

static bool was_attempted(const struct job *job, uint32_t instance)
{
	uint32_t i;

	for (i = 0; i < job->attempts; i++)
		if (job->attempted[i] == instance)
			return true;
	return false;
}

/*
 * Chooses the worker of which this entry holds the most idle slots, among those
 * that the job has not tried. Returns false if there is none.
 */
static bool choose_instance(struct core *c, const struct job *job,
			    instance_handle *chosen)
{
	const struct core_pool *p = &c->pools[job->pool.i];
	int64_t most = 0;
	uint32_t i;

	for (i = 0; i < p->instance_count; i++) {
		uint32_t id = p->instances[i];
		const struct core_instance *n = &c->instances[id];
		struct ledger_domain_view view;

		if (ledger_can_start(c->ledger, n->domain) != LEDGER_OK ||
		    !health_available(&n->health, c->now_ms) ||
		    was_attempted(job, id))
			continue;
		ledger_view(c->ledger, n->domain, &view);
		if (view.held - view.running <= most)
			continue;
		most = view.held - view.running;
		chosen->i = id;
	}
	return most > 0;
}

static bool team_may_start(void *arg, team_handle team)
{
	struct core *c = arg;

	return ledger_can_start(c->ledger, c->teams[team.i].domain) ==
	       LEDGER_OK;
}

static void start(struct core *c, struct job *job, instance_handle instance)
{
	struct core_team *t = &c->teams[job->team.i];
	struct core_pool *p = &c->pools[job->pool.i];
	enum ledger_status status;

	fq_remove(p->queue, job);
	remove_waiting(c, job);
	status = ledger_start_unit(c->ledger, t->domain);
	assert(status == LEDGER_OK);
	status = ledger_start_unit(c->ledger, c->instances[instance.i].domain);
	assert(status == LEDGER_OK);
	(void)status;
	health_request_started(&c->instances[instance.i].health);
	fq_started(p->queue, job->team, c->now_ms);
	t->running++;
	c->running++;
	c->counters.started++;
	if (!job->attempts)
		metric_observe(&t->waits[job->class],
			       c->now_ms - job->arrived_ms);
	job->state = JOB_RUNNING;
	job->instance = instance;
	job->started_ms = c->now_ms;
	job->attempted[job->attempts++] = instance.i;
	c->options.callbacks.start(c->options.callbacks.arg, job);
}

/*
 * Whether a free slot stays reserved, for CORE_RESERVE_MAX_MS at most, instead
 * of going to a team that is above its target. When the targets take up all
 * slots held here, the broker is about to advise lending a freed slot to
 * another entry. A job started in it at once would put its team ahead of teams
 * at that entry that are below their share.
 */
static bool reserves_slot(struct core *c, struct core_pool *p,
			  const struct job *job)
{
	struct fq_flow_view flow = { 0 };

	fq_team_view(p->queue, job->team, &flow);
	if (!c->options.advice ||
	    c->now_ms > p->advised_ms + CORE_ADVICE_TTL_MS ||
	    p->target_sum + CORE_RESERVE_UNTARGETED < p->reported.held ||
	    flow.running < flow.target + CORE_RESERVE_ABOVE_TARGET) {
		p->reserved_since_ms = 0;
		return false;
	}
	if (!p->reserved_since_ms)
		p->reserved_since_ms = c->now_ms;
	return c->now_ms < p->reserved_since_ms + CORE_RESERVE_MAX_MS;
}

void core_dispatch(struct core *c, pool_handle pool)
{
	struct core_pool *p = &c->pools[pool.i];
	instance_handle instance;
	enum job_refusal refusal;
	struct job *job;

	if (!c->cfg || c->now_ms >= c->fresh_until_ms)
		return;
	core_units_lend_pool(c, pool.i);
	while (fq_waiting(p->queue)) {
		job = fq_pick(p->queue, c->now_ms, team_may_start, c);
		if (!job)
			return;
		if (!job_allowed(c, job, &refusal)) {
			fq_remove(p->queue, job);
			refuse(c, job, refusal);
			continue;
		}
		if (!choose_instance(c, job, &instance) ||
		    reserves_slot(c, p, job))
			return;
		start(c, job, instance);
	}
}

/*
 * Whether a new job would wait beyond its deadline, estimated by the rate of
 * its team's recent starts. Not for urgent jobs, which go ahead of the others.
 */
static bool would_expire(const struct core *c, const struct job *job)
{
	struct fq_flow_view flow;
	double wait;

	if (job->class == CFG_URGENT ||
	    !fq_team_view(c->pools[job->pool.i].queue, job->team, &flow) ||
	    flow.waiting < CORE_ESTIMATE_MIN)
		return false;
	wait = flow.waiting * flow.start_gap_ms;
	return (double)c->now_ms + wait > (double)job->deadline_ms;
}

bool core_submit(struct core *c, struct job *job, uint64_t now_ms,
		 enum job_refusal *refusal)
{
	bool refused = true;

	c->now_ms = now_ms;
	c->counters.submitted++;
	if (c->stopping)
		*refusal = JOB_REFUSED_STOPPING;
	else if (c->waiting >= c->options.waiting_max ||
		 c->waiting_bytes + job->bytes > c->options.waiting_bytes)
		*refusal = JOB_REFUSED_FULL;
	else if (would_expire(c, job))
		*refusal = JOB_REFUSED_EARLY;
	else
		refused = false;
	if (refused) {
		job->state = JOB_DONE;
		c->counters.refused[*refusal]++;
		return false;
	}
	job->state = JOB_WAITING;
	job->attempts = 0;
	job->may_have_run = false;
	job->not_before_ms = 0;
	retry_credit(&c->teams[job->team.i].retries);
	add_waiting(c, job);
	fq_push(c->pools[job->pool.i].queue, job, now_ms);
	core_dispatch(c, job->pool);
	return true;
}

/* Frees the units of an ended attempt. They are freed nowhere else. */
static void free_units(struct core *c, const struct core_hold *h)
{
	ledger_end_unit(c->ledger, c->teams[h->team.i].domain);
	ledger_end_unit(c->ledger, c->instances[h->instance.i].domain);
	fq_ended(c->pools[h->pool.i].queue, h->team, c->now_ms);
	c->teams[h->team.i].running--;
	c->running--;
}

static void hold_units(struct core *c, const struct core_hold *h)
{
	if (c->hold_count == c->hold_capacity) {
		c->hold_capacity = c->hold_capacity ? c->hold_capacity * 2
						    : CORE_HOLDS_INITIAL;
		c->holds = talloc_realloc(c, c->holds, struct core_hold,
					  c->hold_capacity);
		assert(c->holds);
	}
	c->holds[c->hold_count++] = *h;
}

/*
 * Mean failure rate of the pool's other available workers, 1 if there are none.
 * Sets *unavailable to the number of other workers that are not available.
 */
static double others_failure_rate(const struct core *c, pool_handle pool,
				  uint32_t instance, uint32_t *unavailable)
{
	const struct core_pool *p = &c->pools[pool.i];
	double sum = 0;
	uint32_t n = 0;
	uint32_t i;

	*unavailable = 0;
	for (i = 0; i < p->instance_count; i++) {
		const struct health *h = &c->instances[p->instances[i]].health;

		if (p->instances[i] == instance)
			continue;
		if (h->next_probe_ms ||
		    c->cfg->instances[p->instances[i]].state != CFG_SERVING) {
			(*unavailable)++;
			continue;
		}
		sum += h->failure_rate;
		n++;
	}
	return n ? sum / n : 1.0;
}

static void record_health(struct core *c, const struct job *job, bool failed)
{
	struct health *h = &c->instances[job->instance.i].health;
	uint32_t unavailable;
	double rate;

	health_record(h, failed, c->now_ms);
	if (!failed)
		return;
	rate = others_failure_rate(c, job->pool, job->instance.i, &unavailable);
	if (!health_should_eject(h, rate) ||
	    job->pool.i >= c->cfg->pool_count ||
	    unavailable >= c->cfg->pools[job->pool.i].out_max)
		return;
	health_eject(h, c->now_ms);
	c->counters.workers_ejected++;
}

static bool may_retry(struct core *c, const struct job *job,
		      enum job_result result)
{
	bool safe = result == JOB_NOT_SENT || result == JOB_NOT_RUN ||
		    (result == JOB_POSSIBLY_RUNNING && job->idempotent);

	return safe && job->attempts < JOB_ATTEMPTS_MAX &&
	       c->now_ms < job->deadline_ms &&
	       job->attempts < c->pools[job->pool.i].instance_count &&
	       retry_consume(&c->teams[job->team.i].retries);
}

static uint32_t next_random(struct core *c)
{
	/* Knuth's MMIX generator; its upper bits are the best. */
	c->random = c->random * 6364136223846793005u + 1442695040888963407u;
	return (uint32_t)(c->random >> 33);
}

static void retry(struct core *c, struct job *job)
{
	c->counters.retried++;
	job->state = JOB_WAITING;
	job->not_before_ms = c->now_ms + retry_delay_ms(next_random(c));
	add_waiting(c, job);
	fq_push_front(c->pools[job->pool.i].queue, job, c->now_ms);
}

static void count_result(struct core *c, enum job_result result)
{
	switch (result) {
	case JOB_ENDED:
		c->counters.ended++;
		break;
	case JOB_FAILED:
		c->counters.ended++;
		c->counters.failed++;
		break;
	case JOB_POSSIBLY_RUNNING:
		c->counters.possibly_running++;
		break;
	case JOB_NOT_SENT:
	case JOB_NOT_RUN:
		break;
	}
}

enum core_next core_end_attempt(struct core *c, struct job *job,
				enum job_result result, uint64_t now_ms)
{
	struct core_hold h = { job->team, job->pool, job->instance,
			       now_ms + job->run_max_ms +
				       CORE_LEASE_MARGIN_MS };
	bool retried;

	c->now_ms = now_ms;
	count_result(c, result);
	record_health(c, job, result != JOB_ENDED && result != JOB_NOT_RUN);
	retried = may_retry(c, job, result);
	if (result == JOB_POSSIBLY_RUNNING)
		hold_units(c, &h);
	else
		free_units(c, &h);
	job->may_have_run |= result == JOB_POSSIBLY_RUNNING;
	job->state = JOB_DONE;
	if (retried)
		retry(c, job);
	core_units_lend_team(c, job->team.i);
	core_dispatch(c, job->pool);
	return retried ? CORE_RETRIED : CORE_FINISHED;
}

/* Periodic work */

static bool job_expired(void *arg, const struct job *job)
{
	const struct core *c = arg;

	return c->now_ms >= job->deadline_ms;
}

static void refuse_expired(void *arg, struct job *job)
{
	struct core *c = arg;

	if (job->attempts)
		refuse(c, job, JOB_REFUSED_UNREACHED);
	else
		refuse(c, job, JOB_REFUSED_WAIT);
}

static void free_expired_holds(struct core *c)
{
	uint32_t i = 0;

	while (i < c->hold_count) {
		if (c->now_ms < c->holds[i].until_ms) {
			i++;
			continue;
		}
		free_units(c, &c->holds[i]);
		c->holds[i] = c->holds[--c->hold_count];
	}
}

void core_tick(struct core *c, uint64_t now_ms)
{
	uint32_t i;

	c->now_ms = now_ms;
	free_expired_holds(c);
	for (i = 0; i < c->pool_count; i++)
		if (fq_waiting(c->pools[i].queue))
			fq_expire(c->pools[i].queue, job_expired,
				  refuse_expired, c);
	core_units_tick(c);
	for (i = 0; i < c->pool_count; i++)
		core_dispatch(c, (pool_handle){ i });
}

void core_set_fresh_until(struct core *c, uint64_t until_ms)
{
	c->fresh_until_ms = until_ms;
}

void core_stop(struct core *c, uint64_t now_ms)
{
	c->stopping = true;
	c->full_update_ms = 0;
	core_tick(c, now_ms);
}

bool core_drained(const struct core *c)
{
	return !c->running && !c->waiting && !ledger_holds_any(c->ledger);
}

/* Rows and messages */

void core_set_row(struct core *c, uint32_t shard, const struct ledger_row *row,
		  uint64_t now_ms)
{
	c->now_ms = now_ms;
	ledger_set_row(c->ledger, shard, row);
	core_units_write(c);
}

void core_finish_cas(struct core *c, uint32_t shard,
		     enum ledger_cas_status status, uint64_t version,
		     uint64_t now_ms)
{
	uint32_t i;

	c->now_ms = now_ms;
	ledger_finish_cas(c->ledger, shard, status, version);
	for (i = 0; i < c->pool_count; i++)
		if (fq_waiting(c->pools[i].queue))
			core_dispatch(c, (pool_handle){ i });
}

static void receive_lend(struct core *c, struct core_peer *p,
			 const struct ledger_transfer *t)
{
	struct core_message ack = { .kind = CORE_LEND_ACK };
	uint32_t i;

	ack.u.ack = ledger_receive(p->link, t);
	core_send(c, p->incarnation, &ack);
	for (i = 0; i < c->pool_count; i++)
		if (fq_waiting(c->pools[i].queue))
			core_dispatch(c, (pool_handle){ i });
}

void core_receive(struct core *c, uint64_t from, const struct core_message *m,
		  uint64_t now_ms)
{
	struct core_peer *p = core_peer(c, from);

	if (!p && from != c->options.incarnation)
		return;
	c->now_ms = now_ms;
	switch (m->kind) {
	case CORE_LEND:
		receive_lend(c, p, &m->u.lend);
		break;
	case CORE_LEND_ACK:
		ledger_acknowledge(p->link, m->u.ack);
		break;
	case CORE_DEMAND:
		broker_report(c->broker, from, &m->u.demand, now_ms);
		break;
	case CORE_ADVICE:
		core_units_set_advice(c, &m->u.advice);
		break;
	}
}

void core_send(struct core *c, uint64_t to, const struct core_message *m)
{
	if (to == c->options.incarnation) {
		core_receive(c, to, m, c->now_ms);
		return;
	}
	c->counters.peer_messages++;
	c->options.callbacks.send(c->options.callbacks.arg, to, m);
}

/* Construction and views */

static int core_destroy(struct core *c)
{
	cfg_unref(c->cfg);
	return 0;
}

struct core *core_new(TALLOC_CTX *ctx, const struct core_options *options)
{
	struct core *c = talloc_zero(ctx, struct core);
	struct ledger_options ledger = {
		.incarnation = options->incarnation,
		.shard_count = options->shard_count,
		.round_interval_min_ms = CORE_ROUND_INTERVAL_MIN_MS,
	};

	assert(c);
	c->options = *options;
	c->random = options->random;
	c->ledger = ledger_new(c, &ledger);
	c->broker = core_units_broker(c);
	talloc_set_destructor(c, core_destroy);
	return c;
}

struct ledger *core_ledger(struct core *c)
{
	return c->ledger;
}

const struct core_counters *core_counters(const struct core *c)
{
	return &c->counters;
}

uint32_t core_waiting(const struct core *c)
{
	return c->waiting;
}

void core_team_load(const struct core *c, pool_handle pool, team_handle team,
		    uint32_t *waiting, uint32_t *running)
{
	struct fq_flow_view view = { 0 };

	if (pool.i < c->pool_count)
		fq_team_view(c->pools[pool.i].queue, team, &view);
	*waiting = view.waiting;
	*running = view.running;
}

bool core_instance_is_empty(const struct core *c, instance_handle instance)
{
	return instance.i < c->instance_count &&
	       c->instances[instance.i].configured &&
	       ledger_domain_is_empty(c->ledger,
				      c->instances[instance.i].domain);
}
