/*
 * share - weighted max-min allocation
 *
 * Divides capacity among claims in proportion to their weights; what a claim
 * cannot use is divided among the others in the same way.
 */
#ifndef SHARE_H
#define SHARE_H

#include <stdint.h>

struct share_claim {
	double weight;	  /* above zero */
	double demand;	  /* most that the claim can use */
	double allocated; /* result */
};

/* share_divide - set `allocated` of each claim, at most capacity in sum */
void share_divide(struct share_claim *claims, uint32_t count, double capacity);

#endif
