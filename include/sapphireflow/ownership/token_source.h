// Part of ownership: fencing tokens, which increase and are unique to their owner.
#ifndef SAPPHIREFLOW_OWNERSHIP_TOKEN_SOURCE_H_
#define SAPPHIREFLOW_OWNERSHIP_TOKEN_SOURCE_H_

#include <cstdint>
#include <mutex>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

using FencingToken = std::uint64_t;

/// @brief Issues fencing tokens. A token consists of a counter that follows the time of day, in the
/// high bits, and the owner's number, which is derived from its address.
/// Thread-safe: one lock.
class TokenSource {
 public:
  explicit TokenSource(const NodeId& owner);
  /// @return a token higher than all tokens issued or seen before. Complexity: constant.
  FencingToken Next(Instant now);
  /// @brief Raises the counter to at least that of another owner's token.
  void Observe(FencingToken token);
  /// @brief Advances the counter after a refusal, to compensate for a clock that was set back.
  void SkipAhead(Duration by);
  /// @return the highest counter issued or seen, as a token without an owner's number.
  FencingToken highest() const;

 private:
  const std::uint64_t m_owner_bits;
  mutable std::mutex m_mutex;
  // guarded by m_mutex; highest counter issued or seen; invariant: below 2^39
  std::uint64_t m_counter = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_TOKEN_SOURCE_H_
