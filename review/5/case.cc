// Case 5: a machine that runs many short tasks reports more and more ended ones, until its reports
// are no longer passed on to the leader, and its tasks' ends are never noticed.
#include "rig.hh"

using namespace rig;

int main(int argc, char **argv)
{
	const unsigned parts = trouble() ? 5300 : 300;
	// The state may lag by 3 s after the last task; a job that is only late does not count.
	const double lag_s = 45;
	auto program = begin(argc, argv);
	Settings settings;
	std::mutex lock;
	std::set<string> done;
	double last_done_at = 0;
	Deployment deployment(settings, program, [&](const string &event, const Worker &,
	                                             const string &task, const Worker::Task &state) {
		if (event != "end" || state.why != "done")
			return;
		std::lock_guard<std::mutex> guard(lock);
		if (done.insert(task.substr(0, task.find('@'))).second)
			last_done_at = now();
	});
	for (int i = 0; i < 6; i++)
		deployment.add_machine(i);
	deployment.start();
	if (!deployment.wait_until_ready(15))
		finish(deployment, 2, "the controllers did not get ready");
	sleep_s(2);

	JobInfo info;
	info.ref = "run-000001";
	info.parts = parts;
	info.cpus = 0.25, info.gpus = 0, info.ram_gb = 0.9;
	info.run_s = 4, info.pull_s = 1;
	if (!deployment.submit(info, "\"JobClass\":\"grand-inventaire\",\"Owner\":\"universite-cheikh\","
	                             "\"JobKind\":\"sweep\",\"Tier\":\"best_effort\","
	                             "\"Bundle\":\"img-1\",\"ImageGb\":0.5,\"HostKinds\":[\"baobab\"],"
	                             "\"Site\":null,\"Together\":false,\"Apart\":false,"
	                             "\"Reclaimable\":true,\"ExpectedS\":4,\"SnapshotEveryS\":0,"
	                             "\"SnapshotCostS\":0,\"DueS\":null"))
		finish(deployment, 2, "the array was not accepted");
	double next_poll = 0, next_line = 0;
	string status;
	auto seconds_since_end = [&] {
		std::lock_guard<std::mutex> guard(lock);
		return done.size() == parts ? now() - last_done_at : 0;
	};
	while (now() < 114 && seconds_since_end() < lag_s) {
		if (!deployment.ended_controller().empty())
			finish(deployment, 1, "a controller ended by itself");
		if (now() >= next_poll) {
			status = deployment.status("run-000001");
			next_poll = now() + 5;
			if (status == "done")
				finish(deployment, 0, "the array was called done");
		}
		if (now() >= next_line) {
			std::unique_lock<std::mutex> guard(lock);
			size_t count = done.size();
			guard.unlock();
			rec("completed %zu of %u", count, parts);
			for (auto &worker : deployment.workers)
				rec("%s running=%zu ended=%zu forgotten=%ld refused=%ld",
				    worker->describe().c_str(), worker->count("run-000001", "running"),
				    worker->count("run-000001", "ended"), worker->forgotten.load(),
				    worker->refused_reports.load());
			next_line = now() + 5;
		}
		sleep_s(0.2);
	}
	std::lock_guard<std::mutex> guard(lock);
	rec("leader=%s state service refused %ld requests", deployment.leader().c_str(),
	    deployment.state.refused.load());
	finish(deployment, done.size() == parts && now() - last_done_at >= lag_s ? 1 : 2,
	       text("%zu of %u tasks have completed, the last one %.1f s ago; last status \"%s\"",
	            done.size(), parts, now() - last_done_at, status.c_str()));
}
