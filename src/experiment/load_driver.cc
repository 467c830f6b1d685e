// Part of experiment: open-loop load generator and process usage from /proc.
#include "sapphireflow/experiment/load_driver.h"

#include <unistd.h>

#include <condition_variable>
#include <deque>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <utility>

#include "sapphireflow/codec/http_bodies.h"
#include "sapphireflow/transport/http_client.h"
#include "sapphireflow/transport/timer_thread.h"

namespace sapphireflow {
namespace {

using nlohmann::json;

// A call times out this long after its job's deadline, so that late answers are still recorded.
constexpr Duration kReplyGrace = std::chrono::milliseconds(500);
constexpr Duration kControlCallTimeout = std::chrono::seconds(5);
constexpr int kIdsPerBlock = 200;
constexpr Duration kStartDelay = std::chrono::milliseconds(200);

ObservedOutcome ToObservedOutcome(const HttpResult& result, Duration response) {
  if (result.end() != CallEnd::kResponded) return {"lost", "", response};
  const auto answer = DecodeAnswer(result.body());
  if (std::holds_alternative<Error>(answer)) return {"lost", "", response};
  const auto& job_answer = std::get<JobAnswer>(answer);
  return {VerdictName(job_answer.verdict()), job_answer.cause() ? job_answer.cause()->code() : "",
          response};
}

}  // namespace

class LoadDriver::Impl {
 public:
  Impl(const Experiment& experiment, std::string key, int threads)
      : m_experiment(experiment),
        m_authorization("Bearer " + std::move(key)),
        m_client(threads),
        m_timers(m_clock) {}

  std::vector<std::optional<ObservedOutcome>> Run(const std::vector<Arrival>& arrivals,
                                                  std::uint64_t seed) {
    m_random.seed(seed);
    m_observed.assign(arrivals.size(), std::nullopt);
    m_ids.assign(m_experiment.entries().size(), {});
    m_unfinished_jobs = arrivals.size();
    for (std::size_t i = 0; i < m_experiment.entries().size(); ++i) FetchIds(i);
    m_start = m_clock.Now() + kStartDelay;
    Schedule(arrivals, 0);
    std::unique_lock<std::mutex> lock(m_mutex);
    m_done.wait(lock, [this] { return m_unfinished_jobs == 0; });
    return m_observed;
  }

  std::map<std::string, double> ReadCounters() {
    std::map<std::string, double> counters;
    for (const Address& entry : m_experiment.entries()) {
      const HttpResult result = m_client.CallAndWait(
          HttpCall("GET", entry, "/metrics", m_authorization, "", kControlCallTimeout));
      std::istringstream lines(result.body());
      for (std::string line; std::getline(lines, line);) {
        const std::size_t space = line.rfind(' ');
        if (space == std::string::npos || line.find("_total") == std::string::npos) continue;
        counters[line.substr(0, space)] += std::strtod(line.c_str() + space, nullptr);
      }
    }
    return counters;
  }

 private:
  void FetchIds(std::size_t entry) {
    const std::string body = "{\"count\":" + std::to_string(kIdsPerBlock) + "}";
    const HttpResult result = m_client.CallAndWait(
        HttpCall("POST", m_experiment.entries()[entry], "/v1/ids", "", body, kControlCallTimeout));
    AddIds(entry, result);
  }

  void FetchIdsAsync(std::size_t entry) {
    const std::string body = "{\"count\":" + std::to_string(kIdsPerBlock) + "}";
    m_client.Start(
        HttpCall("POST", m_experiment.entries()[entry], "/v1/ids", "", body, kControlCallTimeout),
        [this, entry](const HttpResult& result) { AddIds(entry, result); });
  }

  void AddIds(std::size_t entry, const HttpResult& result) {
    const json body = json::parse(result.body(), nullptr, false);
    std::lock_guard<std::mutex> lock(m_mutex);
    m_fetching[entry] = false;
    if (!body.is_object() || !body.contains("ids")) return;
    for (const json& id : body.at("ids")) m_ids[entry].push_back(id.get<std::string>());
  }

  // Keeps a single timer, for the next arrival. When it fires, all arrivals that are due are
  // submitted.
  void Schedule(const std::vector<Arrival>& arrivals, std::size_t next) {
    if (next == arrivals.size()) return;
    m_timers.At(m_start + arrivals[next].at(), [this, &arrivals, next] {
      std::size_t i = next;
      const Instant now = m_clock.Now();
      while (i < arrivals.size() && m_start + arrivals[i].at() <= now) {
        Submit(arrivals[i], i);
        ++i;
      }
      Schedule(arrivals, i);
    });
  }

  // Returns an empty string if no id is available.
  std::string TakeId(std::size_t entry) {
    bool fetch = false;
    std::string id;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      auto& ids = m_ids[entry];
      if (!ids.empty()) {
        id = std::move(ids.front());
        ids.pop_front();
      }
      if (ids.size() < kIdsPerBlock / 2 && !m_fetching[entry]) fetch = m_fetching[entry] = true;
    }
    if (fetch) FetchIdsAsync(entry);
    return id;
  }

  void Submit(const Arrival& arrival, std::size_t index) {
    const std::size_t entries = m_experiment.entries().size();
    const std::size_t issuer = m_random() % entries;
    const bool is_misdirected =
        std::uniform_real_distribution<double>(0, 1)(m_random) < m_experiment.misdirected_share();
    const std::size_t target_entry = is_misdirected ? m_random() % entries : issuer;
    const std::string id = TakeId(issuer);
    const Instant due = m_start + arrival.at();
    if (id.empty()) {
      FinishJob(index, ObservedOutcome("lost", "no-id", Duration(0)));
      return;
    }
    const KindProfile& kind = m_experiment.kinds()[arrival.kind()];
    std::vector<Task> tasks;
    tasks.reserve(arrival.runs_ms().size());
    for (const double run : arrival.runs_ms()) {
      const Duration declared = FromMillis(run * arrival.declared_factor());
      tasks.emplace_back(kind.kind(), json{{"run_ms", run}}.dump(), ResourceSpec(), declared);
    }
    // the deadline counts from the scheduled arrival, so delays of the driver use it up as well
    const JobSpec spec(kind.team(), due + kind.deadline(), kind.idempotent(), std::move(tasks));
    const HttpCall call("PUT", m_experiment.entries()[target_entry], "/v1/jobs/" + id, "",
                        EncodeSubmission(spec, m_clock.Now()), kind.deadline() + kReplyGrace);
    m_client.Start(call, [this, index, due](const HttpResult& result) {
      FinishJob(index, ToObservedOutcome(result, m_clock.Now() - due));
    });
  }

  void FinishJob(std::size_t index, ObservedOutcome observed_job) {
    bool last = false;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_observed[index] = std::move(observed_job);
      last = --m_unfinished_jobs == 0;
    }
    if (last) m_done.notify_all();
  }

  const Experiment m_experiment;
  const std::string m_authorization;
  const MonotonicClock m_clock;
  std::mt19937_64 m_random;  // during a run, used by the timer thread only
  Instant m_start{};
  std::mutex m_mutex;
  std::condition_variable m_done;
  // guarded by m_mutex
  std::vector<std::optional<ObservedOutcome>> m_observed;
  std::vector<std::deque<std::string>> m_ids;
  std::map<std::size_t, bool> m_fetching;
  std::size_t m_unfinished_jobs = 0;
  HttpClient m_client;
  TimerThread m_timers;
};

LoadDriver::LoadDriver(const Experiment& experiment, std::string operator_key, int threads)
    : m_impl(std::make_unique<Impl>(experiment, std::move(operator_key), threads)) {}

LoadDriver::~LoadDriver() = default;

std::vector<std::optional<ObservedOutcome>> LoadDriver::Run(const std::vector<Arrival>& arrivals,
                                                            std::uint64_t seed) {
  return m_impl->Run(arrivals, seed);
}

std::map<std::string, double> LoadDriver::ReadCounters() { return m_impl->ReadCounters(); }

std::optional<ProcessUsage> ReadProcessUsage(const std::string& name, int pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  if (!std::getline(stat, text)) return std::nullopt;
  // the command name may contain spaces, so fields are counted from its closing parenthesis
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::vector<std::string> values;
  for (std::string value; fields >> value;) values.push_back(value);
  constexpr std::size_t kUserTicks = 11;
  constexpr std::size_t kSystemTicks = 12;
  constexpr std::size_t kResidentPages = 21;
  constexpr double kBytesPerMb = 1048576;
  if (values.size() <= kResidentPages) return std::nullopt;
  const double ticks = std::stod(values[kUserTicks]) + std::stod(values[kSystemTicks]);
  const double pages = std::stod(values[kResidentPages]);
  return ProcessUsage(name, ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
                      pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMb);
}

}  // namespace sapphireflow
