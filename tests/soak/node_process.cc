// Starts the process with posix_spawn.
#include "node_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

namespace sapphireflow::soak {
namespace {

// A signal that arrives before main() has blocked it ends the process.
constexpr std::chrono::milliseconds kLoadTime(100);

}  // namespace

NodeProcess::NodeProcess(std::string program, std::string settings, std::string log)
    : m_program(std::move(program)), m_settings(std::move(settings)), m_log(std::move(log)) {}

NodeProcess::~NodeProcess() { Kill(); }

bool NodeProcess::Start() {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kOutput = 1;
  constexpr int kErrors = 2;
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_addopen(&actions, kOutput, m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   kMode);
  posix_spawn_file_actions_adddup2(&actions, kOutput, kErrors);
  // an inherited socket stays open when this process closes it
  posix_spawn_file_actions_addclosefrom_np(&actions, kErrors + 1);
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
  m_started_at = std::chrono::steady_clock::now();
  m_asked_to_end_at.reset();
  m_killed = m_frozen = m_frozen_while_ending = m_signalled_at_start = false;
  return failed == 0;
}

void NodeProcess::Signal(int signal) {
  if (!running()) return;
  const Time now = std::chrono::steady_clock::now();
  if (signal == SIGTERM && !m_asked_to_end_at) m_asked_to_end_at = now;
  if (signal == SIGKILL) m_killed = true;
  if (signal == SIGSTOP) m_frozen = true;
  if (signal == SIGCONT) m_frozen = false;
  if (m_frozen && m_asked_to_end_at) m_frozen_while_ending = true;
  if ((signal == SIGTERM || signal == SIGHUP) && now - m_started_at < kLoadTime) {
    m_signalled_at_start = true;
  }
  kill(m_pid, signal);
}

void NodeProcess::Kill() {
  if (!running()) return;
  Signal(SIGKILL);
  waitpid(m_pid, nullptr, 0);
  m_pid = 0;
  m_exit_code = -SIGKILL;
}

std::string NodeProcess::EndProblem() const {
  if (m_killed) return "";
  if (m_signalled_at_start && (m_exit_code == -SIGTERM || m_exit_code == -SIGHUP)) return "";
  if (!m_asked_to_end_at) return "ended by itself with exit code " + std::to_string(m_exit_code);
  if (m_exit_code == 0) return "";
  return "was stopped and ended with exit code " + std::to_string(m_exit_code);
}

bool NodeProcess::MustBeKilled(Duration grace) const {
  if (!running()) return false;
  return m_killed ||
         (m_asked_to_end_at && std::chrono::steady_clock::now() - *m_asked_to_end_at > grace);
}

double NodeProcess::LongestCpuWaitMs() const {
  constexpr double kNanosPerMilli = 1e6;
  double longest = 0;
  std::error_code ignored;
  const std::string threads = "/proc/" + std::to_string(m_pid) + "/task";
  for (const auto& thread : std::filesystem::directory_iterator(threads, ignored)) {
    double ran = 0;
    double waited = 0;
    std::ifstream(thread.path() / "schedstat") >> ran >> waited;
    longest = std::max(longest, waited / kNanosPerMilli);
  }
  return longest;
}

bool NodeProcess::IsOverdue(Duration grace) const {
  return MustBeKilled(grace) && !m_killed && !m_frozen_while_ending;
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
