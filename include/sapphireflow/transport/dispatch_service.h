// Part of transport: a dispatch node with its sockets, threads and timers, ready to run in a
// process.
#ifndef SAPPHIREFLOW_TRANSPORT_DISPATCH_SERVICE_H_
#define SAPPHIREFLOW_TRANSPORT_DISPATCH_SERVICE_H_

#include <memory>
#include <optional>
#include <string>

#include "sapphireflow/admission/ingress_limits.h"
#include "sapphireflow/observe/event_log.h"
#include "sapphireflow/routing/dispatch_node.h"
#include "sapphireflow/transport/dispatch_runner.h"
#include "sapphireflow/transport/http.h"
#include "sapphireflow/transport/overload_monitor.h"
#include "sapphireflow/transport/pending_replies.h"
#include "sapphireflow/transport/platform_ports.h"

namespace sapphireflow {

/// @brief Zone, addresses, CPU share and stop grace period of a dispatch node.
class DispatchServiceOptions : public Comparable<DispatchServiceOptions> {
 public:
  DispatchServiceOptions(std::string zone, std::uint32_t milli_cores, const Address& callers,
                         const Address& readiness, const Address& peers,
                         const Address& peer_listener, Duration stop_grace,
                         const std::optional<Address>& metrics, const IngressLimits& ingress)
      : m_zone(std::move(zone)),
        m_milli_cores(milli_cores),
        m_callers(callers),
        m_readiness(readiness),
        m_peers(peers),
        m_peer_listener(peer_listener),
        m_stop_grace(stop_grace),
        m_metrics(metrics),
        m_ingress(ingress) {}
  const std::string& zone() const { return m_zone; }
  /// @brief CPU share of this VM, in thousandths of a core (millicores).
  std::uint32_t milli_cores() const { return m_milli_cores; }
  const Address& callers() const { return m_callers; }
  const Address& readiness() const { return m_readiness; }
  /// @brief Address announced to peers.
  const Address& peers() const { return m_peers; }
  /// @brief Listening address for peers. Differs from the announced one behind an address
  /// translation or a proxy.
  const Address& peer_listener() const { return m_peer_listener; }
  /// @brief Time from the stop request until the process is killed.
  Duration stop_grace() const { return m_stop_grace; }
  /// @brief Address that serves the metrics; if not set, they are not served.
  const std::optional<Address>& metrics() const { return m_metrics; }
  /// @brief Limits on clients of all listeners.
  const IngressLimits& ingress() const { return m_ingress; }
  auto Fields() const {
    return std::tie(m_zone, m_milli_cores, m_callers, m_readiness, m_peers, m_peer_listener,
                    m_stop_grace, m_metrics, m_ingress);
  }

 private:
  std::string m_zone;
  std::uint32_t m_milli_cores;
  Address m_callers;
  Address m_readiness;
  Address m_peers;
  Address m_peer_listener;
  Duration m_stop_grace;
  std::optional<Address> m_metrics;
  IngressLimits m_ingress;
};

/// @brief Runs one dispatch node until it is stopped.
class DispatchService {
 public:
  /// All references must outlive the service.
  DispatchService(const DispatchServiceOptions& service_options, const DispatchSettings& settings,
                  PlatformStore& store, WorkerGateway& workers, const JobAnswerFormat& format,
                  Metrics& metrics, EventLog& log);
  ~DispatchService();
  DispatchService(const DispatchService&) = delete;
  DispatchService& operator=(const DispatchService&) = delete;

  // used by the front ends
  const DispatchNode& node() const;
  Sink<DispatchEvent>& events();
  PendingReplies& replies();
  OverloadMonitor& overload();
  const Clock& clock() const;

  /// @param callers, readiness request handlers; must stay valid until the service has stopped
  /// @return no value once the service accepts requests, otherwise the error that prevented it.
  std::optional<Error> Start(HttpHandler& callers, HttpHandler& readiness);
  /// @brief Planned stop: hands the workers over, answers pending requests, and returns when done.
  void DrainAndStop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_DISPATCH_SERVICE_H_
