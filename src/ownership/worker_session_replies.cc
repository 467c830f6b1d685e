// Part of ownership: how a worker's replies update the state of its runs.
#include <algorithm>
#include <set>
#include <utility>

#include "sapphireflow/ownership/detail/worker_session.h"

namespace sapphireflow::detail {
namespace {

// Delays between renewals without a reply: each call is charged, and a lease expires within a
// second.
constexpr Duration kInitialRenewalBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxRenewalBackoff = std::chrono::milliseconds(1000);
// The directory lists a worker's next incarnation within about this time.
constexpr Duration kPauseAfterProcessEnd = std::chrono::milliseconds(1000);
// Runs that end within a few seconds on a busy worker; bounds the memory use of a new owner.
constexpr std::size_t kMaxUnclaimedEnds = 2000;
constexpr std::uint32_t kMaxRenewalDoublings = 5;
// Single replies get lost in the network; this many lost in a row count as a failure of the worker.
constexpr std::uint32_t kLostStartsForFailure = 3;

Duration RenewalBackoff(std::uint32_t missed) {
  return kInitialRenewalBackoff * (1U << std::min(missed, kMaxRenewalDoublings));
}

}  // namespace

void WorkerSession::OnStartReply(const StartReplied& reply, CallNumber newest_call, Instant now,
                                 SessionDelta& delta) {
  const auto found = m_runs.find(reply.run());
  if (found == m_runs.end() || found->second.start_call != reply.call() ||
      found->second.phase != RunPhase::kStarting) {
    return;
  }
  Run& record = found->second;
  switch (reply.outcome()) {
    case CallOutcome::kOk:
      m_consecutive_lost_starts = 0;
      record.phase = RunPhase::kRunning;
      record.must_list_after_call = newest_call;
      AddReport(reply.run(), record, RunTransition::kStarted, RunEnd::kDone, "", delta);
      return;
    case CallOutcome::kUnknown:
    case CallOutcome::kDisconnected:
      // the run occupies its resources until a renewal under a higher token shows its state
      m_suspect = true;
      NoteNoAnswer(reply.outcome(), now, delta);
      delta.reply_lost = true;
      if (++m_consecutive_lost_starts >= kLostStartsForFailure) ++delta.failures;
      return;
    case CallOutcome::kOtherIncarnation:
      EndIncarnation(CallOutcomeName(reply.outcome()), now, delta);
      return;
    case CallOutcome::kFenced:
      if (reply.token() == m_token) {
        AddReport(reply.run(), record, RunTransition::kDeclined, RunEnd::kAbsent, "fenced", delta);
        m_runs.erase(found);
        MarkFenced(delta);
        return;
      }
      break;
    case CallOutcome::kUnhealthy:
    case CallOutcome::kConnectionRefused:
      ++delta.failures;
      m_suspect = true;
      m_renewal_wanted = true;
      AddReport(reply.run(), record, RunTransition::kDeclined, RunEnd::kAbsent,
                CallOutcomeName(reply.outcome()), delta);
      // the run is not among those that may have crashed the worker
      m_runs.erase(found);
      NoteNoAnswer(reply.outcome(), now, delta);
      return;
    case CallOutcome::kExpired:
      if (reply.clock_ms() > 0) {
        m_worker_clock_ms = reply.clock_ms();
        m_worker_clock_read_at = now;
      }
      break;
    // this VM may have been too late to send it; a worker that is away shows by its renewals
    case CallOutcome::kNotSent:
    case CallOutcome::kStaleRun:
    case CallOutcome::kNoFreeCapacity:
    case CallOutcome::kBadOrder:
      break;
  }
  AddReport(reply.run(), record, RunTransition::kDeclined, RunEnd::kAbsent,
            CallOutcomeName(reply.outcome()), delta);
  m_runs.erase(found);
}

void WorkerSession::OnRenewal(const RenewalReplied& reply, Instant now, SessionDelta& delta) {
  m_pending_renewals.erase(reply.call());
  // replies on different connections may arrive out of order
  if (reply.call() <= m_newest_answered_call || m_phase == Phase::kFenced) return;
  switch (reply.outcome()) {
    case CallOutcome::kOk: {
      if (reply.token() != m_token) {
        // the report may predate what another owner did before this one reacquired the worker
        m_renewal_wanted = !HasNewerRenewalInFlight(reply.call());
        return;
      }
      const WorkerReport& report = *reply.report();
      if (report.process_start_ms() != 0 && m_listing.process_start_ms() != 0 &&
          report.process_start_ms() != m_listing.process_start_ms()) {
        EndIncarnation("reborn", now, delta);
        m_renew_after = now + kPauseAfterProcessEnd;
        return;
      }
      m_newest_answered_call = reply.call();
      m_answered_at = now;
      m_reported_token = reply.token();
      m_worker_clock_ms = report.clock_ms();
      m_worker_clock_read_at = now;
      m_missed_renewals = 0;
      m_phase = Phase::kHeld;
      m_suspect = false;
      m_first_sign.reset();
      if (m_loss) ReportLoss(LossState::kCutOff, now, delta);
      ProcessEndedRuns(report, now, delta);
      ReconcileRunning(reply, now, delta);
      m_renewal_wanted = !HasNewerRenewalInFlight(reply.call());
      return;
    }
    case CallOutcome::kFenced:
      if (reply.token() == m_token) MarkFenced(delta);
      return;
    case CallOutcome::kOtherIncarnation:
      EndIncarnation(CallOutcomeName(reply.outcome()), now, delta);
      m_renew_after = now + kPauseAfterProcessEnd;
      return;
    default:
      ++m_missed_renewals;
      m_suspect = true;
      NoteNoAnswer(reply.outcome(), now, delta);
      m_renewal_wanted = !HasNewerRenewalInFlight(reply.call());
      // an entry may name an address at which there is no worker
      delta.reply_lost = m_answered_at != Instant{};
      // the first retry is immediate, because a single reply may have been lost
      m_renew_after = m_missed_renewals == 1
                          ? now
                          : now + std::min(kMaxRenewalBackoff, RenewalBackoff(m_missed_renewals));
  }
}

bool WorkerSession::HasNewerRenewalInFlight(CallNumber call) const {
  return !m_pending_renewals.empty() && m_pending_renewals.rbegin()->first > call;
}

void WorkerSession::ProcessEndedRuns(const WorkerReport& report, Instant now, SessionDelta& delta) {
  for (const EndedRun& ended : report.ended()) {
    if (ended.number() <= m_acknowledged) continue;
    m_acknowledged = ended.number();
    const auto found = m_runs.find(ended.run());
    if (found == m_runs.end()) {
      if (m_unclaimed_ends.size() < kMaxUnclaimedEnds) {
        m_unclaimed_ends[ended.run()] = ended.end();
      }
      continue;
    }
    const Run& record = found->second;
    if (ended.end() == RunEnd::kDone) {
      delta.finished.emplace_back(record.estimate, now - record.tracked_since);
    } else if (record.straggler ||
               (ended.end() == RunEnd::kFailed && CountsAgainstWorker(ended.run(), record))) {
      ++delta.failures;
    }
    if (record.coordinator) {
      AddReport(ended.run(), record, RunTransition::kEnded, ended.end(),
                record.straggler ? "straggler" : "", delta);
    } else {
      m_unclaimed_ends[ended.run()] = ended.end();
    }
    m_runs.erase(found);
  }
}

bool WorkerSession::CountsAgainstWorker(const RunKey& run, const Run& record) {
  const JobKey job = run.task().job();
  if (record.is_retry || m_last_failed_job == job) return false;
  m_last_failed_job = job;
  return true;
}

void WorkerSession::ReconcileRunning(const RenewalReplied& reply, Instant now,
                                     SessionDelta& delta) {
  const auto& listed = reply.report()->running();
  const std::set<RunKey> running(listed.begin(), listed.end());
  for (auto item = m_runs.begin(); item != m_runs.end();) {
    Run& record = item->second;
    const bool is_listed = running.count(item->first) > 0;
    if (is_listed && record.phase == RunPhase::kStarting) {
      record.phase = RunPhase::kRunning;
      record.must_list_after_call = reply.call();
      AddReport(item->first, record, RunTransition::kStarted, RunEnd::kDone, "listed", delta);
    } else if (!is_listed && record.phase == RunPhase::kStarting &&
               record.start_token < reply.token()) {
      // The run can no longer start, but it may have run: an owner in between may have
      // acknowledged its end, whereupon the worker forgot it.
      AddReport(item->first, record, RunTransition::kEnded, RunEnd::kAbsent, "not_there", delta);
      item = m_runs.erase(item);
      continue;
    } else if (!is_listed && record.phase == RunPhase::kRunning &&
               reply.call() > record.must_list_after_call) {
      AddReport(item->first, record, RunTransition::kEnded, RunEnd::kAbsent, "not_listed", delta);
      ++delta.failures;
      item = m_runs.erase(item);
      continue;
    }
    ++item;
  }
  for (const RunKey& run : running) {
    if (m_runs.count(run) > 0) continue;
    Run record;
    record.phase = RunPhase::kRunning;
    record.must_list_after_call = reply.call();
    record.tracked_since = now;
    record.wanted_at = m_liveness.WantedByAllAt(run, now);
    m_runs[run] = record;
  }
}

}  // namespace sapphireflow::detail
