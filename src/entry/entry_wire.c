#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry_internal.h"
#include "process/clock.h"

typedef Jackdawwell__PeerFrame frame_t;

/*
 * Frames are allocated by malloc, as protobuf-c's default allocator does, so
 * that free_unpacked frees a frame with all its parts.
 */

static void *xzalloc(size_t size)
{
	void *p = calloc(1, size);

	assert(p);
	return p;
}

static char *xstrdup(const char *text)
{
	char *s = strdup(text);

	assert(s);
	return s;
}

static frame_t *frame_new(Jackdawwell__PeerFrame__BodyCase body)
{
	frame_t *f = xzalloc(sizeof(*f));

	jackdawwell__peer_frame__init(f);
	f->body_case = body;
	return f;
}

/* Core messages to frames */

static frame_t *pack_lend(struct entry *e, const struct ledger_transfer *t)
{
	frame_t *f = frame_new(JACKDAWWELL__PEER_FRAME__BODY_LEND);

	f->lend = xzalloc(sizeof(*f->lend));
	jackdawwell__lend__init(f->lend);
	f->lend->seq = t->seq;
	f->lend->domain =
		xstrdup(ledger_domain_name(core_ledger(e->core), t->domain));
	f->lend->units = t->units;
	f->lend->round = t->round;
	f->lend->generation = t->generation;
	return f;
}

static frame_t *pack_ack(uint64_t seq)
{
	frame_t *f = frame_new(JACKDAWWELL__PEER_FRAME__BODY_LEND_ACK);

	f->lend_ack = xzalloc(sizeof(*f->lend_ack));
	jackdawwell__lend_ack__init(f->lend_ack);
	f->lend_ack->seq = seq;
	return f;
}

static char *group_name(const struct entry *e, struct broker_group g)
{
	char name[CORE_KIND_NAME_MAX];

	if (g.kind == BROKER_POOL)
		snprintf(name, sizeof(name), "p:%s",
			 intern_name(e->names->pools, g.id));
	else
		snprintf(name, sizeof(name), "t:%s",
			 intern_name(e->names->teams, g.id));
	return xstrdup(name);
}

static Jackdawwell__TeamDemand *pack_team(const struct entry *e,
					  const struct broker_team *t)
{
	Jackdawwell__TeamDemand *p = xzalloc(sizeof(*p));

	jackdawwell__team_demand__init(p);
	p->team = xstrdup(intern_name(e->names->teams, t->team));
	p->milli_slots = t->milli_slots;
	return p;
}

static frame_t *pack_demand(const struct entry *e,
			    const struct broker_demand *d)
{
	frame_t *f = frame_new(JACKDAWWELL__PEER_FRAME__BODY_DEMAND_REPORT);
	Jackdawwell__Demand *p = xzalloc(sizeof(*p));
	uint32_t i;

	f->demand_report = xzalloc(sizeof(*f->demand_report));
	jackdawwell__demand_report__init(f->demand_report);
	f->demand_report->n_demands = 1;
	f->demand_report->demands = xzalloc(sizeof(p));
	f->demand_report->demands[0] = p;
	jackdawwell__demand__init(p);
	p->group = group_name(e, d->group);
	p->held = d->held;
	p->idle = d->idle;
	p->n_teams = d->team_count;
	p->teams = xzalloc((d->team_count + 1) * sizeof(*p->teams));
	for (i = 0; i < d->team_count; i++)
		p->teams[i] = pack_team(e, &d->teams[i]);
	return f;
}

static Jackdawwell__Target *pack_target(const struct entry *e,
					const struct broker_target *t)
{
	Jackdawwell__Target *p = xzalloc(sizeof(*p));

	jackdawwell__target__init(p);
	p->team = xstrdup(intern_name(e->names->teams, t->team));
	p->milli_slots = t->milli_slots;
	return p;
}

static Jackdawwell__Transfer *pack_transfer(const struct broker_transfer *t)
{
	Jackdawwell__Transfer *p = xzalloc(sizeof(*p));

	jackdawwell__transfer__init(p);
	p->to = t->to;
	p->units = t->units;
	return p;
}

static frame_t *pack_advice(const struct entry *e,
			    const struct broker_advice *a)
{
	frame_t *f = frame_new(JACKDAWWELL__PEER_FRAME__BODY_ADVICE);
	Jackdawwell__Advice *p = xzalloc(sizeof(*p));
	uint32_t i;

	f->advice = p;
	jackdawwell__advice__init(p);
	p->group = group_name(e, a->group);
	p->n_targets = a->target_count;
	p->targets = xzalloc((a->target_count + 1) * sizeof(*p->targets));
	for (i = 0; i < a->target_count; i++)
		p->targets[i] = pack_target(e, &a->targets[i]);
	p->n_transfers = a->transfer_count;
	p->transfers = xzalloc((a->transfer_count + 1) * sizeof(*p->transfers));
	for (i = 0; i < a->transfer_count; i++)
		p->transfers[i] = pack_transfer(&a->transfers[i]);
	return f;
}

frame_t *entry_pack_message(struct entry *e, const struct core_message *m)
{
	switch (m->kind) {
	case CORE_LEND:
		return pack_lend(e, &m->u.lend);
	case CORE_LEND_ACK:
		return pack_ack(m->u.ack);
	case CORE_DEMAND:
		return pack_demand(e, &m->u.demand);
	case CORE_ADVICE:
		return pack_advice(e, &m->u.advice);
	}
	return NULL;
}

/* Frames to core messages */

static void receive(struct entry *e, uint64_t from,
		    const struct core_message *m)
{
	core_receive(e->core, from, m, clock_now_ms());
}

static void on_lend(struct entry *e, uint64_t from, const Jackdawwell__Lend *l)
{
	struct core_message m = { .kind = CORE_LEND };

	m.u.lend.seq = l->seq;
	m.u.lend.domain = ledger_domain(core_ledger(e->core), l->domain);
	m.u.lend.units = l->units;
	m.u.lend.round = l->round;
	m.u.lend.generation = l->generation;
	receive(e, from, &m);
}

/* Returns false for a group that this entry does not know yet. */
static bool parse_group(const struct entry *e, const char *name,
			struct broker_group *g)
{
	g->kind = name[0] == 'p' ? BROKER_POOL : BROKER_TEAM;
	if (strlen(name) < 3)
		return false;
	g->id = intern_find(g->kind == BROKER_POOL ? e->names->pools
						   : e->names->teams,
			    name + 2);
	return g->id != INTERN_NONE;
}

static void on_demand(struct entry *e, uint64_t from,
		      const Jackdawwell__Demand *d)
{
	struct core_message m = { .kind = CORE_DEMAND };
	struct broker_team *teams;
	uint32_t n = 0;
	size_t i;

	if (!parse_group(e, d->group, &m.u.demand.group))
		return;
	teams = xzalloc((d->n_teams + 1) * sizeof(*teams));
	for (i = 0; i < d->n_teams; i++) {
		teams[n].team = intern_find(e->names->teams, d->teams[i]->team);
		teams[n].milli_slots = d->teams[i]->milli_slots;
		n += teams[n].team != INTERN_NONE;
	}
	m.u.demand.held = d->held;
	m.u.demand.idle = d->idle;
	m.u.demand.team_count = n;
	m.u.demand.teams = teams;
	receive(e, from, &m);
	free(teams);
}

static void on_advice(struct entry *e, uint64_t from,
		      const Jackdawwell__Advice *a)
{
	struct core_message m = { .kind = CORE_ADVICE };
	struct broker_target *targets;
	struct broker_transfer *transfers;
	uint32_t n = 0;
	size_t i;

	if (!parse_group(e, a->group, &m.u.advice.group))
		return;
	targets = xzalloc((a->n_targets + 1) * sizeof(*targets));
	transfers = xzalloc((a->n_transfers + 1) * sizeof(*transfers));
	for (i = 0; i < a->n_targets; i++) {
		targets[n].team =
			intern_find(e->names->teams, a->targets[i]->team);
		targets[n].milli_slots = a->targets[i]->milli_slots;
		n += targets[n].team != INTERN_NONE;
	}
	for (i = 0; i < a->n_transfers; i++) {
		transfers[i].to = a->transfers[i]->to;
		transfers[i].units = a->transfers[i]->units;
	}
	m.u.advice.target_count = n;
	m.u.advice.targets = targets;
	m.u.advice.transfer_count = (uint32_t)a->n_transfers;
	m.u.advice.transfers = transfers;
	receive(e, from, &m);
	free(targets);
	free(transfers);
}

static void on_core_frame(struct entry *e, uint64_t from, const frame_t *f)
{
	struct core_message m;
	size_t i;

	switch (f->body_case) {
	case JACKDAWWELL__PEER_FRAME__BODY_LEND:
		on_lend(e, from, f->lend);
		break;
	case JACKDAWWELL__PEER_FRAME__BODY_LEND_ACK:
		m.kind = CORE_LEND_ACK;
		m.u.ack = f->lend_ack->seq;
		receive(e, from, &m);
		break;
	case JACKDAWWELL__PEER_FRAME__BODY_DEMAND_REPORT:
		for (i = 0; i < f->demand_report->n_demands; i++)
			on_demand(e, from, f->demand_report->demands[i]);
		break;
	case JACKDAWWELL__PEER_FRAME__BODY_ADVICE:
		on_advice(e, from, f->advice);
		break;
	default:
		break;
	}
}

/* Configuration and members */

void entry_probe(struct entry *e)
{
	frame_t frame = JACKDAWWELL__PEER_FRAME__INIT;
	Jackdawwell__Probe probe = JACKDAWWELL__PROBE__INIT;
	uint32_t i;

	frame.body_case = JACKDAWWELL__PEER_FRAME__BODY_PROBE;
	frame.probe = &probe;
	e->probed_ms = clock_now_ms();
	probe.nonce = e->probed_ms;
	for (i = 0; i < e->members.count; i++)
		if (e->members.list[i].incarnation != e->incarnation)
			peer_send(e->net, e->members.list[i].incarnation,
				  &frame);
}

static void answer_probe(struct entry *e, uint64_t to, uint64_t nonce)
{
	frame_t frame = JACKDAWWELL__PEER_FRAME__INIT;
	Jackdawwell__ProbeReply reply = JACKDAWWELL__PROBE_REPLY__INIT;

	frame.body_case = JACKDAWWELL__PEER_FRAME__BODY_PROBE_REPLY;
	frame.probe_reply = &reply;
	reply.nonce = nonce;
	reply.version = e->cfg->version;
	reply.members_version = e->members.version;
	peer_send(e->net, to, &frame);
}

void entry_push_change(struct entry *e, uint64_t to, uint64_t version)
{
	json_t *change = e->changes[version % ENTRY_CHANGES_KEPT];
	frame_t frame = JACKDAWWELL__PEER_FRAME__INIT;
	Jackdawwell__ConfigPush push = JACKDAWWELL__CONFIG_PUSH__INIT;

	if ((uint64_t)json_integer_value(json_object_get(change, "version")) !=
	    version)
		return;
	frame.body_case = JACKDAWWELL__PEER_FRAME__BODY_CONFIG_PUSH;
	frame.config_push = &push;
	push.version = version;
	push.change = json_dumps(change, JSON_COMPACT);
	peer_send(e->net, to, &frame);
	free(push.change);
}

static void request_changes(struct entry *e, uint64_t from)
{
	frame_t frame = JACKDAWWELL__PEER_FRAME__INIT;
	Jackdawwell__ConfigPull pull = JACKDAWWELL__CONFIG_PULL__INIT;

	frame.body_case = JACKDAWWELL__PEER_FRAME__BODY_CONFIG_PULL;
	frame.config_pull = &pull;
	pull.after = e->cfg->version;
	peer_send(e->net, from, &frame);
}

void entry_push_members(struct entry *e, uint64_t to)
{
	frame_t frame = JACKDAWWELL__PEER_FRAME__INIT;
	Jackdawwell__MembersPush push = JACKDAWWELL__MEMBERS_PUSH__INIT;
	json_t *members = members_to_json(&e->members);

	frame.body_case = JACKDAWWELL__PEER_FRAME__BODY_MEMBERS_PUSH;
	frame.members_push = &push;
	push.version = e->members.version;
	push.members = json_dumps(members, JSON_COMPACT);
	peer_send(e->net, to, &frame);
	free(push.members);
	json_decref(members);
}

static void on_probe_reply(struct entry *e, uint64_t from,
			   const Jackdawwell__ProbeReply *r)
{
	struct freshness_peer peer = { from, r->nonce, r->version,
				       r->members_version };

	if (r->nonce > e->probed_ms)
		return; /* invalid: a nonce is the time of a sent probe */
	freshness_record(&e->freshness, &peer);
	if (r->version > e->cfg->version)
		request_changes(e, from);
	if (r->members_version < e->members.version)
		entry_push_members(e, from);
	entry_update_freshness(e);
}

static void on_config_push(struct entry *e, uint64_t from,
			   const Jackdawwell__ConfigPush *p)
{
	json_t *change = json_loads(p->change, 0, NULL);
	frame_t frame = JACKDAWWELL__PEER_FRAME__INIT;
	Jackdawwell__ConfigAck ack = JACKDAWWELL__CONFIG_ACK__INIT;

	if (change && p->version > e->cfg->version)
		entry_apply_change(e, p->version, change);
	json_decref(change);
	frame.body_case = JACKDAWWELL__PEER_FRAME__BODY_CONFIG_ACK;
	frame.config_ack = &ack;
	ack.version = e->cfg->version;
	peer_send(e->net, from, &frame);
}

static void on_config_ack(struct entry *e, uint64_t from, uint64_t version)
{
	uint32_t i;

	for (i = 0; i < e->freshness.count; i++)
		if (e->freshness.peers[i].incarnation == from &&
		    version > e->freshness.peers[i].config_version)
			e->freshness.peers[i].config_version = version;
	entry_changes_tick(e, clock_now_ms());
}

static void on_members_push(struct entry *e, const Jackdawwell__MembersPush *p)
{
	json_t *members = json_loads(p->members, 0, NULL);

	if (members)
		entry_set_members(e, members, p->version);
	json_decref(members);
}

void entry_on_frame(void *arg, uint64_t from, const frame_t *f)
{
	struct entry *e = arg;
	uint64_t version;

	switch (f->body_case) {
	case JACKDAWWELL__PEER_FRAME__BODY_PROBE:
		answer_probe(e, from, f->probe->nonce);
		break;
	case JACKDAWWELL__PEER_FRAME__BODY_PROBE_REPLY:
		on_probe_reply(e, from, f->probe_reply);
		break;
	case JACKDAWWELL__PEER_FRAME__BODY_CONFIG_PUSH:
		on_config_push(e, from, f->config_push);
		break;
	case JACKDAWWELL__PEER_FRAME__BODY_CONFIG_ACK:
		on_config_ack(e, from, f->config_ack->version);
		break;
	case JACKDAWWELL__PEER_FRAME__BODY_CONFIG_PULL:
		version = f->config_pull->after;
		while (version < e->cfg->version)
			entry_push_change(e, from, ++version);
		break;
	case JACKDAWWELL__PEER_FRAME__BODY_MEMBERS_PUSH:
		on_members_push(e, f->members_push);
		break;
	default:
		pthread_mutex_lock(&e->core_lock);
		on_core_frame(e, from, f);
		pthread_mutex_unlock(&e->core_lock);
		break;
	}
}
