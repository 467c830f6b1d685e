// Part of the model: the IPv4 address and TCP port of a process.
#ifndef SAPPHIREFLOW_MODEL_ADDRESS_H_
#define SAPPHIREFLOW_MODEL_ADDRESS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "sapphireflow/model/comparable.h"

namespace sapphireflow {

namespace detail {
inline std::size_t HashCombine(std::size_t seed, std::size_t value) {
  constexpr std::size_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;
  return seed ^ (value + kGoldenRatio + (seed << 6) + (seed >> 2));
}

// Finalizer of SplitMix64: every input bit affects every output bit.
inline std::uint64_t MixBits(std::uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}
}  // namespace detail

/// @brief IPv4 address and TCP port, written `127.0.0.1:7101`.
class Address : public Comparable<Address> {
 public:
  Address() = default;
  Address(std::uint32_t ip, std::uint16_t port) : m_ip(ip), m_port(port) {}
  /// @return `std::nullopt` unless `text` is four decimal octets and a port from 1 to 65535.
  static std::optional<Address> Parse(const std::string& text);
  /// @brief The IPv4 address; the first octet is the most significant byte.
  std::uint32_t ip() const { return m_ip; }
  std::uint16_t port() const { return m_port; }
  /// @brief Whether a process can listen there: neither of the network `0.0.0.0/8` nor multicast,
  /// reserved or broadcast.
  bool IsUnicast() const;
  std::string host() const;
  std::string text() const;
  /// @brief IP and port packed into one number, unique for each address.
  std::uint64_t number() const { return (static_cast<std::uint64_t>(m_ip) << 16) | m_port; }
  auto Fields() const { return std::tie(m_ip, m_port); }

 private:
  std::uint32_t m_ip = 0;
  std::uint16_t m_port = 0;
};

}  // namespace sapphireflow

template <>
struct std::hash<sapphireflow::Address> {
  std::size_t operator()(const sapphireflow::Address& address) const noexcept {
    return sapphireflow::detail::HashCombine(address.number(), address.port());
  }
};

#endif  // SAPPHIREFLOW_MODEL_ADDRESS_H_
