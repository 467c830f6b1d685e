// Part of admission: accounting of connections and the choice of those to close.
#include "sapphireflow/admission/ingress_budget.h"

#include <algorithm>

namespace sapphireflow {
namespace {

// the process without clients: 13 MB when idle, twice that with a fleet's lists and jobs
constexpr std::size_t kProcessMb = 24;
// The rest is halved: what clients hold is copied while it is decoded, and the allocator does not
// return all that is freed.
constexpr std::size_t kMemoryShare = 2;
constexpr std::size_t kReserveShare = 4;
constexpr std::size_t kMinBytes = 4U << 20;
constexpr std::size_t kBytesPerMb = 1U << 20;
// for the program, logs, the event loops and the libraries' own descriptors
constexpr std::size_t kReservedDescriptors = 200;
// one in eight is left for connections to workers, peers and the store
constexpr std::size_t kOutgoingShare = 8;
constexpr std::size_t kMinConnections = 16;
constexpr std::size_t kIdleShare = 2;
// for readiness, metrics and peers: at most this, and at most a quarter
constexpr std::size_t kMaxReservedConnections = 256;
constexpr std::size_t kReservedConnectionShare = 4;
// connections that may be open beyond a listener's bound while others are being closed
constexpr std::size_t kClosingShare = 8;
// victims chosen at once, so that a flood does not rank all connections for each one
constexpr std::size_t kBatchShare = 32;

// two strings and their place in a list that doubles when it is full
constexpr std::size_t kFieldBytes = 192;
// the library's record of a chunk, in a list that doubles when it is full
constexpr std::size_t kChunkBytes = 48;
// a string that grows has up to twice its size
constexpr std::size_t kGrowthFactor = 2;

}  // namespace

IngressLimits IngressLimits::ForMachine(std::size_t memory_mb, std::size_t max_descriptors,
                                        const RequestLimits& request) {
  const std::size_t free_mb = memory_mb > kProcessMb ? memory_mb - kProcessMb : 0;
  const std::size_t bytes = std::max(kMinBytes, free_mb * kBytesPerMb / kMemoryShare);
  const std::size_t descriptors =
      max_descriptors > kReservedDescriptors ? max_descriptors - kReservedDescriptors : 0;
  // idle connections take at most half of the bytes
  const std::size_t connections =
      std::max(kMinConnections, std::min(descriptors - descriptors / kOutgoingShare,
                                         bytes / kIdleShare / IngressBudget::kConnectionBytes));
  return {bytes, bytes / kReserveShare, connections, request};
}

std::size_t IngressLimits::ConnectionsOf(IngressListener listener) const {
  const std::size_t reserved =
      std::min(kMaxReservedConnections, m_connections / kReservedConnectionShare);
  switch (listener) {
    case IngressListener::kReadiness:
    case IngressListener::kMetrics:
      return reserved / 4;
    case IngressListener::kPeers:
      return reserved / 2;
    default:
      return m_connections - reserved;
  }
}

std::size_t RequestProgress::HeldBytes() const {
  const std::size_t head = kGrowthFactor * m_head_bytes + kFieldBytes * m_fields;
  const std::size_t body = m_chunked ? kGrowthFactor * m_body_bytes : m_body_bytes;
  return head + body + kChunkBytes * m_chunks;
}

int HttpStatusOf(IngressReason reason) {
  constexpr int kRequestTimeout = 408;
  constexpr int kPayloadTooLarge = 413;
  constexpr int kHeaderFieldsTooLarge = 431;
  constexpr int kServiceUnavailable = 503;
  switch (reason) {
    case IngressReason::kHeadTooLarge:
      return kHeaderFieldsTooLarge;
    case IngressReason::kBodyTooLarge:
    case IngressReason::kTooManyChunks:
      return kPayloadTooLarge;
    case IngressReason::kTooSlow:
      return kRequestTimeout;
    default:
      return kServiceUnavailable;
  }
}

const char* NameOf(IngressReason reason) {
  switch (reason) {
    case IngressReason::kNone:
      return "none";
    case IngressReason::kHeadTooLarge:
      return "head_too_large";
    case IngressReason::kBodyTooLarge:
      return "body_too_large";
    case IngressReason::kTooManyChunks:
      return "too_many_chunks";
    case IngressReason::kTooSlow:
      return "too_slow";
    case IngressReason::kOverBudget:
      return "over_budget";
    case IngressReason::kTooManyConnections:
      return "too_many_connections";
  }
  return "";
}

IngressBudget::IngressBudget(const IngressLimits& limits, const std::string& eviction_order)
    : m_limits(limits), m_order(MakeEvictionOrder(eviction_order)) {}

IngressVerdict IngressBudget::Open(IngressId id, IngressListener listener, Instant now) {
  const std::size_t limit = m_limits.ConnectionsOf(listener);
  const std::size_t count = CountOf(listener).fetch_add(1);
  std::vector<IngressId> to_close;
  const auto closing = static_cast<std::size_t>(listener);
  if (count >= limit && count - std::min(count, m_closing_counts[closing].load()) >= limit) {
    to_close = CloseToFreeConnections(listener, now);
  }
  if (count >= limit &&
      (m_closing_counts[closing] == 0 || count >= limit + limit / kClosingShare)) {
    --CountOf(listener);
    return IngressVerdict(IngressReason::kTooManyConnections, std::move(to_close));
  }
  const std::size_t base =
      listener == IngressListener::kPeers ? kPeerConnectionBytes : kConnectionBytes;
  if (!TryHold(base, m_limits.bytes())) {
    --CountOf(listener);
    const auto freed = CloseToFreeBytes(id, now);
    to_close.insert(to_close.end(), freed.begin(), freed.end());
    return IngressVerdict(IngressReason::kOverBudget, std::move(to_close));
  }
  Connection connection;
  connection.listener = listener;
  connection.since = now;
  connection.base_bytes = base;
  Shard& shard = ShardOf(id);
  std::lock_guard<std::mutex> lock(shard.mutex);
  shard.connections.emplace(id, connection);
  return IngressVerdict(IngressReason::kNone, std::move(to_close));
}

IngressVerdict IngressBudget::Receive(IngressId id, const RequestProgress& progress,
                                      std::size_t max_body_bytes, Instant now) {
  return Take(id, progress, max_body_bytes, false, now);
}

IngressVerdict IngressBudget::Complete(IngressId id, const RequestProgress& progress,
                                       std::size_t max_body_bytes, Instant now) {
  return Take(id, progress, max_body_bytes, true, now);
}

IngressReason IngressBudget::CheckRequest(const RequestProgress& progress,
                                          std::size_t max_body_bytes) const {
  const RequestLimits& limits = m_limits.request();
  if (progress.head_bytes() > limits.head_bytes() || progress.fields() > limits.fields()) {
    return IngressReason::kHeadTooLarge;
  }
  if (std::max(progress.declared_bytes(), progress.body_bytes()) > max_body_bytes) {
    return IngressReason::kBodyTooLarge;
  }
  if (progress.chunks() > limits.chunks()) return IngressReason::kTooManyChunks;
  return IngressReason::kNone;
}

IngressVerdict IngressBudget::Take(IngressId id, const RequestProgress& progress,
                                   std::size_t max_body_bytes, bool complete, Instant now) {
  const IngressReason fault = CheckRequest(progress, max_body_bytes);
  if (fault != IngressReason::kNone) return IngressVerdict(fault);
  const std::size_t bytes = progress.HeldBytes();
  bool held = true;
  {
    Shard& shard = ShardOf(id);
    std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.connections.find(id);
    if (found == shard.connections.end() || found->second.closing) {
      return IngressVerdict(IngressReason::kOverBudget);
    }
    Connection& connection = found->second;
    const std::size_t others = connection.answer_bytes + bytes;
    const std::size_t ceiling =
        others <= kSmallBytes ? m_limits.bytes() : m_limits.bytes() - m_limits.reserved_bytes();
    if (bytes > connection.request_bytes) {
      held = TryHold(bytes - connection.request_bytes, ceiling);
    } else {
      m_held -= connection.request_bytes - bytes;
    }
    if (held) {
      connection.request_bytes = bytes;
      if (!connection.reading) connection.since = now;
      connection.head_complete = progress.head_complete();
      SetReading(connection, !complete);
      if (complete) {
        ++connection.unanswered;
        connection.answer_bytes += bytes;
        connection.request_bytes = 0;
        connection.head_complete = false;
      }
    }
  }
  if (!held) return IngressVerdict(IngressReason::kOverBudget, CloseToFreeBytes(id, now));
  const std::size_t closing = m_closing_bytes;
  const std::size_t all = m_held;
  if (all - std::min(all, closing) > m_limits.bytes() - m_limits.reserved_bytes()) {
    return IngressVerdict(IngressReason::kNone, CloseToFreeBytes(id, now));
  }
  return IngressVerdict();
}

void IngressBudget::HoldAnswer(IngressId id, std::size_t bytes) {
  Shard& shard = ShardOf(id);
  std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.connections.find(id);
  if (found == shard.connections.end() || found->second.closing) return;
  // an answer of a job that has run is never dropped: what does not fit is not counted
  if (TryHold(bytes, m_limits.bytes())) found->second.answer_bytes += bytes;
}

void IngressBudget::Answered(IngressId id, Instant now) {
  Shard& shard = ShardOf(id);
  std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.connections.find(id);
  if (found == shard.connections.end()) return;
  Connection& connection = found->second;
  connection.served = true;
  if (connection.unanswered > 0) --connection.unanswered;
  if (connection.unanswered > 0) return;
  m_held -= connection.answer_bytes;
  if (connection.closing) m_closing_bytes -= connection.answer_bytes;
  connection.answer_bytes = 0;
  if (!connection.reading) connection.since = now;
}

void IngressBudget::Trust(IngressId id) {
  Shard& shard = ShardOf(id);
  std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.connections.find(id);
  if (found != shard.connections.end()) found->second.trusted = true;
}

void IngressBudget::Close(IngressId id) {
  Shard& shard = ShardOf(id);
  std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.connections.find(id);
  if (found == shard.connections.end()) return;
  Connection& connection = found->second;
  SetReading(connection, false);
  m_held -= connection.HeldBytes();
  if (connection.closing) {
    m_closing_bytes -= connection.HeldBytes();
    --m_closing_counts[static_cast<std::size_t>(connection.listener)];
  }
  --CountOf(connection.listener);
  shard.connections.erase(found);
}

std::vector<IngressId> IngressBudget::TakeExpired(Instant now) {
  std::vector<IngressId> expired;
  if (m_reading == 0) return expired;
  for (Shard& shard : m_shards) {
    std::lock_guard<std::mutex> lock(shard.mutex);
    for (auto& [id, connection] : shard.connections) {
      if (!connection.reading || connection.closing) continue;
      const Duration limit = connection.head_complete ? m_limits.request().body_timeout()
                                                      : m_limits.request().head_timeout();
      // a request behind one that waits for its answer is not read on
      if (connection.unanswered > 0 || now - connection.since <= limit) continue;
      MarkClosing(connection);
      expired.push_back(id);
    }
  }
  return expired;
}

std::size_t IngressBudget::CountConnections(IngressListener listener) const {
  return m_counts[static_cast<std::size_t>(listener)];
}

bool IngressBudget::TryHold(std::size_t bytes, std::size_t ceiling) {
  std::size_t before = m_held;
  do {
    if (before + bytes > ceiling) return false;
  } while (!m_held.compare_exchange_weak(before, before + bytes));
  return true;
}

void IngressBudget::SetReading(Connection& connection, bool reading) {
  if (reading && !connection.reading) ++m_reading;
  if (!reading && connection.reading) --m_reading;
  connection.reading = reading;
}

void IngressBudget::MarkClosing(Connection& connection) {
  connection.closing = true;
  m_closing_bytes += connection.HeldBytes();
  ++m_closing_counts[static_cast<std::size_t>(connection.listener)];
}

std::vector<IngressBudget::Victim> IngressBudget::RankVictims(
    IngressId except, Instant now, const IngressListener* listener) const {
  std::vector<Victim> victims;
  for (const Shard& shard : m_shards) {
    std::lock_guard<std::mutex> lock(shard.mutex);
    for (const auto& [id, connection] : shard.connections) {
      if (id == except || !connection.Evictable()) continue;
      if (listener != nullptr && connection.listener != *listener) continue;
      victims.push_back({id, EvictionCandidate(connection.HeldBytes(), connection.since,
                                               connection.reading, connection.served)});
    }
  }
  std::sort(victims.begin(), victims.end(), [this, now](const Victim& a, const Victim& b) {
    return m_order->Before(a.candidate, b.candidate, now);
  });
  return victims;
}

bool IngressBudget::MarkVictim(IngressId id) {
  Shard& shard = ShardOf(id);
  std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.connections.find(id);
  if (found == shard.connections.end()) return false;
  Connection& connection = found->second;
  if (!connection.Evictable()) return false;
  MarkClosing(connection);
  return true;
}

std::vector<IngressId> IngressBudget::CloseToFreeBytes(IngressId except, Instant now) {
  std::vector<IngressId> closed;
  const std::size_t target = m_limits.bytes() - m_limits.reserved_bytes();
  // frees a part of the target at once, so that not each read ranks all connections
  const std::size_t margin = target / kBatchShare;
  for (const Victim& victim : RankVictims(except, now, nullptr)) {
    const std::size_t all = m_held;
    if (all - std::min(all, m_closing_bytes.load()) + margin <= target) break;
    // idle connections hold no more than their base
    if (!victim.candidate.reading()) continue;
    if (MarkVictim(victim.id)) closed.push_back(victim.id);
  }
  return closed;
}

std::vector<IngressId> IngressBudget::CloseToFreeConnections(IngressListener listener,
                                                             Instant now) {
  std::vector<IngressId> closed;
  const std::size_t wanted =
      std::max<std::size_t>(1, m_limits.ConnectionsOf(listener) / kBatchShare);
  for (const Victim& victim : RankVictims(0, now, &listener)) {
    if (closed.size() >= wanted) break;
    if (MarkVictim(victim.id)) closed.push_back(victim.id);
  }
  return closed;
}

}  // namespace sapphireflow
