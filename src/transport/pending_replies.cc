// Part of transport: HTTP requests that wait for their response.
#include "sapphireflow/transport/pending_replies.h"

#include <utility>

namespace sapphireflow {

RequestToken PendingReplies::Add(std::shared_ptr<HttpResponder> responder) {
  const RequestToken token = m_next.fetch_add(1);
  ReplyShard& reply_shard = m_reply_shards[token % kReplyShards];
  std::lock_guard<std::mutex> lock(reply_shard.mutex);
  reply_shard.pending_responders.emplace(token, std::move(responder));
  return token;
}

void PendingReplies::Respond(RequestToken token, const HttpResponse& response) {
  ReplyShard& reply_shard = m_reply_shards[token % kReplyShards];
  std::shared_ptr<HttpResponder> responder;
  {
    std::lock_guard<std::mutex> lock(reply_shard.mutex);
    auto node = reply_shard.pending_responders.extract(token);
    if (!node) return;
    responder = std::move(node.mapped());
  }
  responder->Respond(response);
  OnRemoved();
}

std::size_t PendingReplies::size() const {
  std::size_t size = 0;
  for (const ReplyShard& reply_shard : m_reply_shards) {
    std::lock_guard<std::mutex> lock(reply_shard.mutex);
    size += reply_shard.pending_responders.size();
  }
  return size;
}

void PendingReplies::Forget(RequestToken token) {
  ReplyShard& reply_shard = m_reply_shards[token % kReplyShards];
  {
    std::lock_guard<std::mutex> lock(reply_shard.mutex);
    reply_shard.pending_responders.erase(token);
  }
  OnRemoved();
}

void PendingReplies::OnRemoved() {
  // taking the lock ensures that a waiter has either not yet checked the condition or is already
  // waiting, so that the notification is not missed
  { std::lock_guard<std::mutex> lock(m_empty_mutex); }
  m_empty.notify_all();
}

bool PendingReplies::WaitUntilEmpty(Duration limit) {
  std::unique_lock<std::mutex> lock(m_empty_mutex);
  return m_empty.wait_for(lock, limit, [this] { return size() == 0; });
}

}  // namespace sapphireflow
