// HttpClient never resends a body automatically, and distinguishes kNotSent from kLost.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>

#include "sapphireflow/transport/http_client.h"

using namespace sapphireflow;

namespace {

// @return the port
std::uint16_t ListenOnLoopback(int listener) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  listen(listener, 8);
  return ntohs(address.sin_port);
}

// responds to the first request of a connection and closes it after reading the second
class ClosingServer {
 public:
  ClosingServer() : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    port = ListenOnLoopback(m_socket);
    m_thread = std::thread([this] { Serve(); });
  }
  ~ClosingServer() {
    shutdown(m_socket, SHUT_RDWR);
    close(m_socket);
    m_thread.join();
  }
  std::uint16_t port = 0;
  std::atomic<int> bodies_received{0};

 private:
  void Serve() {
    for (int client = accept(m_socket, nullptr, nullptr); client >= 0;
         client = accept(m_socket, nullptr, nullptr)) {
      if (ReadBody(client)) {
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        send(client, response.data(), response.size(), MSG_NOSIGNAL);
        ReadBody(client);
      }
      close(client);
    }
  }
  bool ReadBody(int client) {
    std::string text;
    char buffer[4096];
    while (text.find("BODY") == std::string::npos) {
      const auto bytes = recv(client, buffer, sizeof buffer, 0);
      if (bytes <= 0) return false;
      text.append(buffer, static_cast<std::size_t>(bytes));
    }
    ++bodies_received;
    return true;
  }
  int m_socket;
  std::thread m_thread;
};

}  // namespace

TEST_CASE("a request lost on a reused connection is not resent") {
  ClosingServer server;
  HttpClient client(1);
  const HttpCall call("POST", Address(INADDR_LOOPBACK, server.port), "/v1/tasks", "", "BODY",
                      std::chrono::seconds(2));
  CHECK(client.CallAndWait(call).end() == CallEnd::kResponded);
  const HttpResult lost = client.CallAndWait(call);
  CHECK(lost.end() == CallEnd::kLost);
  CHECK(lost.disconnected());
  CHECK(server.bodies_received == 2);
}

TEST_CASE("a refused connection is reported as not sent") {
  std::uint16_t free_port = 0;
  { free_port = ClosingServer().port; }
  HttpClient client(1);
  const HttpCall call("POST", Address(INADDR_LOOPBACK, free_port), "/", "", "BODY",
                      std::chrono::seconds(2));
  const HttpResult refused = client.CallAndWait(call);
  CHECK(refused.end() == CallEnd::kNotSent);
  CHECK(refused.disconnected());
}

// Guards against late orders: a busy process once sent a start order to a worker half a second
// after it was issued, when the run had already been placed elsewhere.
TEST_CASE("a call that is queued for longer than its timeout is not sent") {
  ClosingServer server;
  HttpClient client(1);
  const HttpCall call("POST", Address(INADDR_LOOPBACK, server.port), "/", "", "BODY",
                      std::chrono::milliseconds(100));
  std::promise<HttpResult> second;
  client.Start(call, [&](const HttpResult& /*result*/) {
    client.Start(call, [&second](const HttpResult& result) { second.set_value(result); });
    // keeps the client's only thread busy
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  });
  const HttpResult queued = second.get_future().get();
  CHECK(queued.end() == CallEnd::kNotSent);
  CHECK_FALSE(queued.disconnected());
  CHECK(server.bodies_received == 1);
}

// An exception in a callback, on the client's only thread, ended the process.
TEST_CASE("a callback that throws is reported, and later calls complete") {
  ClosingServer server;
  std::promise<std::string> reason;
  HttpClient client(1, [&reason](const std::string& what) { reason.set_value(what); });
  const HttpCall call("POST", Address(INADDR_LOOPBACK, server.port), "/", "", "BODY",
                      std::chrono::seconds(2));
  client.Start(call, [](const HttpResult& /*result*/) { throw std::out_of_range("no such run"); });
  CHECK(reason.get_future().get() == "no such run");
  CHECK(client.CallAndWait(call).end() != CallEnd::kNotSent);
}

namespace {

// sends a response of five bytes, one each 300 ms, and stops for good after some of them
class TricklingServer {
 public:
  explicit TricklingServer(std::size_t sent_bytes)
      : m_sent_bytes(sent_bytes), m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    port = ListenOnLoopback(m_socket);
    m_thread = std::thread([this] { Serve(); });
  }
  ~TricklingServer() {
    shutdown(m_socket, SHUT_RDWR);
    close(m_socket);
    m_thread.join();
  }
  std::uint16_t port = 0;

 private:
  void Serve() {
    const int client = accept(m_socket, nullptr, nullptr);
    if (client < 0) return;
    char buffer[4096];
    recv(client, buffer, sizeof buffer, 0);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    send(client, head.data(), head.size(), MSG_NOSIGNAL);
    const std::string body = "whole";
    for (std::size_t i = 0; i < m_sent_bytes; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      send(client, &body[i], 1, MSG_NOSIGNAL);
    }
    // until the client gives up
    recv(client, buffer, sizeof buffer, 0);
    close(client);
  }
  const std::size_t m_sent_bytes;
  const int m_socket;
  std::thread m_thread;
};

HttpResult ReadFrom(const TricklingServer& server, Duration max_timeout) {
  HttpClient client(1);
  return client.CallAndWait(HttpCall("GET", Address(INADDR_LOOPBACK, server.port), "/", "", "",
                                     std::chrono::milliseconds(700), {}, max_timeout));
}

}  // namespace

// A configuration of half a megabyte on a link of 2 Mbit/s was never read whole.
TEST_CASE("a response that arrives slowly is read whole if the call allows it") {
  TricklingServer server(5);
  const HttpResult result = ReadFrom(server, std::chrono::seconds(10));
  CHECK(result.end() == CallEnd::kResponded);
  CHECK(result.body() == "whole");
}

TEST_CASE("a response that arrives slowly is lost if the call does not allow it") {
  TricklingServer server(5);
  CHECK(ReadFrom(server, Duration::zero()).end() == CallEnd::kLost);
}

TEST_CASE("a response that stops arriving is lost soon") {
  TricklingServer server(2);
  const auto start = std::chrono::steady_clock::now();
  const HttpResult lost = ReadFrom(server, std::chrono::seconds(60));
  CHECK(lost.end() == CallEnd::kLost);
  CHECK_FALSE(lost.disconnected());
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
}

namespace {

// responds to one request some time after it was read
class DelayedServer {
 public:
  explicit DelayedServer(Duration delay)
      : m_delay(delay), m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    port = ListenOnLoopback(m_socket);
    m_thread = std::thread([this] { Serve(); });
  }
  ~DelayedServer() {
    shutdown(m_socket, SHUT_RDWR);
    close(m_socket);
    m_thread.join();
  }
  void WaitUntilRead() { m_read.get_future().wait(); }
  std::uint16_t port = 0;

 private:
  void Serve() {
    const int client = accept(m_socket, nullptr, nullptr);
    if (client < 0) return;
    char buffer[4096];
    recv(client, buffer, sizeof buffer, 0);
    m_read.set_value();
    std::this_thread::sleep_for(m_delay);
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    send(client, response.data(), response.size(), MSG_NOSIGNAL);
    recv(client, buffer, sizeof buffer, 0);
    close(client);
  }
  const Duration m_delay;
  const int m_socket;
  std::promise<void> m_read;
  std::thread m_thread;
};

// Sends a call with a timeout of 300 ms, and keeps the client's only thread busy for 600 ms.
HttpResult CallWhileBusy(Duration response_delay) {
  DelayedServer server(response_delay);
  ClosingServer other;
  HttpClient client(1);
  std::promise<HttpResult> result;
  client.Start(HttpCall("GET", Address(INADDR_LOOPBACK, server.port), "/", "", "",
                        std::chrono::milliseconds(300)),
               [&result](const HttpResult& read) { result.set_value(read); });
  server.WaitUntilRead();
  client.Start(HttpCall("POST", Address(INADDR_LOOPBACK, other.port), "/", "", "BODY",
                        std::chrono::seconds(2)),
               [](const HttpResult& /*read*/) {
                 std::this_thread::sleep_for(std::chrono::milliseconds(600));
               });
  return result.get_future().get();
}

}  // namespace

// A VM without CPU time counted the replies of its workers as lost.
TEST_CASE("a reply that has arrived in time is not lost because it is read late") {
  CHECK(CallWhileBusy(std::chrono::milliseconds(100)).end() == CallEnd::kResponded);
}

TEST_CASE("a reply that is missing when a late loop has read its sockets is lost") {
  CHECK(CallWhileBusy(std::chrono::seconds(2)).end() == CallEnd::kLost);
}
