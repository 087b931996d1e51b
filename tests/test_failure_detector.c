/* The failure detector: after what silence a machine is declared lost, alone or with others. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "coordination/failure_detector.h"
#include "node_fixture.h"
#include "transport/clock.h"

static void silent_for(struct fixture *f, double seconds)
{
	struct fl_machine *m = machine(f);

	m->heard = m->reached = m->created = fl_now() - seconds;
	f->node.lead.since = fl_now() - 1000;
}

static bool given_up(struct fixture *f)
{
	double leases[FL_ZONES_MAX];

	fl_failure_detector_leases(&f->node, fl_now(), leases);
	return fl_failure_detector_expired(&f->node, machine(f), fl_now(), leases);
}

/* Alone it is given up after a lease; with its zone's controllers, when these must stop keeping. */
static void a_zone_that_falls_silent_keeps_its_machines(void **state)
{
	struct fixture *f = *state;
	struct fl_peer *p = &f->node.peers[0];
	double cache_report = f->config.cancel_s - f->config.lease_s - 1;

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	place(f, 0);
	f->node.n_peers = 1;
	strcpy(p->location, "a");
	p->up = true;
	/* All controllers well for long: nothing but the machine is amiss, and less is allowed. */
	p->up_since = fl_now() - 100;
	silent_for(f, 7);
	assert_false(given_up(f));
	silent_for(f, 8);
	assert_true(given_up(f));
	/* One came up lately: workers may still be looking for a node. */
	p->up_since = fl_now() - 5;
	silent_for(f, 9);
	assert_false(given_up(f));
	silent_for(f, 11);
	assert_true(given_up(f));
	/* The controller of its zone fell silent at the same time. */
	p->up = false;
	p->heard_at = fl_now() - 12;
	assert_false(given_up(f));
	silent_for(f, f->config.lease_s + cache_report + 1);
	p->heard_at = machine(f)->heard;
	assert_true(given_up(f));
	/* Of another zone, or long before: it keeps nothing here. */
	silent_for(f, 11);
	p->heard_at = fl_now() - 30;
	assert_true(given_up(f));
	p->heard_at = machine(f)->heard;
	strcpy(p->location, "b");
	assert_true(given_up(f));
}

static struct fl_machine *another(struct fixture *f, int i, bool spot, int zone)
{
	char name[FL_NAME_MAX];
	struct fl_machine *m;

	snprintf(name, sizeof(name), "m-%06d", i);
	m = fl_machine_get(&f->node.cluster.machines, name, fl_now() - 100);
	fl_cluster_describe(&f->node.cluster, m, 0, zone, spot, "x");
	m->up = true;
	m->heard = fl_now();
	return m;
}

/*
 * Found on a standard day: a zone apart, whose controller had just ended, went by twos and threes,
 * each time too few to look like a fault of the links, until all of it was returned.
 */
static void a_zone_does_not_go_by_twos_and_threes(void **state)
{
	struct fixture *f = *state;

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	place(f, 0);
	for (int i = 2; i < 22; i++)
		another(f, i, false, 1);
	/* This one is due; three more of its zone are on their way there, of four. */
	for (int i = 30; i < 33; i++)
		another(f, i, false, 0)->heard = fl_now() - 7;
	silent_for(f, 11);
	assert_false(given_up(f));
	silent_for(f, 31);
	assert_true(given_up(f));
	/* A wave of cheap machines says nothing of the links. */
	silent_for(f, 11);
	for (int i = 30; i < 33; i++)
		fl_machine_find(&f->node.cluster.machines, i == 30   ? "m-000030"
		                                           : i == 31 ? "m-000031"
		                                                     : "m-000032")
			->spot = true;
	assert_true(given_up(f));
}

/*
 * Found at a thousand machines: dozens that died at once were waited for as if it were two links
 * that had failed, since more than two were silent. How many is many depends on how many there are.
 */
static void a_few_of_many_machines_are_given_up_early(void **state)
{
	struct fixture *f = *state;

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	place(f, 0);
	for (int i = 2; i < 42; i++)
		another(f, i, false, i % 2)->heard = fl_now() - (i < 7 ? 7 : 0);
	silent_for(f, 8);
	assert_true(given_up(f));
	for (int i = 43; i < 46; i++)
		another(f, i, false, i % 2)->heard = fl_now() - 7;
	assert_false(given_up(f));
	silent_for(f, 11);
	assert_true(given_up(f));
}

/* A deaf machine is given up like a silent one, though it reports; many at once point at us. */
static void deafness_counts_as_silence_but_not_of_all_at_once(void **state)
{
	struct fixture *f = *state;

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	place(f, 0);
	for (uint64_t seq = 2; seq < 5; seq++) {
		ago(f, 12);
		hear(f, report(1, seq, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	}
	assert_true(given_up(f));
	for (int i = 2; i < 6; i++) {
		struct fl_machine *m = another(f, i, false, 0);

		m->unheard = 3;
		m->unheard_since = fl_now() - 12;
	}
	assert_false(given_up(f));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(a_zone_that_falls_silent_keeps_its_machines),
		NODE_TEST(a_zone_does_not_go_by_twos_and_threes),
		NODE_TEST(a_few_of_many_machines_are_given_up_early),
		NODE_TEST(deafness_counts_as_silence_but_not_of_all_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
