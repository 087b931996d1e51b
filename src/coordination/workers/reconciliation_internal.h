/*
 * What the parts of the reconciliation share: a heartbeat being applied, and the steps in which
 * that is done, of which fl_reconcile_heartbeat (reconciliation.c) makes one whole. To be included
 * only by reconciliation*.c; other modules use reconciliation.h.
 */
#ifndef FL_COORDINATION_WORKERS_RECONCILIATION_INTERNAL_H
#define FL_COORDINATION_WORKERS_RECONCILIATION_INTERNAL_H

#include <stdbool.h>

#include "coordination/workers/reachability.h"
#include "coordination/workers/reconciliation.h"
#include "storage/machines.h"
#include "storage/tasks.h"

/* A heartbeat being applied; nothing in it is owned. */
struct fl_heartbeat_context {
	struct fl_node *node;
	struct fl_machine *machine;
	const struct fl_heartbeat *heartbeat;
	struct fl_command_list *commands; /* of the reply; NULL: it has none */
	enum fl_heartbeat_source source;
	double now; /* steady; when it came */
};

/* ---- which heartbeats count: reconciliation_contact.c ---- */

/* Whether it is newer than any that was applied; the first one received is always newer. */
bool fl_reconcile_heartbeat_is_newer(const struct fl_machine *machine,
                                     const struct fl_heartbeat *heartbeat);
/* Whether a heartbeat was sent before its worker knew of this leadership. */
bool fl_reconcile_predates_leadership(const struct fl_node *node,
                                      const struct fl_heartbeat *heartbeat);
/* Records what a heartbeat shows of the machine itself. */
void fl_reconcile_record_contact(const struct fl_heartbeat_context *context);

/* ---- which commands an attempt needs: reconciliation_commands.c ---- */

/* Whether the attempt is to run on, rather than be stopped. */
bool fl_attempt_should_run(const struct fl_job *job, const struct fl_task *task);
/* Seconds that a stopped attempt gets to write its checkpoint. */
double fl_attempt_grace_period_s(const struct fl_job *job, const struct fl_task *task);

/* ---- what the attempts of a heartbeat mean ---- */

/* The current attempt of a task has exited: reconciliation_exit.c. */
void fl_reconcile_exited_attempt(const struct fl_heartbeat_context *context, struct fl_job *job,
                                 struct fl_task *task, const struct fl_task_status *status);
/* An attempt that the heartbeat reports: reconciliation_reported.c. */
void fl_reconcile_reported_attempt(const struct fl_heartbeat_context *context,
                                   const struct fl_task_status *status);
/*
 * The attempts placed on the machine that the heartbeat does not report: each is started, or
 * concluded to be gone. Returns whether a start command was added: reconciliation_unreported.c.
 */
enum fl_reply_kind fl_reconcile_unreported_attempts(const struct fl_heartbeat_context *context);

#endif
