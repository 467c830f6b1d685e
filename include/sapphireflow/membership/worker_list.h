// Part of membership: a VM's copy of the list of workers, read from the platform's store or
// followed from a relay of its zone.
#ifndef SAPPHIREFLOW_MEMBERSHIP_WORKER_LIST_H_
#define SAPPHIREFLOW_MEMBERSHIP_WORKER_LIST_H_

#include <map>
#include <mutex>
#include <optional>

#include "sapphireflow/dispatch/worker_list_message.h"
#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"
#include "sapphireflow/model/worker_listing.h"

namespace sapphireflow {

/// @brief The list of workers as this VM knows it. Thread-safe: one lock.
///
/// Every report of a worker changes its entry in the store, so following the store costs each
/// reader in proportion to the whole fleet. Only the relays do; they pass on what really changes.
/// A VM follows one relay at a time, and another one or the store itself once that relay is silent
/// or does not reach the store.
class WorkerList {
 public:
  explicit WorkerList(const NodeId& self) : m_self(self) {}

  /// @brief Replaces the list by one read from the store, unless a relay is being followed.
  /// @param is_relay whether this VM passes the list on, and so follows no relay itself
  /// @return the changes, with consecutive versions; empty if there are none.
  std::optional<WorkerListUpdate> OnRead(const WorkerListings& listings, bool is_relay,
                                         Instant now);
  /// @brief Handles a heartbeat of a relay that offers its list.
  /// @param version the relay's version; 0 withdraws the offer
  /// @return whether the whole list must be requested from the relay.
  bool OnOffer(const NodeId& relay, WorkerListVersion version, Instant now);
  /// @brief Applies an update of the relay that is being followed.
  /// @return whether the list has changed.
  bool OnUpdate(const WorkerListUpdate& update, Instant now);
  /// @brief Whether a relay is being followed, or may still offer its list to a VM that has just
  /// started.
  bool HasSource(Instant now) const;
  /// @return the version of this VM's own reading; 0 before the first one.
  WorkerListVersion own_version() const;
  WorkerListUpdate Snapshot() const;
  WorkerListings Current() const;

 private:
  bool HasSourceLocked(Instant now) const;
  // returns whether the list has changed
  bool ApplyChange(const WorkerChange& change);

  const NodeId m_self;
  mutable std::mutex m_mutex;
  // all below guarded by m_mutex
  std::map<WorkerId, WorkerListing> m_workers;
  // version of the list as read from the store
  WorkerListVersion m_version = 0;
  std::optional<NodeId> m_source;
  // version of the source up to which the list is complete; 0 before its first whole list
  WorkerListVersion m_source_version = 0;
  // when the source last offered its list; at first, when this VM began to wait for one
  mutable std::optional<Instant> m_source_heard_at;
  Instant m_requested_at{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_WORKER_LIST_H_
