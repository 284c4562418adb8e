/*
 * takeover - loads the store's tables before a new leader decides
 *
 * Each table is read in pages. The feed of a table that others write starts at
 * the revision of the table's first page, so it misses no change.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

#define TAKEOVER_RETRY_MS 200u
/* Until a start that got no answer is stopped; an answer takes 3 ms. */
#define START_WAIT_MS 400u
#define TAKEOVER_READ_MS 2500u /* timeout; a full page is 1 MB */
#define TAKEOVER_LOG_MS 1000u  /* between two lines of progress */
#define TABLE_LIST_MAX 128u    /* bytes of names of tables */
/* Ends that are held until all jobs are read; about 0.4 KB each */
#define UNSIFTED_MAX 5000u

enum table_kind {
	READ_INSTANCES,
	READ_JOBS,
	READ_PROGRESS,
	READ_ENDS,
	READ_INBOX,
	READ_COUNT,
};

struct row_copy {
	struct row_copy *prev, *next;
	char *key;
	uint8_t *value;
	size_t length;
	uint64_t revision;
};

struct table_read {
	struct takeover *takeover;
	enum table_kind kind;
	const char *table;
	char *from; /* first key of the next page; NULL: first page */
	uint64_t first_revision;
	bool complete;
	bool paused; /* the next page waits for the jobs */
	struct mtimer *retry;
	struct row_copy *rows;
};

/* Callbacks of an abandoned takeover find another n->phase_generation. */
struct takeover {
	struct node *node;
	uint64_t generation;
	struct table_read tables[READ_COUNT];
	bool done;

	/* Ends of which it isn't known yet whether they are to be loaded */
	struct row_copy *unsifted;
	uint32_t unsifted_count;
	struct row_copy *sift_job; /* the first job that they may belong to */
	uint64_t ends_left;	   /* ends that aren't loaded */

	/* For the log */
	uint64_t logged_ms;
	uint32_t pages, rows, retries;
	uint64_t bytes;
	enum store_status last_failure;
};

struct page {
	struct node *node;
	uint64_t generation;
	enum table_kind kind;
};

static void read_page(struct table_read *t);

static void copy_row(struct table_read *t, const struct store_row *row)
{
	struct row_copy *copy = talloc_zero(t->takeover, struct row_copy);

	assert(copy);
	copy->key = talloc_strdup(copy, row->key);
	copy->value = talloc_memdup(copy, row->value, row->length);
	copy->length = row->length;
	copy->revision = row->revision;
	DL_APPEND(t->rows, copy);
	t->takeover->rows++;
	t->takeover->bytes += row->length;
}

static struct row_copy *find_row(struct table_read *t, const char *key)
{
	struct row_copy *copy;

	/*
	 * The caller looks up keys in ascending order, and the list is sorted
	 * by key: smaller keys are dropped, so all look-ups together take
	 * linear time.
	 */
	DL_FOREACH(t->rows, copy)
	{
		int order = strcmp(copy->key, key);

		if (order == 0)
			return copy;
		if (order > 0)
			return NULL;
		DL_DELETE(t->rows, copy);
	}
	return NULL;
}

/*
 * Whether the end's job has another row: it is kept for runs of the job, and
 * without the end a new leader would start the job again. Keys are looked up in
 * ascending order.
 */
static bool has_job(struct takeover *t, const char *key)
{
	while (t->sift_job && strcmp(t->sift_job->key, key) < 0)
		t->sift_job = t->sift_job->next;
	return t->sift_job && !strcmp(t->sift_job->key, key);
}

static bool is_needed(const struct node *n, const struct row_copy *row)
{
	Fleet__EndRow *end =
		fleet__end_row__unpack(NULL, row->length, row->value);
	bool needed = end && end_rows_recent(n, end);

	if (end)
		fleet__end_row__free_unpacked(end, NULL);
	return needed;
}

/* Drops the ends that needn't be loaded; there may be very many. */
static void sift_ends(struct takeover *t)
{
	struct row_copy *row, *next;

	for (row = t->unsifted; row; row = next) {
		next = row->next;
		if (is_needed(t->node, row) || has_job(t, row->key))
			continue;
		DL_DELETE(t->tables[READ_ENDS].rows, row);
		talloc_free(row);
		t->ends_left++;
	}
	t->unsifted = NULL;
	t->unsifted_count = 0;
}

static void load_jobs(struct takeover *t)
{
	struct node *n = t->node;
	uint64_t now = clock_now_ms();
	struct row_copy *row;

	DL_FOREACH(t->tables[READ_JOBS].rows, row)
	{
		struct row_copy *p =
			find_row(&t->tables[READ_PROGRESS], row->key);
		Fleet__ProgressRow *progress =
			p ? fleet__progress_row__unpack(NULL, p->length,
							p->value)
			  : NULL;
		Fleet__JobRow *job =
			fleet__job_row__unpack(NULL, row->length, row->value);

		if (job)
			sched_load_job(n->sched, row->key, job, progress, now);
		else
			event_log("row-unreadable", event_sanitize(row->key),
				  "\"table\":\"job\"");
		if (progress)
			fleet__progress_row__free_unpacked(progress, NULL);
	}
	DL_FOREACH(t->tables[READ_ENDS].rows, row)
	{
		Fleet__EndRow *end =
			fleet__end_row__unpack(NULL, row->length, row->value);

		if (!end)
			continue;
		sched_load_end(n->sched, row->key, end, now);
		fleet__end_row__free_unpacked(end, NULL);
	}
}

static void load_rows(struct node *n, struct table_read *t,
		      void (*fn)(struct node *n, const struct store_row *row))
{
	struct row_copy *copy;

	DL_FOREACH(t->rows, copy)
	{
		struct store_row row = { t->table,	 copy->key,
					 copy->value,	 copy->length,
					 copy->revision, false };

		fn(n, &row);
	}
}

static void on_trace(void *arg, const char *kind, const char *id,
		     const char *text)
{
	(void)arg;
	event_log(kind, id, "%s", text);
}

static void log_finished(const struct takeover *t, uint64_t read_ms)
{
	const struct node *n = t->node;
	struct sched_unreported unreported;
	struct sched_stats stats;

	sched_stats(n->sched, &stats);
	sched_unreported(n->sched, &unreported);
	event_log("takeover", NULL,
		  "\"epoch\":%" PRIu64 ",\"jobs\":%u,\"unfinished\":%u"
		  ",\"instances\":%u,\"unreported\":%u"
		  ",\"lasting_startable\":%u,\"lasting_unseen\":%u"
		  ",\"took_ms\":%" PRIu64 ",\"load_ms\":%" PRIu64
		  ",\"pages\":%u,\"bytes\":%" PRIu64 ",\"retries\":%u"
		  ",\"ends_left\":%" PRIu64,
		  n->leader.epoch, stats.jobs, stats.unfinished,
		  stats.instances, unreported.instances,
		  unreported.lasting_startable, unreported.lasting_unseen,
		  read_ms - n->leader_since_ms, clock_now_ms() - read_ms,
		  t->pages, t->bytes, t->retries, t->ends_left);
}

void takeover_log(struct node *n, uint64_t now)
{
	struct takeover *t = n->takeover;
	char waiting[TABLE_LIST_MAX] = "";
	size_t length = 0;
	uint32_t i;

	if (!t || now - t->logged_ms < TAKEOVER_LOG_MS)
		return;
	t->logged_ms = now;
	for (i = 0; i < READ_COUNT && length < sizeof(waiting); i++)
		if (!t->tables[i].complete)
			length += (size_t)snprintf(
				waiting + length, sizeof(waiting) - length,
				"%s%s", length ? " " : "", t->tables[i].table);
	event_log("takeover-wait", NULL,
		  "\"epoch\":%" PRIu64 ",\"since_claim_ms\":%" PRIu64
		  ",\"tables\":\"%s\",\"pages\":%u,\"rows\":%u"
		  ",\"bytes\":%" PRIu64
		  ",\"retries\":%u,\"last_failure\":\"%s\"",
		  n->leader.epoch, now - n->leader_since_ms, waiting, t->pages,
		  t->rows, t->bytes, t->retries,
		  store_status_name(t->last_failure));
}

static void finish(struct takeover *t)
{
	struct node *n = t->node;
	uint64_t now = clock_now_ms();
	uint32_t orders_ms = leader_formers_order_ms(n, now);
	struct sched_options options = {
		.lease_ms = n->settings.lease_ms,
		.lease_max_ms = n->settings.lease_max_ms,
		.predecessor_orders_ms = orders_ms,
		.start_wait_ms = START_WAIT_MS,
		.end_keep_ms = end_rows_keep_ms(n),
		.job_bytes_max = n->settings.job_bytes_max,
		.row_bytes = n->settings.row_bytes,
		.placement_reservations = n->settings.placement_reservations,
	};

	n->sched = sched_new(n, &options);
	sched_set_clock(n->sched, node_unix_ms(n));
	if (n->config)
		sched_configure(n->sched, n->config, now);
	load_rows(n, &t->tables[READ_INSTANCES], watch_instance_row);
	/* The rows of all instances aren't news of each. */
	sched_set_trace(n->sched, on_trace, n);
	evacuations_begin(n);
	load_jobs(t);
	sched_become_leader(n->sched, n->leader.epoch, !orders_ms, now);
	n->phase = LEADER_DECIDING;
	term_deciding(n, now);
	watch_from(n, FEED_INSTANCES, t->tables[READ_INSTANCES].first_revision);
	watch_from(n, FEED_INBOX, t->tables[READ_INBOX].first_revision);
	n->commit_retry_ms = 0;
	n->commit_answer_ms = n->commits_voided = 0;
	n->commit_changes_max = 0;
	n->commit_probe = false;
	n->advice_calls = 0;
	end_rows_begin(n, t->ends_left, now);
	load_rows(n, &t->tables[READ_INBOX], inbox_receive);
	log_finished(t, now);
	machines_begin(n);
	relay_begin(n);
	TALLOC_FREE(n->takeover);
	node_schedule_pass(n);
}

static bool all_complete(const struct takeover *t)
{
	uint32_t i;

	for (i = 0; i < READ_COUNT; i++)
		if (!t->tables[i].complete)
			return false;
	return true;
}

static void next_page(struct table_read *t, const struct store_answer *answer)
{
	talloc_free(t->from);
	t->from = node_key_after(t->takeover,
				 answer->rows[answer->row_count - 1].key);
	t->paused = t->takeover->unsifted_count > UNSIFTED_MAX &&
		    t->kind == READ_ENDS;
	if (!t->paused)
		read_page(t);
}

/* Copies the rows of a page. */
static void add_page(struct table_read *t, const struct store_answer *answer)
{
	struct takeover *takeover = t->takeover;
	uint32_t i;

	for (i = 0; i < answer->row_count; i++) {
		copy_row(t, &answer->rows[i]);
		if (t->kind != READ_ENDS)
			continue;
		if (!takeover->unsifted)
			takeover->unsifted = t->rows->prev;
		takeover->unsifted_count++;
	}
	if (t->kind == READ_ENDS && takeover->tables[READ_JOBS].complete)
		sift_ends(takeover);
}

/* All jobs are read: it is known which ends are needed. */
static void jobs_complete(struct takeover *t)
{
	struct table_read *ends = &t->tables[READ_ENDS];

	t->sift_job = t->tables[READ_JOBS].rows;
	sift_ends(t);
	if (!ends->paused)
		return;
	ends->paused = false;
	read_page(ends);
}

static void on_page(void *arg, const struct store_answer *answer)
{
	struct page *page = arg;
	struct node *n = page->node;
	struct takeover *t = n->takeover;
	struct table_read *table;

	node_store_result(n, "takeover", answer->status);
	if (!t || n->phase_generation != page->generation) {
		talloc_free(page);
		return;
	}
	table = &t->tables[page->kind];
	talloc_free(page);
	if (answer->status != STORE_OK) {
		t->retries++;
		t->last_failure = answer->status;
		mtimer_set(table->retry, TAKEOVER_RETRY_MS);
		return;
	}
	t->pages++;
	if (!table->first_revision)
		table->first_revision = answer->revision;
	add_page(table, answer);
	if (answer->more && answer->row_count) {
		next_page(table, answer);
		return;
	}
	table->complete = true;
	if (table->kind == READ_JOBS)
		jobs_complete(t);
	if (all_complete(t))
		finish(t);
}

static void read_page(struct table_read *t)
{
	struct node *n = t->takeover->node;
	struct page *page = talloc_zero(n, struct page);

	assert(page);
	page->node = n;
	page->generation = n->phase_generation;
	page->kind = t->kind;
	n->services->read(n->services->impl, t->table, t->from, NULL,
			  TAKEOVER_READ_MS, on_page, page);
}

static void on_retry(void *arg)
{
	read_page(arg);
}

void takeover_begin(struct node *n)
{
	const char *tables[READ_COUNT] = {
		[READ_INSTANCES] = n->services->instance_table,
		[READ_JOBS] = NODE_TABLE_JOB,
		[READ_PROGRESS] = NODE_TABLE_PROGRESS,
		[READ_ENDS] = NODE_TABLE_END,
		[READ_INBOX] = NODE_TABLE_INBOX,
	};
	struct takeover *t = talloc_zero(n, struct takeover);
	uint32_t i;

	assert(t);
	n->takeover = t;
	t->node = n;
	t->generation = n->phase_generation;
	t->logged_ms = clock_now_ms();
	for (i = 0; i < READ_COUNT; i++) {
		struct table_read *table = &t->tables[i];

		table->takeover = t;
		table->kind = i;
		table->table = tables[i];
		table->retry = mtimer_new(t, n->ev, on_retry, table);
		assert(table->retry);
	}
	evacuations_begin(n);
	for (i = 0; i < READ_COUNT; i++)
		read_page(&t->tables[i]);
}
