#include "util.hh"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>

// ---- clock, record ----

static double clock_s()
{
	struct timespec t;
	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

static const double started_at = clock_s();

double now_s() { return clock_s() - started_at; }

void sleep_s(double seconds)
{
	if (seconds > 0)
		usleep((useconds_t)(seconds * 1e6));
}

static FILE *record_file;
static std::mutex record_mutex;

void record_open(const std::string &path) { record_file = fopen(path.c_str(), "w"); }

void record(const char *format, ...)
{
	std::lock_guard<std::mutex> lock(record_mutex);
	FILE *file = record_file ? record_file : stderr;
	va_list arguments;
	fprintf(file, "%8.3f ", now_s());
	va_start(arguments, format);
	vfprintf(file, format, arguments);
	va_end(arguments);
	fputc('\n', file);
	fflush(file);
}

// ---- JSON ----

Json &Json::set(const std::string &key, Json value)
{
	kind = Object;
	o.emplace_back(key, std::move(value));
	return *this;
}

Json &Json::add(Json value)
{
	kind = Array;
	a.push_back(std::move(value));
	return *this;
}

const Json *Json::find(const std::string &key) const
{
	for (auto &member : o)
		if (member.first == key)
			return member.second.kind == Null ? nullptr : &member.second;
	return nullptr;
}

std::string Json::str(const std::string &key, const std::string &otherwise) const
{
	const Json *value = find(key);
	return value && value->kind == String ? value->s : otherwise;
}

double Json::num(const std::string &key, double otherwise) const
{
	const Json *value = find(key);
	return value && value->kind == Number ? value->n : otherwise;
}

bool Json::flag(const std::string &key) const
{
	const Json *value = find(key);
	return value && value->kind == Bool && value->b;
}

static void dump_string(const std::string &s, std::string &out)
{
	out += '"';
	for (unsigned char c : s) {
		if (c == '"' || c == '\\') {
			out += '\\';
			out += (char)c;
		} else if (c < 0x20) {
			char text[8];
			snprintf(text, sizeof(text), "\\u%04x", c);
			out += text;
		} else {
			out += (char)c;
		}
	}
	out += '"';
}

static void dump_value(const Json &j, std::string &out)
{
	char text[40];
	bool first = true;

	switch (j.kind) {
	case Json::Null:
		out += "null";
		break;
	case Json::Bool:
		out += j.b ? "true" : "false";
		break;
	case Json::Number:
		if (j.n == std::floor(j.n) && std::fabs(j.n) < 9e15)
			snprintf(text, sizeof(text), "%lld", (long long)j.n);
		else
			snprintf(text, sizeof(text), "%.17g", j.n);
		out += text;
		break;
	case Json::String:
		dump_string(j.s, out);
		break;
	case Json::Array:
		out += '[';
		for (auto &item : j.a) {
			if (!first)
				out += ',';
			first = false;
			dump_value(item, out);
		}
		out += ']';
		break;
	case Json::Object:
		out += '{';
		for (auto &member : j.o) {
			if (!first)
				out += ',';
			first = false;
			dump_string(member.first, out);
			out += ':';
			dump_value(member.second, out);
		}
		out += '}';
		break;
	}
}

std::string Json::dump() const
{
	std::string out;
	dump_value(*this, out);
	return out;
}

namespace
{
struct Parser {
	const char *p, *end;

	void space()
	{
		while (p < end && strchr(" \t\r\n", *p))
			p++;
	}
	bool literal(const char *word)
	{
		size_t length = strlen(word);
		if ((size_t)(end - p) < length || memcmp(p, word, length) != 0)
			return false;
		p += length;
		return true;
	}
	bool string(std::string &out)
	{
		if (p >= end || *p != '"')
			return false;
		for (p++; p < end && *p != '"'; p++) {
			if (*p != '\\') {
				out += *p;
				continue;
			}
			if (++p >= end)
				return false;
			switch (*p) {
			case 'n':
				out += '\n';
				break;
			case 't':
				out += '\t';
				break;
			case 'r':
				out += '\r';
				break;
			case 'b':
				out += '\b';
				break;
			case 'f':
				out += '\f';
				break;
			case 'u': {
				if (end - p < 5)
					return false;
				long code = strtol(std::string(p + 1, 4).c_str(), nullptr, 16);
				p += 4;
				if (code < 0x80) {
					out += (char)code;
				} else if (code < 0x800) {
					out += (char)(0xc0 | (code >> 6));
					out += (char)(0x80 | (code & 0x3f));
				} else {
					out += (char)(0xe0 | (code >> 12));
					out += (char)(0x80 | ((code >> 6) & 0x3f));
					out += (char)(0x80 | (code & 0x3f));
				}
				break;
			}
			default:
				out += *p;
			}
		}
		if (p >= end)
			return false;
		p++;
		return true;
	}
	bool value(Json &out)
	{
		space();
		if (p >= end)
			return false;
		if (*p == '{') {
			out.kind = Json::Object;
			p++;
			space();
			if (p < end && *p == '}')
				return ++p, true;
			for (;;) {
				std::string key;
				Json item;
				space();
				if (!string(key))
					return false;
				space();
				if (p >= end || *p++ != ':' || !value(item))
					return false;
				out.o.emplace_back(std::move(key), std::move(item));
				space();
				if (p < end && *p == ',') {
					p++;
					continue;
				}
				return p < end && *p++ == '}';
			}
		}
		if (*p == '[') {
			out.kind = Json::Array;
			p++;
			space();
			if (p < end && *p == ']')
				return ++p, true;
			for (;;) {
				Json item;
				if (!value(item))
					return false;
				out.a.push_back(std::move(item));
				space();
				if (p < end && *p == ',') {
					p++;
					continue;
				}
				return p < end && *p++ == ']';
			}
		}
		if (*p == '"') {
			out.kind = Json::String;
			return string(out.s);
		}
		if (literal("true"))
			return out = Json(true), true;
		if (literal("false"))
			return out = Json(false), true;
		if (literal("null"))
			return true;
		char *number_end;
		std::string rest(p, std::min<size_t>((size_t)(end - p), 40));
		double n = strtod(rest.c_str(), &number_end);
		if (number_end == rest.c_str())
			return false;
		p += number_end - rest.c_str();
		out = Json(n);
		return true;
	}
};
} // namespace

bool Json::parse(const std::string &text, Json &out)
{
	Parser parser{text.data(), text.data() + text.size()};

	out = Json();
	if (!parser.value(out))
		return false;
	parser.space();
	return parser.p == parser.end;
}

// ---- HTTP ----

std::string Request::param(const std::string &name) const
{
	size_t at = 0;

	while (at < query.size()) {
		size_t stop = query.find('&', at);
		std::string pair = query.substr(at, stop == std::string::npos ? stop : stop - at);
		size_t equals = pair.find('=');
		if (equals != std::string::npos && pair.substr(0, equals) == name)
			return pair.substr(equals + 1);
		if (stop == std::string::npos)
			break;
		at = stop + 1;
	}
	return "";
}

static bool send_all(int fd, const std::string &data, double deadline)
{
	size_t sent = 0;

	while (sent < data.size()) {
		ssize_t count = send(fd, data.data() + sent, data.size() - sent,
		                     MSG_NOSIGNAL | MSG_DONTWAIT);
		if (count > 0) {
			sent += (size_t)count;
			continue;
		}
		if (count < 0 && errno != EAGAIN && errno != EINTR)
			return false;
		struct pollfd p = {fd, POLLOUT, 0};
		double left = deadline - now_s();
		if (left <= 0 || poll(&p, 1, (int)(left * 1000) + 1) <= 0)
			return false;
	}
	return true;
}

// Reads one message: its first line, headers and body. Returns false at the end or the deadline.
static bool read_message(int fd, std::string &buffer, double deadline, std::string &head,
                         std::string &body)
{
	for (;;) {
		size_t split = buffer.find("\r\n\r\n");
		if (split != std::string::npos) {
			size_t length = 0;
			head = buffer.substr(0, split + 2);
			for (size_t at = 0; at < head.size();) {
				size_t line_end = head.find("\r\n", at);
				if (strncasecmp(head.c_str() + at, "content-length:", 15) == 0)
					length = strtoul(head.c_str() + at + 15, nullptr, 10);
				at = line_end + 2;
			}
			if (buffer.size() >= split + 4 + length) {
				body = buffer.substr(split + 4, length);
				buffer.erase(0, split + 4 + length);
				return true;
			}
		}
		struct pollfd p = {fd, POLLIN, 0};
		double left = deadline - now_s();
		char bytes[16384];
		if (left <= 0 || poll(&p, 1, (int)(left * 1000) + 1) <= 0)
			return false;
		ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
		if (count <= 0)
			return false;
		buffer.append(bytes, (size_t)count);
	}
}

static bool has_close(const std::string &head)
{
	for (size_t at = 0; at < head.size();) {
		size_t line_end = head.find("\r\n", at);
		std::string line = head.substr(at, line_end - at);
		if (strncasecmp(line.c_str(), "connection:", 11) == 0 &&
		    strcasestr(line.c_str(), "close"))
			return true;
		at = line_end + 2;
	}
	return false;
}

static void serve_connection(int fd, Handler handler)
{
	std::string buffer, head, body;
	int enabled = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
	while (read_message(fd, buffer, now_s() + 600, head, body)) {
		Request request;
		size_t space = head.find(' '), second = head.find(' ', space + 1);
		std::string url = head.substr(space + 1, second - space - 1);
		size_t question = url.find('?');

		request.method = head.substr(0, space);
		request.path = url.substr(0, question);
		if (question != std::string::npos)
			request.query = url.substr(question + 1);
		request.body = body;
		Response response = handler(request);
		if (response.no_answer) {
			char bytes[1024];
			while (recv(fd, bytes, sizeof(bytes), 0) > 0)
				;
			break;
		}
		std::string text = "HTTP/1.1 " + std::to_string(response.status) +
		                   " X\r\nContent-Type: application/json\r\nContent-Length: " +
		                   std::to_string(response.body.size()) + "\r\n\r\n" +
		                   response.body;
		if (!send_all(fd, text, now_s() + 10) || has_close(head))
			break;
	}
	close(fd);
}

// Listens on this port of 127.0.0.1, 0: on any free one. Returns the socket, or -1.
static int listen_on_port(int &port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), enabled = 1;
	struct sockaddr_in address = {};
	socklen_t length = sizeof(address);

	if (fd < 0)
		return -1;
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 || listen(fd, 512) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) != 0) {
		close(fd);
		return -1;
	}
	port = ntohs(address.sin_port);
	return fd;
}

int serve(Handler handler)
{
	int port = 0, fd = listen_on_port(port);

	if (fd < 0) {
		perror("listen");
		_exit(2);
	}
	std::thread([fd, handler] {
		for (;;) {
			int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
			if (connection < 0) {
				usleep(10000);
				continue;
			}
			std::thread(serve_connection, connection, handler).detach();
		}
	}).detach();
	return port;
}

// A port below those that the system takes for outgoing connections, which could occupy it before
// the controller listens on it.
int free_port()
{
	static std::mt19937 random(std::random_device{}());

	for (;;) {
		int port = 10000 + (int)(random() % 20000), fd = listen_on_port(port);

		if (fd < 0)
			continue;
		close(fd);
		return port;
	}
}

void Client::close_connection()
{
	if (fd >= 0)
		close(fd);
	fd = -1;
}

bool Client::connect_to_server()
{
	struct sockaddr_in address = {};
	int enabled = 1;

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return false;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return true;
	close_connection();
	return false;
}

static std::string encode_request(const std::string &method, const std::string &path,
                                  const std::string &body)
{
	return method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n" +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int Client::call_slowly(const std::string &method, const std::string &path, const std::string &body,
                        double send_s, double timeout_s, std::string &response_body)
{
	double begun_at = now_s(), deadline = begun_at + timeout_s;
	std::string text = encode_request(method, path, body), buffer, head;
	size_t sent = 0;

	response_body.clear();
	close_connection();
	if (!connect_to_server())
		return 0;
	while (sent < text.size()) {
		size_t due = (size_t)((now_s() - begun_at) / send_s * (double)text.size()) + 1;
		struct pollfd p = {fd, POLLIN, 0};
		if (due > sent) {
			due = std::min(due, text.size());
			if (!send_all(fd, text.substr(sent, due - sent), deadline))
				break;
			sent = due;
		}
		if (poll(&p, 1, 20) > 0)
			break; // an answer before the end of the request
	}
	int status = 0;
	if (read_message(fd, buffer, deadline, head, response_body))
		status = atoi(head.c_str() + 9);
	close_connection();
	return status;
}

int Client::call(const std::string &method, const std::string &path, const std::string &body,
                 double timeout_s, std::string &response_body, std::string *retry_after)
{
	double deadline = now_s() + timeout_s;
	std::string text = encode_request(method, path, body);
	std::string head, buffer;

	response_body.clear();
	if (fd >= 0) {
		// A connection that the server has closed meanwhile is replaced before it is used.
		char byte;
		ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
		if (count == 0 || (count < 0 && errno != EAGAIN))
			close_connection();
	}
	if (fd < 0 && !connect_to_server())
		return 0;
	if (!send_all(fd, text, deadline) ||
	    !read_message(fd, buffer, deadline, head, response_body)) {
		close_connection();
		return 0;
	}
	int status = atoi(head.c_str() + 9);
	if (retry_after) {
		const char *found = strcasestr(head.c_str(), "retry-after:");
		*retry_after = found ? std::to_string(atoi(found + 12)) : "";
	}
	if (has_close(head))
		close_connection();
	return status;
}
