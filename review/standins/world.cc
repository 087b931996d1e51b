#include "world.hh"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

extern char **environ;

// ---- machine and worker ----

Machine::Machine(World &w, const std::string &n, const std::string &z, bool s, double up)
    : world(w), name(n), zone(z), spot(s), rented_at(now_s()), up_at(up), lease_from(up),
      random((unsigned)std::hash<std::string>()(n))
{
	node = (int)(random() % (unsigned)world.settings.controllers);
	port = serve([this](const Request &r) { return on_request(r); });
}

// Moves the tasks on: fetched images, completed runs. The mutex is held.
void Machine::advance()
{
	double now = now_s();

	for (Task &task : tasks) {
		if (task.state == "pulling" && now >= task.image_at) {
			for (auto &other : world.machines)
				for (Task &copy : other->tasks)
					if (!other->gone && &copy != &task &&
					    copy.part == task.part &&
					    (copy.state == "running" || copy.state == "flushing"))
						world.violation("ran_twice",
						                task.part + " starts on " + name +
						                        " while it is on " +
						                        other->name);
			task.state = "running";
			task.ends_at = task.job.kind == "standing" ? 1e18 : now + task.job.run_s;
			world.start_counts[task.job.ref]++;
			changed = true;
			record("%s: %s try %d runs", name.c_str(), task.part.c_str(), task.attempt);
		}
		if (task.state == "running" && now >= task.ends_at) {
			task.state = "ended";
			task.why = "done";
			changed = true;
			record("%s: %s try %d ended: done", name.c_str(), task.part.c_str(),
			       task.attempt);
		}
	}
}

bool Machine::fits(const JobInfo &job) const
{
	double cpus = world.settings.type_cpus, gpus = world.settings.type_gpus,
	       ram = world.settings.type_ram;

	for (const Task &task : tasks)
		if (task.state != "ended") {
			cpus -= task.job.cpus;
			gpus -= task.job.gpus;
			ram -= task.job.ram;
		}
	return job.cpus <= cpus + 1e-9 && job.gpus <= gpus + 1e-9 && job.ram <= ram + 1e-9;
}

void Machine::execute(const Json &orders)
{
	for (const Json &order : orders.a) {
		std::string verb = order.str("Verb"), part = order.str("Part");
		int attempt = (int)order.num("Try");
		auto same = std::find_if(tasks.begin(), tasks.end(), [&](const Task &t) {
			return t.part == part && t.attempt == attempt;
		});

		if (verb == "launch" && same == tasks.end()) {
			Task task;
			std::string ref = part.substr(0, part.find('/'));
			auto job = world.jobs.find(ref);
			bool busy = std::any_of(tasks.begin(), tasks.end(), [&](const Task &t) {
				return t.part == part && t.state != "ended";
			});
			task.part = part;
			task.attempt = attempt;
			task.state = "ended";
			if (job != world.jobs.end())
				task.job = job->second;
			if (job == world.jobs.end())
				task.why = "no_such";
			else if (busy)
				task.why = "busy";
			else if (!fits(job->second))
				task.why = "no_room";
			else {
				task.state = "pulling";
				task.image_at = now_s() + job->second.image_gb;
			}
			record("%s: launch %s try %d%s%s", name.c_str(), part.c_str(), attempt,
			       task.why.empty() ? "" : " refused: ", task.why.c_str());
			tasks.push_back(task);
			changed = true;
		} else if (verb == "kill" && same != tasks.end() && same->state != "ended") {
			same->state = "ended";
			same->why = "stopped";
			changed = true;
			record("%s: kill %s try %d", name.c_str(), part.c_str(), attempt);
		} else if (verb == "forget" && same != tasks.end() && same->state == "ended") {
			tasks.erase(same);
			changed = true;
		}
	}
	advance();
}

Json Machine::report_body()
{
	Json body = Json::object(), parts = Json::array();

	advance();
	body.set("Host", name).set("Endpoint", "127.0.0.1:" + std::to_string(port));
	body.set("HostKind", world.settings.type).set("Site", zone).set("Reclaimable", spot);
	body.set("Tenure", tenure).set("Serial", ++serial).set("Epoch", highest);
	body.set("ReclaimInS", Json());
	for (Task &task : tasks) {
		Json item = Json::object();
		item.set("Part", task.part).set("Try", task.attempt).set("Status", task.state);
		if (task.state == "ended")
			item.set("ExitReason", task.why);
		parts.add(item);
	}
	body.set("Parts", parts);
	return body;
}

void Machine::report()
{
	std::string text, answer;
	double sent_at;
	uint64_t sent_tenure;
	int status;
	Json reply;

	{
		std::lock_guard<std::mutex> lock(world.mutex);
		if (now_s() > lease_from + world.settings.lease_s) {
			if (!tasks.empty())
				record("%s: lease ended, tasks killed", name.c_str());
			tasks.clear();
			tenure++;
			lease_from = now_s();
		}
		text = report_body().dump();
		sent_tenure = tenure;
		changed = false;
	}
	if (!client || client_node != node) {
		client.reset(new Client(world.public_port(node)));
		client_node = node;
	}
	sent_at = last_report = now_s();
	next_report = sent_at + world.settings.report_s *
	                                (0.75 + 0.5 * (double)random() / (double)random.max());
	status = client->call("POST", "/hello", text, 4, answer);
	if (gone)
		return;
	if (status == 200 && Json::parse(answer, reply)) {
		std::lock_guard<std::mutex> lock(world.mutex);
		uint64_t token = (uint64_t)reply.num("Epoch", -1);
		if (reply.find("Epoch") && token >= highest && sent_tenure == tenure &&
		    now_s() <= lease_from + world.settings.lease_s) {
			if (token > highest)
				changed = true;
			highest = token;
			lease_from = sent_at;
			if (reply.find("Orders"))
				execute(*reply.find("Orders"));
		}
		return;
	}
	client.reset();
	if (status == 421 && Json::parse(answer, reply)) {
		std::string target = reply.str("Steward");
		int number = target.compare(0, 5, "host-") == 0 ? atoi(target.c_str() + 5) : -1;
		if (number >= 0 && number < world.settings.controllers && number != node) {
			node = number;
			next_report = now_s() + 0.1;
			return;
		}
	}
	node = (node + 1) % world.settings.controllers;
	next_report = now_s() + 1;
}

Response Machine::on_request(const Request &request)
{
	Response response;
	Json body;

	if (gone) {
		response.no_answer = true;
		return response;
	}
	std::lock_guard<std::mutex> lock(world.mutex);
	if (request.path == "/commands") {
		if (!Json::parse(request.body, body) || !body.find("Epoch") ||
		    !body.find("Tenure")) {
			response.status = 400;
			return response;
		}
		uint64_t token = (uint64_t)body.num("Epoch");
		if (now_s() < up_at || token < highest || (uint64_t)body.num("Tenure") != tenure) {
			response.status = 409;
		} else {
			highest = token;
			if (body.find("Orders"))
				execute(*body.find("Orders"));
		}
	}
	response.body = report_body().dump();
	return response;
}

void Machine::run()
{
	sleep_s(up_at - now_s());
	lease_from = now_s();
	next_report = 0;
	while (!gone && !world.stopping) {
		bool due;
		{
			std::lock_guard<std::mutex> lock(world.mutex);
			advance();
			due = now_s() >= next_report || (changed && now_s() > last_report + 0.5);
			if (now_s() > lease_from + world.settings.lease_s && !tasks.empty())
				due = true;
		}
		if (due)
			report();
		else
			sleep_s(0.02);
	}
}

// ---- the cloud ----

static Response respond(int status, const Json &body)
{
	Response response;
	response.status = status;
	response.body = body.dump();
	return response;
}

Response World::cloud(const Request &request)
{
	std::lock_guard<std::mutex> lock(mutex);
	Json body;

	if (request.path == "/machine_types") {
		Json sites = Json::array(), item = Json::object(), list = Json::array();
		for (auto &zone : settings.zones)
			sites.add(zone);
		item.set("Name", settings.type).set("Vcpus", settings.type_cpus);
		item.set("Accelerators", settings.type_gpus).set("RamGb", settings.type_ram);
		item.set("LocalGb", 200).set("PullGbPerS", 1).set("Price", 5.97);
		item.set("SpotPrice", 2.15).set("ReadyS", settings.ready_s).set("Sites", sites);
		list.add(item);
		return respond(200, Json::object().set("HostKinds", list));
	}
	if (request.path == "/rentals/delete") {
		Json::parse(request.body, body);
		for (auto &host : body.find("Hosts") ? body.find("Hosts")->a : std::vector<Json>())
			for (auto &machine : machines)
				if (machine->name == host.s && !machine->gone) {
					record("cloud: %s deleted", host.s.c_str());
					machine->gone_at = now_s();
					machine->tasks.clear();
					machine->gone = true;
				}
		return respond(200, Json::object());
	}
	if (request.method == "POST") {
		Json::parse(request.body, body);
		std::string name = body.str("Rental");
		if (rentals.count(name))
			return respond(200, Json::object().set("Hosts", rentals[name]));
		int in_use = 0, count = (int)body.num("Count");
		for (auto &machine : machines)
			in_use += !machine->gone;
		if (count < 1 || count > 50 || body.str("HostKind") != settings.type)
			return respond(400, Json::object().set("error", "malformed"));
		if (in_use >= settings.capacity)
			return respond(503, Json::object().set("error", "no capacity"));
		Json hosts = Json::array();
		for (int i = 0; i < count && in_use < settings.capacity; i++, in_use++) {
			char host[32];
			snprintf(host, sizeof(host), "m-%06zu", machines.size() + 1);
			double boot = settings.ready_s *
			              (0.6 + 0.9 * (double)random() / (double)random.max());
			auto machine =
				std::make_shared<Machine>(*this, host, body.str("Site"),
			                                  body.flag("Reclaimable"), now_s() + boot);
			machines.push_back(machine);
			hosts.add(host);
			std::thread([machine] { machine->run(); }).detach();
		}
		rentals[name] = hosts;
		record("cloud: rental %s: %zu machines", name.c_str(), hosts.a.size());
		return respond(200, Json::object().set("Hosts", hosts));
	}
	// The list shows the state of list_lag_s ago.
	std::string from = request.param("From");
	double at = now_s() - settings.list_lag_s;
	Json hosts = Json::array();
	for (auto &machine : machines) {
		if (machine->rented_at > at || (machine->gone_at >= 0 && machine->gone_at <= at) ||
		    (!from.empty() && machine->name <= from))
			continue;
		Json item = Json::object();
		item.set("Ref", machine->name);
		item.set("Endpoint", "127.0.0.1:" + std::to_string(machine->port));
		item.set("HostKind", settings.type).set("Site", machine->zone);
		item.set("Reclaimable", machine->spot);
		item.set("Status", at >= machine->up_at ? "running" : "booting");
		item.set("AgeS", at - machine->rented_at);
		hosts.add(item);
		if (hosts.a.size() == 500)
			break;
	}
	return respond(200, Json::object().set("Hosts", hosts).set("More", hosts.a.size() == 500));
}

// ---- controllers ----

World::World(const Settings &s, const std::vector<std::string> &c) : settings(s), command(c)
{
	char pattern[] = "/tmp/fawnlead-review-XXXXXX";

	signal(SIGPIPE, SIG_IGN);
	if (!mkdtemp(pattern))
		_exit(2);
	folder = pattern;
	store.reset(new Store(settings));
	cloud_port = serve([this](const Request &r) { return cloud(r); });
	for (int i = 0; i < settings.controllers; i++) {
		ports.push_back(free_port());
		peer_ports.push_back(free_port());
		pids.push_back(0);
	}
}

// Ends all processes; the threads of the stand-ins go on until the program exits.
void World::finish()
{
	stopping = true;
	for (int i = 0; i < settings.controllers; i++)
		kill(i);
	if (!getenv("KEEP_LOGS")) {
		std::string remove = "rm -rf '" + folder + "'";
		if (system(remove.c_str()) != 0)
			record("folder not removed");
	}
}

void World::start(int number)
{
	std::string node = "host-" + std::to_string(number),
		    file_name = folder + "/" + node + ".toml", log = folder + "/" + node + ".log";
	FILE *file = fopen(file_name.c_str(), "w");
	posix_spawn_file_actions_t actions;
	std::vector<char *> argv;

	if (!file)
		_exit(2);
	fprintf(file, "node = \"%s\"\nlocation = \"%s\"\nbind = \"127.0.0.1:%d\"\n", node.c_str(),
	        settings.zones[(size_t)number % settings.zones.size()].c_str(),
	        ports[(size_t)number]);
	fprintf(file, "cluster_listen = \"127.0.0.1:%d\"\n", peer_ports[(size_t)number]);
	for (int i = 0; i < settings.controllers; i++)
		if (i != number)
			fprintf(file,
			        "[[known]]\nnode = \"host-%d\"\nlocation = \"%s\"\naddr = "
			        "\"127.0.0.1:%d\"\n",
			        i, settings.zones[(size_t)i % settings.zones.size()].c_str(),
			        peer_ports[(size_t)i]);
	fprintf(file, "[external]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n",
	        cloud_port, store->port(number));
	fprintf(file, "[settings]\ninitial_size = %d\nzones = [", settings.controllers);
	for (size_t i = 0; i < settings.zones.size(); i++)
		fprintf(file, "%s\"%s\"", i ? ", " : "", settings.zones[i].c_str());
	fprintf(file, "]\nclock_off_ms = 5.0\n");
	if (settings.teams.empty())
		fprintf(file,
		        "[[settings.teams]]\nname = \"mosaiikki\"\ncpus = 0.0\ncpus_max = 0.0\n"
		        "gpus = 0.0\ngpus_max = 0.0\n");
	else
		fputs(settings.teams.c_str(), file);
	fprintf(file,
	        "[settings.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = %g\n"
	        "gang_peer_s = %g\ncancel_s = %g\n",
	        settings.report_s, settings.lease_s, settings.gang_wait_s, settings.gang_peer_s,
	        settings.cancel_s);
	fprintf(file, "[settings.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n",
	        settings.rps, settings.write_rps, settings.value_kb, settings.txn_ops);
	fputs(settings.next.c_str(), file);
	fprintf(file, "[settings.cloud]\nrps = %g\nlist_lag_s = %g\n", settings.cloud_rps,
	        settings.list_lag_s);
	fprintf(file, "[settings.resources]\ncore_share = %g\nram_mb = %g\nmax_connections = %d\n",
	        settings.core_share, settings.ram_mb, settings.max_connections);
	fclose(file);
	for (auto &word : command)
		argv.push_back(const_cast<char *>(word.c_str()));
	argv.push_back(const_cast<char *>(file_name.c_str()));
	argv.push_back(nullptr);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
	                                 0644);
	if (posix_spawn(&pids[(size_t)number], argv[0], &actions, nullptr, argv.data(), environ) !=
	    0) {
		record("host-%d could not be started", number);
		_exit(2);
	}
	posix_spawn_file_actions_destroy(&actions);
	record("host-%d started", number);
}

void World::start_all()
{
	for (int i = 0; i < settings.controllers; i++)
		start(i);
}

void World::kill_all()
{
	for (pid_t pid : pids)
		if (pid > 0)
			::kill(pid, SIGKILL);
}

void World::kill(int number)
{
	if (pids[(size_t)number] <= 0)
		return;
	::kill(pids[(size_t)number], SIGKILL);
	waitpid(pids[(size_t)number], nullptr, 0);
	pids[(size_t)number] = 0;
	record("host-%d killed", number);
}

int World::leader()
{
	std::string node = store->leader();

	return node.empty() ? -1 : atoi(node.c_str() + 5);
}

bool World::wait_ready(double timeout_s)
{
	double until = now_s() + timeout_s;

	while (now_s() < until) {
		int ready = 0;
		for (int i = 0; i < settings.controllers; i++) {
			std::string body;
			Client client(ports[(size_t)i]);
			ready += client.call("GET", "/ready", "", 1, body) == 200;
		}
		if (ready == settings.controllers && leader() >= 0)
			return true;
		sleep_s(0.1);
	}
	return false;
}

// ---- users ----

bool job_fields(const JobInfo &job, std::string &body)
{
	char text[600];

	snprintf(text, sizeof(text),
	         "{\"Ref\":\"%s\",\"JobClass\":\"saumaus\",\"Owner\":\"mosaiikki\","
	         "\"JobKind\":\"%s\",\"Tier\":\"standard\",\"Parts\":%d,\"Vcpus\":%g,"
	         "\"Accelerators\":%g,\"RamGb\":%g,\"Bundle\":\"img-%d\",\"ImageGb\":%g,"
	         "\"HostKinds\":null,\"Site\":null,\"Together\":false,\"Apart\":false,"
	         "\"Reclaimable\":false,\"ExpectedS\":%g,\"SnapshotEveryS\":0,"
	         "\"SnapshotCostS\":0,\"DueS\":null",
	         job.ref.c_str(), job.kind.c_str(), job.parts, job.cpus, job.gpus, job.ram,
	         (int)(job.image_gb * 10), job.image_gb, job.kind == "standing" ? 0 : job.run_s);
	body = text;
	return true;
}

int World::submit(int controller, const JobInfo &job, const std::string &extra, std::string &status,
                  double timeout_s)
{
	std::string body, answer;
	Json object;
	Client client(ports[(size_t)controller]);
	int code;

	{
		std::lock_guard<std::mutex> lock(mutex);
		jobs[job.ref] = job;
	}
	job_fields(job, body);
	code = client.call("POST", "/v2/runs", body + extra + "}", timeout_s, answer);
	status = Json::parse(answer, object) ? object.str("Status") : "";
	record("user: POST %s at host-%d: %d %s", job.ref.c_str(), controller, code,
	       status.c_str());
	return code;
}

int World::poll(int controller, const std::string &ref, std::string &status, Json *out)
{
	std::string answer;
	Json object;
	Client client(ports[(size_t)controller]);
	int code = client.call("GET", "/v2/runs/" + ref, "", 2, answer);

	status = Json::parse(answer, object) ? object.str("Status") : "";
	if (out)
		*out = object;
	record("user: GET %s at host-%d: %d %s", ref.c_str(), controller, code,
	       code == 200 ? answer.c_str() : "");
	return code;
}

int World::cancel(int controller, const std::string &ref, std::string &status, double timeout_s)
{
	std::string answer;
	Json object;
	Client client(ports[(size_t)controller]);
	int code = client.call("POST", "/v2/runs/" + ref + "/cancel", "{}", timeout_s, answer);

	status = Json::parse(answer, object) ? object.str("Status") : "";
	record("user: cancel %s at host-%d: %d %s", ref.c_str(), controller, code, answer.c_str());
	return code;
}

// ---- what ran ----

// The mutex may be held by the caller, so violations have no lock of their own.
void World::violation(const std::string &rule, const std::string &text)
{
	record("RULE BROKEN %s: %s", rule.c_str(), text.c_str());
	violations.push_back({rule, text});
}

int World::running_tasks(const std::string &ref)
{
	std::lock_guard<std::mutex> lock(mutex);
	int count = 0;

	for (auto &machine : machines)
		for (Task &task : machine->tasks)
			count += !machine->gone && task.job.ref == ref && task.state == "running";
	return count;
}

int World::starts(const std::string &ref)
{
	std::lock_guard<std::mutex> lock(mutex);
	return start_counts[ref];
}

void World::with_lock(const std::function<void()> &action)
{
	std::lock_guard<std::mutex> lock(mutex);
	action();
}
