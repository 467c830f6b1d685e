// Callers that hand jobs in, hand them in again, and ask which configuration is in force.
#ifndef SAPPHIREFLOW_TESTS_SOAK_CALLERS_H_
#define SAPPHIREFLOW_TESTS_SOAK_CALLERS_H_

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "fault_tracker.h"
#include "invariant_checker.h"
#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/http_client.h"
#include "sapphireflow/transport/timer_thread.h"

namespace sapphireflow::soak {

/// @brief Load on all nodes. Connections are kept until the other side ends them. Thread-safe.
class Callers {
 public:
  /// References outlive the callers.
  /// @param nodes addresses at which the nodes' fronts are reached
  Callers(std::vector<Address> nodes, InvariantChecker& checker, const FaultTracker& fault_tracker,
          const Clock& clock, TimerThread& timers, std::uint32_t seed);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// @brief Hands a new job in.
  void SubmitRandomJob();
  /// @brief Asks every node about a queue that the newest configuration has added.
  void Probe(const std::string& queue, Instant acknowledged_at);
  /// @brief The configuration is about to add this queue and to remove the one added last.
  void SetNewestQueue(const std::string& queue);
  /// @brief A node's process is another one from now on.
  void NodeRestarted(std::size_t node);
  /// @brief Whether planned stops are the only disturbance of the last seconds.
  void SetOnlyPlannedStops(bool only_planned_stops) { m_only_planned_stops = only_planned_stops; }
  /// @brief Waits until every job has its last answer.
  void WaitForAll();

 private:
  struct SubmittedJob {
    JobPlan plan;
    std::string body;
    std::uint32_t attempt_count = 0;
    bool all_rejected = true;
  };
  using SubmittedJobPtr = std::shared_ptr<SubmittedJob>;

  void SendSubmission(const SubmittedJobPtr& job);
  void RetryAfter(const SubmittedJobPtr& job, Duration pause);
  void OnAnswer(const SubmittedJobPtr& job, std::size_t node, const HttpResult& result);
  void FinishJob(const SubmittedJobPtr& job, CallerOutcome end);
  int RandomBelow(int below);

  const std::vector<Address> m_nodes;
  InvariantChecker& m_checker;
  const FaultTracker& m_fault_tracker;
  const Clock& m_clock;
  TimerThread& m_timers;
  HttpClient m_http;
  const std::uint32_t m_seed;
  std::atomic<bool> m_only_planned_stops{false};
  std::mutex m_mutex;
  // all below guarded by m_mutex
  std::condition_variable m_changed;
  std::mt19937 m_random;
  std::uint64_t m_next_job = 1;
  std::size_t m_open_jobs = 0;
  // what each node's process has shown
  struct NodeObservation {
    // newest added queue
    std::string queue;
    // number of the process
    std::uint32_t restart_count = 0;
  };
  std::vector<NodeObservation> m_observed;
  std::string m_newest_queue;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_CALLERS_H_
