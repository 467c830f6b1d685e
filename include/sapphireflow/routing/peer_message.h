// Part of routing: the messages between entry VMs, as values without an encoding.
#ifndef SAPPHIREFLOW_ROUTING_PEER_MESSAGE_H_
#define SAPPHIREFLOW_ROUTING_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sapphireflow/execution/shard_effect.h"
#include "sapphireflow/execution/shard_event.h"
#include "sapphireflow/membership/heartbeat.h"
#include "sapphireflow/model/table.h"

namespace sapphireflow {

/// @brief A caller's submission or query, forwarded to the job's home.
class ForwardJob : public Comparable<ForwardJob> {
 public:
  ForwardJob(const Waiter& waiter, const JobId& job, JobRequestKind question, JobSpecPtr spec)
      : m_waiter(waiter), m_job(job), m_question(question), m_spec(std::move(spec)) {}
  const Waiter& waiter() const { return m_waiter; }
  const JobId& job() const { return m_job; }
  /// @brief The query; meaningful only without a spec.
  JobRequestKind question() const { return m_question; }
  /// @brief Set for a submission, null for a query.
  const JobSpecPtr& spec() const { return m_spec; }
  auto Fields() const { return std::tie(m_waiter, m_job, m_question); }

 private:
  Waiter m_waiter;
  JobId m_job;
  JobRequestKind m_question;
  JobSpecPtr m_spec;
};

/// @brief Reply to `ForwardJob` by a process that is not the home of the job.
class WrongHome : public Comparable<WrongHome> {
 public:
  WrongHome(RequestToken token, const JobId& job, const NodeId& self, bool knows_handovers,
            const std::optional<SuccessorNote>& note)
      : m_token(token),
        m_job(job),
        m_self(self),
        m_knows_handovers(knows_handovers),
        m_note(note) {}
  RequestToken token() const { return m_token; }
  const JobId& job() const { return m_job; }
  const NodeId& self() const { return m_self; }
  /// @brief Whether the sender would know by now of a planned handover by an earlier process at its
  /// address.
  bool knows_handovers() const { return m_knows_handovers; }
  const std::optional<SuccessorNote>& note() const { return m_note; }
  auto Fields() const { return std::tie(m_token, m_job, m_self, m_knows_handovers, m_note); }

 private:
  RequestToken m_token;
  JobId m_job;
  NodeId m_self;
  bool m_knows_handovers;
  std::optional<SuccessorNote> m_note;
};

/// @brief Requests the table of a peer, if it is newer than the known version.
class TableRequest : public Comparable<TableRequest> {
 public:
  TableRequest(const Address& from, std::uint64_t known_version)
      : m_from(from), m_known_version(known_version) {}
  /// @brief Address to send the table to.
  const Address& from() const { return m_from; }
  std::uint64_t known_version() const { return m_known_version; }
  auto Fields() const { return std::tie(m_from, m_known_version); }

 private:
  Address m_from;
  std::uint64_t m_known_version;
};

/// @brief One part of the records that a stopping home hands over to its successor.
class Handover : public Comparable<Handover> {
 public:
  Handover(const NodeId& from, ShardIndex shard, std::uint32_t part, bool last, InheritJobs jobs)
      : m_from(from), m_shard(shard), m_part(part), m_last(last), m_jobs(std::move(jobs)) {}
  const NodeId& from() const { return m_from; }
  ShardIndex shard() const { return m_shard; }
  /// @brief Increases by one with each part of a handover.
  std::uint32_t part() const { return m_part; }
  /// @brief True if, after this part, the successor decides all ids that the home never saw.
  bool last() const { return m_last; }
  const InheritJobs& jobs() const { return m_jobs; }
  auto Fields() const { return std::tie(m_from, m_shard, m_part, m_last, m_jobs); }

 private:
  NodeId m_from;
  ShardIndex m_shard;
  std::uint32_t m_part;
  bool m_last;
  InheritJobs m_jobs;
};

/// @brief Reply of the chosen successor: it has accepted a part, or will never accept any.
class HandoverReply : public Comparable<HandoverReply> {
 public:
  HandoverReply(const NodeId& successor, std::uint32_t part, bool taken)
      : m_successor(successor), m_part(part), m_taken(taken) {}
  const NodeId& successor() const { return m_successor; }
  std::uint32_t part() const { return m_part; }
  /// @brief False if the successor is itself stopping and had not accepted the last part before.
  bool taken() const { return m_taken; }
  auto Fields() const { return std::tie(m_successor, m_part, m_taken); }

 private:
  NodeId m_successor;
  std::uint32_t m_part;
  bool m_taken;
};

using PeerMessage =
    std::variant<Heartbeat, ForwardJob, ReplyAnswer, ReplyJournal, WrongHome, RequestSlots,
                 GrantSlots, ReturnSlots, TableRequest, UseTable, Handover, HandoverReply>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_PEER_MESSAGE_H_
