/* The client of the cloud, from which machines are rented. */
#ifndef FL_PROTOCOL_CLOUD_H
#define FL_PROTOCOL_CLOUD_H

#include "protocol/users.h"
#include "transport/http_client.h"

/* Machines in one request, items on one page, zones of one type: at most. */
enum { FL_RENT_MAX = 50, FL_DELETE_MAX = 100, FL_LIST_PAGE = 500, FL_TYPE_ZONES_MAX = 8 };

/* A machine type as offered. */
struct fl_cloud_machine_type {
	char name[FL_NAME_MAX];
	double cpus, gpus, ram_gb, cache_gb, pull_gb_s, price, spot_price, ready_s;
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
	double age_s;
};

/* The connection to the cloud. */
struct fl_cloud {
	struct fl_http_client http;
};

/* Machine types in the shape of the cloud, also for a record. 0, or an errno with nothing held. */
int fl_machine_types_decode(const cJSON *object, struct fl_cloud_machine_type **out, int *n);
/* Undoes fl_machine_types_decode. */
cJSON *fl_machine_types_encode(const struct fl_cloud_machine_type *types, int n);

/*
 * The types on offer, `*n` of them, to be freed. This and all calls below return 0 on success,
 * -EAGAIN when refused for now (429, 503), other errnos when unknown.
 */
int fl_cloud_machine_types(struct fl_cloud *cloud, struct fl_cloud_machine_type **out, int *n);
/* Rents machines. -ENOSPC: no capacity. On success `*hosts` holds `*n` names to free. */
int fl_cloud_rent(struct fl_cloud *cloud, const char *request, const char *kind, const char *zone,
                  bool spot, int count, char (**hosts)[FL_NAME_MAX], int *n);
/* Returns machines. */
int fl_cloud_delete(struct fl_cloud *cloud, const char *const *hosts, int n);
/* One page of the rented machines after `from`, to be freed; `*more`: it is not the last. */
int fl_cloud_list(struct fl_cloud *cloud, const char *from, struct fl_cloud_machine **out, int *n,
                  bool *more);

#endif
