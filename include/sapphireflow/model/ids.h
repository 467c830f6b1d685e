// Part of the model: identifiers of processes, jobs, attempts and requests.
#ifndef SAPPHIREFLOW_MODEL_IDS_H_
#define SAPPHIREFLOW_MODEL_IDS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Identifies one lifetime of a process; never reused by a later process at the same
/// address.
using Incarnation = std::uint64_t;

/// @brief Index of a state shard within a process.
using ShardIndex = std::uint32_t;

/// @brief Identifies a request that waits for its reply at one entry VM.
using RequestToken = std::uint64_t;

/// @brief Identifies one incarnation of the process at an address.
class NodeId : public Comparable<NodeId> {
 public:
  NodeId() = default;
  NodeId(Address address, Incarnation incarnation)
      : m_address(address), m_incarnation(incarnation) {}
  const Address& address() const { return m_address; }
  Incarnation incarnation() const { return m_incarnation; }
  std::string text() const { return m_address.text() + "/" + std::to_string(m_incarnation); }
  auto Fields() const { return std::tie(m_address, m_incarnation); }

 private:
  Address m_address;
  Incarnation m_incarnation = 0;
};

/// @brief Identifies a job. Contains the job's home: the only process that may start its tasks.
class JobId : public Comparable<JobId> {
 public:
  JobId() = default;
  JobId(const NodeId& home, ShardIndex shard, std::uint64_t sequence, Instant issued_at)
      : m_home(home), m_sequence(sequence), m_issued_at(issued_at), m_shard(shard) {}
  const NodeId& home() const { return m_home; }
  ShardIndex shard() const { return m_shard; }
  std::uint64_t sequence() const { return m_sequence; }
  Instant issued_at() const { return m_issued_at; }
  auto Fields() const { return std::tie(m_sequence, m_shard, m_issued_at, m_home); }

 private:
  NodeId m_home;
  // invariant: unique within one shard of one incarnation
  std::uint64_t m_sequence = 0;
  // invariant: whole milliseconds, the resolution of the text form
  Instant m_issued_at{};
  ShardIndex m_shard = 0;
};

/// @brief Identifies one attempt of one task; a worker runs it at most once.
class AttemptId : public Comparable<AttemptId> {
 public:
  AttemptId() = default;
  AttemptId(const JobId& job, std::uint32_t task, std::uint32_t number)
      : m_job(job), m_task(task), m_number(number) {}
  const JobId& job() const { return m_job; }
  /// @brief Index of the task within its job.
  std::uint32_t task() const { return m_task; }
  /// @brief 1 for the first attempt of a task.
  std::uint32_t number() const { return m_number; }
  auto Fields() const { return std::tie(m_job, m_task, m_number); }

 private:
  JobId m_job;
  std::uint32_t m_task = 0;
  std::uint32_t m_number = 0;
};

}  // namespace sapphireflow

template <>
struct std::hash<sapphireflow::JobId> {
  std::size_t operator()(const sapphireflow::JobId& id) const noexcept {
    using sapphireflow::detail::HashCombine;
    return HashCombine(HashCombine(id.sequence(), id.shard()), id.home().incarnation());
  }
};

template <>
struct std::hash<sapphireflow::AttemptId> {
  std::size_t operator()(const sapphireflow::AttemptId& id) const noexcept {
    using sapphireflow::detail::HashCombine;
    return HashCombine(HashCombine(std::hash<sapphireflow::JobId>()(id.job()), id.task()),
                       id.number());
  }
};

#endif  // SAPPHIREFLOW_MODEL_IDS_H_
