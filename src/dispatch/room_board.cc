// Part of dispatch: choosing owners by what they offer.
#include "sapphireflow/dispatch/room_board.h"

#include <algorithm>
#include <utility>

namespace sapphireflow {
namespace {

// the round trip within a zone; across zones what a cut may cost counts for more than the way
constexpr Duration kInZoneDistance = std::chrono::milliseconds(1);
constexpr Duration kCrossZoneDistance = std::chrono::milliseconds(25);
// share of the run time by which offers are made unequal for different jobs, when there are many
// owners: coordinators that see the same offers would otherwise all take the same one
constexpr double kLargestSpread = 0.6;
constexpr double kSpreadPerOwner = 1.0 / 60;
// a run that finds no room waits at least about so long for the next end: a tenth of a usual run
constexpr Duration kShortestQueueWait = std::chrono::milliseconds(15);

// a number from 0 to 1 that differs by job and owner
double Chance(JobKey job, const NodeId& owner) {
  const std::size_t mixed = detail::MixHash(owner.address().number(), job * 0x9e3779b97f4a7c15ULL);
  constexpr std::size_t kSteps = 1U << 16;
  return static_cast<double>((mixed >> 20) % kSteps) / kSteps;
}

}  // namespace

RoomBoard::RoomBoard(const NodeId& self, std::string zone, std::unique_ptr<OwnerChoice> choice)
    : m_self(self), m_zone(std::move(zone)), m_choice(std::move(choice)) {}

void RoomBoard::Update(const NodeId& owner, const std::string& zone, const RoomDigest& digest) {
  std::lock_guard<std::mutex> lock(m_mutex);
  Entry& entry = m_entries[Key(owner, digest.service())];
  if (!zone.empty()) entry.zone = zone;
  entry.rooms = digest.rooms();
  entry.wait = digest.wait();
  entry.milli_cores = digest.milli_cores();
}

void RoomBoard::Amend(const NodeId& owner, const RoomDigest& digest) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_entries.find(Key(owner, digest.service()));
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  entry.wait = digest.wait();
  entry.milli_cores = digest.milli_cores();
  for (const WorkerRoom& room : digest.rooms()) {
    const auto known =
        std::find_if(entry.rooms.begin(), entry.rooms.end(),
                     [&room](const WorkerRoom& other) { return other.worker() == room.worker(); });
    if (known != entry.rooms.end()) {
      *known = room;
    } else if (room.room().milli_cores() > 0) {
      entry.rooms.push_back(room);
    }
  }
}

void RoomBoard::KeepServices(const NodeId& owner, const std::vector<RoomDigest>& digests) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto item = m_entries.begin(); item != m_entries.end();) {
    const bool named = std::any_of(digests.begin(), digests.end(), [&](const RoomDigest& digest) {
      return digest.service() == item->first.second;
    });
    item = item->first.first == owner && !named ? m_entries.erase(item) : std::next(item);
  }
}

void RoomBoard::Forget(const NodeId& owner) { KeepServices(owner, {}); }

void RoomBoard::SetListings(const WorkerListings& listings) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_listings.clear();
  for (const WorkerListing& listing : listings) m_listings.emplace(listing.id(), listing);
}

std::optional<std::size_t> RoomBoard::BestRoom(const NodeId& owner, const Entry& entry,
                                               const RunOrder& order, Duration time_left) const {
  std::optional<std::size_t> best;
  Duration best_cost{};
  for (std::size_t i = 0; i < entry.rooms.size(); ++i) {
    const WorkerRoom& room = entry.rooms[i];
    if (!room.room().Covers(order.needs())) continue;
    if (!order.label().empty()) {
      const auto listing = m_listings.find(room.worker());
      if (listing == m_listings.end() || !listing->second.HasLabel(order.label())) continue;
    }
    const auto& avoid = order.avoid();
    if (std::find(avoid.begin(), avoid.end(), room.worker()) != avoid.end()) continue;
    const Duration cost = m_choice->Cost(OfferOf(owner, entry, order, &room, time_left));
    if (best && best_cost <= cost) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

OwnerOffer RoomBoard::OfferOf(const NodeId& owner, const Entry& entry, const RunOrder& order,
                              const WorkerRoom* room, Duration time_left) const {
  const double run_ms = ToMillis(order.estimate()) * (room != nullptr ? room->slowness() : 1.0);
  const double spread =
      std::min(kLargestSpread, kSpreadPerOwner * static_cast<double>(m_entries.size()));
  const double spread_ms = run_ms * spread * Chance(order.run().task().job(), owner);
  const Duration wait = room != nullptr ? Duration::zero() : entry.wait + kShortestQueueWait;
  return {owner,
          DistanceTo(owner, entry) + FromMillis(spread_ms),
          room != nullptr,
          wait,
          FromMillis(run_ms),
          time_left};
}

Duration RoomBoard::DistanceTo(const NodeId& owner, const Entry& entry) const {
  if (owner == m_self) return Duration::zero();
  return entry.zone == m_zone ? kInZoneDistance : kCrossZoneDistance;
}

std::optional<OwnerOffer> RoomBoard::Book(const std::string& service, const RunOrder& order,
                                          Duration time_left) {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::optional<OwnerOffer> best;
  Entry* best_entry = nullptr;
  std::optional<std::size_t> best_room;
  for (auto& [key, entry] : m_entries) {
    if (key.second != service || entry.milli_cores <= 0) continue;
    const auto room = BestRoom(key.first, entry, order, time_left);
    const OwnerOffer offer =
        OfferOf(key.first, entry, order, room ? &entry.rooms[*room] : nullptr, time_left);
    if (best && m_choice->Cost(*best) <= m_choice->Cost(offer)) continue;
    best = offer;
    best_entry = &entry;
    best_room = room;
  }
  if (!best) return std::nullopt;
  if (best_room) {
    WorkerRoom& room = best_entry->rooms[*best_room];
    room = WorkerRoom(room.worker(), room.room() - order.needs(), room.slowness());
  } else {
    const double core_ms =
        static_cast<double>(order.needs().milli_cores()) * ToMillis(order.estimate());
    best_entry->wait += FromMillis(core_ms / static_cast<double>(best_entry->milli_cores));
  }
  return best;
}

std::optional<Duration> RoomBoard::ShortestWait(const std::string& service,
                                                const Resources& needs) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::optional<Duration> shortest;
  for (const auto& [key, entry] : m_entries) {
    if (key.second != service || entry.milli_cores <= 0) continue;
    const bool room =
        std::any_of(entry.rooms.begin(), entry.rooms.end(),
                    [&](const WorkerRoom& offered) { return offered.room().Covers(needs); });
    const Duration wait = room ? Duration::zero() : entry.wait + kShortestQueueWait;
    if (!shortest || wait < *shortest) shortest = wait;
  }
  return shortest;
}

bool RoomBoard::HasRoomElsewhere(const std::string& service, const Resources& needs,
                                 bool far) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
    const auto& rooms = item.second.rooms;
    const bool counts = far || item.second.zone == m_zone;
    return counts && item.first.first != m_self && item.first.second == service &&
           std::any_of(rooms.begin(), rooms.end(),
                       [&](const WorkerRoom& offered) { return offered.room().Covers(needs); });
  });
}

bool RoomBoard::HasWorkers() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return std::any_of(m_entries.begin(), m_entries.end(),
                     [](const auto& item) { return item.second.milli_cores > 0; });
}

bool RoomBoard::CouldEverRun(const std::string& service, const Resources& needs,
                             const std::string& label) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return std::any_of(m_listings.begin(), m_listings.end(), [&](const auto& item) {
    const WorkerListing& listing = item.second;
    return listing.service() == service && listing.capacity().Covers(needs) &&
           (label.empty() || listing.HasLabel(label));
  });
}

}  // namespace sapphireflow
