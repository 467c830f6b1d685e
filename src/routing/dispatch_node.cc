// Part of routing: event handling of a dispatch node.
#include "sapphireflow/routing/dispatch_node.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "sapphireflow/ownership/order_limits.h"

namespace sapphireflow {
namespace {

constexpr std::size_t kJobShards = 4;
// Sharded by service, because the workers and waiting runs of a service share one lock.
constexpr std::size_t kOwnerShards = 2;
// Run reports carry the free capacity of their owner as well; this interval serves members that get
// no reports. Nothing is sent while nothing changes, up to the longer interval.
constexpr Duration kCapacityInterval = std::chrono::milliseconds(200);
// Each announcement goes to all members of the zone, so that their number sets the interval as
// well.
constexpr Duration kCapacityIntervalPerZoneMember = std::chrono::milliseconds(16);
constexpr Duration kUnchangedCapacityInterval = std::chrono::milliseconds(1000);
// Members of other zones use these workers only when their own are full or lost.
constexpr Duration kOtherZoneCapacityInterval = std::chrono::milliseconds(1000);
// A member that learns of no newer list reads the store itself, so that it knows a draining worker
// within the drain timeout.
constexpr Duration kWorkerListReadTime = std::chrono::milliseconds(500);
// Workers of each owner that members of other zones are told of.
constexpr std::size_t kRelayedWorkers = 4;
// Added to the time until a lease expires: an owner on time that is lost is replaced within the
// maximum silence timeout plus one tick, and its successor may have the run. A successor that comes
// later extends no lease of a run that its coordinator doubts.
constexpr Duration kTakeoverAllowance = std::chrono::milliseconds(1050);

// Between the decision to claim a run and the reading of the echo that its claim carries.
constexpr Duration kClaimSendTime = std::chrono::milliseconds(200);

// A caller refused by this node can try another one at once.
constexpr Duration kRefusalRetryAfter = std::chrono::milliseconds(100);

OwnerPolicies MakePolicies(const DispatchSettings& settings) {
  return {MakeStartOrderPolicy(settings.start_order()),
          std::make_unique<SlowestSufficientChoice>(settings.remote_factor()),
          MakeOutlierDetector(settings.outliers())};
}

}  // namespace

DispatchNode::DispatchNode(const MemberListing& listing, const DispatchSettings& settings)
    : m_listing(listing),
      m_self(listing.node()),
      m_tokens(m_self),
      m_capacity(m_self, listing.zone(), MakeOwnerChoice(settings.owner_choice())),
      m_members(listing, settings.leases()),
      m_worker_list(m_self, settings.drain_timeout() - kWorkerListReadTime,
                    settings.drain_timeout()),
      m_configuration(settings.config_apply_time()) {
  const LeaseLimits& leases = settings.leases();
  const Duration claim_lapse = leases.caller_return() + kClaimSendTime;
  const Duration lapse = std::max(leases.max_time_to_expiry() + kTakeoverAllowance, claim_lapse);
  const LapseTimes times(leases.max_time_to_expiry(), claim_lapse, lapse,
                         lapse + kMaxOrderAge + kMaxQueueTime);
  for (std::size_t i = 0; i < kJobShards; ++i) {
    m_jobs.push_back(std::make_unique<JobShard>(m_self, times, m_capacity, m_members, m_crashes,
                                                MakeJobFeasibility(settings.job_feasibility())));
  }
  for (std::size_t i = 0; i < kOwnerShards; ++i) {
    m_owners.push_back(
        std::make_unique<OwnerShard>(m_self, settings.leases(), MakePolicies(settings), m_tokens,
                                     m_next_call, m_capacity, m_crashes, m_members, m_worker_list));
  }
}

DispatchEffects DispatchNode::Apply(const DispatchInput& in) {
  EventContext ctx{in.now(), {}, {}};
  std::visit([&](const auto& event) { HandleEvent(event, ctx); }, in.event());
  ProcessQueue(ctx);
  return std::move(ctx.out);
}

std::size_t DispatchNode::OwnerShardOf(const std::string& service) const {
  return std::hash<std::string>()(service) % m_owners.size();
}

std::size_t DispatchNode::OwnerShardOfWorker(const WorkerId& worker) const {
  std::lock_guard<std::mutex> lock(m_workers_mutex);
  const auto found = m_service_of.find(worker);
  return found == m_service_of.end() ? 0 : OwnerShardOf(found->second);
}

void DispatchNode::HandleEvent(const SubmitJobOrder& event, EventContext& ctx) {
  if (m_intake_closed) {
    ctx.out.emplace_back(AnswerCaller(event.token(), JobVerdict::kRefused,
                                      Error(ErrorId::kDraining, "this entry VM is stopping"),
                                      kRefusalRetryAfter, 0));
    return;
  }
  ctx.work.emplace_back(JobWork{JobShardOf(event.order()->key()), event});
}

void DispatchNode::HandleEvent(const CallerDisconnected& event, EventContext& ctx) {
  QueueForAllJobShards(event, ctx);
}

void DispatchNode::HandleEvent(const JobOrderRequest& event, EventContext& ctx) {
  if (event.operation() == JobOperation::kWaitingCount) {
    std::uint64_t waiting = 0;
    for (const auto& shard : m_jobs) waiting += shard->WaitingJobs(event.queue());
    ctx.out.emplace_back(
        AnswerCaller(event.token(), JobVerdict::kCount, std::nullopt, Duration::zero(), waiting));
    return;
  }
  ctx.work.emplace_back(JobWork{JobShardOf(event.job()), event});
}

void DispatchNode::HandleEvent(const WorkersListed& event, EventContext& ctx) {
  auto update = m_worker_list.OnRead(event.workers(), event.as_of());
  if (!update) return;
  UseWorkerList(ctx);
  std::vector<Address> to = m_members.RelayRecipients();
  if (!m_members.IsRelay() || to.empty()) return;
  ctx.out.emplace_back(SendMessage(std::move(to), std::move(*update)));
}

void DispatchNode::UseWorkerList(EventContext& ctx) {
  {
    // read under the lock, so that the newest list is the last one in force
    std::lock_guard<std::mutex> lock(m_workers_mutex);
    const WorkerListings workers = m_worker_list.Current();
    for (const WorkerListing& worker : workers) m_service_of[worker.id()] = worker.service();
    m_members.SetWorkers(workers);
    m_capacity.SetListings(workers);
    m_crashes.OnListings(workers);
  }
  AssignWorkers(ctx);
}

void DispatchNode::HandleEvent(const MembersListed& event, EventContext& ctx) {
  HandleMemberChanges(m_members.OnListed(event.members(), ctx.now), ctx);
}

void DispatchNode::HandleEvent(const StoreAnswered& /*event*/, EventContext& ctx) {
  m_members.OnStoreAnswer(ctx.now);
  m_worker_list.OnStoreAnswer(ctx.now);
}

void DispatchNode::HandleEvent(const DispatchMessage& event, EventContext& ctx) {
  std::visit([&](const auto& message) { Receive(message, ctx); }, event);
}

void DispatchNode::HandleEvent(const LinkDown& event, EventContext& ctx) {
  m_members.OnLinkDown(event.peer(), ctx.now);
}

void DispatchNode::HandleEvent(const StartReplied& event, EventContext& ctx) {
  ctx.work.emplace_back(OwnerWork{OwnerShardOfWorker(event.worker()), event});
}

void DispatchNode::HandleEvent(const RenewalReplied& event, EventContext& ctx) {
  ctx.work.emplace_back(OwnerWork{OwnerShardOfWorker(event.worker()), event});
}

void DispatchNode::HandleEvent(const DispatchTick& event, EventContext& ctx) {
  const bool was_isolated = m_members.Isolated();
  m_own_delay = event.own_delay();
  HandleMemberChanges(m_members.OnTick(ctx.now, event.own_delay()), ctx);
  if (m_members.Isolated() != was_isolated) AssignWorkers(ctx);
  LogLinkLosses(ctx);
  QueueForAllOwnerShards(OwnerTick(event.own_delay()), ctx);
  QueueForAllJobShards(JobTick(), ctx);
  ProcessQueue(ctx);
  KeepContacts(ctx);
  SendMemberHeartbeats(ctx);
  m_capacity.DropExpired(ctx.now);
  m_crashes.DropExpired(ctx.now);
  AnnounceCapacity(ctx);
  RelayCapacity(ctx);
  ShowEvacuatedRuns(ctx);
  ShowConfigurationAge(ctx);
}

void DispatchNode::HandleEvent(const StopPlanned& /*event*/, EventContext& ctx) {
  m_draining = true;
  m_members.SetDraining();
  AssignWorkers(ctx);
  m_capacity.Forget(m_self);
  ProcessQueue(ctx);
  SendMemberHeartbeats(ctx);
  m_capacity_checked_at = 0;
  m_capacity_sent_other_zones_at = 0;
  AnnounceCapacity(ctx);
}

void DispatchNode::HandleEvent(const IntakeClosed& /*event*/, EventContext& /*ctx*/) {
  m_intake_closed = true;
}

void DispatchNode::AssignWorkers(EventContext& ctx) {
  std::lock_guard<std::mutex> lock(m_assign_mutex);
  const WorkerAssignment own = m_members.OwnWorkers();
  std::vector<WorkerListings> by_shard(m_owners.size());
  for (const WorkerListing& worker : own.workers()) {
    by_shard[OwnerShardOf(worker.service())].push_back(worker);
  }
  for (std::size_t i = 0; i < by_shard.size(); ++i) {
    ApplyToOwnerShard(OwnerWork{i, WorkerAssignment(std::move(by_shard[i]), own.standby_workers())},
                      ctx);
  }
  m_capacity.RetainServices(m_self, Digests());
}

void DispatchNode::SendMemberHeartbeats(EventContext& ctx) {
  const auto due_heartbeats = m_members.DueHeartbeats(ctx.now);
  if (due_heartbeats.empty()) return;
  // read after the echoes, so that no run was doubted when the heartbeat that is echoed arrived
  std::vector<RunKey> doubted_runs;
  for (const auto& shard : m_jobs) {
    const std::vector<RunKey> doubted = shard->DoubtedRuns();
    doubted_runs.insert(doubted_runs.end(), doubted.begin(), doubted.end());
  }
  const auto worker_list = m_draining ? std::nullopt : m_worker_list.Offer(ctx.now);
  for (const OutgoingHeartbeat& outgoing : due_heartbeats) {
    if (outgoing.reset_link()) ctx.out.emplace_back(ResetLink(outgoing.to()));
    ctx.out.emplace_back(SendMessage(
        outgoing.to(),
        MemberHeartbeat(m_listing, m_draining, outgoing.sequence(), outgoing.echo(),
                        outgoing.link_losses(), m_configuration.version(), m_tokens.highest(),
                        outgoing.parting(), worker_list, doubted_runs, m_own_delay)));
  }
}

void DispatchNode::AnnounceCapacity(EventContext& ctx) {
  const Duration interval =
      std::max(kCapacityInterval, kCapacityIntervalPerZoneMember * m_members.ZoneSize());
  const bool zone_due = IsDue(m_capacity_checked_at, interval, ctx);
  const bool others_due = IsDue(m_capacity_sent_other_zones_at, kOtherZoneCapacityInterval, ctx);
  if (!zone_due && !others_due) return;
  const auto digests = m_draining ? std::vector<CapacityDigest>() : Digests();
  bool changed = false;
  {
    std::lock_guard<std::mutex> lock(m_announced_mutex);
    changed = digests != m_announced;
    // a VM that owns nothing has nothing to announce
    if (digests.empty() && !changed) return;
    if (zone_due) m_announced = digests;
  }
  std::vector<Address> to;
  if (zone_due && (changed || IsDue(m_capacity_sent_at, kUnchangedCapacityInterval, ctx))) {
    m_capacity_sent_at = ctx.now.time_since_epoch().count();
    to = m_members.ZoneMembers();
  }
  if (others_due || digests.empty()) {
    const std::vector<Address> relays = m_members.OtherRelays();
    to.insert(to.end(), relays.begin(), relays.end());
  }
  if (to.empty()) return;
  ctx.out.emplace_back(
      SendMessage(std::move(to), CapacityAnnouncement(m_self, m_listing.zone(), digests)));
}

void DispatchNode::RelayCapacity(EventContext& ctx) {
  if (!m_members.IsRelay()) return;
  if (!IsDue(m_capacity_relayed_at, kOtherZoneCapacityInterval, ctx)) return;
  std::vector<Address> to = m_members.RelayRecipients();
  if (to.empty()) return;
  auto announcements = m_capacity.OtherZones(kRelayedWorkers);
  if (announcements.empty()) return;
  ctx.out.emplace_back(SendMessage(std::move(to), CapacityRelay(std::move(announcements))));
}

bool DispatchNode::IsDue(std::atomic<Instant::rep>& last, Duration interval,
                         const EventContext& ctx) {
  const Instant::rep now = ctx.now.time_since_epoch().count();
  if (now - last < interval.count()) return false;
  last = now;
  return true;
}

void DispatchNode::KeepContacts(EventContext& ctx) {
  for (const auto& shard : m_jobs) {
    for (const NodeId& owner : shard->OwnersInUse()) {
      if (owner == m_self) continue;
      m_members.RequestContact(owner, ctx.now);
      // an order may have been sent to a process of which only a delayed announcement was heard
      if (!m_members.IsKnown(owner)) QueueForAllJobShards(OwnerLost(owner), ctx);
    }
  }
}

void DispatchNode::SendToContact(const SendToOwner& to_owner, EventContext& ctx) {
  if (m_members.RequestContact(to_owner.owner(), ctx.now)) SendMemberHeartbeats(ctx);
  ctx.out.emplace_back(SendMessage(to_owner.owner().address(), WithHeardEcho(to_owner)));
}

std::vector<CapacityDigest> DispatchNode::Digests() const {
  std::vector<CapacityDigest> digests;
  for (const auto& shard : m_owners) {
    for (CapacityDigest& digest : shard->Digests()) digests.push_back(std::move(digest));
  }
  return digests;
}

void DispatchNode::ProcessQueue(EventContext& ctx) {
  while (!ctx.work.empty()) {
    const ShardWork work = std::move(ctx.work.front());
    ctx.work.pop_front();
    if (const auto* jobs = std::get_if<JobWork>(&work)) {
      ApplyToJobShard(*jobs, ctx);
    } else {
      ApplyToOwnerShard(std::get<OwnerWork>(work), ctx);
    }
  }
}

void DispatchNode::ApplyToJobShard(const JobWork& work, EventContext& ctx) {
  for (JobEffect& effect : m_jobs[work.shard]->Apply(JobInput(ctx.now, work.event))) {
    if (auto* to_owner = std::get_if<SendToOwner>(&effect)) {
      if (to_owner->owner() == m_self) {
        QueueForOwnerShard(to_owner->message(), ctx);
      } else {
        SendToContact(*to_owner, ctx);
      }
    } else if (auto* answer = std::get_if<AnswerCaller>(&effect)) {
      ctx.out.emplace_back(std::move(*answer));
    } else if (auto* increment = std::get_if<CounterIncrement>(&effect)) {
      ctx.out.emplace_back(std::move(*increment));
    } else if (auto* settled = std::get_if<JobFinished>(&effect)) {
      ctx.out.emplace_back(std::move(*settled));
    } else if (auto* loss = std::get_if<WorkerLoss>(&effect)) {
      RecordLoss(*loss, ctx);
    } else {
      ctx.out.emplace_back(std::move(std::get<LogEvent>(effect)));
    }
  }
}

void DispatchNode::QueueForOwnerShard(const DispatchMessage& message, EventContext& ctx) const {
  if (const auto* place = std::get_if<PlaceRuns>(&message)) {
    ctx.work.emplace_back(OwnerWork{OwnerShardOf(place->service()), *place});
  } else if (const auto* cancel = std::get_if<CancelRuns>(&message)) {
    ctx.work.emplace_back(OwnerWork{OwnerShardOf(cancel->service()), *cancel});
  } else if (const auto* adopt = std::get_if<AdoptRun>(&message)) {
    ctx.work.emplace_back(OwnerWork{OwnerShardOf(adopt->service()), *adopt});
  }
}

DispatchMessage DispatchNode::WithHeardEcho(const SendToOwner& to_owner) const {
  const std::uint64_t echo = m_members.HeardSequence(to_owner.owner());
  if (const auto* place = std::get_if<PlaceRuns>(&to_owner.message())) return place->WithEcho(echo);
  if (const auto* adopt = std::get_if<AdoptRun>(&to_owner.message())) return adopt->WithEcho(echo);
  return to_owner.message();
}

void DispatchNode::ApplyToOwnerShard(const OwnerWork& work, EventContext& ctx) {
  OwnerShard& shard = *m_owners[work.shard];
  OwnerEffects effects = shard.Apply(OwnerInput(ctx.now, work.event));
  const auto digests = m_draining ? std::vector<CapacityDigest>() : shard.Digests();
  for (const CapacityDigest& digest : digests) m_capacity.Update(m_self, m_listing.zone(), digest);
  for (OwnerEffect& effect : effects) {
    if (auto* report = std::get_if<SendRunReports>(&effect)) {
      const RunReports reports(m_self, report->reports(), report->free_capacity(),
                               report->coordinator());
      if (report->coordinator() == m_self) {
        QueueReports(reports, ctx);
      } else {
        ctx.out.emplace_back(SendMessage(report->coordinator().address(), reports));
      }
    } else if (auto* start = std::get_if<StartRun>(&effect)) {
      ctx.out.emplace_back(std::move(*start));
    } else if (auto* stop = std::get_if<StopRun>(&effect)) {
      ctx.out.emplace_back(std::move(*stop));
    } else if (auto* increment = std::get_if<CounterIncrement>(&effect)) {
      ctx.out.emplace_back(std::move(*increment));
    } else if (auto* renew = std::get_if<RenewLease>(&effect)) {
      ctx.out.emplace_back(std::move(*renew));
    } else if (auto* loss = std::get_if<WorkerLoss>(&effect)) {
      RecordLoss(*loss, ctx);
    } else {
      ctx.out.emplace_back(std::move(std::get<LogEvent>(effect)));
    }
  }
}

void DispatchNode::QueueReports(const RunReports& reports, EventContext& ctx) {
  std::vector<std::vector<RunReport>> by_shard(m_jobs.size());
  for (const RunReport& report : reports.reports()) {
    by_shard[JobShardOf(report.run().task().job())].push_back(report);
  }
  for (std::size_t i = 0; i < by_shard.size(); ++i) {
    if (by_shard[i].empty()) continue;
    ctx.work.emplace_back(
        JobWork{i, RunReports(reports.owner(), std::move(by_shard[i]), CapacityUpdate({}, false))});
  }
}

void DispatchNode::QueueForAllJobShards(const JobEvent& event, EventContext& ctx) const {
  for (std::size_t i = 0; i < m_jobs.size(); ++i) ctx.work.emplace_back(JobWork{i, event});
}

void DispatchNode::QueueForAllOwnerShards(const OwnerEvent& event, EventContext& ctx) const {
  for (std::size_t i = 0; i < m_owners.size(); ++i) ctx.work.emplace_back(OwnerWork{i, event});
}

}  // namespace sapphireflow
