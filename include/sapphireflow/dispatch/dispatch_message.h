// Part of dispatch: the messages between job coordinators, worker owners and cluster members, as
// values independent of their encoding. Times are sent as durations, never as points in time,
// because the clocks of two VMs differ.
#ifndef SAPPHIREFLOW_DISPATCH_DISPATCH_MESSAGE_H_
#define SAPPHIREFLOW_DISPATCH_DISPATCH_MESSAGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sapphireflow/dispatch/worker_list_message.h"
#include "sapphireflow/membership/member_listing.h"
#include "sapphireflow/model/configuration.h"
#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/job_order.h"
#include "sapphireflow/model/worker_listing.h"
#include "sapphireflow/model/worker_loss.h"

namespace sapphireflow {

/// @brief Requests that an owner start one run on any of its workers.
class RunOrder : public Comparable<RunOrder> {
 public:
  RunOrder(const RunKey& run, const Resources& needs, Duration estimate, std::string label,
           std::string near_rack, std::uint32_t per_worker_limit, std::vector<WorkerId> avoid,
           std::uint32_t declines = 0, bool alone = false)
      : m_run(run),
        m_needs(needs),
        m_estimate(estimate),
        m_label(std::move(label)),
        m_near_rack(std::move(near_rack)),
        m_per_worker_limit(per_worker_limit),
        m_avoid(std::move(avoid)),
        m_declines(declines),
        m_alone(alone) {}
  const RunKey& run() const { return m_run; }
  const Resources& needs() const { return m_needs; }
  Duration estimate() const { return m_estimate; }
  const std::string& label() const { return m_label; }
  const std::string& near_rack() const { return m_near_rack; }
  std::uint32_t per_worker_limit() const { return m_per_worker_limit; }
  /// @brief Workers on which an earlier run of the task failed or was lost.
  const std::vector<WorkerId>& avoid() const { return m_avoid; }
  /// @brief Number of consecutive owners that have declined the task.
  std::uint32_t declines() const { return m_declines; }
  /// @brief Whether nothing else may run on the worker meanwhile, because the task may crash it.
  bool alone() const { return m_alone; }
  auto Fields() const {
    return std::tie(m_run, m_needs, m_estimate, m_label, m_near_rack, m_per_worker_limit, m_avoid,
                    m_declines, m_alone);
  }

 private:
  RunKey m_run;
  Resources m_needs;
  Duration m_estimate;
  std::string m_label;
  std::string m_near_rack;
  std::uint32_t m_per_worker_limit;
  std::vector<WorkerId> m_avoid;
  std::uint32_t m_declines;
  bool m_alone;
};

/// @brief Coordinator to owner: request to start these runs of one job.
class PlaceRuns : public Comparable<PlaceRuns> {
 public:
  PlaceRuns(const NodeId& coordinator, std::string service,
            std::shared_ptr<const std::string> payload, Duration time_to_objective,
            Duration time_to_deadline, std::uint32_t priority, std::vector<RunOrder> runs,
            std::string queue = "", std::uint64_t echo = 0, bool job_begun = false)
      : m_coordinator(coordinator),
        m_service(std::move(service)),
        m_payload(std::move(payload)),
        m_time_to_objective(time_to_objective),
        m_time_to_deadline(time_to_deadline),
        m_priority(priority),
        m_runs(std::move(runs)),
        m_queue(std::move(queue)),
        m_echo(echo),
        m_job_begun(job_begun) {}
  /// @brief Returns a copy with the given echo.
  PlaceRuns WithEcho(std::uint64_t echo) const {
    return {
        m_coordinator, m_service, m_payload, m_time_to_objective, m_time_to_deadline, m_priority,
        m_runs,        m_queue,   echo,      m_job_begun};
  }
  const NodeId& coordinator() const { return m_coordinator; }
  const std::string& service() const { return m_service; }
  const std::shared_ptr<const std::string>& payload() const { return m_payload; }
  /// @brief Time left until the job's response time objective; negative once it has been missed.
  Duration time_to_objective() const { return m_time_to_objective; }
  /// @brief Time left until the caller stops waiting for the answer.
  Duration time_to_deadline() const { return m_time_to_deadline; }
  std::uint32_t priority() const { return m_priority; }
  const std::vector<RunOrder>& runs() const { return m_runs; }
  /// @brief Queue of the job; empty if the coordinator runs an earlier version.
  const std::string& queue() const { return m_queue; }
  /// @brief Sequence number of the latest heartbeat that the coordinator received from the owner.
  /// The owner derives from it an upper bound of the message's age by its own clock.
  std::uint64_t echo() const { return m_echo; }
  /// @brief Whether a run of the job may have started; false if the coordinator runs an earlier
  /// version.
  bool job_begun() const { return m_job_begun; }
  auto Fields() const {
    return std::tie(m_coordinator, m_service, *m_payload, m_time_to_objective, m_time_to_deadline,
                    m_priority, m_runs, m_queue, m_echo, m_job_begun);
  }

 private:
  NodeId m_coordinator;
  std::string m_service;
  // invariant: not null
  std::shared_ptr<const std::string> m_payload;
  Duration m_time_to_objective;
  Duration m_time_to_deadline;
  std::uint32_t m_priority;
  std::vector<RunOrder> m_runs;
  std::string m_queue;
  std::uint64_t m_echo;
  bool m_job_begun;
};

/// @brief Coordinator to owner: request to drop these runs, and to stop those that have started.
class CancelRuns : public Comparable<CancelRuns> {
 public:
  CancelRuns(const NodeId& coordinator, std::string service, std::vector<RunKey> runs)
      : m_coordinator(coordinator), m_service(std::move(service)), m_runs(std::move(runs)) {}
  const NodeId& coordinator() const { return m_coordinator; }
  /// @brief Service of the runs; empty if the coordinator no longer knows it.
  const std::string& service() const { return m_service; }
  const std::vector<RunKey>& runs() const { return m_runs; }
  auto Fields() const { return std::tie(m_coordinator, m_service, m_runs); }

 private:
  NodeId m_coordinator;
  std::string m_service;
  std::vector<RunKey> m_runs;
};

/// @brief Coordinator to a worker's new owner: claims a run on the worker, which is to continue.
class AdoptRun : public Comparable<AdoptRun> {
 public:
  AdoptRun(const NodeId& coordinator, std::string service, WorkerId worker, const RunKey& run,
           const Resources& needs, Duration estimate, std::int64_t process_start_ms = 0,
           bool alone = false, bool to_stop = false, std::uint64_t echo = 0)
      : m_coordinator(coordinator),
        m_service(std::move(service)),
        m_worker(std::move(worker)),
        m_run(run),
        m_needs(needs),
        m_estimate(estimate),
        m_process_start_ms(process_start_ms),
        m_alone(alone),
        m_to_stop(to_stop),
        m_echo(echo) {}
  /// @brief Returns a copy with the given echo.
  AdoptRun WithEcho(std::uint64_t echo) const {
    return {m_coordinator, m_service,          m_worker, m_run,     m_needs,
            m_estimate,    m_process_start_ms, m_alone,  m_to_stop, echo};
  }
  const NodeId& coordinator() const { return m_coordinator; }
  const std::string& service() const { return m_service; }
  const WorkerId& worker() const { return m_worker; }
  const RunKey& run() const { return m_run; }
  const Resources& needs() const { return m_needs; }
  Duration estimate() const { return m_estimate; }
  /// @brief Start time of the process that has the run; 0 if unknown.
  std::int64_t process_start_ms() const { return m_process_start_ms; }
  /// @brief See `RunOrder::alone`.
  bool alone() const { return m_alone; }
  /// @brief Whether the run is claimed only to be stopped: its lease must not be extended.
  bool to_stop() const { return m_to_stop; }
  /// @brief See `PlaceRuns::echo`.
  std::uint64_t echo() const { return m_echo; }
  auto Fields() const {
    return std::tie(m_coordinator, m_service, m_worker, m_run, m_needs, m_estimate,
                    m_process_start_ms, m_alone, m_to_stop, m_echo);
  }

 private:
  NodeId m_coordinator;
  std::string m_service;
  WorkerId m_worker;
  RunKey m_run;
  Resources m_needs;
  Duration m_estimate;
  std::int64_t m_process_start_ms;
  bool m_alone;
  bool m_to_stop;
  std::uint64_t m_echo;
};

/// @brief State change of a run that an owner reports.
enum class RunTransition {
  kStarted,   ///< the run is executing on the worker
  kEnded,     ///< the run has executed, or may have, and is certainly no longer executing
  kDeclined,  ///< the run did not start and never will
  kReleased,  ///< the worker has a new owner, which now has the state of the run
};

inline constexpr RunTransition kLastRunTransition = RunTransition::kReleased;

/// @brief Reason of a report that a run has lapsed with the lease of its worker, which does not
/// answer. Unlike an end that the worker lists, this is concluded from the owner's own requests.
inline constexpr char kSilentWorkerReason[] = "worker_silent";

/// @brief State change of one run, as reported by an owner to the coordinator.
class RunReport : public Comparable<RunReport> {
 public:
  RunReport(const RunKey& run, RunTransition transition, RunEnd end, WorkerId worker,
            std::string reason)
      : m_run(run),
        m_transition(transition),
        m_end(end),
        m_worker(std::move(worker)),
        m_reason(std::move(reason)) {}
  const RunKey& run() const { return m_run; }
  RunTransition transition() const { return m_transition; }
  /// @brief Valid only if the run has ended.
  RunEnd end() const { return m_end; }
  /// @brief Empty if the run was declined before a worker was selected.
  const WorkerId& worker() const { return m_worker; }
  /// @brief Reason as a single word, for the log.
  const std::string& reason() const { return m_reason; }
  auto Fields() const { return std::tie(m_run, m_transition, m_end, m_worker, m_reason); }

 private:
  RunKey m_run;
  RunTransition m_transition;
  RunEnd m_end;
  WorkerId m_worker;
  std::string m_reason;
};

/// @brief Free capacity of one worker.
class WorkerFreeCapacity : public Comparable<WorkerFreeCapacity> {
 public:
  WorkerFreeCapacity(WorkerId worker, const Resources& available, double slowness)
      : m_worker(std::move(worker)), m_available(available), m_slowness(slowness) {}
  const WorkerId& worker() const { return m_worker; }
  const Resources& available() const { return m_available; }
  /// @brief Ratio of expected to declared run time.
  double slowness() const { return m_slowness; }
  auto Fields() const { return std::tie(m_worker, m_available, m_slowness); }

 private:
  WorkerId m_worker;
  Resources m_available;
  double m_slowness;
};

/// @brief Estimated wait of a run of one priority at an owner.
class PriorityWait : public Comparable<PriorityWait> {
 public:
  PriorityWait(std::uint32_t priority, Duration wait) : m_priority(priority), m_wait(wait) {}
  std::uint32_t priority() const { return m_priority; }
  /// @brief Behind the runs of this priority and of all higher ones.
  Duration wait() const { return m_wait; }
  auto Fields() const { return std::tie(m_priority, m_wait); }

 private:
  std::uint32_t m_priority;
  Duration m_wait;
};

/// @brief Free capacity of an owner's workers of one service.
class CapacityDigest : public Comparable<CapacityDigest> {
 public:
  CapacityDigest(std::string service, std::vector<WorkerFreeCapacity> free_capacity, Duration wait,
                 std::int64_t milli_cores, std::vector<PriorityWait> priority_waits = {})
      : m_service(std::move(service)),
        m_free_capacity(std::move(free_capacity)),
        m_wait(wait),
        m_milli_cores(milli_cores),
        m_priority_waits(std::move(priority_waits)) {}
  const std::string& service() const { return m_service; }
  /// @brief In a complete update, only the workers that have free capacity.
  const std::vector<WorkerFreeCapacity>& free_capacity() const { return m_free_capacity; }
  /// @brief Estimated wait of a run for which no worker has enough free capacity.
  Duration wait() const { return m_wait; }
  /// @brief Total of all the owner's usable workers, whether in use or free.
  std::int64_t milli_cores() const { return m_milli_cores; }
  /// @brief Ascending by priority, and by wait. Empty if runs of all priorities wait equally long,
  /// or if the owner runs an earlier version.
  const std::vector<PriorityWait>& priority_waits() const { return m_priority_waits; }
  auto Fields() const {
    return std::tie(m_service, m_free_capacity, m_wait, m_milli_cores, m_priority_waits);
  }

 private:
  std::string m_service;
  std::vector<WorkerFreeCapacity> m_free_capacity;
  Duration m_wait;
  std::int64_t m_milli_cores;
  std::vector<PriorityWait> m_priority_waits;
};

/// @brief Free capacity of an owner's workers: a full snapshot, or changes to some workers.
class CapacityUpdate : public Comparable<CapacityUpdate> {
 public:
  CapacityUpdate(std::vector<CapacityDigest> digests, bool complete)
      : m_digests(std::move(digests)), m_complete(complete) {}
  const std::vector<CapacityDigest>& digests() const { return m_digests; }
  /// @brief If false, the digests list only some workers, including those without free capacity.
  bool complete() const { return m_complete; }
  auto Fields() const { return std::tie(m_digests, m_complete); }

 private:
  std::vector<CapacityDigest> m_digests;
  bool m_complete;
};

/// @brief Owner to coordinator: reports on runs, with the free capacity of the workers concerned.
class RunReports : public Comparable<RunReports> {
 public:
  RunReports(const NodeId& owner, std::vector<RunReport> reports, CapacityUpdate free_capacity,
             const std::optional<NodeId>& coordinator = std::nullopt)
      : m_owner(owner),
        m_reports(std::move(reports)),
        m_free_capacity(std::move(free_capacity)),
        m_coordinator(coordinator) {}
  const NodeId& owner() const { return m_owner; }
  const std::vector<RunReport>& reports() const { return m_reports; }
  const CapacityUpdate& free_capacity() const { return m_free_capacity; }
  /// @brief The process that ordered or claimed the runs: its successor at the same address numbers
  /// its runs from 1 again. Empty from an owner of an earlier version.
  const std::optional<NodeId>& coordinator() const { return m_coordinator; }
  auto Fields() const { return std::tie(m_owner, m_reports, m_free_capacity, m_coordinator); }

 private:
  NodeId m_owner;
  std::vector<RunReport> m_reports;
  CapacityUpdate m_free_capacity;
  std::optional<NodeId> m_coordinator;
};

/// @brief Heartbeat from one member to another.
class MemberHeartbeat : public Comparable<MemberHeartbeat> {
 public:
  MemberHeartbeat(MemberListing from, bool draining, std::uint64_t sequence, std::uint64_t echo,
                  std::uint64_t link_losses, std::uint64_t configuration_version,
                  std::uint64_t token_floor, bool parting = false,
                  const std::optional<WorkerListOffer>& worker_list = std::nullopt,
                  std::vector<RunKey> doubted_runs = {}, Duration delay = Duration::zero())
      : m_from(std::move(from)),
        m_draining(draining),
        m_sequence(sequence),
        m_echo(echo),
        m_link_losses(link_losses),
        m_configuration_version(configuration_version),
        m_token_floor(token_floor),
        m_parting(parting),
        m_worker_list(worker_list),
        m_doubted_runs(std::move(doubted_runs)),
        m_delay(delay) {}
  const MemberListing& from() const { return m_from; }
  bool draining() const { return m_draining; }
  std::uint64_t sequence() const { return m_sequence; }
  /// @brief Sequence number of the latest heartbeat that the sender received from the receiver; 0
  /// for none.
  std::uint64_t echo() const { return m_echo; }
  /// @brief How often the sender's link to the receiver was lost, including messages in transit.
  std::uint64_t link_losses() const { return m_link_losses; }
  std::uint64_t configuration_version() const { return m_configuration_version; }
  /// @brief Highest fencing token that the sender knows to be in use.
  std::uint64_t token_floor() const { return m_token_floor; }
  /// @brief The last heartbeat for now: neither side has runs at the other any more, as far as the
  /// sender knows, and its silence from now on means nothing.
  bool parting() const { return m_parting; }
  /// @brief The list of workers that the sender offers; empty if it has not read one lately.
  const std::optional<WorkerListOffer>& worker_list() const { return m_worker_list; }
  /// @brief Runs that the sender coordinates and may give up: their owners must not extend their
  /// leases on the strength of this heartbeat.
  const std::vector<RunKey>& doubted_runs() const { return m_doubted_runs; }
  /// @brief How late an event loop of the sender was lately.
  Duration delay() const { return m_delay; }
  auto Fields() const {
    return std::tie(m_from, m_draining, m_sequence, m_echo, m_link_losses, m_configuration_version,
                    m_token_floor, m_parting, m_worker_list, m_doubted_runs, m_delay);
  }

 private:
  MemberListing m_from;
  bool m_draining;
  std::uint64_t m_sequence;
  std::uint64_t m_echo;
  std::uint64_t m_link_losses;
  std::uint64_t m_configuration_version;
  std::uint64_t m_token_floor;
  bool m_parting;
  std::optional<WorkerListOffer> m_worker_list;
  std::vector<RunKey> m_doubted_runs;
  Duration m_delay;
};

/// @brief Owner to the members of its zone and to the relays of other zones: the free capacity of
/// its workers. All receive the same message.
class CapacityAnnouncement : public Comparable<CapacityAnnouncement> {
 public:
  CapacityAnnouncement(const NodeId& owner, std::string zone, std::vector<CapacityDigest> digests)
      : m_owner(owner), m_zone(std::move(zone)), m_digests(std::move(digests)) {}
  const NodeId& owner() const { return m_owner; }
  const std::string& zone() const { return m_zone; }
  const std::vector<CapacityDigest>& digests() const { return m_digests; }
  auto Fields() const { return std::tie(m_owner, m_zone, m_digests); }

 private:
  NodeId m_owner;
  std::string m_zone;
  std::vector<CapacityDigest> m_digests;
};

/// @brief Relay to the members of its zone: what owners in other zones have announced lately,
/// reduced to their workers with the most free capacity.
class CapacityRelay : public Comparable<CapacityRelay> {
 public:
  explicit CapacityRelay(std::vector<CapacityAnnouncement> announcements)
      : m_announcements(std::move(announcements)) {}
  const std::vector<CapacityAnnouncement>& announcements() const { return m_announcements; }
  auto Fields() const { return std::tie(m_announcements); }

 private:
  std::vector<CapacityAnnouncement> m_announcements;
};

/// @brief Requests the configuration that a member has in force.
class ConfigurationRequest : public Comparable<ConfigurationRequest> {
 public:
  explicit ConfigurationRequest(const NodeId& from) : m_from(from) {}
  const NodeId& from() const { return m_from; }
  auto Fields() const { return std::tie(m_from); }

 private:
  NodeId m_from;
};

/// @brief The configuration that the sender has in force.
class ConfigurationCopy : public Comparable<ConfigurationCopy> {
 public:
  explicit ConfigurationCopy(ConfigurationPtr configuration)
      : m_configuration(std::move(configuration)) {}
  const ConfigurationPtr& configuration() const { return m_configuration; }
  auto Fields() const { return std::tie(*m_configuration); }

 private:
  // invariant: not null
  ConfigurationPtr m_configuration;
};

/// @brief Records of lost workers, passed on to all VMs: by the observer to its zone and to the
/// relays of other zones, and by those to their zones.
class CrashNotice : public Comparable<CrashNotice> {
 public:
  /// @param zone availability zone of the sender
  CrashNotice(std::string zone, std::vector<LossRecord> records)
      : m_zone(std::move(zone)), m_records(std::move(records)) {}
  const std::string& zone() const { return m_zone; }
  const std::vector<LossRecord>& records() const { return m_records; }
  auto Fields() const { return std::tie(m_zone, m_records); }

 private:
  std::string m_zone;
  std::vector<LossRecord> m_records;
};

using DispatchMessage =
    std::variant<PlaceRuns, CancelRuns, AdoptRun, RunReports, MemberHeartbeat, CapacityAnnouncement,
                 ConfigurationRequest, ConfigurationCopy, CapacityRelay, WorkerListUpdate,
                 WorkerListRequest, CrashNotice>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_DISPATCH_MESSAGE_H_
