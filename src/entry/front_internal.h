/*
 * front_internal - shared by the fronts' source files
 *
 * front.c		threads, callers' requests, messages from the core
 * front_worker.c	exchanges with workers, answers to callers
 */
#ifndef FRONT_INTERNAL_H
#define FRONT_INTERNAL_H

#include "connection/httpc.h"
#include "entry/entry_internal.h"
#include "request/outcome.h"

#define FRONT_HEADERS_MAX 100

enum front_message {
	FRONT_MESSAGE_NONE,
	FRONT_MESSAGE_START,
	FRONT_MESSAGE_REFUSE
};

/* A caller's request, until it is answered. */
struct request {
	struct job job; /* must be first: callbacks cast it to the request */
	struct front *front;
	struct httpd_request *http;
	struct request *next_message;
	enum front_message message;
	enum job_refusal refusal;
	bool timed_out;
	const char *path_suffix; /* follows the queue's name */
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
	struct cfg *cfg; /* the version this front works with */
	int message_fd;
	pthread_mutex_t message_lock;
	struct request *messages;
	struct request **messages_tail;
	bool stop;    /* stop accepting connections; under message_lock */
	bool stopped; /* no longer accepts connections */
	_Atomic uint32_t pending;
	_Atomic uint64_t outcomes[3]; /* index: enum outcome */
};

/*
 * The front on whose thread the core is running, else NULL. Messages for it
 * need no wake-up: it processes them when the core returns.
 */
extern __thread struct front *front_in_core;

/* front_process_messages - process the messages from the core */
void front_process_messages(struct front *f);

/* front_send_text - answer with an outcome and a reason */
void front_send_text(struct front *f, struct httpd_request *http,
		     unsigned int code, enum outcome outcome,
		     const char *reason);

/* front_request_free - free an answered request */
void front_request_free(struct request *r);

/* front_finish_refused - answer a refused request and free it */
void front_finish_refused(struct request *r, enum job_refusal refusal);

/* front_end_attempt - report an attempt's result to the core */
enum core_next front_end_attempt(struct request *r, enum job_result result);

/* front_send_to_worker - send the request to the instance chosen by the core */
void front_send_to_worker(struct request *r);

#endif
