/*
 * The renewal rules, for whoever answers a worker's heartbeat, and so renews its lease. Nothing is
 * ever concluded from a lease having expired, so any controller may renew one, the leader
 * (leader_reply) or a follower (follower/lease_renewal); what bounds it is that a cancelled job's
 * tasks must end in time. See "Renewal of worker leases by followers" in
 * docs/design.md.
 */
#ifndef FL_COORDINATION_WORKERS_RENEWAL_RULES_H
#define FL_COORDINATION_WORKERS_RENEWAL_RULES_H

#include <stdbool.h>

#include "protocol/workers.h"

struct fl_cluster;
struct fl_config;
struct fl_node;

/*
 * Seconds after the cancellation watermark for which a node may renew worker leases. A cancellation
 * is answered only after it is stored, so that the watermark is at most this old when a node
 * refuses to renew; then the end of the worker's own lease stops the tasks within cancel_s.
 */
double fl_renewal_window_s(const struct fl_config *config);
/* Whether the node knows of every cancellation up to a time within that window. */
bool fl_renewal_watermark_is_fresh(const struct fl_node *node);
/*
 * Whether the worker holds a task of a job that was cancelled so long ago that the task might
 * outlive its time with another lease. Found with controllers eight times slower: none led for
 * long, no stop command of theirs arrived, and all of them renewed with fresh watermarks what had
 * been cancelled a minute ago. Such a lease is not to be renewed by any node; and a cancellation
 * that this node does not know of is younger than its watermark.
 */
bool fl_renewal_heartbeat_has_overdue_task(const struct fl_node *node,
                                           const struct fl_heartbeat *heartbeat);
/*
 * Adds stop commands for tasks of cancelled jobs. What is known to be cancelled is stopped by
 * whoever answers, not only no longer renewed: the final state is stored, so the stop is right
 * whichever node sends it, and comes with the answer that renews the lease, or neither does.
 */
void fl_renewal_add_stop_commands(const struct fl_cluster *cluster,
                                  const struct fl_heartbeat *heartbeat,
                                  struct fl_command_list *commands);

#endif
