// Part of transport: the peer links' implementation on websocketpp.
#include "sapphireflow/transport/peer_links.h"

#include <netinet/tcp.h>
#include <sys/random.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <exception>
#include <map>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "loop_delay_probe.h"

namespace sapphireflow {
namespace {

/// Masking keys of frames, as unpredictable as those of `std::random_device`, which makes a system
/// call for each. Thread-safe, because all connections share one object.
class MaskingKeys {
 public:
  std::uint32_t operator()() {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_next == m_keys.size()) {
      // without its result, keys would repeat; the kernel gives up to 256 bytes without a failure
      const auto size = static_cast<ssize_t>(sizeof m_keys);
      if (getrandom(m_keys.data(), sizeof m_keys, 0) != size) {
        throw std::system_error(errno, std::generic_category(), "getrandom");
      }
      m_next = 0;
    }
    return m_keys[m_next++];
  }

 private:
  static constexpr std::size_t kKeysPerCall = 64;
  std::mutex m_mutex;
  // both guarded by m_mutex
  std::array<std::uint32_t, kKeysPerCall> m_keys{};
  std::size_t m_next = kKeysPerCall;
};

struct ClientConfig : public websocketpp::config::asio_client {
  using type = ClientConfig;
  using rng_type = MaskingKeys;
};

// adds to each incoming connection what it counts for in the limits on clients
struct ServerConfig : public websocketpp::config::asio {
  // name required by websocketpp
  struct connection_base {  // NOLINT(readability-identifier-naming)
    IngressConnectionPtr ingress;
  };
};

using Server = websocketpp::server<ServerConfig>;
using Client = websocketpp::client<ClientConfig>;
using websocketpp::connection_hdl;

constexpr long kOpenTimeoutMs = 1000;
// TCP_USER_TIMEOUT: a link whose data is not acknowledged within this time is closed, as in a
// network partition
constexpr unsigned int kTcpUserTimeoutMs = 2000;
constexpr std::size_t kMaxMessageBytes = 8U << 20;
// of a request that is not the handshake of a link; a handshake has none
constexpr std::size_t kMaxHttpBodyBytes = 1024;
// messages queued while a link is being opened; further messages are dropped
constexpr std::size_t kMaxPendingMessages = 10000;

template <class Socket>
void ConfigureSocket(Socket& socket) {
  websocketpp::lib::asio::error_code ignored;
  socket.set_option(websocketpp::lib::asio::ip::tcp::no_delay(true), ignored);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
             sizeof kTcpUserTimeoutMs);
}

}  // namespace

class PeerLinks::Impl {
 public:
  Impl(const Address& self, const std::string& key, PeerListener& listener, IngressGate* gate)
      : m_self(self), m_authorization("Bearer " + key), m_listener(listener), m_gate(gate) {}

  ~Impl() { Stop(); }

  void MeasureDelay(OnLoopDelay on_delay) { m_probe.emplace(m_context, std::move(on_delay)); }

  std::optional<Error> Start() {
    try {
      SetUpServer();
      SetUpClient();
      m_server.listen(websocketpp::lib::asio::ip::tcp::endpoint(
          websocketpp::lib::asio::ip::make_address_v4(m_self.ip()), m_self.port()));
      m_server.start_accept();
    } catch (const std::exception& problem) {
      return Error(ErrorId::kIo, std::string("cannot listen for peers: ") + problem.what());
    }
    if (m_probe) m_probe->Start();
    m_thread = std::thread([this] { m_context.run(); });
    return std::nullopt;
  }

  void Send(const Address& to, const std::string& bytes) {
    connection_hdl handle;
    bool is_new = false;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      const auto [place, inserted] = m_links.try_emplace(to);
      Link& link = place->second;
      is_new = inserted;
      if (link.open) {
        handle = link.handle;
      } else if (link.pending_messages.size() < kMaxPendingMessages) {
        link.pending_messages.push_back(bytes);
      }
    }
    if (is_new) Connect(to);
    if (!handle.lock()) return;
    websocketpp::lib::error_code failed;
    m_client.send(handle, bytes, websocketpp::frame::opcode::binary, failed);
    if (failed) Drop(to);
  }

  void Reset(const Address& to) {
    connection_hdl handle;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      const auto found = m_links.find(to);
      if (found == m_links.end()) return;
      handle = found->second.handle;
    }
    websocketpp::lib::error_code ignored;
    if (!handle.expired()) {
      m_client.close(handle, websocketpp::close::status::going_away, "", ignored);
    }
    Drop(to);
  }

  void Stop() {
    if (!m_thread.joinable()) return;
    m_context.stop();
    m_thread.join();
  }

 private:
  struct Link {
    bool open = false;
    connection_hdl handle;
    std::vector<std::string> pending_messages;
  };

  void SetUpServer() {
    m_server.clear_access_channels(websocketpp::log::alevel::all);
    m_server.clear_error_channels(websocketpp::log::elevel::all);
    m_server.init_asio(&m_context);
    m_server.set_reuse_addr(true);
    m_server.set_max_message_size(kMaxMessageBytes);
    m_server.set_max_http_body_size(kMaxHttpBodyBytes);
    if (m_gate != nullptr) LimitServer();
    m_server.set_validate_handler([this](const connection_hdl& handle) {
      const auto connection = m_server.get_con_from_hdl(handle);
      return connection->get_request_header("Authorization") == m_authorization;
    });
    m_server.set_message_handler(
        [this](const connection_hdl& /*handle*/, const Server::message_ptr& message) {
          m_listener.OnPeerMessage(message->get_payload());
        });
  }

  // Unfinished handshakes may be closed for new ones, links never.
  void LimitServer() {
    m_server.set_tcp_post_init_handler([this](const connection_hdl& handle) {
      const auto connection = m_server.get_con_from_hdl(handle);
      auto& socket = connection->get_raw_socket();
      connection->ingress = m_gate->Open(IngressListener::kPeers, socket.native_handle());
      websocketpp::lib::asio::error_code ignored;
      // the handshake's first read fails then
      if (!connection->ingress) socket.close(ignored);
    });
    m_server.set_open_handler([this](const connection_hdl& handle) {
      const auto connection = m_server.get_con_from_hdl(handle);
      if (connection->ingress) m_gate->Trust(*connection->ingress);
    });
    m_server.set_close_handler([this](const connection_hdl& handle) { Forget(handle); });
    m_server.set_fail_handler([this](const connection_hdl& handle) { Forget(handle); });
  }

  void Forget(const connection_hdl& handle) {
    const auto connection = m_server.get_con_from_hdl(handle);
    if (connection->ingress) connection->ingress->Close();
  }

  void SetUpClient() {
    m_client.clear_access_channels(websocketpp::log::alevel::all);
    m_client.clear_error_channels(websocketpp::log::elevel::all);
    m_client.init_asio(&m_context);
    m_client.set_open_handshake_timeout(kOpenTimeoutMs);
    m_client.set_socket_init_handler(
        [](const connection_hdl& /*handle*/, auto& socket) { ConfigureSocket(socket); });
  }

  void Connect(const Address& to) {
    websocketpp::lib::error_code failed;
    const auto connection = m_client.get_connection("ws://" + to.text(), failed);
    if (failed) {
      Drop(to);
      return;
    }
    connection->append_header("Authorization", m_authorization);
    connection->set_open_handler([this, to](const connection_hdl& handle) { OnOpen(to, handle); });
    connection->set_fail_handler(
        [this, to](const connection_hdl& handle) { DropIfCurrent(to, handle); });
    connection->set_close_handler(
        [this, to](const connection_hdl& handle) { DropIfCurrent(to, handle); });
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_links[to].handle = connection->get_handle();
    }
    m_client.connect(connection);
  }

  void OnOpen(const Address& to, const connection_hdl& handle) {
    const auto connection = m_client.get_con_from_hdl(handle);
    ConfigureSocket(connection->get_raw_socket());
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_links.find(to);
    if (found == m_links.end() || !SameHandle(found->second.handle, handle)) return;
    Link& link = found->second;
    // sent under the lock, so that later messages cannot overtake them
    for (const std::string& bytes : link.pending_messages) {
      websocketpp::lib::error_code ignored;
      m_client.send(handle, bytes, websocketpp::frame::opcode::binary, ignored);
    }
    link.pending_messages.clear();
    link.open = true;
  }

  static bool SameHandle(const connection_hdl& a, const connection_hdl& b) {
    return !a.owner_before(b) && !b.owner_before(a);
  }

  // a dropped connection may report its closing only after its successor was opened
  void DropIfCurrent(const Address& to, const connection_hdl& handle) {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      const auto found = m_links.find(to);
      if (found == m_links.end() || !SameHandle(found->second.handle, handle)) return;
    }
    Drop(to);
  }

  void Drop(const Address& to) {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      if (m_links.erase(to) == 0) return;
    }
    m_listener.OnPeerUnreachable(to);
  }

  const Address m_self;
  const std::string m_authorization;
  PeerListener& m_listener;
  // may be null
  IngressGate* const m_gate;
  // for one thread: two of them wake each other for nearly each message, and an entry VM has at
  // most half a core
  websocketpp::lib::asio::io_service m_context{1};
  std::optional<LoopDelayProbe> m_probe;
  Server m_server;
  Client m_client;
  std::mutex m_mutex;
  // keyed by the peer's address; invariant: guarded by m_mutex
  std::map<Address, Link> m_links;
  std::thread m_thread;
};

PeerLinks::PeerLinks(const Address& self, const std::string& key, PeerListener& listener,
                     IngressGate* gate)
    : m_impl(std::make_unique<Impl>(self, key, listener, gate)) {}

PeerLinks::~PeerLinks() = default;

void PeerLinks::MeasureDelay(OnLoopDelay on_delay) { m_impl->MeasureDelay(std::move(on_delay)); }

std::optional<Error> PeerLinks::Start() { return m_impl->Start(); }

void PeerLinks::Send(const Address& to, const std::string& bytes) { m_impl->Send(to, bytes); }

void PeerLinks::Reset(const Address& to) { m_impl->Reset(to); }

void PeerLinks::Stop() { m_impl->Stop(); }

}  // namespace sapphireflow
