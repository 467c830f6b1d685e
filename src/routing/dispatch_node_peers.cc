// Part of routing: messages from other members, and changes among them.
#include <utility>

#include "sapphireflow/routing/dispatch_node.h"

namespace sapphireflow {

void DispatchNode::Receive(const PlaceRuns& message, Pass& pass) {
  if (m_members.IsFresh(message.coordinator(), message.echo(), pass.now)) {
    pass.work.emplace_back(ForOwners{OwnerShardOf(message.service()), message});
    return;
  }
  std::vector<RunReport> reports;
  for (const RunOrder& order : message.runs()) {
    reports.emplace_back(order.run(), RunNews::kDeclined, RunEnd::kAbsent, "", "order_too_old");
  }
  pass.out.emplace_back(LogEvent(LogLevel::kWarning, "order_too_old",
                                 {{"coordinator", message.coordinator().text()},
                                  {"runs", std::to_string(reports.size())},
                                  {"echo", std::to_string(message.echo())}}));
  pass.out.emplace_back(
      SendMessage(message.coordinator().address(),
                  RunReports(m_self, std::move(reports), RoomUpdate(Digests(), true))));
}

void DispatchNode::Receive(const CancelRuns& message, Pass& pass) {
  if (message.service().empty()) {
    ToAllOwners(message, pass);
  } else {
    pass.work.emplace_back(ForOwners{OwnerShardOf(message.service()), message});
  }
}

void DispatchNode::Receive(const AdoptRun& message, Pass& pass) {
  // the coordinator asks again while it wants the run
  if (!m_members.IsFresh(message.coordinator(), message.echo(), pass.now)) return;
  pass.work.emplace_back(ForOwners{OwnerShardOf(message.service()), message});
}

void DispatchNode::Receive(const RunReports& message, Pass& pass) {
  for (const RoomDigest& digest : message.rooms().digests()) {
    if (message.rooms().complete()) {
      m_rooms.Update(message.owner(), "", digest);
    } else {
      m_rooms.Amend(message.owner(), digest);
    }
  }
  SpreadReports(message, pass);
}

void DispatchNode::Receive(const MemberBeat& message, Pass& pass) {
  m_tokens.Seen(message.token_floor());
  Follow(m_members.OnHeartbeat(message, pass.now), pass);
  if (message.configuration_version() > m_configuration.version()) {
    pass.out.emplace_back(
        SendMessage(message.from().node().address(), ConfigurationRequest(m_self)));
  }
}

void DispatchNode::Receive(const RoomNotice& message, Pass& /*pass*/) {
  m_rooms.KeepServices(message.owner(), message.digests());
  for (const RoomDigest& digest : message.digests()) {
    m_rooms.Update(message.owner(), message.zone(), digest);
  }
}

void DispatchNode::Receive(const ConfigurationRequest& message, Pass& pass) {
  if (const auto current = m_configuration.current()) {
    pass.out.emplace_back(SendMessage(message.from().address(), ConfigurationCopy(current)));
  }
}

void DispatchNode::Receive(const ConfigurationCopy& message, Pass& pass) { Take(message, pass); }

void DispatchNode::Follow(const MemberChanges& changes, Pass& pass) {
  if (changes.empty()) return;
  for (const MemberChange& change : changes) {
    const char* name = "member_joined";
    switch (change.kind()) {
      case MemberChange::Kind::kJoined:
        break;
      case MemberChange::Kind::kLost:
        name = "member_lost";
        m_rooms.Forget(change.node());
        ToAllJobs(OwnerLost(change.node()), pass);
        ToAllOwners(CoordinatorLost(change.node()), pass);
        break;
      case MemberChange::Kind::kDraining:
        name = "member_draining";
        m_rooms.Forget(change.node());
        break;
      case MemberChange::Kind::kLinkLost:
        name = "member_link_lost";
        ToAllJobs(OwnerLinkLost(change.node()), pass);
        break;
    }
    pass.out.emplace_back(LogEvent(
        change.kind() == MemberChange::Kind::kJoined ? LogLevel::kInfo : LogLevel::kWarning, name,
        {{"member", change.node().text()}, {"why", change.why()}}));
  }
  AssignWorkers(pass);
}

}  // namespace sapphireflow
