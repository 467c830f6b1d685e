// Part of ownership: fencing tokens.
#include "sapphireflow/ownership/token_source.h"

#include <algorithm>

namespace sapphireflow {
namespace {

// JSON numbers are exact up to 2^53: 39 bits of time and 14 bits of owner
constexpr int kOwnerBits = 14;
// of the counter; 39 bits of it reach for a century
constexpr Duration kUnit = std::chrono::milliseconds(8);

std::uint64_t Units(Duration length) { return static_cast<std::uint64_t>(length / kUnit); }

// No two live processes share an address, so its bits are the owner's number: all of the last byte
// and the lowest ones of the two before, in which the addresses of a fleet differ.
std::uint64_t OwnerNumber(const Address& address) {
  constexpr std::uint32_t kHost = 0xff;
  constexpr std::uint32_t kLowBits = 0x7;
  const std::uint32_t ip = address.ip();
  return (ip & kHost) | (((ip >> 16) & kLowBits) << 8) | (((ip >> 8) & kLowBits) << 11);
}

}  // namespace

TokenSource::TokenSource(const NodeId& owner) : m_owner_bits(OwnerNumber(owner.address())) {}

FencingToken TokenSource::Next(Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_counter = std::max(m_counter + 1, Units(now.time_since_epoch()));
  return (m_counter << kOwnerBits) | m_owner_bits;
}

void TokenSource::Seen(FencingToken token) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_counter = std::max(m_counter, token >> kOwnerBits);
}

void TokenSource::SkipAhead(Duration by) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_counter += Units(by);
}

FencingToken TokenSource::highest() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_counter << kOwnerBits;
}

}  // namespace sapphireflow
