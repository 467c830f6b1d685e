// Part of membership: which members of each availability zone own workers, and which speak for
// their zone to the others.
#ifndef SAPPHIREFLOW_MEMBERSHIP_ZONE_ROLES_H_
#define SAPPHIREFLOW_MEMBERSHIP_ZONE_ROLES_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "sapphireflow/membership/member_listing.h"
#include "sapphireflow/membership/rendezvous_hashing.h"
#include "sapphireflow/model/comparable.h"

namespace sapphireflow {

/// @brief The roles of a set of members. They depend only on the members, so every VM that knows
/// the same members computes the same roles; no election is needed.
///
/// The members of a zone are ranked by CPU share. The largest own the workers of the zone, and the
/// first few of them relay what the zones know about each other. The smallest only coordinate the
/// jobs of their callers. An owner that is absent is not replaced, because members that do not own
/// workers do not know about each other's failures. Only if all are absent do the next in rank own
/// the workers.
class ZoneRoles : public Comparable<ZoneRoles> {
 public:
  /// @brief Members of a zone that relay to other zones; one may fail without a gap.
  static constexpr std::size_t kRelaysPerZone = 2;
  /// @brief Fewest owners of a zone that has at least as many members.
  static constexpr std::size_t kMinOwnersPerZone = 4;
  /// @brief Most owners of a zone: it bounds the contacts of a member, however large the zone is.
  static constexpr std::size_t kMaxOwnersPerZone = 12;

  ZoneRoles() = default;
  /// Complexity: O(n log n) in the members.
  /// @param absent members that have a rank but no role
  explicit ZoneRoles(std::vector<MemberListing> members, const std::set<Address>& absent = {});

  bool IsOwner(const Address& member) const { return m_owners.count(member) > 0; }
  bool IsRelay(const Address& member) const { return m_relays.count(member) > 0; }
  /// @return the possible owners of the zone's workers; those of all zones if no member of the zone
  /// is present.
  const HomeCandidates& OwnersFor(const std::string& zone) const;
  auto Fields() const { return std::tie(m_by_zone, m_owners, m_relays); }

 private:
  using Ranking = std::vector<MemberListing>;
  // adds the roles in one zone, of whose members this is the ranking
  void AddZone(const Ranking& ranking, const std::set<Address>& absent);

  // owners with their weights; invariant: no empty entry
  std::map<std::string, HomeCandidates> m_by_zone;
  HomeCandidates m_all;
  std::set<Address> m_owners;
  // invariant: a subset of m_owners
  std::set<Address> m_relays;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_ZONE_ROLES_H_
