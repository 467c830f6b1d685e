// Part of the model: parsing and formatting of addresses.
#include "sapphireflow/model/address.h"

#include <charconv>

namespace sapphireflow {
namespace {

constexpr std::uint32_t kMaxOctet = 255;
constexpr std::uint32_t kMaxPort = 65535;

// Parses a decimal number up to `terminator` and advances `at` past it. With '\0' the number must
// extend to `end`.
std::optional<std::uint32_t> ParseDecimal(const char** at, const char* end, char terminator,
                                          std::uint32_t max_value) {
  std::uint32_t value = 0;
  const auto [next, error] = std::from_chars(*at, end, value);
  if (error != std::errc() || value > max_value) return std::nullopt;
  if (terminator == '\0') {
    if (next != end) return std::nullopt;
    *at = next;
    return value;
  }
  if (next == end || *next != terminator) return std::nullopt;
  *at = next + 1;
  return value;
}

}  // namespace

std::optional<Address> Address::Parse(const std::string& text) {
  const char* at = text.data();
  const char* end = at + text.size();
  std::uint32_t ip = 0;
  for (const char separator : {'.', '.', '.', ':'}) {
    const auto octet = ParseDecimal(&at, end, separator, kMaxOctet);
    if (!octet) return std::nullopt;
    ip = (ip << 8) | *octet;
  }
  const auto port = ParseDecimal(&at, end, '\0', kMaxPort);
  if (!port || *port == 0) return std::nullopt;
  return Address(ip, static_cast<std::uint16_t>(*port));
}

bool Address::IsUnicast() const {
  constexpr int kFirstOctetShift = 24;
  constexpr std::uint32_t kFirstMulticastOctet = 224;
  const std::uint32_t first_octet = m_ip >> kFirstOctetShift;
  return first_octet > 0 && first_octet < kFirstMulticastOctet;
}

std::string Address::host() const {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((m_ip >> shift) & kMaxOctet);
    if (shift > 0) text += '.';
  }
  return text;
}

std::string Address::text() const { return host() + ":" + std::to_string(m_port); }

}  // namespace sapphireflow
