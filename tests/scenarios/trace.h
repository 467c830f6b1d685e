// What happened in a scenario, and the checkers of the brief's promises over it.
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

/// A start counted at the worker, and how it ended there.
struct StartSeen {
  AttemptId attempt;
  std::string worker;
  std::string starter;  // the entry VM
  Instant at;
  Instant ended_at = kNever;
  bool succeeded = false;
};

/// A request of a caller, and what it was told.
struct RequestSeen {
  std::string job;
  JobId id;
  std::string via;
  Incarnation via_incarnation = 0;
  Instant sent_at;
  Instant reply_by;
  bool question = false;
  // no process answered there: the caller knows at once that nobody took the request
  bool connection_refused = false;
  std::vector<std::pair<Instant, JobAnswer>> replies;
};

struct JobSeen {
  JobId id;
  JobSpecPtr spec;
  std::uint32_t allowed_starts = 1;
};

struct EditSeen {
  std::string id;
  std::string via;
  Instant sent_at;
  std::vector<std::pair<Instant, EditAnswer>> replies;
};

struct VersionSeen {
  std::string node;
  Incarnation incarnation;
  std::uint64_t version;
  Instant at;
};

/// A time during which somebody could not act: killed, frozen, or stopped.
struct Outage {
  std::string name;
  Instant from;
  Instant to = kNever;
  bool planned = false;
  Incarnation incarnation = 0;
};

struct Trace {
  std::vector<StartSeen> starts;
  std::vector<RequestSeen> requests;
  std::map<std::string, JobSeen> jobs;
  std::vector<EditSeen> edits;
  std::vector<VersionSeen> versions;
  // each version of the store with the id of the edit that made it
  std::map<std::uint64_t, std::string> stored;
  // entry VMs alive in the end, with the version in force
  std::map<std::string, std::uint64_t> final_versions;
  std::vector<Outage> outages;
  std::set<std::string> cut_ever;
  // the same but for those cut only by themselves from the platform: they hear their peers
  std::set<std::string> cut_from_peers;
  // when each entry VM's last process began
  std::map<std::string, Instant> begun;
  bool platform_down = false;  // in the end
  // when the first entry VM could know that a worker leaves, by the list or by the worker's word
  std::map<std::string, Instant> leaving_since;
  int wasted_attempts = 0;
  Instant first_step;
  Instant end;
};

/// All promises that the trace breaks, and all expectations that it does not meet.
std::vector<std::string> Check(const Script& script, const Trace& trace);

}  // namespace sapphireflow::scenario

#endif  // SAPPHIREFLOW_TESTS_SCENARIOS_TRACE_H_
