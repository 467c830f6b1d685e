// Part of membership: rendezvous hashing.
#include "sapphireflow/membership/rendezvous_hashing.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace sapphireflow {
namespace {

std::uint64_t PairHash(const Address& subject, const Address& candidate) {
  return detail::MixBits(detail::MixBits(subject.number()) +
                         0x9e3779b97f4a7c15ULL * candidate.number());
}

}  // namespace

Address ChooseHome(const Address& subject, const HomeCandidates& candidates) {
  // score = weight / -ln(u), where u in (0, 1) is derived from the hash of the pair
  const auto score = [&subject](const HomeCandidate& candidate) {
    constexpr double kHashRange = 18446744073709551616.0;
    const double fraction =
        (static_cast<double>(PairHash(subject, candidate.address())) + 1) / (kHashRange + 1);
    return static_cast<double>(candidate.weight()) / -std::log(fraction);
  };
  const HomeCandidate* best = &candidates.front();
  double best_score = score(*best);
  for (const HomeCandidate& candidate : candidates) {
    const double own_score = score(candidate);
    if (own_score <= best_score) continue;
    best = &candidate;
    best_score = own_score;
  }
  return best->address();
}

std::map<Address, Address> ChooseHomes(const SizedSubjects& subjects,
                                       const std::vector<Address>& candidates) {
  std::map<Address, Address> homes;
  if (candidates.empty()) return homes;
  std::uint64_t total = 0;
  for (const auto& [subject, size] : subjects) total += size;
  const std::uint64_t share = (total + candidates.size() - 1) / candidates.size();
  std::map<Address, std::uint64_t> loads;
  SizedSubjects in_order = subjects;
  std::sort(in_order.begin(), in_order.end());
  for (const auto& [subject, size] : in_order) {
    std::optional<Address> best;
    std::uint64_t best_hash = 0;
    for (const Address& candidate : candidates) {
      const std::uint64_t hash = PairHash(subject, candidate);
      if (loads[candidate] >= share || (best && hash <= best_hash)) continue;
      best = candidate;
      best_hash = hash;
    }
    loads[*best] += size;
    homes.emplace(subject, *best);
  }
  return homes;
}

}  // namespace sapphireflow
