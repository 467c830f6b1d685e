// Part of transport: the HTTP handler that serves the metrics.
#ifndef SAPPHIREFLOW_TRANSPORT_METRICS_PAGE_H_
#define SAPPHIREFLOW_TRANSPORT_METRICS_PAGE_H_

#include <memory>

#include "sapphireflow/observe/metrics.h"
#include "sapphireflow/transport/http.h"
#include "sapphireflow/transport/ingress_gate.h"

namespace sapphireflow {

/// @brief Responds to every path with the metrics in text format. Thread-safe.
class MetricsPage : public HttpHandler {
 public:
  /// @param metrics must outlive the page
  /// @param gate whose state is rendered as well; null if there is none; must outlive the page
  explicit MetricsPage(const Metrics& metrics, const IngressGate* gate = nullptr)
      : m_metrics(metrics), m_gate(gate) {}
  void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) override;

 private:
  const Metrics& m_metrics;
  const IngressGate* const m_gate;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_METRICS_PAGE_H_
