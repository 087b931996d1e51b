/*
 * Writes the write-ahead log: every change that no progress record holds yet, of many jobs in one
 * transaction, so that starts need not wait until each of their records is written.
 */
#ifndef FL_COORDINATION_PERSISTENCE_WAL_WRITER_H
#define FL_COORDINATION_PERSISTENCE_WAL_WRITER_H

struct fl_node;

/* The result of a write of the log. */
enum fl_wal_write_result {
	FL_WAL_WRITTEN,
	FL_WAL_TOO_LARGE, /* it does not fit into one transaction: write the records themselves */
	FL_WAL_FAILED     /* not written, or its outcome is unknown: try again later */
};

/* Writes all unsaved changes to the log, in place of the version of it that this leader knows. */
enum fl_wal_write_result fl_wal_writer_write(struct fl_node *node);

#endif
