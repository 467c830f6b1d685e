// Part of transport: executes the effects of a dispatch node and feeds the results back to it.
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

/// @brief Converts an answer to the HTTP response of a front end.
class JobAnswerFormat {
 public:
  virtual ~JobAnswerFormat() = default;
  virtual HttpResponse Format(const AnswerCaller& answer) const = 0;
};

/// @brief Last stage of the node's pipeline: turns effects into calls, messages and responses.
/// Their results become events, which pass through the node again. Thread-safe.
class DispatchRunner : public Sink<DispatchEvent>, public PeerListener {
 public:
  /// All references must outlive the runner.
  DispatchRunner(Filter<DispatchInput, DispatchEffects>& node, const Clock& clock,
                 WorkerGateway& workers, PeerLinks& links, PendingReplies& replies,
                 const JobAnswerFormat& format, Metrics& metrics, EventLog& log);

  /// @brief Passes an event through the node and executes the resulting effects.
  void Accept(DispatchEvent event) override;
  void OnPeerMessage(const std::string& bytes) override;
  void OnPeerUnreachable(const Address& peer) override;

 private:
  // one overload for each kind of effect
  void Run(const StartRun& effect);
  void Run(const StopRun& effect);
  void Run(const RenewLease& effect);
  void Run(const SendMessage& effect);
  void Run(const ResetLink& effect);
  void Run(const AnswerCaller& effect);
  void Run(const JobFinished& job);
  void Run(const CounterIncrement& effect);
  void Run(const GaugeValue& effect);
  void Run(const LogEvent& effect);

  Filter<DispatchInput, DispatchEffects>& m_node;
  const Clock& m_clock;
  WorkerGateway& m_workers;
  PeerLinks& m_links;
  PendingReplies& m_replies;
  const JobAnswerFormat& m_format;
  Metrics& m_metrics;
  EventLog& m_log;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_DISPATCH_RUNNER_H_
