// Part of routing: sending side of a planned handover, in acknowledged parts.
#ifndef SAPPHIREFLOW_ROUTING_HANDOVER_SENDER_H_
#define SAPPHIREFLOW_ROUTING_HANDOVER_SENDER_H_

#include <deque>
#include <mutex>
#include <optional>
#include <vector>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/routing/peer_message.h"

namespace sapphireflow {

/// @brief Sends the job records of a stopping home to its one successor. Thread-safe: one lock.
///
/// Parts are sent strictly in order, and each is resent until it is acknowledged. The part that
/// makes the successor decide ids not seen so far follows all parts that name seen ones. Another
/// successor is chosen only after the first has promised never to take over; otherwise two
/// processes could decide the same ids.
class HandoverSender {
 public:
  explicit HandoverSender(const NodeId& self) : m_self(self) {}

  /// @brief Sets the successor and queues the records of all shards.
  void Begin(const NodeId& successor, const std::vector<InheritJobs>& shards);
  /// @brief Queues the answers that have arrived since `Begin`. Does nothing without a successor.
  void Finish(const std::vector<InheritJobs>& shards);
  /// @brief Returns the part to send now: the next one, or an unacknowledged one again after a
  /// pause.
  std::optional<Handover> NextPart(Instant now);
  /// @brief Processes a reply.
  /// @return whether it acknowledges the part that seals the handover.
  bool OnReply(const HandoverReply& reply);

  std::optional<NodeId> successor() const;
  /// @brief Whether the successor decides ids not seen so far from now on.
  bool sealed() const;
  /// @brief Whether nothing is left to send.
  bool idle() const;

 private:
  void QueueParts(const std::vector<InheritJobs>& shards, bool seals);

  const NodeId m_self;
  mutable std::mutex m_mutex;
  // all members below are guarded by m_mutex
  std::optional<NodeId> m_successor;
  std::deque<Handover> m_parts;
  std::uint32_t m_next_part = 1;
  Instant m_send_at{};
  bool m_sealed = false;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_HANDOVER_SENDER_H_
