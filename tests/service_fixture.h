/*
 * Three controllers as real processes on loopback, the fakes around them, and users' requests to
 * them. Everything is called from coroutines of the test's event loop: a request waits there. The
 * one instance is set up by service_set_up() and torn down by service_tear_down(), which also ends
 * the processes of a test that failed.
 */
#ifndef FL_TESTS_SERVICE_FIXTURE_H
#define FL_TESTS_SERVICE_FIXTURE_H

#include <stdbool.h>
#include <stddef.h>

enum { CONTROLLERS = 3, TIMEOUT_S = 90 };

/* Of cmocka. All controllers have been started when it returns. */
int service_set_up(void **state);
int service_tear_down(void **state);

/* ---- processes ---- */

void start_controller(int index);
/* By SIGKILL; nothing if it is down. */
void kill_controller(int index);
/* The leader, or the first controller if there is none; which one it was. */
int kill_leader(void);
void start_stopped_controllers(void);
/* All of them end and restart at once, whatever each was doing. */
void restart_all_controllers(void);

/* ---- users ---- */

/* Asks controllers that run, from this one on; the status, with the body in `text`; -1: none
 * answers. */
int call_running_controller(int first_controller, const char *method, const char *path,
                            const char *body, char *text, size_t size);
bool submit_job(const char *ref, const char *kind, int task_count, int first_controller);
/* True if the job is cancelled in the end. */
bool cancel_job(const char *ref);

/* ---- waiting, for TIMEOUT_S at most ---- */

bool wait_until_ready(void);
bool wait_for_leader(void);
/* Controllers are asked from this one on, in turn, for a body that holds the text. */
bool wait_for_job_status(const char *ref, const char *text, int first_controller);
/* The same of each controller, asked first. */
bool wait_for_job_status_on_all_controllers(const char *ref, const char *text);
bool wait_until_job_stopped(const char *ref);
bool wait_until_unreachable_machines_are_deleted(void);

#endif
