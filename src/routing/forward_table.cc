// Part of routing: pending forwarded requests.
#include "sapphireflow/routing/forward_table.h"

#include <algorithm>
#include <utility>

namespace sapphireflow {

void ForwardTable::Put(const ForwardedRequest& forwarded) {
  const RequestToken token = forwarded.request().waiter().token();
  Part& part = m_parts[token % kShards];
  std::lock_guard<std::mutex> lock(part.mutex);
  TakeFrom(part, token);
  part.open.emplace(token, forwarded);
  part.due.emplace(forwarded.reply_by(), token);
}

// Precondition: the lock of the part is held.
std::optional<ForwardedRequest> ForwardTable::TakeFrom(Part& part, RequestToken token) {
  auto node = part.open.extract(token);
  if (!node) return std::nullopt;
  part.due.erase({node.mapped().reply_by(), token});
  return std::move(node.mapped());
}

std::optional<ForwardedRequest> ForwardTable::Take(RequestToken token) {
  Part& part = m_parts[token % kShards];
  std::lock_guard<std::mutex> lock(part.mutex);
  return TakeFrom(part, token);
}

std::vector<ForwardedRequest> ForwardTable::TakeByTarget(const Address& target) {
  std::vector<ForwardedRequest> taken;
  for (Part& part : m_parts) {
    std::lock_guard<std::mutex> lock(part.mutex);
    std::vector<RequestToken> tokens;
    for (const auto& [token, forwarded] : part.open) {
      if (forwarded.target() == target) tokens.push_back(token);
    }
    for (const RequestToken token : tokens) taken.push_back(*TakeFrom(part, token));
  }
  return taken;
}

std::vector<ForwardedRequest> ForwardTable::TakeOverdue(Instant now) {
  std::vector<ForwardedRequest> taken;
  for (Part& part : m_parts) {
    std::lock_guard<std::mutex> lock(part.mutex);
    while (!part.due.empty() && part.due.begin()->first <= now) {
      taken.push_back(*TakeFrom(part, part.due.begin()->second));
    }
  }
  return taken;
}

Instant ForwardTable::NextDue() const {
  Instant due = kNever;
  for (const Part& part : m_parts) {
    std::lock_guard<std::mutex> lock(part.mutex);
    if (!part.due.empty()) due = std::min(due, part.due.begin()->first);
  }
  return due;
}

std::size_t ForwardTable::size() const {
  std::size_t size = 0;
  for (const Part& part : m_parts) {
    std::lock_guard<std::mutex> lock(part.mutex);
    size += part.open.size();
  }
  return size;
}

}  // namespace sapphireflow
