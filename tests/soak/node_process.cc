// Starts the process with posix_spawn.
#include "node_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <utility>

namespace sapphireflow::soak {

NodeProcess::NodeProcess(std::string program, std::string settings, std::string log)
    : m_program(std::move(program)), m_settings(std::move(settings)), m_log(std::move(log)) {}

NodeProcess::~NodeProcess() {
  if (!running()) return;
  Signal(SIGKILL);
  waitpid(m_pid, nullptr, 0);
}

bool NodeProcess::Start() {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kOutput = 1;
  constexpr int kErrors = 2;
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_addopen(&actions, kOutput, m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   kMode);
  posix_spawn_file_actions_adddup2(&actions, kOutput, kErrors);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  // the child would inherit the signal mask of this thread, which may block signals that it handles
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  std::string option = "--settings";
  std::string program = m_program;
  std::string settings = m_settings;
  std::array<char*, 4> arguments = {program.data(), option.data(), settings.data(), nullptr};
  std::array<char*, 1> environment = {nullptr};
  const int failed = posix_spawn(&m_pid, m_program.c_str(), &actions, &attributes, arguments.data(),
                                 environment.data());
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) m_pid = 0;
  return failed == 0;
}

void NodeProcess::Signal(int signal) const {
  if (running()) kill(m_pid, signal);
}

bool NodeProcess::HasEnded() {
  if (!running()) return true;
  int status = 0;
  if (waitpid(m_pid, &status, WNOHANG) != m_pid) return false;
  m_pid = 0;
  m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return true;
}

}  // namespace sapphireflow::soak
