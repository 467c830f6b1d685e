// Part of codec: scan of the structure of a JSON text, without recursion.
#include "sapphireflow/codec/json_nesting.h"

namespace sapphireflow::detail {

bool IsJsonNestingBounded(const std::string& text, std::size_t max_depth) {
  std::size_t depth = 0;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char c = text[at];
    if (c == '"') {
      // to the end of the string; an escaped character does not end it
      at = text.find_first_of("\"\\", at + 1);
      while (at != std::string::npos && text[at] == '\\') {
        at = text.find_first_of("\"\\", at + 2);
      }
      if (at == std::string::npos) return true;  // the parser reports what is truncated
    } else if (c == '[' || c == '{') {
      if (++depth > max_depth) return false;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return true;
}

}  // namespace sapphireflow::detail
