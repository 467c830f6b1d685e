// Part of membership: deterministic assignment of workers to home entry VMs by rendezvous hashing.
#ifndef SAPPHIREFLOW_MEMBERSHIP_RENDEZVOUS_HASHING_H_
#define SAPPHIREFLOW_MEMBERSHIP_RENDEZVOUS_HASHING_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/comparable.h"

namespace sapphireflow {

/// @brief Items to assign, each with its size; for example workers with their slot counts.
using SizedSubjects = std::vector<std::pair<Address, std::uint32_t>>;

/// @brief Assigns each subject to one of the candidates so that the total sizes are balanced.
///
/// Rendezvous hashing with bounded loads: a subject goes to the candidate with the highest hash of
/// the pair among those whose load is below an equal share. The result depends only on the subjects
/// and candidates, so every VM that knows the same ones computes the same assignment. Adding or
/// removing a candidate moves few subjects of the others.
/// @return the home of each subject; empty without candidates.
/// Complexity: O(S * C * log C) for S subjects and C candidates.
std::map<Address, Address> ChooseHomes(const SizedSubjects& subjects,
                                       const std::vector<Address>& candidates);

/// @brief Address of a possible home and the weight that sets its share of the subjects.
class HomeCandidate : public Comparable<HomeCandidate> {
 public:
  HomeCandidate(const Address& address, std::uint32_t weight)
      : m_address(address), m_weight(weight) {}
  const Address& address() const { return m_address; }
  std::uint32_t weight() const { return m_weight; }
  auto Fields() const { return std::tie(m_address, m_weight); }

 private:
  Address m_address;
  // invariant: > 0; relative to the weights of the other candidates
  std::uint32_t m_weight;
};

using HomeCandidates = std::vector<HomeCandidate>;

/// @brief Chooses a candidate by weighted rendezvous hashing.
///
/// On average each candidate gets a share of the subjects in proportion to its weight. Adding or
/// removing a subject moves no other subject; adding or removing a candidate moves only subjects
/// that come to it or leave it.
/// @param candidates must not be empty
/// Complexity: linear in the candidates.
Address ChooseHome(const Address& subject, const HomeCandidates& candidates);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_RENDEZVOUS_HASHING_H_
