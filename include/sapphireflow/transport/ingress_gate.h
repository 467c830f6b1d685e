// Part of transport: applies the limits on clients to the connections of a process's listeners.
#ifndef SAPPHIREFLOW_TRANSPORT_INGRESS_GATE_H_
#define SAPPHIREFLOW_TRANSPORT_INGRESS_GATE_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "sapphireflow/admission/ingress_budget.h"
#include "sapphireflow/observe/event_log.h"
#include "sapphireflow/observe/metrics.h"
#include "sapphireflow/transport/clock.h"

namespace sapphireflow {

class IngressGate;

/// @brief One accepted connection. Thread-safe; shared by its socket and the requests that wait for
/// their answers.
class IngressConnection {
 public:
  IngressConnection(IngressGate& gate, IngressId id, int descriptor)
      : m_gate(gate), m_id(id), m_descriptor(descriptor) {}
  IngressConnection(const IngressConnection&) = delete;
  IngressConnection& operator=(const IngressConnection&) = delete;
  ~IngressConnection() { Close(); }

  IngressId id() const { return m_id; }
  IngressGate& gate() { return m_gate; }
  /// @brief Sends an answer, as far as it fits, and ends the connection; a pending read then ends.
  /// Does nothing after the first call. Never blocks.
  /// @param end_reads whether nothing more is read; otherwise the client may still read the answer
  void Refuse(IngressReason reason, bool end_reads);
  bool refused() const { return m_refused; }
  /// @brief The socket is about to be closed: its descriptor must not be used any more.
  void Close();

 private:
  IngressGate& m_gate;
  const IngressId m_id;
  std::atomic<bool> m_refused{false};
  std::mutex m_mutex;
  // -1 once the socket is closed; guarded by m_mutex
  int m_descriptor;
};

using IngressConnectionPtr = std::shared_ptr<IngressConnection>;

/// @brief Lets connections in, and closes those that the budget says to. Thread-safe.
class IngressGate {
 public:
  /// All references must outlive the gate.
  IngressGate(const IngressLimits& limits, const std::string& eviction_order, const Clock& clock,
              Metrics& metrics, EventLog& log);
  ~IngressGate();
  IngressGate(const IngressGate&) = delete;
  IngressGate& operator=(const IngressGate&) = delete;

  /// @return the connection, or null if it was refused; the caller then closes its socket.
  IngressConnectionPtr Open(IngressListener listener, int descriptor);
  /// @brief Accounts for the progress of a request and closes other connections if need be.
  /// @return why the request is refused, or `kNone`
  IngressReason Receive(IngressConnection& connection, const RequestProgress& progress,
                        bool complete, std::size_t max_body_bytes);
  void HoldAnswer(IngressConnection& connection, std::size_t bytes);
  void Answered(IngressConnection& connection);
  /// @brief See `IngressBudget::Trust`.
  void Trust(IngressConnection& connection);
  void Forget(IngressConnection& connection);
  /// @brief Closes connections whose request takes too long, and reports refusals to the log. To be
  /// called now and then. Complexity: constant if no request is unfinished.
  void Sweep();
  /// @brief Counts a refused or closed connection.
  void Count(IngressReason reason, const char* what);
  const IngressBudget& budget() const { return m_budget; }
  /// @return gauges in the Prometheus text format
  std::string RenderGauges() const;

 private:
  void CloseAll(const std::vector<IngressId>& ids, IngressReason reason);

  const Clock& m_clock;
  Metrics& m_metrics;
  EventLog& m_log;
  IngressBudget m_budget;
  std::atomic<IngressId> m_next_id{1};
  std::mutex m_mutex;
  // guarded by m_mutex
  std::unordered_map<IngressId, std::weak_ptr<IngressConnection>> m_connections;
  // since the last line of the log, by reason; guarded by m_mutex
  std::map<IngressReason, std::uint64_t> m_unreported;
  // guarded by m_mutex
  Instant m_swept_at{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_INGRESS_GATE_H_
