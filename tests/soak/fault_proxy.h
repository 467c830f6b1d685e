// A loopback proxy between two processes, whose faults are switched while it runs.
#ifndef SAPPHIREFLOW_TESTS_SOAK_FAULT_PROXY_H_
#define SAPPHIREFLOW_TESTS_SOAK_FAULT_PROXY_H_

#include <memory>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow::soak {

/// @brief What happens to the bytes of a link.
enum class LinkFault {
  kNone,
  kDelayed,   ///< each chunk arrives later
  kSilenced,  ///< nothing arrives in either direction; connections stay open
  kOneWay,    ///< what the called side sends is lost
  kRefused,   ///< open connections are reset, new ones too
};

/// @brief Passes TCP connections on. Thread-safe.
class FaultProxy {
 public:
  FaultProxy(const Address& listen, const Address& target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// @param delay of each chunk, for `kDelayed`
  void SetFault(LinkFault fault, Duration delay = Duration::zero());
  /// @brief Resets all open connections once.
  void ResetAll();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_FAULT_PROXY_H_
