// Part of transport: HTTP requests that wait for their response.
#ifndef SAPPHIREFLOW_TRANSPORT_PENDING_REPLIES_H_
#define SAPPHIREFLOW_TRANSPORT_PENDING_REPLIES_H_

#include <array>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"
#include "sapphireflow/transport/http.h"

namespace sapphireflow {

/// @brief Responders by request token, in shards that each have their own lock. Thread-safe.
class PendingReplies {
 public:
  /// @return the token that identifies the request.
  RequestToken Add(std::shared_ptr<HttpResponder> responder);
  /// @brief Responds to the request if it is still pending.
  void Respond(RequestToken token, const HttpResponse& response);
  /// @brief Removes a request whose caller has closed the connection.
  void Forget(RequestToken token);
  std::size_t size() const;
  /// @brief Waits until no request is pending, for at most `limit`.
  /// @return whether no request is pending.
  bool WaitUntilEmpty(Duration limit);

 private:
  static constexpr std::size_t kReplyShards = 16;
  struct ReplyShard {
    mutable std::mutex mutex;
    // invariant: guarded by mutex
    std::unordered_map<RequestToken, std::shared_ptr<HttpResponder>> pending_responders;
  };
  void OnRemoved();

  std::atomic<RequestToken> m_next{1};
  std::mutex m_empty_mutex;
  std::condition_variable m_empty;
  std::array<ReplyShard, kReplyShards> m_reply_shards;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_PENDING_REPLIES_H_
