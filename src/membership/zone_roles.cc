// Part of membership: ranking of the members of each availability zone.
#include "sapphireflow/membership/zone_roles.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace sapphireflow {
namespace {

// CPU time that a VM spends on coordinating its callers' jobs; measured in docs/CAPACITY.md. Only
// the rest of its CPU share counts as weight for owning workers.
constexpr std::uint32_t kCoordinatingMilliCores = 50;
// The owners of a zone hold at least this share of the weight of all its members.
constexpr double kOwnersWeightShare = 0.8;

std::uint32_t Weight(const MemberListing& member) {
  return member.milli_cores() > kCoordinatingMilliCores
             ? member.milli_cores() - kCoordinatingMilliCores
             : 1;
}

// returns the end of the owners in a ranking that begins at `begin`
std::size_t EndOfOwners(const std::vector<MemberListing>& ranking, std::size_t begin) {
  std::uint64_t total = 0;
  for (std::size_t i = begin; i < ranking.size(); ++i) total += Weight(ranking[i]);
  std::uint64_t weight = 0;
  std::size_t end = begin;
  while (end < ranking.size() && end - begin < ZoneRoles::kMaxOwnersPerZone) {
    const bool enough =
        static_cast<double>(weight) >= kOwnersWeightShare * static_cast<double>(total);
    if (enough && end - begin >= ZoneRoles::kMinOwnersPerZone) break;
    weight += Weight(ranking[end]);
    ++end;
  }
  return end;
}

}  // namespace

ZoneRoles::ZoneRoles(std::vector<MemberListing> members, const std::set<Address>& absent) {
  std::sort(members.begin(), members.end(), [](const MemberListing& a, const MemberListing& b) {
    return std::make_tuple(b.milli_cores(), a.node().address()) <
           std::make_tuple(a.milli_cores(), b.node().address());
  });
  std::map<std::string, Ranking> rankings;
  for (MemberListing& member : members) rankings[member.zone()].push_back(std::move(member));
  for (const auto& [zone, ranking] : rankings) AddZone(ranking, absent);
}

void ZoneRoles::AddZone(const Ranking& ranking, const std::set<Address>& absent) {
  HomeCandidates owners;
  for (std::size_t begin = 0; begin < ranking.size() && owners.empty();) {
    const std::size_t end = EndOfOwners(ranking, begin);
    for (; begin < end; ++begin) {
      const Address& address = ranking[begin].node().address();
      if (absent.count(address) > 0) continue;
      if (owners.size() < kRelaysPerZone) m_relays.insert(address);
      m_owners.insert(address);
      owners.emplace_back(address, Weight(ranking[begin]));
    }
  }
  if (owners.empty()) return;
  m_all.insert(m_all.end(), owners.begin(), owners.end());
  m_by_zone.emplace(ranking.front().zone(), std::move(owners));
}

const HomeCandidates& ZoneRoles::OwnersFor(const std::string& zone) const {
  const auto found = m_by_zone.find(zone);
  return found == m_by_zone.end() ? m_all : found->second;
}

}  // namespace sapphireflow
