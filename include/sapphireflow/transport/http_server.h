// Part of transport: an HTTP server by RESTinio.
#ifndef SAPPHIREFLOW_TRANSPORT_HTTP_SERVER_H_
#define SAPPHIREFLOW_TRANSPORT_HTTP_SERVER_H_

#include <memory>
#include <optional>

#include "sapphireflow/model/error.h"
#include "sapphireflow/transport/http.h"

namespace sapphireflow {

/// @brief Serves one address with several threads.
class HttpServer {
 public:
  /// @param handler outlives the server
  HttpServer(const Address& address, int threads, HttpHandler& handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return nothing once it listens, else why it cannot.
  std::optional<Error> Start();
  /// @brief From now on each connection is closed after its next response.
  void Retire();
  /// @brief Closes all connections and ends the threads.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_HTTP_SERVER_H_
