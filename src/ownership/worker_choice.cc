// Part of ownership: implementation of the worker choice policies.
#include "sapphireflow/ownership/worker_choice.h"

#include <algorithm>
#include <utility>

#include "sapphireflow/dispatch/owner_choice.h"

namespace sapphireflow {
namespace {

// Factor by which a worker is rated slower if the task failed or was lost on it before.
constexpr double kAvoidedFactor = 8.0;

}  // namespace

std::size_t FirstFitChoice::Choose(const RunOrder& /*order*/, Duration /*time_left*/,
                                   const std::vector<WorkerCandidate>& /*candidates*/) const {
  return 0;
}

std::size_t SlowestSufficientChoice::Choose(const RunOrder& order, Duration time_left,
                                            const std::vector<WorkerCandidate>& candidates) const {
  const auto cost = [&](const WorkerCandidate& candidate) {
    double factor = candidate.slowness();
    if (!order.near_rack().empty() && !candidate.listing().HasLabel(order.near_rack())) {
      factor *= m_remote_factor;
    }
    const auto& avoid = order.avoid();
    if (std::find(avoid.begin(), avoid.end(), candidate.listing().id()) != avoid.end()) {
      factor *= kAvoidedFactor;
    }
    const Duration run_time = FromMillis(ToMillis(order.estimate()) * factor);
    const Duration rank = FinishesWithMargin(run_time, time_left)
                              ? -run_time
                              : std::max(time_left, Duration::zero()) + run_time;
    return std::make_pair(rank, candidate.free_capacity().milli_cores());
  };
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [&](const WorkerCandidate& a, const WorkerCandidate& b) { return cost(a) < cost(b); });
  return static_cast<std::size_t>(best - candidates.begin());
}

}  // namespace sapphireflow
