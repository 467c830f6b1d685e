// Part of the model: workers and entry VMs as listed by the platform, and slots that entry VMs lend
// to each other.
#ifndef SAPPHIREFLOW_MODEL_VM_LIST_H_
#define SAPPHIREFLOW_MODEL_VM_LIST_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/job_spec.h"

namespace sapphireflow {

/// @brief An upstream that runs tasks.
class Worker : public Comparable<Worker> {
 public:
  Worker(const Address& address, std::string zone, std::string rack, std::uint32_t slots,
         ResourceSpec capacity, bool leaving)
      : m_address(address),
        m_zone(std::move(zone)),
        m_rack(std::move(rack)),
        m_slots(slots),
        m_capacity(capacity),
        m_leaving(leaving) {}
  const Address& address() const { return m_address; }
  const std::string& zone() const { return m_zone; }
  const std::string& rack() const { return m_rack; }
  /// @brief Maximum number of tasks that run concurrently.
  std::uint32_t slots() const { return m_slots; }
  const ResourceSpec& capacity() const { return m_capacity; }
  /// @brief True if the worker must not receive new tasks.
  bool leaving() const { return m_leaving; }
  /// @brief Returns whether a task with these needs fits into the capacity of an idle worker.
  bool Fits(const ResourceSpec& needs) const {
    return needs.cores() <= m_capacity.cores() && needs.memory_mb() <= m_capacity.memory_mb() &&
           needs.accelerators() <= m_capacity.accelerators();
  }
  auto Fields() const {
    return std::tie(m_address, m_zone, m_rack, m_slots, m_capacity, m_leaving);
  }

 private:
  Address m_address;
  std::string m_zone;
  std::string m_rack;
  std::uint32_t m_slots;
  ResourceSpec m_capacity;
  bool m_leaving;
};

/// @brief An entry VM as listed by the platform.
class EntryVm : public Comparable<EntryVm> {
 public:
  EntryVm(const Address& address, std::string zone, bool leaving)
      : m_address(address), m_zone(std::move(zone)), m_leaving(leaving) {}
  const Address& address() const { return m_address; }
  const std::string& zone() const { return m_zone; }
  bool leaving() const { return m_leaving; }
  auto Fields() const { return std::tie(m_address, m_zone, m_leaving); }

 private:
  Address m_address;
  std::string m_zone;
  bool m_leaving;
};

/// @brief The platform's list of live and leaving VMs as read by one zone; it may be out of date.
class VmList : public Comparable<VmList> {
 public:
  /// @param workers those of the reader's zone, or of all zones
  /// @param capacities the distinct capacities of all workers in the fleet
  VmList(std::vector<EntryVm> entries, std::vector<Worker> workers,
         std::set<ResourceSpec> capacities)
      : m_entries(std::move(entries)),
        m_workers(std::move(workers)),
        m_capacities(std::move(capacities)) {}
  /// @brief Entry VMs of all zones.
  const std::vector<EntryVm>& entries() const { return m_entries; }
  const std::vector<Worker>& workers() const { return m_workers; }
  const std::set<ResourceSpec>& capacities() const { return m_capacities; }
  auto Fields() const { return std::tie(m_entries, m_workers, m_capacities); }

 private:
  std::vector<EntryVm> m_entries;
  std::vector<Worker> m_workers;
  std::set<ResourceSpec> m_capacities;
};

/// @brief Keeps only the workers of one zone, but the capacities of the whole fleet.
/// Complexity: linear in the number of workers.
VmList FilterByZone(const VmList& list, const std::string& zone);

/// @brief Distinct capacities of the workers. Complexity: linear.
std::set<ResourceSpec> DistinctCapacities(const std::vector<Worker>& workers);

/// @brief One shard of one entry VM, which lends or borrows slots.
class ShardAddress : public Comparable<ShardAddress> {
 public:
  ShardAddress() = default;
  ShardAddress(const NodeId& node, ShardIndex shard) : m_node(node), m_shard(shard) {}
  const NodeId& node() const { return m_node; }
  ShardIndex shard() const { return m_shard; }
  auto Fields() const { return std::tie(m_node, m_shard); }

 private:
  NodeId m_node;
  ShardIndex m_shard = 0;
};

/// @brief A lease on one worker slot, granted by the shard that owns it.
class SlotLoan : public Comparable<SlotLoan> {
 public:
  SlotLoan(const ShardAddress& lender, std::uint64_t number, Worker worker, Instant expires_at)
      : m_lender(lender), m_number(number), m_worker(std::move(worker)), m_expires_at(expires_at) {}
  const ShardAddress& lender() const { return m_lender; }
  /// @brief Unique for the lender.
  std::uint64_t number() const { return m_number; }
  const Worker& worker() const { return m_worker; }
  /// @brief At this time the lender reclaims the slot, even if it was not returned.
  Instant expires_at() const { return m_expires_at; }
  auto Fields() const { return std::tie(m_lender, m_number, m_worker, m_expires_at); }

 private:
  ShardAddress m_lender;
  std::uint64_t m_number;
  Worker m_worker;
  Instant m_expires_at;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_VM_LIST_H_
