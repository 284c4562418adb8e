/*
 * job - one request that an entry queues and sends to a worker
 *
 * The code that accepts the request owns the job and fills in the first part;
 * the core maintains the rest from core_submit until the job is done.
 */
#ifndef JOB_H
#define JOB_H

#include <stdbool.h>
#include <stdint.h>

#include "version/cfg.h"

#define JOB_ATTEMPTS_MAX 3 /* including the first one */

enum job_state { JOB_NEW, JOB_WAITING, JOB_RUNNING, JOB_DONE };

/* Why a job was refused. It has not run, unless may_have_run is set. */
enum job_refusal {
	JOB_REFUSED_WAIT,      /* was not started in time */
	JOB_REFUSED_EARLY,     /* is not expected to start in time */
	JOB_REFUSED_FULL,      /* the queue is full */
	JOB_REFUSED_KEY,       /* its key was withdrawn while it waited */
	JOB_REFUSED_QUEUE,     /* its queue was removed while it waited */
	JOB_REFUSED_STOPPING,  /* the entry is shutting down */
	JOB_REFUSED_UNREACHED, /* its retry was not started in time */
	JOB_REFUSED_HUNG_UP,   /* the caller closed the connection */
};

/* What is known about a job after an attempt. */
enum job_result {
	JOB_ENDED,	      /* complete answer: the work has ended */
	JOB_FAILED,	      /* complete answer with a 5xx status */
	JOB_NOT_SENT,	      /* no byte of it was sent to the worker */
	JOB_NOT_RUN,	      /* the worker refused it before starting it */
	JOB_POSSIBLY_RUNNING, /* sent, answer incomplete: may still run */
};

struct job {
	/* Set by the owner */
	team_handle team;
	pool_handle pool;
	enum cfg_class class;
	bool idempotent;
	uint32_t run_max_ms; /* task lease */
	uint64_t arrived_ms;
	uint64_t deadline_ms;	  /* refused if not started by then */
	uint32_t bytes;		  /* memory that it takes while it waits */
	uint64_t checked_version; /* configuration version that allowed it */
	char key[CFG_NAME_MAX + 1];
	char queue[CFG_NAME_MAX + 1];
	uint8_t key_hash[CFG_HASH_BYTES];

	/* Set by the core */
	struct job *prev;
	struct job *next;
	enum job_state state;
	instance_handle instance; /* while it runs */
	uint64_t started_ms;
	uint64_t not_before_ms; /* earliest start of a retry */
	bool may_have_run;	/* an attempt had no complete answer */
	uint32_t attempts;
	uint32_t attempted[JOB_ATTEMPTS_MAX]; /* instance of each attempt */
};

#endif
