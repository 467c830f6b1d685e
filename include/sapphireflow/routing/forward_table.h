// Part of routing: requests of this VM's callers that await the reply of a home.
#ifndef SAPPHIREFLOW_ROUTING_FORWARD_TABLE_H_
#define SAPPHIREFLOW_ROUTING_FORWARD_TABLE_H_

#include <array>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sapphireflow/routing/peer_message.h"

namespace sapphireflow {

/// @brief A request forwarded to the process at `target`, which must reply by `reply_by`.
class ForwardedRequest : public Comparable<ForwardedRequest> {
 public:
  ForwardedRequest(ForwardJob request, const Address& target, Instant reply_by)
      : m_request(std::move(request)), m_target(target), m_reply_by(reply_by) {}
  const ForwardJob& request() const { return m_request; }
  const Address& target() const { return m_target; }
  Instant reply_by() const { return m_reply_by; }
  auto Fields() const { return std::tie(m_request, m_target, m_reply_by); }

 private:
  ForwardJob m_request;
  Address m_target;
  Instant m_reply_by;
};

/// @brief Pending forwarded requests by token. Thread-safe: several shards, each with its own lock.
class ForwardTable {
 public:
  /// @brief Adds a request; replaces an earlier one with the same token.
  void Put(const ForwardedRequest& forwarded);
  /// @brief Removes the request with this token.
  /// @return the request; empty if it was removed before. Complexity: logarithmic.
  std::optional<ForwardedRequest> Take(RequestToken token);
  /// @brief Removes and returns all requests forwarded to `target`. Complexity: linear.
  std::vector<ForwardedRequest> TakeByTarget(const Address& target);
  /// @brief Removes and returns all requests whose reply is overdue. Complexity: logarithmic for
  /// each one removed.
  std::vector<ForwardedRequest> TakeOverdue(Instant now);
  /// @return the earliest time at which a reply is due; `kNever` without requests.
  Instant NextDue() const;
  std::size_t size() const;

 private:
  static constexpr std::size_t kShards = 8;
  struct Part {
    mutable std::mutex mutex;
    // invariant: guarded by mutex
    std::unordered_map<RequestToken, ForwardedRequest> open;
    // invariant: holds exactly the reply time and token of each request in open
    std::set<std::pair<Instant, RequestToken>> due;
  };
  static std::optional<ForwardedRequest> TakeFrom(Part& part, RequestToken token);

  std::array<Part, kShards> m_parts;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_FORWARD_TABLE_H_
