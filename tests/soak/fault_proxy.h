// A loopback TCP proxy that injects link faults between two processes.
#ifndef SAPPHIREFLOW_TESTS_SOAK_FAULT_PROXY_H_
#define SAPPHIREFLOW_TESTS_SOAK_FAULT_PROXY_H_

#include <sys/types.h>

#include <cstddef>
#include <memory>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow::soak {

/// @brief Fault of the connections through a proxy.
enum class LinkFault {
  kNone,
  kDelayed,       ///< each chunk is forwarded after a delay
  kSilenced,      ///< nothing arrives in either direction; connections stay open
  kOneWay,        ///< bytes from the target to the caller are dropped
  kRefused,       ///< open connections are reset, and new ones as soon as they are accepted
  kNotListening,  ///< open connections are reset, and new ones are not accepted
};

/// @brief Forwards TCP connections from one address to another. Thread-safe.
class FaultProxy {
 public:
  FaultProxy(const Address& listen, const Address& target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// @brief Applies a fault to open and to new connections.
  /// @param delay delay of each chunk, used by `kDelayed` only
  void SetFault(LinkFault fault, Duration delay = Duration::zero());
  /// @brief Resets all connections that are open now.
  void ResetAll();
  /// @brief Makes all connections that are open now silent for good, without a reset.
  void SilenceAll();
  /// @brief Resets the connections that a process has opened, and new ones of it as soon as they
  /// are accepted.
  /// @param caller by which `AcceptFrom` ends it
  void RefuseFrom(std::size_t caller, pid_t process);
  void AcceptFrom(std::size_t caller);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_FAULT_PROXY_H_
