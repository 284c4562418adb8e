/*
 * platform - stand-in for the platform's table service, object store and
 * instance list
 *
 * Rows are kept in memory. Tests inject faults with a POST to /control, whose
 * answer has the revision and the number of reads and writes so far:
 *	outage		true: requests are answered with 500 after 30 s, later
 *			than any client waits
 *	latency_ms	delay of each service's answers
 *	lose		number of commits whose answer is lost after the commit
 *	instances	array of names that replaces the instance list
 *	reboot_ms	duration of a reboot; 0: it never ends
 */
#include <argtable2.h>
#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "standin/serve.h"

#define REBOOT_MS 1000	 /* unless /control sets another duration */
#define LOST_ANSWER_S 30 /* delay of a lost answer; no client waits so long */

struct state {
	struct tevent_context *ev;
	json_t *rows; /* key -> {"version", "value"} */
	json_t *objects;
	json_t *instances;
	json_t *boots;	    /* name -> number of boots */
	uint32_t reboot_ms; /* 0: a reboot never ends */
	uint64_t revision;
	uint64_t reads;
	uint64_t writes;
	bool outage;
	uint32_t latency_ms;
	uint32_t answers_to_lose;
};

struct pending_answer {
	struct httpd_request *request;
	unsigned int code;
	json_t *body;
};

static void send_pending(void *arg)
{
	struct pending_answer *r = arg;
	struct httpd_answer answer = { .code = r->code };

	answer.body = json_dumps(r->body, JSON_COMPACT);
	answer.body_length = strlen(answer.body);
	httpd_answer(r->request, &answer);
	json_decref(r->body);
	talloc_free(r);
}

/* Answers after delay_ms; takes over the reference to body. */
static void send_answer(struct state *s, struct httpd_request *request,
			unsigned int code, json_t *body, uint32_t delay_ms)
{
	struct pending_answer *r = talloc_zero(s, struct pending_answer);

	r->request = request;
	r->code = code;
	r->body = body;
	if (!delay_ms) {
		send_pending(r);
		return;
	}
	serve_after(r, s->ev, delay_ms, send_pending, r);
}

static uint64_t row_version(const struct state *s, const char *key)
{
	return (uint64_t)json_integer_value(
		json_object_get(json_object_get(s->rows, key), "version"));
}

static const char *find_conflict(const struct state *s, const json_t *txn)
{
	json_t *compare;
	size_t i;

	json_array_foreach(json_object_get(txn, "compare"), i, compare)
	{
		const char *key =
			json_string_value(json_object_get(compare, "key"));
		uint64_t version = (uint64_t)json_integer_value(
			json_object_get(compare, "version"));

		if (row_version(s, key) != version)
			return key;
	}
	return NULL;
}

static void apply_txn(struct state *s, const json_t *txn)
{
	json_t *item;
	size_t i;

	s->revision++;
	json_array_foreach(json_object_get(txn, "put"), i, item)
	{
		json_object_set_new(
			s->rows,
			json_string_value(json_object_get(item, "key")),
			json_pack("{s:I, s:O}", "version",
				  (json_int_t)s->revision, "value",
				  json_object_get(item, "value")));
	}
	json_array_foreach(json_object_get(txn, "delete"), i, item)
	{
		json_object_del(s->rows, json_string_value(item));
	}
}

static void commit_txn(struct state *s, struct httpd_request *r)
{
	json_t *txn =
		json_loadb(r->body ? r->body : "", r->body_length, 0, NULL);
	const char *key;
	uint32_t delay = s->latency_ms;

	s->writes++;
	if (!txn) {
		send_answer(s, r, 400, json_pack("{s:s}", "error", "bad JSON"),
			    delay);
		return;
	}
	key = find_conflict(s, txn);
	if (key) {
		send_answer(s, r, 409, json_pack("{s:s}", "key", key), delay);
		json_decref(txn);
		return;
	}
	apply_txn(s, txn);
	json_decref(txn);
	if (s->answers_to_lose) {
		s->answers_to_lose--;
		delay = LOST_ANSWER_S * 1000;
	}
	send_answer(s, r, 200,
		    json_pack("{s:I, s:n}", "revision", (json_int_t)s->revision,
			      "value"),
		    delay);
}

static char *query_parameter(const struct httpd_request *r, const char *name)
{
	char *copy = talloc_strdup(NULL, r->query);
	size_t n = strlen(name);
	char *save;
	char *parameter;

	for (parameter = strtok_r(copy, "&", &save); parameter;
	     parameter = strtok_r(NULL, "&", &save))
		if (!strncmp(parameter, name, n) && parameter[n] == '=') {
			parameter = talloc_strdup(NULL, parameter + n + 1);
			talloc_free(copy);
			return parameter;
		}
	talloc_free(copy);
	return talloc_strdup(NULL, "");
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static json_t *rows_after(struct state *s, const char *prefix, uint64_t after)
{
	size_t count = json_object_size(s->rows);
	const char **keys = talloc_array(s, const char *, count + 1);
	json_t *found = json_array();
	const char *key;
	json_t *row;
	size_t n = 0;
	size_t i;

	json_object_foreach(s->rows, key, row)
	{
		if (!strncmp(key, prefix, strlen(prefix)) &&
		    row_version(s, key) > after)
			keys[n++] = key;
	}
	qsort(keys, n, sizeof(*keys), compare_keys);
	for (i = 0; i < n; i++) {
		row = json_copy(json_object_get(s->rows, keys[i]));
		json_object_set_new(row, "key", json_string(keys[i]));
		json_array_append_new(found, row);
	}
	talloc_free(keys);
	return found;
}

static void read_rows(struct state *s, struct httpd_request *r)
{
	char *prefix = query_parameter(r, "prefix");
	char *after = query_parameter(r, "after");
	json_t *rows = rows_after(s, prefix, strtoull(after, NULL, 10));

	s->reads++;
	send_answer(s, r, 200,
		    json_pack("{s:I, s:o}", "revision", (json_int_t)s->revision,
			      "value", rows),
		    s->latency_ms);
	talloc_free(prefix);
	talloc_free(after);
}

static void serve_object(struct state *s, struct httpd_request *r)
{
	const char *name = r->path + strlen("/objects/");
	json_t *value;

	if (!strcmp(r->method, "PUT")) {
		s->writes++;
		value = json_loadb(r->body ? r->body : "", r->body_length,
				   JSON_DECODE_ANY, NULL);
		json_object_set_new(s->objects, name, value);
		send_answer(s, r, 200, json_object(), s->latency_ms);
		return;
	}
	s->reads++;
	value = json_object_get(s->objects, name);
	if (!value)
		send_answer(s, r, 404, json_object(), s->latency_ms);
	else
		send_answer(s, r, 200, json_pack("{s:O}", "value", value),
			    s->latency_ms);
}

static json_t *instance_list(const struct state *s)
{
	json_t *list = json_array();
	json_t *name;
	size_t i;

	json_array_foreach(s->instances, i, name)
	{
		json_array_append_new(
			list,
			json_pack("{s:O, s:s, s:I}", "name", name, "state",
				  "live", "boots",
				  json_integer_value(json_object_get(
					  s->boots, json_string_value(name)))));
	}
	return list;
}

struct reboot {
	struct state *state;
	char *name;
	uint64_t boots;
};

static void on_booted(void *arg)
{
	struct reboot *b = arg;

	json_object_set_new(b->state->boots, b->name,
			    json_integer((json_int_t)b->boots + 1));
	talloc_free(b);
}

static void start_reboot(struct state *s, struct httpd_request *r)
{
	const char *name = r->path + strlen("/reboot/");
	json_t *body =
		json_loadb(r->body ? r->body : "", r->body_length, 0, NULL);
	uint64_t boots =
		(uint64_t)json_integer_value(json_object_get(body, "boots"));
	struct reboot *b;

	if (s->reboot_ms && boots == (uint64_t)json_integer_value(
					     json_object_get(s->boots, name))) {
		b = talloc_zero(s, struct reboot);
		b->state = s;
		b->name = talloc_strdup(b, name);
		b->boots = boots;
		serve_after(b, s->ev, s->reboot_ms, on_booted, b);
	}
	json_decref(body);
	send_answer(s, r, 200, json_object(), s->latency_ms);
}

static void serve_control(struct state *s, struct httpd_request *r)
{
	json_t *c = json_loadb(r->body ? r->body : "{}",
			       r->body ? r->body_length : 2, 0, NULL);
	json_t *v;

	if ((v = json_object_get(c, "outage")))
		s->outage = json_is_true(v);
	if ((v = json_object_get(c, "latency_ms")))
		s->latency_ms = (uint32_t)json_integer_value(v);
	if ((v = json_object_get(c, "lose")))
		s->answers_to_lose = (uint32_t)json_integer_value(v);
	if ((v = json_object_get(c, "reboot_ms")))
		s->reboot_ms = (uint32_t)json_integer_value(v);
	if ((v = json_object_get(c, "instances")))
		json_array_clear(s->instances),
			json_array_extend(s->instances, v);
	json_decref(c);
	send_answer(s, r, 200,
		    json_pack("{s:I, s:I, s:I}", "revision",
			      (json_int_t)s->revision, "reads",
			      (json_int_t)s->reads, "writes",
			      (json_int_t)s->writes),
		    0);
}

static void on_request(void *arg, struct httpd_request *r)
{
	struct state *s = arg;

	if (!strcmp(r->path, "/control"))
		serve_control(s, r);
	else if (s->outage)
		send_answer(s, r, 500, json_object(), LOST_ANSWER_S * 1000);
	else if (!strcmp(r->path, "/txn"))
		commit_txn(s, r);
	else if (!strcmp(r->path, "/rows"))
		read_rows(s, r);
	else if (!strncmp(r->path, "/objects/", 9))
		serve_object(s, r);
	else if (!strncmp(r->path, "/reboot/", 8))
		start_reboot(s, r);
	else if (!strcmp(r->path, "/instances"))
		send_answer(s, r, 200,
			    json_pack("{s:o}", "value", instance_list(s)),
			    s->latency_ms);
	else
		send_answer(s, r, 404, json_object(), 0);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1("p", "port", "PORT", "listen here");
	struct arg_end *end = arg_end(4);
	void *arg_table[] = { port, end };
	struct state *s = talloc_zero(NULL, struct state);

	if (arg_parse(argc, argv, arg_table)) {
		arg_print_errors(stderr, end, "platform");
		return 2;
	}
	s->ev = tevent_context_init(s);
	s->rows = json_object();
	s->objects = json_object();
	s->instances = json_array();
	s->boots = json_object();
	s->reboot_ms = REBOOT_MS;
	if (!serve_listen(s, s->ev, "platform", port->ival[0], on_request, s))
		return 1;
	return tevent_loop_wait(s->ev);
}
