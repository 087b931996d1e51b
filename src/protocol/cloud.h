/*
 * The client of the cloud, from which machines are rented. Every call waits for the response and
 * must be made from a coroutine. Unless the result is FL_CLOUD_OK, outputs are empty and the caller
 * owns nothing. A rental with an unknown outcome is retried under the same name, so that it is made
 * only once.
 */
#ifndef FL_PROTOCOL_CLOUD_H
#define FL_PROTOCOL_CLOUD_H

#include "protocol/users.h"
#include "transport/http_client.h"

/* Limits: machines per rent or delete request, machines per list page, zones per machine type. */
enum {
	FL_CLOUD_RENT_MACHINES_MAX = 50,
	FL_CLOUD_DELETE_MACHINES_MAX = 100,
	FL_CLOUD_LIST_PAGE_SIZE = 500,
	FL_TYPE_ZONES_MAX = 8
};

/* The result of a request, with what it implies and how the caller should react. */
enum fl_cloud_result {
	FL_CLOUD_OK = 0,
	FL_CLOUD_NO_CAPACITY, /* no machine of this type in this zone now; rent others */
	FL_CLOUD_UNAVAILABLE, /* rejected (429, 503) and not executed; retry later */
	FL_CLOUD_CANCELLED,   /* the calling coroutine is cancelled; clean up and return */
	/* No response, or no memory to decode it; the request may be executed already, or later. */
	FL_CLOUD_OUTCOME_UNKNOWN,
	/*
	 * The response is malformed or has another status, which is an error to be logged. The
	 * outcome is unknown, too.
	 */
	FL_CLOUD_UNEXPECTED_RESPONSE
};

/* Returns a description of the result for log lines. */
const char *fl_cloud_result_text(enum fl_cloud_result result);

/* A machine type that the cloud offers. `pull_gb_per_s` is the rate of pulling an image, GB/s. */
struct fl_cloud_machine_type {
	char name[FL_NAME_MAX];
	double cpus, gpus, ram_gb, cache_gb, pull_gb_per_s, price, spot_price;
	double boot_time_s; /* time from the rental to the first heartbeat */
	char zones[FL_TYPE_ZONES_MAX][FL_NAME_MAX];
	int zone_count;
};

/* The status of a rented machine in the cloud's list. */
enum fl_cloud_machine_status {
	FL_CLOUD_MACHINE_BOOTING,
	FL_CLOUD_MACHINE_RUNNING,
	FL_CLOUD_MACHINE_FAILED
};

/* A rented machine in the cloud's list. */
struct fl_cloud_machine {
	char host[FL_NAME_MAX], endpoint[FL_NAME_MAX], type[FL_NAME_MAX], zone[FL_NAME_MAX];
	bool spot;
	enum fl_cloud_machine_status status;
	double age_s; /* time since the rental */
};

/* A client of the cloud. */
struct fl_cloud {
	struct fl_http_client http;
};

/* Decodes machine types from the cloud's response or their record; the caller frees `*types`. */
enum fl_decode_result fl_machine_types_decode(const cJSON *object,
                                              struct fl_cloud_machine_type **types, int *count);
/* Encodes machine types as fl_machine_types_decode reads them; the caller owns the tree. */
cJSON *fl_machine_types_encode(const struct fl_cloud_machine_type *types, int count);

/* Requests the machine types that the cloud offers; the caller frees `*types`. */
enum fl_cloud_result fl_cloud_get_machine_types(struct fl_cloud *cloud,
                                                struct fl_cloud_machine_type **types, int *count);

/* A rental of `count` machines; its name must be unique among all rentals ever made. */
struct fl_cloud_rental {
	const char *name, *type, *zone;
	bool spot;
	int count;
};

/*
 * Rents machines. On success `*hosts` holds the names of the `*host_count` rented machines, which
 * may be fewer than requested; the caller frees it.
 */
enum fl_cloud_result fl_cloud_rent_machines(struct fl_cloud *cloud,
                                            const struct fl_cloud_rental *rental,
                                            char (**hosts)[FL_NAME_MAX], int *host_count);
/* Returns machines to the cloud, at most FL_CLOUD_DELETE_MACHINES_MAX. */
enum fl_cloud_result fl_cloud_delete_machines(struct fl_cloud *cloud, const char *const *hosts,
                                              int count);
/*
 * Lists one page of the rented machines, beginning after the machine `from` (NULL or empty: the
 * first page). The caller frees `*machines`; `*more` is whether another page follows.
 */
enum fl_cloud_result fl_cloud_list_machines(struct fl_cloud *cloud, const char *from,
                                            struct fl_cloud_machine **machines, int *count,
                                            bool *more);

#endif
