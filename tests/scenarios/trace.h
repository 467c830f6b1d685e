// The trace of a scenario run, and the check of the dispatcher's guarantees against it.
#ifndef SAPPHIREFLOW_TESTS_SCENARIOS_TRACE_H_
#define SAPPHIREFLOW_TESTS_SCENARIOS_TRACE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/job_spec.h"
#include "sapphireflow/model/vm_list.h"
#include "sapphireflow/settings/table_edit.h"
#include "script.h"

namespace sapphireflow::scenario {

/// @brief An attempt that a worker started, and how it ended there.
struct StartRecord {
  AttemptId attempt;
  std::string worker;
  std::string starter;  // the entry VM that sent the start
  Instant at;
  Instant ended_at = kNever;
  bool succeeded = false;
};

/// @brief A caller's request and the replies to it.
struct RequestRecord {
  std::string job;
  JobId id;
  std::string via;
  Incarnation via_incarnation = 0;
  Instant sent_at;
  Instant reply_by;
  bool is_query = false;  // a query for the answer, not a submission
  // no process accepted the connection, so the caller knows at once that the request was not taken
  bool connection_refused = false;
  std::vector<std::pair<Instant, JobAnswer>> replies;
};

/// @brief A submitted job and the number of starts that each of its tasks may have.
struct SubmittedJob {
  JobId id;
  JobSpecPtr spec;
  std::uint32_t allowed_starts = 1;
};

/// @brief An operator's table edit and the replies to it.
struct EditRecord {
  std::string id;
  std::string via;
  Instant sent_at;
  std::vector<std::pair<Instant, EditAnswer>> replies;
};

/// @brief A table version that came into force at a node.
struct VersionActivation {
  std::string node;
  Incarnation incarnation;
  std::uint64_t version;
  Instant at;
};

/// @brief A period in which an entry VM was killed, frozen or stopped. A planned outage begins when
/// the process ends, not when the stop is requested.
struct Outage {
  std::string name;
  Instant from;
  Instant to = kNever;
  bool planned = false;
  Incarnation incarnation = 0;
};

/// @brief Everything that the checkers need to know about a run.
struct Trace {
  std::vector<StartRecord> starts;
  std::vector<RequestRecord> requests;
  std::map<std::string, SubmittedJob> jobs;
  std::vector<EditRecord> edits;
  std::vector<VersionActivation> versions;
  // id of the edit that wrote each version to the store
  std::map<std::uint64_t, std::string> edit_by_version;
  // version in force at each entry VM that runs at the end
  std::map<std::string, std::uint64_t> final_versions;
  std::vector<Outage> outages;
  // entry VMs that a network partition affected at any time
  std::set<std::string> partitioned;
  // as above, except entry VMs that were partitioned one by one, and only from the platform: their
  // peers can still reach them
  std::set<std::string> partitioned_from_peers;
  // when the latest process of each entry VM started
  std::map<std::string, Instant> process_started_at;
  bool platform_down = false;  // at the end of the run
  // when the first entry VM could learn that a worker is leaving, from the VM list or from the
  // worker's reply
  std::map<std::string, Instant> leaving_since;
  int wasted_attempts = 0;  // attempts that ended as a failed task
  Instant first_step;
  Instant end;
};

/// @return one message for each violated guarantee and each unmet expectation.
std::vector<std::string> Check(const Script& script, const Trace& trace);

}  // namespace sapphireflow::scenario

#endif  // SAPPHIREFLOW_TESTS_SCENARIOS_TRACE_H_
