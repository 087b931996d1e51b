/*
 * Amounts of the three resources that tasks need and machines have. Amounts are sums of decimal
 * fractions, so comparisons allow a tolerance. Sums are computed in the order of the calls, because
 * scheduling decisions are compared bit for bit.
 */
#ifndef FL_STORAGE_RESOURCES_H
#define FL_STORAGE_RESOURCES_H

#include <stdbool.h>

/* Tolerance of a comparison, in the unit of the amount. */
#define FL_RESOURCES_EPSILON 1e-6

struct fl_resources {
	double cpus, gpus, ram_gb;
};

static inline void fl_resources_add(struct fl_resources *total, struct fl_resources amount)
{
	total->cpus += amount.cpus;
	total->gpus += amount.gpus;
	total->ram_gb += amount.ram_gb;
}

static inline void fl_resources_subtract(struct fl_resources *total, struct fl_resources amount)
{
	total->cpus -= amount.cpus;
	total->gpus -= amount.gpus;
	total->ram_gb -= amount.ram_gb;
}

/* Returns whether `need` fits into `available`, which a reservation can make negative. */
static inline bool fl_resources_fit(struct fl_resources need, struct fl_resources available)
{
	return need.cpus <= available.cpus + FL_RESOURCES_EPSILON &&
	       need.gpus <= available.gpus + FL_RESOURCES_EPSILON &&
	       need.ram_gb <= available.ram_gb + FL_RESOURCES_EPSILON;
}

#endif
