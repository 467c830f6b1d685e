// Part of dispatch: what coordinators of jobs, owners of workers and members say to one another,
// as values without an encoding. Lengths of time, not points: the clocks of two VMs differ.
#ifndef SAPPHIREFLOW_DISPATCH_DISPATCH_MESSAGE_H_
#define SAPPHIREFLOW_DISPATCH_DISPATCH_MESSAGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sapphireflow/membership/member_listing.h"
#include "sapphireflow/model/configuration.h"
#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/work.h"
#include "sapphireflow/model/worker_state.h"

namespace sapphireflow {

/// @brief One run that an owner is asked to start on some worker of its own.
class RunOrder : public Comparable<RunOrder> {
 public:
  RunOrder(const RunKey& run, const Resources& needs, Duration estimate, std::string label,
           std::string near_rack, std::uint32_t per_worker_limit, std::vector<WorkerId> avoid,
           std::uint32_t declines = 0)
      : m_run(run),
        m_needs(needs),
        m_estimate(estimate),
        m_label(std::move(label)),
        m_near_rack(std::move(near_rack)),
        m_per_worker_limit(per_worker_limit),
        m_avoid(std::move(avoid)),
        m_declines(declines) {}
  const RunKey& run() const { return m_run; }
  const Resources& needs() const { return m_needs; }
  Duration estimate() const { return m_estimate; }
  const std::string& label() const { return m_label; }
  const std::string& near_rack() const { return m_near_rack; }
  std::uint32_t per_worker_limit() const { return m_per_worker_limit; }
  /// @brief Workers on which the task failed or was lost before.
  const std::vector<WorkerId>& avoid() const { return m_avoid; }
  /// @brief How many owners in a row have sent the task back.
  std::uint32_t declines() const { return m_declines; }
  auto Fields() const {
    return std::tie(m_run, m_needs, m_estimate, m_label, m_near_rack, m_per_worker_limit, m_avoid,
                    m_declines);
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
};

/// @brief Coordinator to owner: start these runs of one job.
class PlaceRuns : public Comparable<PlaceRuns> {
 public:
  PlaceRuns(const NodeId& coordinator, std::string service,
            std::shared_ptr<const std::string> payload, Duration objective_left,
            Duration useful_left, std::uint32_t priority, std::vector<RunOrder> runs,
            std::uint64_t echo = 0)
      : m_coordinator(coordinator),
        m_service(std::move(service)),
        m_payload(std::move(payload)),
        m_objective_left(objective_left),
        m_useful_left(useful_left),
        m_priority(priority),
        m_runs(std::move(runs)),
        m_echo(echo) {}
  /// @brief The same order with an echo.
  PlaceRuns WithEcho(std::uint64_t echo) const {
    return {m_coordinator, m_service,  m_payload, m_objective_left,
            m_useful_left, m_priority, m_runs,    echo};
  }
  const NodeId& coordinator() const { return m_coordinator; }
  const std::string& service() const { return m_service; }
  const std::shared_ptr<const std::string>& payload() const { return m_payload; }
  /// @brief Time until the answer is late; may be negative.
  Duration objective_left() const { return m_objective_left; }
  /// @brief Time until the answer is of no use.
  Duration useful_left() const { return m_useful_left; }
  std::uint32_t priority() const { return m_priority; }
  const std::vector<RunOrder>& runs() const { return m_runs; }
  /// @brief Sequence of the newest beat that the coordinator got from the owner: tells the owner
  /// how old the order may be, by its own clock.
  std::uint64_t echo() const { return m_echo; }
  auto Fields() const {
    return std::tie(m_coordinator, m_service, *m_payload, m_objective_left, m_useful_left,
                    m_priority, m_runs, m_echo);
  }

 private:
  NodeId m_coordinator;
  std::string m_service;
  // invariant: not null
  std::shared_ptr<const std::string> m_payload;
  Duration m_objective_left;
  Duration m_useful_left;
  std::uint32_t m_priority;
  std::vector<RunOrder> m_runs;
  std::uint64_t m_echo;
};

/// @brief Coordinator to owner: these runs are not wanted any more; stop what runs.
class CancelRuns : public Comparable<CancelRuns> {
 public:
  CancelRuns(const NodeId& coordinator, std::string service, std::vector<RunKey> runs)
      : m_coordinator(coordinator), m_service(std::move(service)), m_runs(std::move(runs)) {}
  const NodeId& coordinator() const { return m_coordinator; }
  const std::string& service() const { return m_service; }
  const std::vector<RunKey>& runs() const { return m_runs; }
  auto Fields() const { return std::tie(m_coordinator, m_service, m_runs); }

 private:
  NodeId m_coordinator;
  std::string m_service;
  std::vector<RunKey> m_runs;
};

/// @brief Coordinator to a worker's new owner: this run on the worker is mine, let it go on.
class AdoptRun : public Comparable<AdoptRun> {
 public:
  AdoptRun(const NodeId& coordinator, std::string service, WorkerId worker, const RunKey& run,
           const Resources& needs, Duration estimate, std::uint64_t echo = 0)
      : m_coordinator(coordinator),
        m_service(std::move(service)),
        m_worker(std::move(worker)),
        m_run(run),
        m_needs(needs),
        m_estimate(estimate),
        m_echo(echo) {}
  /// @brief The same request with an echo.
  AdoptRun WithEcho(std::uint64_t echo) const {
    return {m_coordinator, m_service, m_worker, m_run, m_needs, m_estimate, echo};
  }
  const NodeId& coordinator() const { return m_coordinator; }
  const std::string& service() const { return m_service; }
  const WorkerId& worker() const { return m_worker; }
  const RunKey& run() const { return m_run; }
  const Resources& needs() const { return m_needs; }
  Duration estimate() const { return m_estimate; }
  /// @brief As for `PlaceRuns`.
  std::uint64_t echo() const { return m_echo; }
  auto Fields() const {
    return std::tie(m_coordinator, m_service, m_worker, m_run, m_needs, m_estimate, m_echo);
  }

 private:
  NodeId m_coordinator;
  std::string m_service;
  WorkerId m_worker;
  RunKey m_run;
  Resources m_needs;
  Duration m_estimate;
  std::uint64_t m_echo;
};

/// @brief What an owner has to say of a run.
enum class RunNews {
  kStarted,   ///< it runs on the worker
  kEnded,     ///< it ran, or may have, and certainly runs no more
  kDeclined,  ///< it did not start and will not
  kReleased,  ///< the worker has another owner now, who knows how the run fares
};

inline constexpr RunNews kLastRunNews = RunNews::kReleased;

/// @brief Owner to coordinator: news of one run.
class RunReport : public Comparable<RunReport> {
 public:
  RunReport(const RunKey& run, RunNews news, RunEnd end, WorkerId worker, std::string reason)
      : m_run(run),
        m_news(news),
        m_end(end),
        m_worker(std::move(worker)),
        m_reason(std::move(reason)) {}
  const RunKey& run() const { return m_run; }
  RunNews news() const { return m_news; }
  /// @brief Means something only if the run has ended.
  RunEnd end() const { return m_end; }
  /// @brief Empty if the run was declined before a worker was chosen.
  const WorkerId& worker() const { return m_worker; }
  /// @brief Why, in a word, for the log.
  const std::string& reason() const { return m_reason; }
  auto Fields() const { return std::tie(m_run, m_news, m_end, m_worker, m_reason); }

 private:
  RunKey m_run;
  RunNews m_news;
  RunEnd m_end;
  WorkerId m_worker;
  std::string m_reason;
};

/// @brief What one worker still offers.
class WorkerRoom : public Comparable<WorkerRoom> {
 public:
  WorkerRoom(WorkerId worker, const Resources& room, double slowness)
      : m_worker(std::move(worker)), m_room(room), m_slowness(slowness) {}
  const WorkerId& worker() const { return m_worker; }
  const Resources& room() const { return m_room; }
  /// @brief Measured run time over the declared one.
  double slowness() const { return m_slowness; }
  auto Fields() const { return std::tie(m_worker, m_room, m_slowness); }

 private:
  WorkerId m_worker;
  Resources m_room;
  double m_slowness;
};

/// @brief What an owner's workers of one service offer now.
class RoomDigest : public Comparable<RoomDigest> {
 public:
  RoomDigest(std::string service, std::vector<WorkerRoom> rooms, Duration wait,
             std::int64_t milli_cores)
      : m_service(std::move(service)),
        m_rooms(std::move(rooms)),
        m_wait(wait),
        m_milli_cores(milli_cores) {}
  const std::string& service() const { return m_service; }
  /// @brief Only workers with room, in a complete update.
  const std::vector<WorkerRoom>& rooms() const { return m_rooms; }
  /// @brief How long a run that finds no room waits, about.
  Duration wait() const { return m_wait; }
  /// @brief Of all the owner's usable workers, in use or not.
  std::int64_t milli_cores() const { return m_milli_cores; }
  auto Fields() const { return std::tie(m_service, m_rooms, m_wait, m_milli_cores); }

 private:
  std::string m_service;
  std::vector<WorkerRoom> m_rooms;
  Duration m_wait;
  std::int64_t m_milli_cores;
};

/// @brief What an owner offers, whole or in part.
class RoomUpdate : public Comparable<RoomUpdate> {
 public:
  RoomUpdate(std::vector<RoomDigest> digests, bool complete)
      : m_digests(std::move(digests)), m_complete(complete) {}
  const std::vector<RoomDigest>& digests() const { return m_digests; }
  /// @brief Else the digests name some workers only, those without room too.
  bool complete() const { return m_complete; }
  auto Fields() const { return std::tie(m_digests, m_complete); }

 private:
  std::vector<RoomDigest> m_digests;
  bool m_complete;
};

/// @brief Owner to coordinator: news of runs, with what the workers concerned offer now.
class RunReports : public Comparable<RunReports> {
 public:
  RunReports(const NodeId& owner, std::vector<RunReport> reports, RoomUpdate rooms)
      : m_owner(owner), m_reports(std::move(reports)), m_rooms(std::move(rooms)) {}
  const NodeId& owner() const { return m_owner; }
  const std::vector<RunReport>& reports() const { return m_reports; }
  const RoomUpdate& rooms() const { return m_rooms; }
  auto Fields() const { return std::tie(m_owner, m_reports, m_rooms); }

 private:
  NodeId m_owner;
  std::vector<RunReport> m_reports;
  RoomUpdate m_rooms;
};

/// @brief A member's heartbeat to another one.
class MemberBeat : public Comparable<MemberBeat> {
 public:
  MemberBeat(MemberListing from, bool draining, std::uint64_t sequence, std::uint64_t echo,
             std::uint64_t link_losses, std::uint64_t configuration_version,
             std::uint64_t token_floor)
      : m_from(std::move(from)),
        m_draining(draining),
        m_sequence(sequence),
        m_echo(echo),
        m_link_losses(link_losses),
        m_configuration_version(configuration_version),
        m_token_floor(token_floor) {}
  const MemberListing& from() const { return m_from; }
  bool draining() const { return m_draining; }
  std::uint64_t sequence() const { return m_sequence; }
  /// @brief Sequence of the newest beat that the sender got from the receiver; 0 for none.
  std::uint64_t echo() const { return m_echo; }
  /// @brief How often the sender's link to the receiver was lost, with what was on its way.
  std::uint64_t link_losses() const { return m_link_losses; }
  std::uint64_t configuration_version() const { return m_configuration_version; }
  /// @brief Highest fencing token that the sender knows to be in use.
  std::uint64_t token_floor() const { return m_token_floor; }
  auto Fields() const {
    return std::tie(m_from, m_draining, m_sequence, m_echo, m_link_losses, m_configuration_version,
                    m_token_floor);
  }

 private:
  MemberListing m_from;
  bool m_draining;
  std::uint64_t m_sequence;
  std::uint64_t m_echo;
  std::uint64_t m_link_losses;
  std::uint64_t m_configuration_version;
  std::uint64_t m_token_floor;
};

/// @brief Owner to all members: what its workers offer now. The same for all.
class RoomNotice : public Comparable<RoomNotice> {
 public:
  RoomNotice(const NodeId& owner, std::string zone, std::vector<RoomDigest> digests)
      : m_owner(owner), m_zone(std::move(zone)), m_digests(std::move(digests)) {}
  const NodeId& owner() const { return m_owner; }
  const std::string& zone() const { return m_zone; }
  const std::vector<RoomDigest>& digests() const { return m_digests; }
  auto Fields() const { return std::tie(m_owner, m_zone, m_digests); }

 private:
  NodeId m_owner;
  std::string m_zone;
  std::vector<RoomDigest> m_digests;
};

/// @brief Asks a member for the configuration that it has in force.
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

using DispatchMessage = std::variant<PlaceRuns, CancelRuns, AdoptRun, RunReports, MemberBeat,
                                     RoomNotice, ConfigurationRequest, ConfigurationCopy>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_DISPATCH_MESSAGE_H_
