#include "process/share.h"

#include <stdbool.h>

#define SHARE_OPEN (-1.0) /* not yet given its demand */

static double open_weight(const struct share_claim *claims, uint32_t count)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (claims[i].given < 0)
			sum += claims[i].weight;
	return sum;
}

/* Gives their demand to all claims below the level; true if there was one. */
static bool satisfy(struct share_claim *claims, uint32_t count, double level,
		    double *capacity)
{
	bool any = false;
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct share_claim *c = &claims[i];

		if (c->given >= 0 || c->demand > level * c->weight)
			continue;
		c->given = c->demand;
		*capacity -= c->demand;
		any = true;
	}
	return any;
}

void share_divide(struct share_claim *claims, uint32_t count, double capacity)
{
	double weight;
	uint32_t i;

	for (i = 0; i < count; i++)
		claims[i].given = SHARE_OPEN;
	do {
		weight = open_weight(claims, count);
		if (weight <= 0)
			return;
		if (capacity < 0)
			capacity = 0;
	} while (satisfy(claims, count, capacity / weight, &capacity));
	for (i = 0; i < count; i++)
		if (claims[i].given < 0)
			claims[i].given = capacity * claims[i].weight / weight;
}
