// Part of dispatch: the coordinator's view of evacuated zones.
#include <algorithm>
#include <utility>

#include "sapphireflow/dispatch/capacity_view.h"

namespace sapphireflow {

void CapacityView::SetEvacuated(EvacuatedZones zones) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_evacuated = std::move(zones);
  FindOpenServices();
}

void CapacityView::FindOpenServices() {
  m_open_services.clear();
  for (const auto& [id, listing] : m_listings) {
    const bool is_open = !m_evacuated.Contains(listing.zone());
    bool& has_open = m_open_services[listing.service()];
    has_open = has_open || is_open;
  }
}

bool CapacityView::CountsAsReady() const {
  if (m_had_workers && m_evacuated.Contains(m_zone)) return true;
  return !m_open_services.empty() && std::none_of(m_open_services.begin(), m_open_services.end(),
                                                  [](const auto& item) { return item.second; });
}

bool CapacityView::IsEvacuated(const std::string& service) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_open_services.find(service);
  return found != m_open_services.end() && !found->second;
}

bool CapacityView::CouldRunNow(const std::string& service, const Resources& needs,
                               const std::string& label) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return std::any_of(m_listings.begin(), m_listings.end(), [&](const auto& item) {
    const WorkerListing& listing = item.second;
    return listing.service() == service && listing.capacity().Covers(needs) &&
           (label.empty() || listing.HasLabel(label)) && !m_evacuated.Contains(listing.zone());
  });
}

}  // namespace sapphireflow
