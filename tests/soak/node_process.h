// One dispatch node as a process of its own, under signals.
#ifndef SAPPHIREFLOW_TESTS_SOAK_NODE_PROCESS_H_
#define SAPPHIREFLOW_TESTS_SOAK_NODE_PROCESS_H_

#include <sys/types.h>

#include <string>

namespace sapphireflow::soak {

/// @brief Starts, signals and ends a process; only ever the one that it started.
class NodeProcess {
 public:
  /// @param settings path of its settings file
  /// @param log where its output goes
  NodeProcess(std::string program, std::string settings, std::string log);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /// @return whether it could be started
  bool Start();
  void Signal(int signal) const;
  /// @return whether the process has ended; its exit is taken note of.
  bool HasEnded();
  bool running() const { return m_pid > 0; }
  /// @brief Exit code of the last end, or the negative signal.
  int exit_code() const { return m_exit_code; }

 private:
  const std::string m_program;
  const std::string m_settings;
  const std::string m_log;
  // 0 while it does not run
  pid_t m_pid = 0;
  int m_exit_code = 0;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_NODE_PROCESS_H_
