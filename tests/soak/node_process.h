// Runs one dispatch node as a child process.
#ifndef SAPPHIREFLOW_TESTS_SOAK_NODE_PROCESS_H_
#define SAPPHIREFLOW_TESTS_SOAK_NODE_PROCESS_H_

#include <sys/types.h>

#include <string>

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
  void Signal(int signal) const;
  /// @brief Checks without blocking whether the process has ended, and records its exit code if so.
  bool HasEnded();
  bool running() const { return m_pid > 0; }
  /// @brief Exit code of the process that ended last; the negative signal number if a signal ended
  /// it.
  int exit_code() const { return m_exit_code; }

 private:
  const std::string m_program;
  const std::string m_settings;
  const std::string m_log;
  // 0 while no process runs
  pid_t m_pid = 0;
  int m_exit_code = 0;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_NODE_PROCESS_H_
