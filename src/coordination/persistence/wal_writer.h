/*
 * Writes the write-ahead log: the changes of all jobs that no progress record holds yet, in one
 * transaction, so that starts need not wait until each progress record is written.
 */
#ifndef FL_COORDINATION_PERSISTENCE_WAL_WRITER_H
#define FL_COORDINATION_PERSISTENCE_WAL_WRITER_H

struct fl_node;

/* The result of a write of the log. */
enum fl_wal_write_result {
	FL_WAL_WRITTEN,
	FL_WAL_TOO_LARGE, /* does not fit into one transaction: write the progress records */
	FL_WAL_FAILED     /* not written, or outcome unknown: retry later */
};

/* Replaces the log by all unsaved changes, if it still has the revision that is known here. */
enum fl_wal_write_result fl_wal_writer_write(struct fl_node *node);

#endif
