// Part of ownership: one worker under one owner: what its answers tell of its runs.
#include <algorithm>
#include <set>
#include <utility>

#include "sapphireflow/ownership/detail/worker_session.h"

namespace sapphireflow::detail {
namespace {

// between renewals that get no answer; each is a priced look, and a lease lapses within a second
constexpr Duration kFirstPause = std::chrono::milliseconds(50);
constexpr Duration kLongestPause = std::chrono::milliseconds(1000);
// the directory shows a worker's next life within about this
constexpr Duration kPauseAfterEnd = std::chrono::milliseconds(1000);
// ends of a few seconds on a busy worker; bounds the memory of a new owner
constexpr std::size_t kMaxUnclaimedEnds = 2000;
constexpr std::uint32_t kMaxDoublings = 5;
// single answers are lost on the way; a worker that loses so many in a row is at fault
constexpr std::uint32_t kLostStartsForFailure = 3;

Duration PauseAfter(std::uint32_t missed) {
  return kFirstPause * (1U << std::min(missed, kMaxDoublings));
}

}  // namespace

void WorkerSession::OnStartReply(const StartReplied& reply, CallNumber newest_call, Instant now,
                                 SessionNews& news) {
  const auto found = m_runs.find(reply.run());
  if (found == m_runs.end() || found->second.start_call != reply.call() ||
      found->second.phase != RunPhase::kStarting) {
    return;
  }
  Run& record = found->second;
  switch (reply.outcome()) {
    case CallOutcome::kOk:
      m_lost_starts = 0;
      record.phase = RunPhase::kRunning;
      record.known_by_call = newest_call;
      Tell(reply.run(), record, RunNews::kStarted, RunEnd::kDone, "", news);
      return;
    case CallOutcome::kUnknown:
      // the run keeps its room until a renewal under a higher token shows what became of it
      m_suspect = true;
      news.answer_lost = true;
      if (++m_lost_starts >= kLostStartsForFailure) ++news.failures;
      return;
    case CallOutcome::kOtherLife:
      EndLife(CallOutcomeWord(reply.outcome()), news);
      return;
    case CallOutcome::kFenced:
      if (reply.token() == m_token) {
        Tell(reply.run(), record, RunNews::kDeclined, RunEnd::kAbsent, "fenced", news);
        m_runs.erase(found);
        Fence(news);
        return;
      }
      break;
    case CallOutcome::kUnhealthy:
    case CallOutcome::kNotSent:
      ++news.failures;
      m_suspect = true;
      m_renew_now = true;
      break;
    case CallOutcome::kExpired:
      if (reply.clock_ms() > 0) {
        m_clock_ms = reply.clock_ms();
        m_clock_read_at = now;
      }
      break;
    case CallOutcome::kStaleRun:
    case CallOutcome::kNoRoom:
    case CallOutcome::kBadOrder:
      break;
  }
  Tell(reply.run(), record, RunNews::kDeclined, RunEnd::kAbsent, CallOutcomeWord(reply.outcome()),
       news);
  m_runs.erase(found);
}

void WorkerSession::OnRenewal(const RenewalReplied& reply, Instant now, SessionNews& news) {
  m_renewals.erase(reply.call());
  // answers on different connections may overtake each other
  if (reply.call() <= m_newest_answered || m_phase == Phase::kFenced) return;
  switch (reply.outcome()) {
    case CallOutcome::kOk: {
      if (reply.token() != m_token) {
        // its lists may be older than what another owner did before this one took the worker anew
        m_renew_now = !NewerRenewalUnderWay(reply.call());
        return;
      }
      const WorkerReport& report = *reply.report();
      if (report.born_ms() != 0 && m_listing.born_ms() != 0 &&
          report.born_ms() != m_listing.born_ms()) {
        EndLife("reborn", news);
        return;
      }
      m_newest_answered = reply.call();
      m_answered_at = now;
      m_clock_ms = report.clock_ms();
      m_clock_read_at = now;
      m_missed = 0;
      m_phase = Phase::kHeld;
      m_suspect = false;
      TakeEnds(report, now, news);
      CompareRunning(reply, now, news);
      m_renew_now = !NewerRenewalUnderWay(reply.call());
      return;
    }
    case CallOutcome::kFenced:
      if (reply.token() == m_token) Fence(news);
      return;
    case CallOutcome::kOtherLife:
      EndLife(CallOutcomeWord(reply.outcome()), news);
      m_renew_at = now + kPauseAfterEnd;
      return;
    default:
      ++m_missed;
      m_suspect = true;
      m_renew_now = !NewerRenewalUnderWay(reply.call());
      news.answer_lost = true;
      // once at once: a single answer may be lost
      m_renew_at = m_missed == 1 ? now : now + std::min(kLongestPause, PauseAfter(m_missed));
  }
}

bool WorkerSession::NewerRenewalUnderWay(CallNumber call) const {
  return !m_renewals.empty() && m_renewals.rbegin()->first > call;
}

void WorkerSession::TakeEnds(const WorkerReport& report, Instant now, SessionNews& news) {
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
      news.finished.emplace_back(record.estimate, now - record.since);
    } else if (record.straggler ||
               (ended.end() == RunEnd::kFailed && TellsOfWorker(ended.run(), record))) {
      ++news.failures;
    }
    if (record.coordinator) {
      Tell(ended.run(), record, RunNews::kEnded, ended.end(), record.straggler ? "straggler" : "",
           news);
    } else {
      m_unclaimed_ends[ended.run()] = ended.end();
    }
    m_runs.erase(found);
  }
}

bool WorkerSession::TellsOfWorker(const RunKey& run, const Run& record) {
  const JobKey job = run.task().job();
  if (record.repeated || m_failed_job == job) return false;
  m_failed_job = job;
  return true;
}

void WorkerSession::CompareRunning(const RenewalReplied& reply, Instant now, SessionNews& news) {
  const auto& listed = reply.report()->running();
  const std::set<RunKey> running(listed.begin(), listed.end());
  for (auto item = m_runs.begin(); item != m_runs.end();) {
    Run& record = item->second;
    const bool is_listed = running.count(item->first) > 0;
    if (is_listed && record.phase == RunPhase::kStarting) {
      record.phase = RunPhase::kRunning;
      record.known_by_call = reply.call();
      Tell(item->first, record, RunNews::kStarted, RunEnd::kDone, "listed", news);
    } else if (!is_listed && record.phase == RunPhase::kStarting &&
               record.start_token < reply.token()) {
      // It cannot start any more. But it may have run: an owner in between may have taken note of
      // its end, which the worker has forgotten then.
      Tell(item->first, record, RunNews::kEnded, RunEnd::kAbsent, "not_there", news);
      item = m_runs.erase(item);
      continue;
    } else if (!is_listed && record.phase == RunPhase::kRunning &&
               reply.call() > record.known_by_call) {
      Tell(item->first, record, RunNews::kEnded, RunEnd::kAbsent, "not_listed", news);
      ++news.failures;
      item = m_runs.erase(item);
      continue;
    }
    ++item;
  }
  for (const RunKey& run : running) {
    if (m_runs.count(run) > 0) continue;
    Run record;
    record.phase = RunPhase::kRunning;
    record.known_by_call = reply.call();
    record.since = now;
    m_runs[run] = record;
  }
}

}  // namespace sapphireflow::detail
