// Case 4: an array that can no longer fit keeps its expired backfill window, and jobs for which
// machines have room are never started.
#include "rig.hh"

using namespace rig;

static const char *const service_fields =
	"\"JobClass\":\"tiilipalvelu\",\"Owner\":\"%s\",\"JobKind\":\"standing\",\"Tier\":\"critical\","
	"\"Bundle\":\"img-1\",\"ImageGb\":3,\"HostKinds\":[\"revontuli\"],\"Site\":null,"
	"\"Together\":false,\"Apart\":%s,\"Reclaimable\":false,\"ExpectedS\":0,"
	"\"SnapshotEveryS\":0,\"SnapshotCostS\":0,\"DueS\":null";

static const char *const array_fields =
	"\"JobClass\":\"%s\",\"Owner\":\"%s\",\"JobKind\":\"sweep\",\"Tier\":\"%s\","
	"\"Bundle\":\"img-%s\",\"ImageGb\":1,\"HostKinds\":[\"revontuli\"],\"Site\":null,"
	"\"Together\":false,\"Apart\":false,\"Reclaimable\":true,\"ExpectedS\":%g,"
	"\"SnapshotEveryS\":%g,\"SnapshotCostS\":%g,\"DueS\":null";

static JobInfo job(const char *ref, unsigned parts, double cpus, double gpus, double ram_gb,
                   double run_s)
{
	JobInfo info;
	info.ref = ref;
	info.parts = parts;
	info.cpus = cpus, info.gpus = gpus, info.ram_gb = ram_gb;
	info.run_s = run_s;
	info.pull_s = 0.5;
	info.service = run_s <= 0;
	return info;
}

static Deployment *deployment;

static size_t running(const char *ref)
{
	size_t count = 0;
	for (auto &worker : deployment->workers)
		count += worker->count(ref, "running");
	return count;
}

static bool wait_running(const char *ref, size_t count, double timeout_s)
{
	for (double deadline = now() + timeout_s; now() < deadline; sleep_s(0.1))
		if (running(ref) >= count)
			return true;
	return false;
}

static bool submit(const JobInfo &info, const string &fields)
{
	if (!deployment->submit(info, fields))
		finish(*deployment, 2, info.ref + " was not accepted");
	return true;
}

int main(int argc, char **argv)
{
	const double limit_s = 90; // "no job is left waiting for 90 s"
	auto program = begin(argc, argv);
	Settings settings = kuopio();
	deployment = new Deployment(settings, program,
	                            [](const string &event, const Worker &worker,
	                               const string &task, const Worker::Task &state) {
		                            rec("worker %s: %s %s %s %s", worker.name.c_str(),
		                                event.c_str(), task.c_str(), state.state.c_str(),
		                                state.why.c_str());
	                            });
	for (int i = 0; i < 3; i++)
		deployment->add_machine(i);
	deployment->start();
	if (!deployment->wait_until_ready(15))
		finish(*deployment, 2, "the controllers did not get ready");
	sleep_s(2);

	// The site is full: three machines of two GPUs hold four replicas.
	submit(job("run-000001", 4, 4, 1, 29, 0), text(service_fields, "karttapalvelu", "true"));
	if (!wait_running("run-000001", 4, 12))
		finish(*deployment, 2, "the first service did not start");
	// An array of four tasks: two run, two wait for the same GPUs.
	submit(job("run-000002", 4, 5, 1, 36, 25),
	       text(array_fields, "projisointi", "mosaiikki", "best_effort", "2", 20.0, 0.0, 0.0));
	if (!wait_running("run-000002", 2, 8))
		finish(*deployment, 2, "the array did not start");
	sleep_s(3);
	if (trouble()) {
		// The trouble: more services arrive, which go before arrays. It ends with their start.
		submit(job("run-000003", 1, 4, 1, 29, 0),
		       text(service_fields, "karttapalvelu", "true"));
		submit(job("run-000004", 1, 4, 1, 29, 0),
		       text(service_fields, "karttapalvelu", "true"));
		if (!wait_running("run-000003", 1, 10) || !wait_running("run-000004", 1, 10))
			finish(*deployment, 2, "the later services did not start");
	}
	// A job that needs no GPU: each machine has room for it.
	submit(job("run-000005", 2, 3, 0, 21.6, 300),
	       text(array_fields, "hiljainen-haku", "metsatutkimus", "best_effort", "3", 300.0, 30.0, 3.0));
	double accepted_at = now(), room_since = -1, longest = 0, next_poll = 0;
	while (now() < accepted_at + limit_s + 3 && now() < 116) {
		if (!deployment->ended_controller().empty())
			finish(*deployment, 1, "a controller ended by itself");
		if (running("run-000005") > 0)
			finish(*deployment, 0, text("run-000005 started %.1f s after it was accepted",
			                            now() - accepted_at));
		bool room = false;
		for (auto &worker : deployment->workers) {
			double cpus, gpus, ram_gb;
			worker->room(cpus, gpus, ram_gb);
			room |= cpus >= 3 && ram_gb >= 21.6;
		}
		if (!room)
			room_since = -1;
		else if (room_since < 0)
			room_since = now();
		longest = room_since < 0 ? longest : std::max(longest, now() - room_since);
		if (now() >= next_poll) {
			deployment->status("run-000005");
			next_poll = now() + 5;
		}
		sleep_s(0.2);
	}
	for (auto &worker : deployment->workers) {
		double cpus, gpus, ram_gb;
		worker->room(cpus, gpus, ram_gb);
		rec("%s free: %g CPUs, %g GPUs, %g GB", worker->describe().c_str(), cpus, gpus, ram_gb);
	}
	if (longest <= limit_s)
		finish(*deployment, 2, text("a machine had room for only %.1f s", longest));
	finish(*deployment, 1,
	       text("no task of run-000005 was started in %.1f s, while a machine had room for it",
	            longest));
}
