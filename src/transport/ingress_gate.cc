// Part of transport: answers to refused clients, and the closing of connections.
#include "sapphireflow/transport/ingress_gate.h"

#include <sys/socket.h>

#include "sapphireflow/model/error.h"

namespace sapphireflow {
namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(1);

std::string ReasonPhrase(int status) {
  switch (status) {
    case 400:
      return "Bad Request";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 431:
      return "Request Header Fields Too Large";
    default:
      return "Service Unavailable";
  }
}

ErrorId ErrorIdOf(IngressReason reason) {
  switch (reason) {
    case IngressReason::kBodyTooLarge:
    case IngressReason::kTooManyChunks:
      return ErrorId::kBodyTooLarge;
    case IngressReason::kHeadTooLarge:
    case IngressReason::kTooSlow:
      return ErrorId::kMalformedRequest;
    default:
      return ErrorId::kLimitReached;
  }
}

std::string RefusalText(IngressReason reason) {
  const int status = HttpStatusOf(reason);
  const Error error(ErrorIdOf(reason),
                    std::string("refused: ") + NameOf(reason) + "; the request was not handled");
  const std::string body =
      R"({"error":{"id":")" + error.code() + R"(","message":")" + error.message() + R"("}})";
  return "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) +
         "\r\nContent-Type: application/json\r\nRetry-After: 1\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

void IngressConnection::Refuse(IngressReason reason, bool end_reads) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_descriptor < 0) return;
  if (!m_refused.exchange(true)) {
    const std::string text = RefusalText(reason);
    // a client that does not read gets a part or nothing
    static_cast<void>(send(m_descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
  }
  shutdown(m_descriptor, end_reads ? SHUT_RDWR : SHUT_WR);
}

void IngressConnection::Close() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_descriptor < 0) return;
    m_descriptor = -1;
  }
  m_gate.Forget(*this);
}

IngressGate::IngressGate(const IngressLimits& limits, const std::string& eviction_order,
                         const Clock& clock, Metrics& metrics, EventLog& log)
    : m_clock(clock), m_metrics(metrics), m_log(log), m_budget(limits, eviction_order) {}

IngressGate::~IngressGate() = default;

IngressConnectionPtr IngressGate::Open(IngressListener listener, int descriptor) {
  auto connection = std::make_shared<IngressConnection>(*this, m_next_id++, descriptor);
  {
    // before it can be chosen to be closed
    std::lock_guard<std::mutex> lock(m_mutex);
    m_connections.emplace(connection->id(), connection);
  }
  const IngressVerdict verdict = m_budget.Open(connection->id(), listener, m_clock.Now());
  CloseAll(verdict.to_close(), IngressReason::kTooManyConnections);
  if (!verdict.refused()) return connection;
  Count(verdict.refusal(), "refused");
  connection->Refuse(verdict.refusal(), true);
  connection->Close();
  return nullptr;
}

IngressReason IngressGate::Receive(IngressConnection& connection, const RequestProgress& progress,
                                   bool complete, std::size_t max_body_bytes) {
  const Instant now = m_clock.Now();
  const IngressVerdict verdict =
      complete ? m_budget.Complete(connection.id(), progress, max_body_bytes, now)
               : m_budget.Receive(connection.id(), progress, max_body_bytes, now);
  if (!verdict.to_close().empty()) CloseAll(verdict.to_close(), IngressReason::kOverBudget);
  if (verdict.refused()) Count(verdict.refusal(), "refused");
  return verdict.refusal();
}

void IngressGate::HoldAnswer(IngressConnection& connection, std::size_t bytes) {
  m_budget.HoldAnswer(connection.id(), bytes);
}

void IngressGate::Answered(IngressConnection& connection) {
  m_budget.Answered(connection.id(), m_clock.Now());
}

void IngressGate::Trust(IngressConnection& connection) { m_budget.Trust(connection.id()); }

void IngressGate::Forget(IngressConnection& connection) {
  m_budget.Close(connection.id());
  std::lock_guard<std::mutex> lock(m_mutex);
  m_connections.erase(connection.id());
}

void IngressGate::Sweep() {
  const Instant now = m_clock.Now();
  std::map<IngressReason, std::uint64_t> unreported;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (now - m_swept_at < kSweepInterval) return;
    m_swept_at = now;
    unreported.swap(m_unreported);
  }
  CloseAll(m_budget.TakeExpired(now), IngressReason::kTooSlow);
  if (unreported.empty()) return;
  LogEvent::Pairs fields;
  for (const auto& [reason, count] : unreported) {
    fields.emplace_back(NameOf(reason), std::to_string(count));
  }
  fields.emplace_back("held_bytes", std::to_string(m_budget.held_bytes()));
  m_log.Write(LogEvent(LogLevel::kWarning, "clients_refused", std::move(fields)));
}

void IngressGate::Count(IngressReason reason, const char* what) {
  m_metrics.IncrementCounter(std::string("ingress_") + what + "_total", "reason", NameOf(reason));
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_unreported[reason];
}

std::string IngressGate::RenderGauges() const {
  std::string text =
      "sapphireflow_ingress_held_bytes " + std::to_string(m_budget.held_bytes()) + "\n";
  constexpr std::pair<IngressListener, const char*> kListeners[] = {
      {IngressListener::kCallers, "callers"},
      {IngressListener::kReadiness, "readiness"},
      {IngressListener::kMetrics, "metrics"},
      {IngressListener::kPeers, "peers"}};
  for (const auto& [listener, name] : kListeners) {
    text += std::string("sapphireflow_ingress_connections{listener=\"") + name + "\"} " +
            std::to_string(m_budget.CountConnections(listener)) + "\n";
  }
  return text;
}

void IngressGate::CloseAll(const std::vector<IngressId>& ids, IngressReason reason) {
  for (const IngressId id : ids) {
    IngressConnectionPtr connection;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      const auto found = m_connections.find(id);
      if (found != m_connections.end()) connection = found->second.lock();
    }
    if (!connection) continue;
    Count(reason, "closed");
    connection->Refuse(reason, true);
  }
}

}  // namespace sapphireflow
