// Part of ownership: implementation of the start order policies.
#include "sapphireflow/ownership/start_order_policy.h"

#include <tuple>

namespace sapphireflow {

bool ArrivalOrder::Before(const WaitingRun& a, const WaitingRun& b, Instant /*now*/) const {
  return a.queued_since() < b.queued_since();
}

bool LeastSlackOrder::Before(const WaitingRun& a, const WaitingRun& b, Instant now) const {
  const Instant latest_a = a.objective_at() - a.order().estimate();
  const Instant latest_b = b.objective_at() - b.order().estimate();
  return std::make_tuple(latest_a < now, latest_a, a.queued_since()) <
         std::make_tuple(latest_b < now, latest_b, b.queued_since());
}

std::unique_ptr<StartOrderPolicy> MakeStartOrderPolicy(const std::string& name) {
  if (name == "arrival") return std::make_unique<ArrivalOrder>();
  if (name == "least-slack") return std::make_unique<LeastSlackOrder>();
  return nullptr;
}

}  // namespace sapphireflow
