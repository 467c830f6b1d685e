// Simulates runs by timers, and leases by the worker's own clock.
#include "soak_worker.h"

#include <algorithm>

namespace sapphireflow::soak {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
// the platform's bound on the time by which one call may extend the lease
constexpr std::int64_t kMaxHoldMs = 1000;
// reading of the worker's clock when its process starts
constexpr std::int64_t kInitialClockMs = 400000;
constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(20);
// time that it takes to stop a run
constexpr Duration kStopTime = std::chrono::milliseconds(20);
constexpr int kMaxOrderDelayMs = 2500;
// While no fault is active, no run may start on a worker that has been draining for longer than
// this. After a fault, the nodes have kMaxRecoveryTime to recover first.
constexpr Duration kMaxDrainDelay = std::chrono::milliseconds(2000);
constexpr Duration kMaxRecoveryTime = std::chrono::milliseconds(3000);
// No run may start in an evacuated zone after this time, whatever else happens.
constexpr Duration kMaxEvacuationDelay = std::chrono::milliseconds(5000);
// a contact timeout and the interval at which the store shows a change
constexpr Duration kCapacityKnownAfter = std::chrono::milliseconds(4500);
constexpr int kMaxFuseMs = 100;

}  // namespace

SoakWorker::SoakWorker(std::string id, std::string zone, std::int64_t milli_cores, double speed,
                       double clock_rate, InvariantChecker& checker,
                       const FaultTracker& fault_tracker, const Clock& clock, TimerThread& timers,
                       CrashListener& crash_listener, std::uint32_t seed)
    : m_id(std::move(id)),
      m_zone(std::move(zone)),
      m_speed(speed),
      m_clock_rate(clock_rate),
      m_checker(checker),
      m_fault_tracker(fault_tracker),
      m_clock(clock),
      m_timers(timers),
      m_crash_listener(crash_listener),
      m_random(seed),
      m_milli_cores(milli_cores),
      m_counted_milli_cores(milli_cores) {
  Restart();
}

std::int64_t SoakWorker::ClockMs() const {
  return kInitialClockMs +
         static_cast<std::int64_t>(ToMillis(m_clock.Now() - m_process_start) * m_clock_rate);
}

bool SoakWorker::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void SoakWorker::SetFaults(const WorkerFaults& faults) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_faults = faults;
  if (faults.lost_answer_share > 0) return;
  for (const ResponderPtr& responder : m_unanswered) responder->Abort();
  m_unanswered.clear();
}

void SoakWorker::Restart() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_checker.WorkerRestarted(m_id);
  m_process_start = m_clock.Now();
  ++m_incarnation_id;
  m_highest_token = 0;
  m_expires_ms = 0;
  m_running.clear();
  m_highest_finished_runs.clear();
  m_ended.clear();
  m_next_end = 1;
  m_sequence = 0;
  m_draining = false;
  for (const PendingHold& pending_hold : m_pending_holds) pending_hold.responder->Abort();
  m_pending_holds.clear();
  m_timers.At(m_clock.Now() + kLeaseCheckInterval,
              [this, incarnation_id = m_incarnation_id] { CheckLease(incarnation_id); });
}

void SoakWorker::SetEvacuated(bool evacuated) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_evacuated_since = evacuated ? std::make_optional(m_clock.Now()) : std::nullopt;
}

void SoakWorker::SetDraining(bool draining) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (draining && !m_draining) m_draining_since = m_clock.Now();
  m_draining = draining;
}

void SoakWorker::SetCapacity(std::int64_t milli_cores) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_milli_cores = milli_cores;
  ++m_capacity_changes;
  if (milli_cores >= m_counted_milli_cores) {
    m_counted_milli_cores = milli_cores;
    return;
  }
  m_timers.At(m_clock.Now() + kCapacityKnownAfter, [this, change = m_capacity_changes] {
    std::lock_guard<std::mutex> timer_lock(m_mutex);
    if (change == m_capacity_changes) m_counted_milli_cores = m_milli_cores;
  });
}

nlohmann::json SoakWorker::Entry(const std::string& address) {
  std::lock_guard<std::mutex> lock(m_mutex);
  return {{"backend", "workshop"},
          {"address", address},
          {"zone", m_zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", m_draining ? "draining" : "ready"},
          {"cold_remaining_ms", 0},
          {"capacity", {{"cpu", m_milli_cores}, {"mem_mb", 32768}, {"gpu", 0}}},
          {"labels", {"a", "r1-1"}},
          {"clock_ms", ClockMs()},
          {"sequence", ++m_sequence},
          {"born", ToUnixMillis(m_process_start)}};
}

void SoakWorker::Answer(const ResponderPtr& responder, int status, Json body) {
  if (Chance(m_faults.lost_answer_share)) {
    m_unanswered.push_back(responder);
    return;
  }
  body["clock_ms"] = ClockMs();
  body["born"] = ToUnixMillis(m_process_start);
  responder->Respond(HttpResponse(status, body.dump()));
}

void SoakWorker::Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
  const Json body = Json::parse(request.body(), nullptr, false);
  std::lock_guard<std::mutex> lock(m_mutex);
  const std::string instance = request.Header("Sapphireflow-Expected-Instance");
  if (!instance.empty() && instance != m_id) return Answer(responder, kMisdirected, Json::object());
  if (request.path() == "/run-start") return Start(body, responder);
  if (request.path() == "/run-stop") return Stop(body, responder);
  if (request.path() == "/hold") return Hold(body, responder);
  Answer(responder, 404, Json::object());
}

bool SoakWorker::FencedLocked(const Json& body) {
  const auto token = body.value("fencing_token", std::uint64_t{0});
  if (token < m_highest_token) return true;
  m_highest_token = token;
  return false;
}

void SoakWorker::ExtendLeaseLocked(std::int64_t expires_ms) {
  m_expires_ms = std::max(m_expires_ms, std::min(expires_ms, ClockMs() + kMaxHoldMs));
  const auto clock_ms = static_cast<double>(m_expires_ms - kInitialClockMs);
  m_checker.SetLeaseExpiry(m_id, m_process_start + FromMillis(clock_ms / m_clock_rate));
}

void SoakWorker::Start(const Json& body, const ResponderPtr& responder) {
  if (Chance(m_faults.late_order_share)) {
    m_unanswered.push_back(responder);
    const auto order_delay = std::chrono::milliseconds(
        std::uniform_int_distribution<int>(0, kMaxOrderDelayMs)(m_random));
    m_timers.At(m_clock.Now() + order_delay, [this, body] {
      std::lock_guard<std::mutex> lock(m_mutex);
      int ignored = 0;
      StartLocked(body, &ignored);
    });
    return;
  }
  int status = kOk;
  Json answer = StartLocked(body, &status);
  Answer(responder, status, std::move(answer));
}

nlohmann::json SoakWorker::StartLocked(const Json& body, int* status) {
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run").get<std::uint32_t>();
  const auto expires_ms = body.at("expires_ms").get<std::int64_t>();
  *status = kConflict;
  if (FencedLocked(body)) return {{"reason", "fence"}};
  const auto running = m_running.find(task);
  const auto finished_run = m_highest_finished_runs.find(task);
  if (finished_run != m_highest_finished_runs.end() && number <= finished_run->second) {
    ExtendLeaseLocked(expires_ms);
    return {{"reason", "old"}};
  }
  if (running != m_running.end() && running->second.number == number) {
    *status = kOk;
    return Json::object();
  }
  if (expires_ms <= ClockMs()) return {{"reason", "late"}};
  *status = kOk;
  ExtendLeaseLocked(expires_ms);
  m_checker.Started(m_id, m_counted_milli_cores, task, body.at("spec").get<std::string>(),
                    m_clock.Now());
  if (m_draining && m_clock.Now() - m_draining_since > kMaxDrainDelay &&
      m_fault_tracker.NoFaultFor(kMaxRecoveryTime)) {
    m_checker.AddViolation("drain: " + task + " was started on " + m_id + ", which is draining");
  }
  if (m_evacuated_since && m_clock.Now() - *m_evacuated_since > kMaxEvacuationDelay) {
    m_checker.AddViolation("evacuated: " + task + " was started on " + m_id + " of " + m_zone);
  }
  const JobPlan* plan = m_checker.Find(task.substr(0, task.find('.')));
  const bool fails = plan == nullptr || plan->poison || Chance(m_faults.failing_share);
  const Duration length =
      fails ? Duration(std::chrono::milliseconds(2))
            : FromMillis(ToMillis(plan->run_duration) * m_speed * m_faults.run_time_factor);
  const std::uint64_t serial = ++m_serial;
  m_running[task] = Run{number, serial};
  if (plan != nullptr && IsDeadly(*plan, task)) {
    const auto fuse =
        std::chrono::milliseconds(std::uniform_int_distribution<int>(1, kMaxFuseMs)(m_random));
    m_timers.At(m_clock.Now() + fuse, [this, task, serial] {
      std::lock_guard<std::mutex> lock(m_mutex);
      const auto found = m_running.find(task);
      if (found == m_running.end() || found->second.serial != serial) return;
      m_checker.Crashed(task);
      m_crash_listener.OnCrash(m_id);
    });
    return Json::object();
  }
  m_timers.At(m_clock.Now() + length, [this, task, serial, fails] {
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_running.find(task);
    if (found == m_running.end() || found->second.serial != serial) return;
    EndLocked(task, fails ? "failed" : "done");
  });
  return Json::object();
}

void SoakWorker::EndLocked(std::string task, const char* run_outcome) {
  const auto found = m_running.find(task);
  const std::uint32_t number = found->second.number;
  m_running.erase(found);
  m_highest_finished_runs[task] = std::max(m_highest_finished_runs[task], number);
  m_checker.Ended(m_id, task, std::string(run_outcome) == "done");
  m_ended.push_back({m_next_end++, std::move(task), number, run_outcome, ""});
  AnswerPendingHoldsLocked();
}

void SoakWorker::Stop(const Json& body, const ResponderPtr& responder) {
  if (FencedLocked(body)) return Answer(responder, kConflict, {{"reason", "fence"}});
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run").get<std::uint32_t>();
  const auto running = m_running.find(task);
  if (running == m_running.end() || running->second.number > number) {
    m_highest_finished_runs[task] = std::max(m_highest_finished_runs[task], number);
  } else {
    const std::uint64_t serial = running->second.serial;
    m_timers.At(m_clock.Now() + kStopTime, [this, task, serial] {
      std::lock_guard<std::mutex> lock(m_mutex);
      const auto found = m_running.find(task);
      if (found != m_running.end() && found->second.serial == serial) EndLocked(task, "stopped");
    });
  }
  Answer(responder, kOk, Json::object());
}

void SoakWorker::Hold(const Json& body, const ResponderPtr& responder) {
  if (FencedLocked(body)) return Answer(responder, kConflict, {{"reason", "fence"}});
  const auto acknowledged = body.value("ack_cursor", std::uint64_t{0});
  m_ended.erase(std::remove_if(m_ended.begin(), m_ended.end(),
                               [&](const Json& row) {
                                 return row.at(0).get<std::uint64_t>() <= acknowledged;
                               }),
                m_ended.end());
  if (body.contains("expires_ms")) ExtendLeaseLocked(body.at("expires_ms").get<std::int64_t>());
  const auto wait_ms = body.value("wait_ms", 0);
  if (wait_ms == 0 || !m_ended.empty()) return Answer(responder, kOk, RunListsLocked());
  const std::uint64_t serial = ++m_serial;
  m_pending_holds.push_back(PendingHold{responder, serial});
  m_timers.At(m_clock.Now() + std::chrono::milliseconds(wait_ms), [this, serial] {
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = std::find_if(
        m_pending_holds.begin(), m_pending_holds.end(),
        [serial](const PendingHold& pending_hold) { return pending_hold.serial == serial; });
    if (found == m_pending_holds.end()) return;
    const ResponderPtr due = found->responder;
    m_pending_holds.erase(found);
    Answer(due, kOk, RunListsLocked());
  });
}

void SoakWorker::AnswerPendingHoldsLocked() {
  std::vector<PendingHold> pending_hold;
  pending_hold.swap(m_pending_holds);
  for (const PendingHold& one : pending_hold) Answer(one.responder, kOk, RunListsLocked());
}

nlohmann::json SoakWorker::RunListsLocked() const {
  Json running = Json::array();
  for (const auto& [task, run] : m_running) running.push_back({task, run.number, "", 100});
  return {{"running", std::move(running)}, {"ended", m_ended}};
}

void SoakWorker::CheckLease(std::uint64_t incarnation_id) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (incarnation_id != m_incarnation_id) return;
  if (ClockMs() >= m_expires_ms) {
    while (!m_running.empty()) EndLocked(m_running.begin()->first, "lapsed");
  }
  m_timers.At(m_clock.Now() + kLeaseCheckInterval,
              [this, incarnation_id] { CheckLease(incarnation_id); });
}

}  // namespace sapphireflow::soak
