// Part of routing: the configuration in force, and what is known of its age.
#include <string>

#include "sapphireflow/routing/dispatch_node.h"

namespace sapphireflow {
namespace {

constexpr Duration kAgeInterval = std::chrono::milliseconds(1000);

}  // namespace

void DispatchNode::HandleEvent(const ConfigurationCopy& event, EventContext& ctx) {
  const std::uint64_t before = m_configuration.version();
  if (!m_configuration.UpdateIfNewer(event.configuration())) return;
  ctx.out.emplace_back(
      LogEvent(LogLevel::kInfo, "configuration_in_force",
               {{"version", std::to_string(event.configuration()->version())},
                {"before", std::to_string(before)},
                {"queues", std::to_string(event.configuration()->queues().size())}}));
}

void DispatchNode::HandleEvent(const ConfigurationConfirmed& event, EventContext& /*ctx*/) {
  m_configuration.Confirm(event.as_of());
}

void DispatchNode::HandleEvent(const ConfigurationUnconfirmed& /*event*/, EventContext& /*ctx*/) {
  m_configuration.OnStoreAway();
}

void DispatchNode::ShowConfigurationAge(EventContext& ctx) {
  const auto age = m_configuration.Age(ctx.now);
  if (!age || !IsDue(m_configuration_age_shown_at, kAgeInterval, ctx)) return;
  ctx.out.emplace_back(GaugeValue("configuration_age_ms", "", "", ToMillis(*age)));
}

}  // namespace sapphireflow
