// Part of dispatch: input events and effects of a job shard.
#ifndef SAPPHIREFLOW_DISPATCH_JOB_EVENT_H_
#define SAPPHIREFLOW_DISPATCH_JOB_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sapphireflow/dispatch/dispatch_message.h"
#include "sapphireflow/model/error.h"
#include "sapphireflow/observe/counter_increment.h"
#include "sapphireflow/observe/event_log.h"

namespace sapphireflow {

/// @brief A caller submits a job and waits for its result.
class SubmitJobOrder : public Comparable<SubmitJobOrder> {
 public:
  SubmitJobOrder(RequestToken token, JobOrderPtr order)
      : m_token(token), m_order(std::move(order)) {}
  RequestToken token() const { return m_token; }
  const JobOrderPtr& order() const { return m_order; }
  auto Fields() const { return std::tie(m_token, *m_order); }

 private:
  RequestToken m_token;
  // invariant: not null
  JobOrderPtr m_order;
};

/// @brief A caller's connection was closed: nobody waits for the answer any longer.
class CallerDisconnected : public Comparable<CallerDisconnected> {
 public:
  explicit CallerDisconnected(RequestToken token) : m_token(token) {}
  RequestToken token() const { return m_token; }
  auto Fields() const { return std::tie(m_token); }

 private:
  RequestToken m_token;
};

/// @brief Operations on a job, or on a queue, other than a submission.
enum class JobOperation { kState, kCancel, kWaitingCount };

/// @brief A caller queries the state of a job, cancels it, or queries the number of waiting jobs of
/// a queue.
class JobOrderRequest : public Comparable<JobOrderRequest> {
 public:
  JobOrderRequest(RequestToken token, JobOperation operation, JobKey job, std::string queue)
      : m_token(token), m_operation(operation), m_job(job), m_queue(std::move(queue)) {}
  RequestToken token() const { return m_token; }
  JobOperation operation() const { return m_operation; }
  JobKey job() const { return m_job; }
  const std::string& queue() const { return m_queue; }
  auto Fields() const { return std::tie(m_token, m_operation, m_job, m_queue); }

 private:
  RequestToken m_token;
  JobOperation m_operation;
  JobKey m_job;
  std::string m_queue;
};

/// @brief An owner has stopped or is unreachable. Its runs either continue under another owner or
/// lapse; reports from it are no longer expected.
class OwnerLost : public Comparable<OwnerLost> {
 public:
  explicit OwnerLost(const NodeId& owner) : m_owner(owner) {}
  const NodeId& owner() const { return m_owner; }
  auto Fields() const { return std::tie(m_owner); }

 private:
  NodeId m_owner;
};

/// @brief A link to a reachable owner broke, and messages in either direction may have been lost.
class OwnerLinkLost : public Comparable<OwnerLinkLost> {
 public:
  explicit OwnerLinkLost(const NodeId& owner) : m_owner(owner) {}
  const NodeId& owner() const { return m_owner; }
  auto Fields() const { return std::tie(m_owner); }

 private:
  NodeId m_owner;
};

/// @brief Periodic timer event: deadlines, retries and expiry are processed.
class JobTick : public Comparable<JobTick> {
 public:
  auto Fields() const { return std::tuple<>(); }
};

using JobEvent = std::variant<SubmitJobOrder, CallerDisconnected, JobOrderRequest, RunReports,
                              OwnerLost, OwnerLinkLost, JobTick>;

/// @brief An event with the time at which it is handled.
class JobInput : public Comparable<JobInput> {
 public:
  JobInput(Instant now, JobEvent event) : m_now(now), m_event(std::move(event)) {}
  Instant now() const { return m_now; }
  const JobEvent& event() const { return m_event; }
  auto Fields() const { return std::tie(m_now, m_event); }

 private:
  Instant m_now;
  JobEvent m_event;
};

/// @brief Result of a caller's request.
enum class JobVerdict {
  kCompleted,  ///< all tasks are done
  kFailed,     ///< a task has used up the failed attempts that its queue allows
  kRefused,    ///< no task has run or will run
  kExpired,    ///< abandoned; tasks may have run; the caller may submit the job again
  kPending,    ///< accepted, but no task has started
  kRunning,
  kCancelled,
  kNoSuchJob,
  kCount,  ///< the answer holds the number of waiting jobs
};

/// @brief Returns the name of the verdict for logs and answers, e.g. `completed`.
const char* JobVerdictName(JobVerdict verdict);

/// @brief Effect: sends the answer to a caller.
class AnswerCaller : public Comparable<AnswerCaller> {
 public:
  AnswerCaller(RequestToken token, JobVerdict verdict, std::optional<Error> cause,
               Duration retry_after, std::uint64_t count)
      : m_token(token),
        m_verdict(verdict),
        m_cause(std::move(cause)),
        m_retry_after(retry_after),
        m_count(count) {}
  RequestToken token() const { return m_token; }
  JobVerdict verdict() const { return m_verdict; }
  const std::optional<Error>& cause() const { return m_cause; }
  /// @brief Delay after which a refused caller may retry.
  Duration retry_after() const { return m_retry_after; }
  std::uint64_t count() const { return m_count; }
  auto Fields() const { return std::tie(m_token, m_verdict, m_cause, m_retry_after, m_count); }

 private:
  RequestToken m_token;
  JobVerdict m_verdict;
  std::optional<Error> m_cause;
  Duration m_retry_after;
  std::uint64_t m_count;
};

/// @brief Effect: sends a message to an owner, which may be this VM itself.
class SendToOwner : public Comparable<SendToOwner> {
 public:
  SendToOwner(const NodeId& owner, DispatchMessage message)
      : m_owner(owner), m_message(std::move(message)) {}
  const NodeId& owner() const { return m_owner; }
  const DispatchMessage& message() const { return m_message; }
  auto Fields() const { return std::tie(m_owner, m_message); }

 private:
  NodeId m_owner;
  DispatchMessage m_message;
};

/// @brief Effect, for metrics: a job received its final answer or was refused on submission.
class JobFinished : public Comparable<JobFinished> {
 public:
  JobFinished(std::string queue, JobVerdict verdict, std::string error, Duration response,
              bool late)
      : m_queue(std::move(queue)),
        m_verdict(verdict),
        m_error(std::move(error)),
        m_response(response),
        m_late(late) {}
  const std::string& queue() const { return m_queue; }
  JobVerdict verdict() const { return m_verdict; }
  /// @brief Error id; empty if there was no error.
  const std::string& error() const { return m_error; }
  Duration response() const { return m_response; }
  /// @brief Whether the response took longer than the job's objective.
  bool late() const { return m_late; }
  auto Fields() const { return std::tie(m_queue, m_verdict, m_error, m_response, m_late); }

 private:
  std::string m_queue;
  JobVerdict m_verdict;
  std::string m_error;
  Duration m_response;
  bool m_late;
};

using JobEffect =
    std::variant<SendToOwner, AnswerCaller, JobFinished, WorkerLoss, CounterIncrement, LogEvent>;
using JobEffects = std::vector<JobEffect>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_JOB_EVENT_H_
