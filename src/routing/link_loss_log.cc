// Part of routing: counts of lost links, and the lines about them.
#include "sapphireflow/routing/link_loss_log.h"

namespace sapphireflow {
namespace {

constexpr Duration kLineInterval = std::chrono::seconds(5);

}  // namespace

void LinkLossLog::Record(const NodeId& member, const std::string& why, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto place = m_losses.try_emplace({member, why}).first;
  if (place->second.next_line_at == Instant{}) place->second.next_line_at = now;
  ++place->second.count;
}

std::vector<LogEvent> LinkLossLog::DueLines(Instant now) {
  std::vector<LogEvent> lines;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto item = m_losses.begin(); item != m_losses.end();) {
    auto& [link, losses] = *item;
    if (now < losses.next_line_at) {
      ++item;
      continue;
    }
    if (losses.count == 0) {
      item = m_losses.erase(item);
      continue;
    }
    lines.emplace_back(LogLevel::kWarning, "member_link_lost",
                       LogEvent::Pairs{{"member", link.first.text()},
                                       {"why", link.second},
                                       {"losses", std::to_string(losses.count)}});
    losses.count = 0;
    losses.next_line_at = now + kLineInterval;
    ++item;
  }
  return lines;
}

}  // namespace sapphireflow
