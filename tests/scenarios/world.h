// Runs a script in one process: real nodes, fakes at the interfaces, a hand-driven clock.
#ifndef SAPPHIREFLOW_TESTS_SCENARIOS_WORLD_H_
#define SAPPHIREFLOW_TESTS_SCENARIOS_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fake_worker.h"
#include "sapphireflow/routing/node.h"
#include "script.h"
#include "trace.h"

namespace sapphireflow::scenario {

class World {
 public:
  explicit World(const Script& script);
  /// Runs the whole script. Same script, same trace.
  Trace Run();

 private:
  struct Process {
    std::string name;
    std::string zone;
    Address address;
    std::unique_ptr<Node> node;
    Incarnation incarnation = 0;
    bool dead = false;
    bool frozen = false;
    std::deque<std::function<void()>> held;
    std::size_t stop_outage = SIZE_MAX;
  };

  // processes
  void Begin(Process& process);
  void HeartbeatTick(const std::string& name, Incarnation incarnation);
  void Deliver(const std::string& name, Incarnation incarnation, const NodeEvent& event);
  void Act(Process& process, const NodeEvent& event);
  void Exit(const std::string& name, Incarnation incarnation);
  Process* Find(const Address& address);
  FakeWorker* FindWorker(const Address& address);

  // effects, one overload for each
  void Run(Process& from, const StartAttempt& effect);
  void Run(Process& from, const StopAttempts& effect);
  void Run(Process& from, const JobSettled& effect);
  void Run(Process& from, const AttemptWasted& effect);
  void Run(Process& from, const WakeShard& effect);
  void Run(Process& from, const SendToPeer& effect);
  void Run(Process& from, const CallerReply& effect);
  void Run(Process& from, const ReadStore& effect);
  void Run(Process& from, const SwapStore& effect);
  void Run(Process& from, const TableActivated& effect);
  void Run(Process& from, const Drained& effect);

  // network
  // connections of a process that ended are reset
  void BreakLinks(const std::string& name);
  Duration Delay();
  bool Connected(const std::string& from, const std::string& to) const;
  std::string ZoneOf(const std::string& name) const;

  // platform
  void AnswerStore(const std::string& name, Incarnation incarnation, const StoreReply& reply,
                   bool lost);
  void ShowList();
  void WatchList(const std::string& name, Incarnation incarnation);

  // callers and operators
  void Do(const Step& step);
  std::optional<JobId> Issue(const std::string& home);
  void Submit(const Step& step, const std::string& job);
  void Send(const std::string& job, const Step& step, Instant deadline, bool question);
  void Arrive(const NodeEvent& event, const std::string& job, const Step& step, Instant deadline,
              std::size_t request, Incarnation incarnation);
  void AskAgain(const std::string& job, const Step& step, Instant deadline, std::size_t request);
  void Edit(const Step& step);
  void Kill(const std::string& name);
  void Replace(const std::string& name);
  void Freeze(const std::string& name);
  void Resume(const std::string& name);
  std::string PickAlive(const std::string& not_this);

  const Script& m_script;
  Agenda m_agenda;
  std::mt19937_64 m_random;
  Trace m_trace;
  std::map<std::string, std::unique_ptr<Process>> m_processes;
  std::map<std::string, std::unique_ptr<FakeWorker>> m_workers;
  std::map<Address, std::string> m_names;
  std::set<std::pair<std::string, std::string>> m_cuts;
  // FIFO per pair, as over one connection
  std::map<std::pair<std::string, std::string>, Instant> m_last_delivery;
  std::map<std::pair<std::string, RequestToken>, std::function<void(const CallerReply&)>> m_waiting;
  RequestToken m_next_token = 1;
  Step m_platform;
  Revision m_revision = 0;
  TablePtr m_stored;
  std::vector<std::function<void()>> m_watches;
  std::vector<EntryVm> m_listed_entries;
  std::vector<Worker> m_listed_workers;
  std::uint64_t m_list_revision = 1;
  std::map<std::string, std::uint64_t> m_list_known;
  std::map<JobId, Duration> m_runs;
  // ids issued ahead of use, by job
  std::map<std::string, JobId> m_issued;
  Incarnation m_next_incarnation = 1;
  // an edit is the same one only if it is made of the same version
  std::map<std::string, std::uint64_t> m_edit_bases;
};

}  // namespace sapphireflow::scenario

#endif  // SAPPHIREFLOW_TESTS_SCENARIOS_WORLD_H_
