// Part of transport: waiting callers.
#include "sapphireflow/transport/pending_replies.h"

#include <utility>

namespace sapphireflow {

RequestToken PendingReplies::Add(std::shared_ptr<HttpResponder> responder) {
  const RequestToken token = m_next.fetch_add(1);
  Part& part = m_parts[token % kShards];
  std::lock_guard<std::mutex> lock(part.mutex);
  part.waiting.emplace(token, std::move(responder));
  return token;
}

void PendingReplies::Respond(RequestToken token, const HttpResponse& response) {
  Part& part = m_parts[token % kShards];
  std::shared_ptr<HttpResponder> responder;
  {
    std::lock_guard<std::mutex> lock(part.mutex);
    auto node = part.waiting.extract(token);
    if (!node) return;
    responder = std::move(node.mapped());
  }
  responder->Respond(response);
  OnRemoved();
}

std::size_t PendingReplies::size() const {
  std::size_t size = 0;
  for (const Part& part : m_parts) {
    std::lock_guard<std::mutex> lock(part.mutex);
    size += part.waiting.size();
  }
  return size;
}

void PendingReplies::Forget(RequestToken token) {
  Part& part = m_parts[token % kShards];
  {
    std::lock_guard<std::mutex> lock(part.mutex);
    part.waiting.erase(token);
  }
  OnRemoved();
}

void PendingReplies::OnRemoved() {
  // taken and released, so that a waiter is either before its check or asleep
  { std::lock_guard<std::mutex> lock(m_empty_mutex); }
  m_empty.notify_all();
}

bool PendingReplies::WaitUntilEmpty(Duration limit) {
  std::unique_lock<std::mutex> lock(m_empty_mutex);
  return m_empty.wait_for(lock, limit, [this] { return size() == 0; });
}

}  // namespace sapphireflow
