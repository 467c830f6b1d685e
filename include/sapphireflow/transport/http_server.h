// Part of transport: an HTTP server based on RESTinio.
#ifndef SAPPHIREFLOW_TRANSPORT_HTTP_SERVER_H_
#define SAPPHIREFLOW_TRANSPORT_HTTP_SERVER_H_

#include <memory>
#include <optional>

#include "sapphireflow/model/error.h"
#include "sapphireflow/transport/http.h"
#include "sapphireflow/transport/ingress_gate.h"
#include "sapphireflow/transport/loop_delay.h"

namespace sapphireflow {

/// @brief Listens on one address and handles its requests on a pool of threads.
class HttpServer {
 public:
  /// @param handler must outlive the server
  /// @param gate limits what clients make the process hold; must outlive the server; null for
  /// servers whose clients are trusted
  HttpServer(const Address& address, int threads, HttpHandler& handler, IngressGate* gate = nullptr,
             IngressListener listener = IngressListener::kCallers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Reports the delay of the server's loop from its start on.
  void MeasureDelay(OnLoopDelay on_delay);
  /// @return no value once the server listens, otherwise the error that prevented it.
  std::optional<Error> Start();
  /// @brief Closes each connection after its next response from now on.
  void DisableKeepAlive();
  /// @brief Closes all connections and joins the threads.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_HTTP_SERVER_H_
