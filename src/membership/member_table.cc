// Part of membership: failure detection and worker ownership.
#include "sapphireflow/membership/member_table.h"

#include <algorithm>
#include <utility>

#include "sapphireflow/membership/rendezvous_hashing.h"
#include "sapphireflow/ownership/order_limits.h"

namespace sapphireflow {
namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(150);
// The heartbeat interval grows with the number of members, of the zone or in all, so that the
// heartbeat load of a VM does not.
constexpr Duration kHeartbeatIntervalPerMember = std::chrono::milliseconds(8);
constexpr Duration kHeartbeatIntervalPerZoneMember = std::chrono::milliseconds(12);
constexpr Duration kMaxHeartbeatInterval = std::chrono::milliseconds(300);
// Unreachable members get fewer heartbeats.
constexpr Duration kUnreachableHeartbeatInterval = std::chrono::milliseconds(500);
// The silence timeout is shorter than a lease of 1 s, so that a new owner takes over before runs
// lapse, and shorter than the time of 1 s or more after which callers resubmit a job.
constexpr int kMissedHeartbeatLimit = 4;
constexpr Duration kMaxSilence = std::chrono::milliseconds(1000);
// A VM that is later than this is replaced as if it had ended.
constexpr Duration kMaxDelayAllowance = std::chrono::milliseconds(2000);
// A new contact counts as reachable for this long before its first heartbeat: processes start
// within 1 s.
constexpr Duration kStartupGrace = std::chrono::milliseconds(1500);
// Members that were killed together are back within 1 s, and a network partition heals in seconds.
constexpr Duration kMajorityTakeoverDelay = std::chrono::milliseconds(2500);
constexpr std::size_t kSentHeartbeatHistory = 16;
// In a fleet of up to this many members all are contacts of each other.
constexpr std::size_t kFullMeshMembers = 16;
// Longer than the silence timeout, so that the loss of the other side is noticed before the contact
// ends.
constexpr Duration kContactDuration = std::chrono::milliseconds(3000);
constexpr Duration kAnswerDuration = std::chrono::milliseconds(1500);
// A member is removed after this time without a listing or a heartbeat.
constexpr Duration kForgetAfter = std::chrono::seconds(15);

}  // namespace

MemberTable::MemberTable(MemberListing self, const LeaseLimits& leases)
    : m_self(std::move(self)),
      m_leases(leases),
      m_nominal({m_self}),
      m_primary({m_self}),
      m_effective({m_self}) {}

MemberChanges MemberTable::OnListed(const std::vector<MemberListing>& members, Instant now) {
  MemberChanges changes;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto& [address, member] : m_members) {
    if (std::exchange(member.listed, false)) member.unlisted_at = now;
  }
  for (const MemberListing& listing : members) {
    if (listing.node().address() == m_self.node().address()) continue;
    const auto [place, is_new] = m_members.try_emplace(listing.node().address());
    Member& member = place->second;
    // heartbeats are newer than the list
    const bool restarted =
        !is_new && member.node != listing.node() && !(member.contact && member.heard);
    if (restarted) {
      changes.emplace_back(MemberChange::Kind::kLost, member.node, "restarted");
      Member fresh;
      fresh.sent_sequence = member.sent_sequence;
      fresh.former_alive_at = std::max(member.alive_at, member.former_alive_at);
      member = fresh;
    }
    member.listed = true;
    if (!is_new && !restarted) continue;
    member.node = listing.node();
    member.zone = listing.zone();
    member.milli_cores = listing.milli_cores();
    member.is_reachable = true;
    changes.emplace_back(MemberChange::Kind::kJoined, member.node, "listed");
  }
  RefreshRoles(now);
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
    fresh.contact = member.contact;
    fresh.requested_until = member.requested_until;
    // The new process may already have received heartbeats sent to this address, so the sequence
    // continues.
    fresh.sent_sequence = member.sent_sequence;
    fresh.sent = member.sent;
    fresh.former_alive_at = std::max(member.alive_at, member.former_alive_at);
    member = fresh;
    m_next_heartbeat_at = Instant{};
  }
  member.node = from;
  member.zone = member_heartbeat.from().zone();
  member.milli_cores = member_heartbeat.from().milli_cores();
  if (member_heartbeat.parting()) {
    member.answered_until = now;
    RefreshRoles(now);
    return changes;
  }
  member.answered_until = now + kAnswerDuration;
  if (!member.contact) StartContact(member, now);
  if (member.first_heard_at == Instant{}) member.first_heard_at = now;
  NoteEcho(member, member_heartbeat.echo());
  if (!member.heard) {
    member.heard = true;
    member.peer_link_losses = member_heartbeat.link_losses();
    member.echoed_at = now;
  }
  member.heard_at = now;
  if (member_heartbeat.sequence() > member.heard_sequence) {
    member.heard_sequence = member_heartbeat.sequence();
    member.delay = member_heartbeat.delay();
    std::map<RunKey, Instant> doubted_runs;
    for (const RunKey& run : member_heartbeat.doubted_runs()) {
      doubted_runs.emplace(run, WantedAt(member, run));
    }
    member.doubted_runs = std::move(doubted_runs);
    member.wanted_at =
        std::max(member.wanted_at, SendTimeOf(member, member_heartbeat.echo()).value_or(Instant{}));
  }
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
  if (is_new || !changes.empty()) RefreshRoles(now);
  return changes;
}

std::optional<Instant> MemberTable::SendTimeOf(const Member& member, std::uint64_t echo) {
  const auto echoed_heartbeat =
      std::find_if(member.sent.begin(), member.sent.end(),
                   [echo](const auto& item) { return item.first == echo; });
  if (echoed_heartbeat == member.sent.end()) return std::nullopt;
  return echoed_heartbeat->second;
}

std::optional<Instant> MemberTable::EchoedAt(const NodeId& member, std::uint64_t echo) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(member.address());
  if (found == m_members.end() || found->second.node != member) return std::nullopt;
  return SendTimeOf(found->second, echo);
}

void MemberTable::NoteEcho(Member& member, std::uint64_t echo) {
  member.alive_at = std::max(member.alive_at, SendTimeOf(member, echo).value_or(Instant{}));
}

void MemberTable::OnEcho(const NodeId& sender, std::uint64_t echo) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(sender.address());
  if (found != m_members.end() && found->second.node == sender) NoteEcho(found->second, echo);
}

Instant MemberTable::AliveAt(const NodeId& coordinator, Instant now) const {
  if (coordinator == m_self.node()) return now;
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(coordinator.address());
  if (found == m_members.end() || found->second.node != coordinator) return {};
  return found->second.alive_at;
}

Instant MemberTable::WantedAt(const Member& member, const RunKey& run) {
  const auto doubted = member.doubted_runs.find(run);
  return doubted == member.doubted_runs.end() ? member.wanted_at : doubted->second;
}

Instant MemberTable::WantedAt(const NodeId& coordinator, const RunKey& run, Instant now) const {
  if (coordinator == m_self.node()) return now;
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(coordinator.address());
  if (found == m_members.end() || found->second.node != coordinator) return {};
  return WantedAt(found->second, run);
}

Instant MemberTable::WantedByAllAt(const RunKey& run, Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_members.size() >= kFullMeshMembers) return {};
  Instant wanted_at = now;
  for (const auto& [address, member] : m_members) {
    wanted_at = std::min(wanted_at, WantedAt(member, run));
    // runs of the process before may go on for this long after it was replaced
    const bool may_have_former_runs = member.former_alive_at != Instant{} &&
                                      now - member.first_heard_at < m_leases.max_orphan_lease();
    if (may_have_former_runs) wanted_at = std::min(wanted_at, member.former_alive_at);
  }
  return wanted_at;
}

Duration MemberTable::HeartbeatInterval(const Member& member) const {
  const Duration wanted =
      member.zone == m_self.zone()
          ? kHeartbeatIntervalPerZoneMember * m_zone_size
          : kHeartbeatIntervalPerMember * static_cast<std::int64_t>(m_members.size());
  return std::clamp(wanted, kHeartbeatInterval, kMaxHeartbeatInterval);
}

Duration MemberTable::SilenceTimeout(const Member& member) const {
  const Duration silence = std::min(kMissedHeartbeatLimit * HeartbeatInterval(member), kMaxSilence);
  return silence + std::min(m_own_delay + member.delay, kMaxDelayAllowance);
}

void MemberTable::OnLinkDown(const Address& peer, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(peer);
  if (found == m_members.end()) return;
  Member& member = found->second;
  ++member.own_link_losses;
  // sends the next heartbeat soon, so that a process that has ended is detected early
  member.next_heartbeat_at = std::min(member.next_heartbeat_at, now + kHeartbeatInterval / 3);
  m_next_heartbeat_at = std::min(m_next_heartbeat_at, member.next_heartbeat_at);
  member.unreported_link_loss = true;
}

void MemberTable::MarkLost(Member& member, const std::string& why, MemberChanges& changes) const {
  member.is_reachable = false;
  changes.emplace_back(MemberChange::Kind::kLost, member.node, why);
}

MemberChanges MemberTable::OnTick(Instant now, Duration own_delay) {
  MemberChanges changes;
  std::lock_guard<std::mutex> lock(m_mutex);
  m_own_delay = own_delay;
  m_last_tick_at = now;
  bool forgotten = false;
  for (auto item = m_members.begin(); item != m_members.end();) {
    Member& member = item->second;
    if (member.is_reachable && member.unreported_link_loss && member.heard) {
      changes.emplace_back(MemberChange::Kind::kLinkLost, member.node, "own_link_lost");
    }
    member.unreported_link_loss = false;
    if (member.contact && member.is_reachable) {
      if (member.heard && now - member.heard_at > SilenceTimeout(member)) {
        MarkLost(member, "silent", changes);
      } else if (member.heard && now - member.echoed_at > SilenceTimeout(member)) {
        // a connection that works in one direction only is unusable
        MarkLost(member, "no_echo", changes);
      } else if (!member.heard && now > member.grace_until) {
        MarkLost(member, "no_heartbeat", changes);
      }
    } else if (!member.listed &&
               now - std::max(member.heard_at, member.unlisted_at) > kForgetAfter) {
      item = m_members.erase(item);
      forgotten = true;
      continue;
    }
    ++item;
  }
  if (forgotten || !changes.empty()) {
    RefreshRoles(now);
  } else {
    RefreshContacts(now);
  }
  if (!MajorityUnreachable()) {
    m_majority_lost_at.reset();
  } else if (!m_majority_lost_at) {
    m_majority_lost_at = now;
  }
  return changes;
}

void MemberTable::RefreshRoles(Instant now) {
  std::vector<MemberListing> all = {m_self};
  std::set<Address> draining;
  if (m_draining) draining.insert(m_self.node().address());
  std::set<Address> absent = draining;
  m_zone_size = 1;
  for (const auto& [address, member] : m_members) {
    all.emplace_back(member.node, member.zone, member.milli_cores);
    if (member.zone == m_self.zone()) ++m_zone_size;
    if (member.draining) draining.insert(address);
    if (member.draining || !member.is_reachable) absent.insert(address);
  }
  m_nominal = ZoneRoles(all);
  m_primary = ZoneRoles(all, draining);
  m_effective = ZoneRoles(std::move(all), absent);
  for (auto& [address, member] : m_members) member.structural = IsStructuralContact(member);
  RefreshContacts(now);
}

bool MemberTable::IsStructuralContact(const Member& member) const {
  if (m_members.size() < kFullMeshMembers) return true;
  const Address& self = m_self.node().address();
  const Address& other = member.node.address();
  const bool same_zone = member.zone == m_self.zone();
  for (const ZoneRoles* roles : {&m_nominal, &m_primary, &m_effective}) {
    if (same_zone ? roles->IsOwner(self) || roles->IsOwner(other)
                  : roles->IsRelay(self) && roles->IsRelay(other)) {
      return true;
    }
  }
  return false;
}

void MemberTable::StartContact(Member& member, Instant now) {
  member.contact = true;
  member.parting = false;
  member.heard = false;
  member.grace_until = now + kStartupGrace;
  member.echoed_at = now;
  member.next_heartbeat_at = Instant{};
  m_next_heartbeat_at = Instant{};
}

void MemberTable::RefreshContacts(Instant now) {
  for (auto& [address, member] : m_members) {
    if (member.structural || now < member.requested_until || now < member.answered_until) {
      if (!member.contact) StartContact(member, now);
    } else if (member.contact) {
      member.contact = false;
      member.parting = member.is_reachable;
      m_next_heartbeat_at = Instant{};
      // nothing is known against it any longer
      member.is_reachable = member.is_reachable || member.listed;
    }
  }
}

void MemberTable::SetDraining() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_draining = true;
  for (auto& [address, member] : m_members) member.next_heartbeat_at = Instant{};
  m_next_heartbeat_at = Instant{};
  RefreshRoles(m_last_tick_at);
}

bool MemberTable::RequestContact(const NodeId& member, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(member.address());
  if (found == m_members.end()) return false;
  Member& known = found->second;
  known.requested_until = now + kContactDuration;
  if (known.contact) return false;
  StartContact(known, now);
  return true;
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
  // nobody would stop the runs of a member that already counts as lost
  if (found == m_members.end() || found->second.node != sender || !found->second.is_reachable) {
    return false;
  }
  const auto sent_at = SendTimeOf(found->second, echo);
  return sent_at && now - *sent_at <= kMaxOrderAge;
}

std::vector<OutgoingHeartbeat> MemberTable::DueHeartbeats(Instant now) {
  std::vector<OutgoingHeartbeat> due_heartbeats;
  std::lock_guard<std::mutex> lock(m_mutex);
  if (now < m_next_heartbeat_at) return due_heartbeats;
  m_next_heartbeat_at = Instant::max();
  for (auto& [address, member] : m_members) {
    const bool parting = std::exchange(member.parting, false);
    if (!parting && !member.contact) continue;
    if (!parting && now < member.next_heartbeat_at) {
      m_next_heartbeat_at = std::min(m_next_heartbeat_at, member.next_heartbeat_at);
      continue;
    }
    member.next_heartbeat_at =
        now + (member.is_reachable ? HeartbeatInterval(member) : kUnreachableHeartbeatInterval);
    if (member.contact) {
      m_next_heartbeat_at = std::min(m_next_heartbeat_at, member.next_heartbeat_at);
    }
    const bool echo_overdue = !parting && member.is_reachable && member.heard &&
                              now - member.echoed_at > SilenceTimeout(member) * 3 / 4 &&
                              now - member.link_reset_at > SilenceTimeout(member) * 3 / 4;
    if (echo_overdue) member.link_reset_at = now;
    member.sent.emplace_back(member.sent_sequence + 1, now);
    if (member.sent.size() > kSentHeartbeatHistory) member.sent.pop_front();
    due_heartbeats.emplace_back(address, ++member.sent_sequence, member.heard_sequence,
                                member.own_link_losses, echo_overdue, parting);
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
  std::ptrdiff_t contacts = 0;
  std::ptrdiff_t reachable = 0;
  for (const auto& [address, member] : m_members) {
    if (!member.contact) continue;
    ++contacts;
    if (member.is_reachable) ++reachable;
  }
  return 2 * reachable < contacts;
}

std::optional<NodeId> MemberTable::OwnerOfLocked(const WorkerListing& worker,
                                                 const ZoneRoles& roles) const {
  const HomeCandidates& candidates = roles.OwnersFor(worker.zone());
  if (candidates.empty()) return std::nullopt;
  const Address home = ChooseHome(worker.address(), candidates);
  return home == m_self.node().address() ? m_self.node() : m_members.at(home).node;
}

WorkerAssignment MemberTable::OwnWorkers() const {
  WorkerListings own;
  std::set<WorkerId> standby_workers;
  std::lock_guard<std::mutex> lock(m_mutex);
  // An isolated VM takes over no workers, because their owners may still be serving them.
  const ZoneRoles& roles = RolesInForce();
  const Address& self = m_self.node().address();
  if (!roles.IsOwner(self)) return {std::move(own), std::move(standby_workers)};
  std::map<std::string, bool> may_own;
  const auto is_candidate = [&self](const HomeCandidate& owner) { return owner.address() == self; };
  for (const auto& [id, worker] : m_workers) {
    const auto [zone, is_new] = may_own.try_emplace(worker.zone(), false);
    if (is_new) {
      const HomeCandidates& owners = roles.OwnersFor(worker.zone());
      zone->second = std::any_of(owners.begin(), owners.end(), is_candidate);
    }
    if (!zone->second || OwnerOfLocked(worker, roles) != m_self.node()) continue;
    own.push_back(worker);
    if (roles != m_primary && OwnerOfLocked(worker, m_primary) != m_self.node()) {
      standby_workers.insert(id);
    }
  }
  return {std::move(own), std::move(standby_workers)};
}

std::optional<NodeId> MemberTable::OwnerOf(const WorkerId& worker) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_workers.find(worker);
  if (found == m_workers.end()) return std::nullopt;
  return OwnerOfLocked(found->second, RolesInForce());
}

bool MemberTable::IsKnown(const NodeId& member) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(member.address());
  return found != m_members.end() && found->second.node == member;
}

bool MemberTable::IsReachable(const NodeId& member) const {
  if (member == m_self.node()) return true;
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(member.address());
  return found != m_members.end() && found->second.node == member && found->second.is_reachable;
}

bool MemberTable::IsRelay() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_effective.IsRelay(m_self.node().address());
}

bool MemberTable::IsRelay(const NodeId& member) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_effective.IsRelay(member.address());
}

std::int64_t MemberTable::ZoneSize() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_zone_size;
}

std::vector<Address> MemberTable::ZoneMembers() const {
  std::vector<Address> addresses;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [address, member] : m_members) {
    if (member.is_reachable && member.zone == m_self.zone()) addresses.push_back(address);
  }
  return addresses;
}

std::vector<Address> MemberTable::RelayRecipients() const {
  std::vector<Address> addresses = ZoneMembers();
  std::lock_guard<std::mutex> lock(m_mutex);
  addresses.erase(
      std::remove_if(addresses.begin(), addresses.end(),
                     [this](const Address& address) { return m_effective.IsRelay(address); }),
      addresses.end());
  return addresses;
}

std::vector<Address> MemberTable::OtherRelays() const {
  std::vector<Address> addresses;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [address, member] : m_members) {
    if (member.is_reachable && member.zone != m_self.zone() && m_effective.IsRelay(address)) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

}  // namespace sapphireflow
