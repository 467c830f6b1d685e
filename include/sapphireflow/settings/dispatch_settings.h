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
  DispatchSettings(const LeaseLimits& leases, Duration drain_timeout, double remote_factor,
                   std::string start_order, std::string owner_choice, std::string outliers,
                   std::string job_feasibility = "whole-job",
                   std::string overload_control = "adaptive",
                   Duration config_apply_time = std::chrono::seconds(2))
      : m_leases(leases),
        m_drain_timeout(drain_timeout),
        m_remote_factor(remote_factor),
        m_start_order(std::move(start_order)),
        m_owner_choice(std::move(owner_choice)),
        m_outliers(std::move(outliers)),
        m_job_feasibility(std::move(job_feasibility)),
        m_overload_control(std::move(overload_control)),
        m_config_apply_time(config_apply_time) {}
  const LeaseLimits& leases() const { return m_leases; }
  /// @brief Time after the report that a worker drains by which no run starts there any more.
  Duration drain_timeout() const { return m_drain_timeout; }
  /// @brief Factor by which a task takes longer outside the rack of its data.
  double remote_factor() const { return m_remote_factor; }
  /// @brief `priority-slack`, `least-slack` or `arrival`.
  const std::string& start_order() const { return m_start_order; }
  /// @brief `slowest-sufficient`, `earliest-end` or `nearest`.
  const std::string& owner_choice() const { return m_owner_choice; }
  /// @brief `consecutive-failures` or `trusting`.
  const std::string& outliers() const { return m_outliers; }
  /// @brief `whole-job` or `first-start`.
  const std::string& job_feasibility() const { return m_job_feasibility; }
  /// @brief `adaptive` or `admit-all`.
  const std::string& overload_control() const { return m_overload_control; }
  /// @brief Time after the acknowledgement of a configuration by which it is in force.
  Duration config_apply_time() const { return m_config_apply_time; }
  auto Fields() const {
    return std::tie(m_leases, m_drain_timeout, m_remote_factor, m_start_order, m_owner_choice,
                    m_outliers, m_job_feasibility, m_overload_control, m_config_apply_time);
  }

 private:
  LeaseLimits m_leases;
  Duration m_drain_timeout;
  // invariant: >= 1
  double m_remote_factor;
  std::string m_start_order;
  std::string m_owner_choice;
  std::string m_outliers;
  std::string m_job_feasibility;
  std::string m_overload_control;
  Duration m_config_apply_time;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SETTINGS_DISPATCH_SETTINGS_H_
