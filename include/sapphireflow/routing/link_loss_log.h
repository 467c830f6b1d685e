// Part of routing: bounds the log lines about lost links.
#ifndef SAPPHIREFLOW_ROUTING_LINK_LOSS_LOG_H_
#define SAPPHIREFLOW_ROUTING_LINK_LOSS_LOG_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"
#include "sapphireflow/observe/event_log.h"

namespace sapphireflow {

/// @brief Turns losses of links into lines: the first loss of a link to a member for a reason at
/// once, later ones as a count every few seconds. A link may break several times a second.
/// Thread-safe: one lock.
class LinkLossLog {
 public:
  /// @brief Records a loss.
  void Record(const NodeId& member, const std::string& why, Instant now);
  /// @return the lines that are due. Complexity: linear in the members whose links broke recently.
  std::vector<LogEvent> DueLines(Instant now);

 private:
  struct Losses {
    Instant next_line_at{};
    // not logged yet
    std::uint64_t count = 0;
  };
  std::mutex m_mutex;
  // guarded by m_mutex; by member and reason
  std::map<std::pair<NodeId, std::string>, Losses> m_losses;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_LINK_LOSS_LOG_H_
