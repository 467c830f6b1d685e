// Part of transport: executes the effects of an entry node and feeds the results back to it.
#ifndef SAPPHIREFLOW_TRANSPORT_EFFECT_RUNNER_H_
#define SAPPHIREFLOW_TRANSPORT_EFFECT_RUNNER_H_

#include <functional>
#include <memory>
#include <string>

#include "sapphireflow/codec/job_id_codec.h"
#include "sapphireflow/observe/event_log.h"
#include "sapphireflow/observe/metrics.h"
#include "sapphireflow/pipeline/filter.h"
#include "sapphireflow/routing/node.h"
#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/http_client.h"
#include "sapphireflow/transport/peer_links.h"
#include "sapphireflow/transport/pending_replies.h"
#include "sapphireflow/transport/timer_thread.h"

namespace sapphireflow {

/// @brief Last stage of the node's pipeline: turns effects into calls, messages, timers and
/// responses. Their results become events, which pass through the node again. Thread-safe.
class EffectRunner : public Sink<NodeEvent> {
 public:
  /// All references must outlive the runner.
  /// @param platform address of the platform's store
  /// @param on_drained called when a drain ends, with whether a successor took over
  EffectRunner(Filter<NodeInput, NodeEffects>& node, const Clock& clock, TimerThread& timers,
               HttpClient& http, PeerLinks& links, PendingReplies& replies,
               const JobIdCodec& id_codec, Metrics& metrics, EventLog& log, const Address& platform,
               std::function<void(bool)> on_drained);

  /// @brief Passes an event through the node and executes the resulting effects.
  void Accept(NodeEvent event) override;

 private:
  // one overload for each kind of effect
  void Run(const StartAttempt& effect);
  void Run(const StopAttempts& effect);
  void Run(const JobSettled& effect);
  void Run(const AttemptWasted& effect);
  void Run(const WakeShard& effect);
  void Run(const SendToPeer& effect);
  void Run(const CallerReply& effect);
  void Run(const ReadStore& effect);
  void Run(const SwapStore& effect);
  void Run(const TableActivated& effect);
  void Run(const Drained& effect);

  Filter<NodeInput, NodeEffects>& m_node;
  const Clock& m_clock;
  TimerThread& m_timers;
  HttpClient& m_http;
  PeerLinks& m_links;
  PendingReplies& m_replies;
  const JobIdCodec& m_id_codec;
  Metrics& m_metrics;
  EventLog& m_log;
  const Address m_platform;
  const std::function<void(bool)> m_on_drained;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_EFFECT_RUNNER_H_
