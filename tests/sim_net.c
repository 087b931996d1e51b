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
	struct fl_http_response resp;
	int result;
	bool done;
	int refs;
	struct fl_condition answered;
	struct sim_timer timer;
};

struct served {
	fl_http_handler handler;
	void *ctx;
};

static struct {
	int process[SIM_NODES]; /* that runs as this node; 0: down */
	struct served face[SIM_NODES][2];
	int processes; /* started so far */
	int starting;  /* the node that is being started */
	bool over;
} net;

/* ---- addresses ---- */

void sim_address(struct sim_endpoint e, char out[FL_CONFIG_NAME])
{
	snprintf(out, FL_CONFIG_NAME, "10.%d.%d.%d:%d", e.kind + 1, e.at / 200, e.at % 200 + 1,
	         9000);
}

static struct sim_endpoint end_of(const struct sockaddr_in *address)
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

static void release(struct call *c)
{
	if (--c->refs > 0)
		return;
	free(c->method);
	free(c->path);
	free(c->body);
	free(c->resp.body);
	free(c);
}

static void complete(struct call *c, int result)
{
	c->result = result;
	c->done = true;
	fl_condition_broadcast(&c->answered);
	release(c);
}

/* The answer comes back, or is lost on its way. */
static void deliver(void *arg)
{
	struct call *c = arg;

	if (net.over || sim_lost(c->from, c->to, true))
		release(c);
	else
		complete(c, 0);
}

static void answer(struct call *c)
{
	c->timer.fn = deliver;
	sim_timer_arm(&c->timer, sim_latency(c->to, c->from));
}

static enum http_method method_of(const char *name)
{
	return strcmp(name, "GET") == 0    ? HTTP_GET
	       : strcmp(name, "POST") == 0 ? HTTP_POST
	                                   : HTTP_DELETE;
}

static void dispatch(struct call *c, const struct fl_http_request *request)
{
	const struct served *s;

	switch (c->to.kind) {
	case ENDPOINT_KV_STORE:
		sim_kv_serve(c->from, request, &c->resp);
		break;
	case ENDPOINT_CLOUD:
		sim_cloud_serve(c->from, request, &c->resp);
		break;
	case ENDPOINT_WORKER:
		sim_worker_serve(c->from, c->process, c->to.at, request, &c->resp);
		break;
	default:
		s = &net.face[c->to.at][c->to.kind == ENDPOINT_PEER];
		s->handler(s->ctx, request, &c->resp);
	}
}

static void serve(void *arg)
{
	struct call *c = arg;
	char *query = strchr(c->path, '?');
	struct fl_http_request request = {.method = method_of(c->method),
	                                  .path = c->path,
	                                  .query = query ? query + 1 : "",
	                                  .body = c->body,
	                                  .body_len = strlen(c->body)};

	if (query)
		*query = 0;
	sim.calls[c->to.kind]++;
	if (!fl_coroutine_cancelled())
		dispatch(c, &request);
	if (net.over || c->resp.status == SIM_NO_REPLY)
		release(c);
	else if (fl_coroutine_cancelled())
		complete(c, -ECONNRESET);
	else
		answer(c);
}

static bool is_up(struct sim_endpoint e)
{
	switch (e.kind) {
	case ENDPOINT_NODE:
	case ENDPOINT_PEER:
		return net.process[e.at] != 0;
	case ENDPOINT_WORKER:
		return sim.machines[e.at].up && !sim.machines[e.at].terminated;
	default:
		return true;
	}
}

static void arrive(void *arg)
{
	struct call *c = arg;
	bool node = c->to.kind == ENDPOINT_NODE || c->to.kind == ENDPOINT_PEER;

	if (!net.over && sim_holds(c->from, c->to)) {
		/* Held back, and delivered when the link is there again. */
		sim_timer_arm(&c->timer, 0.2);
	} else if (net.over || sim_lost(c->from, c->to, false)) {
		release(c);
	} else if (!is_up(c->to)) {
		complete(c, -ECONNREFUSED);
	} else {
		sim_spawn(node ? net.process[c->to.at] : 0, serve, c);
	}
}

int sim_call(struct sim_endpoint from, struct sim_endpoint to, const char *method, const char *path,
             const char *body, double timeout_s, struct fl_http_reply *out)
{
	struct call *c;
	int rc;

	memset(out, 0, sizeof(*out));
	if (fl_coroutine_cancelled())
		return -ECANCELED;
	c = calloc(1, sizeof(*c));
	sim_require(c != NULL);
	c->from = from;
	c->to = to;
	c->process = sim_process();
	c->method = strdup(method);
	c->path = strdup(path);
	c->body = strdup(body ? body : "");
	c->refs = 2;
	c->timer.fn = arrive;
	c->timer.arg = c;
	sim_timer_arm(&c->timer, sim_latency(from, to));
	rc = fl_condition_wait(&c->answered, timeout_s);
	if (rc == 0)
		rc = c->result;
	if (rc == 0) {
		out->status = c->resp.status;
		out->body.data = c->resp.body ? c->resp.body : strdup("");
		out->body.length = strlen(out->body.data);
		c->resp.body = NULL;
	}
	release(c);
	return rc;
}

int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	struct sim_endpoint from = {ENDPOINT_PEER, -1};

	for (int i = 0; i < sim.node_count; i++)
		if (net.process[i] == sim_process())
			from.at = i;
	if (from.at < 0) /* a process that has just been ended */
		return -ECANCELED;
	return sim_call(from, end_of(&client->addr), method, path, body, timeout_s, out);
}

/* ---- controllers ---- */

struct fl_http_server *fl_http_serve(const char *addr, int max_connections, double idle_timeout_s,
                                     fl_http_handler handler, void *context)
{
	struct sockaddr_in address;

	(void)max_connections, (void)idle_timeout_s;
	sim_require(fl_address_parse(addr, &address) == 0);
	net.face[net.starting][end_of(&address).kind == ENDPOINT_PEER] =
		(struct served){handler, context};
	return (struct fl_http_server *)&net;
}

bool sim_node_alive(int node) { return net.process[node] != 0; }

int sim_node_process(int node) { return net.process[node]; }

static void boot(void *arg)
{
	net.starting = *(const int *)arg;
	sim_require(fl_node_start(&sim.config[net.starting]) == FL_NODE_STARTED);
}

static int places[SIM_NODES] = {0, 1, 2, 3, 4};

void sim_node_start(int node)
{
	if (net.process[node])
		return;
	net.process[node] = ++net.processes;
	sim_spawn(net.process[node], boot, &places[node]);
}

static void free_standby(struct fl_follower *follower)
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
	struct fl_node *n = net.face[node][0].ctx;

	if (!n)
		return;
	fl_record_writer_reset(&n->record_writer);
	free_standby(&n->follower);
	fl_cluster_free(&n->cluster);
	free(n);
	memset(net.face[node], 0, sizeof(net.face[node]));
}

void sim_node_kill(int node)
{
	int process = net.process[node];

	if (!process)
		return;
	net.process[node] = 0;
	sim_process_cancel(process);
	fl_sleep(0);
	sim_require(fl_coroutine_cancelled() || sim_process_routines(process) == 0);
	if (!fl_coroutine_cancelled())
		free_node(node);
}

static void drop(struct sim_timer *timer)
{
	if (timer->fn == arrive || timer->fn == deliver)
		timer->fn(timer->arg);
}

void sim_net_end(void)
{
	net.over = true;
	sim_time_end(drop);
	for (int i = 0; i < SIM_NODES; i++)
		free_node(i);
	memset(&net, 0, sizeof(net));
}
