#include "storage/machines.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "transport/log.h"
#include "transport/text.h"

int fl_machine_type_find(const struct fl_machines *ms, const char *name)
{
	for (int i = 0; i < ms->n_types; i++)
		if (strcmp(ms->types[i].name, name) == 0)
			return i;
	return -1;
}

void fl_machine_types_set(struct fl_machines *ms, const struct fl_names *zones,
                          const struct fl_offered_type *types, int n)
{
	for (int i = 0; i < n; i++) {
		const struct fl_offered_type *h = &types[i];
		int at = fl_machine_type_find(ms, h->name);
		struct fl_machine_type *k;

		if (at < 0 && ms->n_types == FL_MACHINE_TYPES_MAX) {
			fl_error("cloud", "more than %d machine types: %s is not used",
			         FL_MACHINE_TYPES_MAX, h->name);
			continue;
		}
		k = &ms->types[at >= 0 ? at : ms->n_types++];
		memset(k, 0, sizeof(*k));
		fl_copy_string(k->name, sizeof(k->name), h->name);
		k->cpus = h->cpus;
		k->gpus = h->gpus;
		k->ram_gb = h->ram_gb;
		k->cache_gb = h->cache_gb;
		k->pull_gb_s = h->pull_gb_s;
		k->price = h->price;
		k->spot_price = h->spot_price;
		k->ready_s = h->ready_s;
		for (int z = 0; z < h->n_zones; z++) {
			int zone = fl_names_find(zones, h->zones[z]);

			if (zone >= 0 && zone < FL_ZONES_MAX)
				k->zones |= 1u << zone;
		}
	}
}

struct fl_machine *fl_machine_find(const struct fl_machines *ms, const char *name)
{
	struct fl_machine *m;

	HASH_FIND_STR(ms->table, name, m);
	return m;
}

struct fl_machine *fl_machine_get(struct fl_machines *ms, const char *name, double now)
{
	struct fl_machine *m = fl_machine_find(ms, name);

	if (m)
		return m;
	if (ms->n == ms->cap) {
		int cap = ms->cap ? ms->cap * 2 : 64;
		struct fl_machine **at = realloc(ms->at, (size_t)cap * sizeof(*at));

		if (!at)
			return NULL;
		ms->at = at;
		ms->cap = cap;
	}
	m = calloc(1, sizeof(*m));
	if (!m)
		return NULL;
	strncpy(m->name, name, sizeof(m->name) - 1);
	m->id = ms->n;
	m->type = m->zone = -1;
	m->first_seen_at = now;
	for (int i = 0; i < FL_CACHE_NOTE; i++)
		m->cache[i] = -1;
	ms->at[ms->n++] = m;
	HASH_ADD_STR(ms->table, name, m);
	return m;
}

void fl_machine_describe(struct fl_machine *m, int type, int zone, bool spot, const char *endpoint)
{
	if (type < 0 || zone < 0)
		return;
	if (!m->described) {
		m->type = type;
		m->zone = zone;
		m->spot = spot;
		m->described = true;
	}
	if (endpoint && *endpoint)
		strncpy(m->endpoint, endpoint, sizeof(m->endpoint) - 1);
}

int fl_machine_add_slot(struct fl_machine *m, struct fl_job *job, uint32_t index)
{
	if (m->n_slots == m->cap_slots) {
		int cap = m->cap_slots ? m->cap_slots * 2 : 4;
		struct fl_slot *s = realloc(m->slots, (size_t)cap * sizeof(*s));

		if (!s)
			return -1;
		m->slots = s;
		m->cap_slots = cap;
	}
	m->slots[m->n_slots++] = (struct fl_slot){job, index};
	return 0;
}

void fl_machine_drop_slot(struct fl_machine *m, const struct fl_job *job, uint32_t index)
{
	for (int i = 0; i < m->n_slots; i++) {
		if (m->slots[i].job == job && m->slots[i].index == index) {
			m->slots[i] = m->slots[--m->n_slots];
			return;
		}
	}
}

void fl_machine_note_image(struct fl_machine *m, int image)
{
	int i = 0;

	while (i < FL_CACHE_NOTE - 1 && m->cache[i] != image)
		i++;
	memmove(m->cache + 1, m->cache, (size_t)i * sizeof(m->cache[0]));
	m->cache[0] = image;
}

uint32_t fl_tasks_fit(struct fl_amounts need, struct fl_amounts room)
{
	const double slack = 1e-6; /* amounts are sums of decimal fractions */
	double n = 1e6;

	if (need.cpus > 0)
		n = fmin(n, floor(room.cpus / need.cpus + slack));
	if (need.gpus > 0)
		n = fmin(n, floor(room.gpus / need.gpus + slack));
	if (need.ram_gb > 0)
		n = fmin(n, floor(room.ram_gb / need.ram_gb + slack));
	return n > 0 ? (uint32_t)n : 0;
}

struct fl_machine *fl_machine_drop(struct fl_machines *ms, struct fl_machine *m)
{
	struct fl_machine *last = ms->at[--ms->n];

	HASH_DEL(ms->table, m);
	if (last != m) {
		ms->at[m->id] = last;
		last->id = m->id;
	}
	free(m->slots);
	free(m);
	return last != m ? last : NULL;
}

void fl_machines_clear(struct fl_machines *ms)
{
	HASH_CLEAR(hh, ms->table);
	for (int i = 0; i < ms->n; i++) {
		free(ms->at[i]->slots);
		free(ms->at[i]);
	}
	free(ms->at);
	ms->at = NULL;
	ms->n = ms->cap = 0;
}
