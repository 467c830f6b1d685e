// Part of ownership: runs whose worker or coordinator may be lost.
#include <algorithm>
#include <utility>

#include "sapphireflow/dispatch/detail/job_key_text.h"
#include "sapphireflow/dispatch/detail/log_fields.h"
#include "sapphireflow/ownership/owner_shard.h"

namespace sapphireflow {

using detail::MillisText;

void OwnerShard::StopOrphans(OwnedWorker& owned, Instant now, OwnerEffects& out) {
  for (const detail::OrphanedRun& orphan : owned.session.CancelOrphans(now)) {
    out.emplace_back(LogEvent(
        LogLevel::kWarning, "orphan_stopped",
        detail::RunFields(
            orphan.run(),
            {{"worker", owned.session.listing().id()},
             {"coordinator", orphan.coordinator().text()},
             {"silent_ms", MillisText(now - m_liveness.AliveAt(orphan.coordinator(), now))},
             {"unconfirmed_ms", MillisText(now - orphan.wanted_at())}})));
  }
}

void OwnerShard::LogLoss(const OwnedWorker& owned, const WorkerLoss& loss, Instant now,
                         OwnerEffects& out) const {
  const Session& session = owned.session;
  std::string tasks;
  for (const TaskAtLoss& lost : loss.tasks()) {
    const TaskKey& task = lost.task();
    if (!tasks.empty()) tasks += ',';
    tasks += detail::JobKeyText(task.job()) + '.' + std::to_string(task.step()) + '.' +
             std::to_string(task.index());
    tasks += std::string("(") + LossRoleName(lost.role()) + ")";
  }
  const auto sign = session.first_sign();
  out.emplace_back(LogEvent(LogLevel::kWarning, "worker_runs_lost",
                            {{"worker", loss.incarnation().worker()},
                             {"state", LossStateName(loss.state())},
                             {"first_sign", sign ? CallOutcomeName(*sign) : ""},
                             {"silent_ms", sign ? MillisText(now - session.first_sign_at()) : ""},
                             {"queue", loss.queue()},
                             {"tasks", tasks}}));
}

void OwnerShard::ReportAnswersOfSuspects(const OwnedWorker& owned, OwnerEffects& out) const {
  const Session& session = owned.session;
  if (session.phase() != Session::Phase::kHeld || session.first_sign()) return;
  const WorkerIncarnation incarnation(session.listing());
  if (!m_crashes.IsSuspected(incarnation, session.answered_at())) return;
  out.emplace_back(WorkerLoss(incarnation, LossState::kCutOff, 0, "", {}));
}

bool OwnerShard::IsOrphaned(const WaitingRun& waiting, Instant now) const {
  const Instant wanted_at = std::max(
      waiting.wanted_at(), m_liveness.WantedAt(waiting.coordinator(), waiting.order().run(), now));
  return now - wanted_at >= m_limits.orphan_stop_after();
}

}  // namespace sapphireflow
