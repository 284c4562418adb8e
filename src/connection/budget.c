#include "connection/budget.h"

#include <inttypes.h>
#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#include "process/event.h"

#define MEMORY_DEFAULT_MB 160u	    /* of the smallest supported machine */
#define DESCRIPTORS_DEFAULT 1000u   /* likewise */
#define DESCRIPTORS_FOR_FILES 200u  /* reserved by the platform's rules */
#define CONNECTIONS_OF_LISTENERS 3u /* of 4; the rest is for own calls */
#define CONNECTIONS_OF_ALL 4u
#define CONNECTION_DEFAULT_BYTES (32u << 10)
#define CONNECTIONS_MIN                                                       \
	16u		     /* of a listener, however little memory there is \
			      */
#define BYTES_MIN (1u << 20) /* one request of the largest size */
#define BYTES_PER_MB ((size_t)1 << 20)
#define LOG_INTERVAL_MS 1000u

/*
 * Parts of the memory in 128ths. Bytes add up to a quarter, connections, which
 * count with the HTTP library's whole buffer, to a bit more than a quarter. A
 * quarter is for jobs (JOB_MEMORY_DIVISOR), the rest for everything else.
 */
static const struct listener_part {
	const char *name;
	uint32_t bytes, connections;
} parts[BUDGET_LISTENERS] = {
	[BUDGET_CALLERS] = { "callers", 16, 16 },
	[BUDGET_READINESS] = { "readiness", 2, 2 },
	[BUDGET_PEERS] = { "peers", 8, 16 },
	[BUDGET_LINKS] = { "links", 8, 16 },
	[BUDGET_METRICS] = { "metrics", 2, 2 },
};
#define PARTS_OF 128u

static const char *const cause_names[BUDGET_CAUSES] = {
	"headers",     "body",	 "bytes",	  "answer",
	"connections", "memory", "dropped_bytes", "dropped_connection",
	"timeout"
};

struct budget_address {
	uint32_t address;
	uint32_t connections;
	size_t bytes;
	UT_hash_handle hh;
};

struct budget {
	struct budget_process *process; /* NULL: none */
	struct budget *next;		/* of the process */
	struct budget_options options;
	budget_drop_fn drop;
	void *drop_arg;
	struct budget_client *clients; /* by the beginning of their phase */
	struct budget_address *addresses;
	size_t bytes;
	uint32_t connections;
	uint64_t counts[BUDGET_CAUSES];
	uint64_t swept_ms;	 /* last call of budget_sweep */
	uint64_t expire_from_ms; /* no time limit is checked before */
	uint64_t logged_ms;
	uint64_t unlogged; /* since then */
};

struct budget_process {
	size_t memory;
	size_t connection_bytes;
	uint32_t connections;
	uint32_t connections_max;
	struct budget *budgets;
};

/* Bounds */

struct budget_process *budget_process_new(TALLOC_CTX *ctx, uint32_t memory_mb,
					  uint32_t descriptors_max,
					  size_t connection_bytes)
{
	struct budget_process *p = talloc_zero(ctx, struct budget_process);
	uint32_t sockets;

	if (!p)
		return NULL;
	if (!memory_mb)
		memory_mb = MEMORY_DEFAULT_MB;
	if (!descriptors_max)
		descriptors_max = DESCRIPTORS_DEFAULT;
	/* Fewer than those for files: half of them are for sockets. */
	sockets = descriptors_max > 2 * DESCRIPTORS_FOR_FILES
			  ? descriptors_max - DESCRIPTORS_FOR_FILES
			  : descriptors_max / 2;
	p->memory = memory_mb * BYTES_PER_MB;
	p->connection_bytes =
		connection_bytes ? connection_bytes : CONNECTION_DEFAULT_BYTES;
	p->connections_max =
		sockets / CONNECTIONS_OF_ALL * CONNECTIONS_OF_LISTENERS;
	return p;
}

static int budget_destroy(struct budget *b)
{
	struct budget_address *a, *next;

	HASH_ITER(hh, b->addresses, a, next)
	{
		HASH_DEL(b->addresses, a);
		free(a);
	}
	if (b->process) {
		b->process->connections -= b->connections;
		LL_DELETE(b->process->budgets, b);
	}
	return 0;
}

struct budget *budget_new(TALLOC_CTX *ctx, const struct budget_options *options)
{
	struct budget *b = talloc_zero(ctx, struct budget);

	if (!b)
		return NULL;
	b->options = *options;
	talloc_set_destructor(b, budget_destroy);
	return b;
}

struct budget *budget_listener_new(struct budget_process *p,
				   enum budget_listener listener,
				   uint32_t connections_max)
{
	const struct listener_part *part = &parts[listener];
	size_t by_memory =
		p->memory / PARTS_OF * part->connections / p->connection_bytes;
	struct budget_options options = {
		.name = part->name,
		.bytes_max = p->memory / PARTS_OF * part->bytes,
		.connections_max = connections_max,
	};
	struct budget *b;

	if (options.bytes_max < BYTES_MIN &&
	    (listener == BUDGET_CALLERS || listener == BUDGET_PEERS))
		options.bytes_max = BYTES_MIN;
	if (by_memory < CONNECTIONS_MIN)
		by_memory = CONNECTIONS_MIN;
	if (options.connections_max > by_memory)
		options.connections_max = (uint32_t)by_memory;
	b = budget_new(p, &options);
	if (!b)
		return NULL;
	b->process = p;
	LL_APPEND(p->budgets, b);
	return b;
}

void budget_set_drop(struct budget *b, budget_drop_fn drop, void *arg)
{
	b->drop = drop;
	b->drop_arg = arg;
}

size_t budget_bytes_max(const struct budget *b)
{
	return b->options.bytes_max;
}

uint32_t budget_connections_max(const struct budget *b)
{
	return b->options.connections_max;
}

/* Refusals */

void budget_refused(struct budget *b, enum budget_cause cause, uint64_t now)
{
	b->counts[cause]++;
	b->unlogged++;
	if (!b->options.name ||
	    (b->logged_ms && now - b->logged_ms < LOG_INTERVAL_MS))
		return;
	event_log("client-refused", NULL,
		  "\"listener\":\"%s\",\"cause\":\"%s\",\"refused\":%" PRIu64
		  ",\"bytes\":%zu,\"bytes_max\":%zu,\"connections\":%u,"
		  "\"connections_max\":%u",
		  b->options.name, cause_names[cause], b->unlogged, b->bytes,
		  b->options.bytes_max, b->connections,
		  b->options.connections_max);
	b->logged_ms = now;
	b->unlogged = 0;
}

void budget_drop(struct budget *b, struct budget_client *c,
		 enum budget_cause cause, uint64_t now)
{
	if (c->dropped)
		return;
	c->dropped = true;
	budget_refused(b, cause, now);
	b->drop(b->drop_arg, c);
	budget_release(b, c);
}

/* Who is dropped */

/* A client that works on a complete request is never dropped. */
static bool is_droppable(const struct budget_client *c)
{
	return !c->dropped && c->phase != BUDGET_WORKING;
}

/* 0 if the phase began after now, which a caller may have read earlier. */
static uint64_t age_ms(const struct budget_client *c, uint64_t now)
{
	return now > c->since_ms ? now - c->since_ms : 0;
}

/* What a client that is dropped sets free: bytes or a connection. */
enum resource { BYTES, CONNECTION };

static size_t held_by_address(const struct budget_address *a, enum resource r)
{
	return r == BYTES ? a->bytes : a->connections;
}

static struct budget_address *heaviest_address(const struct budget *b,
					       enum resource r)
{
	struct budget_address *a, *next, *heaviest = NULL;

	HASH_ITER(hh, b->addresses, a, next)
	if (!heaviest || held_by_address(a, r) > held_by_address(heaviest, r))
		heaviest = a;
	return heaviest;
}

/* The oldest client that is droppable and at least min_ms old. */
static struct budget_client *oldest(const struct budget *b, enum resource r,
				    const struct budget_client *except,
				    const struct budget_address *of,
				    uint64_t min_ms, uint64_t now)
{
	struct budget_client *c;

	for (c = b->clients; c; c = c->next) {
		if (age_ms(c, now) < min_ms)
			return NULL;
		if (c != except && is_droppable(c) &&
		    (r == CONNECTION || c->bytes) && (!of || c->address == of))
			return c;
	}
	return NULL;
}

/*
 * Stale clients go first, those of the heaviest address before others. An
 * address that holds more than half of max gives way to others at once, so
 * that it cannot keep them out by always being new.
 */
static struct budget_client *victim(const struct budget *b, enum resource r,
				    const struct budget_client *for_client,
				    const struct budget_address *for_address,
				    size_t max, uint64_t now)
{
	const struct budget_address *heaviest = heaviest_address(b, r);
	struct budget_client *c;

	if (!heaviest)
		return NULL;
	c = oldest(b, r, for_client, heaviest, BUDGET_GRACE_MS, now);
	if (!c)
		c = oldest(b, r, for_client, NULL, BUDGET_GRACE_MS, now);
	if (!c && heaviest->address != for_address->address &&
	    held_by_address(heaviest, r) > max / 2)
		c = oldest(b, r, for_client, heaviest, 0, now);
	return c;
}

/* Connections */

static struct budget *largest_budget(const struct budget_process *p)
{
	struct budget *b, *largest = p->budgets;

	for (b = p->budgets; b; b = b->next)
		if (b->connections > largest->connections)
			largest = b;
	return largest;
}

static bool drop_one_connection(struct budget *b,
				const struct budget_address *for_address,
				uint32_t max, uint64_t now)
{
	struct budget_client *c =
		victim(b, CONNECTION, NULL, for_address, max, now);

	if (!c)
		return false;
	budget_drop(b, c, BUDGET_DROPPED_CONNECTION, now);
	return true;
}

static bool has_connection_room(struct budget *b,
				const struct budget_address *for_address,
				uint64_t now)
{
	struct budget_process *p = b->process;

	if (b->connections >= b->options.connections_max)
		return drop_one_connection(b, for_address,
					   b->options.connections_max, now);
	if (p && p->connections >= p->connections_max)
		return drop_one_connection(largest_budget(p), for_address,
					   p->connections_max, now);
	return true;
}

static struct budget_address *address_get(struct budget *b, uint32_t address)
{
	struct budget_address *a;

	HASH_FIND(hh, b->addresses, &address, sizeof(address), a);
	if (a)
		return a;
	a = calloc(1, sizeof(*a));
	if (!a)
		return NULL;
	a->address = address;
	HASH_ADD(hh, b->addresses, address, sizeof(a->address), a);
	return a;
}

static void address_put(struct budget *b, struct budget_address *a)
{
	if (a->connections)
		return;
	HASH_DEL(b->addresses, a);
	free(a);
}

bool budget_open(struct budget *b, struct budget_client *c, uint32_t address,
		 uint64_t now)
{
	struct budget_address *a = address_get(b, address);

	if (!a) {
		budget_refused(b, BUDGET_REFUSED_MEMORY, now);
		return false;
	}
	if (!has_connection_room(b, a, now)) {
		budget_refused(b, BUDGET_REFUSED_CONNECTIONS, now);
		address_put(b, a);
		return false;
	}
	c->address = a;
	c->phase = BUDGET_OPENED;
	c->since_ms = now;
	a->connections++;
	b->connections++;
	if (b->process)
		b->process->connections++;
	DL_APPEND(b->clients, c);
	return true;
}

void budget_close(struct budget *b, struct budget_client *c)
{
	budget_release(b, c);
	DL_DELETE(b->clients, c);
	b->connections--;
	if (b->process)
		b->process->connections--;
	c->address->connections--;
	address_put(b, c->address);
}

void budget_set_phase(struct budget *b, struct budget_client *c,
		      enum budget_phase phase, uint64_t now)
{
	c->phase = phase;
	c->since_ms = now;
	DL_DELETE(b->clients, c);
	DL_APPEND(b->clients, c);
}

/* Bytes */

bool budget_has_room(struct budget *b, struct budget_client *c, size_t bytes,
		     uint64_t now)
{
	struct budget_client *other;

	if (c->dropped || bytes > b->options.bytes_max - c->bytes)
		return false;
	while (b->bytes + bytes > b->options.bytes_max) {
		other = victim(b, BYTES, c, c->address, b->options.bytes_max,
			       now);
		if (!other)
			return false;
		budget_drop(b, other, BUDGET_DROPPED_BYTES, now);
	}
	return true;
}

bool budget_take(struct budget *b, struct budget_client *c, size_t bytes,
		 uint64_t now)
{
	if (!budget_has_room(b, c, bytes, now))
		return false;
	c->bytes += bytes;
	c->address->bytes += bytes;
	b->bytes += bytes;
	return true;
}

void budget_release(struct budget *b, struct budget_client *c)
{
	c->address->bytes -= c->bytes;
	b->bytes -= c->bytes;
	c->bytes = 0;
}

/* Time limits */

bool budget_sweep(struct budget *b, uint64_t now)
{
	if (now - b->swept_ms > 2u * BUDGET_SWEEP_MS)
		b->expire_from_ms = now + BUDGET_SWEEP_MS;
	b->swept_ms = now;
	return now >= b->expire_from_ms;
}

struct budget_client *budget_expired(struct budget *b,
				     const uint32_t timeouts_ms[BUDGET_PHASES],
				     uint64_t now)
{
	struct budget_client *c;

	for (c = b->clients; c; c = c->next)
		if (!c->dropped && timeouts_ms[c->phase] &&
		    age_ms(c, now) >= timeouts_ms[c->phase])
			return c;
	return NULL;
}

/* Values */

size_t budget_bytes(const struct budget *b)
{
	return b->bytes;
}

uint32_t budget_connections(const struct budget *b)
{
	return b->connections;
}

uint64_t budget_count(const struct budget *b, enum budget_cause cause)
{
	return b->counts[cause];
}

void budget_print(const struct budget_process *p, FILE *out)
{
	const struct budget *b;
	uint32_t i;

	for (b = p->budgets; b; b = b->next) {
		fprintf(out,
			"jackdawwell_listener_bytes{listener=\"%s\"} %zu\n"
			"jackdawwell_listener_connections{listener=\"%s\"} "
			"%u\n",
			b->options.name, b->bytes, b->options.name,
			b->connections);
		for (i = 0; i < BUDGET_CAUSES; i++)
			fprintf(out,
				"jackdawwell_listener_refused_total{"
				"listener=\"%s\",cause=\"%s\"} %" PRIu64 "\n",
				b->options.name, cause_names[i], b->counts[i]);
	}
}
