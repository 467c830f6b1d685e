// Part of membership: the steady list of workers.
#include "sapphireflow/membership/worker_directory.h"

#include <algorithm>

namespace sapphireflow {
namespace {

// the platform's word: entries of living workers are back within two seconds of the store's return
constexpr Duration kReturnTime = std::chrono::milliseconds(2500);
// two readings that fail or come late
constexpr Duration kGap = std::chrono::milliseconds(2500);

}  // namespace

WorkerListings WorkerDirectory::Merge(const WorkerListings& reading, Instant now) {
  if (now - m_read_at > kGap) m_back_at = now;
  m_read_at = now;
  for (const WorkerListing& listing : reading) {
    m_known.insert_or_assign(listing.id(), Known{listing, now});
  }
  WorkerListings merged;
  merged.reserve(m_known.size());
  for (auto item = m_known.begin(); item != m_known.end();) {
    const Known& known = item->second;
    // a gap just before counts from the store's return
    const Instant missing_since = std::max(known.seen_at, m_back_at);
    if (known.seen_at != now && now - missing_since > kReturnTime) {
      item = m_known.erase(item);
      continue;
    }
    merged.push_back(known.listing);
    ++item;
  }
  return merged;
}

}  // namespace sapphireflow
