// Part of recovery: selection of the workers of a crash-prone queue.
#include "sapphireflow/recovery/confinement.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace sapphireflow {
namespace {

constexpr std::size_t kConfinementDivisor = 2;

}  // namespace

std::set<Address> SelectConfinement(const std::string& queue, const WorkerListings& workers) {
  using Ranked = std::vector<std::pair<std::uint64_t, Address>>;
  const std::size_t queue_hash = std::hash<std::string>()(queue);
  std::map<std::pair<std::string, std::string>, Ranked> groups;
  for (const WorkerListing& worker : workers) {
    const std::uint64_t rank = detail::MixBits(queue_hash ^ worker.address().number());
    groups[{worker.service(), worker.zone()}].emplace_back(rank, worker.address());
  }
  std::set<Address> selected;
  for (auto& [group, ranked] : groups) {
    std::sort(ranked.begin(), ranked.end());
    // rounded up: one worker of three would be away whenever it crashes, and two of them idle
    ranked.resize((ranked.size() + kConfinementDivisor - 1) / kConfinementDivisor);
    for (const auto& [rank, address] : ranked) selected.insert(address);
  }
  return selected;
}

}  // namespace sapphireflow
