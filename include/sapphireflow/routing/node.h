// Part of routing: an entry VM as a pipeline filter. It maps events from callers, peers, workers,
// the platform and the clock to effects that the transport carries out.
#ifndef SAPPHIREFLOW_ROUTING_NODE_H_
#define SAPPHIREFLOW_ROUTING_NODE_H_

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphireflow/execution/shard.h"
#include "sapphireflow/membership/peer_view.h"
#include "sapphireflow/pipeline/filter.h"
#include "sapphireflow/routing/forward_table.h"
#include "sapphireflow/routing/handover_sender.h"
#include "sapphireflow/routing/node_event.h"
#include "sapphireflow/settings/table_cache.h"
#include "sapphireflow/settings/table_editor.h"

namespace sapphireflow {

/// @brief Identity and configuration of an entry VM.
class NodeOptions : public Comparable<NodeOptions> {
 public:
  NodeOptions(const NodeId& self, std::string zone, ShardIndex shards, ShardOptions shard,
              MembershipOptions membership, std::vector<Address> seeds, Duration drain_limit,
              Instant started_at, std::uint64_t seed)
      : m_self(self),
        m_zone(std::move(zone)),
        m_shards(shards),
        m_shard(std::move(shard)),
        m_membership(membership),
        m_seeds(std::move(seeds)),
        m_drain_limit(drain_limit),
        m_started_at(started_at),
        m_seed(seed) {}
  const NodeId& self() const { return m_self; }
  const std::string& zone() const { return m_zone; }
  ShardIndex shards() const { return m_shards; }
  const ShardOptions& shard() const { return m_shard; }
  const MembershipOptions& membership() const { return m_membership; }
  /// @brief Peers to send heartbeats to before the platform's list is known.
  const std::vector<Address>& seeds() const { return m_seeds; }
  /// @brief Upper bound on the duration of a planned stop.
  Duration drain_limit() const { return m_drain_limit; }
  Instant started_at() const { return m_started_at; }
  std::uint64_t seed() const { return m_seed; }
  auto Fields() const {
    return std::tie(m_self, m_zone, m_shards, m_shard, m_membership, m_seeds, m_drain_limit,
                    m_started_at, m_seed);
  }

 private:
  NodeId m_self;
  std::string m_zone;
  // invariant: >= 1
  ShardIndex m_shards;
  ShardOptions m_shard;
  MembershipOptions m_membership;
  std::vector<Address> m_seeds;
  Duration m_drain_limit;
  Instant m_started_at;
  std::uint64_t m_seed;
};

/// @brief State of an entry VM, for operators.
class NodeStatus : public Comparable<NodeStatus> {
 public:
  NodeStatus(const NodeId& self, std::string zone, std::uint64_t table_version, bool draining,
             bool store_reached, std::size_t open_forwards, std::vector<ShardDigest> shards,
             std::vector<PeerStatus> peers)
      : m_self(self),
        m_zone(std::move(zone)),
        m_table_version(table_version),
        m_draining(draining),
        m_store_reached(store_reached),
        m_open_forwards(open_forwards),
        m_shards(std::move(shards)),
        m_peers(std::move(peers)) {}
  const NodeId& self() const { return m_self; }
  const std::string& zone() const { return m_zone; }
  std::uint64_t table_version() const { return m_table_version; }
  bool draining() const { return m_draining; }
  bool store_reached() const { return m_store_reached; }
  std::size_t open_forwards() const { return m_open_forwards; }
  const std::vector<ShardDigest>& shards() const { return m_shards; }
  const std::vector<PeerStatus>& peers() const { return m_peers; }
  auto Fields() const {
    return std::tie(m_self, m_zone, m_table_version, m_draining, m_store_reached, m_open_forwards,
                    m_shards, m_peers);
  }

 private:
  NodeId m_self;
  std::string m_zone;
  std::uint64_t m_table_version;
  bool m_draining;
  bool m_store_reached;
  std::size_t m_open_forwards;
  std::vector<ShardDigest> m_shards;
  std::vector<PeerStatus> m_peers;
};

/// @brief Makes all decisions of one entry VM. Thread-safe: each component has its own lock, and no
/// lock is held while another component is called, except the one that serializes the assignment of
/// workers.
class Node : public Filter<NodeInput, NodeEffects> {
 public:
  explicit Node(const NodeOptions& options);

  NodeEffects Apply(const NodeInput& input) override;
  NodeStatus Status(Instant now) const;
  /// @return the table in force, or null if there is none yet.
  TablePtr CurrentTable() const { return m_table.Current(); }

 private:
  // handlers, one overload per kind of event; append their effects to `out`
  void On(const IssueIds& issue, Instant now, NodeEffects& out);
  void On(const CallerSubmit& submit, Instant now, NodeEffects& out);
  void On(const CallerQuery& ask, Instant now, NodeEffects& out);
  void On(const OperatorEdit& edit, Instant now, NodeEffects& out);
  void On(const AttemptReport& report, Instant now, NodeEffects& out);
  void On(const PeerMessageReceived& received, Instant now, NodeEffects& out);
  void On(const PeerUnreachable& unreachable, Instant now, NodeEffects& out);
  void On(const StoreReply& reply, Instant now, NodeEffects& out);
  void On(const VmList& list, Instant now, NodeEffects& out);
  void On(const ShardTimerExpired& due, Instant now, NodeEffects& out);
  void On(const HeartbeatTick& tick, Instant now, NodeEffects& out);
  void On(const BeginDrain& drain, Instant now, NodeEffects& out);

  // handlers, one overload per kind of message from a peer
  void OnMessage(const Heartbeat& heartbeat, Instant now, NodeEffects& out);
  void OnMessage(const ForwardJob& forward, Instant now, NodeEffects& out);
  void OnMessage(const ReplyAnswer& reply, Instant now, NodeEffects& out);
  void OnMessage(const ReplyJournal& reply, Instant now, NodeEffects& out);
  void OnMessage(const WrongHome& wrong, Instant now, NodeEffects& out);
  void OnMessage(const RequestSlots& ask, Instant now, NodeEffects& out);
  void OnMessage(const GrantSlots& grant, Instant now, NodeEffects& out);
  void OnMessage(const ReturnSlots& returned, Instant now, NodeEffects& out);
  void OnMessage(const TableRequest& request, Instant now, NodeEffects& out);
  void OnMessage(const UseTable& table, Instant now, NodeEffects& out);
  void OnMessage(const Handover& handover, Instant now, NodeEffects& out);
  void OnMessage(const HandoverReply& reply, Instant now, NodeEffects& out);

  // handlers, one overload per kind of shard effect
  void OnEffect(const StartAttempt& effect, Instant now, NodeEffects& out);
  void OnEffect(const StopAttempts& effect, Instant now, NodeEffects& out);
  void OnEffect(const ReplyAnswer& effect, Instant now, NodeEffects& out);
  void OnEffect(const ReplyJournal& effect, Instant now, NodeEffects& out);
  void OnEffect(const RequestSlots& effect, Instant now, NodeEffects& out);
  void OnEffect(const GrantSlots& effect, Instant now, NodeEffects& out);
  void OnEffect(const ReturnSlots& effect, Instant now, NodeEffects& out);
  void OnEffect(const ForwardSubmission& effect, Instant now, NodeEffects& out);
  void OnEffect(const JobSettled& effect, Instant now, NodeEffects& out);
  void OnEffect(const AttemptWasted& effect, Instant now, NodeEffects& out);
  void OnEffect(const WakeShard& effect, Instant now, NodeEffects& out);

  Shard& ShardOf(const JobId& job) { return *m_shards[job.shard() % m_shards.size()]; }
  void ApplyToShard(Shard& shard, ShardEvent event, Instant now, NodeEffects& out);
  void ApplyToAllShards(const ShardEvent& event, Instant now, NodeEffects& out);
  void Dispatch(const ForwardJob& request, Instant reply_by, Instant now, NodeEffects& out);
  void Decide(const ForwardJob& request, Instant now, NodeEffects& out);
  void Reply(const Waiter& waiter, const JobId& job, JobAnswer answer, NodeEffects& out);
  void WakeAt(Instant at, NodeEffects& out);
  void Housekeeping(Instant now, NodeEffects& out);
  void AssignOwnWorkers(Instant now, NodeEffects& out);
  std::vector<std::vector<Worker>> PartitionByShard(const std::vector<Worker>& workers);
  void SendHeartbeats(NodeEffects& out);
  bool ActivateTable(const TablePtr& table, Instant now, NodeEffects& out);
  void EmitEditStep(const EditStep& step, NodeEffects& out);
  void ForwardParked(NodeEffects& out);
  void AdvanceDrain(Instant now, NodeEffects& out);
  void AnswerRemaining(NodeEffects& out);
  bool HasWaitingCallers() const;
  std::vector<InheritJobs> ExportAll() const;
  std::size_t ActiveJobs() const;
  std::uint32_t FreeSlots() const;

  const NodeOptions m_options;
  const NodeId m_self;
  // invariant: fixed after construction; each shard has its own lock
  std::vector<std::unique_ptr<Shard>> m_shards;
  PeerView m_peers;
  ForwardTable m_forwards;
  TableCache m_table;
  TableEditor m_editor;
  HandoverSender m_handover;
  std::atomic<std::uint64_t> m_next_sequence{1};
  std::atomic<bool> m_draining{false};
  // all shards are sealed
  std::atomic<bool> m_sealed{false};
  // the answers that arrived during the handover have been exported for the successor
  std::atomic<bool> m_finishing{false};
  std::atomic<bool> m_drained{false};
  // time of the next wake-up of the node itself, in microseconds since the epoch
  std::atomic<Instant::rep> m_wake_at{Instant::max().time_since_epoch().count()};

  std::mutex m_assign_mutex;
  // guarded by m_assign_mutex; the view that the current assignment is based on
  std::optional<FleetView> m_assigned_view;
  // guarded by m_assign_mutex; the shard that each worker is or was last assigned to
  std::map<Address, std::size_t> m_shard_of;

  mutable std::mutex m_handover_mutex;
  // guarded by m_handover_mutex; submissions that the sealed shards no longer decide, kept until
  // the successor has accepted the handover
  std::deque<ForwardSubmission> m_parked;
  // guarded by m_handover_mutex; homes whose ids this VM decides as their successor
  std::set<NodeId> m_inherited_from;
  // guarded by m_handover_mutex; when the planned stop ends even if it is incomplete
  Instant m_drain_until{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_NODE_H_
