// Simulated callers: they submit and resubmit jobs, and probe which configuration is in force.
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
#include "open_connections.h"
#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/timer_thread.h"

namespace sapphireflow::soak {

/// @brief Generates load on all nodes. Connections stay open until the other side closes them.
/// Thread-safe.
class Callers {
 public:
  /// All references must outlive this object.
  /// @param nodes addresses at which callers reach the nodes
  Callers(std::vector<Address> nodes, InvariantChecker& checker, const FaultTracker& fault_tracker,
          const Clock& clock, TimerThread& timers, std::uint32_t seed);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// @brief Submits a new job with random size and run time to a random node.
  void SubmitRandomJob();
  /// @brief Submits a job with tasks of several seconds and a long deadline.
  void SubmitLongJob();
  /// @brief Submits a job with a long deadline whose first task crashes each worker that starts it.
  void SubmitDeadlyJob();
  /// @brief Checks on every node that a queue added by the newest configuration exists.
  /// @param acknowledged_at when the store acknowledged that configuration
  void Probe(const std::string& queue, Instant acknowledged_at);
  /// @brief Must be called before the configuration that adds this queue, and removes the one added
  /// before it, is written.
  void SetNewestQueue(const std::string& queue);
  /// @brief Must be called before the process of a node is started again: what the previous process
  /// answered to probes no longer counts.
  void NodeRestarted(std::size_t node);
  /// @brief Sets whether planned stops are the only faults of this run. A submission without
  /// an answer is a violation then.
  void SetOnlyPlannedStops(bool only_planned_stops) { m_only_planned_stops = only_planned_stops; }
  void ResetConnections() { m_http.ResetAll(); }
  /// @brief Blocks until every submitted job has its final outcome.
  void WaitForAll();

 private:
  struct SubmittedJob {
    JobPlan plan;
    std::string body;
    std::string queue;
    Duration deadline{};
    std::uint32_t attempt_count = 0;
    Instant sent_at{};
    bool all_rejected = true;
  };
  using SubmittedJobPtr = std::shared_ptr<SubmittedJob>;

  // draws the plan's sizes; needs m_mutex
  JobPlan RandomPlanLocked();
  void Submit(const JobPlan& plan, const std::string& queue, Duration deadline);
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
  OpenConnections m_http;
  const std::uint32_t m_seed;
  std::atomic<bool> m_only_planned_stops{false};
  std::mutex m_mutex;
  // all members below are guarded by m_mutex
  std::condition_variable m_changed;
  std::mt19937 m_random;
  std::uint64_t m_next_job = 1;
  std::size_t m_open_jobs = 0;
  // what probes have observed of the current process of a node
  struct NodeObservation {
    // newest queue that the process has answered for
    std::string queue;
    // incremented by each restart, so that answers to older probes are ignored
    std::uint32_t restart_count = 0;
  };
  std::vector<NodeObservation> m_observed;
  std::string m_newest_queue;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_CALLERS_H_
