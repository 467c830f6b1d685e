// Part of membership: a VM's copy of the list of workers, read from the platform's store or
// followed from another member of its zone.
#ifndef SAPPHIREFLOW_MEMBERSHIP_WORKER_LIST_H_
#define SAPPHIREFLOW_MEMBERSHIP_WORKER_LIST_H_

#include <map>
#include <mutex>
#include <optional>

#include "sapphireflow/dispatch/worker_list_message.h"
#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"
#include "sapphireflow/model/worker_listing.h"
#include "sapphireflow/ownership/listing_freshness.h"

namespace sapphireflow {

/// @brief The list of workers as this VM knows it, and how old that knowledge is. Thread-safe: one
/// lock.
///
/// Every report of a worker changes its entry in the store, so following the store costs each
/// reader in proportion to the whole fleet. Only the relays do; they pass on what really changes.
/// A VM follows one relay at a time. Once no relay has heard from the store lately, it reads the
/// store itself. Whoever has read the store offers its list, so that a relay that is cut off from
/// the store follows another member. What was followed is not offered.
///
/// The list is as of a time by this VM's clock: it has all changes that the store had accepted
/// then. Neither a pause of a member nor the delay of a message moves that time.
class WorkerList : public ListingFreshness {
 public:
  /// @param max_age a list that is older is replaced by that of another source
  /// @param drain_timeout time after the report that a worker drains by which no run starts there
  WorkerList(const NodeId& self, Duration max_age, Duration drain_timeout)
      : m_self(self), m_max_age(max_age), m_drain_timeout(drain_timeout) {}

  /// @brief Replaces the list by one read from the store, unless a newer one is being followed.
  /// @return the changes, with consecutive versions; empty if there are none.
  std::optional<WorkerListUpdate> OnRead(const WorkerListings& listings, Instant as_of);
  /// @brief Handles the offer of another member of the zone.
  /// @param is_preferred whether the member is a relay, and this VM is none
  /// @param as_of a time by this VM's clock as of which the offered list is
  /// @return whether the whole list must be requested from the member.
  bool OnOffer(const NodeId& member, bool is_preferred, WorkerListVersion version, Instant as_of,
               Instant now);
  /// @brief Applies an update of the member that is being followed.
  /// @return whether the list has changed.
  bool OnUpdate(const WorkerListUpdate& update);
  /// @brief Whether no relay has offered a recent list to this VM, and none that may still do so to
  /// a VM that has just started.
  bool LacksRelay(Instant now) const;
  /// @return the offer of the list that this VM has read; empty if it is too old.
  std::optional<WorkerListOffer> Offer(Instant now) const;
  /// @return the list that this VM has read; empty if it follows another member.
  std::optional<WorkerListUpdate> Snapshot() const;
  WorkerListings Current() const;
  /// @brief The store has answered a call of this VM.
  void OnStoreAnswer(Instant now);
  bool AllowsStarts(Instant now) const override;

 private:
  // returns whether the list has changed
  bool ApplyChange(const WorkerChange& change);

  const NodeId m_self;
  const Duration m_max_age;
  const Duration m_drain_timeout;
  mutable std::mutex m_mutex;
  // all below guarded by m_mutex
  std::map<WorkerId, WorkerListing> m_workers;
  // m_workers contains all that the store had accepted by then; never decreases
  Instant m_as_of{};
  // version of the list as read from the store
  WorkerListVersion m_version = 0;
  // the member that is being followed; empty while m_workers is what this VM has read
  std::optional<NodeId> m_source;
  // version of the source up to which the list is complete; 0 before its first whole list
  WorkerListVersion m_source_version = 0;
  // as of when the source last offered its list
  Instant m_offered_as_of{};
  // the same for the newest offer of any relay; at first, when this VM began to wait for one
  mutable Instant m_relays_as_of{};
  Instant m_requested_at{};
  // when the store last answered a call of this VM; empty before the first answer
  std::optional<Instant> m_store_answered_at;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_WORKER_LIST_H_
