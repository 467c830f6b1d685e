// Part of transport: numbers of process runs.
#ifndef SAPPHIREFLOW_TRANSPORT_NEW_INCARNATION_H_
#define SAPPHIREFLOW_TRANSPORT_NEW_INCARNATION_H_

#include <random>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Milliseconds since the epoch, then bits of chance: no later process repeats it.
inline Incarnation NewIncarnation(Instant now) {
  constexpr int kChanceBits = 20;
  std::random_device chance;
  return (static_cast<Incarnation>(ToUnixMillis(now)) << kChanceBits) |
         (chance() & ((1U << kChanceBits) - 1));
}

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_NEW_INCARNATION_H_
