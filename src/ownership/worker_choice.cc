// Part of ownership: choosing workers.
#include "sapphireflow/ownership/worker_choice.h"

#include <algorithm>
#include <utility>

namespace sapphireflow {
namespace {

// a worker on which the task failed or was lost before counts as so many times slower
constexpr double kAvoidedFactor = 8.0;

}  // namespace

std::size_t FirstFitChoice::Choose(const RunOrder& /*order*/,
                                   const std::vector<Candidate>& /*candidates*/) const {
  return 0;
}

std::size_t EarliestEndChoice::Choose(const RunOrder& order,
                                      const std::vector<Candidate>& candidates) const {
  const auto cost = [&](const Candidate& candidate) {
    double factor = candidate.slowness();
    if (!order.near_rack().empty() && !candidate.listing().HasLabel(order.near_rack())) {
      factor *= m_remote_factor;
    }
    const auto& avoid = order.avoid();
    if (std::find(avoid.begin(), avoid.end(), candidate.listing().id()) != avoid.end()) {
      factor *= kAvoidedFactor;
    }
    return std::make_pair(factor, candidate.room().milli_cores());
  };
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [&](const Candidate& a, const Candidate& b) { return cost(a) < cost(b); });
  return static_cast<std::size_t>(best - candidates.begin());
}

}  // namespace sapphireflow
