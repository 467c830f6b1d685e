// Callers' connections, which are kept open and used until the other side closes them.
#ifndef SAPPHIREFLOW_TESTS_SOAK_OPEN_CONNECTIONS_H_
#define SAPPHIREFLOW_TESTS_SOAK_OPEN_CONNECTIONS_H_

#include <functional>
#include <memory>

#include "sapphireflow/transport/http.h"

namespace sapphireflow::soak {

/// @brief Keeps many connections to each address open and sends each request on the one that has
/// been idle longest, so that a process that stops gets requests on open connections until it ends.
/// Thread-safe.
class OpenConnections {
 public:
  /// @brief Completion callback. Runs on the thread of the connections and must not block.
  using Done = std::function<void(const HttpResult&)>;

  OpenConnections();
  ~OpenConnections();
  OpenConnections(const OpenConnections&) = delete;
  OpenConnections& operator=(const OpenConnections&) = delete;

  void Start(const HttpCall& call, Done done);
  /// @brief Resets all connections; calls in flight end with `kLost`.
  void ResetAll();
  /// @brief Stops the thread. Calls in flight are dropped.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_OPEN_CONNECTIONS_H_
