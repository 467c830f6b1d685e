// Part of experiment: discrete-event simulation of the ideal scheduler.
#include "sapphireflow/experiment/ideal_scheduler.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <queue>
#include <set>
#include <utility>

namespace sapphireflow {
namespace {

class IdealSimulation {
 public:
  IdealSimulation(const Experiment& experiment, const std::vector<Arrival>& arrivals)
      : m_experiment(experiment), m_arrivals(arrivals), m_jobs(arrivals.size()) {
    for (const WorkerProfile& worker : experiment.workers()) {
      for (std::uint32_t i = 0; i < worker.slots(); ++i) m_free_factors.insert(worker.factor());
    }
  }

  std::vector<std::optional<Duration>> Run() {
    std::size_t next = 0;
    while (next < m_arrivals.size() || !m_running.empty()) {
      const bool arrival_is_next =
          next < m_arrivals.size() &&
          (m_running.empty() || m_arrivals[next].at() <= m_running.top().end_time);
      if (arrival_is_next) {
        m_now = m_arrivals[next].at();
        OnArrival(next++);
      } else {
        m_now = m_running.top().end_time;
        OnTaskEnd(m_running.top());
        m_running.pop();
      }
      StartWaitingTasks();
    }
    std::vector<std::optional<Duration>> responses;
    responses.reserve(m_jobs.size());
    for (const Job& job : m_jobs) responses.push_back(job.response);
    return responses;
  }

 private:
  struct Job {
    std::size_t waiting_tasks = 0;  // not yet started; their run times come first in `runs`
    std::size_t unfinished_tasks = 0;
    double remaining_work_ms = 0;
    std::vector<double> runs;  // run times in ms, ascending; the longest task starts first
    bool dropped = false;
    std::optional<Duration> response;
  };
  struct RunningTask {
    Duration end_time;
    std::size_t job;
    double factor;
    double run;
    bool operator>(const RunningTask& other) const { return end_time > other.end_time; }
  };

  const KindProfile& KindOf(std::size_t job) const {
    return m_experiment.kinds()[m_arrivals[job].kind()];
  }
  Duration DeadlineOf(std::size_t job) const {
    return m_arrivals[job].at() + KindOf(job).deadline();
  }
  // Order of the queue: remaining work per weight, least first.
  double QueueKeyOf(std::size_t job) const {
    return m_jobs[job].remaining_work_ms /
           (KindOf(job).weight() * static_cast<double>(m_jobs[job].runs.size()));
  }

  void OnArrival(std::size_t index) {
    Job& job = m_jobs[index];
    job.runs = m_arrivals[index].runs_ms();
    std::sort(job.runs.begin(), job.runs.end());
    job.waiting_tasks = job.unfinished_tasks = job.runs.size();
    job.remaining_work_ms = std::accumulate(job.runs.begin(), job.runs.end(), 0.0);
    m_queue.emplace(QueueKeyOf(index), index);
  }

  void OnTaskEnd(const RunningTask& task) {
    m_free_factors.insert(task.factor);
    Job& job = m_jobs[task.job];
    if (job.dropped) return;
    const bool queued = m_queue.erase({QueueKeyOf(task.job), task.job}) > 0;
    job.remaining_work_ms -= task.run;
    --job.unfinished_tasks;
    if (queued) m_queue.emplace(QueueKeyOf(task.job), task.job);
    if (job.unfinished_tasks == 0 && m_now <= DeadlineOf(task.job)) {
      job.response = m_now - m_arrivals[task.job].at();
    }
  }

  void StartWaitingTasks() {
    while (!m_free_factors.empty() && !m_queue.empty()) {
      const auto first = *m_queue.begin();
      Job& job = m_jobs[first.second];
      const double factor = *m_free_factors.begin();
      const double run = job.runs[job.waiting_tasks - 1];
      const Duration end = m_now + FromMillis(run * factor);
      if (end > DeadlineOf(first.second)) {
        m_queue.erase(first);
        job.dropped = true;
        continue;
      }
      m_free_factors.erase(m_free_factors.begin());
      m_running.push(RunningTask{end, first.second, factor, run});
      if (--job.waiting_tasks == 0) m_queue.erase(first);
    }
  }

  const Experiment& m_experiment;
  const std::vector<Arrival>& m_arrivals;
  std::vector<Job> m_jobs;
  Duration m_now{0};
  // one run time factor for each free slot, fastest first
  std::multiset<double> m_free_factors;
  std::set<std::pair<double, std::size_t>> m_queue;
  std::priority_queue<RunningTask, std::vector<RunningTask>, std::greater<>> m_running;
};

}  // namespace

std::vector<std::optional<Duration>> RunIdealScheduler(const Experiment& experiment,
                                                       const std::vector<Arrival>& arrivals) {
  return IdealSimulation(experiment, arrivals).Run();
}

Duration CriticalPathTime(const Experiment& experiment, const Arrival& arrival) {
  double fastest = experiment.workers().front().factor();
  for (const WorkerProfile& worker : experiment.workers()) {
    fastest = std::min(fastest, worker.factor());
  }
  return FromMillis(*std::max_element(arrival.runs_ms().begin(), arrival.runs_ms().end()) *
                    fastest);
}

}  // namespace sapphireflow
