/*
 * leader_rig - a scheduler, the instances that it calls and its callers, in
 * virtual time
 *
 * The leader handles one thing at a time, in the order of arrival, and each
 * takes a fixed time of its processor. Instances run what they are told to, and
 * answer polls when a task ends.
 */
#ifndef LEADER_RIG_H
#define LEADER_RIG_H

#include "pool/sched.h"

#define LEADER_RIG_POOLS 2u
#define LEADER_RIG_WORKSPACES 60u
#define LEADER_RIG_CLASSES 2u

struct leader_rig;

struct leader_rig_options {
	uint32_t instances;	/* of each pool; 16 cores each */
	double processor_share; /* of the core by which costs are stated */
};

/* What callers of one class sent, and what they got. */
struct leader_rig_class {
	uint32_t sent;
	uint32_t in_time; /* completed within their objective from the first
			     submission */
	uint32_t late;
	uint32_t refused;      /* given up after the last refusal */
	uint32_t retried;      /* submissions after a refusal */
	uint32_t answers;      /* to submissions */
	uint32_t slow_answers; /* after more than LEADER_RIG_ANSWER_MS */
};

#define LEADER_RIG_ANSWER_MS 600u

struct leader_rig *leader_rig_new(const struct leader_rig_options *options);
void leader_rig_free(struct leader_rig *r);

/*
 * leader_rig_send - lets jobs of a class arrive from now on
 *
 * Class 0: one step of 8 tasks of 640 ms. Class 1: two steps of 8 tasks of
 * 1,300 ms. per_s: jobs per second; 0: no more.
 */
void leader_rig_send(struct leader_rig *r, uint32_t class, double per_s);

/* leader_rig_cost_us - processor time that one job of a class takes */
double leader_rig_cost_us(uint32_t class);

/* leader_rig_refusal_us - the same of a job that is refused each time */
double leader_rig_refusal_us(void);

/* leader_rig_run - let this much virtual time pass */
void leader_rig_run(struct leader_rig *r, uint32_t ms);

/* leader_rig_forget - start counting anew */
void leader_rig_forget(struct leader_rig *r);

const struct leader_rig_class *leader_rig_class(const struct leader_rig *r,
						uint32_t class);

/* leader_rig_add_ended - add jobs that ended before */
void leader_rig_add_ended(struct leader_rig *r, uint32_t count);

/* leader_rig_add_waiting - add jobs of class 0 that find no room */
void leader_rig_add_waiting(struct leader_rig *r, uint32_t count);

#endif
