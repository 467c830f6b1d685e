// Part of membership: the deterministic choice of a home entry VM for a worker (rendezvous
// hashing).
#ifndef SAPPHIREFLOW_MEMBERSHIP_HOME_CHOICE_H_
#define SAPPHIREFLOW_MEMBERSHIP_HOME_CHOICE_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "sapphireflow/model/address.h"

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

/// @brief The candidate with the highest hash of the pair (rendezvous hashing).
///
/// A subject or candidate that comes or goes moves no other subject, at the price of uneven shares.
/// @param candidates not empty. Complexity: linear.
Address ChooseHome(const Address& subject, const std::vector<Address>& candidates);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_HOME_CHOICE_H_
