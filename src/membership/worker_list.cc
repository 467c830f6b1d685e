// Part of membership: the list of workers as read from the store or followed from a relay.
#include "sapphireflow/membership/worker_list.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphireflow {
namespace {

// Longer than a relay may be silent before it counts as lost, so that another one is found first.
constexpr Duration kSourceTimeout = std::chrono::milliseconds(1300);
constexpr Duration kRequestInterval = std::chrono::milliseconds(500);
// A smaller capacity counts 3 s after the store shows it. An order that is under way for longer
// than the rest has been carried out late.
constexpr Duration kMaxAge = std::chrono::milliseconds(2500);
// Between two readings of a relay a list is confirmed at a lower age than this.
constexpr Duration kOverdueAge = std::chrono::milliseconds(1000);
// A VM that has just resumed hears from its relay sooner.
constexpr Duration kSeekAfter = std::chrono::milliseconds(800);
// Nobody can tell by then, and a VM that was not stalled has not had to wait.
constexpr Duration kGiveUpAfter = std::chrono::milliseconds(1400);
// If the store is slow or down, all VMs would go on reading it.
constexpr Duration kSeekUntil = std::chrono::milliseconds(2500);
// What another relay must be ahead of the source to replace it.
constexpr Duration kWorthSwitching = std::chrono::milliseconds(500);
// The longest time between two ticks that counts as waiting, and the one after which waiting begins
// anew: the store may have come back meanwhile.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(200);
constexpr Duration kLongStall = std::chrono::milliseconds(1000);

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
                                                   Instant read_at, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (!is_relay && m_source && HasSourceLocked(now)) return std::nullopt;
  if (read_at < m_as_of) return std::nullopt;
  m_source.reset();
  SetAsOf(read_at, now);
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
  if (!changes.empty()) ++m_revision;
  if (changes.empty() && !first) return std::nullopt;
  ++m_version;
  return WorkerListUpdate(m_self, m_version - 1, m_version, std::move(changes));
}

bool WorkerList::OnOffer(const NodeId& relay, WorkerListVersion version, Instant as_of,
                         Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (version == 0) {
    if (m_source == relay) m_source.reset();
    return false;
  }
  if (m_source && m_source != relay && HearsSourceLocked(now)) {
    const bool replaces = SeeksSourceLocked() && as_of - m_as_of >= kWorthSwitching;
    if (!replaces) return false;
  }
  if (m_source != relay) {
    m_source = relay;
    m_source_version = 0;
    m_requested_at = Instant{};
  }
  m_source_heard_at = now;
  m_offered_version = version;
  m_offered_as_of = as_of;
  if (m_source_version >= version && as_of > m_as_of) SetAsOf(as_of, now);
  // the list of another source may be older than what is known
  if (m_source_version == 0 && as_of < m_as_of) return false;
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
    SetAsOf(update.version() >= m_offered_version ? m_offered_as_of : Instant{}, now);
  } else if (update.base() == m_source_version) {
    for (const WorkerChange& change : update.changes()) changed = ApplyChange(change) || changed;
  } else {
    // updates are missing; the next heartbeat of the relay shows it
    return false;
  }
  m_source_version = update.version();
  if (changed) {
    ++m_revision;
    // this VM may be a relay again, and has to offer something else than then
    if (m_version > 0) ++m_version;
  }
  return changed;
}

void WorkerList::SetAsOf(Instant as_of, Instant now) {
  m_as_of = as_of;
  if (now - as_of <= kOverdueAge) m_overdue_for = Duration::zero();
}

void WorkerList::OnTick(Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const Duration gap = now - m_ticked_at;
  m_ticked_at = now;
  if (gap > kLongStall || now - m_as_of <= kOverdueAge) {
    m_overdue_for = Duration::zero();
  } else {
    m_overdue_for += std::min(gap, kMaxTickGap);
  }
}

bool WorkerList::IsFresh(WorkerListRevision in_force, Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (in_force != m_revision) return false;
  if (now - m_as_of <= kMaxAge) return true;
  return m_overdue_for >= kGiveUpAfter && now - m_ticked_at <= kLongStall;
}

Duration WorkerList::Age(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return now - m_as_of;
}

bool WorkerList::HasSource(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return HasSourceLocked(now);
}

bool WorkerList::HasSourceLocked(Instant now) const {
  return HearsSourceLocked(now) && !SeeksSourceLocked();
}

bool WorkerList::SeeksSourceLocked() const {
  return m_revision > 0 && m_overdue_for >= kSeekAfter && m_overdue_for < kSeekUntil;
}

bool WorkerList::HearsSourceLocked(Instant now) const {
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

std::pair<WorkerListings, WorkerListRevision> WorkerList::CurrentWithRevision() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  WorkerListings current;
  current.reserve(m_workers.size());
  for (const auto& [id, listing] : m_workers) current.push_back(listing);
  return {std::move(current), m_revision};
}

}  // namespace sapphireflow
