/* Replies of the fakes: a status and a JSON body. */
#ifndef FL_TESTS_JSON_RESPONSE_H
#define FL_TESTS_JSON_RESPONSE_H

#include "protocol/json.h"
#include "transport/http_server.h"

/* Takes the object; NULL gives an empty one. */
static inline void set_json_response(struct fl_http_response *response, int status, cJSON *object)
{
	response->status = status;
	response->body = fl_json_print_and_delete(object ? object : cJSON_CreateObject());
}

#endif
