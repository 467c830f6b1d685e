// Part of ownership: how long an order to start a run may be on its way and wait. What a
// coordinator believes of an owner that it does not hear rests on these.
#ifndef SAPPHIREFLOW_OWNERSHIP_ORDER_LIMITS_H_
#define SAPPHIREFLOW_OWNERSHIP_ORDER_LIMITS_H_

#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief An owner declines an order whose echo is of an older beat: cuts and freezes hold messages
/// up for seconds.
constexpr Duration kOldestOrder = std::chrono::milliseconds(1200);
/// @brief An order that finds no room for so long goes back to its coordinator.
constexpr Duration kLongestQueueing = std::chrono::milliseconds(500);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_ORDER_LIMITS_H_
