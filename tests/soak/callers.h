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
  void SubmitOne();
  /// @brief Asks every node about a queue that the newest configuration has added.
  void Probe(const std::string& queue, Instant acknowledged_at);
  /// @brief The configuration is about to add this queue and to remove the one added last.
  void SetNewest(const std::string& queue);
  /// @brief A node's process is another one from now on.
  void NodeRestarted(std::size_t node);
  /// @brief Whether planned stops are the only disturbance of the last seconds.
  void SetOnlyPlanned(bool only_planned) { m_only_planned = only_planned; }
  /// @brief Waits until every job has its last answer.
  void WaitForAll();

 private:
  struct Attempts {
    JobPlan plan;
    std::string body;
    std::uint32_t tries = 0;
    bool all_rejected = true;
  };
  using AttemptsPtr = std::shared_ptr<Attempts>;

  void Try(const AttemptsPtr& job);
  void TryLater(const AttemptsPtr& job, Duration pause);
  void OnAnswer(const AttemptsPtr& job, std::size_t node, const HttpResult& result);
  void Close(const AttemptsPtr& job, CallerOutcome end);
  int Pick(int below);

  const std::vector<Address> m_nodes;
  InvariantChecker& m_checker;
  const FaultTracker& m_fault_tracker;
  const Clock& m_clock;
  TimerThread& m_timers;
  HttpClient m_http;
  const std::uint32_t m_seed;
  std::atomic<bool> m_only_planned{false};
  std::mutex m_mutex;
  // all below guarded by m_mutex
  std::condition_variable m_changed;
  std::mt19937 m_random;
  std::uint64_t m_next_job = 1;
  std::size_t m_open = 0;
  // what each node's process has shown
  struct Shown {
    // newest added queue
    std::string queue;
    // number of the process
    std::uint32_t process = 0;
  };
  std::vector<Shown> m_shown;
  std::string m_newest;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_CALLERS_H_
