/*
 * config_differences - what a new version of the configuration changes, and the
 * effect on work in progress
 *
 * Entries are paired by name. The effects are those that sched_configure() in
 * src/pool/, the callers' API and src/node/watch.c have.
 */
#include <inttypes.h>
#include <string.h>

#include "job/config_lint_internal.h"

/* Queues */

static void queue_removed(struct lint *l, uint32_t index)
{
	const struct config_queue *q = &l->in_force->queues[index];

	lint_add(l, LINT_INFO, "queue-removed", CONFIG_FIELD_QUEUE, index, true,
		 "queue \"%s\" is removed: new jobs are refused, callers can "
		 "neither ask for its jobs nor cancel them; unfinished jobs "
		 "(not checked whether there are any) run on in pool \"%s\" "
		 "with priority 0, no limit of attempts and no advice, and "
		 "without slack after a change of leader",
		 q->name, q->pool);
}

static void queue_times_changed(struct lint *l, uint32_t index,
				const struct config_queue *old)
{
	const struct config_queue *q = &l->c->queues[index];

	if (q->objective_slack_ms != old->objective_slack_ms)
		lint_add(l, LINT_INFO, "queue-slack", CONFIG_FIELD_QUEUE_SLACK,
			 index, false,
			 "queue \"%s\": slack from %u to %u ms; jobs that the "
			 "leader has keep their objective",
			 q->name, old->objective_slack_ms,
			 q->objective_slack_ms);
	if (q->objective_factor < old->objective_factor ||
	    q->objective_factor > old->objective_factor)
		lint_add(l, LINT_INFO, "queue-factor",
			 CONFIG_FIELD_QUEUE_FACTOR, index, false,
			 "queue \"%s\": factor from %g to %g; jobs that the "
			 "leader has keep their objective",
			 q->name, old->objective_factor, q->objective_factor);
	if (q->timeout_ms != old->timeout_ms)
		lint_add(l, LINT_INFO, "queue-timeout",
			 CONFIG_FIELD_QUEUE_TIMEOUT, index, false,
			 "queue \"%s\": timeout of a call from %u to %u ms; "
			 "nodes don't use it",
			 q->name, old->timeout_ms, q->timeout_ms);
}

static void queue_address_changed(struct lint *l, uint32_t index,
				  const struct config_queue *old)
{
	const struct config_queue *q = &l->c->queues[index];

	if (!strcasecmp(q->host, old->host) && !strcmp(q->prefix, old->prefix))
		return;
	lint_add(l, LINT_INFO, "queue-address",
		 strcmp(q->prefix, old->prefix) ? CONFIG_FIELD_QUEUE_PREFIX
						: CONFIG_FIELD_QUEUE_HOST,
		 index, false,
		 "queue \"%s\": from %s%s to %s%s; its jobs are found at the "
		 "new address only",
		 q->name, old->host, old->prefix, q->host, q->prefix);
}

static void queue_changed(struct lint *l, uint32_t index,
			  const struct config_queue *old)
{
	const struct config_queue *q = &l->c->queues[index];

	queue_address_changed(l, index, old);
	queue_times_changed(l, index, old);
	if (strcmp(q->pool, old->pool))
		lint_add(l, LINT_INFO, "queue-pool", CONFIG_FIELD_QUEUE_POOL,
			 index, false,
			 "queue \"%s\": from pool \"%s\" to \"%s\"; waiting "
			 "tasks move, running ones end where they are",
			 q->name, old->pool, q->pool);
	if (q->priority != old->priority)
		lint_add(l, LINT_INFO, "queue-priority",
			 CONFIG_FIELD_QUEUE_PRIORITY, index, false,
			 "queue \"%s\": priority from %u to %u, for waiting "
			 "tasks too",
			 q->name, old->priority, q->priority);
	if (q->attempts_max != old->attempts_max)
		lint_add(l, LINT_INFO, "queue-attempts",
			 CONFIG_FIELD_QUEUE_ATTEMPTS, index, false,
			 "queue \"%s\": attempts from %u to %u (0: no limit); "
			 "a job over the limit fails when its task fails "
			 "again",
			 q->name, old->attempts_max, q->attempts_max);
	if (q->is_public != old->is_public)
		lint_add(
			l, LINT_INFO, "queue-public", CONFIG_FIELD_QUEUE_PUBLIC,
			index, false,
			q->is_public
				? "queue \"%s\" becomes public: new jobs count "
				  "for no workspace and have no cap"
				: "queue \"%s\" is no longer public: calls "
				  "without a key get 401, for jobs sent "
				  "before too",
			q->name);
	if (q->needs_advice != old->needs_advice ||
	    q->advice_valid_ms != old->advice_valid_ms ||
	    q->advice_decision_ms != old->advice_decision_ms ||
	    q->advice_instance_ms != old->advice_instance_ms)
		lint_add(l, LINT_INFO, "queue-advice",
			 CONFIG_FIELD_QUEUE_ADVICE, index, false,
			 "queue \"%s\": advice changes, from the next start of "
			 "a task on",
			 q->name);
}

static void compare_queues(struct lint *l)
{
	const struct config *old = l->in_force;
	struct lint_name *names = NULL;
	struct lint_name *n;
	bool is_new;
	uint32_t i;

	for (i = 0; i < old->queue_count; i++)
		lint_name_add(l, &names, old->queues[i].name, i, &is_new);
	for (i = 0; i < l->c->queue_count; i++) {
		const struct config_queue *q = &l->c->queues[i];

		n = lint_name_find(l, names, q->name);
		if (!n)
			lint_add(l, LINT_INFO, "queue-added",
				 CONFIG_FIELD_QUEUE, i, false,
				 "queue \"%s\" is new", q->name);
		else if (!n->used)
			queue_changed(l, i, &old->queues[n->index]);
		if (n)
			n->used = true;
	}
	for (n = names; n; n = n->hh.next)
		if (!n->used)
			queue_removed(l, n->index);
	HASH_CLEAR(hh, names);
}

/* Pools */

static void pool_changed(struct lint *l, uint32_t index,
			 const struct config_pool *old)
{
	const struct config_pool *p = &l->c->pools[index];

	if (p->spare != old->spare)
		lint_add(l, LINT_INFO, "pool-spare-changed",
			 CONFIG_FIELD_POOL_SPARE, index, false,
			 "pool \"%s\" is %s spare", p->name,
			 p->spare ? "now" : "no longer");
	if (p->has_admission_check != old->has_admission_check)
		lint_add(l, LINT_INFO, "pool-admission",
			 CONFIG_FIELD_POOL_ADMISSION, index, false,
			 "pool \"%s\": its instances %s reject what does not "
			 "fit; nodes don't use it",
			 p->name, p->has_admission_check ? "now" : "no longer");
}

static void compare_pools(struct lint *l)
{
	const struct config *old = l->in_force;
	struct lint_name *names = NULL;
	struct lint_name *n;
	bool is_new;
	uint32_t i;

	for (i = 0; i < old->pool_count; i++)
		lint_name_add(l, &names, old->pools[i].name, i, &is_new);
	for (i = 0; i < l->c->pool_count; i++) {
		const struct config_pool *p = &l->c->pools[i];

		n = lint_name_find(l, names, p->name);
		if (!n)
			lint_add(l, LINT_INFO, "pool-added", CONFIG_FIELD_POOL,
				 i, false, "pool \"%s\" is new", p->name);
		else if (!n->used)
			pool_changed(l, i, &old->pools[n->index]);
		if (n)
			n->used = true;
	}
	for (n = names; n; n = n->hh.next)
		if (!n->used)
			lint_add(
				l, LINT_INFO, "pool-removed", CONFIG_FIELD_POOL,
				n->index, true,
				"pool \"%s\" is removed: no machines are moved "
				"to it or from it any more; its tasks go on "
				"and jobs that wait there stay",
				n->name);
	HASH_CLEAR(hh, names);
}

/* Workspaces */

static bool is_lower(int64_t cap, int64_t old)
{
	return cap && (!old || cap < old);
}

static void workspace_changed(struct lint *l, uint32_t index,
			      const struct config_workspace *old)
{
	const struct config_workspace *w = &l->c->workspaces[index];
	const struct amount *a = &w->cap, *b = &old->cap;

	if (w->weight != old->weight)
		lint_add(l, LINT_INFO, "workspace-weight",
			 CONFIG_FIELD_WORKSPACE_WEIGHT, index, false,
			 "workspace \"%s\": weight from %u to %u, for waiting "
			 "tasks too",
			 w->name, old->weight, w->weight);
	if (a->cpu == b->cpu && a->mem == b->mem && a->gpu == b->gpu)
		return;
	lint_add(l, LINT_INFO, "workspace-cap", CONFIG_FIELD_WORKSPACE_CAP,
		 index, false,
		 "workspace \"%s\": cap from %" PRId64 "/%" PRId64 "/%" PRId64
		 " to %" PRId64 "/%" PRId64 "/%" PRId64
		 " (CPU/memory/accelerators; 0: no limit)%s",
		 w->name, b->cpu, b->mem, b->gpu, a->cpu, a->mem, a->gpu,
		 is_lower(a->cpu, b->cpu) || is_lower(a->mem, b->mem) ||
				 is_lower(a->gpu, b->gpu)
			 ? "; what runs goes on, nothing more of it starts "
			   "until less than the lower cap is in use"
			 : "");
}

static void compare_workspaces(struct lint *l)
{
	const struct config *old = l->in_force;
	struct lint_name *names = NULL;
	struct lint_name *n;
	bool is_new;
	uint32_t i;

	for (i = 0; i < old->workspace_count; i++)
		lint_name_add(l, &names, old->workspaces[i].name, i, &is_new);
	for (i = 0; i < l->c->workspace_count; i++) {
		const struct config_workspace *w = &l->c->workspaces[i];

		n = lint_name_find(l, names, w->name);
		if (!n)
			lint_add(l, LINT_INFO, "workspace-added",
				 CONFIG_FIELD_WORKSPACE, i, false,
				 "workspace \"%s\" is new", w->name);
		else if (!n->used)
			workspace_changed(l, i, &old->workspaces[n->index]);
		if (n)
			n->used = true;
	}
	for (n = names; n; n = n->hh.next)
		if (!n->used)
			lint_add(l, LINT_INFO, "workspace-removed",
				 CONFIG_FIELD_WORKSPACE, n->index, true,
				 "workspace \"%s\" is removed: its unfinished "
				 "jobs run on without a cap and with the "
				 "default "
				 "weight",
				 n->name);
	HASH_CLEAR(hh, names);
}

/* Keys */

static struct lint_name *list_keys(struct lint *l, const struct config *c)
{
	struct lint_name *keys = NULL;
	struct lint_name *n;
	bool is_new;
	uint32_t i, k;

	for (i = 0; i < c->workspace_count; i++)
		for (k = 0; k < c->workspaces[i].key_count; k++) {
			n = lint_name_add(l, &keys, c->workspaces[i].keys[k], k,
					  &is_new);
			if (is_new)
				n->holder = i;
		}
	return keys;
}

/* Keys are named by their number: findings may end up in logs. */
static void compare_keys(struct lint *l)
{
	const struct config *old = l->in_force;
	struct lint_name *before = list_keys(l, old);
	struct lint_name *after = list_keys(l, l->c);
	struct lint_name *n, *same;

	for (n = after; n; n = n->hh.next) {
		const char *holder = l->c->workspaces[n->holder].name;

		same = lint_name_find(l, before, n->name);
		if (!same)
			lint_add(l, LINT_INFO, "key-added",
				 CONFIG_FIELD_WORKSPACE_KEYS, n->holder, false,
				 "key %u of workspace \"%s\" is new", n->index,
				 holder);
		else if (strcmp(old->workspaces[same->holder].name, holder))
			lint_add(
				l, LINT_INFO, "key-moved",
				CONFIG_FIELD_WORKSPACE_KEYS, n->holder, false,
				"key %u of workspace \"%s\" was of \"%s\", for "
				"which jobs sent before still count",
				n->index, holder,
				old->workspaces[same->holder].name);
	}
	for (n = before; n; n = n->hh.next)
		if (!lint_name_find(l, after, n->name))
			lint_add(l, LINT_INFO, "key-removed",
				 CONFIG_FIELD_WORKSPACE_KEYS, n->holder, true,
				 "key %u of workspace \"%s\" is removed: calls "
				 "with it get 401, also for jobs sent before, "
				 "which run on",
				 n->index, old->workspaces[n->holder].name);
	HASH_CLEAR(hh, before);
	HASH_CLEAR(hh, after);
}

/* Limits and version */

static void compare_limits(struct lint *l)
{
	const struct config_limits *a = &l->c->limits;
	const struct config_limits *b = &l->in_force->limits;

	if (!memcmp(a, b, sizeof(*a)))
		return;
	lint_add(l, LINT_INFO, "limits", CONFIG_FIELD_LIMITS, 0, false,
		 "limits on requests: headers from %u to %u bytes, bodies from "
		 "%u to %u bytes, time of headers from %u to %u ms, without "
		 "traffic from %u to %u ms",
		 b->header_bytes, a->header_bytes, b->body_bytes, a->body_bytes,
		 b->header_timeout_ms, a->header_timeout_ms, b->idle_timeout_ms,
		 a->idle_timeout_ms);
}

/* Nodes use a version only if its number is above that of the one they have. */
static void check_version(struct lint *l, bool differs)
{
	uint64_t version = l->c->version, in_force = l->in_force->version;

	if (version > in_force)
		return;
	if (version == in_force && !differs)
		lint_add(l, LINT_INFO, "version-in-force", CONFIG_FIELD_VERSION,
			 0, false, "version %" PRIu64 " is in force", version);
	else
		lint_add(l, LINT_ERROR, "version-not-above",
			 CONFIG_FIELD_VERSION, 0, false,
			 "nodes ignore version %" PRIu64 ": version %" PRIu64
			 " is in force",
			 version, in_force);
}

void lint_differences(struct lint *l)
{
	uint32_t count = l->report->count;

	compare_queues(l);
	compare_pools(l);
	compare_workspaces(l);
	compare_keys(l);
	compare_limits(l);
	check_version(l, l->report->count > count);
}
