// The simulated clock, and a worker that runs on it.
#ifndef SAPPHIREFLOW_TESTS_SCENARIOS_FAKE_WORKER_H_
#define SAPPHIREFLOW_TESTS_SCENARIOS_FAKE_WORKER_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "sapphireflow/execution/attempt_report.h"
#include "sapphireflow/execution/shard_effect.h"
#include "script.h"
#include "trace.h"

namespace sapphireflow::scenario {

/// @brief A simulated clock with a queue of timed actions. Actions run in order of time; those of
/// one instant run in the order in which they were added.
class SimulatedClock {
 public:
  using Action = std::function<void()>;
  Instant now() const { return m_now; }
  void At(Instant at, Action action) { m_actions.emplace(std::max(at, m_now), std::move(action)); }
  void After(Duration delay, Action action) { At(m_now + delay, std::move(action)); }
  /// @brief Runs all actions up to and including `end`, then sets the clock to `end`.
  void RunUntil(Instant end);

 private:
  Instant m_now{std::chrono::hours(24 * 365 * 50)};
  std::multimap<Instant, Action> m_actions;
};

/// @brief A simulated worker. Follows the same rules as tests/standins/standin_worker.cc.
class FakeWorker {
 public:
  using Reply = std::function<void(const AttemptReport&)>;
  FakeWorker(std::string name, const Worker& info, double factor, SimulatedClock& clock,
             Trace& trace)
      : m_name(std::move(name)), m_info(info), m_factor(factor), m_clock(clock), m_trace(trace) {}

  void Start(const StartAttempt& start, const std::string& starter, Duration run,
             const Reply& reply);
  void Stop(const AttemptId& attempt, const Reply& reply);
  void Crash();
  void Relaunch() { m_dead = false; }
  void Freeze() { m_frozen = true; }
  void Resume();
  void SetFaults(const Step& faults) { m_faults = faults; }
  const std::string& name() const { return m_name; }
  const Worker& info() const { return m_info; }
  bool dead() const { return m_dead; }

 private:
  struct Running {
    std::size_t start;  // index into Trace::starts
    Reply reply;
  };
  void End(const AttemptId& attempt, AttemptEnd end);

  const std::string m_name;
  const Worker m_info;
  const double m_factor;
  SimulatedClock& m_clock;
  Trace& m_trace;
  Step m_faults;
  std::map<AttemptId, Running> m_running;
  std::map<AttemptId, AttemptReport> m_ended;
  std::deque<std::function<void()>> m_deferred_calls;  // calls received while frozen, run on resume
  bool m_dead = false;
  bool m_frozen = false;
};

}  // namespace sapphireflow::scenario

#endif  // SAPPHIREFLOW_TESTS_SCENARIOS_FAKE_WORKER_H_
