// Part of routing: an entry VM on a platform whose workers check fencing tokens. One filter
// combines the coordinator of jobs, the owner of workers and the cluster member.
#ifndef SAPPHIREFLOW_ROUTING_DISPATCH_NODE_H_
#define SAPPHIREFLOW_ROUTING_DISPATCH_NODE_H_

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sapphireflow/dispatch/capacity_view.h"
#include "sapphireflow/dispatch/job_shard.h"
#include "sapphireflow/membership/member_table.h"
#include "sapphireflow/membership/worker_list.h"
#include "sapphireflow/observe/repeat_filter.h"
#include "sapphireflow/ownership/owner_shard.h"
#include "sapphireflow/pipeline/filter.h"
#include "sapphireflow/recovery/crash_ledger.h"
#include "sapphireflow/routing/configuration_keeper.h"
#include "sapphireflow/routing/dispatch_event.h"
#include "sapphireflow/routing/evacuation_keeper.h"
#include "sapphireflow/routing/link_loss_log.h"
#include "sapphireflow/settings/dispatch_settings.h"

namespace sapphireflow {

/// @brief Routes each event through the shards that it concerns. Thread-safe: each component has
/// its own lock. The locks are taken in a fixed order: first the one that serializes the assignment
/// of workers, then that of one shard or the one that serializes changes of the list of workers,
/// then that of the capacity view, the member table, the list of workers or the token source, which
/// call no other component.
class DispatchNode : public Filter<DispatchInput, DispatchEffects> {
 public:
  DispatchNode(const MemberListing& listing, const DispatchSettings& settings);

  DispatchEffects Apply(const DispatchInput& in) override;

  /// @brief Whether jobs can be served: there is a configuration and a usable worker, and no
  /// planned stop has begun.
  bool Ready() const { return configuration() && !m_draining && m_capacity.HasWorkers(); }
  /// @return the configuration in force, or null if there is none yet.
  ConfigurationPtr configuration() const { return m_configuration.current(); }
  /// @brief Whether requests may be handled by the configuration in force.
  /// @param own_delay how late an event loop of this VM was lately
  bool ConfigurationIsUsable(Instant now, Duration own_delay) const {
    return m_configuration.IsUsable(now, own_delay);
  }
  /// @brief Whether this VM coordinates the job or has answered it lately. Complexity: constant.
  bool KnowsJob(JobKey key) const { return m_jobs[JobShardOf(key)]->Knows(key); }
  /// @brief Whether this VM must read the list of workers from the platform's store itself, because
  /// it passes the list on, or nobody passes it on to this VM.
  bool ReadsWorkers(Instant now) const {
    return m_members.IsRelay() || m_worker_list.LacksRelay(now);
  }

 private:
  // coordinators repeat an adoption until it is answered
  static constexpr Duration kOutdatedLogInterval = std::chrono::seconds(5);

  // events for one job shard or one owner shard of this node
  struct JobWork {
    std::size_t shard;
    JobEvent event;
  };
  struct OwnerWork {
    std::size_t shard;
    OwnerEvent event;
  };
  using ShardWork = std::variant<JobWork, OwnerWork>;

  // state of the processing of one input: time, queue of shard events, effects so far
  struct EventContext {
    Instant now;
    std::deque<ShardWork> work;
    DispatchEffects out;
  };

  void HandleEvent(const SubmitJobOrder& event, EventContext& ctx);
  void HandleEvent(const CallerDisconnected& event, EventContext& ctx);
  void HandleEvent(const JobOrderRequest& event, EventContext& ctx);
  void HandleEvent(const WorkersListed& event, EventContext& ctx);
  void HandleEvent(const MembersListed& event, EventContext& ctx);
  void HandleEvent(const ConfigurationCopy& event, EventContext& ctx);
  void HandleEvent(const StoreAnswered& event, EventContext& ctx);
  void HandleEvent(const DispatchMessage& event, EventContext& ctx);
  void HandleEvent(const LinkDown& event, EventContext& ctx);
  void HandleEvent(const StartReplied& event, EventContext& ctx);
  void HandleEvent(const RenewalReplied& event, EventContext& ctx);
  void HandleEvent(const DispatchTick& event, EventContext& ctx);
  void HandleEvent(const StopPlanned& event, EventContext& ctx);
  void HandleEvent(const IntakeClosed& event, EventContext& ctx);
  void HandleEvent(const EvacuationsAwaited& event, EventContext& ctx);
  void HandleEvent(const EvacuationsListed& event, EventContext& ctx);
  void HandleEvent(const EvacuationsUnavailable& event, EventContext& ctx);
  void HandleEvent(const ConfigurationConfirmed& event, EventContext& ctx);
  void HandleEvent(const ConfigurationUnconfirmed& event, EventContext& ctx);
  // shows how long ago the configuration was confirmed
  void ShowConfigurationAge(EventContext& ctx);

  void Receive(const PlaceRuns& message, EventContext& ctx);
  void Receive(const CancelRuns& message, EventContext& ctx);
  void Receive(const AdoptRun& message, EventContext& ctx);
  void Receive(const RunReports& message, EventContext& ctx);
  void Receive(const MemberHeartbeat& message, EventContext& ctx);
  void Receive(const CapacityAnnouncement& message, EventContext& ctx);
  void Receive(const ConfigurationRequest& message, EventContext& ctx);
  void Receive(const ConfigurationCopy& message, EventContext& ctx);
  void Receive(const CapacityRelay& message, EventContext& ctx);
  void Receive(const WorkerListUpdate& message, EventContext& ctx);
  void Receive(const WorkerListRequest& message, EventContext& ctx);
  void Receive(const CrashNotice& message, EventContext& ctx);

  // logs an adoption that is too old unless it repeats one that was
  void LogOutdated(const AdoptRun& adoption, EventContext& ctx);
  void LogLinkLosses(EventContext& ctx);
  void HandleMemberChanges(const MemberChanges& changes, EventContext& ctx);
  // records a loss seen by this VM and tells its zone and the relays of the others
  void RecordLoss(const WorkerLoss& loss, EventContext& ctx);
  // logs that a queue has become crash-prone, if it has
  void LogConfinement(const std::string& queue, EventContext& ctx) const;
  // sends the losses that have changed since then to a member that may have missed them
  void SendLossesTo(const NodeId& member, Instant since, EventContext& ctx);
  // puts a changed list of workers in force
  void UseWorkerList(EventContext& ctx);
  // follows the list of workers that a member of the zone offers, if it is better than this VM's
  void ConsiderWorkerList(const MemberHeartbeat& heartbeat, EventContext& ctx);
  void AssignWorkers(EventContext& ctx);
  // puts the evacuations in force at all owner shards
  void UseEvacuations(EventContext& ctx);
  void ShowEvacuatedRuns(EventContext& ctx);
  void SendMemberHeartbeats(EventContext& ctx);
  void AnnounceCapacity(EventContext& ctx);
  // passes on what owners in other zones have announced
  void RelayCapacity(EventContext& ctx);
  // keeps the owners that have runs of this VM's jobs as contacts
  void KeepContacts(EventContext& ctx);
  // sends a message about runs, after a heartbeat if its receiver is a new contact
  void SendToContact(const SendToOwner& to_owner, EventContext& ctx);
  // whether the interval has passed since the given time, which is then set to now
  static bool IsDue(std::atomic<Instant::rep>& last, Duration interval, const EventContext& ctx);
  void ProcessQueue(EventContext& ctx);
  void ApplyToJobShard(const JobWork& work, EventContext& ctx);
  void ApplyToOwnerShard(const OwnerWork& work, EventContext& ctx);
  void QueueForOwnerShard(const DispatchMessage& message, EventContext& ctx) const;
  // adds the echo by which the owner can bound the age of the message
  DispatchMessage WithHeardEcho(const SendToOwner& to_owner) const;
  void QueueReports(const RunReports& reports, EventContext& ctx);
  void QueueForAllJobShards(const JobEvent& event, EventContext& ctx) const;
  void QueueForAllOwnerShards(const OwnerEvent& event, EventContext& ctx) const;
  std::vector<CapacityDigest> Digests() const;
  std::size_t JobShardOf(JobKey key) const { return key % m_jobs.size(); }
  std::size_t OwnerShardOf(const std::string& service) const;
  std::size_t OwnerShardOfWorker(const WorkerId& worker) const;

  const MemberListing m_listing;
  const NodeId m_self;
  TokenSource m_tokens;
  std::atomic<CallNumber> m_next_call{1};
  std::atomic<bool> m_draining{false};
  // since when a member is known to have a newer configuration, and when one was last asked for it,
  // in microseconds since the epoch; 0 for never
  std::atomic<Instant::rep> m_newer_configuration_at{0};
  std::atomic<Instant::rep> m_configuration_requested_at{0};
  // times of the last capacity announcements, in microseconds since the epoch
  std::atomic<Instant::rep> m_capacity_checked_at{0};
  std::atomic<Instant::rep> m_capacity_sent_at{0};
  std::atomic<Instant::rep> m_capacity_sent_other_zones_at{0};
  std::atomic<Instant::rep> m_capacity_relayed_at{0};
  std::atomic<Instant::rep> m_configuration_age_shown_at{0};
  // as of the last tick
  std::atomic<Duration> m_own_delay{Duration::zero()};
  std::atomic<bool> m_intake_closed{false};
  CrashLedger m_crashes;
  CapacityView m_capacity;
  MemberTable m_members;
  LinkLossLog m_link_losses;
  WorkerList m_worker_list;
  ConfigurationKeeper m_configuration;
  EvacuationKeeper m_evacuation;
  // invariant: fixed after construction; each shard has its own lock
  std::vector<std::unique_ptr<JobShard>> m_jobs;
  std::vector<std::unique_ptr<OwnerShard>> m_owners;

  std::mutex m_outdated_mutex;
  // guarded by m_outdated_mutex; adoptions that were logged as outdated
  RepeatFilter<std::pair<RunKey, NodeId>> m_logged_outdated{kOutdatedLogInterval};

  std::mutex m_announced_mutex;
  // guarded by m_announced_mutex; what the zone was last told
  std::vector<CapacityDigest> m_announced;

  // held from the choice of owners or evacuations until every shard has them
  std::mutex m_assign_mutex;
  mutable std::mutex m_workers_mutex;
  // guarded by m_workers_mutex; service of each worker ever listed
  std::map<WorkerId, std::string> m_service_of;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_DISPATCH_NODE_H_
