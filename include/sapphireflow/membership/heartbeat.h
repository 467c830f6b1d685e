// Part of membership: the heartbeats that entry VMs exchange and the state they carry.
#ifndef SAPPHIREFLOW_MEMBERSHIP_HEARTBEAT_H_
#define SAPPHIREFLOW_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Records which process decides the job ids of a home that has completed a planned stop.
class SuccessorNote : public Comparable<SuccessorNote> {
 public:
  SuccessorNote(const NodeId& old_home, const NodeId& successor, Instant expires_at)
      : m_old_home(old_home), m_successor(successor), m_expires_at(expires_at) {}
  const NodeId& old_home() const { return m_old_home; }
  const NodeId& successor() const { return m_successor; }
  /// @brief After this time no id of the old home is answered.
  Instant expires_at() const { return m_expires_at; }
  auto Fields() const { return std::tie(m_old_home, m_successor, m_expires_at); }

 private:
  NodeId m_old_home;
  NodeId m_successor;
  Instant m_expires_at;
};

/// @brief Liveness signal and state summary that an entry VM sends to its peers at a fixed
/// interval.
class Heartbeat : public Comparable<Heartbeat> {
 public:
  Heartbeat(const NodeId& from, std::string zone, std::uint64_t table_version,
            std::uint32_t free_slots, bool draining, bool store_reached,
            std::vector<SuccessorNote> notes, std::vector<Address> leaving)
      : m_from(from),
        m_zone(std::move(zone)),
        m_table_version(table_version),
        m_free_slots(free_slots),
        m_draining(draining),
        m_store_reached(store_reached),
        m_notes(std::move(notes)),
        m_leaving(std::move(leaving)) {}
  const NodeId& from() const { return m_from; }
  const std::string& zone() const { return m_zone; }
  std::uint64_t table_version() const { return m_table_version; }
  /// @brief Free slots that the sender could lend.
  std::uint32_t free_slots() const { return m_free_slots; }
  bool draining() const { return m_draining; }
  /// @brief Whether the sender reaches the platform's store; always true if it does not watch the
  /// store.
  bool store_reached() const { return m_store_reached; }
  const std::vector<SuccessorNote>& notes() const { return m_notes; }
  /// @brief Upstreams that the platform's list, as known to the sender, marks as leaving.
  const std::vector<Address>& leaving() const { return m_leaving; }
  auto Fields() const {
    return std::tie(m_from, m_zone, m_table_version, m_free_slots, m_draining, m_store_reached,
                    m_notes, m_leaving);
  }

 private:
  NodeId m_from;
  std::string m_zone;
  std::uint64_t m_table_version;
  std::uint32_t m_free_slots;
  bool m_draining;
  bool m_store_reached;
  std::vector<SuccessorNote> m_notes;
  std::vector<Address> m_leaving;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_HEARTBEAT_H_
