// Part of transport: the timer thread's queue and loop.
#include "sapphireflow/transport/timer_thread.h"

#include <exception>
#include <utility>

namespace sapphireflow {

TimerThread::TimerThread(const Clock& clock, OnFailure on_failure)
    : m_clock(clock), m_on_failure(std::move(on_failure)), m_thread([this] { Run(); }) {}

TimerThread::~TimerThread() { Stop(); }

void TimerThread::At(Instant at, Action action) {
  bool first = false;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    first = m_actions.empty() || at < m_actions.begin()->first;
    m_actions.emplace(at, std::move(action));
  }
  if (first) m_changed.notify_one();
}

void TimerThread::Stop() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_one();
  if (m_thread.joinable()) m_thread.join();
}

void TimerThread::Run() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopping) {
    if (m_actions.empty()) {
      m_changed.wait(lock);
      continue;
    }
    const Duration left = m_actions.begin()->first - m_clock.Now();
    if (left.count() > 0) {
      m_changed.wait_for(lock, left);
      continue;
    }
    const Action action = std::move(m_actions.begin()->second);
    m_actions.erase(m_actions.begin());
    lock.unlock();
    // an exception in an action must not end the thread, on which all other actions depend
    try {
      action();
    } catch (const std::exception& problem) {
      if (m_on_failure) m_on_failure(problem.what());
    }
    lock.lock();
  }
}

}  // namespace sapphireflow
