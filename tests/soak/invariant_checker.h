// What callers and workers saw, and the promises checked as they see it.
#ifndef SAPPHIREFLOW_TESTS_SOAK_INVARIANT_CHECKER_H_
#define SAPPHIREFLOW_TESTS_SOAK_INVARIANT_CHECKER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "sapphireflow/model/time.h"

namespace sapphireflow::soak {

/// @brief A job as its caller hands it in.
struct JobPlan {
  std::string name;
  std::string payload;
  std::uint32_t tasks = 1;
  std::int64_t milli_cores = 1000;
  Duration run_duration{};
  bool poison = false;
  Instant submitted_at{};
};

/// @brief How a caller's job ended.
enum class CallerOutcome { kServed, kFailed, kRefused, kUnanswered };

struct Tally {
  std::uint32_t served = 0;
  std::uint32_t failed = 0;
  std::uint32_t refused = 0;
  std::uint32_t unanswered = 0;
  std::uint32_t starts = 0;
};

/// @brief Checks promises as starts, ends and answers are seen. Thread-safe.
class InvariantChecker {
 public:
  /// @brief A caller is about to hand a job in for the first time.
  void Submitted(const JobPlan& plan);
  /// @brief A caller has its last answer for a job.
  /// @param all_rejected every attempt was answered by a refusal
  void Answered(const std::string& job, CallerOutcome end, bool all_rejected);
  /// @return the plan of a job; null for a job that nobody submitted.
  const JobPlan* Find(const std::string& job) const;

  /// @param task JOB.OCCURRENCE.STEP.INDEX
  void Started(const std::string& worker, std::int64_t capacity, const std::string& task,
               const std::string& payload, Instant at);
  void Ended(const std::string& worker, const std::string& task, bool done);
  void WorkerRestarted(const std::string& worker);
  /// @brief All that runs on the worker is over at this time, unless it is told a later one: what
  /// is still listed then has ended by the worker's own clock.
  void SetLeaseExpiry(const std::string& worker, Instant at);
  void AddViolation(const std::string& what);

  /// @brief After the run: the promises that need the whole story.
  void Finish();
  Tally tally() const;
  std::vector<std::string> violations() const;
  /// @brief Jobs handed in after a time: how many, and those that were not served, by name.
  struct FaultFreeJobs {
    std::uint32_t jobs = 0;
    std::vector<std::string> not_served;
  };
  FaultFreeJobs JobsSubmittedSince(Instant since) const;

 private:
  struct Job {
    JobPlan plan;
    std::set<std::string> started;
    std::set<std::string> done;
    bool answered = false;
    bool all_rejected = false;
    CallerOutcome end = CallerOutcome::kUnanswered;
  };
  static std::string JobNameOf(const std::string& task) { return task.substr(0, task.find('.')); }

  mutable std::mutex m_mutex;
  // all below guarded by m_mutex
  std::map<std::string, Job> m_jobs;
  // where each task runs now
  std::map<std::string, std::set<std::string>> m_running;
  std::map<std::string, std::int64_t> m_used_milli_cores;
  std::map<std::string, Instant> m_lease_expiries;
  std::vector<std::string> m_violations;
  std::uint32_t m_starts = 0;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_INVARIANT_CHECKER_H_
