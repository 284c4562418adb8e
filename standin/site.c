/*
 * site - stand-in for the users' platform: store, machines and workers
 *
 * One process serves the platform's store and its machine service on one port,
 * and each worker on a port of its own. The payload of a task starts with its
 * run time in milliseconds; "0" runs until it is stopped.
 * Tests inject faults and operators' writes with a POST to /control:
 *	down		true: the store and the machine service answer 503
 *	mute		table whose feeds are not answered; "": none
 *	lose		number of transactions whose answer is lost after the
 *			commit
 *	page		maximum number of rows in the answer to one read
 *	row_bytes	maximum size of a value, in bytes before base64
 *	forget		true: drops the history so far, so that a feed from an
 *			older revision is answered with 410
 *	crash		name of a worker that loses all state and does not
 *			answer for 2 s
 *	reborn		name of a worker that loses all state and is back after
 *			down_ms under its id; it leaves a poll unanswered, and
 *			its entry is replaced only after listed_ms
 *	put		{"table", "key", "value"}: writes a row as an operator
 *	remove		{"table", "key"}: removes a row as an operator
 * The answer has now_ms, the time of the machine's monotonic clock.
 * GET /record lists what the workers ran: [task, run, worker, begin, end, how,
 * noted] in milliseconds of the machine's monotonic clock; end is 0 while it
 * runs. noted is when the end was acknowledged; 0 if it wasn't, or only after
 * the worker's lease had lapsed.
 * GET /lives lists the workers, as [worker, pool, zone, begin, end] for each
 * span in which one was listed and up.
 */
#include <argtable2.h>
#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <time.h>

#include "process/clock.h"
#include "process/mtimer.h"
#include "standin/serve.h"

#define WORKERS_MAX 512
#define RUNNING_MAX 256 /* tasks of one worker at a time */
#define NAME_MAX_BYTES 32
#define ENDS_PAGE 500u	  /* ends in one report */
#define TICK_MS 10u	  /* between checks for ended runs and due answers */
#define STOP_DELAY_MS 20u /* from a stop order to the end of the run */
#define CRASH_DOWN_MS 2000u
#define LEASE_MAX_MS 10000u  /* longer leases are shortened */
#define CLOCK_FIRST_MS 1000u /* a worker's clock at its start */
#define CAPACITY_CPU 16000   /* millicores of each worker */
#define CAPACITY_MEM 65536   /* MiB of each worker */
#define ROW_BYTES 65536u     /* unless /control sets row_bytes */
#define PAGE_ROWS 500u	     /* unless /control sets another page */
#define CHANGES_INITIAL 256u /* initial capacity */
#define LOST_ANSWER_MS 5000u /* from the commit to closing the connection */

struct site;

struct row {
	char *table;
	char *key;
	char *value; /* base64; NULL: deleted */
	uint64_t revision;
};

struct pending_feed {
	struct pending_feed *next;
	struct httpd_request *request;
	char *table;
	uint64_t after_revision; /* answered with the changes after this */
	uint64_t deadline_ms;	 /* then answered without any change */
};

struct running {
	char *task;
	uint64_t run;
	uint64_t start_ms;
	uint64_t end_ms;  /* 0: runs until stopped */
	uint64_t stop_ms; /* 0: not ordered to stop */
	json_t *record;	  /* its entry in site.record; borrowed */
};

struct worker {
	struct site *site;
	char name[NAME_MAX_BYTES];
	char pool[NAME_MAX_BYTES];
	char zone[NAME_MAX_BYTES];
	int port;
	uint64_t started_ms;
	uint64_t born_unix_ms;	/* the same, as time of day */
	uint64_t down_until_ms; /* 0: up */
	uint64_t register_ms;	/* when it writes its entry; 0: it is written */
	uint64_t fence;		/* highest fence received */
	uint64_t lease_until_ms; /* by its own clock */
	uint64_t last_end_seq;
	uint64_t lapsed_seq;   /* last end before the lease lapsed */
	json_t *ended;	       /* runs, as in a report, until acknowledged */
	json_t *ended_records; /* their entries in site.record */
	json_t *blocked;       /* task -> highest run that may not start */
	json_t *life;	       /* its entry in site.lives; NULL: not listed */
	uint32_t running_count;
	struct running running[RUNNING_MAX];
	struct httpd_request *poll_request; /* unanswered poll, or NULL */
	uint64_t poll_deadline_ms;
	struct httpd_request *lost_poll; /* never answered; or NULL */
	uint64_t lost_poll_end_ms;	 /* when its connection is closed */
};

struct site {
	struct tevent_context *ev;
	struct mtimer *tick;
	uint32_t row_count;
	struct row *rows;
	uint32_t change_count, change_capacity;
	struct row *changes; /* of all rows so far, oldest first */
	uint64_t revision;
	struct pending_feed *pending_feeds;
	json_t *record;
	json_t *lives;
	bool down;
	char *muted_table; /* its feeds are not answered; may be NULL */
	uint32_t answers_to_lose;
	uint32_t row_bytes;	/* maximum size of a value */
	uint32_t page_rows;	/* maximum in the answer to a read */
	uint64_t history_start; /* feeds from an older revision get 410 */
	uint64_t transactions, reads, rows_read;
	int worker_count;
	struct worker workers[WORKERS_MAX];
};

/* Answers */

static void send_answer(struct httpd_request *request, unsigned int code,
			json_t *o)
{
	struct httpd_answer answer = { .code = code };

	if (o) {
		answer.body = json_dumps(o, JSON_COMPACT);
		answer.body_length = strlen(answer.body);
	}
	json_decref(o);
	httpd_answer(request, &answer);
}

static const char *get_text(const json_t *o, const char *field)
{
	const char *t = json_string_value(json_object_get(o, field));

	return t ? t : "";
}

static uint64_t get_number(const json_t *o, const char *field)
{
	return (uint64_t)json_integer_value(json_object_get(o, field));
}

/* Rows */

static struct row *find_row(struct site *s, const char *table, const char *key)
{
	uint32_t i;

	for (i = 0; i < s->row_count; i++)
		if (!strcmp(s->rows[i].table, table) &&
		    !strcmp(s->rows[i].key, key))
			return &s->rows[i];
	return NULL;
}

/* A feed sends every change of a row, not only its newest value. */
static void add_change(struct site *s, const struct row *r)
{
	struct row *c;

	if (s->change_count == s->change_capacity) {
		s->change_capacity = s->change_capacity ? 2 * s->change_capacity
							: CHANGES_INITIAL;
		s->changes = talloc_realloc(s, s->changes, struct row,
					    s->change_capacity);
		assert(s->changes);
	}
	c = &s->changes[s->change_count++];
	*c = *r;
	c->value = r->value ? talloc_strdup(s, r->value) : NULL;
}

static void put_row(struct site *s, const char *table, const char *key,
		    const char *value)
{
	struct row *r = find_row(s, table, key);

	if (!r) {
		s->rows = talloc_realloc(s, s->rows, struct row,
					 s->row_count + 1);
		assert(s->rows);
		r = &s->rows[s->row_count++];
		memset(r, 0, sizeof(*r));
		r->table = talloc_strdup(s, table);
		r->key = talloc_strdup(s, key);
	}
	talloc_free(r->value);
	r->value = value ? talloc_strdup(s, value) : NULL;
	r->revision = s->revision;
	add_change(s, r);
}

static json_t *encode_row(const struct row *r)
{
	json_t *o = json_pack("{s:s, s:s, s:s, s:s, s:I}", "table", r->table,
			      "part", "", "key", r->key, "value",
			      r->value ? r->value : "", "revision",
			      (json_int_t)r->revision);

	if (!r->value)
		json_object_set_new(o, "tombstone", json_true());
	return o;
}

static json_t *encode_rows(struct site *s, json_t *rows, bool more)
{
	return json_pack("{s:o, s:b, s:I, s:I}", "rows", rows, "hasMore", more,
			 "revision", (json_int_t)s->revision, "nowMs",
			 (json_int_t)clock_now_ms());
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp((*(const struct row *const *)a)->key,
		      (*(const struct row *const *)b)->key);
}

static char *query_parameter(TALLOC_CTX *ctx, const char *q, const char *name)
{
	size_t n = strlen(name);
	const char *at = q;
	char *out, *to;

	while (at && (strncmp(at, name, n) || at[n] != '=')) {
		at = strchr(at, '&');
		at = at ? at + 1 : NULL;
	}
	if (!at)
		return talloc_strdup(ctx, "");
	out = to = talloc_strdup(ctx, at + n + 1);
	assert(out);
	for (at += n + 1; *at && *at != '&'; at++) {
		unsigned int c;

		if (*at == '%' && sscanf(at + 1, "%2x", &c) == 1) {
			*to++ = (char)c;
			at += 2;
		} else {
			*to++ = *at;
		}
	}
	*to = '\0';
	return out;
}

static void serve_rows_get(struct site *s, struct httpd_request *request)
{
	TALLOC_CTX *tmp = talloc_new(s);
	const char *table = query_parameter(tmp, request->query, "table");
	const char *from = query_parameter(tmp, request->query, "from");
	const char *to = query_parameter(tmp, request->query, "to");
	const struct row **found =
		talloc_array(tmp, const struct row *, s->row_count + 1);
	json_t *rows = json_array();
	uint32_t count = 0;
	uint32_t i;

	s->reads++;
	for (i = 0; i < s->row_count; i++) {
		const struct row *r = &s->rows[i];

		if (r->value && !strcmp(r->table, table) &&
		    strcmp(r->key, from) >= 0 &&
		    (!*to || strcmp(r->key, to) < 0))
			found[count++] = r;
	}
	qsort(found, count, sizeof(*found), compare_keys);
	for (i = 0; i < count && i < s->page_rows; i++)
		json_array_append_new(rows, encode_row(found[i]));
	s->rows_read += json_array_size(rows);
	send_answer(request, 200, encode_rows(s, rows, count > s->page_rows));
	talloc_free(tmp);
}

/* Relies on s->changes being sorted by revision. */
static json_t *changes_after(struct site *s, const char *table, uint64_t after)
{
	json_t *rows = json_array();
	uint32_t i = s->change_count;

	while (i && s->changes[i - 1].revision > after)
		i--;
	for (; i < s->change_count; i++)
		if (!strcmp(s->changes[i].table, table))
			json_array_append_new(rows, encode_row(&s->changes[i]));
	return rows;
}

static void answer_feeds(struct site *s, uint64_t now)
{
	struct pending_feed **at = &s->pending_feeds;
	struct pending_feed *feed;

	while ((feed = *at)) {
		json_t *rows;

		if (s->muted_table && !strcmp(feed->table, s->muted_table)) {
			at = &feed->next;
			continue;
		}
		rows = changes_after(s, feed->table, feed->after_revision);

		if (!json_array_size(rows) && now < feed->deadline_ms &&
		    !s->down) {
			json_decref(rows);
			at = &feed->next;
			continue;
		}
		*at = feed->next;
		send_answer(feed->request, 200, encode_rows(s, rows, false));
		talloc_free(feed);
	}
}

static void serve_rows_feed(struct site *s, struct httpd_request *request)
{
	struct pending_feed *feed = talloc_zero(s, struct pending_feed);

	assert(feed);
	s->reads++;
	feed->request = request;
	feed->table = query_parameter(feed, request->query, "table");
	feed->after_revision = strtoull(
		query_parameter(feed, request->query, "after"), NULL, 10);
	if (feed->after_revision && feed->after_revision < s->history_start) {
		talloc_free(feed);
		send_answer(request, 410, NULL);
		return;
	}
	feed->deadline_ms =
		clock_now_ms() +
		strtoull(query_parameter(feed, request->query, "waitMs"), NULL,
			 10);
	feed->next = s->pending_feeds;
	s->pending_feeds = feed;
	answer_feeds(s, clock_now_ms());
}

/* False if any condition fails. Appends the current row of each to rows. */
static bool check_conditions(struct site *s, const json_t *conditions,
			     json_t *rows)
{
	bool all_hold = true;
	size_t i;

	for (i = 0; i < json_array_size(conditions); i++) {
		const json_t *c = json_array_get(conditions, i);
		struct row *r =
			find_row(s, get_text(c, "table"), get_text(c, "key"));
		uint64_t revision = r && r->value ? r->revision : 0;

		if (revision != get_number(c, "revision"))
			all_hold = false;
		if (revision)
			json_array_append_new(rows, encode_row(r));
	}
	return all_hold;
}

static void close_unanswered(void *arg)
{
	struct httpd_request *request = arg;

	shutdown(httpd_descriptor(request), SHUT_RDWR);
	send_answer(request, 500, NULL);
}

/* Whether no value is larger than a row may be; they are in base64. */
static bool check_sizes(const struct site *s, const json_t *puts)
{
	size_t i;

	for (i = 0; i < json_array_size(puts); i++)
		if (strlen(get_text(json_array_get(puts, i), "value")) / 4 * 3 >
		    s->row_bytes)
			return false;
	return true;
}

static void serve_rows_tx(struct site *s, struct httpd_request *request,
			  const json_t *o)
{
	json_t *rows = json_array();
	const json_t *puts = json_object_get(o, "setKeys");
	const json_t *deletes = json_object_get(o, "remove");
	size_t i;

	s->transactions++;
	if (!check_sizes(s, puts)) {
		json_decref(rows);
		send_answer(request, 400, json_object());
		return;
	}
	if (!check_conditions(s, json_object_get(o, "precondition"), rows)) {
		send_answer(request, 412, encode_rows(s, rows, false));
		return;
	}
	json_decref(rows);
	s->revision++;
	for (i = 0; i < json_array_size(puts); i++) {
		const json_t *p = json_array_get(puts, i);

		put_row(s, get_text(p, "table"), get_text(p, "key"),
			get_text(p, "value"));
	}
	for (i = 0; i < json_array_size(deletes); i++) {
		const json_t *d = json_array_get(deletes, i);

		if (find_row(s, get_text(d, "table"), get_text(d, "key")))
			put_row(s, get_text(d, "table"), get_text(d, "key"),
				NULL);
	}
	answer_feeds(s, clock_now_ms());
	if (s->answers_to_lose) {
		s->answers_to_lose--;
		serve_after(s, s->ev, LOST_ANSWER_MS, close_unanswered,
			    request);
		return;
	}
	send_answer(request, 200,
		    json_pack("{s:I, s:I}", "revision", (json_int_t)s->revision,
			      "nowMs", (json_int_t)clock_now_ms()));
}

/* Workers */

/* A worker's clock starts anew with it. */
static uint64_t worker_clock_ms(const struct worker *w, uint64_t now)
{
	return now - w->started_ms + CLOCK_FIRST_MS;
}

static void set_started(struct worker *w, uint64_t now)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	w->started_ms = now;
	w->born_unix_ms =
		(uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void extend_lease(struct worker *w, uint64_t deadline_ms, uint64_t now)
{
	uint64_t clock_ms = worker_clock_ms(w, now);
	uint64_t longest_ms = clock_ms + LEASE_MAX_MS;

	if (clock_ms >= w->lease_until_ms)
		w->lapsed_seq = w->last_end_seq;
	if (deadline_ms > longest_ms)
		deadline_ms = longest_ms;
	if (deadline_ms > w->lease_until_ms)
		w->lease_until_ms = deadline_ms;
}

static void register_worker(struct worker *w)
{
	json_t *o = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:I, s:{s:i, s:i, s:i}, s:[s, s]}",
		"service", w->pool, "address", "", "zone", w->zone, "state",
		"ready", "machine", w->name, "born",
		(json_int_t)w->born_unix_ms, "capacity", "cpu", CAPACITY_CPU,
		"memMb", CAPACITY_MEM, "gpu", 0, "labels", "a", "r1");
	char address[64];
	char *dump;
	char encoded[2048];

	snprintf(address, sizeof(address), "127.0.0.1:%d", w->port);
	json_object_set_new(o, "address", json_string(address));
	dump = json_dumps(o, JSON_COMPACT);
	assert(dump);
	sodium_bin2base64(encoded, sizeof(encoded), (unsigned char *)dump,
			  strlen(dump), sodium_base64_VARIANT_ORIGINAL);
	w->site->revision++;
	put_row(w->site, "servers", w->name, encoded);
	free(dump);
	json_decref(o);
	w->life = json_pack("[s, s, s, I, i]", w->name, w->pool, w->zone,
			    (json_int_t)clock_now_ms(), 0);
	json_array_append_new(w->site->lives, w->life);
}

static void end_run(struct worker *w, uint32_t i, const char *how, uint64_t now)
{
	struct running *r = &w->running[i];

	json_array_append_new(w->ended,
			      json_pack("[I, s, I, s, s]",
					(json_int_t)++w->last_end_seq, r->task,
					(json_int_t)r->run, how, ""));
	json_array_append(w->ended_records, r->record);
	json_object_set_new(w->blocked, r->task,
			    json_integer((json_int_t)r->run));
	json_array_set_new(r->record, 4, json_integer((json_int_t)now));
	json_array_set_new(r->record, 5, json_string(how));
	talloc_free(r->task);
	w->running[i] = w->running[--w->running_count];
}

static json_t *encode_report(struct worker *w, uint64_t now)
{
	json_t *running = json_array();
	json_t *ended = json_array();
	uint32_t i;

	for (i = 0; i < json_array_size(w->ended) && i < ENDS_PAGE; i++)
		json_array_append(ended, json_array_get(w->ended, i));
	for (i = 0; i < w->running_count; i++)
		json_array_append_new(
			running,
			json_pack("[s, I, s, i, i]", w->running[i].task,
				  (json_int_t)w->running[i].run, "", 100, 0));
	return json_pack("{s:I, s:I, s:o, s:o}", "clockMs",
			 (json_int_t)worker_clock_ms(w, now), "born",
			 (json_int_t)w->born_unix_ms, "running", running,
			 "ended", ended);
}

static void answer_poll(struct worker *w, uint64_t now)
{
	struct httpd_request *request = w->poll_request;

	w->poll_request = NULL;
	send_answer(request, 200, encode_report(w, now));
}

static void worker_tick(struct worker *w, uint64_t now)
{
	uint32_t i;

	if (w->down_until_ms && now >= w->down_until_ms) {
		w->down_until_ms = 0;
		set_started(w, now);
	}
	if (w->register_ms && now >= w->register_ms) {
		w->register_ms = 0;
		register_worker(w);
	}
	if (w->lost_poll && now >= w->lost_poll_end_ms) {
		shutdown(httpd_descriptor(w->lost_poll), SHUT_RDWR);
		send_answer(w->lost_poll, 503, NULL);
		w->lost_poll = NULL;
	}
	for (i = 0; i < w->running_count;) {
		struct running *r = &w->running[i];

		if (r->end_ms && now >= r->end_ms)
			end_run(w, i, "done", now);
		else if (r->stop_ms && now >= r->stop_ms)
			end_run(w, i, "stopped", now);
		else if (worker_clock_ms(w, now) >= w->lease_until_ms)
			end_run(w, i, "lapsed", now);
		else
			i++;
	}
	if (w->poll_request &&
	    (json_array_size(w->ended) || now >= w->poll_deadline_ms))
		answer_poll(w, now);
}

static void start_task(struct worker *w, struct httpd_request *request,
		       const json_t *o, uint64_t now)
{
	const char *task = get_text(o, "task");
	uint64_t run = get_number(o, "run");
	uint64_t clock_ms = worker_clock_ms(w, now);
	struct running *r;
	uint32_t i;

	for (i = 0; i < w->running_count; i++)
		if (!strcmp(w->running[i].task, task)) {
			bool same = w->running[i].run == run;

			send_answer(request, same ? 200 : 409,
				    json_pack("{s:I, s:s}", "clockMs",
					      (json_int_t)clock_ms, "reason",
					      "old"));
			return;
		}
	if (get_number(w->blocked, task) >= run ||
	    get_number(o, "deadlineMs") <= clock_ms) {
		send_answer(request, 409,
			    json_pack("{s:I, s:s}", "clockMs",
				      (json_int_t)clock_ms, "reason", "old"));
		return;
	}
	extend_lease(w, get_number(o, "deadlineMs"), now);
	assert(w->running_count < RUNNING_MAX);
	r = &w->running[w->running_count++];
	memset(r, 0, sizeof(*r));
	r->task = talloc_strdup(w->site, task);
	r->run = run;
	r->start_ms = now;
	i = (uint32_t)strtoul(get_text(o, "taskSpec"), NULL, 10);
	r->end_ms = i ? now + i : 0;
	r->record = json_pack("[s, I, s, I, i, s, i]", task, (json_int_t)run,
			      w->name, (json_int_t)now, 0, "", 0);
	json_array_append_new(w->site->record, r->record);
	send_answer(request, 200,
		    json_pack("{s:I}", "clockMs", (json_int_t)clock_ms));
}

static void stop_task(struct worker *w, struct httpd_request *request,
		      const json_t *o, uint64_t now)
{
	uint32_t i;

	json_object_set_new(w->blocked, get_text(o, "task"),
			    json_integer((json_int_t)get_number(o, "run")));
	for (i = 0; i < w->running_count; i++)
		if (!strcmp(w->running[i].task, get_text(o, "task")) &&
		    w->running[i].run == get_number(o, "run"))
			w->running[i].stop_ms = now + STOP_DELAY_MS;
	send_answer(request, 200,
		    json_pack("{s:I}", "clockMs",
			      (json_int_t)worker_clock_ms(w, now)));
}

static uint64_t first_end_seq(const struct worker *w)
{
	return (uint64_t)json_integer_value(
		json_array_get(json_array_get(w->ended, 0), 0));
}

static void forget_ends(struct worker *w, uint64_t acked, uint64_t now)
{
	while (json_array_size(w->ended) && first_end_seq(w) <= acked) {
		if (first_end_seq(w) > w->lapsed_seq)
			json_array_set_new(json_array_get(w->ended_records, 0),
					   6, json_integer((json_int_t)now));
		json_array_remove(w->ended, 0);
		json_array_remove(w->ended_records, 0);
	}
}

static void serve_poll(struct worker *w, struct httpd_request *request,
		       const json_t *o, uint64_t now)
{
	extend_lease(w, get_number(o, "deadlineMs"), now);
	forget_ends(w, get_number(o, "ackedUpto"), now);
	if (w->poll_request)
		answer_poll(w, now);
	w->poll_request = request;
	w->poll_deadline_ms = now + get_number(o, "waitMs");
	if (!get_number(o, "waitMs") || json_array_size(w->ended))
		answer_poll(w, now);
}

static void on_worker_request(void *arg, struct httpd_request *request)
{
	struct worker *w = arg;
	uint64_t now = clock_now_ms();
	json_t *o = json_loadb(request->body ? request->body : "",
			       request->body_length, 0, NULL);

	if (w->down_until_ms) {
		shutdown(httpd_descriptor(request), SHUT_RDWR);
		send_answer(request, 503, NULL);
	} else if (get_number(o, "fence") < w->fence) {
		send_answer(request, 409,
			    json_pack("{s:I, s:s}", "clockMs",
				      (json_int_t)worker_clock_ms(w, now),
				      "reason", "fence"));
	} else {
		w->fence = get_number(o, "fence");
		if (!strcmp(request->path, "/jackdawwell/run-start"))
			start_task(w, request, o, now);
		else if (!strcmp(request->path, "/jackdawwell/run-stop"))
			stop_task(w, request, o, now);
		else if (!strcmp(request->path, "/jackdawwell/hold"))
			serve_poll(w, request, o, now);
		else
			send_answer(
				request, 200,
				json_pack("{s:I}", "clockMs",
					  (json_int_t)worker_clock_ms(w, now)));
	}
	json_decref(o);
}

static struct worker *find_worker(struct site *s, const char *name)
{
	int i;

	for (i = 0; i < s->worker_count; i++)
		if (!strcmp(s->workers[i].name, name))
			return &s->workers[i];
	return NULL;
}

/* Ends all runs; the worker knows nothing of before when it is up again. */
static void lose_state(struct worker *w, uint64_t now, uint64_t down_ms)
{
	while (w->running_count) {
		struct running *r = &w->running[--w->running_count];

		json_array_set_new(r->record, 4, json_integer((json_int_t)now));
		json_array_set_new(r->record, 5, json_string("gone"));
		talloc_free(r->task);
	}
	if (w->life)
		json_array_set_new(w->life, 4, json_integer((json_int_t)now));
	w->life = NULL;
	json_array_clear(w->ended);
	json_array_clear(w->ended_records);
	json_object_clear(w->blocked);
	w->fence = w->lease_until_ms = 0;
	w->last_end_seq = w->lapsed_seq = 0;
	w->down_until_ms = now + down_ms;
}

static void crash_worker(struct site *s, const char *name, uint64_t now)
{
	struct worker *w = find_worker(s, name);

	if (!w)
		return;
	lose_state(w, now, CRASH_DOWN_MS);
	w->register_ms = w->down_until_ms;
	s->revision++;
	put_row(s, "servers", name, NULL);
}

static void restart_worker(struct site *s, const json_t *o, uint64_t now)
{
	struct worker *w = find_worker(s, get_text(o, "reborn"));

	if (!w)
		return;
	lose_state(w, now, get_number(o, "down_ms"));
	w->register_ms = now + get_number(o, "listed_ms");
	if (w->lost_poll)
		return;
	w->lost_poll = w->poll_request;
	w->lost_poll_end_ms = now + LOST_ANSWER_MS;
	w->poll_request = NULL;
}

/* Machines */

static void serve_machines(struct site *s, struct httpd_request *request)
{
	json_t *list = json_array();
	int i;

	for (i = 0; i < s->worker_count; i++) {
		const struct worker *w = &s->workers[i];

		json_array_append_new(
			list, json_pack("{s:s, s:s, s:s, s:s, s:[s, s], s:s}",
					"machine", w->name, "pool", w->pool,
					"zone", w->zone, "state",
					w->down_until_ms ? "down" : "up",
					"labels", "a", "r1", "id", w->name));
	}
	send_answer(request, 200,
		    json_pack("{s:o, s:n}", "machines", list, "nextToken"));
}

/* Both orders restart the machine: its worker crashes and comes back. */
static void order_machine(struct site *s, struct httpd_request *request,
			  const json_t *o, bool is_move)
{
	int i;

	for (i = 0; i < s->worker_count; i++)
		if (is_move &&
		    !strcmp(s->workers[i].name, get_text(o, "machine")))
			snprintf(s->workers[i].pool, sizeof(s->workers[i].pool),
				 "%s", get_text(o, "pool"));
	crash_worker(s, get_text(o, "machine"), clock_now_ms());
	send_answer(request, 200, json_object());
}

/* Control */

static void serve_control(struct site *s, struct httpd_request *request,
			  const json_t *o)
{
	const json_t *put = json_object_get(o, "put");
	const json_t *removed = json_object_get(o, "remove");
	char *encoded, *dump;
	size_t capacity;

	if (json_object_get(o, "down"))
		s->down = json_is_true(json_object_get(o, "down"));
	if (json_object_get(o, "mute")) {
		TALLOC_FREE(s->muted_table);
		if (*json_string_value(json_object_get(o, "mute")))
			s->muted_table = talloc_strdup(
				s,
				json_string_value(json_object_get(o, "mute")));
	}
	if (json_object_get(o, "page"))
		s->page_rows = (uint32_t)get_number(o, "page");
	if (json_object_get(o, "row_bytes"))
		s->row_bytes = (uint32_t)get_number(o, "row_bytes");
	if (json_is_true(json_object_get(o, "forget")))
		s->history_start = s->revision;
	if (json_object_get(o, "lose"))
		s->answers_to_lose = (uint32_t)get_number(o, "lose");
	if (json_object_get(o, "crash"))
		crash_worker(s, get_text(o, "crash"), clock_now_ms());
	if (json_object_get(o, "reborn"))
		restart_worker(s, o, clock_now_ms());
	if (put) {
		dump = json_dumps(json_object_get(put, "value"), JSON_COMPACT);
		assert(dump);
		capacity = sodium_base64_encoded_len(
			strlen(dump), sodium_base64_VARIANT_ORIGINAL);
		encoded = talloc_size(s, capacity);
		sodium_bin2base64(encoded, capacity, (unsigned char *)dump,
				  strlen(dump), sodium_base64_VARIANT_ORIGINAL);
		s->revision++;
		put_row(s, get_text(put, "table"), get_text(put, "key"),
			encoded);
		talloc_free(encoded);
		free(dump);
	}
	if (removed &&
	    find_row(s, get_text(removed, "table"), get_text(removed, "key"))) {
		s->revision++;
		put_row(s, get_text(removed, "table"), get_text(removed, "key"),
			NULL);
	}
	answer_feeds(s, clock_now_ms());
	send_answer(request, 200,
		    json_pack("{s:I, s:I, s:I, s:I, s:I}", "transactions",
			      (json_int_t)s->transactions, "reads",
			      (json_int_t)s->reads, "rows_read",
			      (json_int_t)s->rows_read, "revision",
			      (json_int_t)s->revision, "now_ms",
			      (json_int_t)clock_now_ms()));
}

static void on_request(void *arg, struct httpd_request *request)
{
	struct site *s = arg;
	json_t *o = json_loadb(request->body ? request->body : "",
			       request->body_length, 0, NULL);
	const char *path = request->path;

	if (!strcmp(path, "/control"))
		serve_control(s, request, o);
	else if (!strcmp(path, "/record"))
		send_answer(request, 200, json_deep_copy(s->record));
	else if (!strcmp(path, "/lives"))
		send_answer(request, 200, json_deep_copy(s->lives));
	else if (s->down)
		send_answer(request, 503, NULL);
	else if (!strcmp(path, "/jackdawwell/rows-tx"))
		serve_rows_tx(s, request, o);
	else if (!strcmp(path, "/jackdawwell/rows-get"))
		serve_rows_get(s, request);
	else if (!strcmp(path, "/jackdawwell/rows-feed"))
		serve_rows_feed(s, request);
	else if (!strcmp(path, "/jackdawwell/machines"))
		serve_machines(s, request);
	else if (!strcmp(path, "/jackdawwell/machine-move"))
		order_machine(s, request, o, true);
	else if (!strcmp(path, "/jackdawwell/machine-upkeep"))
		order_machine(s, request, o, false);
	else
		send_answer(request, 404, NULL);
	json_decref(o);
}

static void on_tick(void *arg)
{
	struct site *s = arg;
	uint64_t now = clock_now_ms();
	int i;

	for (i = 0; i < s->worker_count; i++)
		worker_tick(&s->workers[i], now);
	answer_feeds(s, now);
}

static bool add_worker(struct site *s, const char *pool, int port,
		       const char *zone)
{
	struct worker *w = &s->workers[s->worker_count];

	w->site = s;
	w->port = port;
	snprintf(w->name, sizeof(w->name), "w-%d", ++s->worker_count);
	snprintf(w->pool, sizeof(w->pool), "%s", pool);
	snprintf(w->zone, sizeof(w->zone), "%s", zone);
	set_started(w, clock_now_ms());
	w->ended = json_array();
	w->ended_records = json_array();
	w->blocked = json_object();
	register_worker(w);
	return serve_listen(s, s->ev, w->name, port, on_worker_request, w);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "N", "port of the store");
	struct arg_str *workers =
		arg_strn(NULL, NULL, "POOL:PORT[:ZONE]", 1, WORKERS_MAX,
			 "a worker; in az-1 if not given");
	struct arg_end *end = arg_end(8);
	void *arg_table[] = { port, workers, end };
	struct site *s;
	int i;

	if (arg_parse(argc, argv, arg_table)) {
		arg_print_errors(stderr, end, "site");
		return 2;
	}
	s = talloc_zero(NULL, struct site);
	assert(s && sodium_init() >= 0);
	s->ev = tevent_context_init(s);
	s->record = json_array();
	s->lives = json_array();
	s->page_rows = PAGE_ROWS;
	s->row_bytes = ROW_BYTES;
	if (!serve_listen(s, s->ev, "site", port->ival[0], on_request, s))
		return 1;
	for (i = 0; i < workers->count; i++) {
		char pool[NAME_MAX_BYTES];
		char zone[NAME_MAX_BYTES] = "az-1";
		int worker_port;

		if (sscanf(workers->sval[i], "%31[^:]:%d:%31s", pool,
			   &worker_port, zone) < 2 ||
		    !add_worker(s, pool, worker_port, zone))
			return 2;
	}
	s->tick = mtimer_new(s, s->ev, on_tick, s);
	mtimer_every(s->tick, TICK_MS);
	return tevent_loop_wait(s->ev);
}
