// Part of the model: the queues and services that operators configure.
#ifndef SAPPHIREFLOW_MODEL_CONFIGURATION_H_
#define SAPPHIREFLOW_MODEL_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief A queue: which requests it accepts and which limits apply to their jobs.
class QueueConfig : public Comparable<QueueConfig> {
 public:
  QueueConfig(std::string name, std::string host, std::string prefix, std::string service,
              std::uint32_t priority, std::uint32_t max_attempts, double stretch, Duration target,
              Duration timeout)
      : m_name(std::move(name)),
        m_host(std::move(host)),
        m_prefix(std::move(prefix)),
        m_service(std::move(service)),
        m_priority(priority),
        m_max_attempts(max_attempts),
        m_stretch(stretch),
        m_target(target),
        m_timeout(timeout) {}
  const std::string& name() const { return m_name; }
  const std::string& host() const { return m_host; }
  /// @brief Path prefix of the requests that the queue accepts; the longest match wins.
  const std::string& prefix() const { return m_prefix; }
  const std::string& service() const { return m_service; }
  /// @brief 0 is the highest priority.
  std::uint32_t priority() const { return m_priority; }
  std::uint32_t max_attempts() const { return m_max_attempts; }
  /// @brief The response time objective is this factor times the critical path of the job, plus
  /// `target`.
  double stretch() const { return m_stretch; }
  Duration target() const { return m_target; }
  Duration timeout() const { return m_timeout; }
  auto Fields() const {
    return std::tie(m_name, m_host, m_prefix, m_service, m_priority, m_max_attempts, m_stretch,
                    m_target, m_timeout);
  }

 private:
  std::string m_name;
  std::string m_host;
  std::string m_prefix;
  std::string m_service;
  std::uint32_t m_priority;
  // invariant: >= 1
  std::uint32_t m_max_attempts;
  // invariant: > 0
  double m_stretch;
  Duration m_target;
  Duration m_timeout;
};

/// @brief A service: the name of a pool of workers.
class ServiceConfig : public Comparable<ServiceConfig> {
 public:
  explicit ServiceConfig(std::string name) : m_name(std::move(name)) {}
  const std::string& name() const { return m_name; }
  auto Fields() const { return std::tie(m_name); }

 private:
  std::string m_name;
};

/// @brief One version of the complete configuration.
class Configuration : public Comparable<Configuration> {
 public:
  Configuration(std::uint64_t version, std::vector<QueueConfig> queues,
                std::vector<ServiceConfig> services, std::size_t max_body_bytes)
      : m_version(version),
        m_queues(std::move(queues)),
        m_services(std::move(services)),
        m_max_body_bytes(max_body_bytes) {}
  /// @brief Increases with each change, not necessarily by one.
  std::uint64_t version() const { return m_version; }
  const std::vector<QueueConfig>& queues() const { return m_queues; }
  const std::vector<ServiceConfig>& services() const { return m_services; }
  std::size_t max_body_bytes() const { return m_max_body_bytes; }
  auto Fields() const { return std::tie(m_version, m_queues, m_services, m_max_body_bytes); }

 private:
  std::uint64_t m_version;
  std::vector<QueueConfig> m_queues;
  std::vector<ServiceConfig> m_services;
  std::size_t m_max_body_bytes;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_CONFIGURATION_H_
