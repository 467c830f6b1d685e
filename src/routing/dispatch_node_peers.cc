// Part of routing: messages from other members and membership changes.
#include <utility>

#include "sapphireflow/dispatch/detail/log_fields.h"
#include "sapphireflow/routing/dispatch_node.h"

namespace sapphireflow {
namespace {

// Three announcements are missing by then.
constexpr Duration kCapacityLifetime = std::chrono::milliseconds(3500);
// An owner announces to other zones once a second, and a relay passes it on once a second.
constexpr Duration kMaxRelayTime = std::chrono::milliseconds(2000);
// Time for reading a new configuration from the store before a member is asked for it, and for its
// answer before another one is.
constexpr Duration kConfigurationReadTime = std::chrono::milliseconds(400);
constexpr Duration kConfigurationRequestInterval = std::chrono::milliseconds(500);
// Messages may have been lost with a link for this long before the loss is noticed.
constexpr Duration kLostWithLink = std::chrono::seconds(3);

}  // namespace

void DispatchNode::Receive(const PlaceRuns& message, EventContext& ctx) {
  m_members.OnEcho(message.coordinator(), message.echo());
  if (m_members.IsFresh(message.coordinator(), message.echo(), ctx.now)) {
    ctx.work.emplace_back(OwnerWork{OwnerShardOf(message.service()), message});
    return;
  }
  std::vector<RunReport> reports;
  for (const RunOrder& order : message.runs()) {
    reports.emplace_back(order.run(), RunTransition::kDeclined, RunEnd::kAbsent, "",
                         "order_too_old");
  }
  // a coordinator that has just become a contact has nothing to echo yet
  const LogLevel level = message.echo() == 0 ? LogLevel::kInfo : LogLevel::kWarning;
  ctx.out.emplace_back(LogEvent(level, "order_too_old",
                                {{"coordinator", message.coordinator().text()},
                                 {"runs", std::to_string(reports.size())},
                                 {"echo", std::to_string(message.echo())}}));
  ctx.out.emplace_back(
      SendMessage(message.coordinator().address(),
                  RunReports(m_self, std::move(reports), CapacityUpdate(Digests(), true),
                             message.coordinator())));
}

void DispatchNode::Receive(const CancelRuns& message, EventContext& ctx) {
  if (message.service().empty()) {
    QueueForAllOwnerShards(message, ctx);
  } else {
    ctx.work.emplace_back(OwnerWork{OwnerShardOf(message.service()), message});
  }
}

void DispatchNode::Receive(const AdoptRun& message, EventContext& ctx) {
  m_members.OnEcho(message.coordinator(), message.echo());
  // the coordinator repeats the request while it still wants the run
  if (!m_members.IsFresh(message.coordinator(), message.echo(), ctx.now)) {
    LogOutdated(message, ctx);
    return;
  }
  ctx.work.emplace_back(OwnerWork{OwnerShardOf(message.service()), message});
}

void DispatchNode::LogOutdated(const AdoptRun& adoption, EventContext& ctx) {
  ctx.out.emplace_back(CounterIncrement("adoptions_total", "state", "outdated"));
  {
    std::lock_guard<std::mutex> lock(m_outdated_mutex);
    if (!m_logged_outdated.IsNew({adoption.run(), adoption.coordinator()}, ctx.now)) return;
  }
  ctx.out.emplace_back(
      LogEvent(LogLevel::kWarning, "adoption_outdated",
               detail::RunFields(adoption.run(), {{"coordinator", adoption.coordinator().text()},
                                                  {"echo", std::to_string(adoption.echo())}})));
}

void DispatchNode::Receive(const RunReports& message, EventContext& ctx) {
  const DigestTimes times(ctx.now, ctx.now + kCapacityLifetime);
  for (const CapacityDigest& digest : message.free_capacity().digests()) {
    if (message.free_capacity().complete()) {
      m_capacity.Update(message.owner(), "", digest, times);
    } else {
      m_capacity.MergeDigest(message.owner(), digest, ctx.now);
    }
  }
  if (message.coordinator() && *message.coordinator() != m_self) {
    ctx.out.emplace_back(LogEvent(LogLevel::kInfo, "reports_for_former_process",
                                  {{"owner", message.owner().text()},
                                   {"runs", std::to_string(message.reports().size())},
                                   {"coordinator", message.coordinator()->text()}}));
    return;
  }
  QueueReports(message, ctx);
}

void DispatchNode::Receive(const MemberHeartbeat& message, EventContext& ctx) {
  m_tokens.Observe(message.token_floor());
  HandleMemberChanges(m_members.OnHeartbeat(message, ctx.now), ctx);
  // a new contact waits for the first one, which its orders have to echo
  SendMemberHeartbeats(ctx);
  ConsiderWorkerList(message, ctx);
  if (message.configuration_version() <= m_configuration.version()) {
    m_newer_configuration_at = 0;
    return;
  }
  // Every member hears of a change from many others at once, and nearly always reads it itself.
  const Instant::rep now = ctx.now.time_since_epoch().count();
  if (m_newer_configuration_at == 0) m_newer_configuration_at = now;
  if (now - m_newer_configuration_at < kConfigurationReadTime.count()) return;
  if (!IsDue(m_configuration_requested_at, kConfigurationRequestInterval, ctx)) return;
  ctx.out.emplace_back(SendMessage(message.from().node().address(), ConfigurationRequest(m_self)));
}

void DispatchNode::ConsiderWorkerList(const MemberHeartbeat& heartbeat, EventContext& ctx) {
  const auto& offer = heartbeat.worker_list();
  if (!offer || heartbeat.from().zone() != m_listing.zone()) return;
  const NodeId& from = heartbeat.from().node();
  // the age counts from when this heartbeat was sent, which was later than the one that it echoes
  const auto sent_after = m_members.EchoedAt(from, heartbeat.echo());
  if (!sent_after) return;
  const bool is_preferred = m_members.IsRelay(from) && !m_members.IsRelay();
  if (!m_worker_list.OnOffer(from, is_preferred, offer->version(), *sent_after - offer->age(),
                             ctx.now)) {
    return;
  }
  ctx.out.emplace_back(SendMessage(from.address(), WorkerListRequest(m_self)));
}

void DispatchNode::Receive(const CapacityAnnouncement& message, EventContext& ctx) {
  // it may be delayed, and its sender gone
  if (!m_members.IsKnown(message.owner())) return;
  m_capacity.RetainServices(message.owner(), message.digests());
  for (const CapacityDigest& digest : message.digests()) {
    m_capacity.Update(message.owner(), message.zone(), digest,
                      DigestTimes(ctx.now, ctx.now + kCapacityLifetime));
  }
}

void DispatchNode::Receive(const CapacityRelay& message, EventContext& ctx) {
  for (const CapacityAnnouncement& announcement : message.announcements()) {
    if (!m_members.IsReachable(announcement.owner())) continue;
    m_capacity.UpdateRelayed(announcement, ctx.now,
                             DigestTimes(ctx.now - kMaxRelayTime, ctx.now + kCapacityLifetime));
  }
}

void DispatchNode::Receive(const WorkerListUpdate& message, EventContext& ctx) {
  if (m_worker_list.OnUpdate(message)) UseWorkerList(ctx);
}

void DispatchNode::Receive(const WorkerListRequest& message, EventContext& ctx) {
  if (auto list = m_worker_list.Snapshot()) {
    ctx.out.emplace_back(SendMessage(message.from().address(), std::move(*list)));
  }
}

void DispatchNode::Receive(const CrashNotice& message, EventContext& ctx) {
  std::vector<LossRecord> news;
  for (const LossRecord& record : message.records()) {
    const bool was_confined = m_crashes.ConfinementOf(record.queue(), ctx.now) != nullptr;
    if (!m_crashes.Merge(record, ctx.now)) continue;
    news.push_back(record);
    if (!was_confined) LogConfinement(record.queue(), ctx);
  }
  if (news.empty() || message.zone() == m_listing.zone() || !m_members.IsRelay()) return;
  std::vector<Address> to = m_members.ZoneMembers();
  if (to.empty()) return;
  ctx.out.emplace_back(SendMessage(std::move(to), CrashNotice(m_listing.zone(), std::move(news))));
}

void DispatchNode::RecordLoss(const WorkerLoss& loss, EventContext& ctx) {
  const bool was_confined = m_crashes.ConfinementOf(loss.queue(), ctx.now) != nullptr;
  auto record = m_crashes.Record(loss, ctx.now);
  if (!record) return;
  if (!was_confined) LogConfinement(loss.queue(), ctx);
  std::vector<Address> to = m_members.ZoneMembers();
  const std::vector<Address> relays = m_members.OtherRelays();
  to.insert(to.end(), relays.begin(), relays.end());
  if (to.empty()) return;
  ctx.out.emplace_back(
      SendMessage(std::move(to), CrashNotice(m_listing.zone(), {std::move(*record)})));
}

void DispatchNode::LogConfinement(const std::string& queue, EventContext& ctx) const {
  if (!m_crashes.ConfinementOf(queue, ctx.now)) return;
  ctx.out.emplace_back(LogEvent(LogLevel::kWarning, "queue_confined", {{"queue", queue}}));
}

void DispatchNode::SendLossesTo(const NodeId& member, Instant since, EventContext& ctx) {
  std::vector<LossRecord> records = m_crashes.Snapshot(since);
  if (records.empty()) return;
  ctx.out.emplace_back(
      SendMessage(member.address(), CrashNotice(m_listing.zone(), std::move(records))));
}

void DispatchNode::Receive(const ConfigurationRequest& message, EventContext& ctx) {
  if (const auto current = m_configuration.current()) {
    ctx.out.emplace_back(SendMessage(message.from().address(), ConfigurationCopy(current)));
  }
}

void DispatchNode::Receive(const ConfigurationCopy& message, EventContext& ctx) {
  HandleEvent(message, ctx);
}

void DispatchNode::LogLinkLosses(EventContext& ctx) {
  for (LogEvent& line : m_link_losses.DueLines(ctx.now)) ctx.out.emplace_back(std::move(line));
}

void DispatchNode::HandleMemberChanges(const MemberChanges& changes, EventContext& ctx) {
  if (changes.empty()) return;
  for (const MemberChange& change : changes) {
    const char* name = "member_joined";
    switch (change.kind()) {
      case MemberChange::Kind::kJoined:
        if (m_members.IsRelay()) SendLossesTo(change.node(), Instant{}, ctx);
        break;
      case MemberChange::Kind::kLost:
        name = "member_lost";
        m_capacity.Forget(change.node());
        QueueForAllJobShards(OwnerLost(change.node()), ctx);
        QueueForAllOwnerShards(CoordinatorLost(change.node()), ctx);
        break;
      case MemberChange::Kind::kDraining:
        name = "member_draining";
        m_capacity.Forget(change.node());
        break;
      case MemberChange::Kind::kLinkLost:
        QueueForAllJobShards(OwnerLinkLost(change.node()), ctx);
        SendLossesTo(change.node(), ctx.now - kLostWithLink, ctx);
        ctx.out.emplace_back(CounterIncrement("link_losses_total", "why", change.why()));
        m_link_losses.Record(change.node(), change.why(), ctx.now);
        LogLinkLosses(ctx);
        continue;
    }
    ctx.out.emplace_back(LogEvent(
        change.kind() == MemberChange::Kind::kJoined ? LogLevel::kInfo : LogLevel::kWarning, name,
        {{"member", change.node().text()}, {"why", change.why()}}));
  }
  AssignWorkers(ctx);
}

}  // namespace sapphireflow
