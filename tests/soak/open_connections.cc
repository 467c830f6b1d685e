// One thread; each connection reads all the time, so that its end is noticed at once.
#include "open_connections.h"

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <cctype>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <thread>

namespace sapphireflow::soak {
namespace {

using asio::ip::tcp;

// connections to each address that are kept open
constexpr std::size_t kOpenToEach = 24;
constexpr std::size_t kReadBytes = 4096;

struct Request {
  HttpCall call;
  OpenConnections::Done done;
};

std::string RequestText(const HttpCall& call) {
  std::string text = call.method() + " " + call.target() + " HTTP/1.1\r\n";
  for (const auto& [name, value] : call.headers()) text += name + ": " + value + "\r\n";
  return text +
         "Content-Type: application/json\r\nContent-Length: " + std::to_string(call.body().size()) +
         "\r\n\r\n" + call.body();
}

struct Response {
  HttpResult result;
  bool closes;
};

// a response whose length its header states; nothing if it is not complete
std::optional<Response> ParseResponse(const std::string& bytes) {
  const std::size_t head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string::npos) return std::nullopt;
  std::string head = bytes.substr(0, head_end + 2);
  std::transform(head.begin(), head.end(), head.begin(),
                 [](unsigned char one) { return static_cast<char>(std::tolower(one)); });
  const std::string length_name = "content-length: ";
  const std::size_t length_at = head.find(length_name);
  if (length_at == std::string::npos) return std::nullopt;
  const std::size_t length = std::stoul(head.substr(length_at + length_name.size()));
  const std::size_t body_at = head_end + 4;
  if (bytes.size() < body_at + length) return std::nullopt;
  const int status = std::stoi(head.substr(head.find(' ')));
  return Response{HttpResult(CallEnd::kResponded, status, bytes.substr(body_at, length)),
                  head.find("connection: close") != std::string::npos};
}

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// @brief Whom a connection tells that it is idle or has ended.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void Idle(const Address& to, const std::shared_ptr<Connection>& connection) = 0;
    virtual void Ended(const Address& to, const std::shared_ptr<Connection>& connection) = 0;
  };

  Connection(asio::io_context& context, const Address& to, Owner& owner)
      : m_socket(context), m_timer(context), m_to(to), m_owner(owner) {}

  /// @param first sent as soon as the connection is open; without it the connection is idle then
  void Open(std::optional<Request> first) {
    m_request = std::move(first);
    if (m_request) StartTimer();
    m_socket.async_connect(tcp::endpoint(asio::ip::make_address_v4(m_to.ip()), m_to.port()),
                           [self = shared_from_this()](asio::error_code failed) {
                             if (failed) return self->End(CallEnd::kNotSent, failed.message());
                             asio::error_code ignored;
                             self->m_socket.set_option(tcp::no_delay(true), ignored);
                             self->Read();
                             if (self->m_request) return self->Write();
                             self->m_owner.Idle(self->m_to, self);
                           });
  }

  void Send(Request request) {
    m_request = std::move(request);
    StartTimer();
    Write();
  }

  void End(CallEnd call_end, const std::string& why) {
    if (m_ended) return;
    m_ended = true;
    asio::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    m_timer.cancel();
    m_owner.Ended(m_to, shared_from_this());
    Finish(HttpResult(call_end, 0, why));
  }

 private:
  void StartTimer() {
    m_timer.expires_after(m_request->call.timeout());
    m_timer.async_wait([self = shared_from_this()](asio::error_code cancelled) {
      if (!cancelled) self->End(CallEnd::kLost, "timed out");
    });
  }

  void Write() {
    m_sent = RequestText(m_request->call);
    asio::async_write(m_socket, asio::buffer(m_sent),
                      [self = shared_from_this()](asio::error_code failed, std::size_t size) {
                        if (!failed) return;
                        self->End(size == 0 ? CallEnd::kNotSent : CallEnd::kLost, failed.message());
                      });
  }

  void Read() {
    m_socket.async_read_some(asio::buffer(m_chunk),
                             [self = shared_from_this()](asio::error_code failed, std::size_t n) {
                               if (failed) return self->End(CallEnd::kLost, failed.message());
                               self->m_received.append(self->m_chunk.data(), n);
                               self->TakeResponse();
                               if (!self->m_ended) self->Read();
                             });
  }

  void TakeResponse() {
    const auto response = ParseResponse(m_received);
    if (!response || !m_request) return;
    m_received.clear();
    m_timer.cancel();
    if (response->closes) {
      Finish(response->result);
      return End(CallEnd::kLost, "closed by the response before");
    }
    const Request answered = std::move(*m_request);
    m_request.reset();
    m_owner.Idle(m_to, shared_from_this());
    answered.done(response->result);
  }

  void Finish(const HttpResult& result) {
    if (!m_request) return;
    const Request ended = std::move(*m_request);
    m_request.reset();
    ended.done(result);
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  const Address m_to;
  Owner& m_owner;
  std::optional<Request> m_request;
  std::string m_sent;
  std::string m_received;
  std::array<char, kReadBytes> m_chunk{};
  bool m_ended = false;
};

}  // namespace

class OpenConnections::Impl : public Connection::Owner {
 public:
  Impl() : m_work(asio::make_work_guard(m_context)) {
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~Impl() override { Stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Start(Request request) {
    asio::post(m_context,
               [this, request = std::move(request)]() mutable { StartHere(std::move(request)); });
  }

  void ResetAll() {
    asio::post(m_context, [this] {
      for (const auto& [to, pool] : m_pools) {
        // each connection that ends is taken out of its pool
        const auto all = pool.all;
        for (const auto& connection : all) connection->End(CallEnd::kLost, "reset");
      }
    });
  }

  void Stop() {
    if (!m_thread.joinable()) return;
    m_context.stop();
    m_thread.join();
  }

  void Idle(const Address& to, const std::shared_ptr<Connection>& connection) override {
    m_pools[to].idle.push_back(connection);
  }

  void Ended(const Address& to, const std::shared_ptr<Connection>& connection) override {
    Pool& pool = m_pools[to];
    pool.idle.remove(connection);
    pool.all.erase(connection);
  }

 private:
  struct Pool {
    // the one that has been idle longest comes first
    std::list<std::shared_ptr<Connection>> idle;
    std::set<std::shared_ptr<Connection>> all;
  };

  void StartHere(Request request) {
    const Address to = request.call.to();
    Pool& pool = m_pools[to];
    const bool any_idle = !pool.idle.empty();
    if (any_idle) {
      const std::shared_ptr<Connection> longest_idle = pool.idle.front();
      pool.idle.pop_front();
      longest_idle->Send(std::move(request));
    } else {
      Open(to, pool, std::move(request));
    }
    // two a request, so that the pool grows until it is complete
    for (int i = 0; i < 2 && pool.all.size() < kOpenToEach; ++i) Open(to, pool, std::nullopt);
  }

  void Open(const Address& to, Pool& pool, std::optional<Request> first) {
    const auto connection = std::make_shared<Connection>(m_context, to, *this);
    pool.all.insert(connection);
    connection->Open(std::move(first));
  }

  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  // used by the thread only
  std::map<Address, Pool> m_pools;
  std::thread m_thread;
};

OpenConnections::OpenConnections() : m_impl(std::make_unique<Impl>()) {}
OpenConnections::~OpenConnections() = default;
void OpenConnections::Start(const HttpCall& call, Done done) {
  m_impl->Start(Request{call, std::move(done)});
}
void OpenConnections::ResetAll() { m_impl->ResetAll(); }
void OpenConnections::Stop() { m_impl->Stop(); }

}  // namespace sapphireflow::soak
