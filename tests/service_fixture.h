/*
 * Three controller processes on loopback, the fakes of the external systems, and users' requests to
 * the controllers. All functions that send or wait must be called from coroutines of the test's
 * event loop. There is one instance; service_tear_down() also ends the processes of a failed test.
 */
#ifndef FL_TESTS_SERVICE_FIXTURE_H
#define FL_TESTS_SERVICE_FIXTURE_H

#include <stdbool.h>
#include <stddef.h>

#include "transport/buffer.h"

enum { CONTROLLERS = 3, TIMEOUT_S = 90 };

/* Set-up and tear-down for cmocka; the set-up starts all controllers, the tear-down kills them. */
int service_set_up(void **state);
int service_tear_down(void **state);

/*
 * The same with limits of the key-value store that the controllers' settings announce for later, as
 * the TOML table settings.state.next.
 */
int service_set_up_with_next_limits(const char *table);

/* ---- stages ---- */

/*
 * Runs the stages of a test in a coroutine of the event loop, and fails the test if they fail: a
 * failed cmocka assertion must not jump out of the coroutine, so stages use EXPECT.
 */
void service_run_stages(bool (*run_stages)(void));

/* The first condition of EXPECT that did not hold; NULL: none. */
extern const char *service_failed_condition;

/* Ends the stage, a function that returns whether it succeeded, if the condition does not hold. */
#define EXPECT(condition)                                                                          \
	do {                                                                                       \
		if (!(condition)) {                                                                \
			service_failed_condition = #condition;                                     \
			return false;                                                              \
		}                                                                                  \
	} while (0)

/* ---- processes ---- */

void start_controller(int index);
/* Kills a controller by SIGKILL; does nothing if the controller is down. */
void kill_controller(int index);
/* Kills the leader, or controller 0 if there is no leader, and returns its index. */
int kill_leader(void);
void start_stopped_controllers(void);
/* Kills all controllers and restarts them at once. */
void restart_all_controllers(void);

/* ---- users ---- */

/*
 * Sends a request to the running controllers in turn, from `first_controller` on, until one
 * responds. Returns the status, with the body in `text`; -1 if no controller responds.
 */
int call_running_controller(int first_controller, const char *method, const char *path,
                            const char *body, char *text, size_t size);
/* Appends the body of a submission; `more` is empty, or further fields that begin with a comma. */
void append_submission(struct fl_buffer *out, const char *ref, const char *kind, int task_count,
                       const char *more);
/*
 * Submits a job, retried for TIMEOUT_S at most until it is accepted or rejected; returns whether it
 * was accepted.
 */
bool submit_job(const char *ref, const char *kind, int task_count, int first_controller);
/*
 * Cancels a job, retried for TIMEOUT_S at most until the status is 200; returns whether the job is
 * reported as cancelled.
 */
bool cancel_job(const char *ref);

/* ---- waiting, for TIMEOUT_S at most; false: timed out ---- */

bool wait_until_ready(void);
bool wait_for_leader(void);
/* Queries the controllers in turn, from this one on, until a body contains `expected`. */
bool wait_for_job_status(const char *ref, const char *expected, int first_controller);
/* The same once for each controller, as the first one that is queried. */
bool wait_for_job_status_on_all_controllers(const char *ref, const char *expected);
bool wait_until_job_stopped(const char *ref);
/* Waits until all machines that fake_services.unreachable_machines_to_rent asks for are rented. */
bool wait_until_unreachable_machines_are_rented(void);
bool wait_until_unreachable_machines_are_deleted(void);

/* ---- invariants ---- */

/* A stage: no task ran twice, and no fencing token, rental name or deleted machine was used. */
bool no_service_invariant_was_violated(void);

#endif
