/*
 * Declarations shared by the source files of the reconciliation: the context of a heartbeat being
 * applied, and the steps that fl_reconcile_heartbeat (reconciliation.c) combines. Included only by
 * reconciliation*.c; other modules use reconciliation.h.
 */
#ifndef FL_COORDINATION_WORKERS_RECONCILIATION_INTERNAL_H
#define FL_COORDINATION_WORKERS_RECONCILIATION_INTERNAL_H

#include <stdbool.h>

#include "coordination/workers/reachability.h"
#include "coordination/workers/reconciliation.h"
#include "storage/machines.h"
#include "storage/tasks.h"

/* The context of a heartbeat being applied; it owns none of its pointers. */
struct fl_heartbeat_context {
	struct fl_node *node;
	struct fl_machine *machine;
	const struct fl_heartbeat *heartbeat;
	struct fl_command_list *commands; /* of the reply; NULL if there is no reply */
	enum fl_heartbeat_source source;
	double now; /* arrival of the heartbeat; monotonic clock, s */
};

/* ---- stale heartbeats, state of the machine: reconciliation_contact.c ---- */

/* Returns whether the heartbeat is newer than all applied ones; the first one always is. */
bool fl_reconcile_heartbeat_is_newer(const struct fl_machine *machine,
                                     const struct fl_heartbeat *heartbeat);
/* Returns whether the heartbeat was sent before its worker knew this leadership's token. */
bool fl_reconcile_predates_leadership(const struct fl_node *node,
                                      const struct fl_heartbeat *heartbeat);
/* Updates the state of the machine itself, as opposed to its attempts, from a heartbeat. */
void fl_reconcile_record_contact(const struct fl_heartbeat_context *context);

/* ---- commands that an attempt needs: reconciliation_commands.c ---- */

/* Returns whether the attempt should run; otherwise it is to be stopped. */
bool fl_attempt_should_run(const struct fl_job *job, const struct fl_task *task);
/*
 * Returns whether an attempt that should run may be started now: its placement is stored, it is
 * permitted, and no write of the job's record is unresolved. Such a write may cancel the job, and
 * from the moment a user is told of that by any node, no task of the job may be started.
 */
bool fl_attempt_may_start(const struct fl_cluster *cluster, const struct fl_job *job,
                          uint32_t index);
/* Whether a placed attempt may run beside the other placed attempts of its team and job. */
enum fl_attempt_permission {
	FL_ATTEMPT_PERMITTED,
	FL_ATTEMPT_UNDECIDED, /* the zones of some of the job's machines are not known yet */
	FL_ATTEMPT_FORBIDDEN /* beyond the team's maximum quota, or in a zone that is not allowed */
};

/*
 * Checks an attempt that an earlier leader placed; those of this leader are permitted, since they
 * were checked when they were placed. The records may hold more attempts than that leader had
 * placed at any one time: a placement may be stored before the release of another attempt that made
 * room for it. Started by the new leader, both would exceed the quota.
 */
enum fl_attempt_permission fl_attempt_permission(const struct fl_cluster *cluster,
                                                 const struct fl_job *job, uint32_t index);
/* Adds a command to start an attempt that may start. */
void fl_reconcile_add_start(struct fl_command_list *commands, const struct fl_machine *machine,
                            const struct fl_job *job, uint32_t index);
/* Returns why an attempt of the job is stopped, for the log; NULL: the job is not known. */
const char *fl_attempt_stop_reason(const struct fl_job *job);
/* Returns the grace period, s, in which a stopped attempt may write its checkpoint. */
double fl_attempt_grace_period_s(const struct fl_job *job, const struct fl_task *task);

/* ---- attempts in a heartbeat, or missing from it ---- */

/* Handles the exit of a task's current attempt: reconciliation_exit.c. */
void fl_reconcile_exited_attempt(const struct fl_heartbeat_context *context, struct fl_job *job,
                                 struct fl_task *task, const struct fl_task_status *status);
/* Handles an attempt that the heartbeat reports: reconciliation_reported.c. */
void fl_reconcile_reported_attempt(const struct fl_heartbeat_context *context,
                                   const struct fl_task_status *status);
/*
 * Handles the attempts placed on the machine that the heartbeat does not report: starts those that
 * should run, and releases those that are proven gone. Returns whether a start command was added:
 * reconciliation_unreported.c.
 */
enum fl_reply_kind fl_reconcile_unreported_attempts(const struct fl_heartbeat_context *context);

#endif
