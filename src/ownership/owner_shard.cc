// Part of ownership: event handling of an owner shard, and the start of runs on its workers.
#include "sapphireflow/ownership/owner_shard.h"

#include <algorithm>
#include <utility>

#include "sapphireflow/dispatch/detail/job_key_text.h"
#include "sapphireflow/dispatch/detail/log_fields.h"
#include "sapphireflow/ownership/order_limits.h"

namespace sapphireflow {
namespace {

// A run that waits longer is declined if another owner advertises enough free capacity.
constexpr Duration kRedirectAfter = std::chrono::milliseconds(25);
// A run is declined immediately at most this many times; after that it waits, because the capacity
// that the owners advertise for it has turned out to be taken.
constexpr std::uint32_t kMaxImmediateRedirects = 2;
// How long a fenced owner waits before it reacquires the worker; doubles with each consecutive
// refusal.
constexpr Duration kInitialFencedBackoff = std::chrono::milliseconds(150);
// The same for a standby owner: the refusal shows that the primary owner is alive, and the network
// partition between the two lasts for seconds.
constexpr Duration kStandbyFencedBackoff = std::chrono::seconds(5);
// Keeps the backoff below 90 s.
constexpr std::uint32_t kMaxBackoffDoublings = 4;
// With the doublings, five refusals compensate for a clock that was set back by 30 s.
constexpr Duration kTokenSkipAhead = std::chrono::seconds(1);
// Longer than a run continues without hearing from its coordinator.
constexpr Duration kReleasedRetention = std::chrono::seconds(5);
// Longer than an order may be in transit before it is declined as too old.
constexpr Duration kCancelledRetention = std::chrono::seconds(5);
// Further lost replies are expected for this long after a lost reply.
constexpr Duration kShortTimeoutPeriod = std::chrono::seconds(4);
constexpr Duration kStallThreshold = std::chrono::milliseconds(500);
// The shortest stall after which other members may have counted this one as lost: the shortest
// silence timeout, less a heartbeat interval and a tick.
constexpr Duration kTakeoverThreshold = std::chrono::milliseconds(400);
// After a gap like this the silence of a worker may have been this process's own.
constexpr Duration kMissedTicks = std::chrono::milliseconds(200);
// Workers that run or wait for one lone run each: at most one in so many.
constexpr std::size_t kMaxLoneShareDivisor = 4;
// Capacity is counted in resources, not in slots.
constexpr std::uint32_t kUnlimitedSlots = 1000;

using detail::MillisText;

const char* AdoptedStateName(detail::AdoptedState state) {
  switch (state) {
    case detail::AdoptedState::kKnown:
      return "yes";
    case detail::AdoptedState::kUnknown:
      return "no";
    case detail::AdoptedState::kEnded:
      return "ended";
    case detail::AdoptedState::kNotOwner:
      return "not_owner";
  }
  return "?";
}

}  // namespace

OwnerShard::OwnerShard(const NodeId& self, const LeaseLimits& limits, OwnerPolicies policies,
                       TokenSource& tokens, std::atomic<CallNumber>& next_call,
                       const CapacityView& peer_capacity, const CrashHistory& crashes,
                       const CoordinatorLiveness& liveness, const ListingFreshness& freshness)
    : m_self(self),
      m_limits(limits),
      m_tokens(tokens),
      m_next_call(next_call),
      m_peer_capacity(peer_capacity),
      m_crashes(crashes),
      m_liveness(liveness),
      m_freshness(freshness),
      m_policies(std::move(policies)) {}

OwnerEffects OwnerShard::Apply(const OwnerInput& in) {
  OwnerEffects out;
  std::lock_guard<std::mutex> lock(m_mutex);
  // Ticks arrive every 50 ms. After a long gap this process was stalled, and the waiting runs may
  // have been placed elsewhere meanwhile.
  if (in.now() - m_now > kStallThreshold) DeclineAll("stalled");
  if (in.now() - m_now > kTakeoverThreshold) OnPossibleTakeover(in.now());
  if (in.now() - m_now > kMissedTicks) {
    for (auto& [id, owned] : m_workers) owned.session.OnStall();
  }
  m_now = in.now();
  std::visit([&](const auto& event) { On(event, in.now(), out); }, in.event());
  DeclineEvacuated();
  StartWaiting(in.now(), out);
  SendStopsAndRenewals(in.now(), out);
  FlushReports(std::holds_alternative<OwnerTick>(in.event()), out);
  return out;
}

void OwnerShard::On(const WorkerAssignment& event, Instant now, OwnerEffects& out) {
  std::map<WorkerId, const WorkerListing*> assigned_listings;
  for (const WorkerListing& listing : event.workers()) assigned_listings[listing.id()] = &listing;
  for (auto item = m_workers.begin(); item != m_workers.end();) {
    const auto found = assigned_listings.find(item->first);
    OwnedWorker& owned = item->second;
    const bool same_incarnation =
        found != assigned_listings.end() &&
        found->second->process_start_ms() == owned.session.listing().process_start_ms() &&
        found->second->address() == owned.session.listing().address();
    // a list from another relay may be older than the one before; but a listing that nobody has
    // answered to may be wrong
    const bool is_confirmed = owned.session.answered_at() != Instant{} || owned.session.runs() > 0;
    const bool earlier_incarnation =
        found != assigned_listings.end() && is_confirmed &&
        owned.session.phase() != Session::Phase::kTerminated &&
        found->second->process_start_ms() < owned.session.listing().process_start_ms();
    if (same_incarnation || earlier_incarnation) {
      if (same_incarnation) {
        owned.session.UpdateListing(*found->second);
        UpdateNotice(owned, now);
      }
      assigned_listings.erase(found);
      ++item;
      continue;
    }
    Delta delta;
    const std::size_t runs = owned.session.runs();
    if (found != assigned_listings.end()) {
      owned.session.EndIncarnation("reborn", now, delta);
    } else {
      owned.session.Release(delta);
    }
    ApplyDelta(owned, delta, now, out);
    out.emplace_back(LogEvent(LogLevel::kInfo, "worker_released",
                              {{"worker", item->first}, {"runs", std::to_string(runs)}}));
    m_policies.outliers().Forget(owned.session.listing().address());
    m_speeds.Forget(item->first);
    item = m_workers.erase(item);
  }
  const auto& standby_workers = event.standby_workers();
  for (auto& [id, owned] : m_workers) owned.standby = standby_workers.count(id) > 0;
  for (const auto& [id, listing] : assigned_listings) {
    const FencingToken token = m_tokens.Next(now);
    OwnedWorker& owned =
        m_workers.emplace(id, OwnedWorker(*listing, token, m_limits, m_liveness, now))
            .first->second;
    owned.standby = standby_workers.count(id) > 0;
    UpdateNotice(owned, now);
    out.emplace_back(LogEvent(LogLevel::kInfo, "worker_taken",
                              {{"worker", id}, {"token", std::to_string(token)}}));
  }
  MarkEvacuated();
}

void OwnerShard::OnPossibleTakeover(Instant now) {
  for (auto& [id, owned] : m_workers) owned.session.OnPossibleTakeover(now);
}

void OwnerShard::On(const CoordinatorLost& event, Instant now, OwnerEffects& out) {
  // the lost member may be a standby owner that counts this one as lost
  OnPossibleTakeover(now);
  const auto first_removed = std::remove_if(
      m_waiting.begin(), m_waiting.end(),
      [&](const WaitingRun& waiting) { return waiting.coordinator() == event.coordinator(); });
  out.emplace_back(
      LogEvent(LogLevel::kWarning, "coordinator_lost",
               {{"coordinator", event.coordinator().text()},
                {"waiting_dropped", std::to_string(m_waiting.end() - first_removed)}}));
  m_waiting.erase(first_removed, m_waiting.end());
  for (auto& [id, owned] : m_workers) owned.session.CancelAllRunsOf(event.coordinator());
}

void OwnerShard::On(const PlaceRuns& event, Instant now, OwnerEffects& out) {
  const Instant wanted_at =
      m_liveness.EchoedAt(event.coordinator(), event.echo()).value_or(Instant{});
  for (const RunOrder& order : event.runs()) {
    if (m_cancelled.count(order.run()) > 0) {
      out.emplace_back(
          LogEvent(LogLevel::kWarning, "order_after_cancel",
                   detail::RunFields(order.run(), {{"coordinator", event.coordinator().text()}})));
      m_reports[event.coordinator()].emplace_back(order.run(), RunTransition::kDeclined,
                                                  RunEnd::kAbsent, "", "cancelled_before");
      continue;
    }
    StopReplacedRuns(order.run(), event.coordinator());
    m_waiting.emplace_back(order, event.coordinator(), event.service(), event.queue(),
                           event.payload(), event.priority(), now, now + event.time_to_objective(),
                           now + event.time_to_deadline(), wanted_at, event.job_begun());
  }
  StartWaiting(now, out);
  RedirectNewRuns();
}

void OwnerShard::On(const CancelRuns& event, Instant /*now*/, OwnerEffects& /*out*/) {
  for (const RunKey& run : event.runs()) {
    const auto waiting =
        std::find_if(m_waiting.begin(), m_waiting.end(), [&](const WaitingRun& candidate) {
          return candidate.order().run() == run && candidate.coordinator() == event.coordinator();
        });
    if (waiting != m_waiting.end()) {
      Decline(*waiting, "cancelled");
      m_waiting.erase(waiting);
      continue;
    }
    const bool known = std::any_of(m_workers.begin(), m_workers.end(), [&](auto& item) {
      return item.second.session.Cancel(run, event.coordinator());
    });
    if (known) continue;
    const auto released = m_released.find(run);
    if (released != m_released.end() && released->second.coordinator == event.coordinator()) {
      m_reports[event.coordinator()].emplace_back(run, RunTransition::kReleased, RunEnd::kAbsent,
                                                  released->second.worker, "new_owner");
      continue;
    }
    m_cancelled.insert_or_assign(run, m_now);
    m_reports[event.coordinator()].emplace_back(run, RunTransition::kEnded, RunEnd::kAbsent, "",
                                                "not_here");
  }
}

void OwnerShard::LogAdoption(const AdoptRun& adoption, detail::AdoptedState state, Instant now,
                             OwnerEffects& out) {
  const bool is_refused = state == detail::AdoptedState::kNotOwner;
  out.emplace_back(
      CounterIncrement("adoptions_total", "state", is_refused ? "refused" : "accepted"));
  if (!m_logged_adoptions.IsNew({adoption.run(), adoption.coordinator(), state}, now)) return;
  out.emplace_back(
      LogEvent(LogLevel::kInfo, "run_adopted",
               detail::RunFields(adoption.run(), {{"worker", adoption.worker()},
                                                  {"coordinator", adoption.coordinator().text()},
                                                  {"known", AdoptedStateName(state)}})));
}

void OwnerShard::On(const AdoptRun& event, Instant now, OwnerEffects& out) {
  const auto found = m_workers.find(event.worker());
  if (found == m_workers.end()) {
    LogAdoption(event, detail::AdoptedState::kNotOwner, now, out);
    m_reports[event.coordinator()].emplace_back(event.run(), RunTransition::kReleased,
                                                RunEnd::kAbsent, event.worker(), "not_owner");
    return;
  }
  Delta delta;
  Session& session = found->second.session;
  if (event.process_start_ms() != 0 &&
      event.process_start_ms() < session.listing().process_start_ms()) {
    // the process that had the run has ended, and its owner may have with it
    const WorkerListing& listing = session.listing();
    out.emplace_back(WorkerLoss(
        WorkerIncarnation(listing.id(), listing.address(), event.process_start_ms()),
        LossState::kCrashed, 0, "", {TaskAtLoss(event.run().task(), LossRole::kPresent)}));
  }
  const detail::AdoptedState state = session.Adopt(event, now, delta);
  LogAdoption(event, state, now, out);
  const bool is_acquiring = session.phase() == Session::Phase::kAcquiring;
  if (state == detail::AdoptedState::kUnknown && !is_acquiring) {
    session.Reacquire(m_tokens.Next(now), now);
  }
  ApplyDelta(found->second, delta, now, out);
}

void OwnerShard::On(const StartReplied& event, Instant now, OwnerEffects& out) {
  const auto found = m_workers.find(event.worker());
  if (found == m_workers.end()) return;
  Delta delta;
  Session& session = found->second.session;
  session.OnStartReply(event, m_next_call.load(), now, delta);
  if (MayHaveExecuted(event.outcome())) {
    // a higher token invalidates a start request whose outcome is unknown
    session.Reacquire(m_tokens.Next(now), now);
  }
  if (event.outcome() != CallOutcome::kOk) {
    out.emplace_back(
        LogEvent(LogLevel::kWarning, "start_refused",
                 detail::RunFields(event.run(), {{"worker", event.worker()},
                                                 {"outcome", CallOutcomeName(event.outcome())},
                                                 {"token", std::to_string(event.token())}})));
  }
  ApplyDelta(found->second, delta, now, out);
}

void OwnerShard::On(const RenewalReplied& event, Instant now, OwnerEffects& out) {
  const auto found = m_workers.find(event.worker());
  if (found == m_workers.end()) return;
  Delta delta;
  Session& session = found->second.session;
  const bool was_held = session.phase() == Session::Phase::kHeld;
  session.OnRenewal(event, now, delta);
  const bool is_held = session.phase() == Session::Phase::kHeld;
  if (is_held) found->second.refusals = 0;
  if (is_held != was_held) {
    out.emplace_back(LogEvent(is_held ? LogLevel::kInfo : LogLevel::kWarning,
                              is_held ? "worker_held" : "worker_lost",
                              {{"worker", event.worker()},
                               {"outcome", CallOutcomeName(event.outcome())},
                               {"token", std::to_string(event.token())},
                               {"runs", std::to_string(session.runs())}}));
  }
  ApplyDelta(found->second, delta, now, out);
}

void OwnerShard::On(const OwnerTick& event, Instant now, OwnerEffects& out) {
  for (auto& [id, owned] : m_workers) {
    Session& session = owned.session;
    Delta delta;
    session.ExpireLeases(now, delta);
    StopOrphans(owned, now, out);
    // an end that has arrived may not have been read yet
    const std::uint32_t stragglers =
        session.CancelStragglers(m_speeds.Slowness(id), now - event.own_delay(), now);
    for (std::uint32_t i = 0; i < stragglers; ++i) {
      m_policies.outliers().OnFailure(session.listing().address(), now);
    }
    if (stragglers > 0) {
      out.emplace_back(LogEvent(LogLevel::kWarning, "stragglers_stopped",
                                {{"worker", id}, {"runs", std::to_string(stragglers)}}));
    }
    ApplyDelta(owned, delta, now, out);
    ReportAnswersOfSuspects(owned, out);
    if (session.phase() == Session::Phase::kFenced && now >= owned.reacquire_at) {
      session.Reacquire(m_tokens.Next(now), now);
    }
  }
  DeclineOverdue(now);
  for (auto item = m_released.begin(); item != m_released.end();) {
    item = now - item->second.at > kReleasedRetention ? m_released.erase(item) : std::next(item);
  }
  for (auto item = m_cancelled.begin(); item != m_cancelled.end();) {
    item = now - item->second > kCancelledRetention ? m_cancelled.erase(item) : std::next(item);
  }
}

void OwnerShard::ApplyDelta(OwnedWorker& owned, const Delta& delta, Instant now,
                            OwnerEffects& out) {
  const WorkerId& id = owned.session.listing().id();
  const Address& address = owned.session.listing().address();
  for (const auto& addressed : delta.reports) {
    const RunReport& report = addressed.report();
    if (report.transition() == RunTransition::kReleased) {
      m_released.insert_or_assign(report.run(),
                                  Released{addressed.coordinator(), report.worker(), now});
    }
    m_reports[addressed.coordinator()].push_back(report);
  }
  for (const auto& finished : delta.finished) {
    m_speeds.Learn(id, finished.declared(), finished.measured());
    m_policies.outliers().OnSuccess(address);
  }
  for (std::uint32_t i = 0; i < delta.failures; ++i) m_policies.outliers().OnFailure(address, now);
  for (const WorkerLoss& loss : delta.losses) {
    LogLoss(owned, loss, now, out);
    out.emplace_back(loss);
  }
  if (delta.reply_lost) m_last_lost_reply_at = now;
  if (!delta.fenced) return;
  const std::uint32_t doublings = std::min(owned.refusals, kMaxBackoffDoublings);
  const Duration pause =
      (owned.standby ? kStandbyFencedBackoff : kInitialFencedBackoff) * (1U << doublings);
  owned.reacquire_at = now + pause;
  ++owned.refusals;
  // Tokens of other members are known from their heartbeats. A second consecutive refusal means
  // that ours are too low for another reason: a clock that was set back, or a higher token that no
  // running member knows.
  if (!owned.standby && owned.refusals > 1) m_tokens.SkipAhead(kTokenSkipAhead * (1U << doublings));
  out.emplace_back(LogEvent(LogLevel::kWarning, "worker_fenced",
                            {{"worker", id},
                             {"refusals", std::to_string(owned.refusals)},
                             {"retry_in_ms", MillisText(owned.reacquire_at - now)}}));
}

void OwnerShard::RedirectNewRuns() {
  const auto first_removed =
      std::stable_partition(m_waiting.begin(), m_waiting.end(), [this](const WaitingRun& waiting) {
        return waiting.queued_since() != m_now || waiting.order().alone() ||
               waiting.order().declines() >= kMaxImmediateRedirects ||
               !HasFreeCapacityElsewhere(waiting, /*include_other_zones=*/false) ||
               HasRunOf(waiting.order().run().task());
      });
  for (auto waiting = first_removed; waiting != m_waiting.end(); ++waiting) {
    Decline(*waiting, "room_elsewhere");
  }
  m_waiting.erase(first_removed, m_waiting.end());
}

bool OwnerShard::HasFreeCapacityElsewhere(const WaitingRun& waiting,
                                          bool include_other_zones) const {
  return m_peer_capacity.HasFreeCapacityElsewhere(waiting.service(), waiting.order().needs(),
                                                  include_other_zones,
                                                  m_crashes.ConfinementOf(waiting.queue(), m_now));
}

void OwnerShard::DeclineOverdue(Instant now) {
  std::vector<WaitingRun> kept;
  kept.reserve(m_waiting.size());
  for (const WaitingRun& waiting : m_waiting) {
    if (now >= waiting.useful_until()) {
      Decline(waiting, "too_late");
    } else if (IsOrphaned(waiting, now)) {
      Decline(waiting, "coordinator_silent");
    } else if (now - waiting.queued_since() >= kMaxQueueTime) {
      Decline(waiting, "queued_too_long");
    } else if (now - waiting.queued_since() > kRedirectAfter && !waiting.order().alone() &&
               HasFreeCapacityElsewhere(waiting, /*include_other_zones=*/true) &&
               !HasRunOf(waiting.order().run().task())) {
      Decline(waiting, "room_elsewhere");
    } else {
      kept.push_back(waiting);
    }
  }
  m_waiting.swap(kept);
}

void OwnerShard::StartWaiting(Instant now, OwnerEffects& out) {
  DeclineHopeless(now, out);
  if (m_waiting.empty() || !m_freshness.AllowsStarts(now)) return;
  const StartOrderPolicy& order = m_policies.order();
  std::stable_sort(
      m_waiting.begin(), m_waiting.end(),
      [&](const WaitingRun& a, const WaitingRun& b) { return order.Before(a, b, now); });
  std::vector<WaitingRun> kept;
  kept.reserve(m_waiting.size());
  const std::set<WorkerId> reserved = ReserveForLoneRuns(now);
  std::set<JobKey> begun;
  for (WaitingRun& waiting : m_waiting) {
    if (TryStart(waiting, reserved, now, out)) {
      begun.insert(waiting.order().run().task().job());
    } else {
      kept.push_back(std::move(waiting));
    }
  }
  m_waiting.swap(kept);
  if (begun.empty()) return;
  for (WaitingRun& waiting : m_waiting) {
    if (waiting.job_begun() || begun.count(waiting.order().run().task().job()) == 0) continue;
    waiting = waiting.WithJobBegun();
  }
}

bool OwnerShard::IsEligible(const OwnedWorker& owned, const WaitingRun& waiting,
                            const WorkerFilter& confinement, Instant now) const {
  const Session& session = owned.session;
  const RunOrder& order = waiting.order();
  if (!session.Usable() || session.listing().service() != waiting.service()) return false;
  if (!session.HasLeaseForStart(now) || !StaysFor(owned, order.estimate(), now)) return false;
  if (!session.FreeCapacity().Covers(order.needs())) return false;
  if (order.alone() ? session.runs() > 0 : session.HasLoneRun()) return false;
  if (confinement && !confinement(session.listing().address())) return false;
  if (!order.label().empty() && !session.listing().HasLabel(order.label())) return false;
  if (order.per_worker_limit() > 0 &&
      session.CountRunsOfStep(order.run().task()) >= order.per_worker_limit()) {
    return false;
  }
  return session.runs() < AllowedRuns(session, now);
}

std::uint32_t OwnerShard::AllowedRuns(const Session& session, Instant now) const {
  return m_policies.outliers().Allowance(session.listing().address(), kUnlimitedSlots, now);
}

std::set<WorkerId> OwnerShard::ReserveForLoneRuns(Instant now) const {
  std::set<WorkerId> reserved;
  std::size_t usable = 0;
  std::size_t lone = 0;
  for (const auto& [id, owned] : m_workers) {
    if (owned.session.Usable()) ++usable;
    if (owned.session.HasLoneRun()) ++lone;
  }
  const std::size_t limit = std::max<std::size_t>(1, usable / kMaxLoneShareDivisor);
  for (const WaitingRun& waiting : m_waiting) {
    if (!waiting.order().alone() || reserved.size() + lone >= limit) continue;
    const WorkerFilter confinement = m_crashes.ConfinementOf(waiting.queue(), now);
    const OwnedWorker* best = nullptr;
    for (const auto& [id, owned] : m_workers) {
      const Session& session = owned.session;
      const bool suits = session.Usable() && session.listing().service() == waiting.service() &&
                         session.listing().capacity().Covers(waiting.order().needs()) &&
                         (!confinement || confinement(session.listing().address())) &&
                         !session.HasLoneRun() && reserved.count(id) == 0;
      if (suits && (best == nullptr || session.runs() < best->session.runs())) best = &owned;
    }
    if (best != nullptr) reserved.insert(best->session.listing().id());
  }
  return reserved;
}

void OwnerShard::StopReplacedRuns(const RunKey& run, const NodeId& coordinator) {
  for (auto& [id, owned] : m_workers) {
    const auto other = owned.session.RunOf(run.task());
    if (!other || other->coordinator() != coordinator) continue;
    if (other->run().number() < run.number()) owned.session.Cancel(other->run(), coordinator);
  }
}

bool OwnerShard::HasRunOf(const TaskKey& task) const {
  return std::any_of(m_workers.begin(), m_workers.end(), [&task](const auto& item) {
    return item.second.session.RunOf(task).has_value();
  });
}

bool OwnerShard::TryStart(const WaitingRun& waiting, const std::set<WorkerId>& reserved,
                          Instant now, OwnerEffects& out) {
  if (IsOrphaned(waiting, now)) return false;
  const WorkerFilter confinement = m_crashes.ConfinementOf(waiting.queue(), now);
  const WorkerFilter exposed = m_crashes.ExposedWorkers(now);
  const auto start_on_one = [&](bool may_be_exposed) {
    std::vector<WorkerCandidate> candidates;
    std::vector<OwnedWorker*> candidate_workers;
    for (auto& [id, owned] : m_workers) {
      if (!waiting.order().alone() && reserved.count(id) > 0) continue;
      if (!may_be_exposed && exposed && exposed(owned.session.listing().address())) continue;
      if (!IsEligible(owned, waiting, confinement, now)) continue;
      candidates.emplace_back(owned.session.listing(), owned.session.FreeCapacity(),
                              m_speeds.Slowness(id));
      candidate_workers.push_back(&owned);
    }
    if (candidates.empty() || HasRunOf(waiting.order().run().task())) return false;
    OwnedWorker& chosen = *candidate_workers[m_policies.choice().Choose(
        waiting.order(), waiting.objective_at() - now, candidates)];
    out.emplace_back(chosen.session.Start(waiting, m_next_call++, now, UseShortTimeouts(now)));
    return true;
  };
  // other tasks keep clear of the workers on which a crash is likely
  return start_on_one(false) || (exposed && start_on_one(true));
}

void OwnerShard::SendStopsAndRenewals(Instant now, OwnerEffects& out) {
  for (auto& [id, owned] : m_workers) {
    for (StopRun& stop : owned.session.DueStops(m_next_call, now)) {
      out.emplace_back(std::move(stop));
    }
    if (auto renewal = owned.session.NextRenewal(m_next_call++, now, UseShortTimeouts(now))) {
      out.emplace_back(std::move(*renewal));
    }
  }
}

bool OwnerShard::UseShortTimeouts(Instant now) const {
  return now - m_last_lost_reply_at < kShortTimeoutPeriod;
}

}  // namespace sapphireflow
