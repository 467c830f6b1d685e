// Part of the model: the limits of what an entry of the platform's directory may describe.
#include "sapphireflow/model/worker_listing.h"

namespace sapphireflow {
namespace {

bool IsPlausibleAmount(std::int64_t amount) {
  return amount >= 0 && amount <= Resources::kMaxAmount;
}

bool IsPlausibleId(const WorkerId& id) {
  return !id.empty() && id.size() <= kMaxWorkerNameBytes &&
         std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c <= '~'; });
}

bool IsTooLong(const std::string& name) { return name.size() > kMaxWorkerNameBytes; }

}  // namespace

std::optional<std::string> FindFault(const WorkerListing& listing) {
  if (!IsPlausibleId(listing.id())) return "the id is empty, too long or not visible ASCII";
  if (!listing.address().IsUnicast()) return "no process can listen at the address";
  if (listing.service().empty()) return "the service is empty";
  if (IsTooLong(listing.service()) || IsTooLong(listing.zone())) return "a name is too long";
  const auto& labels = listing.labels();
  if (labels.size() > kMaxWorkerLabels || std::any_of(labels.begin(), labels.end(), IsTooLong)) {
    return "there are too many labels, or one is too long";
  }
  const Resources& capacity = listing.capacity();
  for (const std::int64_t amount :
       {capacity.milli_cores(), capacity.memory_mb(), capacity.accelerators()}) {
    if (!IsPlausibleAmount(amount)) return "the capacity is out of range";
  }
  const std::int64_t start_ms = listing.process_start_ms();
  if (start_ms < 0 || start_ms > kMaxProcessStartMs) return "the process start is out of range";
  return std::nullopt;
}

}  // namespace sapphireflow
