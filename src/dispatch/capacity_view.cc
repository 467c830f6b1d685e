// Part of dispatch: selection of owners by their free capacity.
#include "sapphireflow/dispatch/capacity_view.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace sapphireflow {
namespace {

// Round trip time within a zone. The cost across zones mainly accounts for the risk of a network
// partition and only to a small part for the round trip.
constexpr Duration kSameZoneDistance = std::chrono::milliseconds(1);
constexpr Duration kCrossZoneDistance = std::chrono::milliseconds(25);
// Share of the run time that is added to offers as jitter, which depends on the job and the owner
// and grows with the number of owners: coordinators that see the same offers would otherwise all
// select the same owner.
constexpr double kMaxJitterShare = 0.6;
constexpr double kJitterSharePerOwner = 1.0 / 60;

// An owner without room learns only from its next report that a run has ended, however short its
// queue is.
constexpr Duration kMinQueueWait = std::chrono::milliseconds(15);

// maps a job and an owner to a pseudo-random number in [0, 1)
double HashFraction(JobKey job, const NodeId& owner) {
  const std::size_t mixed =
      detail::HashCombine(owner.address().number(), job * 0x9e3779b97f4a7c15ULL);
  constexpr std::size_t kBuckets = 1U << 16;
  return static_cast<double>((mixed >> 20) % kBuckets) / kBuckets;
}

}  // namespace

CapacityView::CapacityView(const NodeId& self, std::string zone,
                           std::unique_ptr<OwnerChoice> choice)
    : m_self(self), m_zone(std::move(zone)), m_choice(std::move(choice)) {}

void CapacityView::Update(const NodeId& owner, const std::string& zone,
                          const CapacityDigest& digest, const DigestTimes& times) {
  std::lock_guard<std::mutex> lock(m_mutex);
  Entry& entry = m_entries[Key(owner, digest.service())];
  if (!zone.empty()) entry.zone = zone;
  entry.free_workers = digest.free_capacity();
  entry.wait = digest.wait();
  entry.milli_cores = digest.milli_cores();
  entry.priority_waits = digest.priority_waits();
  LearnSlowness(entry, digest.free_capacity());
  entry.times = times;
  entry.relayed = false;
  m_had_workers = m_had_workers || digest.milli_cores() > 0;
}

void CapacityView::UpdateRelayed(const CapacityAnnouncement& announcement, Instant now,
                                 const DigestTimes& times) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const CapacityDigest& digest : announcement.digests()) {
    m_had_workers = m_had_workers || digest.milli_cores() > 0;
    Entry& entry = m_entries[Key(announcement.owner(), digest.service())];
    const bool is_new = entry.zone.empty();
    if (!is_new && !entry.relayed && now < entry.times.expires_at()) continue;
    entry = Entry{announcement.zone(),
                  digest.free_capacity(),
                  digest.wait(),
                  digest.milli_cores(),
                  digest.priority_waits(),
                  times,
                  true,
                  entry.smallest_slowness};
    LearnSlowness(entry, digest.free_capacity());
  }
}

void CapacityView::DropExpired(Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto item = m_entries.begin(); item != m_entries.end();) {
    item = item->second.times.expires_at() <= now ? m_entries.erase(item) : std::next(item);
  }
}

std::vector<CapacityAnnouncement> CapacityView::OtherZones(std::size_t max_workers) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::map<NodeId, std::pair<std::string, std::vector<CapacityDigest>>> by_owner;
  for (const auto& [key, entry] : m_entries) {
    if (entry.zone == m_zone || entry.zone.empty() || entry.relayed) continue;
    std::vector<WorkerFreeCapacity> most_free = entry.free_workers;
    const std::size_t kept = std::min(max_workers, most_free.size());
    std::partial_sort(most_free.begin(), most_free.begin() + static_cast<std::ptrdiff_t>(kept),
                      most_free.end(),
                      [](const WorkerFreeCapacity& a, const WorkerFreeCapacity& b) {
                        return b.available().milli_cores() < a.available().milli_cores();
                      });
    most_free.resize(kept, WorkerFreeCapacity("", Resources(), 1.0));
    auto& [zone, digests] = by_owner[key.first];
    zone = entry.zone;
    digests.emplace_back(key.second, std::move(most_free), entry.wait, entry.milli_cores,
                         entry.priority_waits);
  }
  std::vector<CapacityAnnouncement> announcements;
  announcements.reserve(by_owner.size());
  for (auto& [owner, known] : by_owner) {
    announcements.emplace_back(owner, std::move(known.first), std::move(known.second));
  }
  return announcements;
}

void CapacityView::MergeDigest(const NodeId& owner, const CapacityDigest& digest, Instant as_of) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_entries.find(Key(owner, digest.service()));
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  entry.wait = digest.wait();
  entry.milli_cores = digest.milli_cores();
  entry.priority_waits = digest.priority_waits();
  entry.times = DigestTimes(as_of, entry.times.expires_at());
  LearnSlowness(entry, digest.free_capacity());
  for (const WorkerFreeCapacity& free_worker : digest.free_capacity()) {
    const auto known = std::find_if(entry.free_workers.begin(), entry.free_workers.end(),
                                    [&free_worker](const WorkerFreeCapacity& other) {
                                      return other.worker() == free_worker.worker();
                                    });
    if (known != entry.free_workers.end()) {
      *known = free_worker;
    } else if (free_worker.available().milli_cores() > 0) {
      entry.free_workers.push_back(free_worker);
    }
  }
}

void CapacityView::RetainServices(const NodeId& owner, const std::vector<CapacityDigest>& digests) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto item = m_entries.begin(); item != m_entries.end();) {
    const bool named = std::any_of(
        digests.begin(), digests.end(),
        [&](const CapacityDigest& digest) { return digest.service() == item->first.second; });
    item = item->first.first == owner && !named ? m_entries.erase(item) : std::next(item);
  }
}

void CapacityView::Forget(const NodeId& owner) { RetainServices(owner, {}); }

void CapacityView::SetListings(const WorkerListings& listings) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_listings.clear();
  for (const WorkerListing& listing : listings) m_listings.emplace(listing.id(), listing);
  FindOpenServices();
}

std::optional<std::size_t> CapacityView::BestWorker(const NodeId& owner, const Entry& entry,
                                                    const RunOrder& order, Duration time_left,
                                                    const WorkerFilter& may_use,
                                                    std::uint32_t priority) const {
  std::optional<std::size_t> best;
  Duration best_cost{};
  for (std::size_t i = 0; i < entry.free_workers.size(); ++i) {
    const WorkerFreeCapacity& free_worker = entry.free_workers[i];
    if (!free_worker.available().Covers(order.needs())) continue;
    if (!order.label().empty() || order.alone() || may_use) {
      const auto found = m_listings.find(free_worker.worker());
      if (found == m_listings.end()) continue;
      const WorkerListing& listing = found->second;
      if (!order.label().empty() && !listing.HasLabel(order.label())) continue;
      if (order.alone() && !free_worker.available().Covers(listing.capacity())) continue;
      if (may_use && !may_use(listing.address())) continue;
    }
    const auto& avoid = order.avoid();
    if (std::find(avoid.begin(), avoid.end(), free_worker.worker()) != avoid.end()) continue;
    const Duration cost =
        m_choice->Cost(MakeOffer(owner, entry, order, &free_worker, time_left, priority));
    if (best && best_cost <= cost) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

OwnerOffer CapacityView::MakeOffer(const NodeId& owner, const Entry& entry, const RunOrder& order,
                                   const WorkerFreeCapacity* free_worker, Duration time_left,
                                   std::uint32_t priority) const {
  const double run_time_ms =
      ToMillis(order.estimate()) * (free_worker != nullptr ? free_worker->slowness() : 1.0);
  const double jitter_share =
      std::min(kMaxJitterShare, kJitterSharePerOwner * static_cast<double>(m_entries.size()));
  const double jitter_ms =
      run_time_ms * jitter_share * HashFraction(order.run().task().job(), owner);
  const Duration wait =
      free_worker != nullptr ? Duration::zero() : WaitOf(entry, priority) + kMinQueueWait;
  return {owner,
          DistanceTo(owner, entry) + FromMillis(jitter_ms),
          free_worker != nullptr,
          wait,
          FromMillis(run_time_ms),
          time_left};
}

Duration CapacityView::DistanceTo(const NodeId& owner, const Entry& entry) const {
  if (owner == m_self) return Duration::zero();
  return entry.zone == m_zone ? kSameZoneDistance : kCrossZoneDistance;
}

std::optional<OwnerOffer> CapacityView::Reserve(const std::string& service, const RunOrder& order,
                                                Duration time_left, const WorkerFilter& may_use,
                                                std::uint32_t priority) {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::optional<OwnerOffer> best;
  Entry* best_entry = nullptr;
  std::optional<std::size_t> best_worker;
  for (auto& [key, entry] : m_entries) {
    if (key.second != service || entry.milli_cores <= 0) continue;
    const auto worker_index = BestWorker(key.first, entry, order, time_left, may_use, priority);
    if (may_use && !worker_index) continue;
    const OwnerOffer offer =
        MakeOffer(key.first, entry, order,
                  worker_index ? &entry.free_workers[*worker_index] : nullptr, time_left, priority);
    if (best && m_choice->Cost(*best) <= m_choice->Cost(offer)) continue;
    best = offer;
    best_entry = &entry;
    best_worker = worker_index;
  }
  if (!best) return std::nullopt;
  if (best_worker) {
    WorkerFreeCapacity& free_worker = best_entry->free_workers[*best_worker];
    free_worker = WorkerFreeCapacity(free_worker.worker(), free_worker.available() - order.needs(),
                                     free_worker.slowness());
  } else {
    const double core_ms =
        static_cast<double>(order.needs().milli_cores()) * ToMillis(order.estimate());
    AddWait(*best_entry, priority,
            FromMillis(core_ms / static_cast<double>(best_entry->milli_cores)));
  }
  return best;
}

bool CapacityView::OffersFreeCapacity(const Entry& entry, const Resources& needs,
                                      const WorkerFilter& may_use) const {
  return std::any_of(entry.free_workers.begin(), entry.free_workers.end(),
                     [&](const WorkerFreeCapacity& offered) {
                       if (!offered.available().Covers(needs)) return false;
                       if (!may_use) return true;
                       const auto listing = m_listings.find(offered.worker());
                       return listing != m_listings.end() && may_use(listing->second.address());
                     });
}

bool CapacityView::HasFreeCapacity(const std::string& service, const Resources& needs,
                                   const WorkerFilter& may_use) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
    return item.first.second == service && item.second.milli_cores > 0 &&
           OffersFreeCapacity(item.second, needs, may_use);
  });
}

std::optional<WorkerIncarnation> CapacityView::IncarnationOf(const WorkerId& worker) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_listings.find(worker);
  if (found == m_listings.end()) return std::nullopt;
  return WorkerIncarnation(found->second);
}

bool CapacityView::HasFreeCapacityElsewhere(const std::string& service, const Resources& needs,
                                            bool include_other_zones,
                                            const WorkerFilter& may_use) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
    const bool counts = include_other_zones || item.second.zone == m_zone;
    return counts && item.first.first != m_self && item.first.second == service &&
           OffersFreeCapacity(item.second, needs, may_use);
  });
}

bool CapacityView::HasWorkers() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const bool is_usable = std::any_of(m_entries.begin(), m_entries.end(),
                                     [](const auto& item) { return item.second.milli_cores > 0; });
  return is_usable || CountsAsReady();
}

bool CapacityView::CouldEverRun(const std::string& service, const Resources& needs,
                                const std::string& label) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return std::any_of(m_listings.begin(), m_listings.end(), [&](const auto& item) {
    const WorkerListing& listing = item.second;
    return listing.service() == service && listing.capacity().Covers(needs) &&
           (label.empty() || listing.HasLabel(label));
  });
}

}  // namespace sapphireflow
