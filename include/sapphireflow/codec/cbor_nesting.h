// Part of codec: a check of CBOR messages before they are decoded.
#ifndef SAPPHIREFLOW_CODEC_CBOR_NESTING_H_
#define SAPPHIREFLOW_CODEC_CBOR_NESTING_H_

#include <cstddef>
#include <string>

namespace sapphireflow::detail {

/// @brief Deepest nesting of arrays and maps in a message between members.
constexpr std::size_t kMaxCborNesting = 16;

/// @brief Whether the arrays and maps of a message nest at most this deep. The decoder recurses
/// into them, so that a message without a limit could exhaust the stack. Items without a length in
/// advance, which this project never encodes, count as too deep. Complexity: linear.
bool IsCborNestingBounded(const std::string& bytes, std::size_t max_depth = kMaxCborNesting);

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_CODEC_CBOR_NESTING_H_
