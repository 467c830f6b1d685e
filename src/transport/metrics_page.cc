// Part of transport: the HTTP handler that serves the metrics.
#include "sapphireflow/transport/metrics_page.h"

namespace sapphireflow {

void MetricsPage::Handle(const HttpRequest& /*request*/, std::shared_ptr<HttpResponder> responder) {
  constexpr int kOk = 200;
  responder->Respond(
      HttpResponse(kOk, m_metrics.Render() + (m_gate != nullptr ? m_gate->RenderGauges() : ""),
                   "text/plain; version=0.0.4"));
}

}  // namespace sapphireflow
