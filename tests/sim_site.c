/* The start and the end of a simulated site. */
#include "sim.h"

#include <stdlib.h>

void sim_start(void)
{
	sim_kv_begin();
	sim_workers_begin();
	for (int i = 0; i < sim.node_count; i++)
		sim_node_start(i);
	sim_users_begin();
	sim_check_begin();
	sim_faults_start();
}

void sim_end(void)
{
	sim_net_end();
	sim_nodes_end();
	sim_kv_end();
	sim_cloud_end();
	sim_heartbeats_end();
	for (int i = 0; i < sim.job_count; i++)
		free(sim.jobs[i].request_body);
}
