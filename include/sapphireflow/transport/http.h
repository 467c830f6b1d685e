// Part of transport: value types for HTTP messages, and the interfaces that handle requests and
// respond.
#ifndef SAPPHIREFLOW_TRANSPORT_HTTP_H_
#define SAPPHIREFLOW_TRANSPORT_HTTP_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Header fields as name and value, in the order of the message.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// @brief A request received by a server.
class HttpRequest : public Comparable<HttpRequest> {
 public:
  HttpRequest(std::string method, std::string path, std::string query, std::string authorization,
              std::string body, HttpHeaders headers = {})
      : m_method(std::move(method)),
        m_path(std::move(path)),
        m_query(std::move(query)),
        m_authorization(std::move(authorization)),
        m_body(std::move(body)),
        m_headers(std::move(headers)) {}
  const std::string& method() const { return m_method; }
  const std::string& path() const { return m_path; }
  /// @brief Text after the question mark, excluding it.
  const std::string& query() const { return m_query; }
  const std::string& authorization() const { return m_authorization; }
  const std::string& body() const { return m_body; }
  /// @brief Value of a query parameter, or an empty string. Complexity: linear in the query.
  std::string Parameter(const std::string& name) const;
  /// @brief Value of a header field, or an empty string. The name is matched case-insensitively.
  /// Complexity: linear.
  std::string Header(const std::string& name) const;
  auto Fields() const {
    return std::tie(m_method, m_path, m_query, m_authorization, m_body, m_headers);
  }

 private:
  std::string m_method;
  std::string m_path;
  std::string m_query;
  std::string m_authorization;
  std::string m_body;
  HttpHeaders m_headers;
};

class HttpResponse : public Comparable<HttpResponse> {
 public:
  HttpResponse(int status, std::string body, std::string content_type = "application/json",
               HttpHeaders headers = {})
      : m_status(status),
        m_body(std::move(body)),
        m_content_type(std::move(content_type)),
        m_headers(std::move(headers)) {}
  int status() const { return m_status; }
  const std::string& body() const { return m_body; }
  const std::string& content_type() const { return m_content_type; }
  /// @brief Header fields in addition to those that the server sets.
  const HttpHeaders& headers() const { return m_headers; }
  auto Fields() const { return std::tie(m_status, m_body, m_content_type, m_headers); }

 private:
  int m_status;
  std::string m_body;
  std::string m_content_type;
  HttpHeaders m_headers;
};

/// @brief Sends the response to one request, synchronously or later, from any thread.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  virtual void Respond(const HttpResponse& response) = 0;
  /// @brief Responds with status 500 and closes the connection.
  virtual void Abort() = 0;
  /// @brief Calls `action` if the caller closes the connection before the response.
  virtual void OnClosed(std::function<void()> action) = 0;
};

/// @brief Handles requests. Called concurrently from several threads.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) = 0;
  /// @brief Limit of a request's body that is in force now. Servers with limits refuse larger ones
  /// before they are read.
  virtual std::size_t max_body_bytes() const { return kDefaultMaxBodyBytes; }
  static constexpr std::size_t kDefaultMaxBodyBytes = 1U << 20;
};

/// @brief An outgoing request to another process.
class HttpCall : public Comparable<HttpCall> {
 public:
  HttpCall(std::string method, const Address& to, std::string target, std::string authorization,
           std::string body, Duration timeout, HttpHeaders headers = {},
           Duration max_timeout = Duration::zero())
      : m_method(std::move(method)),
        m_to(to),
        m_target(std::move(target)),
        m_authorization(std::move(authorization)),
        m_body(std::move(body)),
        m_timeout(timeout),
        m_headers(std::move(headers)),
        m_max_timeout(max_timeout) {}
  const std::string& method() const { return m_method; }
  const Address& to() const { return m_to; }
  /// @brief Path and query.
  const std::string& target() const { return m_target; }
  const std::string& authorization() const { return m_authorization; }
  const std::string& body() const { return m_body; }
  Duration timeout() const { return m_timeout; }
  /// @brief Header fields in addition to those that the client sets.
  const HttpHeaders& headers() const { return m_headers; }
  /// @brief If it is longer than the timeout, the timeout counts from the last part of the response
  /// that arrived, and this is the limit of the whole call: a large response on a slow link takes
  /// long, but a lost one is noticed soon.
  Duration max_timeout() const { return m_max_timeout; }
  auto Fields() const {
    return std::tie(m_method, m_to, m_target, m_authorization, m_body, m_timeout, m_headers,
                    m_max_timeout);
  }

 private:
  std::string m_method;
  Address m_to;
  std::string m_target;
  std::string m_authorization;
  std::string m_body;
  Duration m_timeout;
  HttpHeaders m_headers;
  Duration m_max_timeout;
};

/// @brief Outcome of a call.
enum class CallEnd {
  kResponded,  ///< a complete response was received
  kNotSent,    ///< no byte of the request was sent: the server has certainly not seen it
  kLost,       ///< the request was sent at least in part, but no complete response was received
};

class HttpResult : public Comparable<HttpResult> {
 public:
  HttpResult(CallEnd end, int status, std::string body, bool disconnected = false)
      : m_end(end), m_status(status), m_body(std::move(body)), m_disconnected(disconnected) {}
  CallEnd end() const { return m_end; }
  /// @brief HTTP status code; 0 unless `end()` is `kResponded`.
  int status() const { return m_status; }
  /// @brief Body of the response, or a description of the error if there was none.
  const std::string& body() const { return m_body; }
  /// @brief For `kLost` and `kNotSent`: whether the connection was closed or refused, rather than
  /// the time ran out.
  bool disconnected() const { return m_disconnected; }
  auto Fields() const { return std::tie(m_end, m_status, m_body, m_disconnected); }

 private:
  CallEnd m_end;
  int m_status;
  std::string m_body;
  bool m_disconnected;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_HTTP_H_
