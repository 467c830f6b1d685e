// Part of ownership: starting runs on owned workers.
#include "sapphireflow/ownership/owner_shard.h"

#include <algorithm>
#include <utility>

#include "sapphireflow/dispatch/detail/job_text.h"
#include "sapphireflow/ownership/order_limits.h"

namespace sapphireflow {
namespace {

// a run that waits longer goes back to its coordinator if another owner has room
constexpr Duration kMoveAfter = std::chrono::milliseconds(25);
// so often it goes back at once; what all seem to have room for and nobody has waits then
constexpr std::uint32_t kPromptMoves = 2;
// a refused owner stays away for so long, doubling with each refusal in a row
constexpr Duration kFirstRefusalPause = std::chrono::milliseconds(150);
// the usual owner is alive; its cut from us lasts seconds
constexpr Duration kDeputyRefusalPause = std::chrono::seconds(5);
// keeps the pauses below a minute and a half
constexpr std::uint32_t kMaxRefusalDoublings = 4;
// with the doublings, five refusals make up for a clock that was set back by half a minute
constexpr Duration kTokenSkip = std::chrono::seconds(1);
// longer than any run goes on without its coordinator's word
constexpr Duration kKeepReleased = std::chrono::seconds(5);
// longer than an order may be on its way before it counts as too old
constexpr Duration kKeepCancelled = std::chrono::seconds(5);
// for so long after a lost answer more are expected to be lost
constexpr Duration kShortTimeoutPeriod = std::chrono::seconds(4);
constexpr Duration kStall = std::chrono::milliseconds(500);
// room is counted in resources, not in slots
constexpr std::uint32_t kUnlimitedSlots = 1000;

std::string MillisText(Duration length) {
  return std::to_string(static_cast<std::int64_t>(ToMillis(length)));
}

}  // namespace

OwnerShard::OwnerShard(const NodeId& self, const LeaseLimits& limits, OwnerPolicies policies,
                       TokenSource& tokens, std::atomic<CallNumber>& next_call,
                       const RoomBoard& peers)
    : m_self(self),
      m_limits(limits),
      m_tokens(tokens),
      m_next_call(next_call),
      m_peers(peers),
      m_policies(std::move(policies)) {}

OwnerEffects OwnerShard::Apply(const OwnerInput& in) {
  OwnerEffects out;
  std::lock_guard<std::mutex> lock(m_mutex);
  // ticks come every 50 ms: after a gap this process did not run, and what waits may have been
  // placed elsewhere since
  if (in.now() - m_now > kStall) DeclineAll("stalled");
  m_now = in.now();
  std::visit([&](const auto& event) { On(event, in.now(), out); }, in.event());
  StartWaiting(in.now(), out);
  Upkeep(in.now(), out);
  FlushReports(std::holds_alternative<OwnerTick>(in.event()), out);
  return out;
}

void OwnerShard::On(const WorkerAssignment& event, Instant now, OwnerEffects& out) {
  std::map<WorkerId, const WorkerListing*> wanted;
  for (const WorkerListing& listing : event.workers()) wanted[listing.id()] = &listing;
  for (auto item = m_workers.begin(); item != m_workers.end();) {
    const auto found = wanted.find(item->first);
    Owned& owned = item->second;
    const bool same_life = found != wanted.end() &&
                           found->second->born_ms() == owned.session.listing().born_ms() &&
                           found->second->address() == owned.session.listing().address();
    if (same_life) {
      owned.session.UpdateListing(*found->second);
      wanted.erase(found);
      ++item;
      continue;
    }
    Effects session_effects;
    const std::size_t runs = owned.session.runs();
    if (found != wanted.end()) {
      owned.session.EndIncarnation("reborn", session_effects);
    } else {
      owned.session.Release(session_effects);
    }
    TakeIn(owned, session_effects, now, out);
    out.emplace_back(LogEvent(LogLevel::kInfo, "worker_released",
                              {{"worker", item->first}, {"runs", std::to_string(runs)}}));
    m_policies.outliers().Forget(owned.session.listing().address());
    m_speeds.Forget(item->first);
    item = m_workers.erase(item);
  }
  const auto& deputized = event.deputized();
  for (auto& [id, owned] : m_workers) owned.deputized = deputized.count(id) > 0;
  for (const auto& [id, listing] : wanted) {
    const FencingToken token = m_tokens.Next(now);
    m_workers.emplace(id, Owned(*listing, token, m_limits, now)).first->second.deputized =
        deputized.count(id) > 0;
    out.emplace_back(LogEvent(LogLevel::kInfo, "worker_taken",
                              {{"worker", id}, {"token", std::to_string(token)}}));
  }
}

void OwnerShard::On(const CoordinatorLost& event, Instant /*now*/, OwnerEffects& out) {
  const auto gone = std::remove_if(
      m_waiting.begin(), m_waiting.end(),
      [&](const WaitingRun& waiting) { return waiting.coordinator() == event.coordinator(); });
  out.emplace_back(LogEvent(LogLevel::kWarning, "coordinator_lost",
                            {{"coordinator", event.coordinator().text()},
                             {"waiting_dropped", std::to_string(m_waiting.end() - gone)}}));
  m_waiting.erase(gone, m_waiting.end());
  for (auto& [id, owned] : m_workers) owned.session.CancelAllRunsOf(event.coordinator());
}

void OwnerShard::On(const PlaceRuns& event, Instant now, OwnerEffects& out) {
  for (const RunOrder& order : event.runs()) {
    if (m_cancelled.count(order.run()) > 0) {
      m_reports[event.coordinator()].emplace_back(order.run(), RunNews::kDeclined, RunEnd::kAbsent,
                                                  "", "cancelled_before");
      continue;
    }
    m_waiting.emplace_back(order, event.coordinator(), event.service(), event.payload(),
                           event.priority(), now, now + event.objective_left(),
                           now + event.useful_left());
  }
  StartWaiting(now, out);
  SendBack();
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
    if (released != m_released.end()) {
      m_reports[event.coordinator()].emplace_back(run, RunNews::kReleased, RunEnd::kAbsent,
                                                  released->second.worker, "new_owner");
      continue;
    }
    m_cancelled.insert_or_assign(run, m_now);
    m_reports[event.coordinator()].emplace_back(run, RunNews::kEnded, RunEnd::kAbsent, "",
                                                "not_here");
  }
}

void OwnerShard::On(const AdoptRun& event, Instant now, OwnerEffects& out) {
  const auto found = m_workers.find(event.worker());
  if (found == m_workers.end()) {
    m_reports[event.coordinator()].emplace_back(event.run(), RunNews::kReleased, RunEnd::kAbsent,
                                                event.worker(), "not_owner");
    return;
  }
  Effects session_effects;
  Session& session = found->second.session;
  if (!session.Adopt(event, now, session_effects)) session.Reacquire(m_tokens.Next(now), now);
  TakeIn(found->second, session_effects, now, out);
}

void OwnerShard::On(const StartReplied& event, Instant now, OwnerEffects& out) {
  const auto found = m_workers.find(event.worker());
  if (found == m_workers.end()) return;
  Effects session_effects;
  Session& session = found->second.session;
  session.OnStartReply(event, m_next_call.load(), now, session_effects);
  if (event.outcome() == CallOutcome::kUnknown) {
    // an order without an answer is made void by a higher token
    session.Reacquire(m_tokens.Next(now), now);
  }
  if (event.outcome() != CallOutcome::kOk) {
    out.emplace_back(LogEvent(LogLevel::kWarning, "start_refused",
                              {{"worker", event.worker()},
                               {"job", detail::JobText(event.run().task().job())},
                               {"task", std::to_string(event.run().task().index())},
                               {"run", std::to_string(event.run().number())},
                               {"outcome", CallOutcomeWord(event.outcome())},
                               {"token", std::to_string(event.token())}}));
  }
  TakeIn(found->second, session_effects, now, out);
}

void OwnerShard::On(const RenewalReplied& event, Instant now, OwnerEffects& out) {
  const auto found = m_workers.find(event.worker());
  if (found == m_workers.end()) return;
  Effects session_effects;
  Session& session = found->second.session;
  const bool was_held = session.phase() == Session::Phase::kHeld;
  session.OnRenewal(event, now, session_effects);
  const bool is_held = session.phase() == Session::Phase::kHeld;
  if (is_held) found->second.refusals = 0;
  if (is_held != was_held) {
    out.emplace_back(LogEvent(is_held ? LogLevel::kInfo : LogLevel::kWarning,
                              is_held ? "worker_held" : "worker_lost",
                              {{"worker", event.worker()},
                               {"outcome", CallOutcomeWord(event.outcome())},
                               {"token", std::to_string(event.token())},
                               {"runs", std::to_string(session.runs())}}));
  }
  TakeIn(found->second, session_effects, now, out);
}

void OwnerShard::On(const OwnerTick& /*event*/, Instant now, OwnerEffects& out) {
  for (auto& [id, owned] : m_workers) {
    Session& session = owned.session;
    Effects session_effects;
    session.ExpireLeases(now, session_effects);
    const std::uint32_t stragglers = session.CancelStragglers(m_speeds.Slowness(id), now);
    for (std::uint32_t i = 0; i < stragglers; ++i) {
      m_policies.outliers().OnFailure(session.listing().address(), now);
    }
    if (stragglers > 0) {
      out.emplace_back(LogEvent(LogLevel::kWarning, "stragglers_stopped",
                                {{"worker", id}, {"runs", std::to_string(stragglers)}}));
    }
    TakeIn(owned, session_effects, now, out);
    if (session.phase() == Session::Phase::kFenced && now >= owned.retry_at) {
      session.Reacquire(m_tokens.Next(now), now);
    }
  }
  DeclineOverdue(now);
  for (auto item = m_released.begin(); item != m_released.end();) {
    item = now - item->second.at > kKeepReleased ? m_released.erase(item) : std::next(item);
  }
  for (auto item = m_cancelled.begin(); item != m_cancelled.end();) {
    item = now - item->second > kKeepCancelled ? m_cancelled.erase(item) : std::next(item);
  }
}

void OwnerShard::TakeIn(Owned& owned, const Effects& session_effects, Instant now,
                        OwnerEffects& out) {
  const WorkerId& id = owned.session.listing().id();
  const Address& address = owned.session.listing().address();
  for (const auto& addressed : session_effects.reports) {
    const RunReport& report = addressed.report();
    if (report.news() == RunNews::kReleased) {
      m_released.insert_or_assign(report.run(), Released{report.worker(), now});
    }
    m_reports[addressed.coordinator()].push_back(report);
  }
  for (const auto& finished : session_effects.finished) {
    m_speeds.Learn(id, finished.declared(), finished.measured());
    m_policies.outliers().OnSuccess(address);
  }
  for (std::uint32_t i = 0; i < session_effects.failures; ++i)
    m_policies.outliers().OnFailure(address, now);
  if (session_effects.answer_lost) m_answer_lost_at = now;
  if (!session_effects.fenced) return;
  const std::uint32_t doublings = std::min(owned.refusals, kMaxRefusalDoublings);
  const Duration pause =
      (owned.deputized ? kDeputyRefusalPause : kFirstRefusalPause) * (1U << doublings);
  owned.retry_at = now + pause;
  ++owned.refusals;
  // Tokens of other members are known from their beats. A second refusal in a row means that ours
  // are too low for another reason: a clock that was set back, or a highest token that nobody who
  // lives remembers.
  if (!owned.deputized && owned.refusals > 1) m_tokens.SkipAhead(kTokenSkip * (1U << doublings));
  out.emplace_back(LogEvent(LogLevel::kWarning, "worker_fenced",
                            {{"worker", id},
                             {"refusals", std::to_string(owned.refusals)},
                             {"retry_in_ms", MillisText(owned.retry_at - now)}}));
}

void OwnerShard::SendBack() {
  const auto gone =
      std::stable_partition(m_waiting.begin(), m_waiting.end(), [this](const WaitingRun& waiting) {
        return waiting.since() != m_now || waiting.order().declines() >= kPromptMoves ||
               !m_peers.HasRoomElsewhere(waiting.service(), waiting.order().needs(), /*far=*/false);
      });
  for (auto waiting = gone; waiting != m_waiting.end(); ++waiting) {
    Decline(*waiting, "room_elsewhere");
  }
  m_waiting.erase(gone, m_waiting.end());
}

void OwnerShard::DeclineOverdue(Instant now) {
  std::vector<WaitingRun> kept;
  kept.reserve(m_waiting.size());
  for (const WaitingRun& waiting : m_waiting) {
    if (now >= waiting.useless_at()) {
      Decline(waiting, "too_late");
    } else if (now - waiting.since() >= kLongestQueueing) {
      Decline(waiting, "queued_too_long");
    } else if (now - waiting.since() > kMoveAfter &&
               m_peers.HasRoomElsewhere(waiting.service(), waiting.order().needs(), /*far=*/true)) {
      Decline(waiting, "room_elsewhere");
    } else {
      kept.push_back(waiting);
    }
  }
  m_waiting.swap(kept);
}

void OwnerShard::StartWaiting(Instant now, OwnerEffects& out) {
  if (m_waiting.empty()) return;
  const StartOrder& order = m_policies.order();
  std::stable_sort(
      m_waiting.begin(), m_waiting.end(),
      [&](const WaitingRun& a, const WaitingRun& b) { return order.Before(a, b, now); });
  std::vector<WaitingRun> kept;
  kept.reserve(m_waiting.size());
  for (WaitingRun& waiting : m_waiting) {
    if (!TryStart(waiting, now, out)) kept.push_back(std::move(waiting));
  }
  m_waiting.swap(kept);
}

bool OwnerShard::MayTake(const Owned& owned, const WaitingRun& waiting, Instant now) const {
  const Session& session = owned.session;
  const RunOrder& order = waiting.order();
  if (!session.Usable() || session.listing().service() != waiting.service()) return false;
  if (!session.FreeCapacity().Covers(order.needs())) return false;
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

bool OwnerShard::TryStart(const WaitingRun& waiting, Instant now, OwnerEffects& out) {
  std::vector<Candidate> candidates;
  std::vector<Owned*> owners;
  for (auto& [id, owned] : m_workers) {
    if (!MayTake(owned, waiting, now)) continue;
    candidates.emplace_back(owned.session.listing(), owned.session.FreeCapacity(),
                            m_speeds.Slowness(id));
    owners.push_back(&owned);
  }
  if (candidates.empty()) return false;
  Owned& chosen = *owners[m_policies.choice().Choose(waiting.order(), waiting.objective_at() - now,
                                                     candidates)];
  out.emplace_back(chosen.session.Start(waiting, m_next_call++, now, UseShortTimeouts(now)));
  return true;
}

void OwnerShard::Upkeep(Instant now, OwnerEffects& out) {
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
  return now - m_answer_lost_at < kShortTimeoutPeriod;
}

}  // namespace sapphireflow
