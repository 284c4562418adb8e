/*
 * share - weighted max-min allocation
 *
 * Capacity goes to claimants in proportion to their weights; what one cannot
 * use is divided among the others in the same way.
 */
#ifndef SHARE_H
#define SHARE_H

#include <stdint.h>

struct share_claim {
	double weight; /* above zero */
	double demand; /* most that it can use */
	double given;  /* result */
};

/* share_divide - set `given` of each claim; their sum is at most capacity */
void share_divide(struct share_claim *claims, uint32_t count, double capacity);

#endif
