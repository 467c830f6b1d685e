// Part of transport: the HTTP interface of an entry VM. docs/API.md describes it.
#ifndef SAPPHIREFLOW_TRANSPORT_ENTRY_HTTP_H_
#define SAPPHIREFLOW_TRANSPORT_ENTRY_HTTP_H_

#include <memory>
#include <string>

#include "sapphireflow/codec/job_id_codec.h"
#include "sapphireflow/observe/metrics.h"
#include "sapphireflow/pipeline/filter.h"
#include "sapphireflow/routing/node.h"
#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/http.h"
#include "sapphireflow/transport/ingress_gate.h"
#include "sapphireflow/transport/pending_replies.h"

namespace sapphireflow {

/// @brief Routes requests and converts them to events for the node. Thread-safe.
class EntryHttp : public HttpHandler {
 public:
  /// All references must outlive the handler.
  EntryHttp(Sink<NodeEvent>& events, const Node& node, const Clock& clock, PendingReplies& replies,
            const JobIdCodec& id_codec, Metrics& metrics, std::string operator_key,
            std::size_t max_body_bytes, const IngressGate& gate);

  void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) override;
  std::size_t max_body_bytes() const override { return m_max_body_bytes; }

 private:
  using ResponderPtr = std::shared_ptr<HttpResponder>;
  void HandlePublic(const HttpRequest& request, const ResponderPtr& responder);
  void HandleOperator(const HttpRequest& request, const ResponderPtr& responder);
  void HandleJob(const HttpRequest& request, const std::string& id_and_verb,
                 const ResponderPtr& responder);
  void HandleIssueIds(const HttpRequest& request, const ResponderPtr& responder);
  void HandleSubmit(const HttpRequest& request, const JobId& id, const ResponderPtr& responder);
  void HandleQuery(const HttpRequest& request, const JobId& id, JobRequestKind query_kind,
                   const ResponderPtr& responder);
  void HandleTableEdit(const HttpRequest& request, const ResponderPtr& responder);
  bool IsOperator(const HttpRequest& request) const;

  Sink<NodeEvent>& m_events;
  const Node& m_node;
  const Clock& m_clock;
  PendingReplies& m_replies;
  const JobIdCodec& m_id_codec;
  Metrics& m_metrics;
  const std::string m_operator_authorization;
  const std::size_t m_max_body_bytes;
  const IngressGate& m_gate;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_ENTRY_HTTP_H_
