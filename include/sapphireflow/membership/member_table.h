// Part of membership: which VMs are in touch, and which of them commands which worker.
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
#include "sapphireflow/membership/home_choice.h"
#include "sapphireflow/membership/member_listing.h"
#include "sapphireflow/membership/worker_assignment.h"
#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/worker_state.h"

namespace sapphireflow {

/// @brief What changed among the members.
class MemberChange : public Comparable<MemberChange> {
 public:
  enum class Kind {
    kJoined,    ///< in touch for the first time, or again
    kLost,      ///< silent for too long, or its process has ended
    kDraining,  ///< stops as planned
    kLinkLost,  ///< in touch, but messages were lost with a link
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

/// @brief What a beat to one member carries of the table's own.
class BeatAddress : public Comparable<BeatAddress> {
 public:
  BeatAddress(const Address& to, std::uint64_t sequence, std::uint64_t echo,
              std::uint64_t link_losses, bool reset_link)
      : m_to(to),
        m_sequence(sequence),
        m_echo(echo),
        m_link_losses(link_losses),
        m_reset_link(reset_link) {}
  const Address& to() const { return m_to; }
  std::uint64_t sequence() const { return m_sequence; }
  std::uint64_t echo() const { return m_echo; }
  std::uint64_t link_losses() const { return m_link_losses; }
  /// @brief The member has not heard our beats for a while, though we hear its own.
  bool reset_link() const { return m_reset_link; }
  auto Fields() const { return std::tie(m_to, m_sequence, m_echo, m_link_losses, m_reset_link); }

 private:
  Address m_to;
  std::uint64_t m_sequence;
  std::uint64_t m_echo;
  std::uint64_t m_link_losses;
  bool m_reset_link;
};

/// @brief The members that this VM knows, and the workers listed. Thread-safe: one lock.
class MemberTable : public OwnerLookup {
 public:
  explicit MemberTable(MemberListing self);

  MemberChanges OnListed(const std::vector<MemberListing>& members, Instant now);
  MemberChanges OnBeat(const MemberBeat& beat, Instant now);
  /// @brief The loss is told by the next tick, however often it comes until then.
  void OnLinkDown(const Address& peer, Instant now);
  MemberChanges OnTick(Instant now);
  /// @brief The platform's store has answered this VM.
  void OnStoreAnswer(Instant now);
  void SetDraining();
  void SetWorkers(const WorkerListings& workers);

  /// @return sequence of the newest beat heard from a member; 0 for none.
  std::uint64_t HeardSequence(const NodeId& member) const;
  /// @brief Whether an order that carries this echo was sent not long ago, by this VM's clock: a
  /// cut and a freeze hold messages up for seconds.
  bool IsFresh(const NodeId& sender, std::uint64_t echo, Instant now) const;
  /// @brief The beats that are due now.
  std::vector<BeatAddress> DueBeats(Instant now);
  /// @return the workers that this VM commands. Complexity: workers times members of a zone.
  WorkerAssignment OwnWorkers() const;
  std::optional<NodeId> OwnerOf(const WorkerId& worker) const override;
  /// @brief Whether this VM may be the one that is cut off: most of the members that it knows are
  /// out of touch, and not for long or without an answer of the store since.
  bool Isolated() const;
  /// @return addresses of the members in touch, without this VM, of its own zone or of all others.
  std::vector<Address> InTouch(bool own_zone) const;

 private:
  struct Member {
    NodeId node;
    std::string zone;
    std::uint32_t milli_cores = 0;
    bool listed = false;
    bool draining = false;
    bool in_touch = false;
    Instant heard_at{};
    // while nothing was heard yet
    Instant trusted_until{};
    Instant next_beat{};
    std::uint64_t heard_sequence = 0;
    std::uint64_t sent_sequence = 0;
    // the newest beats sent, with their times
    std::deque<std::pair<std::uint64_t, Instant>> sent;
    std::uint64_t echoed = 0;
    Instant echoed_at{};
    Instant link_reset_at{};
    std::uint64_t own_link_losses = 0;
    // a lost link of ours that was not told yet
    bool link_lost = false;
    std::uint64_t its_link_losses = 0;
  };
  bool IsolatedLocked() const;
  // who may own workers, by zone and all together
  struct Owners {
    std::map<std::string, HomeCandidates> by_zone;
    HomeCandidates all;
  };
  /// @param lost_too whether members out of touch count as owners
  Owners OwnersLocked(bool lost_too) const;
  std::optional<NodeId> OwnerOfLocked(const WorkerListing& worker, const Owners& owners) const;
  void Lose(Member& member, const std::string& why, MemberChanges& changes) const;
  bool MostOutOfTouch() const;
  Duration BeatInterval(const Member& member) const;
  // a member that is not heard for so long is out of touch
  Duration SilenceOf(const Member& member) const;

  const MemberListing m_self;
  mutable std::mutex m_mutex;
  // all below guarded by m_mutex; by address
  std::map<Address, Member> m_members;
  std::map<WorkerId, WorkerListing> m_workers;
  bool m_draining = false;
  Instant m_store_answer_at{};
  // when most members were lost; not set while most are in touch
  std::optional<Instant> m_most_lost_at;
  Instant m_ticked_at{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_MEMBER_TABLE_H_
