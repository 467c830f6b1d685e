// Part of transport: a thread that runs timers.
#ifndef SAPPHIREFLOW_TRANSPORT_TIMER_THREAD_H_
#define SAPPHIREFLOW_TRANSPORT_TIMER_THREAD_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "sapphireflow/transport/clock.h"

namespace sapphireflow {

/// @brief Runs actions at given times, one after the other on its own thread. Thread-safe.
class TimerThread {
 public:
  using Action = std::function<void()>;
  /// @brief Told of the exceptions that actions throw; must not throw.
  using OnFailure = std::function<void(const std::string& reason)>;
  explicit TimerThread(const Clock& clock, OnFailure on_failure = {});
  ~TimerThread();
  TimerThread(const TimerThread&) = delete;
  TimerThread& operator=(const TimerThread&) = delete;

  /// @brief Runs `action` at `at`, or as soon as possible if that is past. Complexity: logarithmic.
  void At(Instant at, Action action);
  /// @brief Stops and joins the thread; pending actions are dropped.
  void Stop();

 private:
  void Run();

  const Clock& m_clock;
  const OnFailure m_on_failure;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  // invariant: guarded by m_mutex
  std::multimap<Instant, Action> m_actions;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_TIMER_THREAD_H_
