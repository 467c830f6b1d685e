// Part of membership: the list of workers as read from the store or followed from another member.
#include "sapphireflow/membership/worker_list.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphireflow {
namespace {

constexpr Duration kRequestInterval = std::chrono::milliseconds(500);
// Between the decision to start a run and its arrival at the worker.
constexpr Duration kStartRequestTime = std::chrono::milliseconds(200);
// Each VM gets an answer of the store at least once a second while the store is available, and a VM
// that is short of CPU time reads it late.
constexpr Duration kMinStoreAnswerInterval = std::chrono::milliseconds(1200);
// Subtracted from the drain timeout, so that a list that was being followed when an outage began is
// not outdated before the store counts as away.
constexpr Duration kListAgeInUse = std::chrono::milliseconds(1000);

}  // namespace

bool WorkerList::ApplyChange(const WorkerChange& change) {
  if (!change.listing()) return m_workers.erase(change.worker()) > 0;
  const auto [place, is_new] = m_workers.try_emplace(change.worker(), *change.listing());
  if (is_new) return true;
  if (place->second == *change.listing()) return false;
  place->second = *change.listing();
  return true;
}

std::optional<WorkerListUpdate> WorkerList::OnRead(const WorkerListings& listings, Instant as_of) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_source && as_of <= m_as_of) return std::nullopt;
  // the changes of this reading do not apply to what was read before another list was followed
  if (m_source) ++m_version;
  m_source.reset();
  m_as_of = std::max(m_as_of, as_of);
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

bool WorkerList::OnOffer(const NodeId& member, bool is_preferred, WorkerListVersion version,
                         Instant as_of, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (is_preferred) m_relays_as_of = std::max(m_relays_as_of, as_of);
  if (m_source != member) {
    // A relay's list is followed instead of an own reading, which costs calls of the store. Another
    // change of the source is only worth it if the list would be too old otherwise.
    const bool replaces_reading = !m_source && is_preferred;
    if (as_of <= m_as_of || (!replaces_reading && now - m_as_of <= m_max_age)) return false;
    m_source = member;
    m_source_version = 0;
    m_requested_at = Instant{};
  }
  m_offered_as_of = as_of;
  if (m_source_version == version) {
    m_as_of = std::max(m_as_of, as_of);
    return false;
  }
  if (now - m_requested_at < kRequestInterval) return false;
  // An update that is still under way makes the request superfluous, but not wrong.
  m_requested_at = now;
  return true;
}

bool WorkerList::OnUpdate(const WorkerListUpdate& update) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_source != update.relay()) return false;
  bool changed = false;
  if (update.base() == 0) {
    std::map<WorkerId, WorkerListing> whole;
    for (const WorkerChange& change : update.changes()) {
      if (change.listing()) whole.emplace(change.worker(), *change.listing());
    }
    changed = whole != m_workers;
    m_workers = std::move(whole);
    m_as_of = std::max(m_as_of, m_offered_as_of);
  } else if (update.base() == m_source_version) {
    for (const WorkerChange& change : update.changes()) changed = ApplyChange(change) || changed;
  } else {
    // updates are missing; the next heartbeat of the source shows it
    return false;
  }
  m_source_version = update.version();
  return changed;
}

bool WorkerList::LacksRelay(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_relays_as_of == Instant{}) m_relays_as_of = now;
  return now - m_relays_as_of > m_max_age;
}

std::optional<WorkerListOffer> WorkerList::Offer(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_source || m_version == 0 || now - m_as_of > m_max_age) return std::nullopt;
  return WorkerListOffer(m_version, now - m_as_of);
}

std::optional<WorkerListUpdate> WorkerList::Snapshot() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_source) return std::nullopt;
  WorkerChanges changes;
  changes.reserve(m_workers.size());
  for (const auto& [id, listing] : m_workers) changes.emplace_back(id, listing);
  return WorkerListUpdate(m_self, 0, m_version, std::move(changes));
}

WorkerListings WorkerList::Current() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  WorkerListings current;
  current.reserve(m_workers.size());
  for (const auto& [id, listing] : m_workers) current.push_back(listing);
  return current;
}

void WorkerList::OnStoreAnswer(Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_store_answered_at = now;
}

bool WorkerList::AllowsStarts(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const Duration answer_interval =
      std::max(kMinStoreAnswerInterval, m_drain_timeout - kListAgeInUse);
  const bool store_answers = m_store_answered_at && now - *m_store_answered_at <= answer_interval;
  return !store_answers || now - m_as_of <= m_drain_timeout - kStartRequestTime;
}

}  // namespace sapphireflow
