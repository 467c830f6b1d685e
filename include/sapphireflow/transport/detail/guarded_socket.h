// Part of transport: the socket type of the HTTP server, which asks the ingress gate before bytes
// reach the server's parser.
#ifndef SAPPHIREFLOW_TRANSPORT_DETAIL_GUARDED_SOCKET_H_
#define SAPPHIREFLOW_TRANSPORT_DETAIL_GUARDED_SOCKET_H_

#include <memory>
#include <restinio/asio_include.hpp>
#include <utility>

#include "sapphireflow/transport/detail/request_scanner.h"
#include "sapphireflow/transport/http.h"
#include "sapphireflow/transport/ingress_gate.h"

namespace sapphireflow::detail {

/// @brief What the sockets of one server need; found by their event loop.
class IngressContext : public asio::execution_context::service {
 public:
  // names required by Asio
  using key_type = IngressContext;               // NOLINT(readability-identifier-naming)
  static inline asio::execution_context::id id;  // NOLINT(readability-identifier-naming)

  explicit IngressContext(asio::execution_context& owner)
      : asio::execution_context::service(owner) {}
  /// @param gate null for no limits
  void Set(IngressGate* gate, IngressListener listener, const HttpHandler& handler) {
    m_gate = gate;
    m_listener = listener;
    m_handler = &handler;
  }
  IngressGate* gate() const { return m_gate; }
  IngressListener listener() const { return m_listener; }
  const HttpHandler& handler() const { return *m_handler; }

 private:
  void shutdown() override {}

  IngressGate* m_gate = nullptr;
  IngressListener m_listener = IngressListener::kCallers;
  const HttpHandler* m_handler = nullptr;
};

/// @brief The connection whose data this thread is handling, while it does.
class CurrentConnection {
 public:
  explicit CurrentConnection(const IngressConnectionPtr& connection)
      : m_previous(std::exchange(Slot(), connection ? &connection : nullptr)) {}
  ~CurrentConnection() { Slot() = m_previous; }
  CurrentConnection(const CurrentConnection&) = delete;
  CurrentConnection& operator=(const CurrentConnection&) = delete;
  /// @return null if there is none
  static IngressConnectionPtr Get() { return Slot() != nullptr ? *Slot() : nullptr; }

 private:
  static const IngressConnectionPtr*& Slot() {
    thread_local const IngressConnectionPtr* current = nullptr;
    return current;
  }
  const IngressConnectionPtr* m_previous;
};

/// @brief A TCP socket as RESTinio uses it. The names of its functions are those of Asio.
class GuardedSocket : public asio::ip::tcp::socket {
 public:
  explicit GuardedSocket(asio::io_context& context)
      : asio::ip::tcp::socket(context), m_context(&asio::use_service<IngressContext>(context)) {}
  GuardedSocket(GuardedSocket&&) = default;
  GuardedSocket& operator=(GuardedSocket&&) = delete;
  ~GuardedSocket() { Release(); }

  template <class Handler>
  void async_read_some(const asio::mutable_buffer& buffer, Handler&& handler) {
    if (m_context->gate() != nullptr && !m_connection && !Admit()) {
      const auto executor = asio::get_associated_executor(handler, get_executor());
      asio::post(executor, [done = std::forward<Handler>(handler)]() mutable {
        done(asio::error::make_error_code(asio::error::eof), std::size_t{0});
      });
      return;
    }
    Read(buffer, std::forward<Handler>(handler));
  }

  template <class Buffers, class Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    const auto executor = asio::get_associated_executor(handler, get_executor());
    // a completed write may lead to the handling of the next request
    asio::ip::tcp::socket::async_write_some(
        buffers, asio::bind_executor(
                     executor, [connection = m_connection, done = std::forward<Handler>(handler)](
                                   const asio::error_code& error, std::size_t length) mutable {
                       const CurrentConnection current(connection);
                       done(error, length);
                     }));
  }

  void close() {
    Release();
    asio::ip::tcp::socket::close();
  }

 private:
  enum class Step { kContinue, kDiscard, kEnd };

  bool Admit() {
    m_connection = m_context->gate()->Open(m_context->listener(), native_handle());
    return m_connection != nullptr;
  }

  void Release() {
    if (m_connection) m_connection->Close();
  }

  template <class Handler>
  void Read(const asio::mutable_buffer& buffer, Handler&& handler) {
    const auto executor = asio::get_associated_executor(handler, get_executor());
    // the handler keeps the connection alive, of which this socket is a part
    asio::ip::tcp::socket::async_read_some(
        buffer, asio::bind_executor(executor, [this, buffer, done = std::forward<Handler>(handler)](
                                                  const asio::error_code& error,
                                                  std::size_t length) mutable {
          const IngressConnectionPtr connection = m_connection;
          const CurrentConnection current(connection);
          const Step step = error || !connection
                                ? Step::kContinue
                                : Inspect(static_cast<const char*>(buffer.data()), length);
          if (step == Step::kContinue) return done(error, length);
          if (step == Step::kDiscard) return Read(buffer, std::move(done));
          done(asio::error::make_error_code(asio::error::connection_reset), std::size_t{0});
        }));
  }

  Step Inspect(const char* data, std::size_t length);

  IngressContext* m_context;
  // null before the first read and without limits
  IngressConnectionPtr m_connection;
  RequestScanner m_scanner;
  // how much of a refused request is read, so that the client sees the answer
  std::size_t m_discarded = 0;
};

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_TRANSPORT_DETAIL_GUARDED_SOCKET_H_
