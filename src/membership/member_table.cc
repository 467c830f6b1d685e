// Part of membership: failure detection and worker ownership.
#include "sapphireflow/membership/member_table.h"

#include <algorithm>

#include "sapphireflow/membership/rendezvous_hashing.h"
#include "sapphireflow/ownership/order_limits.h"

namespace sapphireflow {
namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(150);
// The heartbeat interval to other zones grows with the number of members, so that the heartbeat
// load of a VM does not.
constexpr Duration kHeartbeatIntervalPerMember = std::chrono::milliseconds(8);
constexpr Duration kMaxHeartbeatInterval = std::chrono::milliseconds(300);
// Unreachable members get fewer heartbeats.
constexpr Duration kUnreachableHeartbeatInterval = std::chrono::milliseconds(500);
// The silence timeout is shorter than a lease of 1 s, so that a new owner takes over before runs
// lapse, and shorter than the time of 1 s or more after which callers resubmit a job.
constexpr int kMissedHeartbeatLimit = 4;
constexpr Duration kMaxSilence = std::chrono::milliseconds(1000);
// A newly listed member counts as reachable for this long before its first heartbeat: processes
// start within 1 s.
constexpr Duration kStartupGrace = std::chrono::milliseconds(1500);
// Members that were killed together are back within 1 s, and a network partition heals in seconds.
constexpr Duration kMajorityTakeoverDelay = std::chrono::milliseconds(2500);
constexpr std::size_t kSentHeartbeatHistory = 16;
// CPU time that a VM spends on coordinating its callers' jobs; measured in docs/CAPACITY.md. Only
// the rest of its CPU share counts as weight for owning workers.
constexpr std::uint32_t kCoordinatingMilliCores = 50;
// An unlisted member is removed after this time without a heartbeat.
constexpr Duration kForgetAfter = std::chrono::seconds(15);

}  // namespace

MemberTable::MemberTable(MemberListing self) : m_self(std::move(self)) {}

MemberChanges MemberTable::OnListed(const std::vector<MemberListing>& members, Instant now) {
  MemberChanges changes;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto& [address, member] : m_members) member.listed = false;
  for (const MemberListing& listing : members) {
    if (listing.node().address() == m_self.node().address()) continue;
    const auto [place, is_new] = m_members.try_emplace(listing.node().address());
    Member& member = place->second;
    member.listed = true;
    if (!is_new) continue;
    member.node = listing.node();
    member.zone = listing.zone();
    member.milli_cores = listing.milli_cores();
    member.is_reachable = true;
    member.grace_until = now + kStartupGrace;
    member.echoed_at = now;
    changes.emplace_back(MemberChange::Kind::kJoined, member.node, "listed");
  }
  return changes;
}

MemberChanges MemberTable::OnHeartbeat(const MemberHeartbeat& member_heartbeat, Instant now) {
  MemberChanges changes;
  std::lock_guard<std::mutex> lock(m_mutex);
  const NodeId& from = member_heartbeat.from().node();
  const auto [place, is_new] = m_members.try_emplace(from.address());
  Member& member = place->second;
  if (!is_new && member.node != from) {
    // another process has taken the address
    if (from.incarnation() < member.node.incarnation() && member.heard_sequence > 0 &&
        now - member.heard_at < SilenceTimeout(member)) {
      return changes;
    }
    if (member.heard_sequence > 0) {
      changes.emplace_back(MemberChange::Kind::kLost, member.node, "restarted");
    }
    Member fresh;
    fresh.listed = member.listed;
    // The new process may already have received heartbeats sent to this address, so the sequence
    // continues.
    fresh.sent_sequence = member.sent_sequence;
    fresh.sent = member.sent;
    member = fresh;
  }
  const bool first = member.heard_sequence == 0;
  member.node = from;
  member.zone = member_heartbeat.from().zone();
  member.milli_cores = member_heartbeat.from().milli_cores();
  if (first) {
    member.peer_link_losses = member_heartbeat.link_losses();
    member.echoed_at = now;
  }
  member.heard_at = now;
  member.heard_sequence = std::max(member.heard_sequence, member_heartbeat.sequence());
  // an echo above the last sequence sent belongs to an earlier process at this address
  if (member_heartbeat.echo() > member.echoed && member_heartbeat.echo() <= member.sent_sequence) {
    member.echoed = member_heartbeat.echo();
    member.echoed_at = now;
  }
  const bool joined = !member.is_reachable && now - member.echoed_at <= SilenceTimeout(member);
  if (joined) member.is_reachable = true;
  if (joined) changes.emplace_back(MemberChange::Kind::kJoined, member.node, "heard");
  if (member_heartbeat.draining() && !member.draining) {
    member.draining = true;
    changes.emplace_back(MemberChange::Kind::kDraining, member.node, "draining");
  }
  if (member_heartbeat.link_losses() > member.peer_link_losses) {
    member.peer_link_losses = member_heartbeat.link_losses();
    changes.emplace_back(MemberChange::Kind::kLinkLost, member.node, "peer_link_lost");
  }
  return changes;
}

Duration MemberTable::HeartbeatInterval(const Member& member) const {
  if (member.zone == m_self.zone()) return kHeartbeatInterval;
  const auto members = static_cast<std::int64_t>(m_members.size());
  return std::clamp<Duration>(kHeartbeatIntervalPerMember * members, kHeartbeatInterval,
                              kMaxHeartbeatInterval);
}

Duration MemberTable::SilenceTimeout(const Member& member) const {
  return std::min(kMissedHeartbeatLimit * HeartbeatInterval(member), kMaxSilence);
}

void MemberTable::OnLinkDown(const Address& peer, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(peer);
  if (found == m_members.end()) return;
  Member& member = found->second;
  ++member.own_link_losses;
  // sends the next heartbeat soon, so that a process that has ended is detected early
  member.next_heartbeat_at = std::min(member.next_heartbeat_at, now + kHeartbeatInterval / 3);
  member.unreported_link_loss = true;
}

void MemberTable::MarkLost(Member& member, const std::string& why, MemberChanges& changes) const {
  member.is_reachable = false;
  changes.emplace_back(MemberChange::Kind::kLost, member.node, why);
}

MemberChanges MemberTable::OnTick(Instant now) {
  MemberChanges changes;
  std::lock_guard<std::mutex> lock(m_mutex);
  m_last_tick_at = now;
  for (auto item = m_members.begin(); item != m_members.end();) {
    Member& member = item->second;
    if (member.is_reachable && member.unreported_link_loss && member.heard_sequence > 0) {
      changes.emplace_back(MemberChange::Kind::kLinkLost, member.node, "own_link_lost");
    }
    member.unreported_link_loss = false;
    if (member.is_reachable) {
      const bool heard = member.heard_sequence > 0;
      if (heard && now - member.heard_at > SilenceTimeout(member)) {
        MarkLost(member, "silent", changes);
      } else if (heard && now - member.echoed_at > SilenceTimeout(member)) {
        // a connection that works in one direction only is unusable
        MarkLost(member, "no_echo", changes);
      }
      if (!heard && now > member.grace_until) MarkLost(member, "no_heartbeat", changes);
    } else if (!member.listed && now - member.heard_at > kForgetAfter) {
      item = m_members.erase(item);
      continue;
    }
    ++item;
  }
  if (!MajorityUnreachable()) {
    m_majority_lost_at.reset();
  } else if (!m_majority_lost_at) {
    m_majority_lost_at = now;
  }
  return changes;
}

void MemberTable::SetDraining() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_draining = true;
  for (auto& [address, member] : m_members) member.next_heartbeat_at = Instant{};
}

void MemberTable::SetWorkers(const WorkerListings& workers) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_workers.clear();
  for (const WorkerListing& worker : workers) m_workers.emplace(worker.id(), worker);
}

std::uint64_t MemberTable::HeardSequence(const NodeId& member) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(member.address());
  return found == m_members.end() ? 0 : found->second.heard_sequence;
}

bool MemberTable::IsFresh(const NodeId& sender, std::uint64_t echo, Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(sender.address());
  if (found == m_members.end()) return false;
  const auto& sent = found->second.sent;
  const auto echoed_heartbeat = std::find_if(
      sent.begin(), sent.end(), [echo](const auto& item) { return item.first == echo; });
  return echoed_heartbeat != sent.end() && now - echoed_heartbeat->second <= kMaxOrderAge;
}

std::vector<OutgoingHeartbeat> MemberTable::DueHeartbeats(Instant now) {
  std::vector<OutgoingHeartbeat> due_heartbeats;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto& [address, member] : m_members) {
    if (now < member.next_heartbeat_at) continue;
    member.next_heartbeat_at =
        now + (member.is_reachable ? HeartbeatInterval(member) : kUnreachableHeartbeatInterval);
    const bool echo_overdue = member.is_reachable && member.heard_sequence > 0 &&
                              now - member.echoed_at > SilenceTimeout(member) * 3 / 4 &&
                              now - member.link_reset_at > SilenceTimeout(member) * 3 / 4;
    if (echo_overdue) member.link_reset_at = now;
    member.sent.emplace_back(member.sent_sequence + 1, now);
    if (member.sent.size() > kSentHeartbeatHistory) member.sent.pop_front();
    due_heartbeats.emplace_back(address, ++member.sent_sequence, member.heard_sequence,
                                member.own_link_losses, echo_overdue);
  }
  return due_heartbeats;
}

void MemberTable::OnStoreAnswer(Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_store_answer_at = now;
}

bool MemberTable::Isolated() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return IsolatedLocked();
}

bool MemberTable::IsolatedLocked() const {
  return m_majority_lost_at && (m_store_answer_at <= *m_majority_lost_at ||
                                m_last_tick_at - *m_majority_lost_at < kMajorityTakeoverDelay);
}

bool MemberTable::MajorityUnreachable() const {
  const auto reachable_count =
      std::count_if(m_members.begin(), m_members.end(),
                    [](const auto& item) { return item.second.is_reachable; });
  return 2 * reachable_count < static_cast<std::ptrdiff_t>(m_members.size());
}

MemberTable::OwnerCandidates MemberTable::OwnerCandidatesLocked(bool include_unreachable) const {
  OwnerCandidates owners;
  const auto add = [&owners](const Address& address, const std::string& zone,
                             std::uint32_t milli_cores) {
    const std::uint32_t spare =
        milli_cores > kCoordinatingMilliCores ? milli_cores - kCoordinatingMilliCores : 1;
    const HomeCandidate candidate(address, spare);
    owners.by_zone[zone].push_back(candidate);
    owners.all.push_back(candidate);
  };
  if (!m_draining) add(m_self.node().address(), m_self.zone(), m_self.milli_cores());
  for (const auto& [address, member] : m_members) {
    if ((member.is_reachable || include_unreachable) && !member.draining) {
      add(address, member.zone, member.milli_cores);
    }
  }
  return owners;
}

std::optional<NodeId> MemberTable::OwnerOfLocked(const WorkerListing& worker,
                                                 const OwnerCandidates& owners) const {
  if (owners.all.empty()) return std::nullopt;
  const auto in_zone = owners.by_zone.find(worker.zone());
  const HomeCandidates& candidates = in_zone == owners.by_zone.end() ? owners.all : in_zone->second;
  const Address home = ChooseHome(worker.address(), candidates);
  return home == m_self.node().address() ? m_self.node() : m_members.at(home).node;
}

WorkerAssignment MemberTable::OwnWorkers() const {
  WorkerListings own;
  std::set<WorkerId> standby_workers;
  std::lock_guard<std::mutex> lock(m_mutex);
  // candidates if all members were reachable
  const OwnerCandidates primary = OwnerCandidatesLocked(true);
  // An isolated VM takes over no workers, because their owners may still be serving them.
  const bool isolated = IsolatedLocked();
  const OwnerCandidates effective = isolated ? primary : OwnerCandidatesLocked(false);
  const bool all_present = effective.all.size() == primary.all.size();
  for (const auto& [id, worker] : m_workers) {
    if (OwnerOfLocked(worker, effective) != m_self.node()) continue;
    own.push_back(worker);
    if (!all_present && OwnerOfLocked(worker, primary) != m_self.node()) standby_workers.insert(id);
  }
  return {std::move(own), std::move(standby_workers)};
}

std::optional<NodeId> MemberTable::OwnerOf(const WorkerId& worker) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_workers.find(worker);
  if (found == m_workers.end()) return std::nullopt;
  return OwnerOfLocked(found->second, OwnerCandidatesLocked(IsolatedLocked()));
}

std::vector<Address> MemberTable::ReachableMembers(bool own_zone) const {
  std::vector<Address> addresses;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [address, member] : m_members) {
    if (member.is_reachable && (member.zone == m_self.zone()) == own_zone) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

}  // namespace sapphireflow
