// Part of transport: an asynchronous HTTP client based on libcurl.
#ifndef SAPPHIREFLOW_TRANSPORT_HTTP_CLIENT_H_
#define SAPPHIREFLOW_TRANSPORT_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sapphireflow/transport/http.h"
#include "sapphireflow/transport/loop_delay.h"

namespace sapphireflow {

/// @brief Runs many calls at once on a few threads. A request whose body was sent is never resent
/// automatically.
class HttpClient {
 public:
  /// @brief Completion callback. Runs on one of the client's threads and must not block.
  using Done = std::function<void(const HttpResult&)>;

  /// @brief Told of the exceptions that callbacks throw. Runs on the client's threads, must not
  /// block, and must not throw.
  using OnFailure = std::function<void(const std::string& reason)>;

  /// @param threads number of threads; all calls to one address use the same thread
  explicit HttpClient(int threads, const OnFailure& on_failure = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Start(const HttpCall& call, Done done);
  /// @brief Reports how long calls wait until a loop starts them. `on_delay` must stay valid until
  /// the client has stopped.
  void MeasureDelay(const OnLoopDelay& on_delay);
  /// @return `text` with all that has a meaning in a query percent-encoded.
  static std::string EscapeQuery(const std::string& text);
  /// @brief Makes a call and blocks until it has completed.
  HttpResult CallAndWait(const HttpCall& call);
  /// @brief Stops the threads. Calls in flight are aborted and complete with `kLost`, or `kNotSent`
  /// if nothing was sent.
  void Stop();

 private:
  class Loop;
  std::vector<std::unique_ptr<Loop>> m_loops;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_HTTP_CLIENT_H_
