// Part of codec: scan of the structure of a CBOR message, without recursion.
#include "sapphireflow/codec/cbor_nesting.h"

#include <cstdint>
#include <vector>

namespace sapphireflow::detail {
namespace {

// major types of RFC 8949
constexpr unsigned kBytes = 2;
constexpr unsigned kText = 3;
constexpr unsigned kArray = 4;
constexpr unsigned kMap = 5;
constexpr unsigned kTag = 6;
constexpr unsigned kMajorShift = 5;
constexpr unsigned kInfoMask = 0x1f;
// additional information: 24 to 27 announce an argument of 1, 2, 4 or 8 bytes
constexpr unsigned kOneByte = 24;
constexpr unsigned kEightBytes = 27;

}  // namespace

bool IsCborNestingBounded(const std::string& bytes, std::size_t max_depth) {
  // items that are still missing in each open array or map
  std::vector<std::uint64_t> open;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto head = static_cast<unsigned char>(bytes[at++]);
    const unsigned major = head >> kMajorShift;
    const unsigned info = head & kInfoMask;
    if (info > kEightBytes) return false;
    std::uint64_t argument = info;
    if (info >= kOneByte) {
      const std::size_t length = std::size_t{1} << (info - kOneByte);
      if (bytes.size() - at < length) return true;  // the decoder reports what is truncated
      argument = 0;
      for (std::size_t i = 0; i < length; ++i) {
        argument = (argument << 8) | static_cast<unsigned char>(bytes[at++]);
      }
    }
    if (!open.empty()) --open.back();
    if (major == kBytes || major == kText) {
      if (argument > bytes.size() - at) return true;
      at += argument;
    } else if (major == kArray || major == kMap) {
      if (open.size() >= max_depth) return false;
      const bool overflows = major == kMap && argument > UINT64_MAX / 2;
      if (overflows) return false;
      open.push_back(major == kMap ? 2 * argument : argument);
    } else if (major == kTag) {
      return false;
    }
    while (!open.empty() && open.back() == 0) open.pop_back();
  }
  return true;
}

}  // namespace sapphireflow::detail
