/*
 * Literal stored records, one of each kind, as they are in the key-value store. Records outlive the
 * program that wrote them, so these texts must not change when identifiers are renamed in the
 * sources.
 */
#ifndef FL_TESTS_CONTRACT_RECORDS_FIXTURE_H
#define FL_TESTS_CONTRACT_RECORDS_FIXTURE_H

#include "protocol/workers.h"
#include "storage/jobs.h"

#define LIVE_JOB_RECORD                                                                            \
	"{\"Ref\":\"run-000412\",\"JobClass\":\"nightly\",\"Owner\":\"physics\","                  \
	"\"JobKind\":\"ensemble\",\"Tier\":\"urgent\",\"Parts\":130,\"Vcpus\":1.5,"                \
	"\"Accelerators\":2,\"RamGb\":3.25,\"Bundle\":\"solver:7\",\"ImageGb\":4.5,"               \
	"\"HostKinds\":[\"large\",\"small\"],\"Site\":\"north\",\"Together\":true,"                \
	"\"Apart\":false,\"Reclaimable\":false,\"ExpectedS\":5.5,\"SnapshotEveryS\":60.5,"         \
	"\"SnapshotCostS\":7.5,\"DueS\":88.5,\"submitted\":1700000100.25}"
#define CANCELLED_JOB_RECORD                                                                       \
	"{\"Ref\":\"run-000413\",\"JobClass\":\"hourly\",\"Owner\":\"biology\","                   \
	"\"JobKind\":\"standing\",\"Tier\":\"critical\",\"Parts\":9,\"Vcpus\":10.5,"               \
	"\"Accelerators\":11,\"RamGb\":12.5,\"Bundle\":\"fold:2\",\"ImageGb\":13.5,"               \
	"\"Together\":false,\"Apart\":true,\"Reclaimable\":false,\"ExpectedS\":14.5,"              \
	"\"SnapshotEveryS\":15.5,\"SnapshotCostS\":16.5,\"submitted\":1700000200.5,"               \
	"\"final\":\"aborted\",\"parts\":9,\"cancelled\":1700000300.75}"
#define SPOT_JOB_RECORD                                                                            \
	"{\"Ref\":\"run-000414\",\"JobClass\":\"hourly\",\"Owner\":\"biology\","                   \
	"\"JobKind\":\"sweep\",\"Tier\":\"best_effort\",\"Parts\":3,\"Vcpus\":1,"                  \
	"\"Accelerators\":0,\"RamGb\":2,\"Bundle\":\"fold:3\",\"ImageGb\":4,\"HostKinds\":[],"     \
	"\"Together\":false,\"Apart\":false,\"Reclaimable\":true,\"ExpectedS\":5,"                 \
	"\"SnapshotEveryS\":6,\"SnapshotCostS\":7,\"DueS\":0,\"submitted\":8}"
#define STANDARD_JOB_RECORD                                                                        \
	"{\"Ref\":\"run-000415\",\"JobClass\":\"c\",\"Owner\":\"biology\",\"JobKind\":\"sweep\","  \
	"\"Tier\":\"standard\",\"Parts\":1,\"Vcpus\":1,\"Accelerators\":0,\"RamGb\":2,"            \
	"\"Bundle\":\"i\",\"ImageGb\":4,\"Together\":false,\"Apart\":false,"                       \
	"\"Reclaimable\":false,\"ExpectedS\":5,\"SnapshotEveryS\":6,\"SnapshotCostS\":7,"          \
	"\"submitted\":8}"
#define FINAL_RECORD_DONE "{\"final\":\"done\",\"parts\":71}"
#define FINAL_RECORD_CANCELLED "{\"final\":\"aborted\",\"parts\":72}"

/* The progress record of the second task block of a job with 130 tasks. */
#define PROGRESS_RECORD                                                                            \
	"{\"d\":[[64,66],[70,70]],\"t\":[[67,2],[72,5]],"                                          \
	"\"m\":[[68,3,\"m-000012\",101,1700000123],[127,4,\"m-000013\",102,1700000456]]}"
#define WAL_GROUP "[\"run-000412\",1," PROGRESS_RECORD "]"
#define OTHER_WAL_GROUP "[\"run-000412\",2,{\"d\":[],\"t\":[[128,6]],\"m\":[]}]"
#define WAL_VALUE "{\"log\":[" WAL_GROUP "," OTHER_WAL_GROUP "]}"

/* A cached heartbeat with a task in each state, and an exited task for each exit reason. */
#define CACHED_HEARTBEAT                                                                           \
	"[\"m-000012\",101,102,103,104.5,[[\"run-000412\",3,21,0],[\"run-000413\",4,22,1],"        \
	"[\"run-000414\",5,23,2],[\"run-000415\",6,24,4],[\"run-000416\",7,25,3,0],"               \
	"[\"run-000417\",8,26,3,1],[\"run-000418\",9,27,3,2],[\"run-000419\",10,28,3,3],"          \
	"[\"run-000420\",11,29,3,4],[\"run-000421\",12,30,3,5],[\"run-000422\",13,31,3,6],"        \
	"[\"run-000423\",14,32,3,7],[\"run-000424\",15,33,3,8]]]"
#define CACHED_IDLE_HEARTBEAT "[\"m-000013\",105,106,107,-1,[]]"
#define DIGEST_RECORD "{\"epoch\":108,\"kept\":[" CACHED_HEARTBEAT "," CACHED_IDLE_HEARTBEAT "]}"

#define MACHINE_TYPES_RECORD                                                                       \
	"{\"HostKinds\":[{\"Name\":\"large\",\"Vcpus\":96,\"Accelerators\":8,\"RamGb\":768.5,"     \
	"\"LocalGb\":900,\"PullGbPerS\":1.25,\"Price\":9.5,\"SpotPrice\":3.5,\"ReadyS\":45,"       \
	"\"Sites\":[\"north\",\"south\"]},{\"Name\":\"small\",\"Vcpus\":4,\"Accelerators\":0,"     \
	"\"RamGb\":16,\"LocalGb\":50,\"PullGbPerS\":0.5,\"Price\":0.75,\"SpotPrice\":0.25,"        \
	"\"ReadyS\":30,\"Sites\":[\"south\"]}]}"

#define LEADER_RECORD "{\"node\":\"host-2\",\"boot\":\"host-2-17.25\"}"
#define EARLIER_PROCESS_LEADER_RECORD "{\"node\":\"host-1\",\"boot\":\"host-1-16.5\"}"
#define OWN_PROCESS_LEADER_RECORD "{\"node\":\"host-1\",\"boot\":\"host-1-18.75\"}"
#define FENCING_TOKEN_RECORD "{\"epoch\":41}"
#define NEXT_FENCING_TOKEN_RECORD "{\"epoch\":42}"
#define RAISED_FENCING_TOKEN_RECORD "{\"epoch\":43}"

enum { CACHED_TASK_COUNT = 13 };

/* The job description in LIVE_JOB_RECORD. */
extern const struct fl_job_spec live_job_spec;
/* The heartbeat in CACHED_IDLE_HEARTBEAT. */
extern const struct fl_heartbeat cached_idle_heartbeat;

/* Adds the zones and teams that the records name. */
void add_zones_and_teams(struct fl_cluster *cluster);
/* Adds the job of LIVE_JOB_RECORD to a leader's state, with its zones, teams and machine types. */
struct fl_job *add_live_job(struct fl_cluster *cluster);
/* Brings the tasks into the states that PROGRESS_RECORD and OTHER_WAL_GROUP describe. */
void set_recorded_progress(struct fl_cluster *cluster, struct fl_job *job);
/* Asserts the state of a task; machine, incarnation and placement time only if it is placed. */
void assert_task_state(const struct fl_cluster *cluster, const struct fl_job *job, uint32_t index,
                       enum fl_task_phase phase, uint32_t attempt, const char *machine,
                       uint64_t incarnation, double placed_wall_time);
/* Asserts that the second task block is exactly in the state of PROGRESS_RECORD. */
void assert_recorded_progress(const struct fl_cluster *cluster, const struct fl_job *job);
/* Returns the heartbeat of CACHED_HEARTBEAT, whose tasks are stored in `tasks`. */
struct fl_heartbeat make_cached_heartbeat(struct fl_task_status tasks[CACHED_TASK_COUNT]);

#endif
