// Part of execution: the side effects that a shard requests. Decisions return them as values and
// the transport carries them out, so decisions depend on neither sockets nor encodings.
#ifndef SAPPHIREFLOW_EXECUTION_SHARD_EFFECT_H_
#define SAPPHIREFLOW_EXECUTION_SHARD_EFFECT_H_

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/job_spec.h"
#include "sapphireflow/model/vm_list.h"
#include "sapphireflow/observe/journal.h"
#include "sapphireflow/placement/slot_pool.h"

namespace sapphireflow {

/// @brief A request that waits for a reply: its entry VM and its token there.
class Waiter : public Comparable<Waiter> {
 public:
  Waiter(const Address& at, RequestToken token) : m_at(at), m_token(token) {}
  const Address& at() const { return m_at; }
  RequestToken token() const { return m_token; }
  auto Fields() const { return std::tie(m_at, m_token); }

 private:
  Address m_at;
  RequestToken m_token;
};

/// @brief Starts an attempt on a worker. The worker must not start it after `lease_until`, and
/// stops it at that time.
class StartAttempt : public Comparable<StartAttempt> {
 public:
  StartAttempt(const AttemptId& attempt, const Address& worker, JobSpecPtr spec,
               Instant lease_until)
      : m_attempt(attempt), m_worker(worker), m_spec(std::move(spec)), m_lease_until(lease_until) {}
  const AttemptId& attempt() const { return m_attempt; }
  const Address& worker() const { return m_worker; }
  const Task& task() const { return m_spec->tasks()[m_attempt.task()]; }
  Instant lease_until() const { return m_lease_until; }
  auto Fields() const { return std::tie(m_attempt, m_worker, m_lease_until); }

 private:
  AttemptId m_attempt;
  Address m_worker;
  JobSpecPtr m_spec;
  Instant m_lease_until;
};

/// @brief Stops attempts on one worker with one message. The worker then rejects a start request
/// for them that arrives later.
class StopAttempts : public Comparable<StopAttempts> {
 public:
  StopAttempts(const Address& worker, std::vector<AttemptId> attempts)
      : m_worker(worker), m_attempts(std::move(attempts)) {}
  const Address& worker() const { return m_worker; }
  const std::vector<AttemptId>& attempts() const { return m_attempts; }
  auto Fields() const { return std::tie(m_worker, m_attempts); }

 private:
  Address m_worker;
  std::vector<AttemptId> m_attempts;
};

/// @brief Replies to a request with the job's answer.
class ReplyAnswer : public Comparable<ReplyAnswer> {
 public:
  ReplyAnswer(const Waiter& waiter, const JobId& job, JobAnswerPtr answer)
      : m_waiter(waiter), m_job(job), m_answer(std::move(answer)) {}
  const Waiter& waiter() const { return m_waiter; }
  const JobId& job() const { return m_job; }
  const JobAnswer& answer() const { return *m_answer; }
  const JobAnswerPtr& answer_ptr() const { return m_answer; }
  auto Fields() const { return std::tie(m_waiter, m_job, *m_answer); }

 private:
  Waiter m_waiter;
  JobId m_job;
  JobAnswerPtr m_answer;
};

/// @brief Replies to a request with the job's journal.
class ReplyJournal : public Comparable<ReplyJournal> {
 public:
  ReplyJournal(const Waiter& waiter, const JobId& job, Journal journal)
      : m_waiter(waiter), m_job(job), m_journal(std::move(journal)) {}
  const Waiter& waiter() const { return m_waiter; }
  const JobId& job() const { return m_job; }
  /// @brief Empty if the job is not known here.
  const Journal& journal() const { return m_journal; }
  auto Fields() const { return std::tie(m_waiter, m_job, m_journal); }

 private:
  Waiter m_waiter;
  JobId m_job;
  Journal m_journal;
};

/// @brief Requests slots from other shards because this shard is short of them.
class RequestSlots : public Comparable<RequestSlots> {
 public:
  RequestSlots(const ShardAddress& borrower, std::uint32_t count, const ResourceSpec& needs,
               Instant until, bool ask_peers)
      : m_borrower(borrower),
        m_count(count),
        m_needs(needs),
        m_until(until),
        m_ask_peers(ask_peers) {}
  const ShardAddress& borrower() const { return m_borrower; }
  std::uint32_t count() const { return m_count; }
  const ResourceSpec& needs() const { return m_needs; }
  /// @brief Until when the borrower wants to hold the slots.
  Instant until() const { return m_until; }
  /// @brief Whether the need justifies messages to other entry VMs.
  bool ask_peers() const { return m_ask_peers; }
  auto Fields() const { return std::tie(m_borrower, m_count, m_needs, m_until, m_ask_peers); }

 private:
  ShardAddress m_borrower;
  std::uint32_t m_count;
  ResourceSpec m_needs;
  Instant m_until;
  bool m_ask_peers;
};

/// @brief The reply to a slot request; no loans mean that the lender has no slots to spare.
class GrantSlots : public Comparable<GrantSlots> {
 public:
  GrantSlots(const ShardAddress& borrower, std::vector<SlotLoan> loans)
      : m_borrower(borrower), m_loans(std::move(loans)) {}
  const ShardAddress& borrower() const { return m_borrower; }
  const std::vector<SlotLoan>& loans() const { return m_loans; }
  auto Fields() const { return std::tie(m_borrower, m_loans); }

 private:
  ShardAddress m_borrower;
  std::vector<SlotLoan> m_loans;
};

/// @brief Returns loans to one lender.
class ReturnSlots : public Comparable<ReturnSlots> {
 public:
  ReturnSlots(const ShardAddress& lender, std::vector<LoanReturn> returns)
      : m_lender(lender), m_returns(std::move(returns)) {}
  const ShardAddress& lender() const { return m_lender; }
  const std::vector<LoanReturn>& returns() const { return m_returns; }
  auto Fields() const { return std::tie(m_lender, m_returns); }

 private:
  ShardAddress m_lender;
  std::vector<LoanReturn> m_returns;
};

/// @brief Forwards a submission to the successor of this shard, which no longer decides it.
class ForwardSubmission : public Comparable<ForwardSubmission> {
 public:
  ForwardSubmission(const Waiter& waiter, const JobId& job, JobSpecPtr spec)
      : m_waiter(waiter), m_job(job), m_spec(std::move(spec)) {}
  const Waiter& waiter() const { return m_waiter; }
  const JobId& job() const { return m_job; }
  const JobSpecPtr& spec() const { return m_spec; }
  auto Fields() const { return std::tie(m_waiter, m_job, m_spec); }

 private:
  Waiter m_waiter;
  JobId m_job;
  JobSpecPtr m_spec;
};

/// @brief Reports to metrics and logs that a job has its final answer.
class JobSettled : public Comparable<JobSettled> {
 public:
  JobSettled(const JobId& job, std::string team, std::string kind, std::size_t tasks,
             JobAnswerPtr answer, Duration response)
      : m_job(job),
        m_team(std::move(team)),
        m_kind(std::move(kind)),
        m_tasks(tasks),
        m_answer(std::move(answer)),
        m_response(response) {}
  const JobId& job() const { return m_job; }
  const std::string& team() const { return m_team; }
  /// @brief Kind of the first task.
  const std::string& kind() const { return m_kind; }
  std::size_t tasks() const { return m_tasks; }
  const JobAnswer& answer() const { return *m_answer; }
  /// @brief Time from admission to the answer.
  Duration response() const { return m_response; }
  auto Fields() const { return std::tie(m_job, m_team, m_kind, m_tasks, m_response); }

 private:
  JobId m_job;
  std::string m_team;
  std::string m_kind;
  std::size_t m_tasks;
  JobAnswerPtr m_answer;
  Duration m_response;
};

/// @brief Reports to metrics and logs that an attempt ended without success.
class AttemptWasted : public Comparable<AttemptWasted> {
 public:
  AttemptWasted(const AttemptId& attempt, const Address& worker, std::string cause)
      : m_attempt(attempt), m_worker(worker), m_cause(std::move(cause)) {}
  const AttemptId& attempt() const { return m_attempt; }
  const Address& worker() const { return m_worker; }
  /// @brief One word, e.g. `refused`.
  const std::string& cause() const { return m_cause; }
  auto Fields() const { return std::tie(m_attempt, m_worker, m_cause); }

 private:
  AttemptId m_attempt;
  Address m_worker;
  std::string m_cause;
};

/// @brief Requests a `Tick` at the given time, which is earlier than that of any pending request.
class WakeShard : public Comparable<WakeShard> {
 public:
  WakeShard(ShardIndex shard, Instant at) : m_shard(shard), m_at(at) {}
  ShardIndex shard() const { return m_shard; }
  Instant at() const { return m_at; }
  auto Fields() const { return std::tie(m_shard, m_at); }

 private:
  ShardIndex m_shard;
  Instant m_at;
};

/// @brief Any side effect that a shard requests.
using ShardEffect =
    std::variant<StartAttempt, StopAttempts, ReplyAnswer, ReplyJournal, RequestSlots, GrantSlots,
                 ReturnSlots, ForwardSubmission, JobSettled, AttemptWasted, WakeShard>;
using ShardEffects = std::vector<ShardEffect>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXECUTION_SHARD_EFFECT_H_
