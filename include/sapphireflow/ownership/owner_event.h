// Part of ownership: the events that an owner shard handles and the effects that it produces.
#ifndef SAPPHIREFLOW_OWNERSHIP_OWNER_EVENT_H_
#define SAPPHIREFLOW_OWNERSHIP_OWNER_EVENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sapphireflow/dispatch/dispatch_message.h"
#include "sapphireflow/membership/worker_assignment.h"
#include "sapphireflow/model/evacuated_zones.h"
#include "sapphireflow/model/worker_listing.h"
#include "sapphireflow/model/worker_loss.h"
#include "sapphireflow/observe/counter_increment.h"
#include "sapphireflow/observe/event_log.h"
#include "sapphireflow/ownership/token_source.h"

namespace sapphireflow {

/// @brief Number of a call to a worker; increases with each call of a process.
using CallNumber = std::uint64_t;

/// @brief A coordinator has ended or is unreachable: nothing waits for the results of its runs.
class CoordinatorLost : public Comparable<CoordinatorLost> {
 public:
  explicit CoordinatorLost(const NodeId& coordinator) : m_coordinator(coordinator) {}
  const NodeId& coordinator() const { return m_coordinator; }
  auto Fields() const { return std::tie(m_coordinator); }

 private:
  NodeId m_coordinator;
};

/// @brief The outcome of a start request.
class StartReplied : public Comparable<StartReplied> {
 public:
  StartReplied(WorkerId worker, const RunKey& run, FencingToken token, CallNumber call,
               CallOutcome outcome, std::int64_t clock_ms)
      : m_worker(std::move(worker)),
        m_run(run),
        m_token(token),
        m_call(call),
        m_outcome(outcome),
        m_clock_ms(clock_ms) {}
  const WorkerId& worker() const { return m_worker; }
  const RunKey& run() const { return m_run; }
  /// @brief The token that the request carried.
  FencingToken token() const { return m_token; }
  CallNumber call() const { return m_call; }
  CallOutcome outcome() const { return m_outcome; }
  /// @brief The worker's clock; 0 if the reply does not contain it.
  std::int64_t clock_ms() const { return m_clock_ms; }
  auto Fields() const { return std::tie(m_worker, m_run, m_token, m_call, m_outcome, m_clock_ms); }

 private:
  WorkerId m_worker;
  RunKey m_run;
  FencingToken m_token;
  CallNumber m_call;
  CallOutcome m_outcome;
  std::int64_t m_clock_ms;
};

/// @brief The outcome of a lease renewal, with the worker's report if it succeeded.
class RenewalReplied : public Comparable<RenewalReplied> {
 public:
  RenewalReplied(WorkerId worker, FencingToken token, CallNumber call, CallOutcome outcome,
                 std::optional<WorkerReport> report)
      : m_worker(std::move(worker)),
        m_token(token),
        m_call(call),
        m_outcome(outcome),
        m_report(std::move(report)) {}
  const WorkerId& worker() const { return m_worker; }
  FencingToken token() const { return m_token; }
  CallNumber call() const { return m_call; }
  CallOutcome outcome() const { return m_outcome; }
  /// @brief Set if the outcome is `kOk`.
  const std::optional<WorkerReport>& report() const { return m_report; }
  auto Fields() const { return std::tie(m_worker, m_token, m_call, m_outcome, m_report); }

 private:
  WorkerId m_worker;
  FencingToken m_token;
  CallNumber m_call;
  CallOutcome m_outcome;
  std::optional<WorkerReport> m_report;
};

/// @brief Periodic event for work that depends on time only.
class OwnerTick : public Comparable<OwnerTick> {
 public:
  explicit OwnerTick(Duration own_delay = Duration::zero()) : m_own_delay(own_delay) {}
  /// @brief How late an event loop of this VM was lately: what has arrived since then may not have
  /// been read yet.
  Duration own_delay() const { return m_own_delay; }
  auto Fields() const { return std::tie(m_own_delay); }

 private:
  Duration m_own_delay;
};

using OwnerEvent = std::variant<WorkerAssignment, CoordinatorLost, PlaceRuns, CancelRuns, AdoptRun,
                                StartReplied, RenewalReplied, OwnerTick, EvacuatedZones>;

/// @brief An event with the time at which it is handled.
class OwnerInput : public Comparable<OwnerInput> {
 public:
  OwnerInput(Instant now, OwnerEvent event) : m_now(now), m_event(std::move(event)) {}
  Instant now() const { return m_now; }
  const OwnerEvent& event() const { return m_event; }
  auto Fields() const { return std::tie(m_now, m_event); }

 private:
  Instant m_now;
  OwnerEvent m_event;
};

/// @brief Header of a request to a worker: its id and address, the owner's fencing token, the call
/// number and the lease.
class WorkerCall : public Comparable<WorkerCall> {
 public:
  WorkerCall(WorkerId worker, const Address& address, FencingToken token, CallNumber number,
             std::int64_t lease_until_ms)
      : m_worker(std::move(worker)),
        m_address(address),
        m_token(token),
        m_number(number),
        m_lease_until_ms(lease_until_ms) {}
  const WorkerId& worker() const { return m_worker; }
  const Address& address() const { return m_address; }
  FencingToken token() const { return m_token; }
  CallNumber number() const { return m_number; }
  /// @brief When the lease of all runs on the worker expires, by the worker's clock; 0 leaves the
  /// lease unchanged.
  std::int64_t lease_until_ms() const { return m_lease_until_ms; }
  auto Fields() const { return std::tie(m_worker, m_address, m_token, m_number, m_lease_until_ms); }

 private:
  WorkerId m_worker;
  Address m_address;
  FencingToken m_token;
  CallNumber m_number;
  std::int64_t m_lease_until_ms;
};

/// @brief Requests that a worker start a run.
class StartRun : public Comparable<StartRun> {
 public:
  StartRun(WorkerCall call, const RunKey& run, std::shared_ptr<const std::string> payload,
           Duration timeout)
      : m_call(std::move(call)), m_run(run), m_payload(std::move(payload)), m_timeout(timeout) {}
  const WorkerCall& call() const { return m_call; }
  const RunKey& run() const { return m_run; }
  const std::shared_ptr<const std::string>& payload() const { return m_payload; }
  Duration timeout() const { return m_timeout; }
  auto Fields() const { return std::tie(m_call, m_run, *m_payload, m_timeout); }

 private:
  WorkerCall m_call;
  RunKey m_run;
  // invariant: not null
  std::shared_ptr<const std::string> m_payload;
  Duration m_timeout;
};

/// @brief Requests that a worker stop a run; the worker refuses a later start of the same run.
class StopRun : public Comparable<StopRun> {
 public:
  StopRun(WorkerCall call, const RunKey& run, Duration timeout)
      : m_call(std::move(call)), m_run(run), m_timeout(timeout) {}
  const WorkerCall& call() const { return m_call; }
  const RunKey& run() const { return m_run; }
  Duration timeout() const { return m_timeout; }
  auto Fields() const { return std::tie(m_call, m_run, m_timeout); }

 private:
  WorkerCall m_call;
  RunKey m_run;
  Duration m_timeout;
};

/// @brief Renews a worker's lease, acknowledges ended runs and waits for the next run to end.
class RenewLease : public Comparable<RenewLease> {
 public:
  RenewLease(WorkerCall call, std::uint64_t acknowledged, Duration wait, Duration timeout)
      : m_call(std::move(call)), m_acknowledged(acknowledged), m_wait(wait), m_timeout(timeout) {}
  const WorkerCall& call() const { return m_call; }
  /// @brief The worker may forget ended runs up to this number.
  std::uint64_t acknowledged() const { return m_acknowledged; }
  /// @brief How long the worker may delay the reply until a run ends; 0 for an immediate reply.
  Duration wait() const { return m_wait; }
  Duration timeout() const { return m_timeout; }
  auto Fields() const { return std::tie(m_call, m_acknowledged, m_wait, m_timeout); }

 private:
  WorkerCall m_call;
  std::uint64_t m_acknowledged;
  Duration m_wait;
  Duration m_timeout;
};

/// @brief Sends run reports and the free capacity of workers to a coordinator.
class SendRunReports : public Comparable<SendRunReports> {
 public:
  SendRunReports(const NodeId& coordinator, std::vector<RunReport> reports,
                 CapacityUpdate free_capacity)
      : m_coordinator(coordinator),
        m_reports(std::move(reports)),
        m_free_capacity(std::move(free_capacity)) {}
  const NodeId& coordinator() const { return m_coordinator; }
  const std::vector<RunReport>& reports() const { return m_reports; }
  const CapacityUpdate& free_capacity() const { return m_free_capacity; }
  auto Fields() const { return std::tie(m_coordinator, m_reports, m_free_capacity); }

 private:
  NodeId m_coordinator;
  std::vector<RunReport> m_reports;
  CapacityUpdate m_free_capacity;
};

using OwnerEffect = std::variant<StartRun, StopRun, RenewLease, SendRunReports, WorkerLoss,
                                 CounterIncrement, LogEvent>;
using OwnerEffects = std::vector<OwnerEffect>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_OWNER_EVENT_H_
