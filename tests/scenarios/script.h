// The scenario language: a fleet, a routing table, timed steps and expectations.
// docs/SCENARIOS.md describes it.
#ifndef SAPPHIREFLOW_TESTS_SCENARIOS_SCRIPT_H_
#define SAPPHIREFLOW_TESTS_SCENARIOS_SCRIPT_H_

#include <string>
#include <vector>

#include "sapphireflow/model/error.h"
#include "sapphireflow/model/table.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow::scenario {

/// @brief What a step does. The keys of the scenario files are listed in script.cc.
enum class Verb {
  kIssue,     // requests an id for a job that is submitted later
  kSubmit,    // submits a new job, or `count` of them
  kResubmit,  // submits the same job again through another entry VM
  kAsk,       // queries a job's answer
  kCancel,    // cancels a job or, if none is named, `count` jobs in order of name
  kKill,
  kReplace,  // starts a new process at the address of one that was killed or stopped
  kFreeze,
  kResume,
  kStop,      // planned shutdown, with draining
  kCut,       // starts a network partition
  kHeal,      // ends it
  kPlatform,  // sets the faults of the store and the VM list
  kWorker,    // sets the faults of a worker
  kMark,      // changes the state of a worker in the platform's VM list
  kEdit,      // edits the table as an operator
};

/// @brief One timed step. Fields that a verb does not use keep their defaults.
struct Step {
  Duration at{0};
  Verb verb = Verb::kSubmit;
  std::string target;  // an entry VM, a worker or the first side of a network partition
  std::string other;   // the other side of a partition, or the listed state for `mark`
  std::string job;
  std::string kind = "check";
  std::string home;  // the entry VM that issues the job's id; `target` if empty
  int count = 1;
  int tasks = 1;
  Duration run{std::chrono::milliseconds(50)};
  Duration spread{0};  // `count` submissions are spread evenly over this time
  Duration deadline{std::chrono::milliseconds(2000)};
  bool idempotent = false;
  bool persistent = true;  // the caller retries while the verdict is unknown
  bool one_way = false;
  // faults
  bool down = false;
  bool drop_reply = false;  // the connection is closed without a reply once the work is done
  bool reset = false;       // the connection is reset at once while the work continues
  bool fail = false;
  bool full = false;
  bool leaving = false;
  Duration slow{0};   // added delay of the platform's store
  double factor = 1;  // multiplies the run time of a worker's tasks
  // edits
  std::string edit;
  std::int64_t base = -1;  // version that the edit is based on; -1: the one in force at `target`
  double weight = 1;
};

/// @brief A worker to start. Its name is `<zone>-w<number>`, numbered from 1 in each zone.
struct WorkerPlan {
  std::string zone;
  std::uint32_t slots = 4;
  double factor = 1;
};

/// @brief An entry VM to start.
struct EntryPlan {
  std::string name;
  std::string zone;
};

/// @brief A condition on the final state, in addition to the guarantees that are always checked.
struct Expectation {
  std::string job;
  std::string verdict;           // complete, failed, refused or unknown
  std::string error;             // an error code; empty matches any
  int min_complete = -1;         // lower bound on complete jobs; -1: none
  int max_wasted_attempts = -1;  // upper bound on attempts that end as a failed task; -1: none
  std::string edit;
  std::string edit_verdict;
};

/// @brief A whole scenario.
struct Script {
  std::string name;
  std::uint64_t seed = 1;
  Duration length{std::chrono::seconds(10)};
  std::uint32_t shards = 1;
  std::vector<EntryPlan> entries;
  std::vector<WorkerPlan> workers;
  std::vector<TableRow> rows;
  std::vector<Step> steps;
  std::vector<Expectation> expectations;
};

/// @brief Parses a script. Each unknown key and each invalid value is reported with its file, its
/// line and the allowed values.
Validated<Script> ReadScript(const std::string& text, const std::string& file);

/// @brief Generates a random script from a seed, with single and combined faults of every kind.
Script RandomScript(std::uint64_t seed);

}  // namespace sapphireflow::scenario

#endif  // SAPPHIREFLOW_TESTS_SCENARIOS_SCRIPT_H_
