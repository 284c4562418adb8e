#include "process/members.h"

#include <stdio.h>
#include <string.h>

static const char *const state_names[] = { "joining", "full", "dead" };

static bool parse_state(const char *name, enum member_state *state)
{
	int i;

	for (i = 0; i <= MEMBER_DEAD; i++)
		if (name && !strcmp(name, state_names[i])) {
			*state = (enum member_state)i;
			return true;
		}
	return false;
}

static bool parse_member(json_t *value, struct member *m)
{
	const char *name;
	const char *zone;
	const char *address;
	const char *state;
	json_int_t incarnation;
	json_int_t nonce;

	memset(m, 0, sizeof(*m));
	if (json_unpack(value, "{s:s, s:s, s:s, s:s, s:I, s:I}", "name", &name,
			"zone", &zone, "address", &address, "state", &state,
			"incarnation", &incarnation, "boot", &nonce))
		return false;
	snprintf(m->name, sizeof(m->name), "%s", name);
	snprintf(m->zone, sizeof(m->zone), "%s", zone);
	snprintf(m->address, sizeof(m->address), "%s", address);
	m->incarnation = (uint64_t)incarnation;
	m->nonce = (uint64_t)nonce;
	return parse_state(state, &m->state);
}

bool members_parse(const json_t *value, uint64_t version, struct members *m)
{
	json_t *entries = json_object_get(value, "entries");
	json_t *entry;
	size_t i;

	memset(m, 0, sizeof(*m));
	m->version = version;
	m->next_incarnation =
		(uint64_t)json_integer_value(json_object_get(value, "next"));
	m->shards =
		(uint32_t)json_integer_value(json_object_get(value, "shards"));
	if (!json_is_array(entries) || json_array_size(entries) > MEMBERS_MAX)
		return false;
	json_array_foreach(entries, i, entry)
	{
		if (!parse_member(entry, &m->list[m->count++]))
			return false;
	}
	return true;
}

json_t *members_to_json(const struct members *m)
{
	json_t *entries = json_array();
	uint32_t i;

	for (i = 0; i < m->count; i++) {
		const struct member *e = &m->list[i];

		json_array_append_new(
			entries,
			json_pack("{s:s, s:s, s:s, s:s, s:I, s:I}", "name",
				  e->name, "zone", e->zone, "address",
				  e->address, "state", state_names[e->state],
				  "incarnation", (json_int_t)e->incarnation,
				  "boot", (json_int_t)e->nonce));
	}
	return json_pack("{s:I, s:I, s:o}", "next",
			 (json_int_t)m->next_incarnation, "shards",
			 (json_int_t)m->shards, "entries", entries);
}

struct member *members_find(struct members *m, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < m->count; i++)
		if (m->list[i].incarnation == incarnation)
			return &m->list[i];
	return NULL;
}

static uint32_t full_count(const struct members *m)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < m->count; i++)
		n += m->list[i].state == MEMBER_FULL;
	return n;
}

uint64_t members_register(struct members *m, const struct member *self,
			  uint32_t shards)
{
	struct member *e;
	uint32_t i;

	if (m->count == MEMBERS_MAX || (m->shards && m->shards != shards))
		return 0;
	m->shards = shards;
	for (i = 0; i < m->count; i++)
		if (!strcmp(m->list[i].name, self->name))
			m->list[i].state = MEMBER_DEAD;
	if (!m->next_incarnation)
		m->next_incarnation = 1;
	e = &m->list[m->count];
	*e = *self;
	e->incarnation = m->next_incarnation++;
	e->state = full_count(m) ? MEMBER_JOINING : MEMBER_FULL;
	m->count++;
	return e->incarnation;
}

void members_remove(struct members *m, uint64_t incarnation)
{
	struct member *e = members_find(m, incarnation);

	if (e)
		*e = m->list[--m->count];
}

uint32_t members_majority(const struct members *m)
{
	return full_count(m) / 2 + 1;
}
