// Part of routing: input events of an entry VM, and the effects that its transport carries out.
#ifndef SAPPHIREFLOW_ROUTING_NODE_EVENT_H_
#define SAPPHIREFLOW_ROUTING_NODE_EVENT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sapphireflow/execution/shard_effect.h"
#include "sapphireflow/execution/shard_event.h"
#include "sapphireflow/model/vm_list.h"
#include "sapphireflow/routing/peer_message.h"
#include "sapphireflow/settings/store_op.h"
#include "sapphireflow/settings/table_edit.h"

namespace sapphireflow {

/// @brief A caller requests job ids for later submissions.
class IssueIds : public Comparable<IssueIds> {
 public:
  IssueIds(RequestToken token, std::uint32_t count) : m_token(token), m_count(count) {}
  RequestToken token() const { return m_token; }
  std::uint32_t count() const { return m_count; }
  auto Fields() const { return std::tie(m_token, m_count); }

 private:
  RequestToken m_token;
  std::uint32_t m_count;
};

/// @brief A caller submits a job under a previously issued id.
class CallerSubmit : public Comparable<CallerSubmit> {
 public:
  CallerSubmit(RequestToken token, const JobId& job, JobSpecPtr spec)
      : m_token(token), m_job(job), m_spec(std::move(spec)) {}
  RequestToken token() const { return m_token; }
  const JobId& job() const { return m_job; }
  const JobSpecPtr& spec() const { return m_spec; }
  auto Fields() const { return std::tie(m_token, m_job, *m_spec); }

 private:
  RequestToken m_token;
  JobId m_job;
  JobSpecPtr m_spec;
};

/// @brief A caller or operator queries a job; the reply is due by `reply_by`.
class CallerQuery : public Comparable<CallerQuery> {
 public:
  CallerQuery(RequestToken token, const JobId& job, JobRequestKind question, Instant reply_by)
      : m_token(token), m_job(job), m_question(question), m_reply_by(reply_by) {}
  RequestToken token() const { return m_token; }
  const JobId& job() const { return m_job; }
  JobRequestKind question() const { return m_question; }
  Instant reply_by() const { return m_reply_by; }
  auto Fields() const { return std::tie(m_token, m_job, m_question, m_reply_by); }

 private:
  RequestToken m_token;
  JobId m_job;
  JobRequestKind m_question;
  Instant m_reply_by;
};

/// @brief An operator edits the table.
class OperatorEdit : public Comparable<OperatorEdit> {
 public:
  OperatorEdit(RequestToken token, TableEdit edit) : m_token(token), m_edit(std::move(edit)) {}
  RequestToken token() const { return m_token; }
  const TableEdit& edit() const { return m_edit; }
  auto Fields() const { return std::tie(m_token, m_edit); }

 private:
  RequestToken m_token;
  TableEdit m_edit;
};

/// @brief A message from a peer has arrived.
class PeerMessageReceived : public Comparable<PeerMessageReceived> {
 public:
  explicit PeerMessageReceived(PeerMessage message) : m_message(std::move(message)) {}
  const PeerMessage& message() const { return m_message; }
  auto Fields() const { return std::tie(m_message); }

 private:
  PeerMessage m_message;
};

/// @brief The connection to a peer broke or could not be established.
class PeerUnreachable : public Comparable<PeerUnreachable> {
 public:
  explicit PeerUnreachable(const Address& peer) : m_peer(peer) {}
  const Address& peer() const { return m_peer; }
  auto Fields() const { return std::tie(m_peer); }

 private:
  Address m_peer;
};

/// @brief The time requested with `WakeShard` has come.
class ShardTimerExpired : public Comparable<ShardTimerExpired> {
 public:
  explicit ShardTimerExpired(ShardIndex shard) : m_shard(shard) {}
  ShardIndex shard() const { return m_shard; }
  auto Fields() const { return std::tie(m_shard); }

 private:
  ShardIndex m_shard;
};

/// @brief A heartbeat interval has passed.
class HeartbeatTick : public Comparable<HeartbeatTick> {
 public:
  auto Fields() const { return std::tie(); }
};

/// @brief A planned stop begins.
class BeginDrain : public Comparable<BeginDrain> {
 public:
  auto Fields() const { return std::tie(); }
};

using NodeEvent = std::variant<IssueIds, CallerSubmit, CallerQuery, OperatorEdit, AttemptReport,
                               PeerMessageReceived, PeerUnreachable, StoreReply, VmList,
                               ShardTimerExpired, HeartbeatTick, BeginDrain>;

/// @brief An event and the time at which it is processed.
class NodeInput : public Comparable<NodeInput> {
 public:
  NodeInput(Instant now, NodeEvent event) : m_now(now), m_event(std::move(event)) {}
  Instant now() const { return m_now; }
  const NodeEvent& event() const { return m_event; }
  auto Fields() const { return std::tie(m_now, m_event); }

 private:
  Instant m_now;
  NodeEvent m_event;
};

/// @brief Sends a message to the process at an address.
class SendToPeer : public Comparable<SendToPeer> {
 public:
  SendToPeer(const Address& to, PeerMessage message) : m_to(to), m_message(std::move(message)) {}
  const Address& to() const { return m_to; }
  const PeerMessage& message() const { return m_message; }
  auto Fields() const { return std::tie(m_to, m_message); }

 private:
  Address m_to;
  PeerMessage m_message;
};

/// @brief Reply to a request of a caller or operator.
class CallerReply : public Comparable<CallerReply> {
 public:
  using Body = std::variant<std::vector<JobId>, JobAnswer, Journal, EditAnswer, Error>;
  CallerReply(RequestToken token, Body body) : m_token(token), m_body(std::move(body)) {}
  RequestToken token() const { return m_token; }
  const Body& body() const { return m_body; }
  auto Fields() const { return std::tie(m_token, m_body); }

 private:
  RequestToken m_token;
  Body m_body;
};

/// @brief For the log: this VM has put a newer table in force.
class TableActivated : public Comparable<TableActivated> {
 public:
  explicit TableActivated(std::uint64_t version) : m_version(version) {}
  std::uint64_t version() const { return m_version; }
  auto Fields() const { return std::tie(m_version); }

 private:
  std::uint64_t m_version;
};

/// @brief The planned stop is complete; the process may exit.
class Drained : public Comparable<Drained> {
 public:
  explicit Drained(bool handed_over) : m_handed_over(handed_over) {}
  /// @brief Whether a successor has accepted all answers and ids.
  bool handed_over() const { return m_handed_over; }
  auto Fields() const { return std::tie(m_handed_over); }

 private:
  bool m_handed_over;
};

using NodeEffect =
    std::variant<StartAttempt, StopAttempts, JobSettled, AttemptWasted, WakeShard, SendToPeer,
                 CallerReply, ReadStore, SwapStore, TableActivated, Drained>;
using NodeEffects = std::vector<NodeEffect>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_NODE_EVENT_H_
