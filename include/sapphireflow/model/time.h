// Part of the model: time types. Decisions receive the time as an argument and never read a clock.
#ifndef SAPPHIREFLOW_MODEL_TIME_H_
#define SAPPHIREFLOW_MODEL_TIME_H_

#include <chrono>
#include <cstdint>

namespace sapphireflow {

/// @brief A duration in microseconds.
using Duration = std::chrono::microseconds;

/// @brief A point in time, microseconds since the Unix epoch.
using Instant = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// @brief Later than any other time.
inline constexpr Instant kNever = Instant::max();

/// @brief Whole milliseconds since the Unix epoch, the format sent to other processes.
inline std::int64_t ToUnixMillis(Instant at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

/// @brief Inverse of `ToUnixMillis`.
inline Instant FromUnixMillis(std::int64_t millis) {
  return Instant(std::chrono::milliseconds(millis));
}

/// @brief Fractional milliseconds, for logs and reports.
inline double ToMillis(Duration length) { return static_cast<double>(length.count()) / 1000.0; }

/// @brief Inverse of `ToMillis`, rounded towards zero.
inline Duration FromMillis(double millis) {
  return Duration(static_cast<std::int64_t>(millis * 1000.0));
}

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_TIME_H_
