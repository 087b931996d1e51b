/* The transport of the simulation: calls between hosts, and the controllers' processes. */
#include "sim.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/persistence/record_writer.h"
#include "transport/clock.h"

struct call {
	struct sim_endpoint from, to;
	int process; /* of the caller */
	char *method, *path, *body;
	struct fl_http_response response;
	int result;
	bool done;
	int reference_count;
	struct fl_condition answered;
	struct sim_timer timer;
};

struct served {
	fl_http_handler handler;
	void *context;
};

static struct {
	int process[SIM_NODES]; /* that runs as this node; 0: down */
	struct served faces[SIM_NODES][2];
	int process_count; /* started so far */
	int starting_node; /* the node that is being started */
	bool over;
} net;

/* ---- addresses ---- */

void sim_address(struct sim_endpoint endpoint, char out[FL_CONFIG_NAME])
{
	snprintf(out, FL_CONFIG_NAME, "10.%d.%d.%d:%d", endpoint.kind + 1, endpoint.index / 200,
	         endpoint.index % 200 + 1, 9000);
}

static struct sim_endpoint endpoint_of(const struct sockaddr_in *address)
{
	uint32_t ip = ntohl(address->sin_addr.s_addr);

	return (struct sim_endpoint){(enum sim_endpoint_kind)((ip >> 16 & 255) - 1),
	                             (int)(ip >> 8 & 255) * 200 + (int)(ip & 255) - 1};
}

int fl_http_client_init(struct fl_http_client *client, const char *addr, int max_idle)
{
	memset(client, 0, sizeof(*client));
	client->max_idle = max_idle;
	return fl_address_parse(addr, &client->addr);
}

void fl_http_client_close(struct fl_http_client *client) { (void)client; }

/* ---- calls ---- */

static void release(struct call *call)
{
	if (--call->reference_count > 0)
		return;
	free(call->method);
	free(call->path);
	free(call->body);
	free(call->response.body);
	free(call);
}

static void complete(struct call *call, int result)
{
	call->result = result;
	call->done = true;
	fl_condition_broadcast(&call->answered);
	release(call);
}

/* The answer comes back, or is lost on its way. */
static void deliver(void *arg)
{
	struct call *call = arg;

	if (net.over || sim_message_is_lost(call->from, call->to, true))
		release(call);
	else
		complete(call, 0);
}

static void send_reply(struct call *call)
{
	call->timer.function = deliver;
	sim_timer_arm(&call->timer, sim_latency(call->to, call->from));
}

static enum http_method method_of(const char *name)
{
	return strcmp(name, "GET") == 0    ? HTTP_GET
	       : strcmp(name, "POST") == 0 ? HTTP_POST
	                                   : HTTP_DELETE;
}

static void dispatch(struct call *call, const struct fl_http_request *request)
{
	const struct served *s;

	switch (call->to.kind) {
	case ENDPOINT_KV_STORE:
		sim_kv_serve(call->from, request, &call->response);
		break;
	case ENDPOINT_CLOUD:
		sim_cloud_serve(call->from, request, &call->response);
		break;
	case ENDPOINT_WORKER:
		sim_worker_serve(call->from, call->process, call->to.index, request,
		                 &call->response);
		break;
	default:
		s = &net.faces[call->to.index][call->to.kind == ENDPOINT_PEER];
		s->handler(s->context, request, &call->response);
	}
}

static void serve(void *arg)
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
		dispatch(call, &request);
	if (net.over || call->response.status == SIM_NO_REPLY)
		release(call);
	else if (fl_coroutine_cancelled())
		complete(call, -ECONNRESET);
	else
		send_reply(call);
}

static bool is_up(struct sim_endpoint endpoint)
{
	switch (endpoint.kind) {
	case ENDPOINT_NODE:
	case ENDPOINT_PEER:
		return net.process[endpoint.index] != 0;
	case ENDPOINT_WORKER:
		return sim.machines[endpoint.index].up && !sim.machines[endpoint.index].terminated;
	default:
		return true;
	}
}

static void arrive(void *arg)
{
	struct call *call = arg;
	bool node = call->to.kind == ENDPOINT_NODE || call->to.kind == ENDPOINT_PEER;

	if (!net.over && sim_message_is_held(call->from, call->to)) {
		/* Held back, and delivered when the link is there again. */
		sim_timer_arm(&call->timer, 0.2);
	} else if (net.over || sim_message_is_lost(call->from, call->to, false)) {
		release(call);
	} else if (!is_up(call->to)) {
		complete(call, -ECONNREFUSED);
	} else {
		sim_spawn(node ? net.process[call->to.index] : 0, serve, call);
	}
}

int sim_call(struct sim_endpoint from, struct sim_endpoint to, const char *method, const char *path,
             const char *body, double timeout_s, struct fl_http_reply *out)
{
	struct call *call;
	int rc;

	memset(out, 0, sizeof(*out));
	if (fl_coroutine_cancelled())
		return -ECANCELED;
	call = calloc(1, sizeof(*call));
	sim_require(call != NULL);
	call->from = from;
	call->to = to;
	call->process = sim_process();
	call->method = strdup(method);
	call->path = strdup(path);
	call->body = strdup(body ? body : "");
	call->reference_count = 2;
	call->timer.function = arrive;
	call->timer.argument = call;
	sim_timer_arm(&call->timer, sim_latency(from, to));
	rc = fl_condition_wait(&call->answered, timeout_s);
	if (rc == 0)
		rc = call->result;
	if (rc == 0) {
		out->status = call->response.status;
		out->body.data = call->response.body ? call->response.body : strdup("");
		out->body.length = strlen(out->body.data);
		call->response.body = NULL;
	}
	release(call);
	return rc;
}

int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	struct sim_endpoint from = {ENDPOINT_PEER, -1};

	for (int i = 0; i < sim.node_count; i++)
		if (net.process[i] == sim_process())
			from.index = i;
	if (from.index < 0) /* a process that has just been ended */
		return -ECANCELED;
	return sim_call(from, endpoint_of(&client->addr), method, path, body, timeout_s, out);
}

/* ---- controllers ---- */

struct fl_http_server *fl_http_serve(const char *addr, int max_conns, double idle_s,
                                     fl_http_handler handler, void *context)
{
	struct sockaddr_in address;

	(void)max_conns, (void)idle_s;
	sim_require(fl_address_parse(addr, &address) == 0);
	net.faces[net.starting_node][endpoint_of(&address).kind == ENDPOINT_PEER] =
		(struct served){handler, context};
	return (struct fl_http_server *)&net;
}

bool sim_node_alive(int node) { return net.process[node] != 0; }

int sim_node_process(int node) { return net.process[node]; }

static void start_node(void *arg)
{
	net.starting_node = *(const int *)arg;
	sim_require(fl_node_start(&sim.config[net.starting_node]) == 0);
}

static int places[SIM_NODES] = {0, 1, 2, 3, 4};

void sim_node_start(int node)
{
	if (net.process[node])
		return;
	net.process[node] = ++net.process_count;
	sim_spawn(net.process[node], start_node, &places[node]);
}

static void free_follower(struct fl_follower *follower)
{
	struct fl_cached_heartbeat *cached, *tmp;
	struct fl_misplaced_worker *worker, *next;

	HASH_ITER (hh, follower->cached_heartbeats, cached, tmp) {
		HASH_DEL(follower->cached_heartbeats, cached);
		free(cached->text);
		free(cached);
	}
	HASH_ITER (hh, follower->misplaced_workers, worker, next) {
		HASH_DEL(follower->misplaced_workers, worker);
		free(worker);
	}
}

static void free_node(int node)
{
	struct fl_node *node_state = net.faces[node][0].context;

	if (!node_state)
		return;
	fl_record_writer_reset(node_state);
	free_follower(&node_state->follower);
	fl_cluster_free(&node_state->cluster);
	free(node_state);
	memset(net.faces[node], 0, sizeof(net.faces[node]));
}

void sim_node_kill(int node)
{
	int process = net.process[node];

	if (!process)
		return;
	net.process[node] = 0;
	sim_process_cancel(process);
	fl_sleep(0);
	sim_require(fl_coroutine_cancelled() || sim_process_coroutine_count(process) == 0);
	if (!fl_coroutine_cancelled())
		free_node(node);
}

static void drop_timer(struct sim_timer *timer)
{
	if (timer->function == arrive || timer->function == deliver)
		timer->function(timer->argument);
}

void sim_net_end(void)
{
	net.over = true;
	sim_time_end(drop_timer);
	for (int i = 0; i < SIM_NODES; i++)
		free_node(i);
	memset(&net, 0, sizeof(net));
}
