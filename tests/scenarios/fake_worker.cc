// The worker's rules: an attempt starts at most once, runs only within its lease, and never
// restarts after a stop.
#include "fake_worker.h"

namespace sapphireflow::scenario {

void SimulatedClock::RunUntil(Instant end) {
  while (!m_actions.empty() && m_actions.begin()->first <= end) {
    auto node = m_actions.extract(m_actions.begin());
    m_now = node.key();
    node.mapped()();
  }
  m_now = end;
}

void FakeWorker::Start(const StartAttempt& start, const std::string& starter, Duration run,
                       const Reply& reply) {
  if (m_frozen) {
    m_deferred_calls.emplace_back(
        [this, start, starter, run, reply] { Start(start, starter, run, reply); });
    return;
  }
  const AttemptId& id = start.attempt();
  const Instant now = m_clock.now();
  AttemptEnd refusal = AttemptEnd::kSucceeded;
  if (m_ended.count(id) > 0 || m_running.count(id) > 0 || now >= start.lease_until()) {
    refusal = AttemptEnd::kRefused;
  } else if (m_faults.leaving) {
    refusal = AttemptEnd::kWorkerLeaving;
  } else if (m_faults.full || m_running.size() >= m_info.slots()) {
    refusal = AttemptEnd::kWorkerFull;
  }
  if (refusal != AttemptEnd::kSucceeded) {
    reply(AttemptReport(id, refusal, "refused"));
    return;
  }
  m_running.emplace(id, Running{m_trace.starts.size(), reply});
  m_trace.starts.push_back({id, m_name, starter, now});
  const Duration actual_run =
      m_faults.fail ? Duration(500) : FromMillis(ToMillis(run) * m_factor * m_faults.factor);
  const bool in_lease = now + actual_run <= start.lease_until();
  const AttemptEnd end = m_faults.fail ? AttemptEnd::kTaskFailed
                         : in_lease    ? AttemptEnd::kSucceeded
                                       : AttemptEnd::kStopped;
  if (m_faults.reset) reply(AttemptReport(id, AttemptEnd::kLost, "connection reset"));
  m_clock.At(std::min(now + actual_run, start.lease_until()), [this, id, end] { End(id, end); });
}

void FakeWorker::End(const AttemptId& id, AttemptEnd end) {
  if (m_frozen) {
    m_deferred_calls.emplace_back([this, id, end] { End(id, end); });
    return;
  }
  auto node = m_running.extract(id);
  if (!node) return;
  StartRecord& seen = m_trace.starts[node.mapped().start];
  seen.ended_at = m_clock.now();
  seen.succeeded = end == AttemptEnd::kSucceeded;
  const std::string result = std::to_string(id.job().sequence()) + "/" + std::to_string(id.task());
  const AttemptReport report(id, end, result);
  m_ended.emplace(id, report);
  node.mapped().reply(m_faults.drop_reply ? AttemptReport(id, AttemptEnd::kLost, "no reply")
                                          : report);
}

void FakeWorker::Stop(const AttemptId& id, const Reply& reply) {
  if (m_frozen) {
    m_deferred_calls.emplace_back([this, id, reply] { Stop(id, reply); });
    return;
  }
  End(id, AttemptEnd::kStopped);
  const auto ended = m_ended.emplace(id, AttemptReport(id, AttemptEnd::kRefused, "never started"));
  reply(ended.first->second);
}

void FakeWorker::Crash() {
  for (auto& [id, running] : m_running) {
    m_trace.starts[running.start].ended_at = m_clock.now();
    running.reply(AttemptReport(id, AttemptEnd::kLost, "connection reset"));
  }
  m_running.clear();
  m_ended.clear();
  m_deferred_calls.clear();
  m_dead = true;
  m_frozen = false;
}

void FakeWorker::Resume() {
  m_frozen = false;
  std::deque<std::function<void()>> deferred_calls;
  deferred_calls.swap(m_deferred_calls);
  for (const auto& action : deferred_calls) action();
}

}  // namespace sapphireflow::scenario
