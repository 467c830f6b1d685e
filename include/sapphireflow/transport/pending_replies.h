// Part of transport: callers whose HTTP requests wait for a reply.
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

/// @brief Responders by token, in shards with a lock each. Thread-safe.
class PendingReplies {
 public:
  /// @return the token under which the request waits.
  RequestToken Add(std::shared_ptr<HttpResponder> responder);
  /// @brief Responds to the request, if it still waits.
  void Respond(RequestToken token, const HttpResponse& response);
  /// @brief Drops a request whose caller has gone.
  void Forget(RequestToken token);
  std::size_t size() const;
  /// @brief Waits until no request is left, at most for `limit`. @return whether none is left.
  bool WaitUntilEmpty(Duration limit);

 private:
  static constexpr std::size_t kShards = 16;
  struct Part {
    mutable std::mutex mutex;
    // invariant: guarded by mutex
    std::unordered_map<RequestToken, std::shared_ptr<HttpResponder>> waiting;
  };
  void OnRemoved();

  std::atomic<RequestToken> m_next{1};
  std::mutex m_empty_mutex;
  std::condition_variable m_empty;
  std::array<Part, kShards> m_parts;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_PENDING_REPLIES_H_
