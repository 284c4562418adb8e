/*
 * front_internal - what the fronts' source files share
 *
 * front.c has the threads, requests from callers and mail from the core;
 * front_worker.c has the exchange with workers and answers to callers.
 */
#ifndef FRONT_INTERNAL_H
#define FRONT_INTERNAL_H

#include "connection/httpc.h"
#include "entry/entry_internal.h"
#include "request/outcome.h"

#define FRONT_HEADERS_MAX 100

enum mail_kind { MAIL_NONE, MAIL_START, MAIL_REFUSE };

/* A caller's request while this entry has it. */
struct request {
	struct job job; /* first member */
	struct front *front;
	struct httpd_request *http;
	struct request *next_mail;
	enum mail_kind mail;
	enum job_refusal refusal;
	bool timed_out;
	const char *rest; /* of the path, after the queue's name */
	const char *headers[FRONT_HEADERS_MAX + 1];
	uint32_t header_count;
};

struct front {
	struct entry *entry;
	uint32_t index;
	pthread_t thread;
	struct tevent_context *ev;
	struct httpd *server;
	struct httpc *client;
	struct cfg *cfg; /* as last seen */
	int mail_fd;
	pthread_mutex_t mail_lock;
	struct request *mail;
	struct request **mail_tail;
	bool stop;    /* under mail_lock */
	bool stopped; /* accepts no more */
	_Atomic uint32_t pending;
	_Atomic uint64_t outcomes[3]; /* by enum outcome */
};

/* The front whose thread is in the core now; its mail needs no wake-up. */
extern __thread struct front *front_in_core;

/* front_run_mail - carry out what the core has posted */
void front_run_mail(struct front *f);

/* front_send_text - answer with an outcome and its reason */
void front_send_text(struct front *f, struct httpd_request *http,
		     unsigned int code, enum outcome outcome,
		     const char *reason);

/* front_request_free - forget an answered request */
void front_request_free(struct request *r);

/* front_finish_refused - answer a refused request and free it */
void front_finish_refused(struct request *r, enum job_refusal why);

/* front_end_job - report an attempt's result to the core */
enum core_next front_end_job(struct request *r, enum job_result result);

/* front_send_to_worker - start the attempt that the core has chosen */
void front_send_to_worker(struct request *r);

#endif
