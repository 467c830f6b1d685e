// Part of ownership: fencing tokens that rise and that no two owners share.
#ifndef SAPPHIREFLOW_OWNERSHIP_TOKEN_SOURCE_H_
#define SAPPHIREFLOW_OWNERSHIP_TOKEN_SOURCE_H_

#include <cstdint>
#include <mutex>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

using FencingToken = std::uint64_t;

/// @brief Issues tokens: a counter that follows the time of day, and the owner's number, which is
/// taken from its address.
/// Thread-safe.
class TokenSource {
 public:
  explicit TokenSource(const NodeId& owner);
  /// @return a token above all issued or seen before. Complexity: constant.
  FencingToken Next(Instant now);
  /// @brief Takes note of a token that another owner uses.
  void Seen(FencingToken token);
  /// @brief After a refusal: skips ahead, so that a clock that was set back is made up for.
  void SkipAhead(Duration by);
  FencingToken highest() const;

 private:
  const std::uint64_t m_owner_bits;
  mutable std::mutex m_mutex;
  // guarded by m_mutex; invariant: the highest counter issued or seen, below 2^39
  std::uint64_t m_counter = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_TOKEN_SOURCE_H_
