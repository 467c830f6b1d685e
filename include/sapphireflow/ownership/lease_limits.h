// Part of ownership: time limits of worker leases.
#ifndef SAPPHIREFLOW_OWNERSHIP_LEASE_LIMITS_H_
#define SAPPHIREFLOW_OWNERSHIP_LEASE_LIMITS_H_

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Limits that the platform sets for the leases of workers.
class LeaseLimits : public Comparable<LeaseLimits> {
 public:
  LeaseLimits(Duration max_lease, Duration caller_return)
      : m_max_lease(max_lease), m_caller_return(caller_return) {}
  /// @brief Longest time that runs continue without a renewal, by the worker's clock.
  Duration max_lease() const { return m_max_lease; }
  /// @brief Time after the last possible renewal by which the lease of all runs of a worker has
  /// expired. The margin of 5 % covers worker clocks that are up to 2 % slow and the request's
  /// network latency.
  Duration max_time_to_expiry() const { return m_max_lease + m_max_lease / 20; }
  /// @brief Shortest time after which a caller whose connection has broken submits its job again.
  Duration caller_return() const { return m_caller_return; }
  /// @brief Longest lease of a run after its coordinator last confirmed it. The margin is
  /// that of `max_time_to_expiry`.
  Duration max_orphan_lease() const { return m_caller_return - m_caller_return / 20; }
  /// @brief A run is stopped this long after its coordinator last confirmed it, so that the
  /// stop is confirmed before `max_orphan_lease` binds the other runs of the worker as well.
  Duration orphan_stop_after() const { return max_orphan_lease() - kStopAllowance; }
  auto Fields() const { return std::tie(m_max_lease, m_caller_return); }

 private:
  // a tick, the request, and the 50 ms in which the platform stops a run
  static constexpr Duration kStopAllowance = std::chrono::milliseconds(150);
  // invariant: both > 0
  Duration m_max_lease;
  Duration m_caller_return;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_LEASE_LIMITS_H_
