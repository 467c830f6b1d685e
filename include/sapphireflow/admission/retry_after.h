// Part of admission: when a caller whose job was refused may come back.
#ifndef SAPPHIREFLOW_ADMISSION_RETRY_AFTER_H_
#define SAPPHIREFLOW_ADMISSION_RETRY_AFTER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/job_order.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

namespace detail {

inline std::chrono::seconds WholeSeconds(Duration length) {
  return std::chrono::duration_cast<std::chrono::seconds>(length + std::chrono::seconds(1) -
                                                          Duration(1));
}

}  // namespace detail

/// @brief When the caller of a refused job may come back: not before room is expected, and spread
/// over a time, so that callers refused together do not come back together.
/// @param key of the job; one job always gets the same place in the spread
/// @param room_in when room is expected; at most zero if it is not known
/// @param spread over which the callers are spread
/// @return whole seconds, at least 1.
inline std::chrono::seconds RetryAfter(JobKey key, Duration room_in, Duration spread) {
  const auto values = std::max<std::int64_t>(1, detail::WholeSeconds(spread).count());
  const auto place =
      static_cast<std::int64_t>(detail::MixBits(key) % static_cast<std::uint64_t>(values));
  return std::max(std::chrono::seconds(1), detail::WholeSeconds(room_in)) +
         std::chrono::seconds(place);
}

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ADMISSION_RETRY_AFTER_H_
