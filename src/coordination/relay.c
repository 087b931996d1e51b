#include "coordination/relay.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "protocol/peers.h"
#include "transport/clock.h"

static const struct {
	double direct_s;
} tunables = {
	.direct_s = 0.7, /* s for the straight way to the leader, if there is another */
};

struct fl_peer *fl_peer_find(struct fl_node *n, const char *name)
{
	for (int i = 0; i < n->n_peers; i++)
		if (strcmp(n->peers[i].name, name) == 0)
			return &n->peers[i];
	return NULL;
}

static int relay_via(struct fl_peer *p, const char *text, double timeout_s, struct fl_reply *out)
{
	int rc;

	if (timeout_s <= 0)
		return -ETIMEDOUT;
	rc = fl_http_call(&p->http, "POST", "/relay", text, timeout_s, out);
	if (rc == 0 && out->status == 421) {
		fl_buf_free(&out->body);
		return -EHOSTUNREACH;
	}
	return rc;
}

int fl_relay(struct fl_node *n, enum fl_user_call call, const char *ref, const char *via,
             const char *body, enum fl_hop hop, double patience_s, struct fl_reply *out)
{
	struct fl_peer *lead = fl_peer_find(n, n->leader);
	double until = fl_now() + patience_s;
	int rc = -EHOSTUNREACH;
	char *text;

	if (!lead)
		return rc;
	if (lead->up || n->n_peers == 1) {
		text = fl_relay_encode(call, true, false, ref, via, body);
		rc = relay_via(lead, text, hop ? patience_s : fmin(tunables.direct_s, patience_s),
		               out);
		free(text);
	}
	if (rc == 0 || hop)
		return rc;
	text = fl_relay_encode(call, false, fl_state_in_doubt(&n->state), ref, via, body);
	for (int i = 0; i < n->n_peers && rc != 0; i++) {
		struct fl_peer *p = &n->peers[i];

		if (p != lead && p->up)
			rc = relay_via(p, text, until - fl_now(), out);
	}
	free(text);
	return rc;
}
