/*
 * The rules by which a controller may renew a worker's lease in its reply to a heartbeat. No
 * decision relies on the expiry of a worker's lease, so any controller may renew it, the leader
 * (leader_reply) as well as a follower (follower/lease_renewal). The only limit is the deadline by
 * which the tasks of a cancelled job must end. See "Renewal of worker leases by followers" in
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
 * Returns for how many seconds after its cancellation watermark a node may renew worker leases. A
 * cancellation is confirmed to the user only after it is stored, so one that the node does not know
 * is later than the watermark. The node stops renewing when the watermark is this old; the worker's
 * lease then expires, which stops the tasks within cancel_s.
 */
double fl_renewal_window_s(const struct fl_config *config);
/* Returns whether the node's cancellation watermark is within that window. */
bool fl_renewal_watermark_is_fresh(const struct fl_node *node);
/*
 * Returns whether the heartbeat reports an unfinished task of a job that was cancelled so long ago
 * that the task might run past its deadline with another lease. No node may renew such a lease.
 * Guards against this failure: with controllers eight times slower, none led for long, no stop
 * command arrived, and all of them, with fresh watermarks, renewed the leases of workers with tasks
 * of jobs cancelled a minute before. A cancellation that this node does not know is later than its
 * watermark.
 */
bool fl_renewal_heartbeat_has_overdue_task(const struct fl_node *node,
                                           const struct fl_heartbeat *heartbeat);
/*
 * Adds stop commands for the reported tasks of jobs that this node knows to be cancelled, rather
 * than only refusing to renew the lease. Any node may send them, since the final state is stored.
 * They are in the reply that renews the lease, so both arrive or neither does.
 */
void fl_renewal_add_stop_commands(const struct fl_cluster *cluster,
                                  const struct fl_heartbeat *heartbeat,
                                  struct fl_command_list *commands);

#endif
