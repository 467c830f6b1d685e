// Part of ownership: the times that bind an owner and its workers.
#ifndef SAPPHIREFLOW_OWNERSHIP_LEASE_LIMITS_H_
#define SAPPHIREFLOW_OWNERSHIP_LEASE_LIMITS_H_

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Limits that the platform sets for leases of workers.
class LeaseLimits : public Comparable<LeaseLimits> {
 public:
  explicit LeaseLimits(Duration max_lease) : m_max_lease(max_lease) {}
  /// @brief Longest time that runs go on without a renewal, on the worker's clock.
  Duration max_lease() const { return m_max_lease; }
  /// @brief After this from the last possible renewal all runs of a worker have lapsed.
  /// Workers' clocks may be 2 % slow; a twentieth leaves room for the order's way there.
  Duration lapse_time() const { return m_max_lease + m_max_lease / 20; }
  auto Fields() const { return std::tie(m_max_lease); }

 private:
  // invariant: > 0
  Duration m_max_lease;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_LEASE_LIMITS_H_
