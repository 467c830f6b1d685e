// Part of transport: what happens with the bytes that a socket has read.
#include "sapphireflow/transport/detail/guarded_socket.h"

namespace sapphireflow::detail {
namespace {

// A connection that is closed with unread bytes is reset, and the client may lose the answer. More
// than this is not read for a refused request.
constexpr std::size_t kMaxDiscardedBytes = 4U << 20;

}  // namespace

GuardedSocket::Step GuardedSocket::Inspect(const char* data, std::size_t length) {
  if (m_connection->refused()) {
    m_discarded += length;
    return m_discarded < kMaxDiscardedBytes ? Step::kDiscard : Step::kEnd;
  }
  if (m_scanner.malformed()) return Step::kEnd;
  std::size_t at = 0;
  while (at < length) {
    at += m_scanner.Scan(data + at, length - at);
    // the server's parser fails as well, and closes the connection
    if (m_scanner.malformed()) return Step::kContinue;
    const RequestProgress progress = m_scanner.progress();
    const std::size_t body_limit =
        progress.declared_bytes() > 0 ? m_context->handler().max_body_bytes() : 0;
    const IngressReason reason =
        m_context->gate()->Receive(*m_connection, progress, m_scanner.complete(), body_limit);
    if (reason == IngressReason::kNone) continue;
    // what the server holds of the request is freed only when the connection is closed
    const bool end = progress.HeldBytes() > IngressBudget::kSmallBytes;
    m_connection->Refuse(reason, end);
    return end ? Step::kEnd : Step::kDiscard;
  }
  return Step::kContinue;
}

}  // namespace sapphireflow::detail
