/* The network of the simulation: calls between endpoints, in place of the HTTP client. */
#include "sim.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"

/* Referenced by its caller and by the message's timer or the coroutine that serves the call. */
struct call {
	struct sim_endpoint from, to;
	int process; /* process of the caller */
	char *method, *path, *body;
	struct fl_http_response response;
	int result;
	int reference_count;
	struct fl_condition completed;
	struct sim_timer timer;
};

/* True while the simulation ends and all messages are dropped. */
static bool network_ending;

/* ---- addresses ---- */

void sim_endpoint_address(struct sim_endpoint endpoint, char out[FL_CONFIG_NAME_SIZE])
{
	snprintf(out, FL_CONFIG_NAME_SIZE, "10.%d.%d.%d:%d", endpoint.kind + 1,
	         endpoint.index / 200, endpoint.index % 200 + 1, 9000);
}

struct sim_endpoint sim_endpoint_from_address(const struct sockaddr_in *address)
{
	uint32_t ip = ntohl(address->sin_addr.s_addr);

	return (struct sim_endpoint){(enum sim_endpoint_kind)((ip >> 16 & 255) - 1),
	                             (int)(ip >> 8 & 255) * 200 + (int)(ip & 255) - 1};
}

static bool is_node(struct sim_endpoint endpoint)
{
	return endpoint.kind == ENDPOINT_NODE || endpoint.kind == ENDPOINT_PEER;
}

static bool is_up(struct sim_endpoint endpoint)
{
	if (is_node(endpoint))
		return sim_node_process(endpoint.index) != 0;
	if (endpoint.kind == ENDPOINT_WORKER)
		return sim.machines[endpoint.index].up && !sim.machines[endpoint.index].terminated;
	return true;
}

/* ---- replies ---- */

static void release_call(struct call *call)
{
	if (--call->reference_count > 0)
		return;
	free(call->method);
	free(call->path);
	free(call->body);
	free(call->response.body);
	free(call);
}

static void complete_call(struct call *call, int result)
{
	call->result = result;
	fl_condition_broadcast(&call->completed);
	release_call(call);
}

/* Delivers the reply, unless a fault loses it. */
static void deliver_reply(void *arg)
{
	struct call *call = arg;

	if (network_ending || sim_message_is_lost(call->from, call->to, true))
		release_call(call);
	else
		complete_call(call, 0);
}

static void send_reply(struct call *call)
{
	call->timer.function = deliver_reply;
	sim_timer_arm(&call->timer, sim_message_latency());
}

/* ---- requests ---- */

static enum http_method method_of(const char *name)
{
	if (strcmp(name, "GET") == 0)
		return HTTP_GET;
	return strcmp(name, "POST") == 0 ? HTTP_POST : HTTP_DELETE;
}

static void dispatch_request(struct call *call, const struct fl_http_request *request)
{
	switch (call->to.kind) {
	case ENDPOINT_KV_STORE:
		sim_kv_serve(call->from, request, &call->response);
		break;
	case ENDPOINT_CLOUD:
		sim_cloud_serve(call->process, request, &call->response);
		break;
	case ENDPOINT_WORKER:
		sim_worker_serve(call->process, call->to.index, request, &call->response);
		break;
	case ENDPOINT_NODE:
	case ENDPOINT_PEER:
		sim_node_serve(call->to, request, &call->response);
		break;
	case ENDPOINT_USER:
	case SIM_ENDPOINT_KINDS:
		abort();
	}
}

/* Ends the serving of a call whose reply, if there is one, is in `call->response`. */
static void finish_call(struct call *call, int result)
{
	if (network_ending || call->response.status == SIM_NO_REPLY)
		release_call(call);
	else if (fl_coroutine_cancelled() || result != 0)
		complete_call(call, -ECONNRESET);
	else
		send_reply(call);
}

static void serve_call(void *arg)
{
	struct call *call = arg;
	char *query = strchr(call->path, '?');
	struct fl_http_request request = {.method = method_of(call->method),
	                                  .path = call->path,
	                                  .query = query ? query + 1 : "",
	                                  .body = call->body,
	                                  .body_len = strlen(call->body)};

	if (query)
		*query = 0;
	sim.requests[call->to.kind]++;
	if (!fl_coroutine_cancelled())
		dispatch_request(call, &request);
	finish_call(call, 0);
}

static void serve_slow_request(void *context, const struct fl_http_request *request,
                               struct fl_http_response *response)
{
	const struct call *call = context;

	sim_node_serve(call->to, request, response);
}

static void serve_slow_call(void *arg)
{
	struct call *call = arg;
	const struct sim_text_request request = {call->method, call->path, call->body};

	sim.requests[call->to.kind]++;
	finish_call(call, sim_serve_slow_request(call->from, &request, serve_slow_request, call,
	                                         &call->response));
}

static void deliver_request(void *arg)
{
	struct call *call = arg;

	if (!network_ending && sim_message_is_held(call->from, call->to)) {
		/* Delivery is tried again until the fault that holds the message has ended. */
		sim_timer_arm(&call->timer, 0.2);
	} else if (network_ending || sim_message_is_lost(call->from, call->to, false)) {
		release_call(call);
	} else if (!is_up(call->to)) {
		complete_call(call, -ECONNREFUSED);
	} else {
		sim_spawn(is_node(call->to) ? sim_node_process(call->to.index) : 0,
		          sim_request_is_slow(call->from, call->to) ? serve_slow_call : serve_call,
		          call);
	}
}

/* ---- calls ---- */

static struct call *send_request(struct sim_endpoint from, struct sim_endpoint to,
                                 const char *method, const char *path, const char *body)
{
	struct call *call = calloc(1, sizeof(*call));

	sim_require(call != NULL);
	call->from = from;
	call->to = to;
	call->process = sim_current_process();
	call->method = strdup(method);
	call->path = strdup(path);
	call->body = strdup(body ? body : "");
	call->reference_count = 2;
	call->timer.function = deliver_request;
	call->timer.argument = call;
	sim_timer_arm(&call->timer, sim_message_latency());
	return call;
}

int sim_call(struct sim_endpoint from, struct sim_endpoint to, const char *method, const char *path,
             const char *body, double timeout_s, struct fl_http_reply *out)
{
	struct call *call;
	int rc;

	memset(out, 0, sizeof(*out));
	if (fl_coroutine_cancelled())
		return -ECANCELED;
	call = send_request(from, to, method, path, body);
	rc = fl_condition_wait(&call->completed, timeout_s);
	if (rc == 0)
		rc = call->result;
	if (rc == 0) {
		out->status = call->response.status;
		out->body.data = call->response.body ? call->response.body : strdup("");
		out->body.length = strlen(out->body.data);
		call->response.body = NULL;
	}
	release_call(call);
	return rc;
}

static void drop_timer(struct sim_timer *timer)
{
	if (timer->function == deliver_request || timer->function == deliver_reply)
		timer->function(timer->argument);
}

void sim_net_end(void)
{
	network_ending = true;
	sim_time_end(drop_timer);
	network_ending = false;
}

/* ---- the HTTP client of the controllers ---- */

int fl_http_client_init(struct fl_http_client *client, const char *addr, int max_idle)
{
	memset(client, 0, sizeof(*client));
	client->max_idle = max_idle;
	return fl_address_parse(addr, &client->addr);
}

void fl_http_client_close(struct fl_http_client *client) { (void)client; }

int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	struct sim_endpoint from = {ENDPOINT_PEER, sim_node_of_process(sim_current_process())};

	if (from.index < 0) /* a process that has just been killed */
		return -ECANCELED;
	return sim_call(from, sim_endpoint_from_address(&client->addr), method, path, body,
	                timeout_s, out);
}
