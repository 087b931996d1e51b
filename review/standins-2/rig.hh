// Stand-ins for the cases of the second review: state service, cloud, workers and users in one
// process, each answering HTTP/1.1 on a loopback address of its own, and the three controllers as
// child processes started by the command of the deploy file. Standard C++17 and POSIX only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using std::string;

// ---- time and record ----

inline double now()
{
	using namespace std::chrono;
	static const steady_clock::time_point zero = steady_clock::now();
	return duration<double>(steady_clock::now() - zero).count();
}

inline void sleep_s(double s)
{
	if (s > 0)
		std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

inline FILE *record_file;

__attribute__((format(printf, 1, 2))) inline void rec(const char *format, ...)
{
	static std::mutex lock;
	std::lock_guard<std::mutex> guard(lock);
	va_list arguments;
	fprintf(record_file, "%8.3f ", now());
	va_start(arguments, format);
	vfprintf(record_file, format, arguments);
	va_end(arguments);
	fputc('\n', record_file);
	fflush(record_file);
}

__attribute__((format(printf, 1, 2))) inline string text(const char *format, ...)
{
	static thread_local char buffer[4096];
	va_list arguments;
	va_start(arguments, format);
	vsnprintf(buffer, sizeof(buffer), format, arguments);
	va_end(arguments);
	return buffer;
}

// ---- JSON ----

struct Json {
	enum Kind { NONE, BOOL, NUMBER, STRING, ARRAY, OBJECT } kind = NONE;
	bool flag = false;
	double number = 0;
	string str, raw;
	std::vector<Json> items;
	std::vector<std::pair<string, Json>> fields;

	const Json &operator[](const char *key) const
	{
		static const Json none;
		for (const auto &field : fields)
			if (field.first == key)
				return field.second;
		return none;
	}
	explicit operator bool() const { return kind != NONE; }
};

class JsonParser {
public:
	static bool parse(const string &text, Json &out)
	{
		JsonParser parser{text};
		return parser.value(out) && (parser.space(), parser.at == text.size());
	}

private:
	explicit JsonParser(const string &text) : s(text) {}
	void space()
	{
		while (at < s.size() && strchr(" \t\r\n", s[at]))
			at++;
	}
	bool word(const char *w)
	{
		size_t n = strlen(w);
		if (s.compare(at, n, w))
			return false;
		at += n;
		return true;
	}
	bool quoted(string &out)
	{
		if (at >= s.size() || s[at] != '"')
			return false;
		for (at++; at < s.size() && s[at] != '"'; at++) {
			if (s[at] != '\\') {
				out += s[at];
				continue;
			}
			if (++at >= s.size())
				return false;
			switch (s[at]) {
			case 'n': out += '\n'; break;
			case 't': out += '\t'; break;
			case 'r': out += '\r'; break;
			case 'b': out += '\b'; break;
			case 'f': out += '\f'; break;
			case 'u':
				out += (char)strtol(s.substr(at + 1, 4).c_str(), nullptr, 16);
				at += 4;
				break;
			default: out += s[at];
			}
		}
		return at++ < s.size();
	}
	bool value(Json &out)
	{
		space();
		size_t begin = at;
		bool ok = at < s.size() && any(out);
		if (ok)
			out.raw = s.substr(begin, at - begin);
		return ok;
	}
	bool any(Json &out)
	{
		char c = s[at];
		if (c == '{') {
			out.kind = Json::OBJECT;
			for (at++, space(); at < s.size() && s[at] != '}';) {
				string key;
				Json item;
				space();
				if (!quoted(key))
					return false;
				space();
				if (at >= s.size() || s[at++] != ':' || !value(item))
					return false;
				out.fields.emplace_back(std::move(key), std::move(item));
				space();
				if (at < s.size() && s[at] == ',')
					at++;
			}
			return at++ < s.size();
		}
		if (c == '[') {
			out.kind = Json::ARRAY;
			for (at++, space(); at < s.size() && s[at] != ']';) {
				out.items.emplace_back();
				if (!value(out.items.back()))
					return false;
				space();
				if (at < s.size() && s[at] == ',')
					at++;
				space();
			}
			return at++ < s.size();
		}
		if (c == '"') {
			out.kind = Json::STRING;
			return quoted(out.str);
		}
		if (word("true") || word("false")) {
			out.kind = Json::BOOL;
			out.flag = c == 't';
			return true;
		}
		if (word("null"))
			return true;
		char *end;
		out.kind = Json::NUMBER;
		out.number = strtod(s.c_str() + at, &end);
		if (end == s.c_str() + at)
			return false;
		at = (size_t)(end - s.c_str());
		return true;
	}

	const string &s;
	size_t at = 0;
};

// ---- sockets and HTTP ----

// The loopback address of this run: another one for each process, so that runs at the same time do
// not meet.
inline const string &host()
{
	static const string address = text("127.%d.%d.1", 1 + (int)(getpid() / 250 % 250),
	                                   1 + (int)(getpid() % 250));
	return address;
}

inline sockaddr_in loopback(int port)
{
	sockaddr_in address{};
	address.sin_family = AF_INET;
	inet_pton(AF_INET, host().c_str(), &address.sin_addr);
	address.sin_port = htons((uint16_t)port);
	return address;
}

// Opens a listening socket on a free port below the ephemeral range; no port is chosen twice.
inline int listen_on_free_port(int &port)
{
	static std::mt19937 random{(unsigned)getpid() * 7919u + (unsigned)time(nullptr)};
	static std::set<int> chosen;
	static std::mutex lock;
	std::lock_guard<std::mutex> guard(lock);
	for (int i = 0; i < 500; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
		port = 20000 + (int)(random() % 12000);
		if (!chosen.insert(port).second) {
			close(fd);
			continue;
		}
		sockaddr_in address = loopback(port);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		if (bind(fd, (sockaddr *)&address, sizeof(address)) == 0 && listen(fd, 256) == 0)
			return fd;
		close(fd);
	}
	return -1;
}

inline int free_port()
{
	int port;
	close(listen_on_free_port(port));
	return port;
}

struct Reply {
	int status = 0; // 0: no response
	string body;
};

struct Request {
	string method, path, body;
	std::map<string, string> query;
};

// Reads one HTTP message; `rest` keeps bytes of the next one. False: the connection ended.
inline bool read_message(int fd, string &rest, string &head, string &body, double timeout_s)
{
	double deadline = now() + timeout_s;
	size_t length = string::npos, head_end = string::npos;
	for (;;) {
		if (head_end == string::npos && (head_end = rest.find("\r\n\r\n")) != string::npos) {
			string lower = rest.substr(0, head_end);
			std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
			size_t at = lower.find("content-length:");
			length = at == string::npos ? 0 : strtoul(lower.c_str() + at + 15, nullptr, 10);
		}
		if (head_end != string::npos && rest.size() >= head_end + 4 + length) {
			head = rest.substr(0, head_end);
			body = rest.substr(head_end + 4, length);
			rest.erase(0, head_end + 4 + length);
			return true;
		}
		pollfd wait{fd, POLLIN, 0};
		double left = deadline - now();
		if (left <= 0 || poll(&wait, 1, (int)(left * 1000) + 1) <= 0)
			return false;
		char buffer[65536];
		ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
		if (count <= 0)
			return false;
		rest.append(buffer, (size_t)count);
	}
}

inline bool send_all(int fd, const string &bytes)
{
	for (size_t at = 0; at < bytes.size();) {
		ssize_t count = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
		if (count <= 0)
			return false;
		at += (size_t)count;
	}
	return true;
}

// A client that keeps one connection to an address.
class Client {
public:
	~Client() { reset(); }
	void reset()
	{
		if (fd >= 0)
			close(fd);
		fd = -1;
		rest.clear();
	}
	Reply call(int to, const char *method, const string &path, const string &body,
	           double timeout_s)
	{
		Reply reply;
		if (to != port)
			reset();
		port = to;
		for (int tries = 0; tries < 2; tries++) {
			bool reused = fd >= 0;
			if (!reused && !open(timeout_s))
				return reply;
			string head;
			string message = text("%s %s HTTP/1.1\r\nHost: s\r\nContent-Type: "
			                      "application/json\r\nContent-Length: %zu\r\n\r\n",
			                      method, path.c_str(), body.size()) +
			                 body;
			double sent_at = now();
			if (send_all(fd, message) &&
			    read_message(fd, rest, head, reply.body, timeout_s)) {
				reply.status = atoi(head.c_str() + head.find(' '));
				std::transform(head.begin(), head.end(), head.begin(), ::tolower);
				if (head.find("connection: close") != string::npos)
					reset();
				return reply;
			}
			reset();
			// Only a connection that the server had closed while idle is replaced.
			if (!reused || now() - sent_at > 0.2)
				return reply;
		}
		return reply;
	}

private:
	bool open(double timeout_s)
	{
		sockaddr_in address = loopback(port);
		int on = 1, error = 0;
		socklen_t size = sizeof(error);
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
		if (connect(fd, (sockaddr *)&address, sizeof(address)) != 0) {
			pollfd wait{fd, POLLOUT, 0};
			if (errno != EINPROGRESS || poll(&wait, 1, (int)(timeout_s * 1000)) <= 0 ||
			    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error) {
				reset();
				return false;
			}
		}
		fcntl(fd, F_SETFL, 0);
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		return true;
	}
	int fd = -1, port = 0;
	string rest;
};

using Handler = std::function<Reply(const Request &)>;

inline std::map<string, string> parse_query(const string &query)
{
	std::map<string, string> out;
	for (size_t at = 0; at < query.size();) {
		size_t end = std::min(query.find('&', at), query.size()), mid = query.find('=', at);
		if (mid < end)
			out[query.substr(at, mid - at)] = query.substr(mid + 1, end - mid - 1);
		at = end + 1;
	}
	return out;
}

inline void serve_connection(int fd, const Handler &handler)
{
	string rest, head, body;
	int on = 1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while (read_message(fd, rest, head, body, 600)) {
		Request request;
		size_t first = head.find(' '), second = head.find(' ', first + 1);
		string target = head.substr(first + 1, second - first - 1);
		size_t mark = std::min(target.find('?'), target.size());
		request.method = head.substr(0, first);
		request.path = target.substr(0, mark);
		if (mark < target.size())
			request.query = parse_query(target.substr(mark + 1));
		request.body = body;
		Reply reply = handler(request);
		if (!reply.status ||
		    !send_all(fd, text("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		                       "Content-Length: %zu\r\n\r\n",
		                       reply.status, reply.body.size()) +
		                          reply.body))
			break;
	}
	close(fd);
}

// Serves on a free loopback port until the process ends; returns the port.
inline int serve(const Handler &handler)
{
	int port, fd = listen_on_free_port(port);
	std::thread([fd, handler] {
		for (;;) {
			int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
			if (connection >= 0)
				std::thread(serve_connection, connection, handler).detach();
		}
	}).detach();
	return port;
}

// ---- settings ----

struct Team {
	string name;
	double gpus = 0, gpus_max = 0;
};

struct MachineType {
	string name;
	double cpus, gpus, ram_gb, price, spot_price, ready_s;
};

// The small deployment of Dakar, as in BRIEF and its site file.
struct Settings {
	std::vector<string> zones{"plateau", "thies", "saint-louis"};
	std::vector<Team> teams{{"numerisation", 16, 56},
	                        {"catalogage", 24, 32},
	                        {"conservation", 8, 100},
	                        {"mediation", 24, 72},
	                        {"archives-sonores", 16, 70},
	                        {"universite-cheikh", 0, 0}};
	double report_s = 2, lease_s = 14, cancel_s = 44;
	double rps = 70, write_rps = 25, value_kb = 8;
	int txn_ops = 20;
	double cloud_rps = 3, list_lag_s = 10;
	int controllers = 3;
	double core_share = 0.12, ram_mb = 72, clock_off_ms = 5;
	int max_connections = 1500;
	MachineType type{"baobab", 24, 2, 96, 7.53, 2.24, 60};
	string objectives = "[[settings.objectives]]\nkind = \"wait\"\nclass = \"vue-publique\"\n"
	                    "within_s = 18.0\nshare = 0.9\n\n"
	                    "[[settings.objectives]]\nkind = \"finished\"\n"
	                    "class = \"restauration-lot\"\nwithin_s = 200.0\nshare = 0.9\n\n"
	                    "[[settings.objectives]]\nkind = \"finished\"\n"
	                    "class = \"restauration-lot\"\nwithin_s = 300.0\nshare = 0.96\n\n"
	                    "[[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = 15.0\n"
	                    "share = 0.9\n\n";
};

// The small deployment of Kuopio, as in BRIEF and its site file, with the guest team.
inline Settings kuopio()
{
	Settings s;
	s.zones = {"kuopio", "kajaani"};
	s.teams = {{"karttapalvelu"}, {"mosaiikki"}, {"arkisto"}, {"metsatutkimus"}};
	s.report_s = 1.5, s.lease_s = 10, s.cancel_s = 40;
	s.rps = 120, s.write_rps = 25, s.value_kb = 4, s.txn_ops = 8;
	s.cloud_rps = 8, s.list_lag_s = 3;
	s.core_share = 0.096, s.ram_mb = 56, s.clock_off_ms = 100;
	s.max_connections = 900;
	s.type = {"revontuli", 12, 2, 96, 5.97, 2.15, 40};
	s.objectives = "[[settings.objectives]]\nkind = \"up\"\nclass = \"tiilipalvelu\"\n"
	               "within_s = 20.0\nshare = 0.992\n\n"
	               "[[settings.objectives]]\nkind = \"wait\"\nclass = \"tiilipalvelu\"\n"
	               "within_s = 10.0\nshare = 0.8\n\n"
	               "[[settings.objectives]]\nkind = \"finished\"\nclass = \"projisointi\"\n"
	               "within_s = 180.0\nshare = 0.88\n\n";
	return s;
}

struct Bucket { // a rate with bursts of `burst_s` seconds' worth
	double rate, burst, tokens, at = 0;
	Bucket(double rate, double burst_s)
	    : rate(rate), burst(std::max(1.0, rate * burst_s)), tokens(burst)
	{
	}
	bool take(double count)
	{
		double t = now();
		tokens = std::min(burst, tokens + (t - at) * rate);
		at = t;
		if (tokens < count)
			return false;
		tokens -= count;
		return true;
	}
};

// ---- state service ----

class StateService {
public:
	explicit StateService(const Settings &settings)
	    : settings(settings), requests(settings.rps, 1), writes(settings.write_rps, 1)
	{
		port = serve([this](const Request &request) { return handle(request); });
		std::thread([this] {
			for (;;) {
				sleep_s(0.02);
				std::lock_guard<std::mutex> guard(lock);
				expire();
			}
		}).detach();
	}
	string value(const string &key)
	{
		std::lock_guard<std::mutex> guard(lock);
		auto found = keys.find(key);
		return found == keys.end() ? "" : found->second.value;
	}
	int port;
	std::atomic<bool> outage{false};
	std::atomic<long> refused{0};

private:
	struct Entry {
		string value;
		long revision, grant;
	};
	struct Change {
		long revision;
		string key, value;
		bool put;
	};

	Reply handle(const Request &request)
	{
		sleep_s(0.003);
		std::unique_lock<std::mutex> guard(lock);
		if (outage)
			return {503, "{\"error\":\"outage\"}"};
		if (!requests.take(1)) {
			refused++;
			return {429, "{\"error\":\"too many requests\"}"};
		}
		if (request.path == "/multi")
			return transaction(request);
		if (request.path == "/follow")
			return follow(request, guard);
		if (request.path == "/keys")
			return list(request);
		if (request.path.compare(0, 6, "/keys/") == 0)
			return get(request.path.substr(6));
		if (request.path.compare(0, 6, "/holds") == 0)
			return hold(request);
		return {400, "{\"error\":\"path\"}"};
	}
	string error_with_revision(const string &more)
	{
		return "{" + more + text("\"LedgerRev\":%ld}", revision);
	}
	Reply get(const string &key)
	{
		auto found = keys.find(key);
		if (found == keys.end())
			return {404, error_with_revision("")};
		const Entry &entry = found->second;
		string grant = entry.grant ? text(",\"Grant\":%ld", entry.grant) : "";
		return {200, "{\"Key\":\"" + key + "\",\"V\":" + entry.value +
		                     text(",\"KeyRev\":%ld", entry.revision) + grant + "}"};
	}
	Reply list(const Request &request)
	{
		auto query = request.query;
		string prefix = query["Prefix"], out;
		size_t page = query.count("Page") ? strtoul(query["Page"].c_str(), nullptr, 10) : 1000;
		auto at = query.count("From") ? keys.upper_bound(query["From"])
		                              : keys.lower_bound(prefix);
		size_t count = 0;
		bool more = false;
		for (; at != keys.end() && at->first.compare(0, prefix.size(), prefix) == 0; ++at) {
			if (count == std::min<size_t>(page, 1000) || out.size() > 500000) {
				more = true;
				break;
			}
			out += (count++ ? "," : "") + ("{\"Key\":\"" + at->first + "\",\"V\":") +
			       at->second.value + text(",\"KeyRev\":%ld}", at->second.revision);
		}
		return {200, "{\"Items\":[" + out +
		                     text("],\"More\":%s,\"LedgerRev\":%ld}", more ? "true" : "false",
		                          revision)};
	}
	Reply transaction(const Request &request)
	{
		Json body;
		string failed;
		if (request.body.size() > 65536 || !JsonParser::parse(request.body, body))
			return {400, "{\"error\":\"malformed\"}"};
		const Json &when = body["When"], &apply = body["Apply"];
		if ((int)apply.items.size() > settings.txn_ops ||
		    (int)when.items.size() > 4 * settings.txn_ops)
			return {400, "{\"error\":\"too large\"}"};
		if (!writes.take((double)apply.items.size())) {
			refused++;
			return {429, "{\"error\":\"too many changes\"}"};
		}
		for (const Json &item : apply.items) {
			if (item["V"].raw.size() > settings.value_kb * 1024)
				return {400, "{\"error\":\"value too large\"}"};
			if (item["Grant"] && !holds.count((long)item["Grant"].number))
				return {400, "{\"error\":\"no such lease\"}"};
		}
		for (const Json &item : when.items) {
			auto found = keys.find(item["Key"].str);
			long actual = found == keys.end() ? 0 : found->second.revision;
			if (actual != (long)item["KeyRev"].number)
				failed += (failed.empty() ? "\"" : ",\"") + item["Key"].str + "\"";
		}
		if (!failed.empty())
			return {409, error_with_revision("\"failed\":[" + failed + "],")};
		if (!apply.items.empty())
			revision++;
		for (const Json &item : apply.items) {
			if (item["Put"])
				put(item["Put"].str, item["V"].raw, (long)item["Grant"].number);
			else
				erase(item["Delete"].str);
		}
		changed.notify_all();
		return {200, error_with_revision("")};
	}
	void put(const string &key, const string &value, long grant)
	{
		keys[key] = {value, revision, grant};
		log.push_back({revision, key, value, true});
	}
	void erase(const string &key)
	{
		if (keys.erase(key))
			log.push_back({revision, key, "", false});
	}
	Reply follow(const Request &request, std::unique_lock<std::mutex> &guard)
	{
		auto query = request.query;
		string prefix = query["Prefix"], out;
		long from = atol(query["From"].c_str());
		double deadline = now() + atof(query["HoldMs"].c_str()) / 1000;
		if (log.size() > 10000 && log[log.size() - 10000].revision > from + 1)
			return {410, error_with_revision("")};
		for (;;) {
			for (size_t i = log.size(); i > 0 && log[i - 1].revision > from; i--) {
				const Change &change = log[i - 1];
				if (change.key.compare(0, prefix.size(), prefix))
					continue;
				string item = change.put
				                      ? "{\"Put\":\"" + change.key + "\",\"V\":" + change.value
				                      : "{\"Delete\":\"" + change.key + "\"";
				item += text(",\"KeyRev\":%ld}", change.revision);
				out = item + (out.empty() ? "" : ",") + out;
			}
			if ((!out.empty() || now() >= deadline) && !outage)
				break;
			changed.wait_for(guard, std::chrono::duration<double>(
			                                std::max(0.01, std::min(0.2, deadline - now()))));
		}
		return {200, text("{\"LedgerRev\":%ld,\"Log\":[", revision) + out + "]}"};
	}
	Reply hold(const Request &request)
	{
		if (request.path == "/holds") {
			Json body;
			JsonParser::parse(request.body, body);
			double ttl = body["TtlMs"].number / 1000;
			holds[++last_hold] = {ttl, now() + ttl};
			return {200, text("{\"Grant\":%ld}", last_hold)};
		}
		long id = atol(request.path.c_str() + 7);
		auto found = holds.find(id);
		if (found == holds.end())
			return {404, error_with_revision("")};
		if (request.method == "DELETE")
			end_hold(id);
		else
			found->second.second = now() + found->second.first;
		return {200, text("{\"Grant\":%ld}", id)};
	}
	void end_hold(long id)
	{
		std::vector<string> attached;
		holds.erase(id);
		for (const auto &item : keys)
			if (item.second.grant == id)
				attached.push_back(item.first);
		if (!attached.empty())
			revision++;
		for (const string &key : attached)
			erase(key);
		changed.notify_all();
	}
	void expire()
	{
		std::vector<long> ended;
		for (auto &item : holds) {
			if (outage)
				item.second.second = now() + item.second.first;
			else if (now() > item.second.second)
				ended.push_back(item.first);
		}
		for (long id : ended)
			end_hold(id);
	}

	const Settings settings;
	Bucket requests, writes;
	std::mutex lock;
	std::condition_variable changed;
	std::map<string, Entry> keys;
	std::vector<Change> log;
	std::map<long, std::pair<double, double>> holds; // ttl, end
	long revision = 100, last_hold = 0;
};

// ---- workers ----

// What a worker knows of a job: the description that its user uploaded, and how its tasks run.
struct JobInfo {
	string ref;
	double cpus = 1, gpus = 0, ram_gb = 1, run_s = 4, pull_s = 0;
	double snapshot_every_s = 0, snapshot_cost_s = 0; // 0: the tasks never save
	unsigned parts = 1;
	bool service = false, mistake = false;
};

struct Jobs {
	std::mutex lock;
	std::map<string, JobInfo> by_ref;
	std::map<string, double> saved_by_task; // checkpoints are stored outside the machines
	double saved_s(const string &task)
	{
		std::lock_guard<std::mutex> guard(lock);
		return saved_by_task[task];
	}
	void save(const string &task, double progress_s)
	{
		std::lock_guard<std::mutex> guard(lock);
		saved_by_task[task] = std::max(saved_by_task[task], progress_s);
	}
	void add(const JobInfo &job)
	{
		std::lock_guard<std::mutex> guard(lock);
		by_ref[job.ref] = job;
	}
	bool find(const string &ref, JobInfo &out)
	{
		std::lock_guard<std::mutex> guard(lock);
		auto found = by_ref.find(ref);
		if (found == by_ref.end())
			return false;
		out = found->second;
		return true;
	}
};

class Worker {
public:
	struct Task {
		long attempt;
		string state, why; // pulling, running, flushing, ended
		JobInfo job;
		double runs_at, ends_at;
		double progress_s = 0; // saved by earlier attempts
		bool saved = false;
	};
	using Observer = std::function<void(const string &event, const Worker &, const string &task,
	                                    const Task &)>;

	Worker(const Settings &settings, const string &name, const string &zone, Jobs &jobs,
	       Observer observer)
	    : name(name), zone(zone), settings(settings), jobs(jobs), observer(std::move(observer)),
	      random(std::hash<string>()(name))
	{
		port = serve([this](const Request &request) { return direct(request); });
	}
	void start(const std::map<string, int> &nodes, int first_node)
	{
		controllers = nodes;
		for (const auto &item : nodes)
			order.push_back(item.first);
		current = order[(size_t)first_node % order.size()];
		lease_base = now();
		std::thread([this] { run(); }).detach();
	}
	void stop()
	{
		std::lock_guard<std::mutex> guard(lock);
		gone = true;
		tasks.clear();
	}
	size_t count(const string &ref, const char *state)
	{
		std::lock_guard<std::mutex> guard(lock);
		size_t count = 0;
		advance();
		for (const auto &item : tasks)
			count += item.second.job.ref == ref && item.second.state == state;
		return count;
	}
	// Resources that no task on the machine takes; negative once the machine is gone.
	void room(double &cpus, double &gpus, double &ram_gb)
	{
		std::lock_guard<std::mutex> guard(lock);
		advance();
		cpus = gpus = ram_gb = -1;
		if (!gone)
			free_resources(cpus, gpus, ram_gb);
	}
	string describe()
	{
		std::lock_guard<std::mutex> guard(lock);
		return text("machine=%s node=%s tenure=%ld serial=%ld epoch=%ld tasks=%zu "
		            "report_bytes=%zu last_status=%d lease_age_s=%.1f",
		            name.c_str(), current.c_str(), tenure, serial, epoch, tasks.size(),
		            last_report_bytes.load(), last_status.load(), now() - lease_base);
	}
	const string name, zone;
	int port;
	std::atomic<long> sessions_ended{0}, refused_reports{0}, forgotten{0}, completed{0};
	std::atomic<size_t> last_report_bytes{0};
	std::atomic<int> last_status{0};
	std::atomic<double> last_completed_at{0};

private:
	void free_resources(double &cpus, double &gpus, double &ram_gb)
	{
		cpus = settings.type.cpus, gpus = settings.type.gpus, ram_gb = settings.type.ram_gb;
		for (const auto &item : tasks) {
			const Task &task = item.second;
			if (task.state == "ended")
				continue;
			cpus -= task.job.cpus;
			gpus -= task.job.gpus;
			ram_gb -= task.job.ram_gb;
		}
	}
	void end(const string &key, Task &task, const char *why)
	{
		task.state = "ended";
		task.why = why;
		dirty = true;
		if (!strcmp(why, "done")) {
			completed++;
			last_completed_at = now();
			done.insert(key.substr(0, key.find('@')));
		}
		observer("end", *this, key, task);
	}
	// Applies what has happened by now; `lock` is held.
	void advance()
	{
		double t = now();
		if (gone)
			return;
		if (t - lease_base > settings.lease_s) {
			rec("worker %s: lease ended, session %ld, %zu tasks killed", name.c_str(), tenure,
			    tasks.size());
			for (auto &item : tasks)
				if (item.second.state != "ended") {
					item.second.why = "lease ended";
					observer("killed", *this, item.first, item.second);
				}
			tasks.clear();
			tenure++;
			sessions_ended++;
			lease_base = t;
			dirty = true;
		}
		for (auto &item : tasks) {
			Task &task = item.second;
			if (task.state == "pulling" && t >= task.runs_at) {
				task.state = "running";
				dirty = true;
				observer("run", *this, item.first, task);
			}
			if (task.state == "running" && t >= task.ends_at)
				end(item.first, task, task.job.mistake ? "error" : "done");
			if (task.state == "flushing" && t >= task.ends_at) {
				task.saved = true;
				jobs.save(item.first.substr(0, item.first.find('@')), task.progress_s);
				end(item.first, task, "stopped");
			}
		}
	}
	void launch(const string &part, long attempt)
	{
		string key = part + "@" + std::to_string(attempt);
		if (tasks.count(key))
			return;
		Task task{attempt, "ended", "", {}, 0, 0};
		double cpus, gpus, ram_gb;
		bool busy = false;
		for (const auto &item : tasks)
			busy |= item.second.state != "ended" &&
			        item.first.compare(0, part.size() + 1, part + "@") == 0;
		free_resources(cpus, gpus, ram_gb);
		dirty = true;
		if (!jobs.find(part.substr(0, part.find('/')), task.job)) {
			task.why = "no_such";
		} else if (busy) {
			task.why = "busy";
		} else if (task.job.cpus > cpus + 1e-6 || task.job.gpus > gpus + 1e-6 ||
		           task.job.ram_gb > ram_gb + 1e-6) {
			task.why = "no_room";
		} else {
			double pulled = pulled_at.emplace(task.job.ref, now() + task.job.pull_s)
			                        .first->second;
			double run_s = task.job.run_s *
			               (0.95 + 0.1 * (double)(random() % 1000) / 1000);
			task.state = "pulling";
			task.runs_at = std::max(now(), pulled);
			task.progress_s = jobs.saved_s(part);
			task.ends_at = task.job.service ? 1e18
			                                : task.runs_at + std::max(0.0, run_s - task.progress_s);
			if (done.count(part))
				task.ends_at = task.runs_at;
		}
		observer("launch", *this, key, task);
		tasks[key] = task;
	}
	// A running task with checkpoints saves if there is time; all others exit at once, except
	// that a task that is saving goes on unless the time is 0.
	void stop_task(const string &key, Task &task, double wind_down_s)
	{
		const JobInfo &job = task.job;
		double t = now();
		observer(text("kill %g", wind_down_s), *this, key, task);
		if (task.state == "flushing" && wind_down_s > 0)
			return;
		if (task.state == "flushing") {
			observer("save cut off", *this, key, task);
		} else if (task.state == "running" && job.snapshot_every_s > 0) {
			double ran_s = task.progress_s + t - task.runs_at;
			jobs.save(key.substr(0, key.find('@')),
			          std::floor(ran_s / job.snapshot_every_s) * job.snapshot_every_s);
			if (wind_down_s >= job.snapshot_cost_s) {
				task.state = "flushing";
				task.progress_s = ran_s;
				task.ends_at = t + job.snapshot_cost_s;
				dirty = true;
				return;
			}
		}
		end(key, task, "stopped");
	}
	void execute(const Json &orders)
	{
		for (const Json &order : orders.items) {
			const string &verb = order["Verb"].str;
			long attempt = (long)order["Try"].number;
			string key = order["Part"].str + "@" + std::to_string(attempt);
			auto found = tasks.find(key);
			if (verb == "launch") {
				launch(order["Part"].str, attempt);
			} else if (verb == "kill" && found != tasks.end() &&
			           found->second.state != "ended") {
				stop_task(key, found->second, order["WindDownS"].number);
			} else if (verb == "forget" && found != tasks.end() &&
			           found->second.state == "ended") {
				tasks.erase(found);
				forgotten++;
			}
		}
		advance();
	}
	string report()
	{
		advance();
		string parts;
		for (const auto &item : tasks) {
			const Task &task = item.second;
			parts += (parts.empty() ? "" : ",") + ("{\"Part\":\"" + item.first.substr(0, item.first.find('@'))) +
			         text("\",\"Try\":%ld,\"Status\":\"%s\"", task.attempt, task.state.c_str());
			if (task.state == "ended")
				parts += ",\"ExitReason\":\"" + task.why + "\"";
			if (task.saved)
				parts += ",\"Saved\":true";
			parts += "}";
		}
		return text("{\"Host\":\"%s\",\"Endpoint\":\"%s:%d\",\"HostKind\":\"%s\","
		            "\"Site\":\"%s\",\"Reclaimable\":false,\"Tenure\":%ld,\"Serial\":%ld,"
		            "\"Epoch\":%ld,\"ReclaimInS\":null,\"Parts\":[",
		            name.c_str(), host().c_str(), port, settings.type.name.c_str(), zone.c_str(),
		            tenure, ++serial,
		            epoch) +
		       parts + "]}";
	}
	Reply direct(const Request &request)
	{
		std::lock_guard<std::mutex> guard(lock);
		Json body;
		if (gone)
			return {};
		advance();
		if (request.path == "/show")
			return {200, report()};
		if (!JsonParser::parse(request.body, body) || !body["Epoch"] || !body["Tenure"])
			return {400, "{}"};
		if ((long)body["Epoch"].number < epoch || (long)body["Tenure"].number != tenure)
			return {409, report()};
		see_token((long)body["Epoch"].number);
		execute(body["Orders"]);
		return {200, report()};
	}
	void see_token(long token)
	{
		if (token <= epoch)
			return;
		epoch = token;
		if (now() - token_change_at >= settings.lease_s / 2) {
			token_change_at = now();
			dirty = true;
		}
	}
	void run()
	{
		Client client;
		double next_at = now() + 0.05, last_at = -10;
		for (;;) {
			sleep_s(0.02);
			string body;
			long session;
			double sent_at = now();
			{
				std::lock_guard<std::mutex> guard(lock);
				if (gone)
					return;
				advance();
				bool due = sent_at >= next_at || (dirty && sent_at >= last_at + 0.5);
				if (!due || sent_at < wait_until)
					continue;
				dirty = false;
				body = report();
				session = tenure;
				last_report_bytes = body.size();
			}
			last_at = sent_at;
			next_at = sent_at + settings.report_s * (0.75 + 0.5 * (double)(random() % 1000) / 1000);
			Reply reply = client.call(controllers[current], "POST", "/hello", body, 4);
			std::lock_guard<std::mutex> guard(lock);
			last_status = reply.status;
			handle(reply, sent_at, session, client, body.size());
		}
	}
	void handle(const Reply &reply, double sent_at, long session, Client &client, size_t bytes)
	{
		Json body;
		if (reply.status == 200 && JsonParser::parse(reply.body, body)) {
			size_t longest = 0, at = 0, end;
			do {
				end = std::min(reply.body.find('\n', at), reply.body.size());
				longest = std::max(longest, end - at);
				at = end + 1;
			} while (at < reply.body.size());
			if (longest > 65536)
				rec("worker %s: response with a line of %zu bytes", name.c_str(), longest);
			if (!body["Epoch"] || (long)body["Epoch"].number < epoch || session != tenure)
				return;
			see_token((long)body["Epoch"].number);
			lease_base = sent_at;
			execute(body["Orders"]);
			return;
		}
		if (reply.status == 421) {
			JsonParser::parse(reply.body, body);
			const string &steward = body["Steward"].str;
			client.reset();
			if (controllers.count(steward) && steward != current) {
				current = steward;
				dirty = true;
				return;
			}
		} else {
			refused_reports++;
			rec("worker %s: report of %zu bytes to %s answered %d %.80s", name.c_str(), bytes,
			    current.c_str(), reply.status, reply.body.c_str());
		}
		client.reset();
		for (size_t i = 0; i < order.size(); i++)
			if (order[i] == current) {
				current = order[(i + 1) % order.size()];
				break;
			}
		wait_until = now() + 1;
		dirty = true;
	}

	const Settings settings;
	Jobs &jobs;
	Observer observer;
	std::mt19937 random;
	std::mutex lock;
	std::map<string, int> controllers;
	std::vector<string> order;
	string current;
	std::map<string, Task> tasks; // by "run-000001/0@1"
	std::map<string, double> pulled_at;
	std::set<string> done;
	long tenure = 1, serial = 0, epoch = 0;
	double lease_base = 0, wait_until = 0, token_change_at = -1e9;
	bool dirty = true, gone = false;
};

// ---- cloud: the machines that are up at the start, and no capacity for more ----

class Cloud {
public:
	explicit Cloud(const Settings &settings)
	    : settings(settings), requests(settings.cloud_rps, 2)
	{
		port = serve([this](const Request &request) { return handle(request); });
	}
	void add(Worker *worker)
	{
		std::lock_guard<std::mutex> guard(lock);
		machines[worker->name] = {worker, 0};
	}
	int port;

private:
	struct Machine {
		Worker *worker;
		double gone_at; // 0: up
	};
	Reply handle(const Request &request)
	{
		sleep_s(0.15);
		std::lock_guard<std::mutex> guard(lock);
		if (!requests.take(1))
			return {429, "{\"error\":\"too many requests\"}"};
		if (request.path == "/machine_types") {
			string zones;
			for (const string &zone : settings.zones)
				zones += (zones.empty() ? "\"" : ",\"") + zone + "\"";
			const MachineType &type = settings.type;
			return {200, text("{\"HostKinds\":[{\"Name\":\"%s\",\"Vcpus\":%.1f,"
			                  "\"Accelerators\":%.1f,\"RamGb\":%.1f,\"LocalGb\":100.0,"
			                  "\"PullGbPerS\":0.5,\"Price\":%.2f,\"SpotPrice\":%.2f,"
			                  "\"ReadyS\":%.1f,\"Sites\":[",
			                  type.name.c_str(), type.cpus, type.gpus, type.ram_gb, type.price,
			                  type.spot_price, type.ready_s) +
			                     zones + "]}]}"};
		}
		if (request.path == "/rentals/delete") {
			Json body;
			JsonParser::parse(request.body, body);
			for (const Json &host : body["Hosts"].items) {
				auto found = machines.find(host.str);
				rec("cloud: machine deleted %s", host.str.c_str());
				if (found == machines.end() || found->second.gone_at > 0)
					continue;
				found->second.worker->stop();
				found->second.gone_at = now();
			}
			return {200, "{}"};
		}
		if (request.path == "/rentals" && request.method == "POST")
			return {503, "{\"error\":\"no capacity\"}"};
		if (request.path == "/rentals")
			return list(request);
		return {400, "{}"};
	}
	Reply list(const Request &request)
	{
		auto query = request.query;
		double as_of = now() - settings.list_lag_s;
		string out;
		for (const auto &item : machines) {
			if (item.first <= query["From"] ||
			    (item.second.gone_at > 0 && item.second.gone_at <= as_of))
				continue;
			out += (out.empty() ? "" : ",") + ("{\"Ref\":\"" + item.first) +
			       text("\",\"Endpoint\":\"%s:%d\",\"HostKind\":\"%s\","
			            "\"Site\":\"%s\",\"Reclaimable\":false,\"Status\":\"running\","
			            "\"AgeS\":%.1f}",
			            host().c_str(), item.second.worker->port, settings.type.name.c_str(),
			            item.second.worker->zone.c_str(), 600 + as_of);
		}
		return {200, "{\"Hosts\":[" + out + "],\"More\":false}"};
	}
	const Settings settings;
	Bucket requests;
	std::mutex lock;
	std::map<string, Machine> machines;
};

// ---- the whole deployment ----

// The controllers that run; ended if the case itself is told to end, or has run too long.
inline std::atomic<int> children[16];

inline void end_children(int)
{
	for (auto &child : children)
		if (child > 0)
			kill(child, SIGKILL);
	_exit(2);
}

class Deployment {
public:
	// `program`: the command of the deploy file, to which the settings file is appended.
	Deployment(const Settings &settings, std::vector<string> program, Worker::Observer observer)
	    : settings(settings), state(settings), cloud(settings), program(std::move(program)),
	      observer(std::move(observer))
	{
		char folder_template[] = "/tmp/review-XXXXXX";
		folder = mkdtemp(folder_template);
		for (int i = 0; i < settings.controllers; i++) {
			string node = "host-" + std::to_string(i);
			public_ports[node] = free_port();
			peer_ports[node] = free_port();
			nodes.push_back(node);
		}
	}
	~Deployment() { stop(); }

	Worker &add_machine(int zone)
	{
		string name = text("m-%06zu", workers.size() + 1);
		workers.push_back(std::make_unique<Worker>(
			settings, name, settings.zones[(size_t)zone % settings.zones.size()], jobs,
			observer));
		cloud.add(workers.back().get());
		return *workers.back();
	}
	void start()
	{
		for (size_t i = 0; i < nodes.size(); i++)
			start_controller(i);
		for (size_t i = 0; i < workers.size(); i++)
			workers[i]->start(public_ports, (int)i);
	}
	void start_controller(size_t index)
	{
		const string &node = nodes[index];
		string path = folder + "/" + node + ".toml", log = folder + "/" + node + ".log";
		write_settings(index, path);
		std::vector<char *> argv;
		for (string &word : program)
			argv.push_back(&word[0]);
		argv.push_back(&path[0]);
		argv.push_back(nullptr);
		string level = string("LOG_LEVEL=") + (getenv("LOG_LEVEL") ? getenv("LOG_LEVEL") : "info");
		char *env[] = {&level[0], nullptr};
		posix_spawn_file_actions_t actions;
		posix_spawn_file_actions_init(&actions);
		posix_spawn_file_actions_addopen(&actions, 2, log.c_str(),
		                                 O_WRONLY | O_CREAT | O_APPEND, 0644);
		pid_t pid = 0;
		if (posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), env) != 0)
			pid = 0;
		posix_spawn_file_actions_destroy(&actions);
		pids[node] = pid;
		children[index] = pid;
		rec("controller %s started", node.c_str());
	}
	void stop()
	{
		for (auto &item : pids)
			if (item.second > 0) {
				kill(item.second, SIGKILL);
				waitpid(item.second, nullptr, 0);
				item.second = 0;
			}
		for (auto &child : children)
			child = 0;
		if (!folder.empty() && !getenv("KEEP"))
			for (const string &node : nodes) {
				unlink((folder + "/" + node + ".toml").c_str());
				unlink((folder + "/" + node + ".log").c_str());
			}
		if (!folder.empty() && !getenv("KEEP"))
			rmdir(folder.c_str());
		folder.clear();
	}
	// Returns the name of a controller that ended by itself, or "".
	string ended_controller()
	{
		for (auto &item : pids)
			if (item.second > 0 && waitpid(item.second, nullptr, WNOHANG) == item.second) {
				children[std::find(nodes.begin(), nodes.end(), item.first) - nodes.begin()] = 0;
				item.second = 0;
				return item.first;
			}
		return "";
	}
	bool wait_until_ready(double timeout_s)
	{
		double deadline = now() + timeout_s;
		while (now() < deadline) {
			size_t ready = 0;
			for (const string &node : nodes) {
				Client client;
				ready += client.call(public_ports[node], "GET", "/ready", "", 1).status == 200;
			}
			Json leader;
			if (ready == nodes.size() && JsonParser::parse(state.value("c/lead"), leader)) {
				rec("all controllers ready, leader %s", leader["node"].str.c_str());
				return true;
			}
			sleep_s(0.2);
		}
		return false;
	}
	string leader()
	{
		Json leader;
		return JsonParser::parse(state.value("c/lead"), leader) ? leader["node"].str : "";
	}

	// ---- users ----

	Reply ask(const char *method, const string &path, const string &body, double timeout_s)
	{
		Client client;
		const string &node = nodes[(size_t)(next_node++) % nodes.size()];
		Reply reply = client.call(public_ports[node], method, path, body, timeout_s);
		rec("user: %s %s -> %s %d %.120s", method, path.c_str(), node.c_str(), reply.status,
		    reply.body.c_str());
		return reply;
	}
	// Submits until accepted or finally refused; users repeat for up to 60 s.
	bool submit(const JobInfo &job, const string &fields)
	{
		string body = "{\"Ref\":\"" + job.ref + "\"," + fields +
		              text(",\"Parts\":%u,\"Vcpus\":%g,\"Accelerators\":%g,\"RamGb\":%g}",
		                   job.parts, job.cpus, job.gpus, job.ram_gb);
		double deadline = now() + 60;
		jobs.add(job);
		rec("user: body %s", body.c_str());
		while (now() < deadline) {
			int status = ask("POST", "/v2/runs", body, 5).status;
			if (status == 200 || status == 201)
				return true;
			if (status == 400 || status == 422)
				return false;
			sleep_s(1);
		}
		return false;
	}
	bool cancel(const string &ref)
	{
		double deadline = now() + 60;
		while (now() < deadline) {
			if (ask("POST", "/v2/runs/" + ref + "/cancel", "{}", 5).status == 200)
				return true;
			sleep_s(1);
		}
		return false;
	}
	// Returns the job's status, "" without an answer.
	string status(const string &ref)
	{
		Reply reply = ask("GET", "/v2/runs/" + ref, "", 2);
		Json body;
		if (reply.status != 200 || !JsonParser::parse(reply.body, body))
			return "";
		return body["Status"].str;
	}

	const Settings settings;
	Jobs jobs;
	StateService state;
	Cloud cloud;
	std::vector<std::unique_ptr<Worker>> workers;
	std::vector<string> nodes;
	std::map<string, int> public_ports, peer_ports;
	std::map<string, pid_t> pids;
	string folder;

private:
	void write_settings(size_t index, const string &path)
	{
		FILE *file = fopen(path.c_str(), "w");
		const string &node = nodes[index];
		auto zone = [this](size_t i) { return settings.zones[i % settings.zones.size()]; };
		string zones;
		fprintf(file,
		        "node = \"%s\"\nlocation = \"%s\"\nbind = \"%s:%d\"\n"
		        "cluster_listen = \"%s:%d\"\n\n",
		        node.c_str(), zone(index).c_str(), host().c_str(), public_ports[node],
		        host().c_str(), peer_ports[node]);
		for (size_t i = 0; i < nodes.size(); i++)
			if (i != index)
				fprintf(file,
				        "[[known]]\nnode = \"%s\"\nlocation = \"%s\"\n"
				        "addr = \"%s:%d\"\n\n",
				        nodes[i].c_str(), zone(i).c_str(), host().c_str(),
				        peer_ports[nodes[i]]);
		for (const string &name : settings.zones)
			zones += (zones.empty() ? "\"" : ", \"") + name + "\"";
		fprintf(file,
		        "[external]\ncloud = \"%s:%d\"\nstate = \"%s:%d\"\n\n"
		        "[settings]\ninitial_size = %zu\nzones = [%s]\nclock_off_ms = %.1f\n\n",
		        host().c_str(), cloud.port, host().c_str(), state.port, nodes.size(),
		        zones.c_str(), settings.clock_off_ms);
		for (const Team &team : settings.teams)
			fprintf(file,
			        "[[settings.teams]]\nname = \"%s\"\ncpus = 0.0\ncpus_max = 0.0\n"
			        "gpus = %.1f\ngpus_max = %.1f\n\n",
			        team.name.c_str(), team.gpus, team.gpus_max);
		fputs(settings.objectives.c_str(), file);
		fprintf(file,
		        "[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\n"
		        "gang_peer_s = 6.0\ncancel_s = %.1f\n\n"
		        "[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\n"
		        "txn_ops = %d\n\n[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n"
		        "[settings.resources]\ncore_share = %g\nram_mb = %.1f\n"
		        "max_connections = %d\n",
		        settings.report_s, settings.lease_s, settings.cancel_s, settings.rps,
		        settings.write_rps, settings.value_kb, settings.txn_ops, settings.cloud_rps,
		        settings.list_lag_s, settings.core_share, settings.ram_mb,
		        settings.max_connections);
		fclose(file);
	}
	std::vector<string> program;
	Worker::Observer observer;
	std::atomic<unsigned> next_node{0};
};

// ---- the frame of a case ----

// Opens the record and returns the command of the deploy file, which run.sh passes as arguments.
inline std::vector<string> begin(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, end_children);
	signal(SIGINT, end_children);
	signal(SIGALRM, end_children);
	alarm(118); // a case runs for 120 s at most
	now();
	record_file = argc > 2 ? fopen(argv[1], "w") : nullptr;
	if (!record_file) {
		fprintf(stderr, "usage: case RECORD PROGRAM...\n");
		_exit(2);
	}
	return std::vector<string>(argv + 2, argv + argc);
}

inline bool trouble() { return !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0; }

// Ends the case: 0 the rule held, 1 it was broken, 2 the case could not run.
[[noreturn]] inline void finish(Deployment &deployment, int code, const string &why)
{
	static const char *const verdicts[] = {"HELD", "BROKEN", "COULD NOT RUN"};
	deployment.stop();
	rec("%s: %s", verdicts[code], why.c_str());
	printf("%s: %s\n", verdicts[code], why.c_str());
	fflush(stdout);
	_exit(code);
}

} // namespace rig
