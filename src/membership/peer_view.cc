// Part of membership: merging heartbeats and lists into the view of the fleet.
#include "sapphireflow/membership/peer_view.h"

#include <algorithm>
#include <utility>

#include "sapphireflow/membership/rendezvous_hashing.h"

namespace sapphireflow {
namespace {

// Limit on successors of successors; a longer chain outlasts the retention of ids.
constexpr int kMaxSuccessorChain = 16;
// After this many silence timeouts without any heartbeat, the entry VM counts as alone.
constexpr int kAloneAfterSilences = 5;
// Number of entry VMs in each other zone that receive heartbeats.
constexpr std::size_t kTargetsPerOtherZone = 2;

bool Lists(const VmList& list, const Address& address) {
  return std::any_of(list.entries().begin(), list.entries().end(),
                     [&](const EntryVm& entry) { return entry.address() == address; });
}

}  // namespace

PeerView::PeerView(const NodeId& self, std::string zone, std::vector<Address> seeds,
                   const MembershipOptions& options, Instant started_at)
    : m_self(self),
      m_zone(std::move(zone)),
      m_seeds(std::move(seeds)),
      m_options(options),
      m_started_at(started_at) {}

HeartbeatResult PeerView::MergeHeartbeat(const Heartbeat& heartbeat, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const NodeId& from = heartbeat.from();
  if (from.address() == m_self.address()) return {std::nullopt, false};
  std::optional<NodeId> replaced;
  bool changed = true;
  const auto found = m_peers.find(from.address());
  if (found != m_peers.end()) {
    const NodeId before = found->second.last.from();
    if (from.incarnation() < before.incarnation()) return {std::nullopt, false};
    if (from != before) replaced = before;
    changed = replaced || !IsLive(found->second, now) ||
              heartbeat.draining() != found->second.last.draining();
  }
  m_peers.insert_or_assign(from.address(), Peer{heartbeat, now, heartbeat.free_slots()});
  m_heard_any_peer = true;
  for (const SuccessorNote& note : heartbeat.notes()) m_notes.try_emplace(note.old_home(), note);
  for (const Address& upstream : heartbeat.leaving()) {
    const Instant until = now + m_options.list_lag();
    const bool is_first_report = m_reported_leaving.insert_or_assign(upstream, until).second;
    if (is_first_report) ++m_list_number;
    changed = changed || is_first_report;
  }
  return {replaced, changed};
}

void PeerView::MergeVmList(const VmList& list, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const EntryVm& entry : m_list.entries()) {
    if (!Lists(list, entry.address())) m_unlisted.try_emplace(entry.address(), now);
  }
  for (const EntryVm& entry : list.entries()) m_unlisted.erase(entry.address());
  m_list = list;
  ++m_list_number;
}

void PeerView::AddNote(const SuccessorNote& note) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_notes.try_emplace(note.old_home(), note);
}

std::vector<Address> PeerView::Leaving() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<Address> leaving;
  for (const Worker& worker : m_list.workers()) {
    if (worker.leaving() && worker.zone() == m_zone) leaving.push_back(worker.address());
  }
  return leaving;
}

std::set<Address> PeerView::AllLeaving() const {
  const std::vector<Address> listed = Leaving();
  std::lock_guard<std::mutex> lock(m_mutex);
  std::set<Address> leaving(listed.begin(), listed.end());
  for (const auto& [upstream, until] : m_reported_leaving) leaving.insert(upstream);
  return leaving;
}

void PeerView::DropExpired(Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto leaving_report = m_reported_leaving.begin();
       leaving_report != m_reported_leaving.end();) {
    const bool over = leaving_report->second < now;
    if (over) ++m_list_number;
    leaving_report = over ? m_reported_leaving.erase(leaving_report) : std::next(leaving_report);
  }
  for (auto note = m_notes.begin(); note != m_notes.end();) {
    note = note->second.expires_at() < now ? m_notes.erase(note) : std::next(note);
  }
}

std::vector<SuccessorNote> PeerView::Notes() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<SuccessorNote> notes;
  notes.reserve(m_notes.size());
  for (const auto& [home, note] : m_notes) notes.push_back(note);
  return notes;
}

std::optional<SuccessorNote> PeerView::NoteFor(const NodeId& home) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_notes.find(home);
  if (found == m_notes.end()) return std::nullopt;
  return found->second;
}

std::vector<Address> PeerView::HeartbeatTargets() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::set<Address> targets;
  std::map<std::string, std::vector<Address>> other_zones;
  for (const EntryVm& entry : m_list.entries()) {
    if (entry.zone() == m_zone) {
      targets.insert(entry.address());
    } else {
      other_zones[entry.zone()].push_back(entry.address());
    }
  }
  for (auto& [zone, addresses] : other_zones) {
    for (std::size_t i = 0; i < kTargetsPerOtherZone && !addresses.empty(); ++i) {
      // the hash differs by sender, so that the connections spread over the zone
      const Address chosen = ChooseHomes({{m_self.address(), 1}}, addresses).begin()->second;
      targets.insert(chosen);
      addresses.erase(std::find(addresses.begin(), addresses.end(), chosen));
    }
  }
  // the seeds are used until the platform's list is known
  if (m_list.entries().empty()) targets.insert(m_seeds.begin(), m_seeds.end());
  targets.erase(m_self.address());
  return {targets.begin(), targets.end()};
}

bool PeerView::IsLive(const Peer& peer, Instant now) const {
  return now - peer.heard_at < m_options.silence();
}

FleetView PeerView::Fleet(Instant now, bool self_draining) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<Address> members;
  if (!self_draining) members.push_back(m_self.address());
  for (const auto& [address, peer] : m_peers) {
    if (peer.last.zone() == m_zone && !peer.last.draining() && IsLive(peer, now)) {
      members.push_back(address);
    }
  }
  std::sort(members.begin(), members.end());
  return {std::move(members), m_list_number};
}

std::uint32_t PeerView::LiveCount(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::uint32_t count = 1;
  std::set<std::string> heard_zones;
  for (const auto& [address, peer] : m_peers) {
    if (!IsLive(peer, now) || peer.last.draining()) continue;
    if (peer.last.zone() == m_zone) {
      ++count;
    } else {
      heard_zones.insert(peer.last.zone());
    }
  }
  for (const EntryVm& entry : m_list.entries()) {
    if (!entry.leaving() && heard_zones.count(entry.zone()) > 0) ++count;
  }
  return count;
}

std::uint32_t PeerView::PeerFreeSlots(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::uint32_t free = 0;
  for (const auto& [address, peer] : m_peers) {
    if (IsLive(peer, now) && !peer.last.draining()) free += peer.free_slots;
  }
  return free;
}

std::optional<Address> PeerView::ChooseLender(std::uint32_t wanted, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  Peer* best = nullptr;
  for (auto& [address, peer] : m_peers) {
    if (!IsLive(peer, now) || peer.last.draining() || peer.free_slots == 0) continue;
    const auto order = [this](const Peer& p) {
      return std::make_pair(p.last.zone() == m_zone, p.free_slots);
    };
    if (best == nullptr || order(*best) < order(peer)) best = &peer;
  }
  if (best == nullptr) return std::nullopt;
  best->free_slots -= std::min(best->free_slots, wanted);
  return best->last.from().address();
}

std::vector<Worker> PeerView::OwnWorkers(const FleetView& view) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  SizedSubjects sizes;
  for (const Worker& worker : m_list.workers()) {
    if (worker.zone() == m_zone) sizes.emplace_back(worker.address(), worker.slots());
  }
  const auto homes = ChooseHomes(sizes, view.members());
  std::vector<Worker> own;
  for (const Worker& worker : m_list.workers()) {
    const auto home = homes.find(worker.address());
    if (home == homes.end() || home->second != m_self.address()) continue;
    const bool leaving = worker.leaving() || m_reported_leaving.count(worker.address()) > 0;
    own.emplace_back(worker.address(), worker.zone(), worker.rack(), worker.slots(),
                     worker.capacity(), leaving);
  }
  return own;
}

std::set<ResourceSpec> PeerView::Capacities() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_list.capacities();
}

bool PeerView::IsDelisted(const Address& address, Instant now) const {
  const auto found = m_unlisted.find(address);
  return found != m_unlisted.end() && now - found->second > m_options.list_lag();
}

Route PeerView::FindRoute(const NodeId& home, Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  NodeId target = home;
  for (int step = 0; step < kMaxSuccessorChain && !(target == m_self); ++step) {
    const auto note = m_notes.find(target);
    if (note == m_notes.end()) break;
    target = note->second.successor();
  }
  if (target == m_self) return Route::Local();
  // An earlier process at the own address is gone, but its handover may not be known yet.
  if (target.address() == m_self.address()) {
    return KnowsHandoversLocked(now) ? Route::Gone() : Route::NotYetKnown();
  }
  if (IsDelisted(target.address(), now)) return Route::Gone();
  return Route::Remote(target.address());
}

bool PeerView::WatchesStore(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  // The live peer with the lowest address watches; while it does not reach the store, the next one
  // watches as well.
  for (const auto& [address, peer] : m_peers) {
    if (!(address < m_self.address())) break;
    if (peer.last.zone() != m_zone || peer.last.draining() || !IsLive(peer, now)) continue;
    if (peer.last.store_reached()) return false;
  }
  return true;
}

std::optional<NodeId> PeerView::ChooseSuccessor(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const Peer* best = nullptr;
  for (const auto& [address, peer] : m_peers) {
    if (!IsLive(peer, now) || peer.last.draining()) continue;
    const bool in_own_zone = peer.last.zone() == m_zone;
    if (best == nullptr || (in_own_zone && best->last.zone() != m_zone)) best = &peer;
  }
  if (best == nullptr) return std::nullopt;
  return best->last.from();
}

bool PeerView::KnowsHandovers(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return KnowsHandoversLocked(now);
}

bool PeerView::KnowsHandoversLocked(Instant now) const {
  return m_heard_any_peer || now - m_started_at > m_options.silence() * kAloneAfterSilences;
}

std::vector<PeerStatus> PeerView::Peers(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<PeerStatus> peers;
  peers.reserve(m_peers.size());
  for (const auto& [address, peer] : m_peers) {
    peers.emplace_back(peer.last, peer.heard_at, IsLive(peer, now));
  }
  return peers;
}

}  // namespace sapphireflow
