// Part of settings: policies and limits of a dispatch node.
#ifndef SAPPHIREFLOW_SETTINGS_DISPATCH_SETTINGS_H_
#define SAPPHIREFLOW_SETTINGS_DISPATCH_SETTINGS_H_

#include <string>
#include <utility>

#include "sapphireflow/ownership/lease_limits.h"

namespace sapphireflow {

/// @brief Names of the selected policies, and limits for their decisions.
class DispatchSettings : public Comparable<DispatchSettings> {
 public:
  DispatchSettings(const LeaseLimits& leases, double remote_factor, std::string start_order,
                   std::string owner_choice, std::string outliers)
      : m_leases(leases),
        m_remote_factor(remote_factor),
        m_start_order(std::move(start_order)),
        m_owner_choice(std::move(owner_choice)),
        m_outliers(std::move(outliers)) {}
  const LeaseLimits& leases() const { return m_leases; }
  /// @brief Factor by which a task takes longer outside the rack of its data.
  double remote_factor() const { return m_remote_factor; }
  /// @brief `least-slack` or `arrival`.
  const std::string& start_order() const { return m_start_order; }
  /// @brief `slowest-sufficient`, `earliest-end` or `nearest`.
  const std::string& owner_choice() const { return m_owner_choice; }
  /// @brief `consecutive-failures` or `trusting`.
  const std::string& outliers() const { return m_outliers; }
  auto Fields() const {
    return std::tie(m_leases, m_remote_factor, m_start_order, m_owner_choice, m_outliers);
  }

 private:
  LeaseLimits m_leases;
  // invariant: >= 1
  double m_remote_factor;
  std::string m_start_order;
  std::string m_owner_choice;
  std::string m_outliers;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SETTINGS_DISPATCH_SETTINGS_H_
