// Implements the blocking server, client and proxy.
#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>

namespace review {
namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kBufferBytes = 64U << 10;

sockaddr_in ToSockaddr(const Endpoint& at) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
  return address;
}

int Listen(const Endpoint& at) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToSockaddr(at);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

int Connect(const Endpoint& to) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSockaddr(to);
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(connection);
    return -1;
  }
  const int on = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

bool SendAll(int connection, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t part = send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (part <= 0) return false;
    sent += static_cast<std::size_t>(part);
  }
  return true;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::map<std::string, std::string> ReadHeaders(const std::string& head) {
  std::map<std::string, std::string> headers;
  for (std::size_t at = head.find("\r\n"); at != std::string::npos;) {
    const std::size_t end = head.find("\r\n", at + 2);
    const std::string line = head.substr(at + 2, end - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? std::string() : line.substr(value);
    }
    at = end;
  }
  return headers;
}

std::size_t LengthOf(const std::map<std::string, std::string>& headers) {
  const auto found = headers.find("content-length");
  return found == headers.end() ? 0 : std::strtoul(found->second.c_str(), nullptr, 10);
}

void ReadQuery(const std::string& text, Request& request) {
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t end = std::min(text.find('&', at), text.size());
    const std::string pair = text.substr(at, end - at);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      request.query[pair.substr(0, equals)] = Unescape(pair.substr(equals + 1));
    }
    at = end + 1;
  }
}

// reads more bytes into the buffer; false at the end of the connection
bool ReadMore(int connection, std::string& buffer) {
  std::string part(kBufferBytes, '\0');
  const ssize_t length = recv(connection, part.data(), part.size(), 0);
  if (length <= 0) return false;
  buffer.append(part, 0, static_cast<std::size_t>(length));
  return true;
}

bool ReadRequest(int connection, std::string& buffer, Request& request) {
  std::size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(connection, buffer)) return false;
  }
  const std::string head = buffer.substr(0, end);
  request.headers = ReadHeaders(head);
  const std::size_t length = LengthOf(request.headers);
  while (buffer.size() < end + 4 + length) {
    if (!ReadMore(connection, buffer)) return false;
  }
  request.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  const std::size_t first = head.find(' ');
  const std::size_t second = head.find(' ', first + 1);
  request.method = head.substr(0, first);
  const std::string target = head.substr(first + 1, second - first - 1);
  const std::size_t question = target.find('?');
  request.path = target.substr(0, question);
  request.query.clear();
  if (question != std::string::npos) ReadQuery(target.substr(question + 1), request);
  return true;
}

void ResetOnClose(int connection) {
  const linger now{1, 0};
  setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

}  // namespace

Server::Server(const Endpoint& at, Handler handler) : m_at(at), m_handler(std::move(handler)) {}

bool Server::Open() {
  const int listener = Listen(m_at);
  if (listener < 0) return false;
  m_listener = listener;
  std::thread([this, listener] { Accept(listener); }).detach();
  return true;
}

void Server::Close() {
  const int listener = m_listener.exchange(-1);
  if (listener >= 0) shutdown(listener, SHUT_RDWR);
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const int connection : m_connections) {
    ResetOnClose(connection);
    shutdown(connection, SHUT_RDWR);
  }
}

void Server::Accept(int listener) {
  for (;;) {
    const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) break;
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_connections.insert(connection);
    }
    std::thread([this, connection] { Serve(connection); }).detach();
  }
  close(listener);
}

void Server::Serve(int connection) {
  std::string buffer;
  Request request;
  while (ReadRequest(connection, buffer, request)) {
    const Response response = m_handler(request);
    if (response.silent) {
      while (ReadMore(connection, buffer)) buffer.clear();
      break;
    }
    const std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                             " -\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    if (!SendAll(connection, text)) break;
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  m_connections.erase(connection);
  close(connection);
}

Proxy::Proxy(const Endpoint& at, Endpoint to) : m_to(std::move(to)) {
  const int listener = Listen(at);
  if (listener < 0) {
    std::perror(("proxy at " + at.Text()).c_str());
    std::_Exit(2);
  }
  std::thread([this, listener] { Accept(listener); }).detach();
}

void Proxy::Set(LinkMode mode) {
  m_mode = mode;
  if (mode == LinkMode::kReset) ResetAll();
}

void Proxy::ResetAll() {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const int socket : m_sockets) {
    ResetOnClose(socket);
    shutdown(socket, SHUT_RDWR);
  }
}

void Proxy::Accept(int listener) {
  for (;;) {
    const int from = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (from < 0) continue;
    const int to = m_mode == LinkMode::kReset ? -1 : Connect(m_to);
    if (to < 0) {
      ResetOnClose(from);
      close(from);
      continue;
    }
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_sockets.insert(from);
      m_sockets.insert(to);
    }
    // each direction has a thread; the second one to end closes both sockets
    const auto open = std::make_shared<std::atomic<int>>(2);
    const auto run = [this, open, from, to](int source, int target) {
      Pump(source, target);
      if (--*open > 0) return;
      std::lock_guard<std::mutex> lock(m_mutex);
      m_sockets.erase(from);
      m_sockets.erase(to);
      close(from);
      close(to);
    };
    std::thread(run, from, to).detach();
    std::thread(run, to, from).detach();
  }
}

void Proxy::Pump(int from, int to) {
  std::string buffer;
  while (ReadMore(from, buffer)) {
    while (m_mode == LinkMode::kSilent) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    if (!SendAll(to, buffer)) break;
    buffer.clear();
  }
  while (m_mode == LinkMode::kSilent) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  shutdown(to, SHUT_WR);
}

Call::Call(const Endpoint& to, const std::string& method, const std::string& target,
           const std::map<std::string, std::string>& headers, const std::string& body)
    : m_socket(Connect(to)) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST") {
    text +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n" + body;
  if (m_socket >= 0 && !SendAll(m_socket, text)) Close();
}

Call::Call(const Endpoint& to, const std::string& bytes) : m_socket(Connect(to)) {
  if (m_socket >= 0 && !SendAll(m_socket, bytes)) Close();
}

Call::~Call() { Close(); }

void Call::Close() {
  if (m_socket >= 0) close(m_socket);
  m_socket = -1;
}

Answer Call::Wait(int timeout_ms) {
  using Clock = std::chrono::steady_clock;
  const auto limit = Clock::now() + std::chrono::milliseconds(timeout_ms);
  std::string buffer;
  while (m_socket >= 0) {
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::size_t length = LengthOf(ReadHeaders(buffer.substr(0, end)));
      if (buffer.size() >= end + 4 + length) {
        const std::size_t space = buffer.find(' ');
        return {std::atoi(buffer.c_str() + space + 1), buffer.substr(end + 4, length)};
      }
    }
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(limit - Clock::now()).count();
    pollfd wait{m_socket, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) break;
    if (!ReadMore(m_socket, buffer)) break;
  }
  return {};
}

Answer Ask(const Endpoint& to, const std::string& method, const std::string& target,
           const std::map<std::string, std::string>& headers, const std::string& body,
           int timeout_ms) {
  return Call(to, method, target, headers, body).Wait(timeout_ms);
}

bool IsFree(const Endpoint& at) {
  const int listener = Listen(at);
  if (listener < 0) return false;
  close(listener);
  return true;
}

}  // namespace review
