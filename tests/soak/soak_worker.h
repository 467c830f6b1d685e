// A test double of a worker of the platform, with fault injection.
#ifndef SAPPHIREFLOW_TESTS_SOAK_SOAK_WORKER_H_
#define SAPPHIREFLOW_TESTS_SOAK_SOAK_WORKER_H_

#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fault_tracker.h"
#include "invariant_checker.h"
#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/http.h"
#include "sapphireflow/transport/timer_thread.h"

namespace sapphireflow::soak {

/// @brief Faults of a worker that can be switched on; the defaults mean no fault.
struct WorkerFaults {
  // factor by which runs take longer
  double run_time_factor = 1;
  // share of runs that fail right after their start
  double failing_share = 0;
  // share of start orders that get no answer and are carried out after a delay, if they are still
  // valid then
  double late_order_share = 0;
  // share of answers that are not sent
  double lost_answer_share = 0;
};

/// @brief Is told of a worker's own crash. Called with the worker's lock held.
class CrashListener {
 public:
  virtual ~CrashListener() = default;
  virtual void OnCrash(const std::string& worker) = 0;
};

/// @brief Simulates runs by timers. Obeys the holder of the highest fencing token seen so far, and
/// does not enforce its own capacity, so that the checker can detect an overload. Thread-safe.
class SoakWorker : public HttpHandler {
 public:
  /// All references must outlive the worker.
  /// @param speed factor on the run time of each job; above 1 means slower
  /// @param clock_rate speed of the worker's own clock relative to `clock`, e.g. 0.98
  SoakWorker(std::string id, std::string zone, std::int64_t milli_cores, double speed,
             double clock_rate, InvariantChecker& checker, const FaultTracker& fault_tracker,
             const Clock& clock, TimerThread& timers, CrashListener& crash_listener,
             std::uint32_t seed);

  void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) override;
  void SetFaults(const WorkerFaults& faults);
  /// @brief Starts a new incarnation: drops all runs, the fencing token and the ended runs that
  /// no hold request has acknowledged.
  void Restart();
  void SetDraining(bool draining);
  /// @brief Whether the worker's zone is evacuated, so that nothing may start here.
  void SetEvacuated(bool evacuated);
  /// @brief Changes the capacity that the entry states. A smaller one counts for the check only
  /// after the nodes have had time to learn of it.
  void SetCapacity(std::int64_t milli_cores);
  /// @brief Returns the worker's entry for the store, with the next sequence number.
  nlohmann::json Entry(const std::string& address);

 private:
  using Json = nlohmann::json;
  using ResponderPtr = std::shared_ptr<HttpResponder>;
  struct Run {
    std::uint32_t number = 0;
    std::uint64_t serial = 0;
  };
  struct PendingHold {
    ResponderPtr responder;
    std::uint64_t serial = 0;
  };

  void Start(const Json& body, const ResponderPtr& responder);
  Json StartLocked(const Json& body, int* status);
  void Stop(const Json& body, const ResponderPtr& responder);
  // Extends the lease and returns the running and the ended runs. Waits up to `wait_ms` for a run
  // to end if none has.
  void Hold(const Json& body, const ResponderPtr& responder);
  // whether the fencing token of the request is lower than the highest one; records it if not
  bool FencedLocked(const Json& body);
  void ExtendLeaseLocked(std::int64_t expires_ms);
  void EndLocked(std::string task, const char* run_outcome);
  void CheckLease(std::uint64_t incarnation_id);
  void AnswerPendingHoldsLocked();
  Json RunListsLocked() const;
  void Answer(const ResponderPtr& responder, int status, Json body);
  std::int64_t ClockMs() const;
  bool Chance(double share);

  const std::string m_id;
  const std::string m_zone;
  const double m_speed;
  const double m_clock_rate;
  InvariantChecker& m_checker;
  const FaultTracker& m_fault_tracker;
  const Clock& m_clock;
  TimerThread& m_timers;
  CrashListener& m_crash_listener;

  std::mutex m_mutex;
  // all members below are guarded by m_mutex
  std::mt19937 m_random;
  WorkerFaults m_faults;
  bool m_draining = false;
  std::int64_t m_milli_cores;
  // the capacity that starts are checked against
  std::int64_t m_counted_milli_cores;
  std::uint64_t m_capacity_changes = 0;
  Instant m_draining_since{};
  std::optional<Instant> m_evacuated_since;
  Instant m_process_start{};
  std::uint64_t m_incarnation_id = 0;
  std::uint64_t m_serial = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_highest_token = 0;
  std::int64_t m_expires_ms = 0;
  std::map<std::string, Run> m_running;
  // highest run number that ended or was stopped, by task
  std::map<std::string, std::uint32_t> m_highest_finished_runs;
  std::vector<Json> m_ended;
  std::uint64_t m_next_end = 1;
  std::vector<PendingHold> m_pending_holds;
  // responders of lost answers, kept so that their connections stay open
  std::vector<ResponderPtr> m_unanswered;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_SOAK_WORKER_H_
