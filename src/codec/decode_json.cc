// Part of codec: reasons of decoding errors.
#include "sapphireflow/codec/decode_json.h"

namespace sapphireflow::detail {
namespace {

constexpr std::size_t kMaxReasonBytes = 300;

}  // namespace

std::string PrintableReason(const std::string& reason) {
  std::string text = reason.substr(0, kMaxReasonBytes);
  for (char& c : text) {
    if (c < ' ' || c > '~') c = '?';
  }
  return reason.size() > kMaxReasonBytes ? text + "..." : text;
}

}  // namespace sapphireflow::detail
