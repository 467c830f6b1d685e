// Part of ownership: which requests an owner sends to a worker, and when.
#include "sapphireflow/ownership/detail/worker_session.h"

#include <algorithm>
#include <utility>

#include "sapphireflow/dispatch/shortest_run_time.h"

namespace sapphireflow::detail {
namespace {

// A lost reply delays the reports of ended runs by the wait plus the slack; two such delays fit
// into a lease.
constexpr Duration kRenewalWait = std::chrono::milliseconds(400);
// Reply time beyond the wait: a worker replies within 1 ms, but a throttled core stalls for up to
// 100 ms.
constexpr Duration kRenewalSlack = std::chrono::milliseconds(100);
// The slack, plus some time for the start itself.
constexpr Duration kStartTimeout = std::chrono::milliseconds(120);
// These apply while replies are being lost; the wait also while runs are unclaimed.
constexpr Duration kShortRenewalWait = std::chrono::milliseconds(60);
constexpr Duration kShortRenewalSlack = std::chrono::milliseconds(50);
constexpr Duration kShortStartTimeout = std::chrono::milliseconds(60);
// The platform stops a run within 50 ms.
constexpr Duration kStopTimeout = std::chrono::milliseconds(250);
// By then the reply to the previous stop request is certainly overdue.
constexpr Duration kStopRetryInterval = std::chrono::milliseconds(200);
// How long coordinators have to adopt the runs that a new owner finds on a worker.
constexpr Duration kAdoptionWait = std::chrono::milliseconds(300);
// Declared run times are rough. A run that takes this many times what the worker's runs take on
// average is more likely to stand still than to be long.
constexpr double kStragglerFactor = 4.0;
constexpr Duration kMinStragglerTime = std::chrono::milliseconds(250);
constexpr std::uint32_t kClosedConnectionsOfLoss = 2;
// Tasks of one job are started together.
constexpr Duration kSameStart = std::chrono::milliseconds(5);
// A run that is this young when its worker crashes counts against its queue. Few workers that crash
// for another reason have one.
constexpr Duration kJustStarted = std::chrono::milliseconds(50);

}  // namespace

WorkerSession::WorkerSession(WorkerListing listing, FencingToken token, const LeaseLimits& limits,
                             const CoordinatorLiveness& liveness, Instant now)
    : m_listing(std::move(listing)),
      m_token(token),
      m_limits(limits),
      m_liveness(liveness),
      m_lease_extended_at(now) {}

bool WorkerSession::Usable() const {
  return m_phase == Phase::kHeld && !m_suspect && !m_listing.draining() && !m_evacuated &&
         AllClaimed();
}

bool WorkerSession::AllClaimed() const {
  return std::all_of(m_runs.begin(), m_runs.end(),
                     [](const auto& item) { return item.second.coordinator.has_value(); });
}

Resources WorkerSession::FreeCapacity() const {
  Resources free_capacity = m_listing.capacity();
  for (const auto& [run, record] : m_runs) free_capacity = free_capacity - record.needs;
  return free_capacity;
}

std::uint32_t WorkerSession::CountRunsOfStep(const TaskKey& task) const {
  return static_cast<std::uint32_t>(
      std::count_if(m_runs.begin(), m_runs.end(), [&task](const auto& item) {
        const TaskKey& other = item.first.task();
        return other.job() == task.job() && other.occurrence() == task.occurrence() &&
               other.step() == task.step();
      }));
}

StartRun WorkerSession::Start(const WaitingRun& waiting, CallNumber call, Instant now,
                              bool short_timeouts) {
  Run record;
  record.coordinator = waiting.coordinator();
  record.needs = waiting.order().needs();
  record.estimate = waiting.order().estimate();
  record.start_token = m_token;
  record.start_call = call;
  record.tracked_since = now;
  record.wanted_at = std::max(
      waiting.wanted_at(), m_liveness.WantedAt(waiting.coordinator(), waiting.order().run(), now));
  record.is_retry = !waiting.order().avoid().empty();
  record.useful_until = waiting.useful_until();
  record.queue = waiting.queue();
  record.alone = waiting.order().alone();
  m_runs[waiting.order().run()] = record;
  m_lease_extended_at = now;
  return {MakeCall(call, LeaseExpiryMs(now)), waiting.order().run(), waiting.payload(),
          short_timeouts ? kShortStartTimeout : kStartTimeout};
}

AdoptedState WorkerSession::Adopt(const AdoptRun& adoption, Instant now, SessionDelta& delta) {
  const auto found = m_runs.find(adoption.run());
  if (found != m_runs.end()) {
    Run& record = found->second;
    record.coordinator = adoption.coordinator();
    record.needs = adoption.needs();
    record.estimate = adoption.estimate();
    record.alone = adoption.alone();
    if (!adoption.to_stop()) {
      record.wanted_at = std::max(record.wanted_at, ClaimedAt(adoption, now));
    }
    record.must_stop = record.must_stop || adoption.to_stop();
    if (record.phase == RunPhase::kRunning) {
      AddReport(adoption.run(), record, RunTransition::kStarted, RunEnd::kDone, "adopted", delta);
    }
    return AdoptedState::kKnown;
  }
  Run record;
  record.coordinator = adoption.coordinator();
  record.needs = adoption.needs();
  record.estimate = adoption.estimate();
  record.alone = adoption.alone();
  record.tracked_since = now;
  if (!adoption.to_stop()) record.wanted_at = ClaimedAt(adoption, now);
  record.must_stop = adoption.to_stop();
  if (m_phase == Phase::kFenced) {
    AddReport(adoption.run(), record, RunTransition::kReleased, RunEnd::kAbsent, "not_owner",
              delta);
    return AdoptedState::kNotOwner;
  }
  if (m_phase == Phase::kTerminated) {
    // the worker's next incarnation reports the state of the run
    AddReport(adoption.run(), record, RunTransition::kReleased, RunEnd::kAbsent, "life_over",
              delta);
    return AdoptedState::kNotOwner;
  }
  const auto ended = m_unclaimed_ends.find(adoption.run());
  if (ended != m_unclaimed_ends.end()) {
    AddReport(adoption.run(), record, RunTransition::kEnded, ended->second, "adopted", delta);
    return AdoptedState::kEnded;
  }
  // Another owner may have started the run since the worker's last reply to this owner, and may
  // have extended the lease until now. Only a reply under a token higher than all of that owner's
  // shows whether the run exists; until then it is treated as starting.
  m_lease_extended_at = now;
  m_runs[adoption.run()] = record;
  return AdoptedState::kUnknown;
}

Instant WorkerSession::ClaimedAt(const AdoptRun& adoption, Instant now) const {
  const auto claimed_at = m_liveness.EchoedAt(adoption.coordinator(), adoption.echo());
  return std::max(claimed_at.value_or(Instant{}),
                  m_liveness.WantedAt(adoption.coordinator(), adoption.run(), now));
}

bool WorkerSession::Cancel(const RunKey& run, const NodeId& coordinator) {
  const auto found = m_runs.find(run);
  if (found == m_runs.end()) return false;
  // another coordinator of the same job uses the same run numbers
  if (found->second.coordinator.value_or(coordinator) != coordinator) return false;
  found->second.must_stop = true;
  return true;
}

void WorkerSession::CancelAllRunsOf(const NodeId& coordinator) {
  for (auto& [run, record] : m_runs) {
    if (record.coordinator == coordinator) record.must_stop = true;
  }
}

std::uint32_t WorkerSession::CancelStragglers(double slowness, Instant read_until, Instant now) {
  std::uint32_t found = 0;
  for (auto& [run, record] : m_runs) {
    if (record.phase != RunPhase::kRunning || !record.coordinator) continue;
    if (record.must_stop || record.straggler) continue;
    const auto expected = FromMillis(ToMillis(record.estimate) * slowness * kStragglerFactor);
    if (read_until - record.tracked_since < std::max(kMinStragglerTime, expected)) continue;
    record.straggler = true;
    record.must_stop = !record.useful_until ||
                       now + ShortestRunTime(record.estimate, slowness) <= *record.useful_until;
    ++found;
  }
  return found;
}

std::vector<OrphanedRun> WorkerSession::CancelOrphans(Instant now) {
  std::vector<OrphanedRun> orphans;
  for (auto& [run, record] : m_runs) {
    if (!record.coordinator || (record.must_stop && !record.straggler)) continue;
    record.wanted_at =
        std::max(record.wanted_at, m_liveness.WantedAt(*record.coordinator, run, now));
    if (record.must_stop || now - record.wanted_at < m_limits.orphan_stop_after()) continue;
    record.must_stop = true;
    orphans.emplace_back(run, *record.coordinator, record.wanted_at);
  }
  return orphans;
}

std::optional<KnownRun> WorkerSession::RunOf(const TaskKey& task) const {
  const auto found = m_runs.lower_bound(RunKey(task, 0));
  if (found == m_runs.end() || found->first.task() != task) return std::nullopt;
  return KnownRun(found->first, found->second.coordinator);
}

Instant WorkerSession::LeaseBound() const {
  Instant bound = Instant::max();
  for (const auto& [run, record] : m_runs) {
    bound = std::min(bound, record.wanted_at + m_limits.max_orphan_lease());
  }
  return bound;
}

bool WorkerSession::HasLeaseForStart(Instant now) const {
  return LeaseBound() - now >= kStartTimeout;
}

void WorkerSession::ExpireLeases(Instant now, SessionDelta& delta) {
  if (m_runs.empty() || now - m_lease_extended_at < m_limits.max_time_to_expiry()) return;
  if (m_phase != Phase::kHeld && m_phase != Phase::kAcquiring) return;
  // otherwise the last reply is newer than the last request that could have extended the lease
  if (!m_suspect) return;
  ReportLoss(LossState::kSuspected, now, delta);
  for (const auto& [run, record] : m_runs) {
    if (!record.coordinator) continue;
    AddReport(run, record, RunTransition::kEnded, RunEnd::kLapsed, kSilentWorkerReason, delta);
    ++delta.failures;
  }
  m_runs.clear();
}

void WorkerSession::OnPossibleTakeover(Instant now) {
  m_lease_extended_at = std::max(m_lease_extended_at, now);
}

void WorkerSession::Release(SessionDelta& delta) {
  for (const auto& [run, record] : m_runs) {
    if (!record.coordinator) continue;
    AddReport(run, record, RunTransition::kReleased, RunEnd::kAbsent, "new_owner", delta);
  }
  m_runs.clear();
}

void WorkerSession::MarkFenced(SessionDelta& delta) {
  Release(delta);
  m_phase = Phase::kFenced;
  delta.fenced = true;
}

void WorkerSession::NoteNoAnswer(CallOutcome outcome, Instant now, SessionDelta& delta) {
  if (outcome == CallOutcome::kNotSent) return;
  if (!m_first_sign) {
    m_first_sign = outcome;
    m_first_sign_at = now;
    m_closed_connections = 0;
  }
  if (outcome != CallOutcome::kDisconnected && outcome != CallOutcome::kConnectionRefused) return;
  // one closed connection may be a reset in the network
  if (++m_closed_connections == kClosedConnectionsOfLoss && m_phase == Phase::kHeld) {
    ReportLoss(LossState::kSuspected, now, delta);
  }
}

void WorkerSession::OnStall() {
  m_first_sign.reset();
  m_closed_connections = 0;
}

void WorkerSession::ReportLoss(LossState state, Instant now, SessionDelta& delta) {
  if (!m_loss) {
    // a worker that drains ends on purpose
    if (m_runs.empty() || m_listing.draining()) return;
    m_loss = MakeLoss(state, m_first_sign ? m_first_sign_at : now);
  } else if (state == LossState::kSuspected && m_loss_reported) {
    return;
  }
  // without a sign that this process has seen, it may be this process that was silent
  const bool is_certain = state == LossState::kCrashed || m_first_sign;
  if (state == LossState::kCutOff ? m_loss_reported : is_certain) {
    delta.losses.push_back(m_loss->WithState(state));
    m_loss_reported = true;
  }
  if (state == LossState::kSuspected) return;
  m_loss.reset();
  m_loss_reported = false;
}

WorkerLoss WorkerSession::MakeLoss(LossState state, Instant lost_at) const {
  // after a stall of this process, runs may have ended and others may have been started since
  const bool is_current = lost_at - m_answered_at <= kRenewalWait + 2 * kRenewalSlack;
  Instant last_start{};
  for (const auto& [run, record] : m_runs) {
    // for an adopted run it is not known when it started
    if (record.start_call != 0) last_start = std::max(last_start, record.tracked_since);
  }
  std::string queue;
  std::vector<TaskAtLoss> tasks;
  for (const auto& [run, record] : m_runs) {
    const bool own_start = record.start_call != 0;
    const bool is_certain = is_current && (own_start || record.phase == RunPhase::kRunning);
    const bool started_last =
        m_runs.size() == 1 || (own_start && last_start - record.tracked_since <= kSameStart);
    LossRole role = LossRole::kPresent;
    if (is_certain && started_last) role = LossRole::kStartedLast;
    if (is_certain && record.alone) role = LossRole::kAlone;
    tasks.emplace_back(run.task(), role);
    if (started_last && lost_at - record.tracked_since <= kJustStarted) queue = record.queue;
  }
  return {WorkerIncarnation(m_listing), state, m_reported_token, std::move(queue),
          std::move(tasks)};
}

bool WorkerSession::HasLoneRun() const {
  return std::any_of(m_runs.begin(), m_runs.end(),
                     [](const auto& item) { return item.second.alone; });
}

void WorkerSession::EndIncarnation(const std::string& reason, Instant now, SessionDelta& delta) {
  ReportLoss(LossState::kCrashed, now, delta);
  for (const auto& [run, record] : m_runs) {
    if (!record.coordinator) continue;
    // a run that was requested after the last report of this incarnation may have been started by
    // the next one, which has the same id
    const bool may_run = record.tracked_since >= m_answered_at;
    AddReport(run, record, may_run ? RunTransition::kReleased : RunTransition::kEnded,
              RunEnd::kAbsent, reason, delta);
  }
  m_runs.clear();
  m_unclaimed_ends.clear();
  m_acknowledged = 0;
  m_worker_clock_ms.reset();
  m_phase = Phase::kTerminated;
  m_suspect = true;
  m_renewal_wanted = true;
}

void WorkerSession::Reacquire(FencingToken token, Instant now) {
  m_token = token;
  // runs of another owner may be on the worker: nothing is started before the reply
  m_suspect = true;
  m_renewal_wanted = true;
  m_renew_after = Instant{};
  if (m_phase != Phase::kFenced) return;
  m_phase = Phase::kAcquiring;
  m_lease_extended_at = now;
}

std::optional<RenewLease> WorkerSession::NextRenewal(CallNumber call, Instant now,
                                                     bool short_timeouts) {
  if (m_phase == Phase::kFenced || !m_renewal_wanted || now < m_renew_after) return std::nullopt;
  m_renewal_wanted = false;
  m_pending_renewals.emplace(call, now);
  const bool adopted = std::any_of(m_runs.begin(), m_runs.end(), [](const auto& item) {
    return item.second.coordinator.has_value() && !item.second.must_stop;
  });
  // an unresponsive worker is queried without extending its lease, so that the lease of its runs
  // expires
  const bool extend_lease = adopted && LeaseBound() > now && m_phase == Phase::kHeld && !m_suspect;
  if (extend_lease) m_lease_extended_at = now;
  // a claim extends the lease with the next renewal
  const bool short_wait = short_timeouts || !AllClaimed();
  const Duration full_wait = short_wait ? kShortRenewalWait : kRenewalWait;
  const Duration wait = m_phase == Phase::kHeld && !m_suspect ? full_wait : Duration::zero();
  return RenewLease(MakeCall(call, extend_lease ? LeaseExpiryMs(now) : 0), m_acknowledged, wait,
                    wait + (short_timeouts ? kShortRenewalSlack : kRenewalSlack));
}

std::vector<StopRun> WorkerSession::DueStops(std::atomic<CallNumber>& next_call, Instant now) {
  std::vector<StopRun> stops;
  if (m_phase != Phase::kHeld) return stops;
  for (auto& [run, record] : m_runs) {
    if (!record.coordinator && now - record.tracked_since >= kAdoptionWait) record.must_stop = true;
    if (!record.must_stop || now - record.stop_sent_at < kStopRetryInterval) continue;
    record.stop_sent_at = now;
    stops.emplace_back(MakeCall(next_call++, 0), run, kStopTimeout);
  }
  return stops;
}

void WorkerSession::AddReport(const RunKey& run, const Run& record, RunTransition what, RunEnd end,
                              const std::string& reason, SessionDelta& delta) const {
  if (!record.coordinator) return;
  delta.reports.emplace_back(*record.coordinator,
                             RunReport(run, what, end, m_listing.id(), reason));
}

std::int64_t WorkerSession::LeaseExpiryMs(Instant now) const {
  if (!m_worker_clock_ms) return 0;
  const Duration since_read = now - m_worker_clock_read_at;
  const Duration lease = std::min(m_limits.max_lease(), LeaseBound() - now);
  return *m_worker_clock_ms + static_cast<std::int64_t>(ToMillis(since_read + lease));
}

WorkerCall WorkerSession::MakeCall(CallNumber call, std::int64_t lease_until_ms) const {
  return {m_listing.id(), m_listing.address(), m_token, call, lease_until_ms};
}

}  // namespace sapphireflow::detail
