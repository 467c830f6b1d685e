// Part of membership: the deterministic choice of a home entry VM for a worker (rendezvous
// hashing).
#ifndef SAPPHIREFLOW_MEMBERSHIP_HOME_CHOICE_H_
#define SAPPHIREFLOW_MEMBERSHIP_HOME_CHOICE_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/comparable.h"

namespace sapphireflow {

/// @brief Subjects with their sizes, e.g. workers with their slots.
using Sizes = std::vector<std::pair<Address, std::uint32_t>>;

/// @brief Gives each subject a home among the candidates, in even shares by size.
///
/// Each goes to the candidate with the highest hash of the pair that has not got its share yet
/// (rendezvous hashing with bounded loads). All who know the same subjects and candidates choose
/// the same, and a candidate that comes or goes moves few others' subjects.
/// @return the home of each subject; empty without candidates.
/// Complexity: subjects times candidates times logarithmic.
std::map<Address, Address> ChooseHomes(const Sizes& subjects,
                                       const std::vector<Address>& candidates);

/// @brief One that may be chosen as a home, and its share of the subjects.
class HomeCandidate : public Comparable<HomeCandidate> {
 public:
  HomeCandidate(const Address& address, std::uint32_t weight)
      : m_address(address), m_weight(weight) {}
  const Address& address() const { return m_address; }
  std::uint32_t weight() const { return m_weight; }
  auto Fields() const { return std::tie(m_address, m_weight); }

 private:
  Address m_address;
  // invariant: > 0; relative to those of the other candidates
  std::uint32_t m_weight;
};

using HomeCandidates = std::vector<HomeCandidate>;

/// @brief A candidate by weighted rendezvous hashing.
///
/// Shares are in proportion to the weights on average. A subject or candidate that comes or goes
/// moves no other subject.
/// @param candidates not empty. Complexity: linear.
Address ChooseHome(const Address& subject, const HomeCandidates& candidates);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_HOME_CHOICE_H_
