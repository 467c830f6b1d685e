// Part of ownership: the interface through which owners learn whether the list of workers is recent
// enough to start runs by it.
#ifndef SAPPHIREFLOW_OWNERSHIP_LISTING_FRESHNESS_H_
#define SAPPHIREFLOW_OWNERSHIP_LISTING_FRESHNESS_H_

#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Bounds the age of the list of workers where runs start. Thread-safe.
///
/// A worker that drains gets no run once the drain timeout has passed since the store accepted its
/// report. A VM that is short of CPU time reads the report late, so the age of the list counts and
/// not whether the list is being followed.
class ListingFreshness {
 public:
  virtual ~ListingFreshness() = default;
  /// @return whether runs may start by the list. A VM that the store does not answer continues with
  /// what it knows, because a zone that is cut off has to serve.
  virtual bool AllowsStarts(Instant now) const = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_LISTING_FRESHNESS_H_
