// Part of dispatch: what a coordinator asks of membership.
#ifndef SAPPHIREFLOW_DISPATCH_OWNER_LOOKUP_H_
#define SAPPHIREFLOW_DISPATCH_OWNER_LOOKUP_H_

#include <optional>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/worker_state.h"

namespace sapphireflow {

/// @brief Tells who commands a worker now. Thread-safe.
class OwnerLookup {
 public:
  virtual ~OwnerLookup() = default;
  /// @return nothing if the worker is not listed or nobody in touch owns it.
  virtual std::optional<NodeId> OwnerOf(const WorkerId& worker) const = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_OWNER_LOOKUP_H_
