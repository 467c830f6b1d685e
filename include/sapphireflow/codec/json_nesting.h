// Part of codec: a check of JSON texts before they are decoded.
#ifndef SAPPHIREFLOW_CODEC_JSON_NESTING_H_
#define SAPPHIREFLOW_CODEC_JSON_NESTING_H_

#include <cstddef>
#include <string>

namespace sapphireflow::detail {

/// @brief Deepest nesting of arrays and objects in a JSON text.
constexpr std::size_t kMaxJsonNesting = 64;

/// @brief Whether the arrays and objects of a text nest at most this deep. The parsed form of a
/// text that only nests takes a hundred times its size, and some uses of it recurse. Says nothing
/// about whether the text is valid. Complexity: linear.
bool IsJsonNestingBounded(const std::string& text, std::size_t max_depth = kMaxJsonNesting);

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_CODEC_JSON_NESTING_H_
