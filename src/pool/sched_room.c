/*
 * sched_room - instances of a pool by free CPU, during a pass
 *
 * Designed for passes that place hundreds of tasks on hundreds of instances,
 * or find no room for hundreds of steps: an instance is found by bisection, and
 * what found no room is not looked for again.
 *
 * Where memory is as scarce as CPU, tasks are packed by both, so that no
 * instance is left with much of one and none of the other.
 */
#include <assert.h>

#include "pool/sched_internal.h"

#define ROOM_FIRST 64u /* entries allocated first */

/* Instances with room that are compared where memory is scarce too */
#define CANDIDATES_MAX 16u
/*
 * Memory is scarce if the part of it in use is at least this times the part of
 * CPU in use. Below, CPU is used up first wherever tasks are put.
 */
#define MEMORY_SCARCE 0.5
/* Sums over the instances of a pool change little from pass to pass */
#define SUMMARY_VALID_MS 100u

static int64_t free_cpu(const struct instance *i)
{
	return i->capacity.cpu - i->used.cpu;
}

static void move_to(struct room *room, struct instance *i, uint32_t n)
{
	room->instances[n] = i;
	i->room_slot = n;
}

/* Moves an instance before those with more free CPU. */
static void sink(struct room *room, uint32_t n)
{
	struct instance *i = room->instances[n];
	int64_t cpu = free_cpu(i);

	while (n && free_cpu(room->instances[n - 1]) > cpu) {
		move_to(room, room->instances[n - 1], n);
		n--;
	}
	move_to(room, i, n);
}

static void list_instances(struct sched *s, struct pool *pool)
{
	struct room *room = &pool->room;
	struct instance *i;

	room->count = 0;
	DL_FOREACH2(pool->instances, i, pool_next)
	{
		if (room->count == room->alloc) {
			room->alloc =
				room->alloc ? room->alloc * 2 : ROOM_FIRST;
			room->instances =
				talloc_realloc(s, room->instances,
					       struct instance *, room->alloc);
			assert(room->instances);
		}
		room->instances[room->count++] = i;
	}
	room->complete = true;
}

static int64_t max_int64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Sets what is known of all usable instances together. */
static void summarize(struct room *room, uint64_t now)
{
	struct amount capacity = { 0, 0, 0 };
	struct amount used = { 0, 0, 0 };
	uint32_t n;

	room->summary_until_ms = now + SUMMARY_VALID_MS;
	room->largest = capacity;
	for (n = 0; n < room->count; n++) {
		const struct instance *i = room->instances[n];

		if (!i->usable)
			continue;
		amount_add(&capacity, &i->capacity);
		amount_add(&used, &i->used);
		amount_max(&room->largest, &i->capacity);
	}
	room->balance = (double)used.mem * (double)capacity.cpu >
			MEMORY_SCARCE * (double)used.cpu * (double)capacity.mem;
}

/* From one pass to the next few instances change places. */
static void sort(struct sched *s, struct pool *pool, uint64_t now)
{
	struct room *room = &pool->room;
	uint32_t n;

	if (!room->complete)
		list_instances(s, pool);
	for (n = 0; n < room->count; n++) {
		room->instances[n]->usable =
			instance_usable(s, room->instances[n], now);
		sink(room, n);
	}
	room->sorted = true;
	if (now >= room->summary_until_ms)
		summarize(room, now);
}

void room_begin(struct pool *pool)
{
	pool->room.sorted = false;
	pool->room.has_failed = false;
	pool->room.has_blocked = false;
}

void room_changed(struct pool *pool)
{
	pool->room.complete = false;
	pool->room.summary_until_ms = 0;
	room_begin(pool);
}

/* Returns the index of the first instance with so much free CPU. */
static uint32_t first_with(const struct room *room, int64_t cpu)
{
	uint32_t low = 0;
	uint32_t high = room->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (free_cpu(room->instances[middle]) < cpu)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

bool room_has_failed(const struct pool *pool, const struct amount *a)
{
	const struct room *room = &pool->room;

	return room->has_failed && a->cpu >= room->failed.cpu &&
	       a->mem >= room->failed.mem && a->gpu >= room->failed.gpu;
}

static bool room_has_blocked(const struct room *room, const struct amount *a,
			     uint64_t end_ms)
{
	return room->has_blocked && a->cpu >= room->blocked.cpu &&
	       a->mem >= room->blocked.mem && a->gpu >= room->blocked.gpu &&
	       end_ms >= room->blocked_until_ms;
}

/*
 * Score of an instance for a task, lowest first: the part of its CPU that is
 * left, and how far the part of its memory that is left differs from it.
 */
static double pack_score(const struct instance *i, const struct amount *a)
{
	double cpu = (double)(free_cpu(i) - a->cpu) /
		     (double)max_int64(i->capacity.cpu, 1);
	double mem = (double)(i->capacity.mem - i->used.mem - a->mem) /
		     (double)max_int64(i->capacity.mem, 1);

	return cpu + (cpu > mem ? cpu - mem : mem - cpu);
}

/* What a search that found nothing says of further ones in this pass. */
static void note_none(struct room *room, const struct amount *a, bool blocked,
		      uint64_t end_ms)
{
	if (blocked) {
		room->has_blocked = true;
		room->blocked = *a;
		room->blocked_until_ms = end_ms;
	} else {
		room->has_failed = true;
		room->failed = *a;
		room->too_large = !amount_covers(&room->largest, a);
	}
}

/*
 * Whether no usable instance could take so much even if it were empty. The
 * summary may be out of date: it only says whether the instances are worth
 * asking, which costs less than to sort them for a search in vain.
 */
static bool is_too_large(const struct sched *s, const struct room *room,
			 const struct amount *a, uint64_t now)
{
	uint32_t n;

	if (!room->complete || amount_covers(&room->largest, a))
		return false;
	for (n = 0; n < room->count; n++) {
		const struct instance *i = room->instances[n];

		if (amount_covers(&i->capacity, a) &&
		    instance_usable(s, i, now))
			return false;
	}
	return true;
}

struct instance *room_find(struct sched *s, struct pool *pool,
			   const struct amount *a, uint32_t avoid,
			   uint64_t end_ms, uint64_t now)
{
	struct room *room = &pool->room;
	struct instance *best = NULL;
	struct instance *fallback = NULL;
	uint32_t fallback_rank = 0;
	double best_score = 0;
	uint32_t candidates = 0;
	bool blocked = false;
	uint32_t n;

	if (room_has_failed(pool, a) || room_has_blocked(room, a, end_ms))
		return NULL;
	if (!room->sorted) {
		if (is_too_large(s, room, a, now)) {
			note_none(room, a, false, end_ms);
			return NULL;
		}
		sort(s, pool, now);
	}
	for (n = first_with(room, a->cpu);
	     n < room->count && candidates < CANDIDATES_MAX; n++) {
		struct instance *i = room->instances[n];
		uint32_t rank;
		double score;

		if (!i->usable || !instance_fits(i, a))
			continue;
		if (!reserve_allows(pool, i, a, end_ms)) {
			blocked = true;
			continue;
		}
		rank = (i->handle.i + 1 == avoid) + (i->returned_ms ? 2 : 0);
		if (rank) {
			if (!fallback || rank < fallback_rank) {
				fallback = i;
				fallback_rank = rank;
			}
			continue;
		}
		if (!room->balance)
			return i;
		candidates++;
		score = pack_score(i, a);
		if (best && score >= best_score)
			continue;
		best = i;
		best_score = score;
	}
	if (best)
		return best;
	if (!fallback)
		note_none(room, a, blocked, end_ms);
	return fallback;
}

void room_taken(struct instance *i)
{
	if (i->pool->room.sorted)
		sink(&i->pool->room, i->room_slot);
}
