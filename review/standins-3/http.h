// Small blocking HTTP/1.1 server, client and TCP proxy for the cases of this review. One thread per
// connection; loopback addresses only.
#ifndef SAPPHIREFLOW_REVIEW_STANDINS_3_HTTP_H_
#define SAPPHIREFLOW_REVIEW_STANDINS_3_HTTP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  // names in lower case
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
  // no answer: the connection stays open and silent
  bool silent = false;
};

using Handler = std::function<Response(const Request&)>;

/// Serves until the process ends.
class Server {
 public:
  Server(const Endpoint& at, Handler handler);
  /// Closes all connections and refuses new ones until `Open`.
  void Close();
  bool Open();

 private:
  void Accept(int listener);
  void Serve(int connection);
  const Endpoint m_at;
  const Handler m_handler;
  std::mutex m_mutex;
  std::set<int> m_connections;
  std::atomic<int> m_listener{-1};
};

enum class LinkMode { kPass, kSilent, kReset };

/// Forwards connections to another address. `kSilent` holds all bytes back, `kReset` closes all
/// connections with a reset and refuses new ones in the same way.
class Proxy {
 public:
  Proxy(const Endpoint& at, Endpoint to);
  void Set(LinkMode mode);
  /// Resets the connections that are open now.
  void ResetAll();

 private:
  void Accept(int listener);
  void Pump(int from, int to);
  const Endpoint m_to;
  std::atomic<LinkMode> m_mode{LinkMode::kPass};
  std::mutex m_mutex;
  std::set<int> m_sockets;
};

struct Answer {
  // 0: no answer
  int status = 0;
  std::string body;
};

/// One request on a connection of its own.
class Call {
 public:
  Call(const Endpoint& to, const std::string& method, const std::string& target,
       const std::map<std::string, std::string>& headers, const std::string& body);
  /// Sends these bytes.
  Call(const Endpoint& to, const std::string& bytes);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  /// Waits for the whole answer.
  Answer Wait(int timeout_ms);
  /// Closes the connection.
  void Close();

 private:
  int m_socket = -1;
};

Answer Ask(const Endpoint& to, const std::string& method, const std::string& target,
           const std::map<std::string, std::string>& headers, const std::string& body,
           int timeout_ms);

/// Whether a listener can be bound there.
bool IsFree(const Endpoint& at);

}  // namespace review

#endif  // SAPPHIREFLOW_REVIEW_STANDINS_3_HTTP_H_
