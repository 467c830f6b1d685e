// Shared by the main programs of the stand-ins: serves HTTP until SIGTERM or SIGINT.
#ifndef SAPPHIREFLOW_TESTS_STANDINS_SERVE_H_
#define SAPPHIREFLOW_TESTS_STANDINS_SERVE_H_

#include <csignal>
#include <iostream>
#include <string>

#include "sapphireflow/transport/http_server.h"

namespace sapphireflow {

/// @brief Blocks SIGTERM and SIGINT. Call this before any thread starts, so that all threads
/// inherit the mask.
inline sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/// @brief Serves at `address` until a stop signal arrives.
/// @return the exit code: 0 after a signal, 1 if the server cannot start, 2 if the address is
/// invalid.
inline int ServeUntilStopped(const std::string& address, HttpHandler& handler,
                             const sigset_t& signals) {
  const auto parsed_address = Address::Parse(address);
  if (!parsed_address) return 2;
  HttpServer server(*parsed_address, 1, handler);
  if (const auto error = server.Start()) {
    std::cerr << error->message() << "\n";
    return 1;
  }
  int received = 0;
  sigwait(&signals, &received);
  server.Stop();
  return 0;
}

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TESTS_STANDINS_SERVE_H_
