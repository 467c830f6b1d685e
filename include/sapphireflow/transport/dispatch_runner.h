// Part of transport: carries out what a dispatch node asks for, and brings back what comes of it.
#ifndef SAPPHIREFLOW_TRANSPORT_DISPATCH_RUNNER_H_
#define SAPPHIREFLOW_TRANSPORT_DISPATCH_RUNNER_H_

#include "sapphireflow/observe/event_log.h"
#include "sapphireflow/observe/metrics.h"
#include "sapphireflow/pipeline/filter.h"
#include "sapphireflow/routing/dispatch_event.h"
#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/http.h"
#include "sapphireflow/transport/peer_links.h"
#include "sapphireflow/transport/pending_replies.h"
#include "sapphireflow/transport/platform_ports.h"

namespace sapphireflow {

/// @brief Puts an answer into the words of a front end.
class WorkAnswerFormat {
 public:
  virtual ~WorkAnswerFormat() = default;
  virtual HttpResponse Format(const AnswerCaller& answer) const = 0;
};

/// @brief The end of the node's pipe: effects become calls, messages and responses; their ends
/// become events, which pass the node again. Thread-safe.
class DispatchRunner : public Sink<DispatchEvent>, public PeerListener {
 public:
  /// All references outlive the runner.
  DispatchRunner(Filter<DispatchInput, DispatchEffects>& node, const Clock& clock,
                 WorkerGateway& workers, PeerLinks& links, PendingReplies& replies,
                 const WorkAnswerFormat& format, Metrics& metrics, EventLog& log);

  /// @brief Passes an event through the node and carries out what it asks for.
  void Accept(DispatchEvent event) override;
  void OnPeerBytes(const std::string& bytes) override;
  void OnPeerUnreachable(const Address& peer) override;

 private:
  // one overload for each kind of effect
  void Run(const StartRun& effect);
  void Run(const StopRun& effect);
  void Run(const RenewLease& effect);
  void Run(const SendMessage& effect);
  void Run(const ResetLink& effect);
  void Run(const AnswerCaller& effect);
  void Run(const JobFinished& effect);
  void Run(const LogEvent& effect);

  Filter<DispatchInput, DispatchEffects>& m_node;
  const Clock& m_clock;
  WorkerGateway& m_workers;
  PeerLinks& m_links;
  PendingReplies& m_replies;
  const WorkAnswerFormat& m_format;
  Metrics& m_metrics;
  EventLog& m_log;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_DISPATCH_RUNNER_H_
