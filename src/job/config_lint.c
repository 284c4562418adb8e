/*
 * config_lint - finds mistakes in a configuration before it is sent to nodes
 *
 * Entries are compared by tables of their names, keys and addresses, so that
 * thousands of queues are checked in well under a second.
 */
#include <assert.h>
#include <ctype.h>
#include <inttypes.h>
#include <math.h>
#include <stdarg.h>
#include <string.h>

#include "job/config_lint_internal.h"
#include "job/job_check.h"

#define JOB_ID_BYTES 16u /* hexadecimal digits that follow a queue's prefix */
/* Ports and the like in one host name that are told apart */
#define HOST_PARTS_MAX 4u
/*
 * A request's own headers without its path, host and key: Content-Type,
 * Content-Length, Deadline-Ms, User-Agent, Accept, and two or three that a load
 * balancer adds.
 */
#define HEADERS_BASE_BYTES 1024u
/* A job with one step that has all of its fields, beside the task's text */
#define JOB_BASE_BYTES 512u

/* Findings */

void lint_add(struct lint *l, enum lint_severity severity, const char *code,
	      enum config_field field, uint32_t index, bool in_force,
	      const char *fmt, ...)
{
	struct lint_report *r = l->report;
	struct lint_finding *f;
	va_list ap;

	/* Grows by doubling: when the count is 0 or a power of 2. */
	if (!(r->count & (r->count - 1))) {
		r->findings =
			talloc_realloc(r, r->findings, struct lint_finding,
				       r->count ? r->count * 2 : 1);
		assert(r->findings);
	}
	f = &r->findings[r->count++];
	*f = (struct lint_finding){ .severity = severity,
				    .code = code,
				    .field = field,
				    .index = index,
				    .in_force = in_force };
	va_start(ap, fmt);
	f->text = talloc_vasprintf(r, fmt, ap);
	va_end(ap);
	assert(f->text);
	r->counts[severity]++;
}

/* Tables of names */

struct lint_name *lint_name_find(struct lint *l, struct lint_name *names,
				 const char *name)
{
	struct lint_name *n;

	l->report->operations++;
	HASH_FIND_STR(names, name, n);
	return n;
}

struct lint_name *lint_name_add(struct lint *l, struct lint_name **names,
				const char *name, uint32_t index, bool *is_new)
{
	struct lint_name *n = lint_name_find(l, *names, name);

	*is_new = !n;
	if (n)
		return n;
	n = talloc_zero(l->report, struct lint_name);
	assert(n);
	n->name = name;
	n->index = index;
	HASH_ADD_KEYPTR(hh, *names, n->name, strlen(n->name), n);
	return n;
}

/* Reports a name that is too long, or that an earlier entry has. */
static void check_name(struct lint *l, struct lint_name **names,
		       const char *kind, const char *name, uint32_t index,
		       enum config_field field, const char *effect)
{
	uint32_t max = l->facts->name_bytes;
	bool is_new;
	const struct lint_name *first =
		lint_name_add(l, names, name, index, &is_new);

	if (!is_new)
		lint_add(l, LINT_ERROR, "name-twice", field, index, false,
			 "%s \"%s\" is listed twice, first as entry %u; %s",
			 kind, name, first->index, effect);
	if (max && strlen(name) > max)
		lint_add(l, LINT_ERROR, "name-long", field, index, false,
			 "the name has %zu bytes; nodes cut off what is over "
			 "%u and don't find the %s then",
			 strlen(name), max, kind);
}

/* Addresses of queues */

/* One text for a host and prefix; hosts are equal in upper and lower case. */
static char *address_key(struct lint *l, const char *host, size_t host_length,
			 const char *prefix, size_t prefix_length)
{
	char *key = talloc_size(l->report, host_length + prefix_length + 2);
	size_t i;

	assert(key);
	for (i = 0; i < host_length; i++)
		key[i] = (char)tolower((unsigned char)host[i]);
	key[host_length] = '\n';
	memcpy(key + host_length + 1, prefix, prefix_length);
	key[host_length + 1 + prefix_length] = '\0';
	return key;
}

/*
 * Collects the first queue of each host that takes calls to this one, with that
 * prefix. A queue's host matches calls with any port after it, so the hosts are
 * the queue's own and its parts before a colon.
 */
static uint32_t find_rivals(struct lint *l, struct lint_name *addresses,
			    const struct config_queue *q, size_t prefix_length,
			    uint32_t *rivals)
{
	const char *end = q->host + strlen(q->host);
	uint32_t count = 0;

	while (count < HOST_PARTS_MAX) {
		char *key = address_key(l, q->host, (size_t)(end - q->host),
					q->prefix, prefix_length);
		const struct lint_name *n = lint_name_find(l, addresses, key);

		talloc_free(key);
		if (n)
			rivals[count++] = n->index;
		do {
			if (end == q->host)
				return count;
		} while (*--end != ':');
	}
	return count;
}

static int by_index(const void *a, const void *b)
{
	uint32_t left = *(const uint32_t *)a, right = *(const uint32_t *)b;

	return left < right ? -1 : left > right;
}

/* The one of these queues that config_route() finds; their count if none. */
static uint32_t route_among(struct lint *l, uint32_t *indexes, uint32_t count,
			    const char *host, const char *path)
{
	struct config_queue queues[HOST_PARTS_MAX + 1];
	struct config c = { .queues = queues, .queue_count = count };
	const struct config_queue *found;
	uint32_t i;

	qsort(indexes, count, sizeof(*indexes), by_index);
	for (i = 0; i < count; i++)
		queues[i] = l->c->queues[indexes[i]];
	l->report->operations += count;
	found = config_route(&c, host, path);
	return found ? (uint32_t)(found - queues) : count;
}

/*
 * A queue whose address an earlier one has gets no call. Tried with the host
 * and path that fewest other queues match: its own, without anything after.
 */
static void check_shadowed(struct lint *l, struct lint_name *addresses,
			   uint32_t index)
{
	const struct config_queue *q = &l->c->queues[index];
	uint32_t rivals[HOST_PARTS_MAX + 1];
	uint32_t count =
		find_rivals(l, addresses, q, strlen(q->prefix), rivals);
	uint32_t i, winner;

	for (i = 0; i < count && rivals[i] != index; i++)
		;
	if (i == count)
		rivals[count++] = index;
	winner = route_among(l, rivals, count, q->host, q->prefix);
	if (winner < count && rivals[winner] != index)
		lint_add(l, LINT_ERROR, "never-matches",
			 CONFIG_FIELD_QUEUE_PREFIX, index, false,
			 "queue \"%s\" gets no calls: queue \"%s\", listed "
			 "before it, has the host and prefix",
			 q->name, l->c->queues[rivals[winner]].name);
}

/*
 * A longer prefix that continues another one with hexadecimal digits takes the
 * calls for those jobs of the other queue whose ids begin with the digits.
 */
static void check_takes_ids(struct lint *l, struct lint_name *addresses,
			    uint32_t index)
{
	const struct config_queue *q = &l->c->queues[index];
	size_t n = strlen(q->prefix);
	size_t digits;

	for (digits = 1; digits <= JOB_ID_BYTES && digits < n &&
			 isxdigit((unsigned char)q->prefix[n - digits]);
	     digits++) {
		uint32_t rivals[HOST_PARTS_MAX + 1];
		uint32_t count =
			find_rivals(l, addresses, q, n - digits, rivals);
		const struct config_queue *other;

		if (!count)
			continue;
		other = &l->c->queues[rivals[0]];
		lint_add(l, LINT_WARNING, "takes-calls",
			 CONFIG_FIELD_QUEUE_PREFIX, index, false,
			 "queue \"%s\" takes calls for those jobs of queue "
			 "\"%s\" whose ids begin with \"%s\"",
			 q->name, other->name, q->prefix + n - digits);
	}
}

/* Whether a request can have that text in its path; nodes don't decode it. */
static bool can_be_in_path(const char *text)
{
	for (; *text; text++)
		if ((unsigned char)*text <= ' ' || strchr("?#\x7f", *text))
			return false;
	return true;
}

static bool can_be_host(const char *text)
{
	return *text && *text != ':' && can_be_in_path(text) &&
	       !strchr(text, '/');
}

static void check_address(struct lint *l, uint32_t index)
{
	const struct config_queue *q = &l->c->queues[index];

	if (!can_be_host(q->host))
		lint_add(l, LINT_ERROR, "never-matches",
			 CONFIG_FIELD_QUEUE_HOST, index, false,
			 "queue \"%s\" gets no calls: no request has the host "
			 "\"%s\"",
			 q->name, q->host);
	if (*q->prefix != '/' || !can_be_in_path(q->prefix))
		lint_add(l, LINT_ERROR, "never-matches",
			 CONFIG_FIELD_QUEUE_PREFIX, index, false,
			 "queue \"%s\" gets no calls: no path begins with "
			 "\"%s\"",
			 q->name, q->prefix);
}

/* Queues */

static void check_pool_of(struct lint *l, struct lint_name *pools,
			  uint32_t index)
{
	const struct config_queue *q = &l->c->queues[index];
	struct lint_name *pool = lint_name_find(l, pools, q->pool);

	if (!pool) {
		lint_add(l, LINT_ERROR, "pool-missing", CONFIG_FIELD_QUEUE_POOL,
			 index, false,
			 "queue \"%s\" has pool \"%s\", which is not listed: "
			 "no machines are moved to it",
			 q->name, q->pool);
		return;
	}
	pool->used = true;
	if (l->c->pools[pool->index].spare)
		lint_add(l, LINT_ERROR, "pool-spare", CONFIG_FIELD_QUEUE_POOL,
			 index, false,
			 "queue \"%s\" has pool \"%s\", which is spare: its "
			 "machines are powered off",
			 q->name, q->pool);
}

static void check_times(struct lint *l, uint32_t index)
{
	const struct config_queue *q = &l->c->queues[index];
	uint32_t wait = l->facts->caller_wait_ms;

	if (!q->timeout_ms)
		lint_add(l, LINT_WARNING, "timeout-zero",
			 CONFIG_FIELD_QUEUE_TIMEOUT, index, false,
			 "queue \"%s\": the timeout of a call is 0 or missing",
			 q->name);
	else if (wait && q->timeout_ms > wait)
		lint_add(l, LINT_WARNING, "timeout-long",
			 CONFIG_FIELD_QUEUE_TIMEOUT, index, false,
			 "queue \"%s\": the timeout of a call is %u ms, "
			 "callers wait %u ms",
			 q->name, q->timeout_ms, wait);
	if (!(q->objective_factor > 0) || !isfinite(q->objective_factor))
		lint_add(l, LINT_ERROR, "factor", CONFIG_FIELD_QUEUE_FACTOR,
			 index, false,
			 "queue \"%s\": the factor is %g, wanted more than 0",
			 q->name, q->objective_factor);
	else if (q->objective_factor < 1)
		lint_add(l, LINT_WARNING, "factor", CONFIG_FIELD_QUEUE_FACTOR,
			 index, false,
			 "queue \"%s\": a factor of %g asks for jobs to be "
			 "done in less than their critical path",
			 q->name, q->objective_factor);
	if (!q->objective_slack_ms && q->objective_factor <= 1)
		lint_add(l, LINT_WARNING, "objective", CONFIG_FIELD_QUEUE_SLACK,
			 index, false,
			 "queue \"%s\": without slack and with a factor of %g "
			 "every job is late",
			 q->name, q->objective_factor);
}

static void check_queue_settings(struct lint *l, uint32_t index)
{
	const struct config_queue *q = &l->c->queues[index];

	check_times(l, index);
	if (!q->attempts_max)
		lint_add(l, LINT_WARNING, "attempts-unlimited",
			 CONFIG_FIELD_QUEUE_ATTEMPTS, index, false,
			 "queue \"%s\": a task that always fails is started "
			 "again without limit",
			 q->name);
	if (q->needs_advice && !q->advice_valid_ms)
		lint_add(l, LINT_WARNING, "advice-validity",
			 CONFIG_FIELD_QUEUE_ADVICE, index, false,
			 "queue \"%s\": advice has no time of validity",
			 q->name);
	else if (q->needs_advice &&
		 (uint64_t)q->advice_decision_ms + q->advice_instance_ms >=
			 q->advice_valid_ms)
		lint_add(l, LINT_WARNING, "advice-validity",
			 CONFIG_FIELD_QUEUE_ADVICE, index, false,
			 "queue \"%s\": advice on one instance takes %" PRIu64
			 " ms and is valid for %u ms",
			 q->name,
			 (uint64_t)q->advice_decision_ms +
				 q->advice_instance_ms,
			 q->advice_valid_ms);
}

static void check_queues(struct lint *l, struct lint_name *pools)
{
	struct lint_name *names = NULL, *addresses = NULL;
	uint32_t i;
	bool is_new;

	if (!l->c->queue_count)
		lint_add(l, LINT_ERROR, "no-queues", CONFIG_FIELD_QUEUES, 0,
			 false, "there is no queue: every call gets 404");
	for (i = 0; i < l->c->queue_count; i++) {
		const struct config_queue *q = &l->c->queues[i];

		lint_name_add(l, &addresses,
			      address_key(l, q->host, strlen(q->host),
					  q->prefix, strlen(q->prefix)),
			      i, &is_new);
	}
	for (i = 0; i < l->c->queue_count; i++) {
		check_name(l, &names, "queue", l->c->queues[i].name, i,
			   CONFIG_FIELD_QUEUE_NAME,
			   "jobs of both follow the first");
		check_address(l, i);
		check_shadowed(l, addresses, i);
		check_takes_ids(l, addresses, i);
		check_pool_of(l, pools, i);
		check_queue_settings(l, i);
	}
	HASH_CLEAR(hh, names);
	HASH_CLEAR(hh, addresses);
}

/* Pools */

static struct lint_name *list_pools(struct lint *l)
{
	struct lint_name *names = NULL;
	uint32_t max = l->facts->pools_max;
	uint32_t spare_first = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < l->c->pool_count; i++) {
		const struct config_pool *p = &l->c->pools[i];

		check_name(l, &names, "pool", p->name, i,
			   CONFIG_FIELD_POOL_NAME, "the first one counts");
		if (max && i >= max)
			lint_add(l, LINT_ERROR, "pools-many", CONFIG_FIELD_POOL,
				 i, false,
				 "pool \"%s\" is beyond the first %u: no "
				 "machines are moved to it or from it",
				 p->name, max);
		if (!p->spare)
			continue;
		if (spare_first == UINT32_MAX)
			spare_first = i;
		else
			lint_add(l, LINT_WARNING, "spare-twice",
				 CONFIG_FIELD_POOL_SPARE, i, false,
				 "pool \"%s\" is spare; idle machines are "
				 "moved to \"%s\" only",
				 p->name, l->c->pools[spare_first].name);
	}
	return names;
}

static void check_pools_used(struct lint *l, struct lint_name *pools)
{
	const struct lint_name *n;

	for (n = pools; n; n = n->hh.next)
		if (!n->used && !l->c->pools[n->index].spare)
			lint_add(l, LINT_WARNING, "pool-unused",
				 CONFIG_FIELD_POOL, n->index, false,
				 "no queue has pool \"%s\"", n->name);
}

/* Workspaces */

static bool has_header_text(const char *key)
{
	const char *c;

	for (c = key; *c; c++)
		if ((unsigned char)*c < ' ' || *c == '\x7f')
			return false;
	return *key != ' ' && key[strlen(key) - 1] != ' ';
}

/* Texts of findings don't show keys: they may end up in logs. */
static void check_key(struct lint *l, struct lint_name **keys, uint32_t index,
		      uint32_t number)
{
	const struct config_workspace *w = &l->c->workspaces[index];
	const char *key = w->keys[number];
	struct lint_name *n;
	bool is_new;

	if (!*key) {
		lint_add(l, LINT_ERROR, "key-empty",
			 CONFIG_FIELD_WORKSPACE_KEYS, index, false,
			 "key %u of workspace \"%s\" is empty: it admits "
			 "calls with an empty header",
			 number, w->name);
		return;
	}
	if (!has_header_text(key))
		lint_add(l, LINT_ERROR, "never-matches",
			 CONFIG_FIELD_WORKSPACE_KEYS, index, false,
			 "key %u of workspace \"%s\" can't be sent in a "
			 "header: it has control characters, or spaces at "
			 "an end",
			 number, w->name);
	n = lint_name_add(l, keys, key, number, &is_new);
	if (is_new)
		n->holder = index;
	else if (n->holder == index)
		lint_add(l, LINT_WARNING, "key-twice",
			 CONFIG_FIELD_WORKSPACE_KEYS, index, false,
			 "key %u of workspace \"%s\" is listed twice", number,
			 w->name);
	else
		lint_add(l, LINT_ERROR, "key-twice",
			 CONFIG_FIELD_WORKSPACE_KEYS, index, false,
			 "key %u of workspace \"%s\" is also key %u of "
			 "\"%s\", for which its calls count",
			 number, w->name, n->index,
			 l->c->workspaces[n->holder].name);
}

/* One dimension of a cap; 0 is no cap. */
static void check_cap_of(struct lint *l, uint32_t index, const char *what,
			 int64_t cap, int64_t task, int64_t capacity,
			 uint64_t weights)
{
	const struct config_workspace *w = &l->c->workspaces[index];
	double share =
		weights ? (double)capacity * w->weight / (double)weights : 0;

	if (!cap)
		return;
	if (cap < task)
		lint_add(l, LINT_ERROR, "cap-below-task",
			 CONFIG_FIELD_WORKSPACE_CAP, index, false,
			 "workspace \"%s\" may use %" PRId64
			 " of %s and has sent a task of %" PRId64
			 ", which would never start",
			 w->name, cap, what, task);
	if (!l->facts->has_capacity)
		return;
	if (cap > capacity)
		lint_add(l, LINT_WARNING, "cap-above-capacity",
			 CONFIG_FIELD_WORKSPACE_CAP, index, false,
			 "workspace \"%s\" may use %" PRId64
			 " of %s, all instances have %" PRId64,
			 w->name, cap, what, capacity);
	else if ((double)cap < share)
		lint_add(l, LINT_WARNING, "cap-below-share",
			 CONFIG_FIELD_WORKSPACE_CAP, index, false,
			 "workspace \"%s\" may use %" PRId64
			 " of %s; its weight %u of %" PRIu64
			 " is a share of %.0f",
			 w->name, cap, what, w->weight, weights, share);
}

static void check_cap(struct lint *l, struct lint_name *tasks, uint32_t index,
		      uint64_t weights)
{
	const struct config_workspace *w = &l->c->workspaces[index];
	const struct amount *total = &l->facts->capacity;
	const struct lint_name *n = lint_name_find(l, tasks, w->name);
	struct amount task = { 0, 0, 0 };

	if (n)
		task = l->facts->tasks[n->index].amount;
	check_cap_of(l, index, "CPU", w->cap.cpu, task.cpu, total->cpu,
		     weights);
	check_cap_of(l, index, "memory", w->cap.mem, task.mem, total->mem,
		     weights);
	check_cap_of(l, index, "accelerators", w->cap.gpu, task.gpu, total->gpu,
		     weights);
}

static void check_workspaces(struct lint *l)
{
	struct lint_name *names = NULL, *keys = NULL, *tasks = NULL;
	uint64_t weights = 0;
	bool is_new;
	uint32_t i, k;

	for (i = 0; i < l->facts->task_count; i++)
		lint_name_add(l, &tasks, l->facts->tasks[i].workspace, i,
			      &is_new);
	for (i = 0; i < l->c->workspace_count; i++)
		weights += l->c->workspaces[i].weight;
	for (i = 0; i < l->c->workspace_count; i++) {
		const struct config_workspace *w = &l->c->workspaces[i];

		check_name(l, &names, "workspace", w->name, i,
			   CONFIG_FIELD_WORKSPACE_NAME,
			   "its cap and weight are those of the first");
		if (!w->key_count)
			lint_add(l, LINT_WARNING, "no-keys",
				 CONFIG_FIELD_WORKSPACE_KEYS, i, false,
				 "workspace \"%s\" has no key: no call counts "
				 "for it",
				 w->name);
		for (k = 0; k < w->key_count; k++)
			check_key(l, &keys, i, k);
		if (!w->weight)
			lint_add(l, LINT_WARNING, "weight-zero",
				 CONFIG_FIELD_WORKSPACE_WEIGHT, i, false,
				 "workspace \"%s\" has weight 0 or none: "
				 "admission "
				 "takes a default instead, and the order of "
				 "tasks holds it to no share",
				 w->name);
		check_cap(l, tasks, i, weights);
	}
	for (i = 0; !keys && i < l->c->queue_count; i++)
		if (!l->c->queues[i].is_public) {
			lint_add(l, LINT_ERROR, "no-keys",
				 CONFIG_FIELD_WORKSPACES, 0, false,
				 "no workspace has a key: every call of queue "
				 "\"%s\" gets 401",
				 l->c->queues[i].name);
			break;
		}
	HASH_CLEAR(hh, names);
	HASH_CLEAR(hh, keys);
	HASH_CLEAR(hh, tasks);
}

/* Limits on requests */

/* Bytes of the headers of the longest request that the configuration allows */
static uint64_t header_bytes_needed(const struct config *c)
{
	size_t address = 0, key = 0, n;
	uint32_t i, k;

	for (i = 0; i < c->queue_count; i++) {
		n = strlen(c->queues[i].host) + strlen(c->queues[i].prefix);
		if (n > address)
			address = n;
	}
	for (i = 0; i < c->workspace_count; i++)
		for (k = 0; k < c->workspaces[i].key_count; k++) {
			n = strlen(c->workspaces[i].keys[k]);
			if (n > key)
				key = n;
		}
	return HEADERS_BASE_BYTES + JOB_ID_BYTES + address + key;
}

static void check_limits(struct lint *l)
{
	const struct config_limits *limits = &l->c->limits;
	uint64_t headers = header_bytes_needed(l->c);

	if (limits->header_bytes < headers)
		lint_add(l, LINT_WARNING, "headers-small",
			 CONFIG_FIELD_HEADER_BYTES, 0, false,
			 "%u bytes of headers are allowed, a request may need "
			 "%" PRIu64,
			 limits->header_bytes, headers);
	if (limits->body_bytes < JOB_PAYLOAD_MAX + JOB_BASE_BYTES)
		lint_add(l, LINT_WARNING, "body-small", CONFIG_FIELD_BODY_BYTES,
			 0, false,
			 "%u bytes of a body are allowed; a job of one step "
			 "with a task's text of %u bytes needs %u",
			 limits->body_bytes, JOB_PAYLOAD_MAX,
			 JOB_PAYLOAD_MAX + JOB_BASE_BYTES);
	if (limits->header_timeout_ms > limits->idle_timeout_ms)
		lint_add(l, LINT_WARNING, "header-timeout",
			 CONFIG_FIELD_HEADER_TIMEOUT, 0, false,
			 "headers may take %u ms, but a connection without "
			 "traffic is closed after %u ms",
			 limits->header_timeout_ms, limits->idle_timeout_ms);
}

/* What could not be checked */

static void report_unchecked(struct lint *l)
{
	if (!l->facts->has_tasks)
		lint_add(l, LINT_INFO, "not-checked", CONFIG_FIELD_WORKSPACES,
			 0, false,
			 "not checked: caps against the largest task of each "
			 "workspace, which is not known");
	if (!l->facts->has_capacity)
		lint_add(l, LINT_INFO, "not-checked", CONFIG_FIELD_WORKSPACES,
			 0, false,
			 "not checked: caps against the capacity of all "
			 "instances and shares of it, which is not known");
	if (!l->facts->caller_wait_ms)
		lint_add(l, LINT_INFO, "not-checked", CONFIG_FIELD_QUEUES, 0,
			 false,
			 "not checked: timeouts against the time that callers "
			 "wait, which is not known");
	if (!l->in_force)
		lint_add(l, LINT_INFO, "not-checked", CONFIG_FIELD_VERSION, 0,
			 false,
			 "not checked: differences from the version in force, "
			 "which is not known");
}

struct lint_report *config_lint(TALLOC_CTX *ctx, const struct config *c,
				const struct config *in_force,
				const struct lint_facts *facts)
{
	struct lint l = { .c = c, .in_force = in_force, .facts = facts };
	struct lint_name *pools;

	l.report = talloc_zero(ctx, struct lint_report);
	assert(l.report);
	pools = list_pools(&l);
	check_queues(&l, pools);
	check_pools_used(&l, pools);
	HASH_CLEAR(hh, pools);
	check_workspaces(&l);
	check_limits(&l);
	if (in_force)
		lint_differences(&l);
	report_unchecked(&l);
	return l.report;
}
