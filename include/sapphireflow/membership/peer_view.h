// Part of membership: an entry VM's view of its peers, merged from heartbeats and the platform's
// list.
#ifndef SAPPHIREFLOW_MEMBERSHIP_PEER_VIEW_H_
#define SAPPHIREFLOW_MEMBERSHIP_PEER_VIEW_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphireflow/membership/heartbeat.h"
#include "sapphireflow/model/vm_list.h"

namespace sapphireflow {

/// @brief Intervals and timeouts of the failure detection.
class MembershipOptions : public Comparable<MembershipOptions> {
 public:
  MembershipOptions() = default;
  MembershipOptions(Duration heartbeat_interval, Duration silence, Duration list_lag)
      : m_heartbeat_interval(heartbeat_interval), m_silence(silence), m_list_lag(list_lag) {}
  Duration heartbeat_interval() const { return m_heartbeat_interval; }
  /// @brief A peer that sent no heartbeat for this long is not live.
  Duration silence() const { return m_silence; }
  /// @brief Upper bound on the delay of the platform's list.
  Duration list_lag() const { return m_list_lag; }
  auto Fields() const { return std::tie(m_heartbeat_interval, m_silence, m_list_lag); }

 private:
  Duration m_heartbeat_interval = std::chrono::milliseconds(500);
  Duration m_silence = std::chrono::milliseconds(1600);
  Duration m_list_lag = std::chrono::seconds(15);
};

/// @brief Destination of requests about the jobs of a home.
class Route : public Comparable<Route> {
 public:
  enum class Kind { kLocal, kRemote, kGone, kNotYetKnown };
  static Route Local() { return {Kind::kLocal, Address()}; }
  static Route Remote(const Address& address) { return {Kind::kRemote, address}; }
  static Route Gone() { return {Kind::kGone, Address()}; }
  static Route NotYetKnown() { return {Kind::kNotYetKnown, Address()}; }
  Kind kind() const { return m_kind; }
  const Address& address() const { return m_address; }
  auto Fields() const { return std::tie(m_kind, m_address); }

 private:
  Route(Kind kind, const Address& address) : m_kind(kind), m_address(address) {}
  Kind m_kind;
  Address m_address;
};

/// @brief The live members of the own zone together with the revision of the platform's list.
class FleetView : public Comparable<FleetView> {
 public:
  FleetView(std::vector<Address> members, std::uint64_t list_number)
      : m_members(std::move(members)), m_list_number(list_number) {}
  /// @brief Live entry VMs of the own zone that are not draining, in ascending order.
  const std::vector<Address>& members() const { return m_members; }
  /// @brief Increases with each merged list and each change in the upstreams reported as leaving.
  std::uint64_t list_number() const { return m_list_number; }
  auto Fields() const { return std::tie(m_members, m_list_number); }

 private:
  std::vector<Address> m_members;
  std::uint64_t m_list_number;
};

/// @brief State of one peer, for status pages.
class PeerStatus : public Comparable<PeerStatus> {
 public:
  PeerStatus(Heartbeat last, Instant heard_at, bool live)
      : m_last(std::move(last)), m_heard_at(heard_at), m_live(live) {}
  const Heartbeat& last() const { return m_last; }
  Instant heard_at() const { return m_heard_at; }
  bool live() const { return m_live; }
  auto Fields() const { return std::tie(m_last, m_heard_at, m_live); }

 private:
  Heartbeat m_last;
  Instant m_heard_at;
  bool m_live;
};

/// @brief Changes caused by merging a heartbeat.
class HeartbeatResult : public Comparable<HeartbeatResult> {
 public:
  HeartbeatResult(std::optional<NodeId> replaced, bool members_changed)
      : m_replaced(replaced), m_members_changed(members_changed) {}
  /// @brief The earlier process at the sender's address, if this heartbeat shows that it was
  /// replaced.
  const std::optional<NodeId>& replaced() const { return m_replaced; }
  /// @brief Whether the assignment of workers to homes may have changed.
  bool members_changed() const { return m_members_changed; }
  auto Fields() const { return std::tie(m_replaced, m_members_changed); }

 private:
  std::optional<NodeId> m_replaced;
  bool m_members_changed;
};

/// @brief View of the fleet merged from heartbeats and the platform's list. Thread-safe: one lock.
class PeerView {
 public:
  PeerView(const NodeId& self, std::string zone, std::vector<Address> seeds,
           const MembershipOptions& options, Instant started_at);

  /// @brief Merges a heartbeat; ignores one of an older incarnation than the last.
  HeartbeatResult MergeHeartbeat(const Heartbeat& heartbeat, Instant now);
  /// @brief Merges the platform's list.
  void MergeVmList(const VmList& list, Instant now);
  /// @brief Stores the successor of a home; only the first note for a home is kept.
  void AddNote(const SuccessorNote& note);
  /// @brief Drops successor notes and reports of leaving upstreams that have expired.
  void DropExpired(Instant now);
  std::vector<SuccessorNote> Notes() const;
  std::optional<SuccessorNote> NoteFor(const NodeId& home) const;

  /// @brief The upstreams of the own zone that the platform's list marks as leaving.
  std::vector<Address> Leaving() const;
  /// @brief The upstreams that are leaving according to the list (own zone) or to a peer.
  std::set<Address> AllLeaving() const;

  /// @brief Entry VMs to send heartbeats to: all of the own zone and a few of each other zone, so
  /// that the number of messages grows with the size of the zone and the number of zones, not with
  /// the fleet. Complexity: linear in the listed entry VMs.
  std::vector<Address> HeartbeatTargets() const;
  /// @brief Number of entry VMs that share the quotas, including this one: the live ones of the own
  /// zone and all listed ones of every zone with a live peer. At least 1.
  std::uint32_t LiveCount(Instant now) const;
  /// @brief Slots that live peers could lend according to their last heartbeats.
  std::uint32_t PeerFreeSlots(Instant now) const;
  /// @brief Chooses the peer to borrow slots from: own zone first, then most free slots. Deducts
  /// `wanted` slots from its known free slots, so that the next request may go to another peer.
  std::optional<Address> ChooseLender(std::uint32_t wanted, Instant now);
  /// @brief The inputs of the assignment of workers to homes. Complexity: O(n log n) in the peers.
  FleetView Fleet(Instant now, bool self_draining) const;
  /// @brief The workers of the own zone that are assigned to this entry VM.
  /// Complexity: workers of the zone times members.
  std::vector<Worker> OwnWorkers(const FleetView& view) const;
  /// @brief The distinct worker capacities in the fleet.
  std::set<ResourceSpec> Capacities() const;
  /// @brief Returns the destination of requests about jobs of `home`, following successor notes.
  Route FindRoute(const NodeId& home, Instant now) const;
  /// @brief Whether this entry VM has to watch the store on behalf of its zone.
  bool WatchesStore(Instant now) const;
  /// @brief A live peer that can take over from this home; one of the own zone if possible.
  std::optional<NodeId> ChooseSuccessor(Instant now) const;
  /// @brief Whether this VM would know by now of a planned handover by an earlier process at its
  /// own address.
  bool KnowsHandovers(Instant now) const;
  std::vector<PeerStatus> Peers(Instant now) const;
  const std::string& zone() const { return m_zone; }

 private:
  struct Peer {
    Heartbeat last;
    Instant heard_at;
    // slots that may still be requested before the next heartbeat
    std::uint32_t free_slots = 0;
  };
  bool IsLive(const Peer& peer, Instant now) const;
  bool IsDelisted(const Address& address, Instant now) const;
  bool KnowsHandoversLocked(Instant now) const;

  const NodeId m_self;
  const std::string m_zone;
  const std::vector<Address> m_seeds;
  const MembershipOptions m_options;
  const Instant m_started_at;
  mutable std::mutex m_mutex;
  // all members below are guarded by m_mutex
  std::map<Address, Peer> m_peers;
  VmList m_list{{}, {}, {}};
  // increases with each list and each upstream that starts or ceases to be reported as leaving
  std::uint64_t m_list_number = 0;
  // upstreams that peers report as leaving, with the time until which that holds without
  // confirmation by the list
  std::map<Address, Instant> m_reported_leaving;
  // addresses that have disappeared from the list, with the time when that was first seen
  std::map<Address, Instant> m_unlisted;
  std::map<NodeId, SuccessorNote> m_notes;
  bool m_heard_any_peer = false;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_PEER_VIEW_H_
