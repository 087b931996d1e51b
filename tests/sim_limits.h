/* The sizes of a simulated site. */
#ifndef FL_TESTS_SIM_LIMITS_H
#define FL_TESTS_SIM_LIMITS_H

enum {
	SIM_NODES = 5,
	SIM_ZONES = 3,
	SIM_TEAMS = 2,
	SIM_MACHINE_TYPES = 2,
	SIM_MACHINE_IMAGES = 4,  /* that a machine keeps */
	SIM_BURST_JOBS_MAX = 96, /* where bursts and invalid requests stop */
	SIM_FAULTS_MAX = 64
};

/* Machines and jobs at most, tasks of a job, and tasks on a machine, exited ones included. */
#ifdef SIM_LARGE_SITE
enum { SIM_MACHINES = 4400, SIM_JOBS = 32, SIM_JOB_TASKS = 512, SIM_MACHINE_TASKS = 16 };
#else
enum { SIM_MACHINES = 160, SIM_JOBS = 400, SIM_JOB_TASKS = 32, SIM_MACHINE_TASKS = 1024 };
#endif

#endif
