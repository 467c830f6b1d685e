// Part of dispatch: the messages by which relays pass the list of workers on to their zone.
#ifndef SAPPHIREFLOW_DISPATCH_WORKER_LIST_MESSAGE_H_
#define SAPPHIREFLOW_DISPATCH_WORKER_LIST_MESSAGE_H_

#include <cstdint>
#include <tuple>
#include <utility>

#include "sapphireflow/membership/worker_directory.h"
#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Version of a relay's copy of the list of workers; 0 for none. Increases with each change
/// within one incarnation of the relay.
using WorkerListVersion = std::uint64_t;

/// @brief What a member says of the list of workers that it has read from the platform's store.
class WorkerListOffer : public Comparable<WorkerListOffer> {
 public:
  WorkerListOffer(WorkerListVersion version, Duration age) : m_version(version), m_age(age) {}
  /// @brief Greater than 0.
  WorkerListVersion version() const { return m_version; }
  /// @brief Longest time since the store's answer on which the list rests.
  Duration age() const { return m_age; }
  auto Fields() const { return std::tie(m_version, m_age); }

 private:
  WorkerListVersion m_version;
  Duration m_age;
};

/// @brief Relay to a member of its zone: changes of its list of workers, or the whole list.
class WorkerListUpdate : public Comparable<WorkerListUpdate> {
 public:
  /// @param base version to which the changes apply; 0 if they are the whole list
  WorkerListUpdate(const NodeId& relay, WorkerListVersion base, WorkerListVersion version,
                   WorkerChanges changes)
      : m_relay(relay), m_base(base), m_version(version), m_changes(std::move(changes)) {}
  const NodeId& relay() const { return m_relay; }
  WorkerListVersion base() const { return m_base; }
  /// @brief Version of the list with the changes.
  WorkerListVersion version() const { return m_version; }
  const WorkerChanges& changes() const { return m_changes; }
  auto Fields() const { return std::tie(m_relay, m_base, m_version, m_changes); }

 private:
  NodeId m_relay;
  WorkerListVersion m_base;
  WorkerListVersion m_version;
  WorkerChanges m_changes;
};

/// @brief Requests the whole list of workers from a relay.
class WorkerListRequest : public Comparable<WorkerListRequest> {
 public:
  explicit WorkerListRequest(const NodeId& from) : m_from(from) {}
  const NodeId& from() const { return m_from; }
  auto Fields() const { return std::tie(m_from); }

 private:
  NodeId m_from;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_WORKER_LIST_MESSAGE_H_
