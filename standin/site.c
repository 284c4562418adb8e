/*
 * site - stand-in of the users' platform: store, machines and workers
 *
 * One process serves the platform's store and its list of machines on one
 * port, and each worker on a port of its own. A task runs as many
 * milliseconds as its text begins with; "0" lasts until it is stopped.
 * /control sets faults and writes what operators write; only tests use it:
 *	down		the store and the list answer 503
 *	mute		table whose feeds do not answer; "" ends it
 *	lose		transactions whose answer is lost after their effect
 *	page		rows of one answer at most
 *	forget		true: what changed so far is no longer in any feed
 *	crash		name of a worker: it forgets everything, for 2 s dark
 *	put		{"table", "key", "value"} as an operator's write
 * /record lists what workers ran: [task, run, worker, begin, end, how] in
 * milliseconds of the machine's monotonic clock; end 0 while it runs.
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

#include "process/clock.h"
#include "process/mtimer.h"
#include "standin/serve.h"

#define WORKERS_MAX 512
#define TICK_MS 10u
#define CRASH_MS 2000u
#define CAPACITY_CPU 16000
#define CAPACITY_MEM 65536
#define PAGE_ROWS 500u
#define CHANGES_FIRST 256u
#define LOST_MS 5000u /* until a lost answer closes its connection */

struct site;

struct row {
	char *table;
	char *key;
	char *value; /* base64, NULL once dropped */
	uint64_t revision;
};

struct feed_wait {
	struct feed_wait *next;
	struct httpd_request *request;
	char *table;
	uint64_t after;
	uint64_t until_ms;
};

struct running {
	char *task;
	uint64_t run;
	uint64_t begin_ms;
	uint64_t end_ms; /* 0: lasts */
	uint64_t stop_ms;
	json_t *record; /* borrowed */
};

struct worker {
	struct site *site;
	char name[32];
	char pool[32];
	int port;
	uint64_t born;
	uint64_t dark_until_ms;
	uint64_t fence;
	uint64_t lease_ms;
	uint64_t next_n;
	json_t *ended;	 /* rows as published */
	json_t *blocked; /* task -> highest run that may not start */
	uint32_t running_count;
	struct running running[256];
	struct httpd_request *looking;
	uint64_t look_until_ms;
};

struct site {
	struct tevent_context *ev;
	struct mtimer *tick;
	uint32_t row_count;
	struct row *rows;
	uint32_t change_count, change_room;
	struct row *changes; /* every one, oldest first */
	uint64_t revision;
	struct feed_wait *waits;
	json_t *record;
	bool down;
	char *mute; /* table whose feeds are silent, or NULL */
	uint32_t lose;
	uint32_t page;	    /* rows of one answer at most */
	uint64_t forgotten; /* feeds from before this revision are refused */
	uint64_t transactions, reads, rows_read;
	int worker_count;
	struct worker workers[WORKERS_MAX];
};

/* Answers */

static void reply(struct httpd_request *request, unsigned int code, json_t *o)
{
	struct httpd_answer answer = { .code = code };

	if (o) {
		answer.body = json_dumps(o, JSON_COMPACT);
		answer.body_length = strlen(answer.body);
	}
	json_decref(o);
	httpd_answer(request, &answer);
}

static const char *text(const json_t *o, const char *field)
{
	const char *t = json_string_value(json_object_get(o, field));

	return t ? t : "";
}

static uint64_t number(const json_t *o, const char *field)
{
	return (uint64_t)json_integer_value(json_object_get(o, field));
}

/* Rows */

static struct row *row_find(struct site *s, const char *table, const char *key)
{
	uint32_t i;

	for (i = 0; i < s->row_count; i++)
		if (!strcmp(s->rows[i].table, table) &&
		    !strcmp(s->rows[i].key, key))
			return &s->rows[i];
	return NULL;
}

/* Feeds bring every change of a row, not only its newest value. */
static void changes_add(struct site *s, const struct row *r)
{
	struct row *c;

	if (s->change_count == s->change_room) {
		s->change_room =
			s->change_room ? 2 * s->change_room : CHANGES_FIRST;
		s->changes = talloc_realloc(s, s->changes, struct row,
					    s->change_room);
		assert(s->changes);
	}
	c = &s->changes[s->change_count++];
	*c = *r;
	c->value = r->value ? talloc_strdup(s, r->value) : NULL;
}

static void row_put(struct site *s, const char *table, const char *key,
		    const char *value)
{
	struct row *r = row_find(s, table, key);

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
	changes_add(s, r);
}

static json_t *row_json(const struct row *r)
{
	json_t *o = json_pack("{s:s, s:s, s:s, s:s, s:I}", "table", r->table,
			      "part", "", "key", r->key, "value",
			      r->value ? r->value : "", "revision",
			      (json_int_t)r->revision);

	if (!r->value)
		json_object_set_new(o, "tombstone", json_true());
	return o;
}

static json_t *rows_reply(struct site *s, json_t *rows, bool more)
{
	return json_pack("{s:o, s:b, s:I, s:I}", "rows", rows, "hasMore", more,
			 "revision", (json_int_t)s->revision, "nowMs",
			 (json_int_t)clock_now_ms());
}

static int by_key(const void *a, const void *b)
{
	return strcmp((*(const struct row *const *)a)->key,
		      (*(const struct row *const *)b)->key);
}

static char *query(TALLOC_CTX *ctx, const char *q, const char *name)
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

static void rows_get(struct site *s, struct httpd_request *request)
{
	TALLOC_CTX *tmp = talloc_new(s);
	const char *table = query(tmp, request->query, "table");
	const char *from = query(tmp, request->query, "from");
	const char *to = query(tmp, request->query, "to");
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
	qsort(found, count, sizeof(*found), by_key);
	for (i = 0; i < count && i < s->page; i++)
		json_array_append_new(rows, row_json(found[i]));
	s->rows_read += json_array_size(rows);
	reply(request, 200, rows_reply(s, rows, count > s->page));
	talloc_free(tmp);
}

/* Changes are kept in the order of their revisions. */
static json_t *changes_after(struct site *s, const char *table, uint64_t after)
{
	json_t *rows = json_array();
	uint32_t i = s->change_count;

	while (i && s->changes[i - 1].revision > after)
		i--;
	for (; i < s->change_count; i++)
		if (!strcmp(s->changes[i].table, table))
			json_array_append_new(rows, row_json(&s->changes[i]));
	return rows;
}

static void feeds_wake(struct site *s, uint64_t now)
{
	struct feed_wait **at = &s->waits;
	struct feed_wait *w;

	while ((w = *at)) {
		json_t *rows;

		if (s->mute && !strcmp(w->table, s->mute)) {
			at = &w->next;
			continue;
		}
		rows = changes_after(s, w->table, w->after);

		if (!json_array_size(rows) && now < w->until_ms && !s->down) {
			json_decref(rows);
			at = &w->next;
			continue;
		}
		*at = w->next;
		reply(w->request, 200, rows_reply(s, rows, false));
		talloc_free(w);
	}
}

static void rows_feed(struct site *s, struct httpd_request *request)
{
	struct feed_wait *w = talloc_zero(s, struct feed_wait);

	assert(w);
	s->reads++;
	w->request = request;
	w->table = query(w, request->query, "table");
	w->after = strtoull(query(w, request->query, "after"), NULL, 10);
	if (w->after && w->after < s->forgotten) {
		talloc_free(w);
		reply(request, 410, NULL);
		return;
	}
	w->until_ms = clock_now_ms() +
		      strtoull(query(w, request->query, "waitMs"), NULL, 10);
	w->next = s->waits;
	s->waits = w;
	feeds_wake(s, clock_now_ms());
}

/* The first condition that does not hold makes the whole call conflict. */
static bool conditions_hold(struct site *s, const json_t *conditions,
			    json_t *rows)
{
	bool hold = true;
	size_t i;

	for (i = 0; i < json_array_size(conditions); i++) {
		const json_t *c = json_array_get(conditions, i);
		struct row *r = row_find(s, text(c, "table"), text(c, "key"));
		uint64_t revision = r && r->value ? r->revision : 0;

		if (revision != number(c, "revision"))
			hold = false;
		if (revision)
			json_array_append_new(rows, row_json(r));
	}
	return hold;
}

static void on_lost(void *arg)
{
	struct httpd_request *request = arg;

	shutdown(httpd_descriptor(request), SHUT_RDWR);
	reply(request, 500, NULL);
}

static void rows_tx(struct site *s, struct httpd_request *request,
		    const json_t *o)
{
	json_t *rows = json_array();
	const json_t *puts = json_object_get(o, "setKeys");
	const json_t *drops = json_object_get(o, "remove");
	size_t i;

	s->transactions++;
	if (!conditions_hold(s, json_object_get(o, "precondition"), rows)) {
		reply(request, 412, rows_reply(s, rows, false));
		return;
	}
	json_decref(rows);
	s->revision++;
	for (i = 0; i < json_array_size(puts); i++) {
		const json_t *p = json_array_get(puts, i);

		row_put(s, text(p, "table"), text(p, "key"), text(p, "value"));
	}
	for (i = 0; i < json_array_size(drops); i++) {
		const json_t *d = json_array_get(drops, i);

		if (row_find(s, text(d, "table"), text(d, "key")))
			row_put(s, text(d, "table"), text(d, "key"), NULL);
	}
	feeds_wake(s, clock_now_ms());
	if (s->lose) {
		s->lose--;
		serve_after(s, s->ev, LOST_MS, on_lost, request);
		return;
	}
	reply(request, 200,
	      json_pack("{s:I, s:I}", "revision", (json_int_t)s->revision,
			"nowMs", (json_int_t)clock_now_ms()));
}

/* Workers */

static void register_worker(struct worker *w)
{
	json_t *o = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:I, s:{s:i, s:i, s:i}, s:[s, s]}",
		"service", w->pool, "address", "", "zone", "az-1", "state",
		"ready", "machine", w->name, "born", (json_int_t)w->born,
		"capacity", "cpu", CAPACITY_CPU, "memMb", CAPACITY_MEM, "gpu",
		0, "labels", "a", "r1");
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
	row_put(w->site, "servers", w->name, encoded);
	free(dump);
	json_decref(o);
}

static void run_end(struct worker *w, uint32_t i, const char *how, uint64_t now)
{
	struct running *r = &w->running[i];

	json_array_append_new(
		w->ended, json_pack("[I, s, I, s, s]", (json_int_t)++w->next_n,
				    r->task, (json_int_t)r->run, how, ""));
	json_object_set_new(w->blocked, r->task,
			    json_integer((json_int_t)r->run));
	json_array_set_new(r->record, 4, json_integer((json_int_t)now));
	json_array_set_new(r->record, 5, json_string(how));
	talloc_free(r->task);
	w->running[i] = w->running[--w->running_count];
}

static json_t *lists_of(struct worker *w, uint64_t now)
{
	json_t *running = json_array();
	uint32_t i;

	for (i = 0; i < w->running_count; i++)
		json_array_append_new(
			running,
			json_pack("[s, I, s, i, i]", w->running[i].task,
				  (json_int_t)w->running[i].run, "", 100, 0));
	return json_pack("{s:I, s:I, s:o, s:O}", "clockMs", (json_int_t)now,
			 "born", (json_int_t)w->born, "running", running,
			 "ended", w->ended);
}

static void look_answer(struct worker *w, uint64_t now)
{
	struct httpd_request *request = w->looking;

	w->looking = NULL;
	reply(request, 200, lists_of(w, now));
}

static void worker_tick(struct worker *w, uint64_t now)
{
	uint32_t i;

	if (w->dark_until_ms && now >= w->dark_until_ms) {
		w->dark_until_ms = 0;
		register_worker(w);
	}
	for (i = 0; i < w->running_count;) {
		struct running *r = &w->running[i];

		if (r->end_ms && now >= r->end_ms)
			run_end(w, i, "done", now);
		else if (r->stop_ms && now >= r->stop_ms)
			run_end(w, i, "stopped", now);
		else if (now >= w->lease_ms)
			run_end(w, i, "lapsed", now);
		else
			i++;
	}
	if (w->looking &&
	    (json_array_size(w->ended) || now >= w->look_until_ms))
		look_answer(w, now);
}

static void start_task(struct worker *w, struct httpd_request *request,
		       const json_t *o, uint64_t now)
{
	const char *task = text(o, "task");
	uint64_t run = number(o, "run");
	struct running *r;
	uint32_t i;

	for (i = 0; i < w->running_count; i++)
		if (!strcmp(w->running[i].task, task)) {
			bool same = w->running[i].run == run;

			reply(request, same ? 200 : 409,
			      json_pack("{s:I, s:s}", "clockMs",
					(json_int_t)now, "reason", "old"));
			return;
		}
	if (number(w->blocked, task) >= run || number(o, "deadlineMs") <= now) {
		reply(request, 409,
		      json_pack("{s:I, s:s}", "clockMs", (json_int_t)now,
				"reason", "old"));
		return;
	}
	if (number(o, "deadlineMs") > w->lease_ms)
		w->lease_ms = number(o, "deadlineMs");
	assert(w->running_count < 256);
	r = &w->running[w->running_count++];
	memset(r, 0, sizeof(*r));
	r->task = talloc_strdup(w->site, task);
	r->run = run;
	r->begin_ms = now;
	i = (uint32_t)strtoul(text(o, "taskSpec"), NULL, 10);
	r->end_ms = i ? now + i : 0;
	r->record = json_pack("[s, I, s, I, i, s]", task, (json_int_t)run,
			      w->name, (json_int_t)now, 0, "");
	json_array_append_new(w->site->record, r->record);
	reply(request, 200, json_pack("{s:I}", "clockMs", (json_int_t)now));
}

static void stop_task(struct worker *w, struct httpd_request *request,
		      const json_t *o, uint64_t now)
{
	uint32_t i;

	json_object_set_new(w->blocked, text(o, "task"),
			    json_integer((json_int_t)number(o, "run")));
	for (i = 0; i < w->running_count; i++)
		if (!strcmp(w->running[i].task, text(o, "task")) &&
		    w->running[i].run == number(o, "run"))
			w->running[i].stop_ms = now + 20;
	reply(request, 200, json_pack("{s:I}", "clockMs", (json_int_t)now));
}

static void look(struct worker *w, struct httpd_request *request,
		 const json_t *o, uint64_t now)
{
	uint64_t acked = number(o, "ackedUpto");

	if (number(o, "deadlineMs") > w->lease_ms)
		w->lease_ms = number(o, "deadlineMs");
	while (json_array_size(w->ended) &&
	       (uint64_t)json_integer_value(
		       json_array_get(json_array_get(w->ended, 0), 0)) <= acked)
		json_array_remove(w->ended, 0);
	if (w->looking)
		look_answer(w, now);
	w->looking = request;
	w->look_until_ms = now + number(o, "waitMs");
	if (!number(o, "waitMs") || json_array_size(w->ended))
		look_answer(w, now);
}

static void on_worker(void *arg, struct httpd_request *request)
{
	struct worker *w = arg;
	uint64_t now = clock_now_ms();
	json_t *o = json_loadb(request->body ? request->body : "",
			       request->body_length, 0, NULL);

	if (w->dark_until_ms) {
		shutdown(httpd_descriptor(request), SHUT_RDWR);
		reply(request, 503, NULL);
	} else if (number(o, "fence") < w->fence) {
		reply(request, 409,
		      json_pack("{s:I, s:s}", "clockMs", (json_int_t)now,
				"reason", "fence"));
	} else {
		w->fence = number(o, "fence");
		if (!strcmp(request->path, "/jackdawwell/run-start"))
			start_task(w, request, o, now);
		else if (!strcmp(request->path, "/jackdawwell/run-stop"))
			stop_task(w, request, o, now);
		else if (!strcmp(request->path, "/jackdawwell/hold"))
			look(w, request, o, now);
		else
			reply(request, 200,
			      json_pack("{s:I}", "clockMs", (json_int_t)now));
	}
	json_decref(o);
}

static void crash(struct site *s, const char *name, uint64_t now)
{
	int i;

	for (i = 0; i < s->worker_count; i++) {
		struct worker *w = &s->workers[i];

		if (strcmp(w->name, name))
			continue;
		while (w->running_count) {
			struct running *r = &w->running[--w->running_count];

			json_array_set_new(r->record, 4,
					   json_integer((json_int_t)now));
			json_array_set_new(r->record, 5, json_string("gone"));
			talloc_free(r->task);
		}
		json_array_clear(w->ended);
		json_object_clear(w->blocked);
		w->fence = w->lease_ms = w->next_n = 0;
		w->born = now;
		w->dark_until_ms = now + CRASH_MS;
		s->revision++;
		row_put(s, "servers", name, NULL);
	}
}

/* Machines */

static void machines(struct site *s, struct httpd_request *request)
{
	json_t *list = json_array();
	int i;

	for (i = 0; i < s->worker_count; i++) {
		const struct worker *w = &s->workers[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:[s, s], s:s}", "machine",
				  w->name, "pool", w->pool, "state",
				  w->dark_until_ms ? "down" : "up", "labels",
				  "a", "r1", "id", w->name));
	}
	reply(request, 200,
	      json_pack("{s:o, s:n}", "machines", list, "nextToken"));
}

static void duty(struct site *s, struct httpd_request *request, const json_t *o,
		 bool moves)
{
	int i;

	for (i = 0; i < s->worker_count; i++)
		if (moves && !strcmp(s->workers[i].name, text(o, "machine")))
			snprintf(s->workers[i].pool, sizeof(s->workers[i].pool),
				 "%s", text(o, "pool"));
	crash(s, text(o, "machine"), clock_now_ms());
	reply(request, 200, json_object());
}

/* Control */

static void control(struct site *s, struct httpd_request *request,
		    const json_t *o)
{
	const json_t *put = json_object_get(o, "put");
	char *encoded, *dump;
	size_t room;

	if (json_object_get(o, "down"))
		s->down = json_is_true(json_object_get(o, "down"));
	if (json_object_get(o, "mute")) {
		TALLOC_FREE(s->mute);
		if (*json_string_value(json_object_get(o, "mute")))
			s->mute = talloc_strdup(
				s,
				json_string_value(json_object_get(o, "mute")));
	}
	if (json_object_get(o, "page"))
		s->page = (uint32_t)number(o, "page");
	if (json_is_true(json_object_get(o, "forget")))
		s->forgotten = s->revision;
	if (json_object_get(o, "lose"))
		s->lose = (uint32_t)number(o, "lose");
	if (json_object_get(o, "crash"))
		crash(s, text(o, "crash"), clock_now_ms());
	if (put) {
		dump = json_dumps(json_object_get(put, "value"), JSON_COMPACT);
		assert(dump);
		room = sodium_base64_encoded_len(
			strlen(dump), sodium_base64_VARIANT_ORIGINAL);
		encoded = talloc_size(s, room);
		sodium_bin2base64(encoded, room, (unsigned char *)dump,
				  strlen(dump), sodium_base64_VARIANT_ORIGINAL);
		s->revision++;
		row_put(s, text(put, "table"), text(put, "key"), encoded);
		talloc_free(encoded);
		free(dump);
	}
	feeds_wake(s, clock_now_ms());
	reply(request, 200,
	      json_pack("{s:I, s:I, s:I, s:I}", "transactions",
			(json_int_t)s->transactions, "reads",
			(json_int_t)s->reads, "rows_read",
			(json_int_t)s->rows_read, "revision",
			(json_int_t)s->revision));
}

static void on_request(void *arg, struct httpd_request *request)
{
	struct site *s = arg;
	json_t *o = json_loadb(request->body ? request->body : "",
			       request->body_length, 0, NULL);
	const char *path = request->path;

	if (!strcmp(path, "/control"))
		control(s, request, o);
	else if (!strcmp(path, "/record"))
		reply(request, 200, json_deep_copy(s->record));
	else if (s->down)
		reply(request, 503, NULL);
	else if (!strcmp(path, "/jackdawwell/rows-tx"))
		rows_tx(s, request, o);
	else if (!strcmp(path, "/jackdawwell/rows-get"))
		rows_get(s, request);
	else if (!strcmp(path, "/jackdawwell/rows-feed"))
		rows_feed(s, request);
	else if (!strcmp(path, "/jackdawwell/machines"))
		machines(s, request);
	else if (!strcmp(path, "/jackdawwell/machine-move"))
		duty(s, request, o, true);
	else if (!strcmp(path, "/jackdawwell/machine-upkeep"))
		duty(s, request, o, false);
	else
		reply(request, 404, NULL);
	json_decref(o);
}

static void on_tick(void *arg)
{
	struct site *s = arg;
	uint64_t now = clock_now_ms();
	int i;

	for (i = 0; i < s->worker_count; i++)
		worker_tick(&s->workers[i], now);
	feeds_wake(s, now);
}

static bool add_worker(struct site *s, const char *pool, int port)
{
	struct worker *w = &s->workers[s->worker_count];

	w->site = s;
	w->port = port;
	snprintf(w->name, sizeof(w->name), "w-%d", ++s->worker_count);
	snprintf(w->pool, sizeof(w->pool), "%s", pool);
	w->born = clock_now_ms();
	w->ended = json_array();
	w->blocked = json_object();
	register_worker(w);
	return serve_listen(s, s->ev, w->name, port, on_worker, w);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "N", "of the store");
	struct arg_str *workers =
		arg_strn(NULL, NULL, "POOL:PORT", 1, WORKERS_MAX, "a worker");
	struct arg_end *end = arg_end(8);
	void *table[] = { port, workers, end };
	struct site *s;
	int i;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "site");
		return 2;
	}
	s = talloc_zero(NULL, struct site);
	assert(s && sodium_init() >= 0);
	s->ev = tevent_context_init(s);
	s->record = json_array();
	s->page = PAGE_ROWS;
	if (!serve_listen(s, s->ev, "site", port->ival[0], on_request, s))
		return 1;
	for (i = 0; i < workers->count; i++) {
		char pool[32];
		int worker_port;

		if (sscanf(workers->sval[i], "%31[^:]:%d", pool,
			   &worker_port) != 2 ||
		    !add_worker(s, pool, worker_port))
			return 2;
	}
	s->tick = mtimer_new(s, s->ev, on_tick, s);
	mtimer_every(s->tick, TICK_MS);
	return tevent_loop_wait(s->ev);
}
