#include "scenarios.hh"

#include <unistd.h>

#include "world.hh"

static World *the_world;

static World &new_world(const Settings &settings, const std::vector<std::string> &command)
{
	the_world = new World(settings, command);
	return *the_world;
}

// ---- case: the state service lowers its limits ----

static JobInfo array_job(int number, int parts, double run_s)
{
	JobInfo job;
	char ref[24];

	snprintf(ref, sizeof(ref), "run-%06d", number);
	job.ref = ref;
	job.kind = "sweep";
	job.parts = parts;
	job.run_s = run_s;
	job.image_gb = 0.5;
	job.cpus = 1;
	job.ram = 2;
	return job;
}

// Submits until the job is accepted, as a user does.
static bool submit_until_accepted(World &world, int controller, const JobInfo &job)
{
	std::string status;

	for (double until = now_s() + 60; now_s() < until; sleep_s(1))
		if (world.submit(controller, job, "", status) / 100 == 2)
			return true;
	return false;
}

static bool wait_until_done(World &world, int controller, const std::string &ref, double until)
{
	std::string status;

	do {
		if (world.poll(controller, ref, status) == 200 && status == "done")
			return true;
		sleep_s(1);
	} while (now_s() < until);
	return false;
}

static int limits(const std::vector<std::string> &command, bool trouble)
{
	const int arrays = 6, parts = 40;
	Settings settings;
	std::string status;
	JobInfo service = array_job(1, 96, 0);
	int broken = 0;

	// The limits of the deployment in Kuopio, and those that its days lower them to.
	settings.next = "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 18.0\n";
	settings.capacity = 8; // machines with 12 CPUs each
	settings.ready_s = 2;
	service.kind = "standing";
	World &world = new_world(settings, command);
	world.start_all();
	if (!world.wait_ready(10) || !submit_until_accepted(world, 0, service))
		return 2;
	for (double until = now_s() + 15; world.running_tasks(service.ref) < 96; sleep_s(0.2))
		if (now_s() > until)
			return 2;
	if (trouble)
		world.store->set_limits(2, 4, 18);
	for (int i = 0; i < arrays; i++)
		if (!submit_until_accepted(world, i % 3, array_job(2 + i, parts, 3)))
			return 2;
	// The user of the service has no more use for it: all machines get room for the arrays.
	for (double until = now_s() + 10; world.cancel(1, service.ref, status) != 200; sleep_s(1))
		if (now_s() > until)
			return 2;
	double from = now_s();
	for (int i = 0; i < arrays; i++)
		wait_until_done(world, i % 3, array_job(2 + i, 1, 1).ref, from + 91);
	int up = 0, idle = 0;
	world.with_lock([&] {
		for (auto &machine : world.machines) {
			up += !machine->gone && now_s() > machine->up_at;
			idle += !machine->gone && now_s() > machine->up_at &&
			        machine->tasks.empty();
		}
	});
	for (int i = 0; i < arrays; i++) {
		std::string ref = array_job(2 + i, 1, 1).ref;
		int starts = world.starts(ref);
		world.poll(i % 3, ref, status);
		record("%s: %d tasks, %d starts, status %s", ref.c_str(), parts, starts,
		       status.c_str());
		broken += starts == 0;
	}
	record("%.0f s after there was room: %d of %d arrays have not started; %d machines up, %d "
	       "without any task; %d transactions got 400",
	       now_s() - from, broken, arrays, up, idle, world.store->rejected_too_large.load());
	return broken > 0 ? 1 : 0;
}

// ---- case: a cancellation whose transaction is carried out late ----

// What the user of one job was told, in the order of the answers.
struct Told {
	std::mutex mutex;
	double aborted_at = -1; // when the first answer "aborted" had arrived
	int aborted_by = -1;
};

static void check_answer(World &world, Told &told, const std::string &ref, int controller,
                         double sent_at, int code, const std::string &status)
{
	std::lock_guard<std::mutex> lock(told.mutex);

	if (code == 200 && status == "aborted" && told.aborted_at < 0) {
		told.aborted_at = now_s();
		told.aborted_by = controller;
	}
	if (told.aborted_at >= 0 && sent_at > told.aborted_at &&
	    ((code == 200 && status != "aborted") || code == 404))
		world.with_lock([&] {
			world.violation("went_back", ref + ": host-" +
			                                     std::to_string(told.aborted_by) +
			                                     " said aborted, then host-" +
			                                     std::to_string(controller) + " said " +
			                                     (code == 404 ? "404" : status));
		});
}

static int late_cancel(const std::vector<std::string> &command, bool trouble)
{
	Settings settings;
	std::string status;
	const int count = 250;
	std::vector<std::thread> threads;
	// Static, since the threads of the stand-in use them until the program exits.
	static std::mt19937 random(5);
	static std::mutex random_mutex;
	static std::atomic<bool> window{false};

	World &world = new_world(settings, command);
	world.store->slow_share = 0.1;
	world.store->late_transaction = [](int, const std::string &) {
		std::lock_guard<std::mutex> lock(random_mutex);
		if (!window || random() % 10 >= 3)
			return -1.0;
		return 2 + 10 * (double)random() / (double)random.max();
	};
	world.start_all();
	if (!world.wait_ready(20))
		return 2;
	for (int i = 0; i < count; i++) {
		JobInfo job;
		char ref[24];
		snprintf(ref, sizeof(ref), "run-%06d", i + 1);
		job.ref = ref;
		job.kind = "standing";
		job.parts = 1;
		job.image_gb = 0.5;
		job.cpus = 1;
		job.ram = 2;
		for (int tries = 0; world.submit(i % 3, job, "", status) / 100 != 2; tries++) {
			if (tries == 10)
				return 2;
			sleep_s(1);
		}
		sleep_s(0.05);
	}
	sleep_s(10);
	window = trouble;
	for (int i = 0; i < count; i++) {
		threads.emplace_back([&world, i] {
			char ref[24];
			auto told = std::make_shared<Told>();
			std::atomic<bool> over{false};
			std::vector<std::thread> pollers;
			snprintf(ref, sizeof(ref), "run-%06d", i + 1);
			sleep_s(i * 0.25);
			auto poll_all = [&] {
				for (int node = 0; node < 3 && pollers.size() < 3; node++)
					pollers.emplace_back([&world, &over, told, node, ref] {
						while (!over) {
							double sent_at = now_s();
							std::string s;
							int code = world.poll(node, ref, s);
							check_answer(world, *told, ref, node,
							             sent_at, code, s);
							sleep_s(0.05);
						}
					});
			};
			for (double until = now_s() + 55; now_s() < until;) {
				double sent_at = now_s();
				std::string s;
				int code = world.cancel(i % 3, ref, s);
				check_answer(world, *told, ref, i % 3, sent_at, code, s);
				if (code == 200)
					break;
				poll_all();
				sleep_s(7 + 0.5 * (i % 8));
			}
			poll_all();
			sleep_s(1.5);
			over = true;
			for (auto &poller : pollers)
				poller.join();
		});
	}
	for (auto &thread : threads)
		thread.join();
	return world.violations.empty() ? 0 : 1;
}

// ---- case: a submission is repeated over a slow link ----

static int slow_link(const std::vector<std::string> &command, bool trouble)
{
	const double send_s = trouble ? 4.4 : 0.4; // a user waits 5 s for a response
	Settings settings;
	JobInfo job = array_job(1, 2, 60);
	std::string body, answer, status;
	std::vector<std::thread> threads;
	std::mutex mutex;
	int broken = 0;

	settings.ready_s = 2;
	World &world = new_world(settings, command);
	world.start_all();
	if (!world.wait_ready(10) || !submit_until_accepted(world, 0, job))
		return 2;
	job_fields(job, body);
	// 56 KiB with a field that the service does not know and has to ignore.
	body += ",\"Note\":\"" + std::string(56 * 1024, 'n') + "\"}";
	for (int i = 0; i < 9; i++)
		threads.emplace_back([&, i] {
			std::string text;
			Client client(world.public_port(i % 3));
			sleep_s(i * 0.3);
			double sent_at = now_s();
			int code = client.call_slowly("POST", "/v2/runs", body, send_s, 5, text);
			record("user: POST %s again at host-%d, %zu bytes in %.1f s: %d after %.2f "
			       "s %s",
			       job.ref.c_str(), i % 3, body.size(), send_s, code, now_s() - sent_at,
			       text.c_str());
			std::lock_guard<std::mutex> lock(mutex);
			broken += code == 400 || code == 422 || code == 404;
		});
	for (auto &thread : threads)
		thread.join();
	world.poll(1, job.ref, status);
	record("%d of 9 repeated submissions of an accepted job got 400, 404 or 422", broken);
	return broken > 0 ? 1 : 0;
}

void end_processes()
{
	if (the_world)
		the_world->kill_all();
}

int run_scenario(const std::string &name, const std::vector<std::string> &command, bool trouble)
{
	int result = 2;

	if (name == "limits")
		result = limits(command, trouble);
	if (name == "slow_link")
		result = slow_link(command, trouble);
	if (name == "late_cancel")
		result = late_cancel(command, trouble);
	if (the_world)
		the_world->finish();
	return result;
}
