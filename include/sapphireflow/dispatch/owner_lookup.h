// Part of dispatch: the interface through which coordinators query worker ownership.
#ifndef SAPPHIREFLOW_DISPATCH_OWNER_LOOKUP_H_
#define SAPPHIREFLOW_DISPATCH_OWNER_LOOKUP_H_

#include <optional>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/worker_listing.h"

namespace sapphireflow {

/// @brief Looks up the current owner of a worker. Thread-safe.
class OwnerLookup {
 public:
  virtual ~OwnerLookup() = default;
  /// @return `std::nullopt` if the worker is not listed or none of the reachable members owns it.
  virtual std::optional<NodeId> OwnerOf(const WorkerId& worker) const = 0;
  /// @return whether messages are exchanged with the owner, which may be this VM.
  virtual bool IsReachable(const NodeId& owner) const = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_OWNER_LOOKUP_H_
