// Part of membership: the list of workers as read from the store or followed from a relay.
#include "sapphireflow/membership/worker_list.h"

#include <set>
#include <utility>

namespace sapphireflow {
namespace {

// Longer than a relay may be silent before it counts as lost, so that another one is found first.
constexpr Duration kSourceTimeout = std::chrono::milliseconds(1300);
constexpr Duration kRequestInterval = std::chrono::milliseconds(500);

}  // namespace

bool WorkerList::ApplyChange(const WorkerChange& change) {
  if (!change.listing()) return m_workers.erase(change.worker()) > 0;
  const auto [place, is_new] = m_workers.try_emplace(change.worker(), *change.listing());
  if (is_new) return true;
  if (place->second == *change.listing()) return false;
  place->second = *change.listing();
  return true;
}

std::optional<WorkerListUpdate> WorkerList::OnRead(const WorkerListings& listings, bool is_relay,
                                                   Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (!is_relay && m_source && HasSourceLocked(now)) return std::nullopt;
  m_source.reset();
  WorkerChanges changes;
  std::set<WorkerId> listed;
  for (const WorkerListing& listing : listings) {
    listed.insert(listing.id());
    WorkerChange change(listing.id(), listing);
    if (ApplyChange(change)) changes.push_back(std::move(change));
  }
  for (auto item = m_workers.begin(); item != m_workers.end();) {
    if (listed.count(item->first) > 0) {
      ++item;
      continue;
    }
    changes.emplace_back(item->first, std::nullopt);
    item = m_workers.erase(item);
  }
  const bool first = m_version == 0;
  if (changes.empty() && !first) return std::nullopt;
  ++m_version;
  return WorkerListUpdate(m_self, m_version - 1, m_version, std::move(changes));
}

bool WorkerList::OnOffer(const NodeId& relay, WorkerListVersion version, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (version == 0) {
    if (m_source == relay) m_source.reset();
    return false;
  }
  if (m_source && m_source != relay && HasSourceLocked(now)) return false;
  if (m_source != relay) {
    m_source = relay;
    m_source_version = 0;
    m_requested_at = Instant{};
  }
  m_source_heard_at = now;
  if (m_source_version == version || now - m_requested_at < kRequestInterval) return false;
  // An update that is still under way makes the request superfluous, but not wrong.
  m_requested_at = now;
  return true;
}

bool WorkerList::OnUpdate(const WorkerListUpdate& update, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_source != update.relay()) return false;
  m_source_heard_at = now;
  bool changed = false;
  if (update.base() == 0) {
    std::map<WorkerId, WorkerListing> whole;
    for (const WorkerChange& change : update.changes()) {
      if (change.listing()) whole.emplace(change.worker(), *change.listing());
    }
    changed = whole != m_workers;
    m_workers = std::move(whole);
  } else if (update.base() == m_source_version) {
    for (const WorkerChange& change : update.changes()) changed = ApplyChange(change) || changed;
  } else {
    // updates are missing; the next heartbeat of the relay shows it
    return false;
  }
  m_source_version = update.version();
  return changed;
}

bool WorkerList::HasSource(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return HasSourceLocked(now);
}

bool WorkerList::HasSourceLocked(Instant now) const {
  if (!m_source_heard_at) m_source_heard_at = now;
  return now - *m_source_heard_at < kSourceTimeout;
}

WorkerListVersion WorkerList::own_version() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_version;
}

WorkerListUpdate WorkerList::Snapshot() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  WorkerChanges changes;
  changes.reserve(m_workers.size());
  for (const auto& [id, listing] : m_workers) changes.emplace_back(id, listing);
  return {m_self, 0, m_version, std::move(changes)};
}

WorkerListings WorkerList::Current() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  WorkerListings current;
  current.reserve(m_workers.size());
  for (const auto& [id, listing] : m_workers) current.push_back(listing);
  return current;
}

}  // namespace sapphireflow
