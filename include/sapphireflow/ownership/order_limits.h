// Part of ownership: how long an order to start a run may be in transit and in the queue.
// Coordinators derive from these limits when an order to an unreachable owner can no longer start.
#ifndef SAPPHIREFLOW_OWNERSHIP_ORDER_LIMITS_H_
#define SAPPHIREFLOW_OWNERSHIP_ORDER_LIMITS_H_

#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief An owner declines an order that echoes a heartbeat older than this: network partitions
/// and frozen processes delay messages for seconds.
constexpr Duration kMaxOrderAge = std::chrono::milliseconds(1200);
/// @brief An order that has waited for free capacity for this long is declined.
constexpr Duration kMaxQueueTime = std::chrono::milliseconds(500);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_ORDER_LIMITS_H_
