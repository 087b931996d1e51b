// The stand-ins for the state service, the cloud, the workers and the users, and the controllers
// as processes. They follow the protocol page; a scenario adds the one disruption of its case.
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <sys/types.h>

#include <deque>

#include "util.hh"

struct Settings {
	int controllers = 3;
	std::vector<std::string> zones = {"kuopio", "kajaani"};
	double report_s = 1.5, lease_s = 10, cancel_s = 40, gang_wait_s = 30, gang_peer_s = 6;
	double rps = 120, write_rps = 25, value_kb = 4;
	int txn_ops = 8;
	double cloud_rps = 8, list_lag_s = 3;
	double core_share = 1, ram_mb = 56;
	int max_connections = 900;
	std::string type = "revontuli";
	double type_cpus = 12, type_gpus = 2, type_ram = 96, ready_s = 4;
	int capacity = 28; // machines that the cloud has
	std::string teams; // TOML; empty: one team without limits
	std::string next;  // TOML of [settings.state.next]; empty: none
};

// ---- state service ----

class Store
{
      public:
	explicit Store(const Settings &settings);
	// The port at which one controller reaches the service.
	int port(int controller) const { return ports[(size_t)controller]; }
	std::string leader(); // the node in c/lead, or ""
	void set_limits(double value_kb, int txn_ops, double write_rps);

	// Slow answers: this share of requests is answered 0.1 to 0.4 s late.
	std::atomic<double> slow_share{0};
	// Decides for a transaction whether it gets no answer and is carried out later; returns the
	// delay in s, < 0: an ordinary one. Called with the text of the transaction.
	std::function<double(int controller, const std::string &text)> late_transaction;
	std::atomic<int> rejected_too_large{0};

      private:
	struct Entry {
		Json value;
		uint64_t revision = 0, grant = 0;
	};
	struct Change {
		uint64_t revision;
		std::string key;
		Json value;
		bool deleted;
	};
	struct Grant {
		double ends_at, ttl_s;
	};
	Response handle(int controller, const Request &request);
	Response get(const std::string &key);
	Response list(const Request &request);
	Response follow(const Request &request);
	Response transaction(const Json &object, const std::string &text);
	Response hold(const Request &request);
	bool take(double &tokens, double &at, double rate, double count);
	void end_grant(uint64_t id);
	void expire();
	void put(const std::string &key, const Json &value, uint64_t grant, uint64_t revision);
	void erase(const std::string &key, uint64_t revision);

	Settings settings;
	std::vector<int> ports;
	std::mutex mutex;
	std::condition_variable changed;
	std::map<std::string, Entry> entries;
	std::deque<Change> changes;
	uint64_t revision = 1, dropped_up_to = 0, next_grant = 1;
	std::map<uint64_t, Grant> grants;
	double request_tokens, request_at = 0, write_tokens, write_at = 0;
	double value_kb, write_rps;
	int txn_ops;
	std::mt19937 random{7};
};

// ---- machines ----

struct JobInfo {
	std::string ref, kind;
	int parts = 0;
	double run_s = 0, image_gb = 0; // run_s: how long a task runs
	double cpus = 0, gpus = 0, ram = 0;
};

class World;

struct Task {
	std::string part;
	int attempt = 0;
	std::string state, why;
	double image_at = 0, ends_at = 0;
	JobInfo job;
};

class Machine
{
      public:
	Machine(World &world, const std::string &name, const std::string &zone, bool spot,
	        double up_at);
	void run(); // the worker: reports until the machine is gone
	Response on_request(const Request &request);

	World &world;
	std::string name, zone;
	bool spot;
	int port;
	double rented_at, up_at, gone_at = -1;
	std::atomic<bool> gone{false};
	std::vector<Task> tasks; // guarded by world.mutex

      private:
	void report();
	Json report_body(); // mutex held
	void execute(const Json &orders);
	void advance();
	bool fits(const JobInfo &job) const;
	int node = 0;
	uint64_t tenure = 1, serial = 0, highest = 0;
	double lease_from;
	bool changed = true;
	std::unique_ptr<Client> client;
	int client_node = -1;
	double next_report = 0, last_report = -10;
	std::mt19937 random;
};

// ---- the whole ----

struct Violation {
	std::string rule, text;
};

class World
{
      public:
	World(const Settings &settings, const std::vector<std::string> &command);
	void finish();
	// controllers
	void start(int controller);
	void start_all();
	void kill(int controller);
	void kill_all();                   // only sends the signals
	bool wait_ready(double timeout_s); // all controllers answer /ready, and one leads
	int leader();                      // its number, or -1
	int public_port(int controller) const { return ports[(size_t)controller]; }

	// users: one request to one controller
	int submit(int controller, const JobInfo &job, const std::string &extra,
	           std::string &status, double timeout_s = 5);
	int poll(int controller, const std::string &ref, std::string &status, Json *body = nullptr);
	int cancel(int controller, const std::string &ref, std::string &status,
	           double timeout_s = 5);

	// what ran
	void violation(const std::string &rule, const std::string &text);
	int running_tasks(const std::string &ref);
	int starts(const std::string &ref);
	void with_lock(const std::function<void()> &action);

	Settings settings;
	std::unique_ptr<Store> store;
	std::mutex mutex; // machines, tasks, jobs
	std::vector<std::shared_ptr<Machine>> machines;
	std::map<std::string, JobInfo> jobs;
	std::map<std::string, int> start_counts;
	std::vector<Violation> violations;
	std::atomic<bool> stopping{false};
	std::string folder;

      private:
	friend class Machine;
	Response cloud(const Request &request);
	std::vector<std::string> command;
	std::vector<int> ports, peer_ports;
	std::vector<pid_t> pids;
	int cloud_port;
	std::map<std::string, Json> rentals;
	std::mt19937 random{11};
};

bool job_fields(const JobInfo &job, std::string &body);

#endif
