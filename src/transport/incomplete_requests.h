/*
 * The requests of which the first byte has arrived and the last one has not. Each holds a
 * connection and the memory of its body; when a server runs out of either, the slowest one is
 * evicted.
 */
#ifndef FL_TRANSPORT_INCOMPLETE_REQUESTS_H
#define FL_TRANSPORT_INCOMPLETE_REQUESTS_H

#include <stdbool.h>

#include "transport/http.h"

/* Adds a request whose first byte has just arrived on the socket `fd`. */
void fl_incomplete_requests_add(struct fl_http_message *request, int fd);
/* Removes a request, whether or not it was added. */
void fl_incomplete_requests_remove(struct fl_http_message *request);
/*
 * Evicts the request whose bytes arrive at the lowest mean rate, of those that began at least
 * `min_age_s` ago on connections of this endpoint (NULL: any) and of which no bytes wait to be
 * read. Its body is freed, and its read fails with -ECONNABORTED. Returns the request, or NULL if
 * there is none; a slowest request that is `spared` is returned without being evicted.
 */
const struct fl_http_message *
fl_incomplete_requests_evict_slowest(const struct fl_http_endpoint *endpoint, double min_age_s,
                                     const struct fl_http_message *spared);

#endif
