// Forwards the bytes of all connections on one thread.
#include "fault_proxy.h"

#include <array>
#include <asio.hpp>
#include <atomic>
#include <map>
#include <set>
#include <thread>
#include <vector>

#include "process_sockets.h"

namespace sapphireflow::soak {
namespace {

using asio::ip::tcp;

constexpr std::size_t kChunkBytes = 16384;
constexpr Duration kDecisionPause = std::chrono::milliseconds(10);

tcp::endpoint Endpoint(const Address& address) {
  return {asio::ip::make_address_v4(address.ip()), address.port()};
}

void Reset(tcp::socket& socket) {
  asio::error_code ignored;
  // with a linger time of 0, close() sends RST
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

struct Faults {
  std::atomic<LinkFault> fault{LinkFault::kNone};
  std::atomic<Duration::rep> delay{0};
};

// A forwarded connection: one socket for each side and one buffer for each direction.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection> {
 public:
  ProxiedConnection(tcp::socket caller, asio::io_context& context, const Faults& faults)
      : m_caller(std::move(caller)), m_callee(context), m_context(context), m_faults(faults) {
    asio::error_code ignored;
    m_caller_port = m_caller.remote_endpoint(ignored).port();
  }

  std::uint16_t caller_port() const { return m_caller_port; }

  void Start(const Address& target) {
    m_callee.async_connect(Endpoint(target), [self = shared_from_this()](asio::error_code failed) {
      if (failed) return self->End();
      asio::error_code ignored;
      self->m_callee.set_option(tcp::no_delay(true), ignored);
      self->m_caller.set_option(tcp::no_delay(true), ignored);
      self->Read(self->m_caller, self->m_callee, self->m_to_callee);
      self->Read(self->m_callee, self->m_caller, self->m_to_caller);
    });
  }

  void Silence() { m_bytes_dropped = true; }

  void End() {
    Reset(m_caller);
    Reset(m_callee);
  }

 private:
  using Buffer = std::array<char, kChunkBytes>;

  void Read(tcp::socket& from, tcp::socket& to, Buffer& buffer) {
    from.async_read_some(asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](
                                                   asio::error_code failed, std::size_t size) {
      if (failed) return self->End();
      self->ForwardChunk(from, to, buffer, size);
    });
  }

  void ForwardChunk(tcp::socket& from, tcp::socket& to, Buffer& buffer, std::size_t size) {
    const LinkFault fault = m_faults.fault;
    const bool lost =
        fault == LinkFault::kSilenced || (fault == LinkFault::kOneWay && &to == &m_caller);
    // Once bytes were dropped, nothing more is forwarded: the receiver could not parse the rest of
    // the stream.
    if (lost) m_bytes_dropped = true;
    if (m_bytes_dropped) return;
    if (fault == LinkFault::kDelayed) {
      const auto timer = std::make_shared<asio::steady_timer>(m_context, Duration(m_faults.delay));
      timer->async_wait([self = shared_from_this(), timer, &from, &to, &buffer,
                         size](asio::error_code) { self->Write(from, to, buffer, size); });
      return;
    }
    Write(from, to, buffer, size);
  }

  void Write(tcp::socket& from, tcp::socket& to, Buffer& buffer, std::size_t size) {
    asio::async_write(
        to, asio::buffer(buffer, size),
        [self = shared_from_this(), &from, &to, &buffer](asio::error_code failed, std::size_t) {
          if (failed) return self->End();
          self->Read(from, to, buffer);
        });
  }

  tcp::socket m_caller;
  tcp::socket m_callee;
  asio::io_context& m_context;
  const Faults& m_faults;
  std::uint16_t m_caller_port = 0;
  bool m_bytes_dropped = false;
  Buffer m_to_callee{};
  Buffer m_to_caller{};
};

}  // namespace

class FaultProxy::Impl {
 public:
  Impl(const Address& listen, const Address& target) : m_listen(listen), m_target(target) {
    Listen(true);
    m_thread = std::thread([this] { m_context.run(); });
  }

  ~Impl() {
    m_context.stop();
    m_thread.join();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void SetFault(LinkFault fault, Duration delay) {
    m_faults.delay = delay.count();
    m_faults.fault = fault;
    if (fault == LinkFault::kRefused || fault == LinkFault::kNotListening) ResetAll();
    asio::post(m_context, [this, fault] { Listen(fault != LinkFault::kNotListening); });
  }

  void ResetAll() {
    asio::post(m_context, [this] {
      for (const auto& weak : m_proxied_connections) {
        if (const auto proxied_connection = weak.lock()) proxied_connection->End();
      }
      m_proxied_connections.clear();
    });
  }

  void SilenceAll() {
    asio::post(m_context, [this] {
      for (const auto& weak : m_proxied_connections) {
        if (const auto proxied_connection = weak.lock()) proxied_connection->Silence();
      }
    });
  }

  void RefuseFrom(std::size_t caller, pid_t process) {
    asio::post(m_context, [this, caller, process] {
      m_refused_callers[caller] = process;
      const std::set<std::uint16_t> ports = LocalTcpPorts(process, m_listen);
      for (const auto& weak : m_proxied_connections) {
        const auto proxied_connection = weak.lock();
        if (proxied_connection && ports.count(proxied_connection->caller_port()) > 0) {
          proxied_connection->End();
        }
      }
    });
  }

  void AcceptFrom(std::size_t caller) {
    asio::post(m_context, [this, caller] { m_refused_callers.erase(caller); });
  }

 private:
  void Listen(bool listen) {
    if (listen == (m_acceptor != nullptr)) return;
    if (listen) {
      m_acceptor = std::make_shared<tcp::acceptor>(m_context, Endpoint(m_listen));
      Accept(m_acceptor);
    } else {
      m_acceptor->close();
      m_acceptor.reset();
    }
  }

  void Accept(const std::shared_ptr<tcp::acceptor>& acceptor) {
    acceptor->async_accept([this, acceptor](asio::error_code failed, tcp::socket caller) {
      if (!acceptor->is_open()) return Reset(caller);
      if (!failed) OnAccepted(std::move(caller));
      Accept(acceptor);
    });
  }

  void OnAccepted(tcp::socket caller) {
    if (m_faults.fault == LinkFault::kRefused) return Reset(caller);
    const auto proxied_connection =
        std::make_shared<ProxiedConnection>(std::move(caller), m_context, m_faults);
    m_proxied_connections.insert(proxied_connection);
    if (m_refused_callers.empty()) return proxied_connection->Start(m_target);
    m_undecided.push_back(proxied_connection);
    if (m_undecided.size() > 1) return;
    // decided together, since each look at the sockets of a process takes long
    m_decision.expires_after(kDecisionPause);
    m_decision.async_wait([this](asio::error_code) { DecideAccepted(); });
  }

  void DecideAccepted() {
    std::set<std::uint16_t> refused_ports;
    for (const auto& [caller, process] : m_refused_callers) {
      refused_ports.merge(LocalTcpPorts(process, m_listen));
    }
    for (const auto& proxied_connection : m_undecided) {
      if (refused_ports.count(proxied_connection->caller_port()) > 0) {
        proxied_connection->End();
      } else {
        proxied_connection->Start(m_target);
      }
    }
    m_undecided.clear();
  }

  const Address m_listen;
  const Address m_target;
  Faults m_faults;
  asio::io_context m_context;
  // the thread goes on while the proxy does not listen
  const asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
  // accessed by the proxy's thread only, once it runs
  // null while the proxy does not listen
  std::shared_ptr<tcp::acceptor> m_acceptor;
  std::set<std::weak_ptr<ProxiedConnection>, std::owner_less<std::weak_ptr<ProxiedConnection>>>
      m_proxied_connections;
  std::map<std::size_t, pid_t> m_refused_callers;
  // accepted, but not yet known to come from a process that is not refused
  std::vector<std::shared_ptr<ProxiedConnection>> m_undecided;
  asio::steady_timer m_decision{m_context};
  std::thread m_thread;
};

FaultProxy::FaultProxy(const Address& listen, const Address& target)
    : m_impl(std::make_unique<Impl>(listen, target)) {}
FaultProxy::~FaultProxy() = default;
void FaultProxy::SetFault(LinkFault fault, Duration delay) { m_impl->SetFault(fault, delay); }
void FaultProxy::ResetAll() { m_impl->ResetAll(); }
void FaultProxy::SilenceAll() { m_impl->SilenceAll(); }
void FaultProxy::RefuseFrom(std::size_t caller, pid_t process) {
  m_impl->RefuseFrom(caller, process);
}
void FaultProxy::AcceptFrom(std::size_t caller) { m_impl->AcceptFrom(caller); }

}  // namespace sapphireflow::soak
