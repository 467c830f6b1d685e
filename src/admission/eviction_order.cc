// Part of admission: the orders in which connections are closed.
#include "sapphireflow/admission/eviction_order.h"

namespace sapphireflow {
namespace {

constexpr char kOldestFirst[] = "oldest-first";

double ByteSeconds(const EvictionCandidate& candidate, Instant now) {
  const auto age = static_cast<double>((now - candidate.since()).count());
  // one microsecond more, so that the larger of two new requests comes first
  return static_cast<double>(candidate.held_bytes()) * (age + 1);
}

}  // namespace

bool HeldLongestOrder::Before(const EvictionCandidate& a, const EvictionCandidate& b,
                              Instant now) const {
  if (a.reading() != b.reading()) return a.reading();
  if (a.reading()) return ByteSeconds(a, now) > ByteSeconds(b, now);
  if (a.served() != b.served()) return b.served();
  return a.since() < b.since();
}

bool OldestFirstOrder::Before(const EvictionCandidate& a, const EvictionCandidate& b,
                              Instant /*now*/) const {
  return a.since() < b.since();
}

std::unique_ptr<EvictionOrder> MakeEvictionOrder(const std::string& name) {
  if (name == kOldestFirst) return std::make_unique<OldestFirstOrder>();
  return std::make_unique<HeldLongestOrder>();
}

}  // namespace sapphireflow
