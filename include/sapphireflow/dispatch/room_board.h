// Part of dispatch: what every owner last said that its workers offer.
#ifndef SAPPHIREFLOW_DISPATCH_ROOM_BOARD_H_
#define SAPPHIREFLOW_DISPATCH_ROOM_BOARD_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "sapphireflow/dispatch/dispatch_message.h"
#include "sapphireflow/dispatch/owner_choice.h"

namespace sapphireflow {

/// @brief Digests of all owners, less what was sent to them since. Thread-safe: one lock.
class RoomBoard {
 public:
  /// @param self whose own digest is at no distance
  RoomBoard(const NodeId& self, std::string zone, std::unique_ptr<OwnerChoice> choice);

  /// @param zone where the owner is; empty to leave it as it is
  void Update(const NodeId& owner, const std::string& zone, const RoomDigest& digest);
  /// @brief Takes over the rooms of the workers that the digest names. An owner that is not known
  /// yet is left to its next complete digest.
  void Amend(const NodeId& owner, const RoomDigest& digest);
  /// @brief Drops digests of services that the owner no longer has workers of.
  void KeepServices(const NodeId& owner, const std::vector<RoomDigest>& digests);
  void Forget(const NodeId& owner);
  void SetListings(const WorkerListings& listings);

  /// @brief Chooses an owner for a run and books the room. Complexity: linear in all rooms.
  /// @return nothing if no owner has a usable worker of the service that could ever run it.
  /// @param time_left until the job's objective
  std::optional<OwnerOffer> Book(const std::string& service, const RunOrder& order,
                                 Duration time_left);
  /// @brief The shortest wait for room of this size; nothing without owners.
  std::optional<Duration> ShortestWait(const std::string& service, const Resources& needs) const;
  /// @brief Whether another owner has said that it has room of this size.
  /// @param far whether owners of other zones count; what is known of them is older
  bool HasRoomElsewhere(const std::string& service, const Resources& needs, bool far) const;
  /// @brief Whether any owner has a usable worker.
  bool HasWorkers() const;
  /// @brief Whether a listed worker of the service could run it, if it were empty.
  bool CouldEverRun(const std::string& service, const Resources& needs,
                    const std::string& label) const;

 private:
  struct Entry {
    std::string zone;
    std::vector<WorkerRoom> rooms;
    Duration wait{};
    std::int64_t milli_cores = 0;
  };
  using Key = std::pair<NodeId, std::string>;
  // the room of the owner that its policy prefers
  std::optional<std::size_t> BestRoom(const NodeId& owner, const Entry& entry,
                                      const RunOrder& order, Duration time_left) const;
  OwnerOffer OfferOf(const NodeId& owner, const Entry& entry, const RunOrder& order,
                     const WorkerRoom* room, Duration time_left) const;
  Duration DistanceTo(const NodeId& owner, const Entry& entry) const;

  const NodeId m_self;
  const std::string m_zone;
  const std::unique_ptr<OwnerChoice> m_choice;
  mutable std::mutex m_mutex;
  // guarded by m_mutex; by owner and service
  std::map<Key, Entry> m_entries;
  // guarded by m_mutex
  std::map<WorkerId, WorkerListing> m_listings;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_ROOM_BOARD_H_
