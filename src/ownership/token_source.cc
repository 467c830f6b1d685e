// Part of ownership: fencing tokens.
#include "sapphireflow/ownership/token_source.h"

#include <algorithm>
#include <functional>

namespace sapphireflow {
namespace {

// JSON numbers are exact up to 2^53: 42 bits of milliseconds and 11 bits of owner
constexpr int kOwnerBits = 11;
constexpr std::uint64_t kOwnerMask = (1U << kOwnerBits) - 1;

}  // namespace

TokenSource::TokenSource(const NodeId& owner)
    : m_owner_bits(detail::MixHash(std::hash<Address>()(owner.address()), owner.incarnation()) &
                   kOwnerMask) {}

FencingToken TokenSource::Next(Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_counter = std::max(m_counter + 1, static_cast<std::uint64_t>(ToUnixMillis(now)));
  return (m_counter << kOwnerBits) | m_owner_bits;
}

void TokenSource::Seen(FencingToken token) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_counter = std::max(m_counter, token >> kOwnerBits);
}

void TokenSource::SkipAhead(Duration by) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_counter += static_cast<std::uint64_t>(ToMillis(by));
}

FencingToken TokenSource::highest() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_counter << kOwnerBits;
}

}  // namespace sapphireflow
