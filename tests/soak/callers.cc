// Submits jobs, retries them, and probes the configuration of the nodes.
#include "callers.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace sapphireflow::soak {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
// The platform's callers set this deadline and resubmit a job after kResendPause.
constexpr Duration kCallerDeadline = std::chrono::milliseconds(1500);
// of jobs that may need several workers
constexpr Duration kPatientDeadline = std::chrono::milliseconds(10000);
// of jobs with tasks of several seconds
constexpr Duration kLongDeadline = std::chrono::milliseconds(15000);
constexpr std::int64_t kLongTaskMilliCores = 150;
// how much longer than its deadline a caller waits
constexpr Duration kAnswerSlack = std::chrono::milliseconds(2500);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(4000);
constexpr Duration kResendPause = std::chrono::milliseconds(1300);
constexpr Duration kReconnectPause = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxSubmissions = 4;
// Bounds of the platform: the time until a configuration is in force everywhere, and the time until
// a machine is reachable again after a fault.
constexpr Duration kMaxConfigurationDelay = std::chrono::milliseconds(2000);
constexpr Duration kMaxRecoveryTime = std::chrono::milliseconds(3000);
// Until then a request that no worker has been given may be cut off: a process that ends can't tell
// it from one that it has not read.
constexpr Duration kLossSlack = std::chrono::milliseconds(200);
constexpr char kHost[] = "soak.example";

std::string JobName(std::uint32_t seed, std::uint64_t number) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", seed, static_cast<unsigned>(number));
  return text.data();
}

Json StepJson(const JobPlan& plan) {
  return {{"count", plan.tasks},
          {"cpu", plan.milli_cores},
          {"mem_mb", 64},
          {"estimated_ms", static_cast<std::int64_t>(ToMillis(plan.run_duration))}};
}

}  // namespace

Callers::Callers(std::vector<Address> nodes, InvariantChecker& checker,
                 const FaultTracker& fault_tracker, const Clock& clock, TimerThread& timers,
                 std::uint32_t seed)
    : m_nodes(std::move(nodes)),
      m_checker(checker),
      m_fault_tracker(fault_tracker),
      m_clock(clock),
      m_timers(timers),
      m_seed(seed),
      m_random(seed),
      m_observed(m_nodes.size()) {}

Callers::~Callers() { m_http.Stop(); }

int Callers::RandomBelow(int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(m_random);
}

JobPlan Callers::RandomPlanLocked() {
  JobPlan plan;
  plan.name = JobName(m_seed, m_next_job++);
  plan.payload = "payload of " + plan.name;
  plan.tasks = static_cast<std::uint32_t>(1 + RandomBelow(4));
  plan.milli_cores = std::int64_t{1000} * (1 + RandomBelow(6));
  plan.run_duration = std::chrono::milliseconds(20 + RandomBelow(RandomBelow(5) == 0 ? 900 : 200));
  plan.submitted_at = m_clock.Now();
  ++m_open_jobs;
  return plan;
}

void Callers::SubmitRandomJob() {
  JobPlan plan;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    plan = RandomPlanLocked();
    plan.poison = RandomBelow(60) == 0;
  }
  Submit(plan, "jobs", kCallerDeadline);
}

void Callers::SubmitLongJob() {
  JobPlan plan;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    plan = RandomPlanLocked();
    plan.milli_cores = kLongTaskMilliCores;
    plan.run_duration = std::chrono::milliseconds(3000 + RandomBelow(3000));
  }
  Submit(plan, "long", kLongDeadline);
}

void Callers::SubmitDeadlyJob() {
  JobPlan plan;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    plan = RandomPlanLocked();
    plan.deadly = true;
  }
  Submit(plan, "patient", kPatientDeadline);
}

void Callers::Submit(const JobPlan& plan, const std::string& queue, Duration deadline) {
  const auto job = std::make_shared<SubmittedJob>();
  job->plan = plan;
  job->queue = queue;
  job->deadline = deadline;
  job->body = Json{{"spec", job->plan.payload},
                   {"best_effort", true},
                   {"steps", Json::array({StepJson(job->plan)})}}
                  .dump();
  m_checker.Submitted(job->plan);
  SendSubmission(job);
}

void Callers::SendSubmission(const SubmittedJobPtr& job) {
  std::size_t node = 0;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    node = static_cast<std::size_t>(RandomBelow(static_cast<int>(m_nodes.size())));
  }
  ++job->attempt_count;
  job->sent_at = m_clock.Now();
  m_http.Start(HttpCall("POST", m_nodes[node], "/" + job->queue + "/" + job->plan.name, "",
                        job->body, job->deadline + kAnswerSlack,
                        {{"Host", kHost},
                         {"Sapphireflow-Deadline-Ms",
                          std::to_string(static_cast<std::int64_t>(ToMillis(job->deadline)))}}),
               [this, job, node](const HttpResult& result) { OnAnswer(job, node, result); });
}

void Callers::RetryAfter(const SubmittedJobPtr& job, Duration pause) {
  if (job->attempt_count >= kMaxSubmissions) return FinishJob(job, CallerOutcome::kUnanswered);
  m_timers.At(m_clock.Now() + pause, [this, job] { SendSubmission(job); });
}

void Callers::OnAnswer(const SubmittedJobPtr& job, std::size_t node, const HttpResult& result) {
  if (result.end() == CallEnd::kNotSent) return RetryAfter(job, kReconnectPause);
  if (result.end() == CallEnd::kLost) {
    job->all_rejected = false;
    const bool may_be_cut =
        m_clock.Now() - job->sent_at <= kLossSlack && !m_checker.HasStarted(job->plan.name);
    if (m_only_planned_stops && !may_be_cut) {
      m_checker.AddViolation(
          "cut off: " + job->plan.name + " at node " + std::to_string(node + 1) +
          " got no answer although only planned stops happened: " + result.body());
    }
    return RetryAfter(job, kResendPause);
  }
  switch (result.status()) {
    case kOk: {
      job->all_rejected = false;
      const Json body = Json::parse(result.body(), nullptr, false);
      const std::string state = body.is_object() ? body.value("state", "") : "";
      return FinishJob(job, state == "completed" ? CallerOutcome::kServed : CallerOutcome::kFailed);
    }
    case kTooMany:
    case kUnavailable:
      return FinishJob(job, CallerOutcome::kRefused);
    case kNotFound:
      m_checker.AddViolation("config: a queue that all versions contain is unknown at node " +
                             std::to_string(node + 1));
      return FinishJob(job, CallerOutcome::kRefused);
    default:
      job->all_rejected = false;
      return RetryAfter(job, kResendPause);
  }
}

void Callers::FinishJob(const SubmittedJobPtr& job, CallerOutcome end) {
  m_checker.Answered(job->plan.name, end, job->all_rejected && end == CallerOutcome::kRefused);
  std::lock_guard<std::mutex> lock(m_mutex);
  if (--m_open_jobs == 0) m_changed.notify_all();
}

void Callers::WaitForAll() {
  std::unique_lock<std::mutex> lock(m_mutex);
  m_changed.wait(lock, [this] { return m_open_jobs == 0; });
}

void Callers::NodeRestarted(std::size_t node) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_observed[node].queue.clear();
  ++m_observed[node].restart_count;
}

void Callers::SetNewestQueue(const std::string& queue) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_newest_queue = queue;
}

void Callers::Probe(const std::string& queue, Instant acknowledged_at) {
  for (std::size_t node = 0; node < m_nodes.size(); ++node) {
    const bool overdue = m_fault_tracker.NoFaultFor(kMaxRecoveryTime) &&
                         m_clock.Now() - acknowledged_at > kMaxConfigurationDelay;
    std::uint32_t restart_count = 0;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      restart_count = m_observed[node].restart_count;
    }
    m_http.Start(
        HttpCall("GET", m_nodes[node], "/" + queue + "/", "", "", kProbeTimeout, {{"Host", kHost}}),
        [this, queue, node, restart_count, overdue](const HttpResult& result) {
          if (result.end() != CallEnd::kResponded) return;
          std::string newest_seen_queue;
          {
            std::lock_guard<std::mutex> lock(m_mutex);
            // a later version of the configuration may have removed the queue
            if (m_observed[node].restart_count != restart_count || m_newest_queue != queue) return;
            if (result.status() == kOk) m_observed[node].queue = queue;
            newest_seen_queue = m_observed[node].queue;
          }
          if (result.status() != kNotFound) return;
          if (newest_seen_queue == queue) {
            m_checker.AddViolation("config: node " + std::to_string(node + 1) +
                                   " no longer knows " + queue);
          } else if (overdue) {
            m_checker.AddViolation("config: node " + std::to_string(node + 1) + " does not know " +
                                   queue + " in time although no fault is active");
          }
        });
  }
}

}  // namespace sapphireflow::soak
