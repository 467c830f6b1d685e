// The test language: a fleet, a table, timed steps and expectations. docs/SCENARIOS.md describes
// it.
#ifndef SAPPHIREFLOW_TESTS_SCENARIOS_SCRIPT_H_
#define SAPPHIREFLOW_TESTS_SCENARIOS_SCRIPT_H_

#include <string>
#include <vector>

#include "sapphireflow/model/error.h"
#include "sapphireflow/model/table.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow::scenario {

enum class Verb {
  kIssue,     // an id for a job that is submitted later
  kSubmit,    // a first submission, or `count` of them
  kResubmit,  // the same job again, at another entry VM
  kAsk,       // asks for a job's answer
  kCancel,    // stops a job, or the last `count` ones
  kKill,
  kReplace,  // a new process at the address of one that died or stopped
  kFreeze,
  kResume,
  kStop,  // planned
  kCut,
  kHeal,
  kPlatform,  // faults of store and list
  kWorker,    // faults of a worker
  kMark,      // what the platform's list says of a VM
  kEdit,      // an operator's edit
};

/// One timed step. Fields that a verb does not use keep their defaults.
struct Step {
  Duration at{0};
  Verb verb = Verb::kSubmit;
  std::string target;  // an entry VM, a worker or the first side of a cut
  std::string other;   // the other side of a cut, or the state of a mark
  std::string job;
  std::string kind = "check";
  std::string home;  // whose ids are used; the entry VM asked, if empty
  int count = 1;
  int tasks = 1;
  Duration run{std::chrono::milliseconds(50)};
  Duration spread{0};  // submissions are spread over this time
  Duration deadline{std::chrono::milliseconds(2000)};
  bool idempotent = false;
  bool persistent = true;  // the caller asks again while nothing is known
  bool one_way = false;
  // faults
  bool down = false;
  bool drop_reply = false;  // the connection ends without a reply after the work
  bool reset = false;       // the connection ends at once, the work goes on
  bool fail = false;
  bool full = false;
  bool leaving = false;
  Duration slow{0};
  double factor = 1;
  // edits
  std::string edit;
  std::int64_t base = -1;  // -1: the version the operator sees
  double weight = 1;
};

struct WorkerPlan {
  std::string zone;
  std::uint32_t slots = 4;
  double factor = 1;
};

struct EntryPlan {
  std::string name;
  std::string zone;
};

/// What must hold in the end, beside the promises that are always checked.
struct Expectation {
  std::string job;
  std::string verdict;  // complete, failed, refused or unknown
  std::string error;    // an error id, or empty
  int least_complete = -1;
  int most_failures = -1;  // attempts that a failing worker may cost
  std::string edit;
  std::string edit_verdict;
};

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

/// Reads a script; an unknown word or a wrong value is told with file, line and what is allowed.
Validated<Script> ReadScript(const std::string& text, const std::string& file);

/// A random script: every fault, alone and together, from a seed.
Script RandomScript(std::uint64_t seed);

}  // namespace sapphireflow::scenario

#endif  // SAPPHIREFLOW_TESTS_SCENARIOS_SCRIPT_H_
