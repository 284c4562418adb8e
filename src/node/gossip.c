/*
 * gossip - beats between nodes, and copies of the configuration
 *
 * Each node beats to the lead and, in turn, to the others. A beat carries
 * who leads, since when that lead was heard of, who else there is, and the
 * configuration version; a node that lacks the newest asks one of those that
 * have it for a copy. So news reaches a node that the store turns away.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

#define BEAT_LEAD_MS 300u  /* between two beats to the lead */
#define BEAT_OTHER_MS 300u /* between two beats to one of the others */
#define BEAT_WAIT_MS 500u
#define BEAT_CONNECT_MS 250u	/* a machine without power refuses nothing */
#define CONFIG_WAIT_MS 400u	/* for the store to bring it; a fifth of 2 s */
#define CONFIG_WAIT_OK_MS 1200u /* the same of a store that answers */
#define COPY_MS 10000u		/* as long as bytes come */
#define COPY_STALL_MS 1000u
#define COPY_PAUSE_MS 100u /* before another peer is asked */
#define BEAT_PEERS_TOLD \
	3u /* each node also makes itself known to all in turn */
#define PEER_GONE_MS 60000u /* silent that long: forgotten */
#define SEED_MS 1000u	    /* between two beats to a seed */

struct beat_call {
	struct node *node;
	uint8_t *body;
	char address[64];
	uint64_t lead_incarnation; /* of the lead that is there; 0: none */
	uint64_t sent_ms;
	bool copy; /* asks for the configuration */
};

static struct peer_node *peer_find(struct node *n, const char *name)
{
	uint32_t i;

	for (i = 0; i < n->peer_count; i++)
		if (!strcmp(n->peers[i].name, name))
			return &n->peers[i];
	return NULL;
}

void gossip_learn(struct node *n, const char *name, const Fleet__NodeRow *row)
{
	struct peer_node *p;

	if (!strcmp(name, n->settings.name) || !row || !*row->address)
		return;
	p = peer_find(n, name);
	if (!p) {
		if (n->peer_count == NODE_PEERS_MAX)
			return;
		p = &n->peers[n->peer_count++];
		memset(p, 0, sizeof(*p));
		snprintf(p->name, sizeof(p->name), "%s", name);
		p->heard_ms = clock_now_ms();
		event_log("peer", NULL, "\"peer\":\"%s\",\"address\":\"%s\"",
			  name, row->address);
	}
	snprintf(p->address, sizeof(p->address), "%s", row->address);
	snprintf(p->zone, sizeof(p->zone), "%s", row->zone);
	snprintf(p->links, sizeof(p->links), "%s", row->links);
	p->incarnation = row->incarnation;
	p->power = row->power;
}

/* The power of the strongest other node that was heard since since_ms. */
uint32_t gossip_strongest(const struct node *n, uint64_t since_ms)
{
	uint32_t power = 0;
	uint32_t i;

	for (i = 0; i < n->peer_count; i++)
		if (n->peers[i].heard_ms >= since_ms &&
		    n->peers[i].power > power)
			power = n->peers[i].power;
	return power;
}

/* Beats */

static void fill_row(const struct node *n, Fleet__NodeRow *row)
{
	fleet__node_row__init(row);
	row->address = (char *)n->settings.peers;
	row->zone = (char *)n->settings.zone;
	if (n->settings.links)
		row->links = (char *)n->settings.links;
	row->incarnation = n->incarnation;
	row->power = n->settings.power;
}

/*
 * A configuration is large and reaches most nodes from the store; it is asked
 * of a peer only when the store has not brought it soon, of one at a time.
 */
static bool copy_wanted(const struct node *n, uint64_t now)
{
	uint32_t wait_ms = n->store_ok ? CONFIG_WAIT_OK_MS : CONFIG_WAIT_MS;

	if (n->copying || now < n->copy_ms)
		return false;
	return !n->config || (n->config_behind_since_ms &&
			      now - n->config_behind_since_ms >= wait_ms);
}

/* What this node knows; the result is packed, owned by ctx. */
uint8_t *gossip_pack(struct node *n, TALLOC_CTX *ctx, bool with_config,
		     size_t *length)
{
	Fleet__Beat beat = FLEET__BEAT__INIT;
	Fleet__NodeRow self;
	Fleet__PeerInfo infos[BEAT_PEERS_TOLD];
	Fleet__NodeRow rows[BEAT_PEERS_TOLD];
	Fleet__PeerInfo *told[BEAT_PEERS_TOLD];
	uint32_t i;

	fill_row(n, &self);
	beat.node = (char *)n->settings.name;
	beat.row = &self;
	beat.epoch = n->leader.epoch;
	beat.lead = n->leader.node;
	beat.lead_address = n->leader.address;
	beat.lead_incarnation = n->leader.incarnation;
	beat.config_version = n->config ? n->config->version : 0;
	beat.config_age_ms = staleness_ms(n, clock_now_ms());
	beat.leading = leader_is_live(n);
	beat.lead_age_ms = leader_live_age_ms(n);
	beat.stopping = n->stopping;
	if (with_config && n->config) {
		beat.config.data = n->config_bytes;
		beat.config.len = n->config_length;
	}
	for (i = 0; i < BEAT_PEERS_TOLD && i < n->peer_count; i++) {
		const struct peer_node *p =
			&n->peers[(n->peer_turn + i) % n->peer_count];

		fleet__peer_info__init(&infos[i]);
		fleet__node_row__init(&rows[i]);
		rows[i].address = (char *)p->address;
		rows[i].zone = (char *)p->zone;
		rows[i].links = (char *)p->links;
		rows[i].incarnation = p->incarnation;
		rows[i].power = p->power;
		infos[i].node = (char *)p->name;
		infos[i].row = &rows[i];
		told[i] = &infos[i];
	}
	beat.peers = told;
	beat.n_peers = i;
	return node_pack(ctx, &beat, length);
}

static void learn_lead(struct node *n, const Fleet__Beat *beat)
{
	struct leader_view view = { .known = true };

	if (!beat->epoch || beat->epoch < n->leader.epoch)
		return;
	/* The same claim is known already, with its revision. */
	if (n->leader.known && beat->epoch == n->leader.epoch)
		return;
	snprintf(view.node, sizeof(view.node), "%s", beat->lead);
	snprintf(view.address, sizeof(view.address), "%s", beat->lead_address);
	view.incarnation = beat->lead_incarnation;
	view.epoch = beat->epoch;
	leader_learn(n, &view, "peer");
}

static bool beat_is_newer(const struct node *n, uint64_t config_version)
{
	return config_version > (n->config ? n->config->version : 0);
}

static void learn_config(struct node *n, const Fleet__Beat *beat)
{
	if (!beat_is_newer(n, beat->config_version))
		return;
	if (!n->config_behind_since_ms) {
		n->config_behind_since_ms = clock_now_ms();
		event_log("config-behind", NULL,
			  "\"peer\":\"%s\",\"version\":%" PRIu64
			  ",\"own\":%" PRIu64,
			  beat->node, beat->config_version,
			  n->config ? n->config->version : 0);
	}
	if (beat->config.len)
		watch_config_bytes(n, beat->config.data, beat->config.len,
				   "peer");
}

void gossip_hear(struct node *n, const Fleet__Beat *beat)
{
	struct peer_node *p;
	uint64_t now = clock_now_ms();
	size_t i;

	gossip_learn(n, beat->node, beat->row);
	for (i = 0; i < beat->n_peers; i++)
		if (!peer_find(n, beat->peers[i]->node))
			gossip_learn(n, beat->peers[i]->node,
				     beat->peers[i]->row);
	learn_lead(n, beat);
	if (beat->row)
		leader_peer_seen(n, beat->node, beat->row->incarnation);
	/* A beat that was sent before the last claim tells nothing of it. */
	if (beat->epoch == n->leader.epoch) {
		if (!strcmp(beat->node, n->leader.node))
			leader_heartbeat(n, beat->leading, now);
		else
			leader_reported_live(n, beat->lead_age_ms, now);
	}
	p = peer_find(n, beat->node);
	if (p) {
		p->heard_ms = now;
		p->config_version = beat->config_version;
	}
	learn_config(n, beat);
}

static void copy_ended(struct node *n, const struct beat_call *call,
		       const struct httpc_answer *h)
{
	n->copying = false;
	n->copy_ms = clock_now_ms() + COPY_PAUSE_MS;
	event_log("config-asked", NULL,
		  "\"address\":\"%s\",\"status\":%d,\"code\":%ld,"
		  "\"bytes\":%zu,\"took_ms\":%" PRIu64,
		  call->address, h->status, h->code, h->body.length,
		  clock_now_ms() - call->sent_ms);
}

static void on_beat_answer(void *arg, struct httpc_answer *h)
{
	struct beat_call *call = arg;
	struct node *n = call->node;
	Fleet__Beat *beat = NULL;
	uint32_t i;

	if (call->copy)
		copy_ended(n, call, h);
	for (i = 0; i < n->peer_count; i++)
		if (!call->copy && !strcmp(n->peers[i].address, call->address))
			n->peers[i].beating = false;
	if (h->refused)
		leader_connection_refused(n, call->lead_incarnation);
	if (h->status == HTTPC_OK && h->code == 200)
		beat = fleet__beat__unpack(NULL, h->body.length,
					   (uint8_t *)h->body.data);
	if (beat) {
		/* A copy is long under way: its word on the lead is old. */
		if (call->copy)
			learn_config(n, beat);
		else
			gossip_hear(n, beat);
		staleness_peer_report(n, beat->config_version,
				      beat->config_age_ms, call->sent_ms);
		fleet__beat__free_unpacked(beat, NULL);
	}
	talloc_free(call);
}

static void beat_call_start(struct node *n, const char *address, bool copy)
{
	struct beat_call *call = talloc_zero(n, struct beat_call);
	struct httpc_request r = {
		.method = "POST",
		.timeout_ms = copy ? COPY_MS : BEAT_WAIT_MS,
		.stall_timeout_ms = copy ? COPY_STALL_MS : 0,
		.connect_timeout_ms = BEAT_CONNECT_MS,
		.done = on_beat_answer,
	};

	assert(call);
	call->node = n;
	snprintf(call->address, sizeof(call->address), "%s", address);
	if (!strcmp(address, n->leader.address))
		call->lead_incarnation = n->leader.incarnation;
	call->sent_ms = clock_now_ms();
	call->copy = copy;
	call->body = gossip_pack(n, call, false, &r.body_length);
	r.body = call->body;
	r.url = talloc_asprintf(call, "http://%s/%s", address,
				copy ? "config" : "beat");
	r.arg = call;
	httpc_start(n->http, &r);
}

static void beat_send(struct node *n, struct peer_node *p, const char *address)
{
	if (p) {
		p->beating = true;
		p->beat_ms = clock_now_ms();
	}
	beat_call_start(n, address, false);
}

/* One of those that told of a newer version, another one each time. */
static const struct peer_node *copy_peer(struct node *n)
{
	uint64_t own = n->config ? n->config->version : 0;
	uint32_t i;

	for (i = 0; i < n->peer_count; i++) {
		const struct peer_node *p =
			&n->peers[(n->copy_turn + i) % n->peer_count];

		if (p->config_version <= own)
			continue;
		n->copy_turn = (n->copy_turn + i + 1) % n->peer_count;
		return p;
	}
	return NULL;
}

static void copy_tick(struct node *n, uint64_t now)
{
	const struct peer_node *p;

	if (!copy_wanted(n, now))
		return;
	p = copy_peer(n);
	if (!p)
		return;
	n->copying = true;
	beat_call_start(n, p->address, true);
}

static void beat_lead(struct node *n, uint64_t now)
{
	struct peer_node *p;

	if (n->phase != LEADER_NONE || !n->leader.known || !*n->leader.node)
		return;
	p = peer_find(n, n->leader.node);
	if (!p) {
		Fleet__NodeRow row = FLEET__NODE_ROW__INIT;

		row.address = n->leader.address;
		row.incarnation = n->leader.incarnation;
		gossip_learn(n, n->leader.node, &row);
		return;
	}
	if (!p->beating && now - p->beat_ms >= BEAT_LEAD_MS)
		beat_send(n, p, p->address);
}

static void beat_other(struct node *n, uint64_t now)
{
	struct peer_node *p;

	if (!n->peer_count || now - n->other_beat_ms < BEAT_OTHER_MS)
		return;
	n->other_beat_ms = now;
	n->peer_turn = (n->peer_turn + 1) % n->peer_count;
	p = &n->peers[n->peer_turn];
	if (now - p->heard_ms > PEER_GONE_MS) {
		event_log("peer-forgotten", NULL, "\"peer\":\"%s\"", p->name);
		*p = n->peers[--n->peer_count];
		return;
	}
	if (!p->beating)
		beat_send(n, p, p->address);
}

static void beat_seed(struct node *n, uint64_t now)
{
	const char *seed;

	if (n->peer_count || !n->settings.seed_count ||
	    now - n->seed_ms < SEED_MS)
		return;
	n->seed_ms = now;
	seed = n->settings.seeds[n->seed_turn++ % n->settings.seed_count];
	if (strcmp(seed, n->settings.peers))
		beat_send(n, NULL, seed);
}

/* The node table */

static void on_registered(void *arg, const struct store_reply *reply)
{
	struct node *n = arg;

	n->registering = false;
	n->registered = reply->status == STORE_OK;
	node_store_result(n, reply->status);
}

static void register_self(struct node *n)
{
	struct store_txn *txn = talloc_zero(n, struct store_txn);
	Fleet__NodeRow row;

	assert(txn);
	fill_row(n, &row);
	txn->put_count = 1;
	txn->puts[0].table = NODE_TABLE_NODE;
	txn->puts[0].key = n->settings.name;
	txn->puts[0].value = node_pack(txn, &row, &txn->puts[0].length);
	n->registering = true;
	n->services->txn(n->services->impl, txn, NODE_STORE_MS, on_registered,
			 n);
	talloc_free(txn);
}

static void on_nodes(void *arg, const struct store_reply *reply)
{
	struct node *n = arg;
	uint32_t i;

	n->registering = false;
	node_store_result(n, reply->status);
	if (reply->status != STORE_OK)
		return;
	for (i = 0; i < reply->row_count; i++) {
		Fleet__NodeRow *row = fleet__node_row__unpack(
			NULL, reply->rows[i].length, reply->rows[i].value);

		if (!row)
			continue;
		gossip_learn(n, reply->rows[i].key, row);
		fleet__node_row__free_unpacked(row, NULL);
	}
	leader_nodes_loaded(n); /* now the strong are known */
	if (!n->registered)
		n->next_register_ms = 0;
}

static void read_nodes(struct node *n)
{
	n->registering = true;
	n->services->read(n->services->impl, NODE_TABLE_NODE, "", NULL,
			  NODE_STORE_MS, on_nodes, n);
}

/*
 * After a restart the others' rows are there: who is strong is read at once.
 * Hundreds of nodes that write theirs first would wait for one another.
 */
static void register_tick(struct node *n, uint64_t now)
{
	if (n->registering || now < n->next_register_ms)
		return;
	n->next_register_ms = now + SEED_MS;
	if (!n->registered && (n->settings.first_start || n->nodes_read))
		register_self(n);
	else if (!n->nodes_read)
		read_nodes(n);
}

void gossip_tick(struct node *n, uint64_t now)
{
	register_tick(n, now);
	beat_lead(n, now);
	beat_other(n, now);
	beat_seed(n, now);
	copy_tick(n, now);
}
