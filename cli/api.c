#include "cli/api.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "connection/httpc.h"

#define API_ANSWER_MAX (256u << 20) /* bytes */
#define API_TIMEOUT_MS 20000
#define API_CONNECT_TIMEOUT_MS 2000
#define API_URL_MAX 512	   /* bytes */
#define API_HEADER_MAX 512 /* bytes */

struct call {
	bool done;
	long code;
	json_t *body;
};

static void on_answer(void *arg, struct httpc_answer *answer)
{
	struct call *call = arg;

	call->done = true;
	if (answer->status != HTTPC_OK)
		return;
	call->code = answer->code;
	call->body = json_loadb(answer->body.data ? answer->body.data : "",
				answer->body.length, JSON_DECODE_ANY, NULL);
}

json_t *api_call_entry(const struct api *api, const char *entry,
		       const char *method, const char *path, const json_t *body,
		       long *code)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(ctx);
	struct httpc *http = httpc_new(ctx, ev, 1, 0);
	struct call call = { 0 };
	char url[API_URL_MAX];
	char authorization[API_HEADER_MAX];
	const char *headers[] = { authorization, NULL };
	char *request_body = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct httpc_request request = {
		.method = method,
		.url = url,
		.headers = headers,
		.body = request_body,
		.body_length = request_body ? strlen(request_body) : 0,
		.timeout_ms = API_TIMEOUT_MS,
		.connect_timeout_ms = API_CONNECT_TIMEOUT_MS,
		.answer_max = API_ANSWER_MAX,
		.once = true,
		.done = on_answer,
		.arg = &call,
	};

	snprintf(url, sizeof(url), "http://%s%s", entry, path);
	snprintf(authorization, sizeof(authorization),
		 "Authorization: Bearer %s", api->token);
	httpc_start(http, &request);
	while (!call.done)
		tevent_loop_once(ev);
	talloc_free(ctx);
	free(request_body);
	*code = call.code;
	return call.body;
}

json_t *api_call(const struct api *api, const char *method, const char *path,
		 const json_t *body, long *code)
{
	json_t *answer = NULL;
	int i;

	*code = 0;
	for (i = 0; i < api->entry_count && !*code; i++)
		answer = api_call_entry(api, api->entries[i], method, path,
					body, code);
	return answer;
}
