#include "storage/machines.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "transport/log.h"
#include "transport/text.h"

int fl_machine_type_find(const struct fl_machines *ms, const char *name)
{
	for (int i = 0; i < ms->type_count; i++)
		if (strcmp(ms->types[i].name, name) == 0)
			return i;
	return -1;
}

void fl_machine_types_set(struct fl_machines *ms, const struct fl_symbol_table *zones,
                          const struct fl_cloud_machine_type *types, int n)
{
	for (int i = 0; i < n; i++) {
		const struct fl_cloud_machine_type *offered = &types[i];
		int at = fl_machine_type_find(ms, offered->name);
		struct fl_machine_type *machine_type;

		if (at < 0 && ms->type_count == FL_MACHINE_TYPES_MAX) {
			fl_error("cloud", "more than %d machine types: %s is not used",
			         FL_MACHINE_TYPES_MAX, offered->name);
			continue;
		}
		machine_type = &ms->types[at >= 0 ? at : ms->type_count++];
		memset(machine_type, 0, sizeof(*machine_type));
		fl_copy_string(machine_type->name, sizeof(machine_type->name), offered->name);
		machine_type->cpus = offered->cpus;
		machine_type->gpus = offered->gpus;
		machine_type->ram_gb = offered->ram_gb;
		machine_type->cache_gb = offered->cache_gb;
		machine_type->pull_gb_s = offered->pull_gb_s;
		machine_type->price = offered->price;
		machine_type->spot_price = offered->spot_price;
		machine_type->ready_s = offered->ready_s;
		for (int z = 0; z < offered->zone_count; z++) {
			int zone = fl_symbol_find(zones, offered->zones[z]);

			if (zone >= 0 && zone < FL_ZONES_MAX)
				machine_type->zones |= 1u << zone;
		}
	}
}

struct fl_machine *fl_machine_find(const struct fl_machines *ms, const char *name)
{
	struct fl_machine *m;

	HASH_FIND_STR(ms->by_name, name, m);
	return m;
}

struct fl_machine *fl_machine_get(struct fl_machines *ms, const char *name, double now)
{
	struct fl_machine *m = fl_machine_find(ms, name);

	if (m)
		return m;
	if (ms->count == ms->capacity) {
		int cap = ms->capacity ? ms->capacity * 2 : 64;
		struct fl_machine **at = realloc(ms->by_id, (size_t)cap * sizeof(*at));

		if (!at)
			return NULL;
		ms->by_id = at;
		ms->capacity = cap;
	}
	m = calloc(1, sizeof(*m));
	if (!m)
		return NULL;
	strncpy(m->name, name, sizeof(m->name) - 1);
	m->id = ms->count;
	m->type = m->zone = -1;
	m->first_seen_at = now;
	for (int i = 0; i < FL_IMAGE_CACHE_MAX; i++)
		m->cached_images[i] = -1;
	ms->by_id[ms->count++] = m;
	HASH_ADD_STR(ms->by_name, name, m);
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

int fl_machine_add_assignment(struct fl_machine *m, struct fl_job *job, uint32_t index)
{
	if (m->assignment_count == m->assignment_capacity) {
		int cap = m->assignment_capacity ? m->assignment_capacity * 2 : 4;
		struct fl_assignment *s = realloc(m->assignments, (size_t)cap * sizeof(*s));

		if (!s)
			return -1;
		m->assignments = s;
		m->assignment_capacity = cap;
	}
	m->assignments[m->assignment_count++] = (struct fl_assignment){job, index};
	return 0;
}

void fl_machine_remove_assignment(struct fl_machine *m, const struct fl_job *job, uint32_t index)
{
	for (int i = 0; i < m->assignment_count; i++) {
		if (m->assignments[i].job == job && m->assignments[i].index == index) {
			m->assignments[i] = m->assignments[--m->assignment_count];
			return;
		}
	}
}

void fl_machine_record_image(struct fl_machine *m, int image)
{
	int i = 0;

	while (i < FL_IMAGE_CACHE_MAX - 1 && m->cached_images[i] != image)
		i++;
	memmove(m->cached_images + 1, m->cached_images, (size_t)i * sizeof(m->cached_images[0]));
	m->cached_images[0] = image;
}

uint32_t fl_placement_capacity(struct fl_resources need, struct fl_resources available)
{
	const double slack = 1e-6; /* amounts are sums of decimal fractions */
	double n = 1e6;

	if (need.cpus > 0)
		n = fmin(n, floor(available.cpus / need.cpus + slack));
	if (need.gpus > 0)
		n = fmin(n, floor(available.gpus / need.gpus + slack));
	if (need.ram_gb > 0)
		n = fmin(n, floor(available.ram_gb / need.ram_gb + slack));
	return n > 0 ? (uint32_t)n : 0;
}

struct fl_machine *fl_machine_drop(struct fl_machines *ms, struct fl_machine *m)
{
	struct fl_machine *last = ms->by_id[--ms->count];

	HASH_DEL(ms->by_name, m);
	if (last != m) {
		ms->by_id[m->id] = last;
		last->id = m->id;
	}
	free(m->assignments);
	free(m);
	return last != m ? last : NULL;
}

void fl_machines_clear(struct fl_machines *ms)
{
	HASH_CLEAR(hh, ms->by_name);
	for (int i = 0; i < ms->count; i++) {
		free(ms->by_id[i]->assignments);
		free(ms->by_id[i]);
	}
	free(ms->by_id);
	ms->by_id = NULL;
	ms->count = ms->capacity = 0;
}
