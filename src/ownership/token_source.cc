// Part of ownership: layout of fencing tokens.
#include "sapphireflow/ownership/token_source.h"

#include <algorithm>

namespace sapphireflow {
namespace {

// Tokens have 53 bits, because JSON numbers are exact up to 2^53: 39 bits for the counter and 14
// bits for the owner.
constexpr int kOwnerBits = 14;
// Time per increment of the counter; 39 bits last for more than a century.
constexpr Duration kCounterUnit = std::chrono::milliseconds(8);

std::uint64_t ToCounterUnits(Duration length) {
  return static_cast<std::uint64_t>(length / kCounterUnit);
}

// Derives the owner's number from its address, which no two running processes share: the lowest 10
// bits of the host in its zone, and the lowest 4 bits of the zone, in the second byte of the
// address. Addresses of a fleet of 16 zones differ in these bits.
std::uint64_t OwnerNumber(const Address& address) {
  constexpr int kHostBits = 10;
  constexpr std::uint32_t kHostMask = (1U << kHostBits) - 1;
  constexpr int kZoneShift = 16;
  constexpr std::uint32_t kZoneMask = 0xf;
  const std::uint32_t ip = address.ip();
  return (ip & kHostMask) | (((ip >> kZoneShift) & kZoneMask) << kHostBits);
}

}  // namespace

TokenSource::TokenSource(const NodeId& owner) : m_owner_bits(OwnerNumber(owner.address())) {}

FencingToken TokenSource::Next(Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_counter = std::max(m_counter + 1, ToCounterUnits(now.time_since_epoch()));
  return (m_counter << kOwnerBits) | m_owner_bits;
}

void TokenSource::Observe(FencingToken token) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_counter = std::max(m_counter, token >> kOwnerBits);
}

void TokenSource::SkipAhead(Duration by) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_counter += ToCounterUnits(by);
}

FencingToken TokenSource::highest() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_counter << kOwnerBits;
}

}  // namespace sapphireflow
