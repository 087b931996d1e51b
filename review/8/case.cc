// Case 8: a repeated submission of an accepted job gets 400 because of a field that the service does
// not know.
#include "rig.hh"

using namespace rig;

int main(int argc, char **argv)
{
	auto program = begin(argc, argv);
	Deployment deployment(kuopio(), program,
	                      [](const string &event, const Worker &worker, const string &task,
	                         const Worker::Task &state) {
		                      rec("worker %s: %s %s %s %s", worker.name.c_str(), event.c_str(),
		                          task.c_str(), state.state.c_str(), state.why.c_str());
	                      });
	deployment.add_machine(0);
	deployment.start();
	if (!deployment.wait_until_ready(15))
		finish(deployment, 2, "the controllers did not get ready");
	sleep_s(2);

	const string fields =
		"\"JobClass\":\"projisointi\",\"Owner\":\"mosaiikki\",\"JobKind\":\"sweep\","
		"\"Tier\":\"best_effort\",\"Bundle\":\"img-1\",\"ImageGb\":4,"
		"\"HostKinds\":[\"revontuli\"],\"Site\":null,\"Together\":false,\"Apart\":false,"
		"\"Reclaimable\":true,\"ExpectedS\":60,\"SnapshotEveryS\":0,\"SnapshotCostS\":0,"
		"\"DueS\":null";
	JobInfo info;
	info.ref = "run-000001";
	info.parts = 2;
	info.cpus = 5, info.gpus = 1, info.ram_gb = 36;
	info.run_s = 60;
	if (!deployment.submit(info, fields))
		finish(deployment, 2, "the job was not accepted");
	// The field "Note" has valid JSON: a string with a NUL, written \u0000, or 40 nested lists.
	const string nul = trouble() ? "\"a\\u0000b\"" : "\"ab\"";
	const string nested = trouble() ? string(40, '[') + string(40, ']') : "[[]]";
	int refused = 0, answered = 0;
	for (int round = 0; round < 3; round++)
		for (const string &note : {nul, nested}) {
			string body = "{\"Ref\":\"" + info.ref + "\",\"Note\":" + note + "," + fields +
			              ",\"Parts\":2,\"Vcpus\":5,\"Accelerators\":1,\"RamGb\":36}";
			rec("user: body %s", body.c_str());
			for (size_t node = 0; node < deployment.nodes.size(); node++) {
				int status = deployment.ask("POST", "/v2/runs", body, 5).status;
				answered += status == 200;
				refused += status == 400 || status == 422;
			}
			if (deployment.status(info.ref) != "running")
				rec("the job is not running");
			sleep_s(1);
		}
	if (!deployment.ended_controller().empty())
		finish(deployment, 1, "a controller ended by itself");
	if (refused > 0)
		finish(deployment, 1, text("%d of 18 repeated submissions of an accepted job got 400 or "
		                           "422, %d got 200", refused, answered));
	finish(deployment, answered > 0 ? 0 : 2, text("%d of 18 repeated submissions got 200", answered));
}
