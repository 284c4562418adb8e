#include "process/share.h"

#include <stdbool.h>

#define SHARE_UNALLOCATED (-1.0) /* the claim has no allocation yet */

static double unallocated_weight(const struct share_claim *claims,
				 uint32_t count)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (claims[i].allocated < 0)
			sum += claims[i].weight;
	return sum;
}

/*
 * Allocates their demand to all claims whose demand per weight is at most
 * level; true if there were any.
 */
static bool allocate_demands(struct share_claim *claims, uint32_t count,
			     double level, double *capacity)
{
	bool found = false;
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct share_claim *c = &claims[i];

		if (c->allocated >= 0 || c->demand > level * c->weight)
			continue;
		c->allocated = c->demand;
		*capacity -= c->demand;
		found = true;
	}
	return found;
}

void share_divide(struct share_claim *claims, uint32_t count, double capacity)
{
	double weight;
	uint32_t i;

	for (i = 0; i < count; i++)
		claims[i].allocated = SHARE_UNALLOCATED;
	do {
		weight = unallocated_weight(claims, count);
		if (weight <= 0)
			return;
		if (capacity < 0)
			capacity = 0;
	} while (allocate_demands(claims, count, capacity / weight, &capacity));
	for (i = 0; i < count; i++)
		if (claims[i].allocated < 0)
			claims[i].allocated =
				capacity * claims[i].weight / weight;
}
