// Part of routing: an entry VM on a platform whose workers obey fencing tokens: coordinator of
// jobs, owner of workers and member in one filter.
#ifndef SAPPHIREFLOW_ROUTING_DISPATCH_NODE_H_
#define SAPPHIREFLOW_ROUTING_DISPATCH_NODE_H_

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include "sapphireflow/dispatch/job_shard.h"
#include "sapphireflow/dispatch/room_board.h"
#include "sapphireflow/membership/member_table.h"
#include "sapphireflow/ownership/owner_shard.h"
#include "sapphireflow/pipeline/filter.h"
#include "sapphireflow/routing/configuration_keeper.h"
#include "sapphireflow/routing/dispatch_event.h"
#include "sapphireflow/settings/dispatch_settings.h"

namespace sapphireflow {

/// @brief Passes each event through the shards that it concerns. Thread-safe: the parts have a
/// lock each, and none is held while another part is called, but for the order in which workers
/// are assigned.
class DispatchNode : public Filter<DispatchInput, DispatchEffects> {
 public:
  DispatchNode(const MemberListing& listing, const DispatchSettings& settings);

  DispatchEffects Apply(const DispatchInput& in) override;

  /// @brief Whether jobs can be served: a configuration, a usable worker, and no stop planned.
  bool Ready() const { return configuration() && !m_draining && m_rooms.HasWorkers(); }
  /// @return the configuration in force; null before the first.
  ConfigurationPtr configuration() const { return m_configuration.current(); }

 private:
  // an event for one job shard or one owner shard of this node
  struct ForJobs {
    std::size_t shard;
    JobEvent event;
  };
  struct ForOwners {
    std::size_t shard;
    OwnerEvent event;
  };
  using Work = std::variant<ForJobs, ForOwners>;

  // one event on its way through the node
  struct Pass {
    Instant now;
    std::deque<Work> work;
    DispatchEffects out;
  };

  void Take(const SubmitWork& event, Pass& pass);
  void Take(const CallerGone& event, Pass& pass);
  void Take(const AskWork& event, Pass& pass);
  void Take(const WorkersListed& event, Pass& pass);
  void Take(const MembersListed& event, Pass& pass);
  void Take(const ConfigurationCopy& event, Pass& pass);
  void Take(const StoreAnswered& event, Pass& pass);
  void Take(const DispatchMessage& event, Pass& pass);
  void Take(const LinkDown& event, Pass& pass);
  void Take(const StartReplied& event, Pass& pass);
  void Take(const RenewalReplied& event, Pass& pass);
  void Take(const DispatchTick& event, Pass& pass);
  void Take(const StopPlanned& event, Pass& pass);
  void Take(const IntakeClosed& event, Pass& pass);

  void Receive(const PlaceRuns& message, Pass& pass);
  void Receive(const CancelRuns& message, Pass& pass);
  void Receive(const AdoptRun& message, Pass& pass);
  void Receive(const RunReports& message, Pass& pass);
  void Receive(const MemberBeat& message, Pass& pass);
  void Receive(const RoomNotice& message, Pass& pass);
  void Receive(const ConfigurationRequest& message, Pass& pass);
  void Receive(const ConfigurationCopy& message, Pass& pass);

  void Follow(const MemberChanges& changes, Pass& pass);
  void AssignWorkers(Pass& pass);
  void SendBeats(Pass& pass);
  void SendRooms(Pass& pass);
  // adds the members of this VM's zone, or all others, if it is time to tell them
  void AddDueReaders(bool own_zone, Pass& pass, std::vector<Address>* readers);
  void Drain(Pass& pass);
  void RunJobs(const ForJobs& work, Pass& pass);
  void RunOwners(const ForOwners& work, Pass& pass);
  void ToOwnShard(const DispatchMessage& message, Pass& pass) const;
  // the message with what tells its owner how old it may be
  DispatchMessage Stamped(const TellOwner& tell) const;
  void SpreadReports(const RunReports& reports, Pass& pass);
  void ToAllJobs(const JobEvent& event, Pass& pass) const;
  void ToAllOwners(const OwnerEvent& event, Pass& pass) const;
  std::vector<RoomDigest> Digests() const;
  std::size_t JobShardOf(JobKey key) const { return key % m_jobs.size(); }
  std::size_t OwnerShardOf(const std::string& service) const;
  std::size_t OwnerShardOfWorker(const WorkerId& worker) const;

  const MemberListing m_listing;
  const NodeId m_self;
  TokenSource m_tokens;
  std::atomic<CallNumber> m_next_call{1};
  std::atomic<bool> m_draining{false};
  // microseconds since the epoch
  std::atomic<Instant::rep> m_rooms_sent_at{0};
  std::atomic<Instant::rep> m_rooms_sent_across_at{0};
  std::atomic<bool> m_intake_closed{false};
  RoomBoard m_rooms;
  MemberTable m_members;
  ConfigurationKeeper m_configuration;
  // invariant: fixed after construction; each shard has its own lock
  std::vector<std::unique_ptr<JobShard>> m_jobs;
  std::vector<std::unique_ptr<OwnerShard>> m_owners;

  // held from the choice of owners to the end of their assignment
  std::mutex m_assign_mutex;
  mutable std::mutex m_workers_mutex;
  // guarded by m_workers_mutex: service of each listed worker
  std::map<WorkerId, std::string> m_service_of;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_DISPATCH_NODE_H_
