/*
 * front - serves callers' requests, one front per thread
 *
 * A front runs a server for callers and a client for workers on one event
 * loop. The core, on any thread, puts messages into the front's queue to say
 * which of its requests start and which are refused.
 */
#include <assert.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "entry/front_internal.h"
#include "process/clock.h"
#include "process/log.h"

/* A job that waited longer starts only if its caller has not hung up. */
#define HANG_UP_CHECK_MS 10
#define FRONT_IDLE_TIMEOUT_MS 75000u /* for callers' connections */
#define FRONT_HEADER_TIMEOUT_MS 30000u
#define FRONT_BODIES_MIN 4u /* of the largest size that are held at once */
#define RUN_PREFIX "/run/"

/* Configuration */

static void refresh_cfg(struct front *f)
{
	struct entry *e = f->entry;
	struct cfg *old = f->cfg;

	if (old->version == atomic_load(&e->cfg_version))
		return;
	pthread_mutex_lock(&e->core_lock);
	f->cfg = cfg_ref(e->cfg);
	pthread_mutex_unlock(&e->core_lock);
	cfg_unref(old);
}

/* Messages from the core */

static void enqueue(struct request *r, enum front_message kind)
{
	struct front *f = r->front;
	uint64_t one = 1;
	bool first;

	pthread_mutex_lock(&f->message_lock);
	first = !f->messages;
	r->message = kind;
	r->next_message = NULL;
	*f->messages_tail = r;
	f->messages_tail = &r->next_message;
	pthread_mutex_unlock(&f->message_lock);
	if (first && f != front_in_core &&
	    write(f->message_fd, &one, sizeof(one)) < 0)
		abort(); /* the write can't fail on an empty eventfd */
}

void front_start(void *arg, struct job *job)
{
	(void)arg;
	enqueue((struct request *)job, FRONT_MESSAGE_START);
}

void front_refuse(void *arg, struct job *job, enum job_refusal refusal)
{
	struct request *r = (struct request *)job;

	(void)arg;
	r->refusal = refusal;
	enqueue(r, FRONT_MESSAGE_REFUSE);
}

static void start_job(struct request *r)
{
	bool waited = r->job.started_ms > r->job.arrived_ms + HANG_UP_CHECK_MS;

	if (!waited || !httpd_hung_up(r->http)) {
		front_send_to_worker(r);
		return;
	}
	/* If the core retries, the next start finds the hang-up as well. */
	if (front_end_attempt(r, JOB_NOT_SENT) == CORE_FINISHED)
		front_finish_refused(r, JOB_REFUSED_HUNG_UP);
}

static struct request *take_messages(struct front *f, bool *stop)
{
	struct request *messages;

	pthread_mutex_lock(&f->message_lock);
	messages = f->messages;
	f->messages = NULL;
	f->messages_tail = &f->messages;
	*stop = f->stop;
	pthread_mutex_unlock(&f->message_lock);
	return messages;
}

static void process_list(struct request *r)
{
	struct request *next;

	for (; r; r = next) {
		next = r->next_message;
		if (r->message == FRONT_MESSAGE_START)
			start_job(r);
		else
			front_finish_refused(r, r->refusal);
	}
}

void front_process_messages(struct front *f)
{
	struct request *messages;
	bool stop;

	refresh_cfg(f);
	/* Processing may enqueue further messages without a wake-up. */
	while ((messages = take_messages(f, &stop)))
		process_list(messages);
	if (stop && !f->stopped) {
		f->stopped = true;
		httpd_stop_accepting(f->server);
	}
}

static void on_messages(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *arg)
{
	struct front *f = arg;
	uint64_t count;

	(void)ev;
	(void)fde;
	(void)flags;
	if (read(f->message_fd, &count, sizeof(count)) > 0)
		front_process_messages(f);
}

/* Requests from callers */

static void refuse_now(struct front *f, struct httpd_request *http,
		       unsigned int code, const char *reason)
{
	front_send_text(f, http, code, OUTCOME_NOT_RUN, reason);
}

static const char *bearer_token(const struct httpd_request *http)
{
	const char *value = httpd_header(http, "Authorization");

	if (!value || strncasecmp(value, "Bearer ", 7))
		return NULL;
	return value + 7;
}

static void on_health(struct front *f, struct httpd_request *http)
{
	enum entry_state state = entry_state(f->entry);
	bool live = !strcmp(http->path, "/healthz");
	unsigned int code = live || state == ENTRY_SERVING ? 200 : 503;
	struct httpd_answer answer = { .code = code };

	answer.body = strdup(code == 200 ? "ok\n" : "not ready\n");
	answer.body_length = strlen(answer.body);
	httpd_answer(http, &answer);
}

/* Parses "/run/QUEUE/SUFFIX"; false when there is no valid queue name. */
static bool split_path(struct request *r)
{
	const char *path = r->http->path;
	size_t n;

	if (strncmp(path, RUN_PREFIX, strlen(RUN_PREFIX)))
		return false;
	path += strlen(RUN_PREFIX);
	n = strcspn(path, "/");
	if (!n || n > CFG_NAME_MAX)
		return false;
	memcpy(r->job.queue, path, n);
	r->job.queue[n] = '\0';
	r->path_suffix = path + n;
	return true;
}

/* Determines the request's team. Returns an HTTP status, 0 for success. */
static unsigned int authenticate(struct request *r,
				 const struct cfg_queue *queue,
				 const char **reason)
{
	const struct front *f = r->front;
	const char *text = bearer_token(r->http);
	const struct cfg_key *key;

	if (!text && queue->open) {
		r->job.team = queue->team;
		return 0;
	}
	key = text ? key_check(&f->entry->hasher, f->cfg, text) : NULL;
	if (!key) {
		*reason = "no valid key";
		return 401;
	}
	if (queue->team.i != INTERN_NONE && queue->team.i != key->team.i) {
		*reason = "the queue belongs to another team";
		return 403;
	}
	r->job.team = key->team;
	memcpy(r->job.key_hash, key->hash, CFG_HASH_BYTES);
	snprintf(r->job.key, sizeof(r->job.key), "%s", key->name);
	return 0;
}

/* Fills in the job. Returns an HTTP status, 0 for success. */
static unsigned int prepare(struct request *r, const char **reason)
{
	const struct front *f = r->front;
	const struct cfg_queue *queue;
	struct job *job = &r->job;
	unsigned int code;

	if (!split_path(r) || !(queue = cfg_find_queue(f->cfg, job->queue))) {
		*reason = "no such queue";
		return 404;
	}
	code = authenticate(r, queue, reason);
	if (code)
		return code;
	job->pool = queue->pool;
	job->class = queue->class;
	job->idempotent = queue->idempotent;
	job->run_max_ms = queue->run_max_ms;
	job->arrived_ms = clock_now_ms();
	job->deadline_ms = job->arrived_ms + queue->wait_max_ms;
	job->bytes = (uint32_t)(r->http->body_length + sizeof(*r));
	job->checked_version = f->cfg->version;
	return 0;
}

static void submit(struct request *r)
{
	struct front *f = r->front;
	struct entry *e = f->entry;
	enum job_refusal refusal;
	bool accepted;

	front_in_core = f;
	pthread_mutex_lock(&e->core_lock);
	accepted = core_submit(e->core, &r->job, clock_now_ms(), &refusal);
	pthread_mutex_unlock(&e->core_lock);
	front_in_core = NULL;
	if (!accepted)
		front_finish_refused(r, refusal);
	front_process_messages(f);
}

static void on_request(void *arg, struct httpd_request *http)
{
	struct front *f = arg;
	struct request *r;
	const char *reason = "";
	unsigned int code;

	if (!strcmp(http->path, "/healthz") || !strcmp(http->path, "/readyz")) {
		on_health(f, http);
		return;
	}
	refresh_cfg(f);
	if (entry_state(f->entry) == ENTRY_STARTING) {
		refuse_now(f, http, 503, "the entry is starting");
		return;
	}
	r = calloc(1, sizeof(*r));
	assert(r);
	r->front = f;
	r->http = http;
	atomic_fetch_add(&f->pending, 1);
	code = prepare(r, &reason);
	if (!code) {
		submit(r);
		return;
	}
	refuse_now(f, http, code, reason);
	front_request_free(r);
}

/* Thread */

/* This front's part of what requests may hold, but a few at least. */
static struct budget *front_budget(struct front *f)
{
	const struct settings *s = f->entry->settings;
	struct budget_options options = {
		.bytes_max = ((size_t)s->waiting_mib << 20) / s->threads,
		.connections_max = s->connections_max / s->threads + 1,
	};
	size_t least = ((size_t)s->body_max_kib << 10) * FRONT_BODIES_MIN;

	if (options.bytes_max < least)
		options.bytes_max = least;
	return budget_new(f, &options);
}

static bool front_listen(struct front *f)
{
	const struct settings *s = f->entry->settings;
	char ip[INET_ADDRSTRLEN];
	struct httpd_options options = {
		.address = ip,
		.limits = {
			.body_max = (size_t)s->body_max_kib << 10,
			.header_timeout_ms = FRONT_HEADER_TIMEOUT_MS,
			.idle_timeout_ms = FRONT_IDLE_TIMEOUT_MS,
		},
		.handler = on_request,
		.arg = f,
	};

	options.budget = front_budget(f);
	settings_address(s->callers, ip, &options.port);
	f->server = httpd_new(f, f->ev, &options);
	return f->server != NULL;
}

/* This front's part of the connections to a worker, shared by all fronts. */
static uint32_t connections_per_worker(const struct settings *s)
{
	uint32_t part = s->worker_connections / (s->entries_max * s->threads);

	return part ? part : 1;
}

static void *front_run(void *arg)
{
	struct front *f = arg;

	while (!(f->stopped && !atomic_load(&f->pending) &&
		 !httpd_pending(f->server)))
		tevent_loop_once(f->ev);
	return NULL;
}

struct front *front_new(struct entry *e, uint32_t index)
{
	struct front *f = talloc_zero(NULL, struct front);
	const struct settings *s = e->settings;

	assert(f);
	f->entry = e;
	f->index = index;
	f->cfg = cfg_ref(e->cfg);
	f->messages_tail = &f->messages;
	pthread_mutex_init(&f->message_lock, NULL);
	f->ev = tevent_context_init(f);
	f->message_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	f->client = httpc_new(f, f->ev, s->connections_max,
			      connections_per_worker(s));
	if (!f->ev || f->message_fd < 0 || !f->client || !front_listen(f) ||
	    !tevent_add_fd(f->ev, f, f->message_fd, TEVENT_FD_READ, on_messages,
			   f) ||
	    pthread_create(&f->thread, NULL, front_run, f)) {
		talloc_free(f);
		return NULL;
	}
	return f;
}

void front_stop_accepting(struct front *f)
{
	uint64_t one = 1;

	pthread_mutex_lock(&f->message_lock);
	f->stop = true;
	pthread_mutex_unlock(&f->message_lock);
	if (write(f->message_fd, &one, sizeof(one)) < 0)
		abort();
}

uint32_t front_pending(const struct front *f)
{
	return atomic_load(&f->pending);
}

void front_join(struct front *f)
{
	uint64_t one = 1;

	if (write(f->message_fd, &one, sizeof(one)) < 0)
		abort();
	pthread_join(f->thread, NULL);
	close(f->message_fd);
	cfg_unref(f->cfg);
	talloc_free(f);
}

void front_print_metrics(struct entry *e, FILE *out)
{
	uint32_t i;
	int o;

	for (o = OUTCOME_ANSWERED; o <= OUTCOME_UNKNOWN; o++) {
		uint64_t sum = 0;

		for (i = 0; i < e->settings->threads; i++)
			sum += atomic_load(&e->fronts[i]->outcomes[o]);
		fprintf(out,
			"jackdawwell_requests_total{outcome=\"%s\"} %" PRIu64
			"\n",
			outcome_name((enum outcome)o), sum);
	}
}
