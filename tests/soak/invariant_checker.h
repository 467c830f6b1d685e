// Records what callers and workers observe, and checks the guarantees of the service against it.
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

/// @brief A job as its caller submits it.
struct JobPlan {
  std::string name;
  std::string payload;
  std::uint32_t tasks = 1;
  std::int64_t milli_cores = 1000;  // of each task
  Duration run_duration{};
  bool poison = false;  // every run of its tasks fails
  bool deadly = false;  // its first task crashes each worker that starts it
  Instant submitted_at{};
};

/// @return whether a task of a job crashes each worker that starts it
bool IsDeadly(const JobPlan& plan, const std::string& task);

/// @brief Final outcome of a job as its caller sees it.
enum class CallerOutcome { kServed, kFailed, kRefused, kUnanswered };

/// @brief Number of jobs by outcome, and of runs that workers started.
struct Tally {
  std::uint32_t served = 0;
  std::uint32_t failed = 0;
  std::uint32_t refused = 0;
  std::uint32_t unanswered = 0;
  std::uint32_t starts = 0;
  std::uint32_t crashes = 0;  // of workers, under deadly tasks
};

/// @brief Checks the guarantees at each start, end and answer. Thread-safe.
class InvariantChecker {
 public:
  /// @brief Must be called before a job is submitted for the first time.
  void Submitted(const JobPlan& plan);
  /// @brief A caller has the final outcome of a job.
  /// @param all_rejected whether every submission was refused
  void Answered(const std::string& job, CallerOutcome end, bool all_rejected);
  /// @return whether a worker has started a task of a job
  bool HasStarted(const std::string& job) const;
  /// @return the plan of a job, or null if no caller submitted it
  const JobPlan* Find(const std::string& job) const;

  /// @brief A worker starts a run of a task.
  /// @param capacity of the worker, in thousandths of a core
  /// @param task name of the form JOB.OCCURRENCE.STEP.INDEX
  void Started(const std::string& worker, std::int64_t capacity, const std::string& task,
               const std::string& payload, Instant at);
  void Ended(const std::string& worker, const std::string& task, bool done);
  /// @brief A run of a deadly task has crashed its worker.
  void Crashed(const std::string& task);
  void WorkerRestarted(const std::string& worker);
  /// @brief Sets when the lease of a worker expires. Runs that are recorded for the worker after
  /// this time have ended by the worker's own clock, so that another worker may start their tasks.
  void SetLeaseExpiry(const std::string& worker, Instant at);
  void AddViolation(const std::string& what);

  /// @brief Checks the guarantees that depend on the complete history. Must be called after the
  /// run.
  void Finish();
  Tally tally() const;
  std::vector<std::string> violations() const;
  /// @brief Number of jobs submitted after a given time, and the names of those not served. Poison
  /// and deadly jobs do not count.
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
    // of its deadly task
    int crashes = 0;
    int starts_after_crashes = 0;
    bool answered = false;
    bool all_rejected = false;
    CallerOutcome end = CallerOutcome::kUnanswered;
  };
  static std::string JobNameOf(const std::string& task) { return task.substr(0, task.find('.')); }

  mutable std::mutex m_mutex;
  // all members below are guarded by m_mutex
  std::map<std::string, Job> m_jobs;
  // the workers on which each task runs now
  std::map<std::string, std::set<std::string>> m_running;
  std::map<std::string, std::int64_t> m_used_milli_cores;
  std::map<std::string, Instant> m_lease_expiries;
  std::vector<std::string> m_violations;
  std::uint32_t m_starts = 0;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_INVARIANT_CHECKER_H_
