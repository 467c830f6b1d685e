// Part of transport: generates the incarnation number of a process.
#ifndef SAPPHIREFLOW_TRANSPORT_NEW_INCARNATION_H_
#define SAPPHIREFLOW_TRANSPORT_NEW_INCARNATION_H_

#include <random>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Milliseconds since the Unix epoch, followed by random bits. A process that starts later
/// gets a larger number; the random bits keep processes of the same millisecond apart.
inline Incarnation NewIncarnation(Instant now) {
  constexpr int kRandomBits = 20;
  std::random_device entropy;
  return (static_cast<Incarnation>(ToUnixMillis(now)) << kRandomBits) |
         (entropy() & ((1U << kRandomBits) - 1));
}

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_NEW_INCARNATION_H_
