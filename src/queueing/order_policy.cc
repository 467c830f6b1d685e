// Part of queueing: implementation of the order policies.
#include "sapphireflow/queueing/order_policy.h"

namespace sapphireflow {

double FifoOrder::Rank(const WaitingJob& job) const { return static_cast<double>(job.arrival()); }

double EarliestDeadlineOrder::Rank(const WaitingJob& job) const {
  return static_cast<double>(job.deadline().time_since_epoch().count());
}

double WeightedShortestOrder::Rank(const WaitingJob& job) const {
  return static_cast<double>(job.work_left().count()) / job.weight();
}

std::unique_ptr<OrderPolicy> MakeOrderPolicy(const std::string& name) {
  if (name == "fifo") return std::make_unique<FifoOrder>();
  if (name == "earliest-deadline") return std::make_unique<EarliestDeadlineOrder>();
  if (name == "weighted-shortest") return std::make_unique<WeightedShortestOrder>();
  return nullptr;
}

}  // namespace sapphireflow
