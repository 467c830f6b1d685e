// Part of execution: the events that a shard processes, all of them through `Shard::Apply`.
#ifndef SAPPHIREFLOW_EXECUTION_SHARD_EVENT_H_
#define SAPPHIREFLOW_EXECUTION_SHARD_EVENT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sapphireflow/execution/attempt_report.h"
#include "sapphireflow/execution/shard_effect.h"
#include "sapphireflow/model/table.h"

namespace sapphireflow {

/// @brief A submission or resubmission of a job that this shard decides.
class SubmitJob : public Comparable<SubmitJob> {
 public:
  SubmitJob(const Waiter& waiter, const JobId& job, JobSpecPtr spec)
      : m_waiter(waiter), m_job(job), m_spec(std::move(spec)) {}
  const Waiter& waiter() const { return m_waiter; }
  const JobId& job() const { return m_job; }
  const JobSpecPtr& spec() const { return m_spec; }
  auto Fields() const { return std::tie(m_waiter, m_job, *m_spec); }

 private:
  Waiter m_waiter;
  JobId m_job;
  JobSpecPtr m_spec;
};

/// @brief What a request about an existing job asks for.
enum class JobRequestKind {
  kAnswer,   ///< wait for its answer
  kStop,     ///< stop it; if the id is unknown, ensure that it never runs
  kExplain,  ///< return its journal
};

/// @brief A request about one job.
class JobRequest : public Comparable<JobRequest> {
 public:
  JobRequest(const Waiter& waiter, const JobId& job, JobRequestKind request_kind)
      : m_waiter(waiter), m_job(job), m_request_kind(request_kind) {}
  const Waiter& waiter() const { return m_waiter; }
  const JobId& job() const { return m_job; }
  JobRequestKind request_kind() const { return m_request_kind; }
  auto Fields() const { return std::tie(m_waiter, m_job, m_request_kind); }

 private:
  Waiter m_waiter;
  JobId m_job;
  JobRequestKind m_request_kind;
};

/// @brief The workers assigned to this shard, the worker capacities in the fleet, and the leaving
/// workers.
class AssignWorkers : public Comparable<AssignWorkers> {
 public:
  AssignWorkers(std::vector<Worker> own_workers, std::set<ResourceSpec> capacities,
                std::set<Address> leaving = {})
      : m_own_workers(std::move(own_workers)),
        m_capacities(std::move(capacities)),
        m_leaving(std::move(leaving)) {}
  const std::vector<Worker>& own_workers() const { return m_own_workers; }
  const std::set<ResourceSpec>& capacities() const { return m_capacities; }
  /// @brief All workers known to be leaving, including those that other shards lent slots of.
  const std::set<Address>& leaving() const { return m_leaving; }
  auto Fields() const { return std::tie(m_own_workers, m_capacities, m_leaving); }

 private:
  std::vector<Worker> m_own_workers;
  std::set<ResourceSpec> m_capacities;
  std::set<Address> m_leaving;
};

/// @brief A table to apply from now on.
class UseTable : public Comparable<UseTable> {
 public:
  explicit UseTable(TablePtr table) : m_table(std::move(table)) {}
  const TablePtr& table() const { return m_table; }
  auto Fields() const { return std::tie(m_table); }

 private:
  TablePtr m_table;
};

/// @brief A summary of the rest of the fleet.
class FleetLoad : public Comparable<FleetLoad> {
 public:
  FleetLoad(std::uint32_t quota_shares, std::uint32_t peer_free_slots)
      : m_quota_shares(quota_shares), m_peer_free_slots(peer_free_slots) {}
  /// @brief Number of shards in the fleet among which the table's quotas are divided.
  std::uint32_t quota_shares() const { return m_quota_shares; }
  /// @brief Free slots of the other entry VMs.
  std::uint32_t peer_free_slots() const { return m_peer_free_slots; }
  auto Fields() const { return std::tie(m_quota_shares, m_peer_free_slots); }

 private:
  std::uint32_t m_quota_shares;
  std::uint32_t m_peer_free_slots;
};

/// @brief One stored job, as handed over to the successor of its home.
class InheritedJob : public Comparable<InheritedJob> {
 public:
  InheritedJob(const JobId& job, std::uint64_t digest, std::optional<JobAnswer> answer)
      : m_job(job), m_digest(digest), m_answer(std::move(answer)) {}
  const JobId& job() const { return m_job; }
  std::uint64_t digest() const { return m_digest; }
  /// @brief Empty while the old home still runs the job.
  const std::optional<JobAnswer>& answer() const { return m_answer; }
  auto Fields() const { return std::tie(m_job, m_digest, m_answer); }

 private:
  JobId m_job;
  std::uint64_t m_digest;
  std::optional<JobAnswer> m_answer;
};

/// @brief The stored jobs of another home's shard, to be taken over.
class InheritJobs : public Comparable<InheritJobs> {
 public:
  InheritJobs(Instant evicted_up_to, std::vector<InheritedJob> jobs)
      : m_evicted_up_to(evicted_up_to), m_jobs(std::move(jobs)) {}
  /// @brief Ids issued up to this time may have been evicted by the old home.
  Instant evicted_up_to() const { return m_evicted_up_to; }
  const std::vector<InheritedJob>& jobs() const { return m_jobs; }
  auto Fields() const { return std::tie(m_evicted_up_to, m_jobs); }

 private:
  Instant m_evicted_up_to;
  std::vector<InheritedJob> m_jobs;
};

/// @brief A home is permanently gone: jobs that it had not answered fail and may have run.
class HomeGone : public Comparable<HomeGone> {
 public:
  explicit HomeGone(const NodeId& home) : m_home(home) {}
  const NodeId& home() const { return m_home; }
  auto Fields() const { return std::tie(m_home); }

 private:
  NodeId m_home;
};

/// @brief Requests that due timers are handled.
class Tick : public Comparable<Tick> {
 public:
  auto Fields() const { return std::tie(); }
};

using ShardEvent =
    std::variant<SubmitJob, JobRequest, AttemptReport, RequestSlots, GrantSlots, ReturnSlots,
                 AssignWorkers, UseTable, FleetLoad, InheritJobs, HomeGone, Tick>;

/// @brief An event and the time at which the shard processes it.
class ShardInput : public Comparable<ShardInput> {
 public:
  ShardInput(Instant now, ShardEvent event) : m_now(now), m_event(std::move(event)) {}
  Instant now() const { return m_now; }
  const ShardEvent& event() const { return m_event; }
  auto Fields() const { return std::tie(m_now, m_event); }

 private:
  Instant m_now;
  ShardEvent m_event;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXECUTION_SHARD_EVENT_H_
