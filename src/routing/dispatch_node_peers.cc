// Part of routing: messages from other members and membership changes.
#include <utility>

#include "sapphireflow/routing/dispatch_node.h"

namespace sapphireflow {

void DispatchNode::Receive(const PlaceRuns& message, EventContext& ctx) {
  if (m_members.IsFresh(message.coordinator(), message.echo(), ctx.now)) {
    ctx.work.emplace_back(OwnerWork{OwnerShardOf(message.service()), message});
    return;
  }
  std::vector<RunReport> reports;
  for (const RunOrder& order : message.runs()) {
    reports.emplace_back(order.run(), RunTransition::kDeclined, RunEnd::kAbsent, "",
                         "order_too_old");
  }
  ctx.out.emplace_back(LogEvent(LogLevel::kWarning, "order_too_old",
                                {{"coordinator", message.coordinator().text()},
                                 {"runs", std::to_string(reports.size())},
                                 {"echo", std::to_string(message.echo())}}));
  ctx.out.emplace_back(
      SendMessage(message.coordinator().address(),
                  RunReports(m_self, std::move(reports), CapacityUpdate(Digests(), true))));
}

void DispatchNode::Receive(const CancelRuns& message, EventContext& ctx) {
  if (message.service().empty()) {
    QueueForAllOwnerShards(message, ctx);
  } else {
    ctx.work.emplace_back(OwnerWork{OwnerShardOf(message.service()), message});
  }
}

void DispatchNode::Receive(const AdoptRun& message, EventContext& ctx) {
  // the coordinator repeats the request while it still wants the run
  if (!m_members.IsFresh(message.coordinator(), message.echo(), ctx.now)) return;
  ctx.work.emplace_back(OwnerWork{OwnerShardOf(message.service()), message});
}

void DispatchNode::Receive(const RunReports& message, EventContext& ctx) {
  for (const CapacityDigest& digest : message.free_capacity().digests()) {
    if (message.free_capacity().complete()) {
      m_capacity.Update(message.owner(), "", digest);
    } else {
      m_capacity.MergeDigest(message.owner(), digest);
    }
  }
  QueueReports(message, ctx);
}

void DispatchNode::Receive(const MemberHeartbeat& message, EventContext& ctx) {
  m_tokens.Observe(message.token_floor());
  HandleMemberChanges(m_members.OnHeartbeat(message, ctx.now), ctx);
  if (message.configuration_version() > m_configuration.version()) {
    ctx.out.emplace_back(
        SendMessage(message.from().node().address(), ConfigurationRequest(m_self)));
  }
}

void DispatchNode::Receive(const CapacityAnnouncement& message, EventContext& /*ctx*/) {
  m_capacity.RetainServices(message.owner(), message.digests());
  for (const CapacityDigest& digest : message.digests()) {
    m_capacity.Update(message.owner(), message.zone(), digest);
  }
}

void DispatchNode::Receive(const ConfigurationRequest& message, EventContext& ctx) {
  if (const auto current = m_configuration.current()) {
    ctx.out.emplace_back(SendMessage(message.from().address(), ConfigurationCopy(current)));
  }
}

void DispatchNode::Receive(const ConfigurationCopy& message, EventContext& ctx) {
  HandleEvent(message, ctx);
}

void DispatchNode::HandleMemberChanges(const MemberChanges& changes, EventContext& ctx) {
  if (changes.empty()) return;
  for (const MemberChange& change : changes) {
    const char* name = "member_joined";
    switch (change.kind()) {
      case MemberChange::Kind::kJoined:
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
        name = "member_link_lost";
        QueueForAllJobShards(OwnerLinkLost(change.node()), ctx);
        break;
    }
    ctx.out.emplace_back(LogEvent(
        change.kind() == MemberChange::Kind::kJoined ? LogLevel::kInfo : LogLevel::kWarning, name,
        {{"member", change.node().text()}, {"why", change.why()}}));
  }
  AssignWorkers(ctx);
}

}  // namespace sapphireflow
