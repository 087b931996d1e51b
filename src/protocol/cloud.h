/*
 * The client of the cloud, from which machines are rented. Every call waits for the answer, so it
 * must be made from a coroutine. Unless the result is FL_CLOUD_OK, outputs are empty and the caller
 * owns nothing. A rental with an unknown outcome is repeated under its name, which makes it once.
 */
#ifndef FL_PROTOCOL_CLOUD_H
#define FL_PROTOCOL_CLOUD_H

#include "protocol/users.h"
#include "transport/http_client.h"

/* Machines in one request, items on one page, zones of one type: at most. */
enum {
	FL_CLOUD_RENT_MACHINES_MAX = 50,
	FL_CLOUD_DELETE_MACHINES_MAX = 100,
	FL_CLOUD_LIST_PAGE_SIZE = 500,
	FL_TYPE_ZONES_MAX = 8
};

/* The result of a request: what the caller may conclude, and what it has to do. */
enum fl_cloud_result {
	FL_CLOUD_OK = 0,
	FL_CLOUD_NO_CAPACITY, /* no machine of this kind in this zone now: rent others */
	FL_CLOUD_UNAVAILABLE, /* refused for now (429, 503) and not executed: try again later */
	FL_CLOUD_CANCELLED,   /* the calling coroutine is being cancelled: unwind */
	/* No answer, or no memory to read it: it may have been executed, or may still be. */
	FL_CLOUD_OUTCOME_UNKNOWN,
	/* The same, but the answer cannot be read or has another status: a fault, to be logged. */
	FL_CLOUD_UNEXPECTED_RESPONSE
};

/* The words for a result in a log line. */
const char *fl_cloud_result_text(enum fl_cloud_result result);

/* A machine type as offered. */
struct fl_cloud_machine_type {
	char name[FL_NAME_MAX];
	double cpus, gpus, ram_gb, cache_gb, pull_gb_s, price, spot_price;
	double ready_s; /* from a rental to the first heartbeat */
	char zones[FL_TYPE_ZONES_MAX][FL_NAME_MAX];
	int zone_count;
};

/* How far a rented machine is. */
enum fl_cloud_machine_status {
	FL_CLOUD_MACHINE_BOOTING,
	FL_CLOUD_MACHINE_RUNNING,
	FL_CLOUD_MACHINE_FAILED
};

/* A rented machine, as listed. */
struct fl_cloud_machine {
	char host[FL_NAME_MAX], endpoint[FL_NAME_MAX], type[FL_NAME_MAX], zone[FL_NAME_MAX];
	bool spot;
	enum fl_cloud_machine_status status;
	double age_s; /* since the rental */
};

/* The connection to the cloud. */
struct fl_cloud {
	struct fl_http_client http;
};

/* Machine types in the shape of the cloud, also for a record; `*types` is to be freed. */
enum fl_decode_result fl_machine_types_decode(const cJSON *object,
                                              struct fl_cloud_machine_type **types, int *count);
/* The inverse of fl_machine_types_decode; owned by the caller. */
cJSON *fl_machine_types_encode(const struct fl_cloud_machine_type *types, int count);

/* The types on offer; `*types` is to be freed. */
enum fl_cloud_result fl_cloud_get_machine_types(struct fl_cloud *cloud,
                                                struct fl_cloud_machine_type **types, int *count);

/* A rental of `count` machines, under a name that no other rental ever has. */
struct fl_cloud_rental {
	const char *name, *type, *zone;
	bool spot;
	int count;
};

/*
 * Rents machines. On success `*hosts` holds the names of `*host_count` of them, perhaps fewer than
 * asked for; to be freed.
 */
enum fl_cloud_result fl_cloud_rent_machines(struct fl_cloud *cloud,
                                            const struct fl_cloud_rental *rental,
                                            char (**hosts)[FL_NAME_MAX], int *host_count);
/* Returns at most FL_CLOUD_DELETE_MACHINES_MAX machines to the cloud. */
enum fl_cloud_result fl_cloud_delete_machines(struct fl_cloud *cloud, const char *const *hosts,
                                              int count);
/*
 * One page of the rented machines after `from` (NULL or empty: the first page); `*machines` is to
 * be freed; `*more`: it is not the last page.
 */
enum fl_cloud_result fl_cloud_list_machines(struct fl_cloud *cloud, const char *from,
                                            struct fl_cloud_machine **machines, int *count,
                                            bool *more);

#endif
