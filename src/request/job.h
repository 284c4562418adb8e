/*
 * job - one request on its way through an entry
 *
 * Whoever accepts the request owns the job and fills the first part; the
 * rest belongs to the core while the job is with it.
 */
#ifndef JOB_H
#define JOB_H

#include <stdbool.h>
#include <stdint.h>

#include "version/cfg.h"

#define JOB_ATTEMPTS_MAX 3 /* attempts, the first one counted */

enum job_state { JOB_NEW, JOB_WAITING, JOB_RUNNING, JOB_DONE };

/* Why a job was refused; each is a promise that it has not run. */
enum job_refusal {
	JOB_REFUSED_WAIT,      /* could not start in time */
	JOB_REFUSED_EARLY,     /* would not start in time */
	JOB_REFUSED_FULL,      /* the queue is full */
	JOB_REFUSED_KEY,       /* its key was withdrawn while it waited */
	JOB_REFUSED_QUEUE,     /* its queue was removed while it waited */
	JOB_REFUSED_STOPPING,  /* the entry is going away */
	JOB_REFUSED_UNREACHED, /* no worker could be reached */
	JOB_REFUSED_HUNG_UP,   /* the caller had gone */
};

/* What is known about a job's work after an attempt. */
enum job_result {
	JOB_ENDED,	      /* a whole answer: the work has ended */
	JOB_FAILED,	      /* a whole answer that tells of a failure (5xx) */
	JOB_NOT_SENT,	      /* no byte of it left for the worker */
	JOB_NOT_RUN,	      /* the worker refused it before starting */
	JOB_POSSIBLY_RUNNING, /* sent, and no whole answer: it may still run */
};

struct job {
	/* Set by the owner */
	team_handle team;
	pool_handle pool;
	enum cfg_class class;
	bool idempotent;
	uint32_t run_max_ms;
	uint64_t arrived_ms;
	uint64_t deadline_ms;	  /* refused if not started by then */
	uint32_t bytes;		  /* memory it takes while it waits */
	uint64_t checked_version; /* configuration its key was checked with */
	char key[CFG_NAME_MAX + 1];
	char queue[CFG_NAME_MAX + 1];
	uint8_t key_hash[CFG_HASH_BYTES];

	/* The core's */
	struct job *prev;
	struct job *next;
	enum job_state state;
	instance_handle instance; /* while it runs */
	uint64_t started_ms;
	uint64_t not_before_ms; /* of a retry */
	bool may_have_run;	/* an attempt was sent without whole answer */
	uint32_t attempts;
	uint32_t attempted[JOB_ATTEMPTS_MAX]; /* instances */
};

#endif
