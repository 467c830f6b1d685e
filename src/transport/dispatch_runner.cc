// Part of transport: execution of the effects of a dispatch node.
#include "sapphireflow/transport/dispatch_runner.h"

#include <exception>
#include <string>
#include <utility>
#include <variant>

#include "sapphireflow/codec/dispatch_codec.h"

namespace sapphireflow {

DispatchRunner::DispatchRunner(Filter<DispatchInput, DispatchEffects>& node, const Clock& clock,
                               WorkerGateway& workers, PeerLinks& links, PendingReplies& replies,
                               const JobAnswerFormat& format, Metrics& metrics, EventLog& log)
    : m_node(node),
      m_clock(clock),
      m_workers(workers),
      m_links(links),
      m_replies(replies),
      m_format(format),
      m_metrics(metrics),
      m_log(log) {}

void DispatchRunner::Accept(DispatchEvent event) {
  const std::string kind = std::to_string(event.index());
  // Events arrive on the threads of sockets and timers, where an exception would end the process.
  try {
    const auto effects = m_node.Apply(DispatchInput(m_clock.Now(), std::move(event)));
    for (const DispatchEffect& effect : effects) {
      std::visit([this](const auto& one) { Run(one); }, effect);
    }
  } catch (const std::exception& problem) {
    m_metrics.IncrementCounter("event_errors_total", "kind", kind);
    m_log.Write(
        LogEvent(LogLevel::kError, "event_failed", {{"kind", kind}, {"why", problem.what()}}));
  }
}

void DispatchRunner::OnPeerMessage(const std::string& bytes) {
  auto message = DecodeDispatchMessage(bytes);
  if (const auto* error = std::get_if<Error>(&message)) {
    m_log.Write(LogEvent(LogLevel::kWarning, "peer_message_malformed",
                         {{"error", error->code()}, {"why", error->message()}}));
    return;
  }
  Accept(std::move(std::get<DispatchMessage>(message)));
}

void DispatchRunner::OnPeerUnreachable(const Address& peer) { Accept(LinkDown(peer)); }

void DispatchRunner::Run(const StartRun& effect) {
  m_workers.Start(effect, [this](const StartReplied& reply) {
    m_metrics.IncrementCounter("starts_total", "outcome", CallOutcomeName(reply.outcome()));
    Accept(reply);
  });
}

void DispatchRunner::Run(const StopRun& effect) { m_workers.Stop(effect); }

void DispatchRunner::Run(const RenewLease& effect) {
  m_workers.Renew(effect, [this](const RenewalReplied& reply) {
    m_metrics.IncrementCounter("renewals_total", "outcome", CallOutcomeName(reply.outcome()));
    Accept(reply);
  });
}

void DispatchRunner::Run(const SendMessage& effect) {
  const std::string bytes = EncodeDispatchMessage(effect.message());
  for (const Address& to : effect.to()) m_links.Send(to, bytes);
  m_metrics.IncrementCounter("peer_messages_total", "way", "out", effect.to().size());
  m_metrics.IncrementCounter("peer_bytes_total", "way", "out", bytes.size() * effect.to().size());
}

void DispatchRunner::Run(const ResetLink& effect) { m_links.Reset(effect.peer()); }

void DispatchRunner::Run(const AnswerCaller& effect) {
  m_replies.Respond(effect.token(), m_format.Format(effect));
}

void DispatchRunner::Run(const JobFinished& job) {
  m_metrics.IncrementCounter("jobs_total", "verdict", JobVerdictName(job.verdict()));
  if (job.late()) m_metrics.IncrementCounter("jobs_late_total", "queue", job.queue());
  if (!job.error().empty()) m_metrics.IncrementCounter("job_errors_total", "error", job.error());
  if (job.verdict() == JobVerdict::kCompleted) {
    m_metrics.RecordResponse(job.queue(), job.response());
  }
}

void DispatchRunner::Run(const CounterIncrement& effect) {
  m_metrics.IncrementCounter(effect.counter(), effect.label(), effect.value());
}

void DispatchRunner::Run(const GaugeValue& effect) {
  m_metrics.SetGauge(effect.gauge(), effect.label(), effect.value(), effect.number());
}

void DispatchRunner::Run(const LogEvent& effect) { m_log.Write(effect); }

}  // namespace sapphireflow
