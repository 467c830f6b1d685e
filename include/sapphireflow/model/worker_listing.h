// Part of the model: workers as listed in the platform's directory, and what they report about
// themselves and their runs.
#ifndef SAPPHIREFLOW_MODEL_WORKER_LISTING_H_
#define SAPPHIREFLOW_MODEL_WORKER_LISTING_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/job_order.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

using WorkerId = std::string;

/// @brief One worker's entry in the platform's directory.
class WorkerListing : public Comparable<WorkerListing> {
 public:
  WorkerListing(WorkerId id, const Address& address, std::string service, std::string zone,
                std::vector<std::string> labels, const Resources& capacity,
                std::int64_t process_start_ms, bool draining)
      : m_id(std::move(id)),
        m_address(address),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_labels(std::move(labels)),
        m_capacity(capacity),
        m_process_start_ms(process_start_ms),
        m_draining(draining) {}
  /// @brief Returns a copy for a worker that leaves with notice.
  WorkerListing WithTimeLeft(Duration time_left) const {
    WorkerListing copy(*this);
    copy.m_time_left = time_left;
    return copy;
  }
  const WorkerId& id() const { return m_id; }
  const Address& address() const { return m_address; }
  const std::string& service() const { return m_service; }
  const std::string& zone() const { return m_zone; }
  /// @brief Labels for the worker's kind and rack.
  const std::vector<std::string>& labels() const { return m_labels; }
  const Resources& capacity() const { return m_capacity; }
  /// @brief Start time of the worker process, Unix milliseconds; distinguishes a restarted worker
  /// with the same id.
  std::int64_t process_start_ms() const { return m_process_start_ms; }
  /// @brief True if the worker must not receive new runs.
  bool draining() const { return m_draining; }
  /// @brief The least time for which the worker stays, as of its entry; empty if it does not leave.
  const std::optional<Duration>& time_left() const { return m_time_left; }
  bool HasLabel(const std::string& label) const {
    return std::find(m_labels.begin(), m_labels.end(), label) != m_labels.end();
  }
  auto Fields() const {
    return std::tie(m_id, m_address, m_service, m_zone, m_labels, m_capacity, m_process_start_ms,
                    m_draining, m_time_left);
  }

 private:
  WorkerId m_id;
  Address m_address;
  std::string m_service;
  std::string m_zone;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  std::int64_t m_process_start_ms;
  bool m_draining;
  std::optional<Duration> m_time_left;
};

using WorkerListings = std::vector<WorkerListing>;

/// @brief Longest id, service, zone or label of a worker.
constexpr std::size_t kMaxWorkerNameBytes = 200;
constexpr std::size_t kMaxWorkerLabels = 64;
/// @brief Latest plausible start of a worker process, Unix milliseconds: the start of 2100.
constexpr std::int64_t kMaxProcessStartMs = 4'102'444'800'000;

/// @brief Checks a listing that was made from data of another writer: ids are visible ASCII
/// characters, since they are sent in header fields; names and amounts are within the limits above.
/// @return why it cannot describe a worker; empty if it can. Complexity: linear.
std::optional<std::string> FindFault(const WorkerListing& listing);

/// @brief How a run ended.
enum class RunEnd {
  kDone,
  kFailed,   ///< because of an error in the task or in the worker
  kStopped,  ///< on request
  kLapsed,   ///< its lease expired
  kBroken,   ///< another run of its group ended
  kAbsent,   ///< unknown to the worker, which can no longer start it
};

inline constexpr RunEnd kLastRunEnd = RunEnd::kAbsent;

/// @brief Name of the end as logged, e.g. `done`.
inline const char* RunEndName(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kBroken:
      return "broken";
    case RunEnd::kAbsent:
      return "absent";
  }
  return "?";
}

/// @brief One entry of a worker's list of ended runs.
class EndedRun : public Comparable<EndedRun> {
 public:
  EndedRun(std::uint64_t number, const RunKey& run, RunEnd end)
      : m_number(number), m_run(run), m_end(end) {}
  /// @brief Position in the worker's list; increases within one incarnation of the worker.
  std::uint64_t number() const { return m_number; }
  const RunKey& run() const { return m_run; }
  RunEnd end() const { return m_end; }
  auto Fields() const { return std::tie(m_number, m_run, m_end); }

 private:
  std::uint64_t m_number;
  RunKey m_run;
  RunEnd m_end;
};

/// @brief State of a worker's runs, as reported in one response.
class WorkerReport : public Comparable<WorkerReport> {
 public:
  WorkerReport(std::int64_t clock_ms, std::int64_t process_start_ms, std::vector<RunKey> running,
               std::vector<EndedRun> ended)
      : m_clock_ms(clock_ms),
        m_process_start_ms(process_start_ms),
        m_running(std::move(running)),
        m_ended(std::move(ended)) {}
  /// @brief The worker's monotonic clock, milliseconds.
  std::int64_t clock_ms() const { return m_clock_ms; }
  /// @brief Start time of the worker process, Unix milliseconds; 0 if the response omits it.
  std::int64_t process_start_ms() const { return m_process_start_ms; }
  const std::vector<RunKey>& running() const { return m_running; }
  /// @brief Ended runs that are not acknowledged yet, oldest first.
  const std::vector<EndedRun>& ended() const { return m_ended; }
  auto Fields() const { return std::tie(m_clock_ms, m_process_start_ms, m_running, m_ended); }

 private:
  std::int64_t m_clock_ms;
  std::int64_t m_process_start_ms;
  std::vector<RunKey> m_running;
  std::vector<EndedRun> m_ended;
};

/// @brief Outcome of a call to a worker.
enum class CallOutcome {
  kOk,
  kFenced,            ///< refused: the worker has seen a higher fencing token
  kStaleRun,          ///< refused: this run or one with a higher number was stopped or ended there
  kExpired,           ///< refused: the request arrived after its own expiry
  kNoFreeCapacity,    ///< refused: the worker enforces its capacity limit
  kOtherIncarnation,  ///< refused: the process at the address is another incarnation of a worker
  kUnhealthy,         ///< refused: the worker is unhealthy and did nothing
  kBadOrder,          ///< refused: the worker cannot parse the request
  kNotSent,           ///< the time ran out before anything was sent; says nothing about the worker
  /// as `kNotSent`, because the connection was refused; the worker may still be alive: a network
  /// partition refuses connections too
  kConnectionRefused,
  kUnknown,  ///< no complete response; the worker may have executed the call or may still do so
  /// as `kUnknown`, and the connection was closed: the worker has crashed or was cut off
  kDisconnected,
};

/// @brief Whether the worker may have executed the call or may still do so.
inline bool MayHaveExecuted(CallOutcome outcome) {
  return outcome == CallOutcome::kUnknown || outcome == CallOutcome::kDisconnected;
}

inline const char* CallOutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kOk:
      return "ok";
    case CallOutcome::kFenced:
      return "fenced";
    case CallOutcome::kStaleRun:
      return "stale_run";
    case CallOutcome::kExpired:
      return "expired";
    case CallOutcome::kNoFreeCapacity:
      return "no_room";
    case CallOutcome::kOtherIncarnation:
      return "other_life";
    case CallOutcome::kUnhealthy:
      return "unhealthy";
    case CallOutcome::kBadOrder:
      return "bad_order";
    case CallOutcome::kNotSent:
      return "not_sent";
    case CallOutcome::kConnectionRefused:
      return "connection_refused";
    case CallOutcome::kUnknown:
      return "unknown";
    case CallOutcome::kDisconnected:
      return "disconnected";
  }
  return "?";
}

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_WORKER_LISTING_H_
