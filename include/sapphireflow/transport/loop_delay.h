// Part of transport: how an event loop reports its delay.
#ifndef SAPPHIREFLOW_TRANSPORT_LOOP_DELAY_H_
#define SAPPHIREFLOW_TRANSPORT_LOOP_DELAY_H_

#include <functional>

#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Told how late a loop handled an event, and in how long the next one is due; zero if that
/// is not known. Must not block.
using OnLoopDelay = std::function<void(Duration delay, Duration next_in)>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_LOOP_DELAY_H_
