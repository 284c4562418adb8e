/*
 * gossip - heartbeats between nodes, and configuration fetched from peers
 *
 * Each node sends heartbeats to the leader and, round robin, to the other
 * nodes. A heartbeat names the leader, when the sender last knew it to be live,
 * some other peers, and the sender's configuration version. A node that lacks
 * the newest version fetches it from a peer that has it. So a node stays up to
 * date while the store refuses its calls.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

#define PEER_HEARTBEAT_MS 300u /* between two heartbeats to other peers */
#define HEARTBEAT_TIMEOUT_MS 500u

/*
 * The heartbeats of all nodes take a leader no more than HEARTBEAT_SHARE of its
 * processor, as long as their interval stays below LEADER_HEARTBEAT_MAX_MS.
 */
#define HEARTBEAT_COST_US 200u /* processor time to receive and answer one */
#define HEARTBEAT_SHARE 0.2
#define LEADER_HEARTBEAT_MAX_MS 2000u

/*
 * A leader that answers late is not silent. A heartbeat without an answer is
 * followed by another one, since its connection may be dead.
 */
#define LEADER_HEARTBEAT_TIMEOUT_MS 2000u
#define CONNECT_TIMEOUT_MS 250u /* a powered-off machine doesn't refuse */

/*
 * From learning of a newer configuration until it is fetched from a peer, if
 * the store hasn't sent it: while the store answers, and while its calls fail.
 * The latter is a fifth of the usual config_ms of 2 s.
 */
#define CONFIG_WAIT_STORE_MS 1200u
#define CONFIG_WAIT_NO_STORE_MS 400u

#define FETCH_TIMEOUT_MS 10000u /* for the whole transfer */
#define FETCH_STALL_MS 1000u	/* without a byte */
#define FETCH_PAUSE_MS 100u	/* between two fetches */

/* Peers described per heartbeat; few, since each node contacts all others. */
#define HEARTBEAT_PEERS 3u
#define PEER_FORGET_MS 60000u /* without a heartbeat or answer */

/* Between two heartbeats to seeds, and between two calls for the node table. */
#define SEED_INTERVAL_MS 1000u

struct heartbeat_call {
	struct node *node;
	uint8_t *body;
	char address[NODE_ADDRESS_MAX];
	uint64_t leader_incarnation; /* 0: the address isn't the leader's */
	uint64_t sent_ms;
	bool fetch_config; /* asks for the configuration too */
};

static struct peer_node *find_peer(struct node *n, const char *name)
{
	uint32_t i;

	for (i = 0; i < n->peer_count; i++)
		if (!strcmp(n->peers[i].name, name))
			return &n->peers[i];
	return NULL;
}

void gossip_update_peer(struct node *n, const char *name,
			const Fleet__NodeRow *row)
{
	struct peer_node *p;

	if (!strcmp(name, n->settings.name) || !row || !*row->address)
		return;
	p = find_peer(n, name);
	if (!p) {
		if (n->peer_count == NODE_PEERS_MAX)
			return;
		p = &n->peers[n->peer_count++];
		memset(p, 0, sizeof(*p));
		snprintf(p->name, sizeof(p->name), "%s", name);
		p->last_heard_ms = clock_now_ms();
		event_log("peer", NULL, "\"peer\":\"%s\",\"address\":\"%s\"",
			  name, row->address);
	}
	snprintf(p->address, sizeof(p->address), "%s", row->address);
	snprintf(p->zone, sizeof(p->zone), "%s", row->zone);
	snprintf(p->links, sizeof(p->links), "%s", row->links);
	p->incarnation = row->incarnation;
	p->power = row->power;
	p->formats = row->formats;
}

bool gossip_all_read(const struct node *n, uint32_t format)
{
	uint32_t i;

	for (i = 0; i < n->peer_count; i++)
		if (n->peers[i].formats < format)
			return false;
	return n->nodes_read;
}

/* Largest power of the peers heard from since since_ms. */
uint32_t gossip_max_power(const struct node *n, uint64_t since_ms)
{
	uint32_t power = 0;
	uint32_t i;

	for (i = 0; i < n->peer_count; i++)
		if (n->peers[i].last_heard_ms >= since_ms &&
		    n->peers[i].power > power)
			power = n->peers[i].power;
	return power;
}

/* Heartbeats */

static void fill_node_row(const struct node *n, Fleet__NodeRow *row)
{
	fleet__node_row__init(row);
	row->address = (char *)n->settings.peers;
	row->zone = (char *)n->settings.zone;
	if (n->settings.links)
		row->links = (char *)n->settings.links;
	row->incarnation = n->incarnation;
	row->power = n->settings.power;
	row->formats = ROW_FORMAT_RANGES;
}

/*
 * A configuration is large and reaches most nodes through the store. A node
 * fetches it from peers only when the store is late, from one at a time.
 */
static bool config_fetch_due(const struct node *n, uint64_t now)
{
	uint32_t wait_ms =
		n->store_ok ? CONFIG_WAIT_STORE_MS : CONFIG_WAIT_NO_STORE_MS;

	if (n->fetching_config || now < n->next_fetch_ms)
		return false;
	return !n->config || (n->config_behind_since_ms &&
			      now - n->config_behind_since_ms >= wait_ms);
}

uint8_t *gossip_pack(struct node *n, TALLOC_CTX *ctx, bool with_config,
		     size_t *length)
{
	Fleet__Beat heartbeat = FLEET__BEAT__INIT;
	Fleet__NodeRow self;
	Fleet__PeerInfo infos[HEARTBEAT_PEERS];
	Fleet__NodeRow rows[HEARTBEAT_PEERS];
	Fleet__PeerInfo *peers[HEARTBEAT_PEERS];
	TALLOC_CTX *tmp;
	uint8_t *bytes;
	uint32_t i;

	fill_node_row(n, &self);
	heartbeat.node = (char *)n->settings.name;
	heartbeat.row = &self;
	heartbeat.epoch = n->leader.epoch;
	heartbeat.lead = n->leader.node;
	heartbeat.lead_address = n->leader.address;
	heartbeat.lead_incarnation = n->leader.incarnation;
	heartbeat.config_version = n->config ? n->config->version : 0;
	heartbeat.config_age_ms = staleness_ms(n, clock_now_ms());
	heartbeat.leading = leader_is_live(n);
	heartbeat.lead_age_ms = leader_live_age_ms(n);
	heartbeat.stopping = n->stopping;
	if (with_config && n->config) {
		heartbeat.config.data = n->config_bytes;
		heartbeat.config.len = n->config_length;
	}
	for (i = 0; i < HEARTBEAT_PEERS && i < n->peer_count; i++) {
		const struct peer_node *p =
			&n->peers[(n->next_peer + i) % n->peer_count];

		fleet__peer_info__init(&infos[i]);
		fleet__node_row__init(&rows[i]);
		rows[i].address = (char *)p->address;
		rows[i].zone = (char *)p->zone;
		rows[i].links = (char *)p->links;
		rows[i].incarnation = p->incarnation;
		rows[i].power = p->power;
		infos[i].node = (char *)p->name;
		infos[i].row = &rows[i];
		peers[i] = &infos[i];
	}
	heartbeat.peers = peers;
	heartbeat.n_peers = i;
	tmp = talloc_new(ctx);
	evacuations_gossip_pack(n, tmp, &heartbeat);
	bytes = node_pack(ctx, &heartbeat, length);
	talloc_free(tmp);
	return bytes;
}

static void update_leader(struct node *n, const Fleet__Beat *heartbeat)
{
	struct leader_view view = { .known = true };

	if (!heartbeat->epoch || heartbeat->epoch < n->leader.epoch)
		return;
	/* This claim is known already; a heartbeat lacks its revision. */
	if (n->leader.known && heartbeat->epoch == n->leader.epoch)
		return;
	snprintf(view.node, sizeof(view.node), "%s", heartbeat->lead);
	snprintf(view.address, sizeof(view.address), "%s",
		 heartbeat->lead_address);
	view.incarnation = heartbeat->lead_incarnation;
	view.epoch = heartbeat->epoch;
	leader_learn(n, &view, "peer");
}

static bool config_is_newer(const struct node *n, uint64_t config_version)
{
	return config_version > (n->config ? n->config->version : 0);
}

static void update_config(struct node *n, const Fleet__Beat *heartbeat)
{
	if (!config_is_newer(n, heartbeat->config_version))
		return;
	if (!n->config_behind_since_ms) {
		n->config_behind_since_ms = clock_now_ms();
		event_log("config-behind", NULL,
			  "\"peer\":\"%s\",\"version\":%" PRIu64
			  ",\"own\":%" PRIu64,
			  heartbeat->node, heartbeat->config_version,
			  n->config ? n->config->version : 0);
	}
	if (heartbeat->config.len)
		watch_config_bytes(n, heartbeat->config.data,
				   heartbeat->config.len, "peer");
}

void gossip_receive(struct node *n, const Fleet__Beat *heartbeat)
{
	struct peer_node *p;
	uint64_t now = clock_now_ms();
	uint64_t live_ms;
	size_t i;

	gossip_update_peer(n, heartbeat->node, heartbeat->row);
	for (i = 0; i < heartbeat->n_peers; i++)
		if (!find_peer(n, heartbeat->peers[i]->node))
			gossip_update_peer(n, heartbeat->peers[i]->node,
					   heartbeat->peers[i]->row);
	update_leader(n, heartbeat);
	if (heartbeat->row)
		leader_peer_seen(n, heartbeat->node,
				 heartbeat->row->incarnation);
	/* A heartbeat of an earlier epoch says nothing about this leader. */
	if (heartbeat->epoch == n->leader.epoch) {
		live_ms = n->leader_live_ms;
		if (!strcmp(heartbeat->node, n->leader.node))
			leader_heartbeat(n, heartbeat->leading, now);
		else
			leader_reported_live(n, heartbeat->lead_age_ms, now);
		if (n->leader_live_ms != live_ms)
			term_heard_from(n, heartbeat->node);
	}
	p = find_peer(n, heartbeat->node);
	if (p) {
		p->last_heard_ms = now;
		p->config_version = heartbeat->config_version;
	}
	update_config(n, heartbeat);
	evacuations_gossip_receive(n, heartbeat);
}

static void config_fetch_ended(struct node *n,
			       const struct heartbeat_call *call,
			       const struct httpc_answer *h)
{
	n->fetching_config = false;
	n->next_fetch_ms = clock_now_ms() + FETCH_PAUSE_MS;
	event_log("config-asked", NULL,
		  "\"address\":\"%s\",\"status\":%d,\"code\":%ld,"
		  "\"bytes\":%zu,\"took_ms\":%" PRIu64,
		  call->address, h->status, h->code, h->body.length,
		  clock_now_ms() - call->sent_ms);
}

static void on_heartbeat_answer(void *arg, struct httpc_answer *h)
{
	struct heartbeat_call *call = arg;
	struct node *n = call->node;
	Fleet__Beat *heartbeat = NULL;
	uint32_t i;

	if (call->fetch_config)
		config_fetch_ended(n, call, h);
	else if (call->leader_incarnation)
		term_heartbeat_done(n, h->status, h->code);
	for (i = 0; i < n->peer_count; i++)
		if (!call->fetch_config && n->peers[i].heartbeats_pending &&
		    !strcmp(n->peers[i].address, call->address))
			n->peers[i].heartbeats_pending--;
	if (h->refused)
		leader_connection_refused(n, call->leader_incarnation);
	if (h->status == HTTPC_OK && h->code == 200)
		heartbeat = fleet__beat__unpack(NULL, h->body.length,
						(uint8_t *)h->body.data);
	if (heartbeat) {
		/* After a long transfer, the leader in it is outdated. */
		if (call->fetch_config) {
			update_config(n, heartbeat);
		} else {
			/* Also by a leader that was replaced meanwhile. */
			if (call->leader_incarnation)
				leader_answered(&n->leader_answers,
						call->sent_ms, clock_now_ms());
			gossip_receive(n, heartbeat);
		}
		staleness_peer_report(n, heartbeat->config_version,
				      heartbeat->config_age_ms, call->sent_ms);
		evacuations_gossip_proof(n, heartbeat, call->sent_ms);
		fleet__beat__free_unpacked(heartbeat, NULL);
	}
	talloc_free(call);
}

static void heartbeat_call_start(struct node *n, const char *address,
				 bool fetch_config)
{
	struct heartbeat_call *call = talloc_zero(n, struct heartbeat_call);
	struct httpc_request r = {
		.method = "POST",
		.timeout_ms = HEARTBEAT_TIMEOUT_MS,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.done = on_heartbeat_answer,
	};

	assert(call);
	call->node = n;
	snprintf(call->address, sizeof(call->address), "%s", address);
	if (!strcmp(address, n->leader.address)) {
		call->leader_incarnation = n->leader.incarnation;
		r.timeout_ms = LEADER_HEARTBEAT_TIMEOUT_MS;
	}
	if (fetch_config) {
		r.timeout_ms = FETCH_TIMEOUT_MS;
		r.stall_timeout_ms = FETCH_STALL_MS;
	} else if (call->leader_incarnation) {
		n->term.heartbeats_sent++;
	}
	call->sent_ms = clock_now_ms();
	call->fetch_config = fetch_config;
	call->body = gossip_pack(n, call, false, &r.body_length);
	r.body = call->body;
	r.url = talloc_asprintf(call, "http://%s/%s", address,
				fetch_config ? "config" : "beat");
	r.arg = call;
	httpc_start(n->http, &r);
}

static void heartbeat_send(struct node *n, struct peer_node *p,
			   const char *address)
{
	if (p) {
		p->heartbeats_pending++;
		p->heartbeat_sent_ms = clock_now_ms();
	}
	heartbeat_call_start(n, address, false);
}

/* Next in turn of the peers that reported a newer version; NULL: none. */
static const struct peer_node *next_config_peer(struct node *n)
{
	uint64_t own = n->config ? n->config->version : 0;
	uint32_t i;

	for (i = 0; i < n->peer_count; i++) {
		const struct peer_node *p =
			&n->peers[(n->next_fetch_peer + i) % n->peer_count];

		if (p->config_version <= own)
			continue;
		n->next_fetch_peer =
			(n->next_fetch_peer + i + 1) % n->peer_count;
		return p;
	}
	return NULL;
}

static void config_fetch_tick(struct node *n, uint64_t now)
{
	const struct peer_node *p;

	if (!config_fetch_due(n, now))
		return;
	p = next_config_peer(n);
	if (!p)
		return;
	n->fetching_config = true;
	heartbeat_call_start(n, p->address, true);
}

uint32_t gossip_heartbeat_interval_ms(uint32_t nodes, uint32_t power)
{
	double interval_ms = power ? nodes * (HEARTBEAT_COST_US / 1000.0) /
					     (power / 1000.0 * HEARTBEAT_SHARE)
				   : 0;

	if (interval_ms < LEADER_HEARTBEAT_MS)
		return LEADER_HEARTBEAT_MS;
	return interval_ms < LEADER_HEARTBEAT_MAX_MS ? (uint32_t)interval_ms
						     : LEADER_HEARTBEAT_MAX_MS;
}

/* Interval of this node's heartbeats to the leader. */
uint32_t gossip_leader_interval(const struct node *n)
{
	uint32_t i;

	for (i = 0; i < n->peer_count; i++)
		if (!strcmp(n->peers[i].name, n->leader.node))
			return gossip_heartbeat_interval_ms(n->peer_count,
							    n->peers[i].power);
	return LEADER_HEARTBEAT_MS;
}

static void heartbeat_leader(struct node *n, uint64_t now)
{
	struct peer_node *p;
	uint32_t wait_ms = gossip_leader_interval(n);

	if (n->phase != LEADER_NONE || !n->leader.known || !*n->leader.node)
		return;
	p = find_peer(n, n->leader.node);
	if (!p) {
		Fleet__NodeRow row = FLEET__NODE_ROW__INIT;

		row.address = n->leader.address;
		row.incarnation = n->leader.incarnation;
		gossip_update_peer(n, n->leader.node, &row);
		return;
	}
	if (p->heartbeats_pending && wait_ms < HEARTBEAT_TIMEOUT_MS)
		wait_ms = HEARTBEAT_TIMEOUT_MS;
	if (now - p->heartbeat_sent_ms >= wait_ms)
		heartbeat_send(n, p, p->address);
}

static void heartbeat_peer(struct node *n, uint64_t now)
{
	struct peer_node *p;

	if (!n->peer_count || now - n->peer_heartbeat_ms < PEER_HEARTBEAT_MS)
		return;
	n->peer_heartbeat_ms = now;
	n->next_peer = (n->next_peer + 1) % n->peer_count;
	p = &n->peers[n->next_peer];
	if (now - p->last_heard_ms > PEER_FORGET_MS) {
		event_log("peer-forgotten", NULL, "\"peer\":\"%s\"", p->name);
		*p = n->peers[--n->peer_count];
		return;
	}
	if (!p->heartbeats_pending)
		heartbeat_send(n, p, p->address);
}

static void heartbeat_seed(struct node *n, uint64_t now)
{
	const char *seed;

	if (n->peer_count || !n->settings.seed_count ||
	    now - n->seed_heartbeat_ms < SEED_INTERVAL_MS)
		return;
	n->seed_heartbeat_ms = now;
	seed = n->settings.seeds[n->next_seed++ % n->settings.seed_count];
	if (strcmp(seed, n->settings.peers))
		heartbeat_send(n, NULL, seed);
}

/* The node table */

static void on_registered(void *arg, const struct store_answer *answer)
{
	struct node *n = arg;

	n->registering = false;
	n->registered = answer->status == STORE_OK;
	node_store_result(n, "register", answer->status);
}

static void register_self(struct node *n)
{
	struct store_txn *txn = talloc_zero(n, struct store_txn);
	Fleet__NodeRow row;

	assert(txn);
	fill_node_row(n, &row);
	txn->put_count = 1;
	txn->puts[0].table = NODE_TABLE_NODE;
	txn->puts[0].key = n->settings.name;
	txn->puts[0].value = node_pack(txn, &row, &txn->puts[0].length);
	n->registering = true;
	n->services->txn(n->services->impl, txn, NODE_STORE_MS, on_registered,
			 n);
	talloc_free(txn);
}

static void on_nodes(void *arg, const struct store_answer *answer)
{
	struct node *n = arg;
	uint32_t i;

	n->registering = false;
	node_store_result(n, "read nodes", answer->status);
	if (answer->status != STORE_OK)
		return;
	for (i = 0; i < answer->row_count; i++) {
		Fleet__NodeRow *row = fleet__node_row__unpack(
			NULL, answer->rows[i].length, answer->rows[i].value);

		if (!row)
			continue;
		gossip_update_peer(n, answer->rows[i].key, row);
		fleet__node_row__free_unpacked(row, NULL);
	}
	leader_nodes_loaded(n);
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
 * After a restart the rows of all nodes exist. They are read first, to learn
 * which nodes are the strongest. If hundreds of nodes wrote their own rows
 * first, the reads would wait behind these writes.
 */
static void register_tick(struct node *n, uint64_t now)
{
	if (n->registering || now < n->next_register_ms)
		return;
	n->next_register_ms = now + SEED_INTERVAL_MS;
	if (!n->registered && (n->settings.first_start || n->nodes_read))
		register_self(n);
	else if (!n->nodes_read)
		read_nodes(n);
}

void gossip_tick(struct node *n, uint64_t now)
{
	register_tick(n, now);
	heartbeat_leader(n, now);
	heartbeat_peer(n, now);
	heartbeat_seed(n, now);
	config_fetch_tick(n, now);
}
