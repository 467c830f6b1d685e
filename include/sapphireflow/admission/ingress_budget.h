// Part of admission: decides which clients are refused and which connections are closed, so that
// what all clients together make a process hold stays within its limits.
#ifndef SAPPHIREFLOW_ADMISSION_INGRESS_BUDGET_H_
#define SAPPHIREFLOW_ADMISSION_INGRESS_BUDGET_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "sapphireflow/admission/eviction_order.h"
#include "sapphireflow/admission/ingress_limits.h"

namespace sapphireflow {

using IngressId = std::uint64_t;

/// @brief Why a request is refused or a connection closed.
enum class IngressReason {
  kNone,
  kHeadTooLarge,
  kBodyTooLarge,
  kTooManyChunks,
  kTooSlow,
  kOverBudget,
  kTooManyConnections,
};

/// @return the HTTP status of a refusal for this reason
int HttpStatusOf(IngressReason reason);
/// @return the reason as it appears in metrics and logs
const char* NameOf(IngressReason reason);

/// @brief What to do with a connection, and which others to close.
class IngressVerdict : public Comparable<IngressVerdict> {
 public:
  explicit IngressVerdict(IngressReason refusal = IngressReason::kNone,
                          std::vector<IngressId> to_close = {})
      : m_refusal(refusal), m_to_close(std::move(to_close)) {}
  /// @brief `kNone` to continue.
  IngressReason refusal() const { return m_refusal; }
  bool refused() const { return m_refusal != IngressReason::kNone; }
  /// @brief Other connections to close. They count until `Close` is called for them.
  const std::vector<IngressId>& to_close() const { return m_to_close; }
  auto Fields() const { return std::tie(m_refusal, m_to_close); }

 private:
  IngressReason m_refusal;
  std::vector<IngressId> m_to_close;
};

/// @brief Counts what each connection holds. Thread-safe: the state is in shards by connection, the
/// sums are atomic.
///
/// Invariants: the bytes held never exceed `limits.bytes()`; a connection that holds more than
/// `kSmallBytes` beyond its base takes nothing of `limits.reserved_bytes()`.
class IngressBudget {
 public:
  /// @brief Memory of an open connection without a request: its objects and its read buffer.
  static constexpr std::size_t kConnectionBytes = 8U << 10;
  /// @brief The same of a peer's connection, whose handshake is part of it.
  static constexpr std::size_t kPeerConnectionBytes = 64U << 10;
  /// @brief Requests that hold at most this may use the reserve.
  static constexpr std::size_t kSmallBytes = 64U << 10;

  IngressBudget(const IngressLimits& limits, const std::string& eviction_order);

  /// @brief A connection was accepted. If it is refused, it is not counted, and `Close` need not be
  /// called. Complexity: constant, and linear in the connections when a bound is reached.
  IngressVerdict Open(IngressId id, IngressListener listener, Instant now);
  /// @brief Bytes of a request that is not complete arrived. To be called before they are kept.
  /// Complexity: as for `Open`.
  /// @param max_body_bytes limit of a body that is in force now
  IngressVerdict Receive(IngressId id, const RequestProgress& progress, std::size_t max_body_bytes,
                         Instant now);
  /// @brief A request is complete and goes to its handler. What it holds counts until it is
  /// answered. To be called before the bytes are kept. A refused request has not been handled.
  IngressVerdict Complete(IngressId id, const RequestProgress& progress, std::size_t max_body_bytes,
                          Instant now);
  /// @brief An answer waits to be written.
  void HoldAnswer(IngressId id, std::size_t bytes);
  /// @brief A request was answered, or its answer was dropped.
  void Answered(IngressId id, Instant now);
  /// @brief The client has proven to be a part of the system: its connection is never chosen to be
  /// closed.
  void Trust(IngressId id);
  void Close(IngressId id);
  /// @brief Connections whose request has taken longer than allowed. They are reported once.
  /// Complexity: constant if no request is unfinished, otherwise linear in the connections.
  std::vector<IngressId> TakeExpired(Instant now);

  const IngressLimits& limits() const { return m_limits; }
  std::size_t held_bytes() const { return m_held; }
  std::size_t CountConnections(IngressListener listener) const;

 private:
  struct Connection {
    IngressListener listener = IngressListener::kCallers;
    // unfinished request, or since when the connection is idle
    Instant since{};
    bool reading = false;
    bool head_complete = false;
    bool served = false;
    // was told to the caller to be closed
    bool closing = false;
    bool trusted = false;
    // complete requests
    std::size_t unanswered = 0;
    std::size_t base_bytes = 0;
    std::size_t request_bytes = 0;
    // of complete requests and of answers
    std::size_t answer_bytes = 0;
    bool Evictable() const { return !closing && !trusted && unanswered == 0; }
    std::size_t HeldBytes() const { return base_bytes + request_bytes + answer_bytes; }
  };
  struct Shard {
    mutable std::mutex mutex;
    // invariant: guarded by mutex
    std::unordered_map<IngressId, Connection> connections;
  };
  struct Victim {
    IngressId id = 0;
    EvictionCandidate candidate;
  };
  static constexpr std::size_t kShards = 8;
  static constexpr std::size_t kListeners = 4;

  Shard& ShardOf(IngressId id) { return m_shards[id % kShards]; }
  std::atomic<std::size_t>& CountOf(IngressListener listener) {
    return m_counts[static_cast<std::size_t>(listener)];
  }
  IngressReason CheckRequest(const RequestProgress& progress, std::size_t max_body_bytes) const;
  IngressVerdict Take(IngressId id, const RequestProgress& progress, std::size_t max_body_bytes,
                      bool complete, Instant now);
  // raises the sum by `bytes` unless it would exceed `ceiling`
  bool TryHold(std::size_t bytes, std::size_t ceiling);
  void SetReading(Connection& connection, bool reading);
  void MarkClosing(Connection& connection);
  // connections without a request that waits for an answer, the first to be closed first
  std::vector<Victim> RankVictims(IngressId except, Instant now,
                                  const IngressListener* listener) const;
  std::vector<IngressId> CloseToFreeBytes(IngressId except, Instant now);
  std::vector<IngressId> CloseToFreeConnections(IngressListener listener, Instant now);
  // marks the connection unless it got a request meanwhile; returns whether it did
  bool MarkVictim(IngressId id);

  const IngressLimits m_limits;
  const std::unique_ptr<const EvictionOrder> m_order;
  std::array<Shard, kShards> m_shards;
  std::atomic<std::size_t> m_held{0};
  // of connections that are being closed; part of m_held
  std::atomic<std::size_t> m_closing_bytes{0};
  std::array<std::atomic<std::size_t>, kListeners> m_counts{};
  std::array<std::atomic<std::size_t>, kListeners> m_closing_counts{};
  // connections with an unfinished request
  std::atomic<std::size_t> m_reading{0};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ADMISSION_INGRESS_BUDGET_H_
