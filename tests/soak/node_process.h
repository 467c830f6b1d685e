// Runs one dispatch node as a child process.
#ifndef SAPPHIREFLOW_TESTS_SOAK_NODE_PROCESS_H_
#define SAPPHIREFLOW_TESTS_SOAK_NODE_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>

#include "sapphireflow/model/time.h"

namespace sapphireflow::soak {

/// @brief Starts, signals and ends a child process. Signals only the process that it started.
class NodeProcess {
 public:
  /// @param settings path of the settings file
  /// @param log path of the file to which standard output and standard error are appended
  NodeProcess(std::string program, std::string settings, std::string log);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /// @return whether the process could be started
  bool Start();
  void Signal(int signal);
  /// @brief Kills the process and waits for its end.
  void Kill();
  /// @brief Checks without blocking whether the process has ended, and records its exit code if so.
  bool HasEnded();
  bool running() const { return m_pid > 0; }
  /// @brief Id of the process; 0 if none runs.
  pid_t pid() const { return m_pid; }
  /// @brief What is wrong with how the last process ended: it was not asked to, or it was stopped
  /// and reported a failure. Empty if nothing is.
  std::string EndProblem() const;
  /// @return whether the process still runs although it was asked to end longer ago than `grace`.
  /// One that was frozen in between is not overdue.
  bool IsOverdue(Duration grace) const;
  /// @return whether it still runs although it was killed, or was asked to end longer ago than
  /// `grace`
  bool MustBeKilled(Duration grace) const;
  /// @brief How long the thread that waited longest for a processor has done so in all. Tells a
  /// busy machine from a process that hangs.
  double LongestCpuWaitMs() const;
  /// @brief Exit code of the process that ended last; the negative signal number if a signal ended
  /// it.
  int exit_code() const { return m_exit_code; }

 private:
  using Time = std::chrono::steady_clock::time_point;

  const std::string m_program;
  const std::string m_settings;
  const std::string m_log;
  pid_t m_pid = 0;
  int m_exit_code = 0;
  // of the process that was started last
  Time m_started_at;
  std::optional<Time> m_asked_to_end_at;
  bool m_killed = false;
  bool m_frozen = false;
  bool m_frozen_while_ending = false;
  bool m_signalled_at_start = false;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_NODE_PROCESS_H_
