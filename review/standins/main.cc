// review_world SCENARIO RECORD PROGRAM [ARGUMENT...]: plays a scenario against controllers that are
// started with PROGRAM. Exits with 0: the rule held, 1: it was broken, 2: the case could not run.
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <signal.h>
#include <unistd.h>

#include "scenarios.hh"
#include "util.hh"

static void end_run(int)
{
	end_processes();
	_exit(2);
}

int main(int argc, char **argv)
{
	bool trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	int result;

	if (argc < 4) {
		fprintf(stderr, "usage: review_world SCENARIO RECORD PROGRAM [ARGUMENT...]\n");
		return 2;
	}
	record_open(argv[2]);
	record("scenario %s, %s the disruption", argv[1], trouble ? "with" : "without");
	// At the latest after 118 s, and if the run is interrupted, all processes are ended.
	signal(SIGALRM, end_run);
	signal(SIGTERM, end_run);
	signal(SIGINT, end_run);
	alarm(118);
	result = run_scenario(argv[1], std::vector<std::string>(argv + 3, argv + argc), trouble);
	record("result %d: %s", result,
	       result == 0   ? "the rule held"
	       : result == 1 ? "the rule was broken"
	                     : "not run");
	fflush(nullptr);
	_exit(result);
}
