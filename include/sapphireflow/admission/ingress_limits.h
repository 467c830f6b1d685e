// Part of admission: limits on what clients may make a process hold, and what one request holds.
#ifndef SAPPHIREFLOW_ADMISSION_INGRESS_LIMITS_H_
#define SAPPHIREFLOW_ADMISSION_INGRESS_LIMITS_H_

#include <cstddef>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief The listeners of a process. Each has its own bound on connections, so that a flood on one
/// leaves the others reachable.
enum class IngressListener { kCallers, kReadiness, kMetrics, kPeers };

/// @brief Limits of one request.
class RequestLimits : public Comparable<RequestLimits> {
 public:
  RequestLimits() = default;
  RequestLimits(std::size_t head_bytes, std::size_t fields, std::size_t chunks,
                Duration head_timeout, Duration body_timeout)
      : m_head_bytes(head_bytes),
        m_fields(fields),
        m_chunks(chunks),
        m_head_timeout(head_timeout),
        m_body_timeout(body_timeout) {}
  /// @brief Bytes before the end of the head, including empty lines before it, and of the trailer.
  std::size_t head_bytes() const { return m_head_bytes; }
  /// @brief Fields of the head and of the trailer.
  std::size_t fields() const { return m_fields; }
  std::size_t chunks() const { return m_chunks; }
  /// @brief Time from the first byte of a request until its head must be complete.
  Duration head_timeout() const { return m_head_timeout; }
  /// @brief Time from the first byte of a request until its body must be complete.
  Duration body_timeout() const { return m_body_timeout; }
  auto Fields() const {
    return std::tie(m_head_bytes, m_fields, m_chunks, m_head_timeout, m_body_timeout);
  }

 private:
  std::size_t m_head_bytes = 32U << 10;
  std::size_t m_fields = 256;
  // a body of 1 MiB in chunks of 64 bytes
  std::size_t m_chunks = 16384;
  Duration m_head_timeout = std::chrono::seconds(20);
  Duration m_body_timeout = std::chrono::seconds(60);
};

/// @brief Bounds of the process on bytes and connections of all its listeners.
class IngressLimits : public Comparable<IngressLimits> {
 public:
  IngressLimits(std::size_t bytes, std::size_t reserved_bytes, std::size_t connections,
                const RequestLimits& request)
      : m_bytes(bytes),
        m_reserved_bytes(reserved_bytes),
        m_connections(connections),
        m_request(request) {}

  /// @brief Derives the bounds from the memory and the file descriptors of a machine.
  static IngressLimits ForMachine(std::size_t memory_mb, std::size_t max_descriptors,
                                  const RequestLimits& request = RequestLimits());

  /// @brief Bytes that all connections together may hold.
  std::size_t bytes() const { return m_bytes; }
  /// @brief Part of `bytes` that only connections that hold little may use.
  std::size_t reserved_bytes() const { return m_reserved_bytes; }
  /// @brief Connections that clients may have open at all listeners together.
  std::size_t connections() const { return m_connections; }
  /// @brief Connections that clients may have open at one listener. The sum over all listeners is
  /// at most `connections`.
  std::size_t ConnectionsOf(IngressListener listener) const;
  const RequestLimits& request() const { return m_request; }
  auto Fields() const { return std::tie(m_bytes, m_reserved_bytes, m_connections, m_request); }

 private:
  std::size_t m_bytes;
  // invariant: <= m_bytes
  std::size_t m_reserved_bytes;
  std::size_t m_connections;
  RequestLimits m_request;
};

/// @brief How much of one request has arrived.
class RequestProgress : public Comparable<RequestProgress> {
 public:
  RequestProgress() = default;
  RequestProgress(std::size_t head_bytes, std::size_t fields, std::size_t declared_bytes,
                  std::size_t body_bytes, std::size_t chunks, bool chunked, bool head_complete)
      : m_head_bytes(head_bytes),
        m_fields(fields),
        m_declared_bytes(declared_bytes),
        m_body_bytes(body_bytes),
        m_chunks(chunks),
        m_chunked(chunked),
        m_head_complete(head_complete) {}
  std::size_t head_bytes() const { return m_head_bytes; }
  std::size_t fields() const { return m_fields; }
  /// @brief Length of the body as the head or the chunks so far declare it.
  std::size_t declared_bytes() const { return m_declared_bytes; }
  std::size_t body_bytes() const { return m_body_bytes; }
  std::size_t chunks() const { return m_chunks; }
  bool chunked() const { return m_chunked; }
  bool head_complete() const { return m_head_complete; }
  /// @brief Upper estimate of the memory that the HTTP library holds for the request.
  std::size_t HeldBytes() const;
  auto Fields() const {
    return std::tie(m_head_bytes, m_fields, m_declared_bytes, m_body_bytes, m_chunks, m_chunked,
                    m_head_complete);
  }

 private:
  std::size_t m_head_bytes = 0;
  std::size_t m_fields = 0;
  std::size_t m_declared_bytes = 0;
  std::size_t m_body_bytes = 0;
  std::size_t m_chunks = 0;
  bool m_chunked = false;
  bool m_head_complete = false;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ADMISSION_INGRESS_LIMITS_H_
