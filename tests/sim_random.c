/* The random numbers of the simulation (splitmix64): one seed, one sequence. */
#include "sim_time.h"

static uint64_t generator_state;

void sim_seed(uint64_t seed) { generator_state = seed * 0x9e3779b97f4a7c15ULL + 0x1234567; }

static uint64_t next_random(void)
{
	uint64_t mixed = generator_state += 0x9e3779b97f4a7c15ULL;

	mixed = (mixed ^ mixed >> 30) * 0xbf58476d1ce4e5b9ULL;
	mixed = (mixed ^ mixed >> 27) * 0x94d049bb133111ebULL;
	return mixed ^ mixed >> 31;
}

double sim_random_between(double low, double high)
{
	return low + (high - low) * ((double)(next_random() >> 11) / 9007199254740992.0);
}

int sim_random_index(int count) { return count > 0 ? (int)(next_random() % (uint64_t)count) : 0; }

bool sim_chance(double probability) { return sim_random_between(0, 1) < probability; }
