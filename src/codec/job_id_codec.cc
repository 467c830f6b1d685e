// Part of codec: text form of job ids.
#include "sapphireflow/codec/job_id_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <optional>

namespace sapphireflow {
namespace {

constexpr char kPrefix[] = "sf1-";
constexpr int kHexRadix = 16;
// bytes kept of the HMAC
constexpr std::size_t kMacBytes = 8;
constexpr std::size_t kMaxTextSize = 160;

std::string Hex(std::uint64_t number) {
  std::array<char, 17> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), number, kHexRadix);
  return {text.data(), end.ptr};
}

// Parses a hexadecimal number up to the next dash and advances `at` past the dash.
std::optional<std::uint64_t> ParseHex(const char** at, const char* end) {
  std::uint64_t value = 0;
  const auto [next, error] = std::from_chars(*at, end, value, kHexRadix);
  if (error != std::errc() || next == end || *next != '-') return std::nullopt;
  *at = next + 1;
  return value;
}

}  // namespace

std::string JobIdCodec::ComputeMac(const std::string& body) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()),
       reinterpret_cast<const unsigned char*>(body.data()), body.size(), digest.data(), &size);
  std::string text;
  for (std::size_t i = 0; i < kMacBytes; ++i) {
    std::array<char, 3> byte{};
    std::snprintf(byte.data(), byte.size(), "%02x", digest[i]);
    text += byte.data();
  }
  return text;
}

std::string JobIdCodec::Write(const JobId& id) const {
  const std::string body = kPrefix + Hex(id.home().address().number()) + "-" +
                           Hex(id.home().incarnation()) + "-" + Hex(id.shard()) + "-" +
                           Hex(id.sequence()) + "-" +
                           Hex(static_cast<std::uint64_t>(ToUnixMillis(id.issued_at()))) + "-";
  return body + ComputeMac(body);
}

Result<JobId> JobIdCodec::Read(const std::string& text) const {
  const Error forged(ErrorId::kForgedId, "the job id was not issued by this system");
  const std::string prefix = kPrefix;
  if (text.size() > kMaxTextSize || text.compare(0, prefix.size(), prefix) != 0) return forged;
  const char* at = text.data() + prefix.size();
  const char* end = text.data() + text.size();
  std::array<std::uint64_t, 5> parts{};
  for (std::uint64_t& part : parts) {
    const auto value = ParseHex(&at, end);
    if (!value) return forged;
    part = *value;
  }
  const std::string body(text.data(), static_cast<std::size_t>(at - text.data()));
  const std::string mac(at, end);
  const std::string expected = ComputeMac(body);
  if (mac.size() != expected.size() ||
      CRYPTO_memcmp(mac.data(), expected.data(), mac.size()) != 0) {
    return forged;
  }
  constexpr int kPortBits = 16;
  const Address address(static_cast<std::uint32_t>(parts[0] >> kPortBits),
                        static_cast<std::uint16_t>(parts[0]));
  return JobId(NodeId(address, parts[1]), static_cast<ShardIndex>(parts[2]), parts[3],
               FromUnixMillis(static_cast<std::int64_t>(parts[4])));
}

}  // namespace sapphireflow
