// Part of routing: the way of each event through the parts of a dispatch node.
#include "sapphireflow/routing/dispatch_node.h"

#include <functional>
#include <set>
#include <utility>

#include "sapphireflow/ownership/order_limits.h"

namespace sapphireflow {
namespace {

constexpr std::size_t kJobShards = 4;
// a service's workers and waiting runs share one lock
constexpr std::size_t kOwnerShards = 2;
// news of runs carry what their owner offers too; this is for members that have none
constexpr Duration kRoomInterval = std::chrono::milliseconds(200);
// members of other zones use these workers when their own are full or gone
constexpr Duration kRoomIntervalAcross = std::chrono::milliseconds(1000);
// after the lapse of a lease: how long an owner out of touch may go on renewing it, until it finds
// that it has lost its coordinator too: the longest silence of members, and a tick
constexpr Duration kSilentOwnerTime = std::chrono::milliseconds(1050);

// a caller that this node refuses can go to another one at once
constexpr Duration kElsewhereAfter = std::chrono::milliseconds(100);

OwnerPolicies MakePolicies(const DispatchSettings& settings) {
  return {MakeStartOrder(settings.start_order()),
          std::make_unique<SlowestSufficientChoice>(settings.remote_factor()),
          MakeOutlierDetector(settings.outliers())};
}

}  // namespace

DispatchNode::DispatchNode(const MemberListing& listing, const DispatchSettings& settings)
    : m_listing(listing),
      m_self(listing.node()),
      m_tokens(m_self),
      m_rooms(m_self, listing.zone(), MakeOwnerChoice(settings.owner_choice())),
      m_members(listing) {
  const Duration lapse = settings.leases().lapse_time() + kSilentOwnerTime;
  const JobTimes times(lapse, lapse + kOldestOrder + kLongestQueueing);
  for (std::size_t i = 0; i < kJobShards; ++i) {
    m_jobs.push_back(std::make_unique<JobShard>(m_self, times, m_rooms, m_members));
  }
  for (std::size_t i = 0; i < kOwnerShards; ++i) {
    m_owners.push_back(std::make_unique<OwnerShard>(
        m_self, settings.leases(), MakePolicies(settings), m_tokens, m_next_call, m_rooms));
  }
}

DispatchEffects DispatchNode::Apply(const DispatchInput& in) {
  Pass pass{in.now(), {}, {}};
  std::visit([&](const auto& event) { Take(event, pass); }, in.event());
  Drain(pass);
  return std::move(pass.out);
}

std::size_t DispatchNode::OwnerShardOf(const std::string& service) const {
  return std::hash<std::string>()(service) % m_owners.size();
}

std::size_t DispatchNode::OwnerShardOfWorker(const WorkerId& worker) const {
  std::lock_guard<std::mutex> lock(m_workers_mutex);
  const auto found = m_service_of.find(worker);
  return found == m_service_of.end() ? 0 : OwnerShardOf(found->second);
}

void DispatchNode::Take(const SubmitWork& event, Pass& pass) {
  if (m_intake_closed) {
    pass.out.emplace_back(AnswerWork(event.token(), WorkVerdict::kRefused,
                                     Error(ErrorId::kDraining, "this entry VM is stopping"),
                                     kElsewhereAfter, 0));
    return;
  }
  pass.work.emplace_back(ForJobs{JobShardOf(event.order()->key()), event});
}

void DispatchNode::Take(const CallerGone& event, Pass& pass) { ToAllJobs(event, pass); }

void DispatchNode::Take(const AskWork& event, Pass& pass) {
  if (event.question() == WorkQuestion::kWaitingCount) {
    std::uint64_t waiting = 0;
    for (const auto& shard : m_jobs) waiting += shard->WaitingJobs(event.queue());
    pass.out.emplace_back(
        AnswerWork(event.token(), WorkVerdict::kCount, std::nullopt, Duration::zero(), waiting));
    return;
  }
  pass.work.emplace_back(ForJobs{JobShardOf(event.job()), event});
}

void DispatchNode::Take(const WorkersListed& event, Pass& pass) {
  {
    std::lock_guard<std::mutex> lock(m_workers_mutex);
    for (const WorkerListing& worker : event.workers()) {
      m_service_of[worker.id()] = worker.service();
    }
  }
  m_members.SetWorkers(event.workers());
  m_rooms.SetListings(event.workers());
  AssignWorkers(pass);
}

void DispatchNode::Take(const MembersListed& event, Pass& pass) {
  Follow(m_members.OnListed(event.members(), pass.now), pass);
}

void DispatchNode::Take(const StoreAnswered& /*event*/, Pass& pass) {
  m_members.OnStoreAnswer(pass.now);
}

void DispatchNode::Take(const ConfigurationCopy& event, Pass& pass) {
  const std::uint64_t before = m_configuration.version();
  if (!m_configuration.Take(event.configuration())) return;
  pass.out.emplace_back(
      LogEvent(LogLevel::kInfo, "configuration_in_force",
               {{"version", std::to_string(event.configuration()->version())},
                {"before", std::to_string(before)},
                {"queues", std::to_string(event.configuration()->queues().size())}}));
}

void DispatchNode::Take(const DispatchMessage& event, Pass& pass) {
  std::visit([&](const auto& message) { Receive(message, pass); }, event);
}

void DispatchNode::Take(const LinkDown& event, Pass& pass) {
  m_members.OnLinkDown(event.peer(), pass.now);
}

void DispatchNode::Take(const StartReplied& event, Pass& pass) {
  pass.work.emplace_back(ForOwners{OwnerShardOfWorker(event.worker()), event});
}

void DispatchNode::Take(const RenewalReplied& event, Pass& pass) {
  pass.work.emplace_back(ForOwners{OwnerShardOfWorker(event.worker()), event});
}

void DispatchNode::Take(const DispatchTick& /*event*/, Pass& pass) {
  const bool was_isolated = m_members.Isolated();
  Follow(m_members.OnTick(pass.now), pass);
  if (m_members.Isolated() != was_isolated) AssignWorkers(pass);
  ToAllOwners(OwnerTick(), pass);
  ToAllJobs(JobTick(), pass);
  Drain(pass);
  SendBeats(pass);
  SendRooms(pass);
}

void DispatchNode::Take(const StopPlanned& /*event*/, Pass& pass) {
  m_draining = true;
  m_members.SetDraining();
  AssignWorkers(pass);
  m_rooms.Forget(m_self);
  Drain(pass);
  SendBeats(pass);
  m_rooms_sent_at = 0;
  m_rooms_sent_across_at = 0;
  SendRooms(pass);
}

void DispatchNode::Take(const IntakeClosed& /*event*/, Pass& /*pass*/) { m_intake_closed = true; }

void DispatchNode::AssignWorkers(Pass& pass) {
  std::lock_guard<std::mutex> lock(m_assign_mutex);
  const WorkerAssignment own = m_members.OwnWorkers();
  std::vector<WorkerListings> by_shard(m_owners.size());
  for (const WorkerListing& worker : own.workers()) {
    by_shard[OwnerShardOf(worker.service())].push_back(worker);
  }
  for (std::size_t i = 0; i < by_shard.size(); ++i) {
    RunOwners(ForOwners{i, WorkerAssignment(std::move(by_shard[i]), own.deputized())}, pass);
  }
  m_rooms.KeepServices(m_self, Digests());
}

void DispatchNode::SendBeats(Pass& pass) {
  const auto beats = m_members.DueHeartbeats(pass.now);
  if (beats.empty()) return;
  for (const OutgoingHeartbeat& beat : beats) {
    if (beat.reset_link()) pass.out.emplace_back(ResetLink(beat.to()));
    pass.out.emplace_back(SendMessage(
        beat.to(), MemberBeat(m_listing, m_draining, beat.sequence(), beat.echo(),
                              beat.link_losses(), m_configuration.version(), m_tokens.highest())));
  }
}

void DispatchNode::SendRooms(Pass& pass) {
  std::vector<Address> to;
  AddDueReaders(true, pass, &to);
  AddDueReaders(false, pass, &to);
  if (to.empty()) return;
  const auto digests = m_draining ? std::vector<RoomDigest>() : Digests();
  pass.out.emplace_back(SendMessage(std::move(to), RoomNotice(m_self, m_listing.zone(), digests)));
}

void DispatchNode::AddDueReaders(bool own_zone, Pass& pass, std::vector<Address>* readers) {
  std::atomic<Instant::rep>& sent_at = own_zone ? m_rooms_sent_at : m_rooms_sent_across_at;
  const Duration interval = own_zone ? kRoomInterval : kRoomIntervalAcross;
  const Instant::rep now = pass.now.time_since_epoch().count();
  if (now - sent_at < interval.count()) return;
  sent_at = now;
  for (const Address& address : m_members.ReachableMembers(own_zone)) readers->push_back(address);
}

std::vector<RoomDigest> DispatchNode::Digests() const {
  std::vector<RoomDigest> digests;
  for (const auto& shard : m_owners) {
    for (RoomDigest& digest : shard->Digests()) digests.push_back(std::move(digest));
  }
  return digests;
}

void DispatchNode::Drain(Pass& pass) {
  while (!pass.work.empty()) {
    const Work work = std::move(pass.work.front());
    pass.work.pop_front();
    if (const auto* jobs = std::get_if<ForJobs>(&work)) {
      RunJobs(*jobs, pass);
    } else {
      RunOwners(std::get<ForOwners>(work), pass);
    }
  }
}

void DispatchNode::RunJobs(const ForJobs& work, Pass& pass) {
  for (JobEffect& effect : m_jobs[work.shard]->Apply(JobInput(pass.now, work.event))) {
    if (auto* tell = std::get_if<TellOwner>(&effect)) {
      if (tell->owner() == m_self) {
        ToOwnShard(tell->message(), pass);
      } else {
        pass.out.emplace_back(SendMessage(tell->owner().address(), Stamped(*tell)));
      }
    } else if (auto* answer = std::get_if<AnswerWork>(&effect)) {
      pass.out.emplace_back(std::move(*answer));
    } else if (auto* settled = std::get_if<WorkSettled>(&effect)) {
      pass.out.emplace_back(std::move(*settled));
    } else {
      pass.out.emplace_back(std::move(std::get<LogEvent>(effect)));
    }
  }
}

void DispatchNode::ToOwnShard(const DispatchMessage& message, Pass& pass) const {
  if (const auto* place = std::get_if<PlaceRuns>(&message)) {
    pass.work.emplace_back(ForOwners{OwnerShardOf(place->service()), *place});
  } else if (const auto* cancel = std::get_if<CancelRuns>(&message)) {
    pass.work.emplace_back(ForOwners{OwnerShardOf(cancel->service()), *cancel});
  } else if (const auto* adopt = std::get_if<AdoptRun>(&message)) {
    pass.work.emplace_back(ForOwners{OwnerShardOf(adopt->service()), *adopt});
  }
}

DispatchMessage DispatchNode::Stamped(const TellOwner& tell) const {
  const std::uint64_t echo = m_members.HeardSequence(tell.owner());
  if (const auto* place = std::get_if<PlaceRuns>(&tell.message())) return place->WithEcho(echo);
  if (const auto* adopt = std::get_if<AdoptRun>(&tell.message())) return adopt->WithEcho(echo);
  return tell.message();
}

void DispatchNode::RunOwners(const ForOwners& work, Pass& pass) {
  OwnerShard& shard = *m_owners[work.shard];
  OwnerEffects effects = shard.Apply(OwnerInput(pass.now, work.event));
  const auto digests = m_draining ? std::vector<RoomDigest>() : shard.Digests();
  for (const RoomDigest& digest : digests) m_rooms.Update(m_self, m_listing.zone(), digest);
  for (OwnerEffect& effect : effects) {
    if (auto* report = std::get_if<ReportRuns>(&effect)) {
      const RunReports reports(m_self, report->reports(), report->rooms());
      if (report->coordinator() == m_self) {
        SpreadReports(reports, pass);
      } else {
        pass.out.emplace_back(SendMessage(report->coordinator().address(), reports));
      }
    } else if (auto* start = std::get_if<StartRun>(&effect)) {
      pass.out.emplace_back(std::move(*start));
    } else if (auto* stop = std::get_if<StopRun>(&effect)) {
      pass.out.emplace_back(std::move(*stop));
    } else if (auto* renew = std::get_if<RenewLease>(&effect)) {
      pass.out.emplace_back(std::move(*renew));
    } else {
      pass.out.emplace_back(std::move(std::get<LogEvent>(effect)));
    }
  }
}

void DispatchNode::SpreadReports(const RunReports& reports, Pass& pass) {
  std::vector<std::vector<RunReport>> by_shard(m_jobs.size());
  for (const RunReport& report : reports.reports()) {
    by_shard[JobShardOf(report.run().task().job())].push_back(report);
  }
  for (std::size_t i = 0; i < by_shard.size(); ++i) {
    if (by_shard[i].empty()) continue;
    pass.work.emplace_back(
        ForJobs{i, RunReports(reports.owner(), std::move(by_shard[i]), RoomUpdate({}, false))});
  }
}

void DispatchNode::ToAllJobs(const JobEvent& event, Pass& pass) const {
  for (std::size_t i = 0; i < m_jobs.size(); ++i) pass.work.emplace_back(ForJobs{i, event});
}

void DispatchNode::ToAllOwners(const OwnerEvent& event, Pass& pass) const {
  for (std::size_t i = 0; i < m_owners.size(); ++i) pass.work.emplace_back(ForOwners{i, event});
}

}  // namespace sapphireflow
