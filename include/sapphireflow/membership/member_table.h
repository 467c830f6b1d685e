// Part of membership: failure detection among entry VMs, and the owner of each worker.
#ifndef SAPPHIREFLOW_MEMBERSHIP_MEMBER_TABLE_H_
#define SAPPHIREFLOW_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/dispatch/dispatch_message.h"
#include "sapphireflow/dispatch/owner_lookup.h"
#include "sapphireflow/membership/member_listing.h"
#include "sapphireflow/membership/worker_assignment.h"
#include "sapphireflow/membership/zone_roles.h"
#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/worker_listing.h"
#include "sapphireflow/ownership/coordinator_liveness.h"
#include "sapphireflow/ownership/lease_limits.h"

namespace sapphireflow {

/// @brief A change in the state of one member, with the reason for the log.
class MemberChange : public Comparable<MemberChange> {
 public:
  enum class Kind {
    kJoined,    ///< reachable for the first time, or again
    kLost,      ///< unreachable, or its process has ended
    kDraining,  ///< a planned stop has begun
    kLinkLost,  ///< reachable, but messages were lost with a connection
  };
  MemberChange(Kind kind, const NodeId& node, std::string why)
      : m_kind(kind), m_node(node), m_why(std::move(why)) {}
  Kind kind() const { return m_kind; }
  const NodeId& node() const { return m_node; }
  const std::string& why() const { return m_why; }
  auto Fields() const { return std::tie(m_kind, m_node, m_why); }

 private:
  Kind m_kind;
  NodeId m_node;
  std::string m_why;
};

using MemberChanges = std::vector<MemberChange>;

/// @brief The fields of a heartbeat to one member that the member table provides.
class OutgoingHeartbeat : public Comparable<OutgoingHeartbeat> {
 public:
  OutgoingHeartbeat(const Address& to, std::uint64_t sequence, std::uint64_t echo,
                    std::uint64_t link_losses, bool reset_link, bool parting)
      : m_to(to),
        m_sequence(sequence),
        m_echo(echo),
        m_link_losses(link_losses),
        m_reset_link(reset_link),
        m_parting(parting) {}
  const Address& to() const { return m_to; }
  std::uint64_t sequence() const { return m_sequence; }
  std::uint64_t echo() const { return m_echo; }
  std::uint64_t link_losses() const { return m_link_losses; }
  /// @brief True if the connection must be reopened: heartbeats arrive from the member, but it has
  /// not acknowledged recent ones of this VM.
  bool reset_link() const { return m_reset_link; }
  /// @brief See `MemberHeartbeat::parting`.
  bool parting() const { return m_parting; }
  auto Fields() const {
    return std::tie(m_to, m_sequence, m_echo, m_link_losses, m_reset_link, m_parting);
  }

 private:
  Address m_to;
  std::uint64_t m_sequence;
  std::uint64_t m_echo;
  std::uint64_t m_link_losses;
  bool m_reset_link;
  bool m_parting;
};

/// @brief Tracks which members are reachable and computes the owner of each worker from that.
/// Thread-safe: one lock.
///
/// A VM exchanges heartbeats with its contacts only: within its zone, every member with the owners
/// of the zone; between zones, the relays with each other; and every coordinator with the owners
/// that have runs of it. All other listed members are presumed reachable. In a small fleet all
/// members are contacts.
class MemberTable : public OwnerLookup, public CoordinatorLiveness {
 public:
  /// @param leases how long runs may go on without a sign of life of their coordinator
  MemberTable(MemberListing self, const LeaseLimits& leases);

  MemberChanges OnListed(const std::vector<MemberListing>& members, Instant now);
  MemberChanges OnHeartbeat(const MemberHeartbeat& member_heartbeat, Instant now);
  /// @brief Records the loss of a connection. The next `OnTick` reports it once, however many
  /// losses occurred before.
  void OnLinkDown(const Address& peer, Instant now);
  /// @param own_delay how late an event loop of this VM was lately
  MemberChanges OnTick(Instant now, Duration own_delay = Duration::zero());
  /// @brief Records that the platform's store has answered this VM.
  void OnStoreAnswer(Instant now);
  void SetDraining();
  /// @brief Keeps a member as a contact for some seconds, because runs are placed there.
  /// @return whether it has only now become one; a heartbeat to it is due at once.
  bool RequestContact(const NodeId& member, Instant now);
  void SetWorkers(const WorkerListings& workers);
  /// @brief Handles the echo that a message other than a heartbeat carries.
  void OnEcho(const NodeId& sender, std::uint64_t echo);

  /// @return sequence number of the newest heartbeat received from a member; 0 for none.
  std::uint64_t HeardSequence(const NodeId& member) const;
  /// @brief Whether this VM sent the heartbeat that an order echoes to its sender recently, which
  /// bounds the order's age by this VM's clock. Network partitions and frozen processes delay
  /// messages by seconds, so older orders must be rejected. False for a sender that counts as lost.
  bool IsFresh(const NodeId& sender, std::uint64_t echo, Instant now) const;
  /// @brief Returns the heartbeats due now and schedules the next ones.
  std::vector<OutgoingHeartbeat> DueHeartbeats(Instant now);
  /// @return the workers that this VM owns. Complexity: workers times owners of a zone.
  WorkerAssignment OwnWorkers() const;
  std::optional<NodeId> OwnerOf(const WorkerId& worker) const override;
  Instant AliveAt(const NodeId& coordinator, Instant now) const override;
  Instant WantedAt(const NodeId& coordinator, const RunKey& run, Instant now) const override;
  /// The epoch in a fleet in which not all members are contacts. A member that was replaced counts
  /// until its last runs have certainly ended.
  Instant WantedByAllAt(const RunKey& run, Instant now) const override;
  /// @brief Whether this VM may itself be partitioned from the others: most contacts are
  /// unreachable, and either this began recently or the store has not answered since.
  bool Isolated() const;
  bool IsReachable(const NodeId& member) const override;
  /// @brief Whether this process is the newest one known at its address.
  bool IsKnown(const NodeId& member) const;
  /// @brief Whether this VM passes on what its zone should know of others.
  bool IsRelay() const;
  /// @brief Whether another member does.
  bool IsRelay(const NodeId& member) const;
  std::optional<Instant> EchoedAt(const NodeId& member, std::uint64_t echo) const override;
  /// @return the number of known members of this VM's zone, with this VM.
  std::int64_t ZoneSize() const;
  /// @return the reachable members of this VM's zone, without this VM.
  std::vector<Address> ZoneMembers() const;
  /// @return those of them that other zones do not announce their capacity to.
  std::vector<Address> RelayRecipients() const;
  /// @return the reachable relays of all other zones.
  std::vector<Address> OtherRelays() const;

 private:
  struct Member {
    NodeId node;
    std::string zone;
    std::uint32_t milli_cores = 0;
    bool listed = false;
    bool draining = false;
    // of a member that is no contact: presumed
    bool is_reachable = false;
    // whether heartbeats are exchanged with it
    bool contact = false;
    // whether its role or this VM's makes it a contact
    bool structural = false;
    // whether it has been heard since it became a contact
    bool heard = false;
    // until when runs may be placed at it
    Instant requested_until{};
    // until when its heartbeats are answered, because runs of it may be placed here
    Instant answered_until{};
    // no longer a contact: one last heartbeat tells so
    bool parting = false;
    Instant heard_at{};
    Instant unlisted_at{};
    // deadline for the first heartbeat of a new contact
    Instant grace_until{};
    Instant next_heartbeat_at{};
    std::uint64_t heard_sequence = 0;
    // how late the member's loops were, by its newest heartbeat
    Duration delay{};
    std::uint64_t sent_sequence = 0;
    // sequence numbers and send times of the newest heartbeats sent
    std::deque<std::pair<std::uint64_t, Instant>> sent;
    // send time of the newest heartbeat that the process has echoed: it was running then
    Instant alive_at{};
    // the same of the process that had the address before, and when this one was first heard
    Instant former_alive_at{};
    Instant first_heard_at{};
    // send time of the newest heartbeat that one of its heartbeats has echoed: it wanted its runs
    // then, but for those that its newest one names as doubted, which it last wanted at these times
    Instant wanted_at{};
    std::map<RunKey, Instant> doubted_runs;
    // newest heartbeat of this VM that the member has acknowledged, and when it did
    std::uint64_t echoed = 0;
    Instant echoed_at{};
    Instant link_reset_at{};
    std::uint64_t own_link_losses = 0;
    // a connection loss that no tick has reported yet
    bool unreported_link_loss = false;
    std::uint64_t peer_link_losses = 0;
  };
  bool IsolatedLocked() const;
  // recomputes roles and contacts after a change of the members
  void RefreshRoles(Instant now);
  void RefreshContacts(Instant now);
  void StartContact(Member& member, Instant now);
  bool IsStructuralContact(const Member& member) const;
  const ZoneRoles& RolesInForce() const { return IsolatedLocked() ? m_primary : m_effective; }
  std::optional<NodeId> OwnerOfLocked(const WorkerListing& worker, const ZoneRoles& roles) const;
  static std::optional<Instant> SendTimeOf(const Member& member, std::uint64_t echo);
  static void NoteEcho(Member& member, std::uint64_t echo);
  static Instant WantedAt(const Member& member, const RunKey& run);
  void MarkLost(Member& member, const std::string& why, MemberChanges& changes) const;
  bool MajorityUnreachable() const;
  Duration HeartbeatInterval(const Member& member) const;
  // a member counts as unreachable after this time without a heartbeat or a new echo
  Duration SilenceTimeout(const Member& member) const;

  const MemberListing m_self;
  const LeaseLimits m_leases;
  mutable std::mutex m_mutex;
  // all members below are guarded by m_mutex; keyed by address
  std::map<Address, Member> m_members;
  std::map<WorkerId, WorkerListing> m_workers;
  // roles of all members, of those that are not draining, and of the reachable ones among these
  ZoneRoles m_nominal;
  ZoneRoles m_primary;
  ZoneRoles m_effective;
  // members of this VM's zone, with itself
  std::int64_t m_zone_size = 1;
  // before this time no heartbeat is due
  Instant m_next_heartbeat_at{};
  bool m_draining = false;
  Instant m_store_answer_at{};
  // since when most members are unreachable; empty while most are reachable
  std::optional<Instant> m_majority_lost_at;
  Instant m_last_tick_at{};
  // how late this VM's loops were, by the last tick
  Duration m_own_delay{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_MEMBER_TABLE_H_
