/*
 * The main program: reads the command line and the settings file, starts the node and runs its
 * coroutines until a signal ends the process.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "coordination/node.h"
#include "transport/coroutine.h"
#include "transport/log.h"

/* Exit status for an error in the command line, LOG_LEVEL or the settings file. */
enum { EXIT_USAGE = 2 };

const char *argp_program_version = "fawnlead " FL_VERSION;

struct args {
	const char *config_path;
	bool check_only;
};

static const struct argp_option options[] = {
	{"config", 'c', "FILE", 0, "Settings file (TOML); required", 0},
	{"check-config", 'n', NULL, 0, "Check the settings file and exit", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct args *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->config_path = arg;
		return 0;
	case 'n':
		arguments->check_only = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument '%s'", arg);
		return 0;
	case ARGP_KEY_END:
		if (!arguments->config_path)
			argp_error(state, "--config FILE is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp command_line = {
	.options = options,
	.parser = parse_option,
	.doc = "A cluster scheduler: one controller of a fawnlead service.\v"
	       "Environment variables: LOG_LEVEL is error, info (the default) or debug.",
};

int main(int argc, char **argv)
{
	const char *level = getenv("LOG_LEVEL");
	static struct fl_config config;
	struct args args = {0};
	struct fl_config_error error;
	char text[512];

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&command_line, argc, argv, 0, NULL, &args);
	if (level && fl_log_set_level(level) != 0) {
		fprintf(stderr, "fawnlead: LOG_LEVEL: must be error, info or debug, not '%s'\n",
		        level);
		return EXIT_USAGE;
	}
	if (fl_config_read(args.config_path, &config, &error) != FL_CONFIG_OK) {
		fl_config_error_text(&error, text, sizeof(text));
		fprintf(stderr, "fawnlead: %s\n", text);
		return EXIT_USAGE;
	}
	if (args.check_only) {
		printf("%s: good\n", args.config_path);
		return 0;
	}
	signal(SIGPIPE, SIG_IGN);
	fl_coroutines_init(ev_default_loop(EVFLAG_AUTO));
	if (fl_node_start(&config) != FL_NODE_STARTED) {
		fprintf(stderr,
		        "fawnlead: %s: cannot listen on bind or cluster_listen, or out of memory\n",
		        args.config_path);
		return 1;
	}
	fl_coroutines_run();
	return 0;
}
