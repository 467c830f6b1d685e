// Part of routing: splitting a handover into parts and tracking their acknowledgements.
#include "sapphireflow/routing/handover_sender.h"

#include <algorithm>
#include <utility>

namespace sapphireflow {
namespace {

constexpr std::size_t kJobsPerPart = 200;
constexpr Duration kResendPause = std::chrono::milliseconds(300);

}  // namespace

void HandoverSender::Begin(const NodeId& successor, const std::vector<InheritJobs>& shards) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_successor) return;
  m_successor = successor;
  QueueParts(shards, true);
}

void HandoverSender::Finish(const std::vector<InheritJobs>& shards) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_successor) QueueParts(shards, false);
}

void HandoverSender::QueueParts(const std::vector<InheritJobs>& shards, bool seals) {
  for (ShardIndex shard = 0; shard < shards.size(); ++shard) {
    const InheritJobs& all = shards[shard];
    std::size_t sent = 0;
    // an empty shard still hands over its `evicted_up_to` mark
    do {
      const std::size_t count = std::min(kJobsPerPart, all.jobs().size() - sent);
      const auto first = all.jobs().begin() + static_cast<std::ptrdiff_t>(sent);
      std::vector<InheritedJob> jobs(first, first + static_cast<std::ptrdiff_t>(count));
      sent += count;
      const bool last = seals && shard + 1 == shards.size() && sent == all.jobs().size();
      m_parts.emplace_back(m_self, shard, m_next_part++, last,
                           InheritJobs(all.evicted_up_to(), std::move(jobs)));
    } while (sent < all.jobs().size());
  }
}

std::optional<Handover> HandoverSender::NextPart(Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_parts.empty() || now < m_send_at) return std::nullopt;
  m_send_at = now + kResendPause;
  return m_parts.front();
}

bool HandoverSender::OnReply(const HandoverReply& reply) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_parts.empty() || !m_successor || reply.successor() != *m_successor) return false;
  if (reply.part() != m_parts.front().part()) return false;
  m_send_at = Instant{};
  if (!reply.taken()) {
    // it has promised never to decide these ids, so another successor may be chosen
    if (!m_sealed) m_successor.reset();
    m_parts.clear();
    return false;
  }
  const bool seals = m_parts.front().last();
  m_parts.pop_front();
  m_sealed = m_sealed || seals;
  return seals;
}

std::optional<NodeId> HandoverSender::successor() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_successor;
}

bool HandoverSender::sealed() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_sealed;
}

bool HandoverSender::idle() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_parts.empty();
}

}  // namespace sapphireflow
