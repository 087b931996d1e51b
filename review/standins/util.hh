// Small helpers of the stand-ins: clock, JSON, HTTP over blocking sockets, the record of a run.
#ifndef REVIEW_UTIL_H
#define REVIEW_UTIL_H

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

// ---- clock, record ----

double now_s();               // seconds since the start of the run, real clock
void sleep_s(double seconds); // returns at once if seconds <= 0
void record_open(const std::string &path);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

// ---- JSON ----

struct Json {
	enum Kind { Null, Bool, Number, String, Array, Object } kind = Null;
	bool b = false;
	double n = 0;
	std::string s;
	std::vector<Json> a;
	std::vector<std::pair<std::string, Json>> o;

	static Json object()
	{
		Json j;
		j.kind = Object;
		return j;
	}
	static Json array()
	{
		Json j;
		j.kind = Array;
		return j;
	}
	Json() {}
	Json(double v) : kind(Number), n(v) {}
	Json(int v) : kind(Number), n(v) {}
	Json(uint64_t v) : kind(Number), n((double)v) {}
	Json(bool v) : kind(Bool), b(v) {}
	Json(const char *v) : kind(String), s(v) {}
	Json(const std::string &v) : kind(String), s(v) {}
	Json &set(const std::string &key, Json value);
	Json &add(Json value);
	const Json *find(const std::string &key) const;
	std::string str(const std::string &key, const std::string &otherwise = "") const;
	double num(const std::string &key, double otherwise = 0) const;
	bool flag(const std::string &key) const;
	std::string dump() const;
	static bool parse(const std::string &text, Json &out);
};

// ---- HTTP ----

struct Request {
	std::string method, path, query, body;
	std::string param(const std::string &name) const;
};

struct Response {
	int status = 200;
	std::string body = "{}";
	bool no_answer = false; // the connection stays open until the client closes it
};

using Handler = std::function<Response(const Request &)>;

// Listens on a free port of 127.0.0.1 and serves each connection in a thread. Never stops.
int serve(Handler handler);
int free_port();

// A connection to a server on 127.0.0.1, opened when it is needed.
class Client
{
      public:
	explicit Client(int port) : port(port) {}
	~Client() { close_connection(); }
	// Returns the status, or 0 if no response came in time or the connection failed.
	int call(const std::string &method, const std::string &path, const std::string &body,
	         double timeout_s, std::string &response_body, std::string *retry_after = nullptr);
	// As call, over a slow link: the request leaves evenly within `send_s`.
	int call_slowly(const std::string &method, const std::string &path, const std::string &body,
	                double send_s, double timeout_s, std::string &response_body);
	void close_connection();

      private:
	bool connect_to_server();
	int port, fd = -1;
};

#endif
