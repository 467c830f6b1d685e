// Part of ownership: time limits of worker leases.
#ifndef SAPPHIREFLOW_OWNERSHIP_LEASE_LIMITS_H_
#define SAPPHIREFLOW_OWNERSHIP_LEASE_LIMITS_H_

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Limits that the platform sets for the leases of workers.
class LeaseLimits : public Comparable<LeaseLimits> {
 public:
  explicit LeaseLimits(Duration max_lease) : m_max_lease(max_lease) {}
  /// @brief Longest time that runs continue without a renewal, by the worker's clock.
  Duration max_lease() const { return m_max_lease; }
  /// @brief Time after the last possible renewal by which the lease of all runs of a worker has
  /// expired. The margin of 5 % covers worker clocks that are up to 2 % slow and the request's
  /// network latency.
  Duration max_time_to_expiry() const { return m_max_lease + m_max_lease / 20; }
  auto Fields() const { return std::tie(m_max_lease); }

 private:
  // invariant: > 0
  Duration m_max_lease;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_LEASE_LIMITS_H_
