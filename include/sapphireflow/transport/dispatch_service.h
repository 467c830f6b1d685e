// Part of transport: a dispatch node as a process: the node between its sockets, threads and
// timers.
#ifndef SAPPHIREFLOW_TRANSPORT_DISPATCH_SERVICE_H_
#define SAPPHIREFLOW_TRANSPORT_DISPATCH_SERVICE_H_

#include <memory>
#include <optional>
#include <string>

#include "sapphireflow/observe/event_log.h"
#include "sapphireflow/routing/dispatch_node.h"
#include "sapphireflow/transport/dispatch_runner.h"
#include "sapphireflow/transport/http.h"
#include "sapphireflow/transport/pending_replies.h"
#include "sapphireflow/transport/platform_ports.h"

namespace sapphireflow {

/// @brief Where a dispatch node serves, and how it stops.
class DispatchAddresses : public Comparable<DispatchAddresses> {
 public:
  DispatchAddresses(std::string zone, std::uint32_t milli_cores, const Address& callers,
                    const Address& readiness, const Address& peers, Duration stop_grace,
                    const std::optional<Address>& metrics)
      : m_zone(std::move(zone)),
        m_milli_cores(milli_cores),
        m_callers(callers),
        m_readiness(readiness),
        m_peers(peers),
        m_stop_grace(stop_grace),
        m_metrics(metrics) {}
  const std::string& zone() const { return m_zone; }
  /// @brief Processor share of this VM, in thousandths of a core.
  std::uint32_t milli_cores() const { return m_milli_cores; }
  const Address& callers() const { return m_callers; }
  const Address& readiness() const { return m_readiness; }
  const Address& peers() const { return m_peers; }
  /// @brief Time from the order to stop until the process is killed.
  Duration stop_grace() const { return m_stop_grace; }
  /// @brief Where metrics are read; not set for nowhere.
  const std::optional<Address>& metrics() const { return m_metrics; }
  auto Fields() const {
    return std::tie(m_zone, m_milli_cores, m_callers, m_readiness, m_peers, m_stop_grace,
                    m_metrics);
  }

 private:
  std::string m_zone;
  std::uint32_t m_milli_cores;
  Address m_callers;
  Address m_readiness;
  Address m_peers;
  Duration m_stop_grace;
  std::optional<Address> m_metrics;
};

/// @brief Runs one dispatch node until it is told to stop.
class DispatchService {
 public:
  /// All references outlive the service.
  DispatchService(const DispatchAddresses& addresses, const DispatchSettings& settings,
                  PlatformStore& store, WorkerGateway& workers, const WorkAnswerFormat& format,
                  Metrics& metrics, EventLog& log);
  ~DispatchService();
  DispatchService(const DispatchService&) = delete;
  DispatchService& operator=(const DispatchService&) = delete;

  // what the front ends need
  const DispatchNode& node() const;
  Sink<DispatchEvent>& events();
  PendingReplies& replies();

  /// @param callers, readiness handle requests; they outlive the service's run
  /// @return nothing once it serves, else why it cannot.
  std::optional<Error> Start(HttpHandler& callers, HttpHandler& readiness);
  /// @brief A planned stop: hands the workers over, answers what is open, and returns when done.
  void DrainAndStop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_DISPATCH_SERVICE_H_
