// Part of transport: the HTTP server's implementation on RESTinio.
#include "sapphireflow/transport/http_server.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <exception>
#include <functional>
#include <mutex>
#include <restinio/all.hpp>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "loop_delay_probe.h"
#include "sapphireflow/transport/detail/guarded_socket.h"

namespace sapphireflow {
namespace {

// longer than any request that waits for a job or a change; those have time limits of their own
constexpr std::chrono::seconds kRequestTimeout(150);
constexpr std::chrono::seconds kIdleTimeout(300);
constexpr std::chrono::seconds kWriteTimeout(10);
// larger bodies close the connection; handlers check a lower limit and respond with an error
constexpr std::uint64_t kMaxBodyBytes = 16U << 20;

// the next request is read while the first is pending, so that a closed connection is detected
constexpr std::size_t kPipelinedRequests = 2;

/// Runs the actions registered for a connection when it closes. Thread-safe.
class ConnectionCloseListener {
 public:
  /// @param owner identifies the action for `Remove`
  void Add(restinio::connection_id_t connection, const void* owner, std::function<void()> action) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_actions.emplace(connection, OwnedAction{owner, std::move(action)});
  }

  void Remove(restinio::connection_id_t connection, const void* owner) {
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto [first, last] = m_actions.equal_range(connection);
    const auto found =
        std::find_if(first, last, [owner](const auto& item) { return item.second.owner == owner; });
    if (found != last) m_actions.erase(found);
  }

  // called by RESTinio when the state of a connection changes
  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    const auto cause = notice.cause();
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(cause)) return;
    std::vector<std::function<void()>> due;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      const auto [first, last] = m_actions.equal_range(notice.connection_id());
      for (auto item = first; item != last; ++item) due.push_back(std::move(item->second.action));
      m_actions.erase(first, last);
    }
    for (const auto& action : due) action();
  }

 private:
  std::mutex m_mutex;
  struct OwnedAction {
    const void* owner;
    std::function<void()> action;
  };
  // guarded by m_mutex
  std::unordered_multimap<restinio::connection_id_t, OwnedAction> m_actions;
};

struct Traits : public restinio::default_traits_t {
  using connection_state_listener_t = ConnectionCloseListener;
  using stream_socket_t = detail::GuardedSocket;
};

/// What a request holds of the limits, until it is destroyed.
class IngressTicket {
 public:
  /// @param connection null if there are no limits
  explicit IngressTicket(IngressConnectionPtr connection) : m_connection(std::move(connection)) {}
  ~IngressTicket() {
    if (m_connection) m_connection->gate().Answered(*m_connection);
  }
  IngressTicket(const IngressTicket&) = delete;
  IngressTicket& operator=(const IngressTicket&) = delete;
  void HoldAnswer(std::size_t bytes) {
    if (m_connection) m_connection->gate().HoldAnswer(*m_connection, bytes);
  }

 private:
  const IngressConnectionPtr m_connection;
};

class Responder : public HttpResponder, public std::enable_shared_from_this<Responder> {
 public:
  /// @param keep_alive_disabled whether connections are closed after their next response
  Responder(restinio::request_handle_t request, ConnectionCloseListener& close_listener,
            const std::atomic<bool>& keep_alive_disabled)
      : m_ticket(std::make_shared<IngressTicket>(detail::CurrentConnection::Get())),
        m_request(std::move(request)),
        m_close_listener(close_listener),
        m_keep_alive_disabled(keep_alive_disabled) {}

  void Respond(const HttpResponse& response) override {
    if (m_done.exchange(true)) return;
    m_close_listener.Remove(m_request->connection_id(), this);
    auto builder = m_request->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{static_cast<std::uint16_t>(response.status())}, "-"});
    builder.append_header(restinio::http_field::content_type, response.content_type());
    for (const auto& [name, value] : response.headers()) builder.append_header(name, value);
    if (m_keep_alive_disabled) builder.connection_close();
    builder.set_body(response.body());
    m_ticket->HoldAnswer(response.body().size());
    // the answer is held until it has been written
    builder.done([ticket = std::move(m_ticket)](const auto& /*error*/) {});
  }

  void Abort() override {
    if (m_done.exchange(true)) return;
    m_close_listener.Remove(m_request->connection_id(), this);
    m_request->create_response(restinio::status_internal_server_error()).connection_close().done();
  }

  void OnClosed(std::function<void()> action) override {
    m_close_listener.Add(
        m_request->connection_id(), this,
        [self = std::weak_ptr<Responder>(shared_from_this()), action = std::move(action)] {
          const auto responder = self.lock();
          if (responder && !responder->m_done) action();
        });
  }

 private:
  std::shared_ptr<IngressTicket> m_ticket;
  restinio::request_handle_t m_request;
  ConnectionCloseListener& m_close_listener;
  const std::atomic<bool>& m_keep_alive_disabled;
  std::atomic<bool> m_done{false};
};

HttpRequest ToRequest(const restinio::request_t& request) {
  const auto& header = request.header();
  HttpHeaders headers;
  header.for_each_field([&headers](const restinio::http_header_field_t& field) {
    headers.emplace_back(field.name(), field.value());
  });
  return {std::string(header.method().c_str()),
          std::string(header.path()),
          std::string(header.query()),
          header.get_field_or(restinio::http_field::authorization, std::string()),
          request.body(),
          std::move(headers)};
}

}  // namespace

std::string HttpRequest::Parameter(const std::string& name) const {
  std::size_t at = 0;
  while (at < m_query.size()) {
    const std::size_t end = std::min(m_query.find('&', at), m_query.size());
    const std::string pair = m_query.substr(at, end - at);
    if (pair.compare(0, name.size() + 1, name + "=") == 0) return pair.substr(name.size() + 1);
    at = end + 1;
  }
  return {};
}

std::string HttpRequest::Header(const std::string& name) const {
  const auto same = [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  };
  for (const auto& [field, value] : m_headers) {
    if (std::equal(field.begin(), field.end(), name.begin(), name.end(), same)) return value;
  }
  return {};
}

class HttpServer::Impl {
 public:
  Impl(const Address& address, int threads, HttpHandler& handler, IngressGate* gate,
       IngressListener listener)
      : m_thread_count(threads),
        m_ingress(MakeIngress(m_context, gate, listener, handler)),
        m_server(restinio::external_io_context(m_context),
                 [&](restinio::server_settings_t<Traits>& settings) {
                   settings.address(address.host())
                       .port(address.port())
                       .handle_request_timeout(kRequestTimeout)
                       .read_next_http_message_timelimit(kIdleTimeout)
                       .write_http_response_timelimit(kWriteTimeout)
                       .concurrent_accepts_count(4)
                       .max_pipelined_requests(kPipelinedRequests)
                       .connection_state_listener(m_close_listener)
                       .incoming_http_msg_limits(
                           restinio::incoming_http_msg_limits_t{}.max_body_size(kMaxBodyBytes))
                       .socket_options_setter([](restinio::socket_options_t& options) {
                         options.set_option(asio::ip::tcp::no_delay(true));
                       })
                       .request_handler([this, &handler](restinio::request_handle_t request) {
                         const HttpRequest value = ToRequest(*request);
                         handler.Handle(value, std::make_shared<Responder>(std::move(request),
                                                                           *m_close_listener,
                                                                           m_keep_alive_disabled));
                         return restinio::request_accepted();
                       });
                 }) {}

  ~Impl() { Stop(); }

  std::optional<Error> Start() {
    try {
      m_server.open_sync();
    } catch (const std::exception& problem) {
      return Error(ErrorId::kIo, std::string("cannot listen for HTTP requests: ") + problem.what());
    }
    if (m_probe) m_probe->Start();
    for (int i = 0; i < m_thread_count; ++i) {
      m_threads.emplace_back([this] { m_context.run(); });
    }
    return std::nullopt;
  }

  void MeasureDelay(OnLoopDelay on_delay) { m_probe.emplace(m_context, std::move(on_delay)); }

  void DisableKeepAlive() { m_keep_alive_disabled = true; }

  void Stop() {
    if (m_threads.empty()) return;
    m_server.close_async([] {}, [](const std::exception_ptr& /*problem*/) {});
    m_context.stop();
    for (std::thread& thread : m_threads) thread.join();
    m_threads.clear();
  }

 private:
  static const detail::IngressContext& MakeIngress(asio::io_context& context, IngressGate* gate,
                                                   IngressListener listener,
                                                   const HttpHandler& handler) {
    auto& ingress = asio::use_service<detail::IngressContext>(context);
    ingress.Set(gate, listener, handler);
    return ingress;
  }

  const int m_thread_count;
  const std::shared_ptr<ConnectionCloseListener> m_close_listener =
      std::make_shared<ConnectionCloseListener>();
  std::atomic<bool> m_keep_alive_disabled{false};
  asio::io_context m_context;
  // owned by m_context; set before the server makes its first sockets
  const detail::IngressContext& m_ingress;
  std::optional<LoopDelayProbe> m_probe;
  restinio::http_server_t<Traits> m_server;
  std::vector<std::thread> m_threads;
};

HttpServer::HttpServer(const Address& address, int threads, HttpHandler& handler, IngressGate* gate,
                       IngressListener listener)
    : m_impl(std::make_unique<Impl>(address, threads, handler, gate, listener)) {}

HttpServer::~HttpServer() = default;

void HttpServer::MeasureDelay(OnLoopDelay on_delay) { m_impl->MeasureDelay(std::move(on_delay)); }

std::optional<Error> HttpServer::Start() { return m_impl->Start(); }

void HttpServer::DisableKeepAlive() { m_impl->DisableKeepAlive(); }

void HttpServer::Stop() { m_impl->Stop(); }

}  // namespace sapphireflow
