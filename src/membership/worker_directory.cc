// Part of membership: the list of workers, with a grace period for missing entries.
#include "sapphireflow/membership/worker_directory.h"

#include <set>

namespace sapphireflow {
namespace {

// The platform states that entries of live workers are back within 2 s of the store's return.
constexpr Duration kReappearanceLimit = std::chrono::milliseconds(2500);

}  // namespace

void WorkerDirectory::ApplySnapshot(const WorkerListings& snapshot, Instant now) {
  std::set<WorkerId> listed;
  for (const WorkerListing& listing : snapshot) {
    listed.insert(listing.id());
    m_known.insert_or_assign(listing.id(), KnownWorker{listing, std::nullopt});
  }
  for (auto& [id, known] : m_known) {
    if (listed.count(id) == 0 && !known.missing_since) known.missing_since = now;
  }
}

void WorkerDirectory::ApplyChanges(const WorkerChanges& changes, Instant now) {
  for (const WorkerChange& change : changes) {
    if (change.listing()) {
      m_known.insert_or_assign(change.worker(), KnownWorker{*change.listing(), std::nullopt});
      continue;
    }
    const auto found = m_known.find(change.worker());
    if (found == m_known.end() || found->second.missing_since) continue;
    found->second.missing_since = now;
  }
}

WorkerListings WorkerDirectory::Current(Instant now) {
  WorkerListings current;
  current.reserve(m_known.size());
  for (auto item = m_known.begin(); item != m_known.end();) {
    const auto& missing_since = item->second.missing_since;
    if (missing_since && now - *missing_since >= kReappearanceLimit) {
      item = m_known.erase(item);
      continue;
    }
    current.push_back(item->second.listing);
    ++item;
  }
  return current;
}

std::optional<Instant> WorkerDirectory::NextExpiry() const {
  std::optional<Instant> next;
  for (const auto& [id, known] : m_known) {
    if (!known.missing_since) continue;
    const Instant expiry = *known.missing_since + kReappearanceLimit;
    if (!next || expiry < *next) next = expiry;
  }
  return next;
}

}  // namespace sapphireflow
