// Part of the model: workers as the platform's directory lists them and as they answer for
// themselves.
#ifndef SAPPHIREFLOW_MODEL_WORKER_STATE_H_
#define SAPPHIREFLOW_MODEL_WORKER_STATE_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/work.h"

namespace sapphireflow {

using WorkerId = std::string;

/// @brief One worker as the directory lists it.
class WorkerListing : public Comparable<WorkerListing> {
 public:
  WorkerListing(WorkerId id, const Address& address, std::string service, std::string zone,
                std::vector<std::string> labels, const Resources& capacity, std::int64_t born_ms,
                bool draining)
      : m_id(std::move(id)),
        m_address(address),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_labels(std::move(labels)),
        m_capacity(capacity),
        m_born_ms(born_ms),
        m_draining(draining) {}
  const WorkerId& id() const { return m_id; }
  const Address& address() const { return m_address; }
  const std::string& service() const { return m_service; }
  const std::string& zone() const { return m_zone; }
  /// @brief Its kind and its rack.
  const std::vector<std::string>& labels() const { return m_labels; }
  const Resources& capacity() const { return m_capacity; }
  /// @brief Start of the worker's life, Unix milliseconds; tells a restart under the same id.
  std::int64_t born_ms() const { return m_born_ms; }
  /// @brief True once it may receive no new work.
  bool draining() const { return m_draining; }
  bool HasLabel(const std::string& label) const {
    return std::find(m_labels.begin(), m_labels.end(), label) != m_labels.end();
  }
  auto Fields() const {
    return std::tie(m_id, m_address, m_service, m_zone, m_labels, m_capacity, m_born_ms,
                    m_draining);
  }

 private:
  WorkerId m_id;
  Address m_address;
  std::string m_service;
  std::string m_zone;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  std::int64_t m_born_ms;
  bool m_draining;
};

using WorkerListings = std::vector<WorkerListing>;

/// @brief How a run ended.
enum class RunEnd {
  kDone,
  kFailed,   ///< by the task's own fault or the worker's
  kStopped,  ///< on request
  kLapsed,   ///< its lease ran out
  kBroken,   ///< another member of its group ended
  kAbsent,   ///< the worker does not know it and can no longer start it
};

inline constexpr RunEnd kLastRunEnd = RunEnd::kAbsent;

/// @brief The end's name as logged, e.g. `done`.
inline const char* RunEndWord(RunEnd end) {
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

/// @brief One entry of a worker's list of ends.
class EndedRun : public Comparable<EndedRun> {
 public:
  EndedRun(std::uint64_t number, const RunKey& run, RunEnd end)
      : m_number(number), m_run(run), m_end(end) {}
  /// @brief Position in the worker's list; rises within one life of the worker.
  std::uint64_t number() const { return m_number; }
  const RunKey& run() const { return m_run; }
  RunEnd end() const { return m_end; }
  auto Fields() const { return std::tie(m_number, m_run, m_end); }

 private:
  std::uint64_t m_number;
  RunKey m_run;
  RunEnd m_end;
};

/// @brief What a worker says of its runs in one answer.
class WorkerReport : public Comparable<WorkerReport> {
 public:
  WorkerReport(std::int64_t clock_ms, std::int64_t born_ms, std::vector<RunKey> running,
               std::vector<EndedRun> ended)
      : m_clock_ms(clock_ms),
        m_born_ms(born_ms),
        m_running(std::move(running)),
        m_ended(std::move(ended)) {}
  /// @brief The worker's own steady clock.
  std::int64_t clock_ms() const { return m_clock_ms; }
  /// @brief 0 where the answer does not say.
  std::int64_t born_ms() const { return m_born_ms; }
  const std::vector<RunKey>& running() const { return m_running; }
  /// @brief Ends that were not acknowledged yet, oldest first.
  const std::vector<EndedRun>& ended() const { return m_ended; }
  auto Fields() const { return std::tie(m_clock_ms, m_born_ms, m_running, m_ended); }

 private:
  std::int64_t m_clock_ms;
  std::int64_t m_born_ms;
  std::vector<RunKey> m_running;
  std::vector<EndedRun> m_ended;
};

/// @brief What became of a call to a worker.
enum class CallOutcome {
  kOk,
  kFenced,     ///< refused: the worker has seen a higher fencing token
  kStaleRun,   ///< refused: this or a higher run was stopped or ended there
  kExpired,    ///< refused: the order came after its own expiry
  kNoRoom,     ///< refused: the worker guards its capacity
  kOtherLife,  ///< refused: the process at the address is another life of a worker
  kUnhealthy,  ///< refused: the worker did nothing
  kBadOrder,   ///< refused: the worker cannot read the order
  /// no connection could be made; the worker saw nothing, but may well be alive: a cut refuses
  /// connections too
  kNotSent,
  kUnknown,  ///< no whole answer came; the worker may have carried it out, or may yet
};

inline const char* CallOutcomeWord(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kOk:
      return "ok";
    case CallOutcome::kFenced:
      return "fenced";
    case CallOutcome::kStaleRun:
      return "stale_run";
    case CallOutcome::kExpired:
      return "expired";
    case CallOutcome::kNoRoom:
      return "no_room";
    case CallOutcome::kOtherLife:
      return "other_life";
    case CallOutcome::kUnhealthy:
      return "unhealthy";
    case CallOutcome::kBadOrder:
      return "bad_order";
    case CallOutcome::kNotSent:
      return "not_sent";
    case CallOutcome::kUnknown:
      return "unknown";
  }
  return "?";
}

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_WORKER_STATE_H_
