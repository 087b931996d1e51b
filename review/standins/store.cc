#include <cstdlib>

#include "world.hh"

Store::Store(const Settings &s)
    : settings(s), request_tokens(s.rps), write_tokens(s.write_rps), value_kb(s.value_kb),
      write_rps(s.write_rps), txn_ops(s.txn_ops)
{
	for (int i = 0; i < settings.controllers; i++)
		ports.push_back(serve([this, i](const Request &r) { return handle(i, r); }));
	std::thread([this] {
		for (;;) {
			sleep_s(0.02);
			expire();
		}
	}).detach();
}

static Response respond(int status, const Json &body)
{
	Response response;
	response.status = status;
	response.body = body.dump();
	return response;
}

static Response error(int status, const char *text)
{
	return respond(status, Json::object().set("error", text));
}

bool Store::take(double &tokens, double &at, double rate, double count)
{
	double now = now_s();

	tokens = std::min(rate, tokens + (now - at) * rate);
	at = now;
	if (tokens < count && tokens < rate)
		return false;
	tokens -= count;
	return true;
}

void Store::put(const std::string &key, const Json &value, uint64_t grant, uint64_t at)
{
	Entry &entry = entries[key];
	entry.value = value;
	entry.revision = at;
	entry.grant = grant;
	changes.push_back({at, key, value, false});
}

void Store::erase(const std::string &key, uint64_t at)
{
	if (entries.erase(key) == 0)
		return;
	changes.push_back({at, key, Json(), true});
}

void Store::end_grant(uint64_t id)
{
	std::vector<std::string> keys;

	grants.erase(id);
	for (auto &entry : entries)
		if (entry.second.grant == id)
			keys.push_back(entry.first);
	if (keys.empty())
		return;
	revision++;
	for (auto &key : keys)
		erase(key, revision);
	changed.notify_all();
}

// A lease ends up to 100 ms late, never early.
void Store::expire()
{
	std::lock_guard<std::mutex> lock(mutex);
	std::vector<uint64_t> ended;

	for (auto &grant : grants)
		if (now_s() > grant.second.ends_at)
			ended.push_back(grant.first);
	for (uint64_t id : ended)
		end_grant(id);
	while (changes.size() > 10000) {
		dropped_up_to = changes.front().revision;
		changes.pop_front();
	}
}

void Store::set_limits(double kb, int ops, double rate)
{
	std::lock_guard<std::mutex> lock(mutex);

	value_kb = kb;
	txn_ops = ops;
	write_rps = rate;
	record("state service: limits are now value_kb=%g txn_ops=%d write_rps=%g", kb, ops, rate);
}

std::string Store::leader()
{
	std::lock_guard<std::mutex> lock(mutex);
	auto found = entries.find("c/lead");
	return found == entries.end() ? "" : found->second.value.str("node");
}

Response Store::get(const std::string &key)
{
	auto found = entries.find(key);

	if (found == entries.end())
		return respond(404, Json::object().set("LedgerRev", revision));
	Json body = Json::object();
	body.set("Key", key).set("V", found->second.value).set("KeyRev", found->second.revision);
	if (found->second.grant)
		body.set("Grant", found->second.grant);
	return respond(200, body);
}

Response Store::list(const Request &request)
{
	std::string prefix = request.param("Prefix"), from = request.param("From");
	int page = atoi(request.param("Page").c_str());
	Json items = Json::array();
	size_t bytes = 0;
	bool more = false;

	if (page <= 0 || page > 1000)
		page = 1000;
	for (auto it = entries.lower_bound(prefix); it != entries.end(); ++it) {
		if (it->first.compare(0, prefix.size(), prefix) != 0)
			break;
		if (!from.empty() && it->first <= from)
			continue;
		Json item = Json::object();
		item.set("Key", it->first).set("V", it->second.value);
		item.set("KeyRev", it->second.revision);
		bytes += item.dump().size() + 1;
		if ((int)items.a.size() == page || (bytes > 500 * 1024 && !items.a.empty())) {
			more = true;
			break;
		}
		items.add(item);
	}
	Json body = Json::object();
	body.set("Items", items).set("More", more).set("LedgerRev", revision);
	return respond(200, body);
}

Response Store::follow(const Request &request)
{
	std::string prefix = request.param("Prefix");
	uint64_t from = strtoull(request.param("From").c_str(), nullptr, 10);
	double until = now_s() + atof(request.param("HoldMs").c_str()) / 1000;
	std::unique_lock<std::mutex> lock(mutex);
	Json log = Json::array();
	uint64_t answered = 0;

	if (from < dropped_up_to)
		return error(410, "too old");
	for (;;) {
		for (auto &change : changes) {
			if (change.revision <= from ||
			    change.key.compare(0, prefix.size(), prefix) != 0)
				continue;
			Json item = Json::object();
			item.set(change.deleted ? "Delete" : "Put", change.key);
			if (!change.deleted)
				item.set("V", change.value);
			item.set("KeyRev", change.revision);
			log.add(item);
		}
		answered = revision;
		if (!log.a.empty() || now_s() >= until)
			break;
		changed.wait_for(lock, std::chrono::milliseconds(20));
	}
	return respond(200, Json::object().set("LedgerRev", answered).set("Log", log));
}

Response Store::transaction(const Json &object, const std::string &text)
{
	const Json *when = object.find("When"), *apply = object.find("Apply");
	size_t ops = apply ? apply->a.size() : 0;
	Json failed = Json::array();

	if (text.size() > 64 * 1024 || ops > (size_t)txn_ops ||
	    (when && when->a.size() > 4 * (size_t)txn_ops)) {
		rejected_too_large++;
		record("state service: 400, %zu changes, %zu bytes (limit %d changes)", ops,
		       text.size(), txn_ops);
		return error(400, "too large");
	}
	for (size_t i = 0; i < ops; i++) {
		const Json *value = apply->a[i].find("V");
		uint64_t grant = (uint64_t)apply->a[i].num("Grant");
		if (value && (double)value->dump().size() > value_kb * 1024) {
			rejected_too_large++;
			record("state service: 400, value of %s has %zu bytes (limit %.0f)",
			       apply->a[i].str("Put").c_str(), value->dump().size(),
			       value_kb * 1024);
			return error(400, "too large");
		}
		if (grant && !grants.count(grant))
			return error(400, "no such lease");
	}
	if (!take(write_tokens, write_at, write_rps, (double)ops))
		return error(429, "too many changes");
	for (size_t i = 0; when && i < when->a.size(); i++) {
		auto found = entries.find(when->a[i].str("Key"));
		uint64_t now = found == entries.end() ? 0 : found->second.revision;
		if (now != (uint64_t)when->a[i].num("KeyRev"))
			failed.add(when->a[i].str("Key"));
	}
	if (!failed.a.empty())
		return respond(409,
		               Json::object().set("failed", failed).set("LedgerRev", revision));
	if (ops == 0)
		return respond(200, Json::object().set("LedgerRev", revision));
	revision++;
	for (size_t i = 0; i < ops; i++) {
		const Json &op = apply->a[i];
		if (op.find("Put"))
			put(op.str("Put"), op.find("V") ? *op.find("V") : Json(),
			    (uint64_t)op.num("Grant"), revision);
		else
			erase(op.str("Delete"), revision);
	}
	changed.notify_all();
	return respond(200, Json::object().set("LedgerRev", revision));
}

Response Store::hold(const Request &request)
{
	std::string rest = request.path.size() > 7 ? request.path.substr(7) : "";
	uint64_t id = strtoull(rest.c_str(), nullptr, 10);
	Json body;

	if (rest.empty()) {
		double ttl_s;
		Json::parse(request.body, body);
		ttl_s = body.num("TtlMs") / 1000;
		if (ttl_s < 0.1 || ttl_s > 600)
			return error(400, "bad lease");
		grants[next_grant] = {now_s() + ttl_s, ttl_s};
		return respond(200, Json::object().set("Grant", next_grant++));
	}
	if (!grants.count(id) || now_s() > grants[id].ends_at)
		return error(404, "no such lease");
	if (request.method == "DELETE")
		end_grant(id);
	else
		grants[id].ends_at = now_s() + grants[id].ttl_s;
	return respond(200, Json::object());
}

Response Store::handle(int controller, const Request &request)
{
	double delay = 0.002, late;
	Response response;
	Json object;
	{
		std::lock_guard<std::mutex> lock(mutex);
		if (slow_share > 0 && (double)random() / (double)random.max() < slow_share)
			delay = 0.1 + 0.3 * (double)random() / (double)random.max();
		if (!take(request_tokens, request_at, settings.rps, 1))
			return error(429, "too many requests");
	}
	if (request.path == "/follow") {
		response = follow(request);
		if (delay > 0.01)
			sleep_s(delay);
		return response;
	}
	if (request.path == "/multi") {
		if (!Json::parse(request.body, object))
			return error(400, "malformed");
		late = late_transaction ? late_transaction(controller, request.body) : -1;
		if (late >= 0) {
			record("state service: transaction of host-%d gets no answer, is carried "
			       "out in %.1f s: %.160s",
			       controller, late, request.body.c_str());
			std::thread([this, object, late, text = request.body] {
				sleep_s(late);
				std::lock_guard<std::mutex> lock(mutex);
				Response result = transaction(object, text);
				record("state service: late transaction carried out, %d: %.160s",
				       result.status, text.c_str());
			}).detach();
			response.no_answer = true;
			return response;
		}
		std::lock_guard<std::mutex> lock(mutex);
		response = transaction(object, request.body);
	} else {
		std::lock_guard<std::mutex> lock(mutex);
		if (request.path.compare(0, 6, "/holds") == 0)
			response = hold(request);
		else if (request.path == "/keys")
			response = list(request);
		else if (request.path.compare(0, 6, "/keys/") == 0)
			response = get(request.path.substr(6));
		else
			response = error(400, "no such path");
	}
	sleep_s(delay);
	return response;
}
