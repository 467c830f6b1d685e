// Part of ownership: one worker under one owner: what is ordered there, and when.
#include "sapphireflow/ownership/detail/worker_session.h"

#include <algorithm>
#include <utility>

namespace sapphireflow::detail {
namespace {

// a lost answer hides the ends on a worker for the wait and the slack; a lease has room for two
constexpr Duration kRenewalWait = std::chrono::milliseconds(400);
// beyond the wait: a worker answers in a millisecond, and a throttled core stalls for up to 100 ms
constexpr Duration kRenewalSlack = std::chrono::milliseconds(100);
// as the slack, and a little for the start itself
constexpr Duration kStartTimeout = std::chrono::milliseconds(120);
// while answers are being lost
constexpr Duration kHastyWait = std::chrono::milliseconds(60);
constexpr Duration kHastySlack = std::chrono::milliseconds(50);
constexpr Duration kHastyStartTimeout = std::chrono::milliseconds(60);
// a stop takes the platform's 50 ms at most
constexpr Duration kStopTimeout = std::chrono::milliseconds(250);
// once the former order's answer is overdue by any measure
constexpr Duration kStopAgain = std::chrono::milliseconds(200);
// how long coordinators have to claim what a new owner finds on a worker
constexpr Duration kAdoptionTime = std::chrono::milliseconds(300);
// declared run times are off by a half on average; a quarter of the runs' distribution in
// logarithms lies beyond twice the time, next to none beyond this
constexpr double kStragglerFactor = 4.0;
constexpr Duration kStragglerFloor = std::chrono::milliseconds(250);

}  // namespace

WorkerSession::WorkerSession(WorkerListing listing, FencingToken token, const LeaseLimits& limits,
                             Instant now)
    : m_listing(std::move(listing)), m_token(token), m_limits(limits), m_lease_sent(now) {}

bool WorkerSession::Usable() const {
  if (m_phase != Phase::kHeld || m_suspect || m_listing.draining()) return false;
  return std::all_of(m_runs.begin(), m_runs.end(),
                     [](const auto& item) { return item.second.coordinator.has_value(); });
}

Resources WorkerSession::Room() const {
  Resources room = m_listing.capacity();
  for (const auto& [run, record] : m_runs) room = room - record.needs;
  return room;
}

std::uint32_t WorkerSession::CountOfStep(const TaskKey& task) const {
  return static_cast<std::uint32_t>(
      std::count_if(m_runs.begin(), m_runs.end(), [&task](const auto& item) {
        const TaskKey& other = item.first.task();
        return other.job() == task.job() && other.occurrence() == task.occurrence() &&
               other.step() == task.step();
      }));
}

StartRun WorkerSession::Start(const WaitingRun& waiting, CallNumber call, Instant now, bool hasty) {
  Run record;
  record.coordinator = waiting.coordinator();
  record.needs = waiting.order().needs();
  record.estimate = waiting.order().estimate();
  record.start_token = m_token;
  record.start_call = call;
  record.since = now;
  record.repeated = !waiting.order().avoid().empty();
  m_runs[waiting.order().run()] = record;
  m_lease_sent = now;
  return {MakeCall(call, LeaseUntil(now)), waiting.order().run(), waiting.payload(),
          hasty ? kHastyStartTimeout : kStartTimeout};
}

bool WorkerSession::Adopt(const AdoptRun& adoption, Instant now, SessionNews& news) {
  const auto found = m_runs.find(adoption.run());
  if (found != m_runs.end()) {
    Run& record = found->second;
    record.coordinator = adoption.coordinator();
    record.needs = adoption.needs();
    record.estimate = adoption.estimate();
    if (record.phase == RunPhase::kRunning) {
      Tell(adoption.run(), record, RunNews::kStarted, RunEnd::kDone, "adopted", news);
    }
    return true;
  }
  Run record;
  record.coordinator = adoption.coordinator();
  record.needs = adoption.needs();
  record.estimate = adoption.estimate();
  record.since = now;
  if (m_phase == Phase::kFenced) {
    Tell(adoption.run(), record, RunNews::kReleased, RunEnd::kAbsent, "not_owner", news);
    return true;
  }
  if (m_phase == Phase::kOver) {
    // its next life tells how the run fares
    Tell(adoption.run(), record, RunNews::kReleased, RunEnd::kAbsent, "life_over", news);
    return true;
  }
  const auto ended = m_unclaimed_ends.find(adoption.run());
  if (ended != m_unclaimed_ends.end()) {
    Tell(adoption.run(), record, RunNews::kEnded, ended->second, "adopted", news);
    return true;
  }
  // Another owner may have started it since our last answer from the worker, and prolonged the
  // lease until now. An answer under a token above all that it used decides; until then the run
  // counts as one that may start.
  m_lease_sent = now;
  m_runs[adoption.run()] = record;
  return m_phase == Phase::kTaking;
}

bool WorkerSession::Cancel(const RunKey& run, const NodeId& coordinator) {
  const auto found = m_runs.find(run);
  if (found == m_runs.end()) return false;
  // another coordinator of the same job numbers its runs alike
  if (found->second.coordinator.value_or(coordinator) != coordinator) return false;
  found->second.stop_wanted = true;
  return true;
}

void WorkerSession::CancelAllOf(const NodeId& coordinator) {
  for (auto& [run, record] : m_runs) {
    if (record.coordinator == coordinator) record.stop_wanted = true;
  }
}

std::uint32_t WorkerSession::CancelStragglers(double slowness, Instant now) {
  std::uint32_t found = 0;
  for (auto& [run, record] : m_runs) {
    if (record.phase != RunPhase::kRunning || record.stop_wanted || !record.coordinator) continue;
    const auto expected = FromMillis(ToMillis(record.estimate) * slowness * kStragglerFactor);
    if (now - record.since < std::max(kStragglerFloor, expected)) continue;
    record.stop_wanted = true;
    record.straggler = true;
    ++found;
  }
  return found;
}

void WorkerSession::ExpireLeases(Instant now, SessionNews& news) {
  if (m_runs.empty() || now - m_lease_sent < m_limits.lapse_time()) return;
  if (m_phase != Phase::kHeld && m_phase != Phase::kTaking) return;
  // the newest answer came after the last order that could have prolonged the lease
  if (!m_suspect) return;
  for (const auto& [run, record] : m_runs) {
    if (!record.coordinator) continue;
    Tell(run, record, RunNews::kEnded, RunEnd::kLapsed, "worker_silent", news);
    ++news.failures;
  }
  m_runs.clear();
}

void WorkerSession::Release(SessionNews& news) {
  for (const auto& [run, record] : m_runs) {
    if (!record.coordinator) continue;
    Tell(run, record, RunNews::kReleased, RunEnd::kAbsent, "new_owner", news);
  }
  m_runs.clear();
}

void WorkerSession::Fence(SessionNews& news) {
  Release(news);
  m_phase = Phase::kFenced;
  news.fenced = true;
}

void WorkerSession::EndLife(const std::string& reason, SessionNews& news) {
  for (const auto& [run, record] : m_runs) {
    if (!record.coordinator) continue;
    // what was ordered since the last answer of this life may run in the next one, under the same
    // id
    const bool may_run = record.since >= m_answered_at;
    Tell(run, record, may_run ? RunNews::kReleased : RunNews::kEnded, RunEnd::kAbsent, reason,
         news);
  }
  m_runs.clear();
  m_unclaimed_ends.clear();
  m_acknowledged = 0;
  m_clock_ms.reset();
  m_phase = Phase::kOver;
  m_suspect = true;
  m_renew_now = true;
}

void WorkerSession::Retake(FencingToken token, Instant now) {
  m_token = token;
  // what another owner started may be there: nothing is started before the answer
  m_suspect = true;
  m_renew_now = true;
  m_renew_at = Instant{};
  if (m_phase != Phase::kFenced) return;
  m_phase = Phase::kTaking;
  m_lease_sent = now;
}

std::optional<RenewLease> WorkerSession::NextRenewal(CallNumber call, Instant now, bool hasty) {
  if (m_phase == Phase::kFenced || !m_renew_now || now < m_renew_at) return std::nullopt;
  m_renew_now = false;
  m_renewals.emplace(call, now);
  const bool adopted = std::any_of(m_runs.begin(), m_runs.end(), [](const auto& item) {
    return item.second.coordinator.has_value() && !item.second.stop_wanted;
  });
  // a worker that does not answer is only asked, so that the lease of its runs has an end
  const bool prolong = adopted && m_phase == Phase::kHeld && !m_suspect;
  if (prolong) m_lease_sent = now;
  const Duration usual_wait = hasty ? kHastyWait : kRenewalWait;
  const Duration wait = m_phase == Phase::kHeld && !m_suspect ? usual_wait : Duration::zero();
  return RenewLease(MakeCall(call, prolong ? LeaseUntil(now) : 0), m_acknowledged, wait,
                    wait + (hasty ? kHastySlack : kRenewalSlack));
}

std::vector<StopRun> WorkerSession::DueStops(std::atomic<CallNumber>& next_call, Instant now) {
  std::vector<StopRun> stops;
  if (m_phase != Phase::kHeld) return stops;
  for (auto& [run, record] : m_runs) {
    if (!record.coordinator && now - record.since >= kAdoptionTime) record.stop_wanted = true;
    if (!record.stop_wanted || now - record.stop_sent < kStopAgain) continue;
    record.stop_sent = now;
    stops.emplace_back(MakeCall(next_call++, 0), run, kStopTimeout);
  }
  return stops;
}

void WorkerSession::Tell(const RunKey& run, const Run& record, RunNews what, RunEnd end,
                         const std::string& reason, SessionNews& news) const {
  if (!record.coordinator) return;
  news.reports.emplace_back(*record.coordinator, RunReport(run, what, end, m_listing.id(), reason));
}

std::int64_t WorkerSession::LeaseUntil(Instant now) const {
  if (!m_clock_ms) return 0;
  const Duration since_read = now - m_clock_read_at;
  return *m_clock_ms + static_cast<std::int64_t>(ToMillis(since_read + m_limits.max_lease()));
}

WorkerCall WorkerSession::MakeCall(CallNumber call, std::int64_t lease_until_ms) const {
  return {m_listing.id(), m_listing.address(), m_token, call, lease_until_ms};
}

}  // namespace sapphireflow::detail
