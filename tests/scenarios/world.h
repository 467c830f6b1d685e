// Runs a script in one process: real nodes, fakes for workers, platform, network and callers, and a
// simulated clock.
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

/// @brief A simulated fleet that executes one script and records a trace. Single-threaded.
class World {
 public:
  explicit World(const Script& script);
  /// @brief Runs the whole script. Deterministic: the same script gives the same trace.
  Trace Run();

 private:
  // an entry VM; the node is replaced, with a new incarnation, when the process is replaced
  struct Process {
    std::string name;
    std::string zone;
    Address address;
    std::unique_ptr<Node> node;
    Incarnation incarnation = 0;
    bool dead = false;
    bool frozen = false;
    // events received while frozen, delivered on resume
    std::deque<std::function<void()>> deferred_events;
    // the planned stop in Trace::outages; SIZE_MAX if there is none
    std::size_t planned_outage_index = SIZE_MAX;
  };

  // processes
  void StartProcess(Process& process);
  void HeartbeatTick(const std::string& name, Incarnation incarnation);
  void Deliver(const std::string& name, Incarnation incarnation, const NodeEvent& event);
  void ApplyEvent(Process& process, const NodeEvent& event);
  void Exit(const std::string& name, Incarnation incarnation);
  Process* Find(const Address& address);
  FakeWorker* FindWorker(const Address& address);

  // effects of a node, one overload for each type
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
  // reports to all reachable peers that the connections of an ended process were reset
  void ResetConnections(const std::string& name);
  // random one-way network delay of 0.2 to 1 ms
  Duration NetworkDelay();
  bool Connected(const std::string& from, const std::string& to) const;
  std::string ZoneOf(const std::string& name) const;

  // platform
  void SendStoreReply(const std::string& name, Incarnation incarnation, const StoreReply& reply,
                      bool lost);
  void ShowList();
  void PollVmList(const std::string& name, Incarnation incarnation);

  // callers and operators
  void ExecuteStep(const Step& step);
  std::optional<JobId> IssueId(const std::string& home);
  void Submit(const Step& step, const std::string& job);
  void SendRequest(const std::string& job, const Step& step, Instant deadline, bool is_query);
  void DeliverRequest(const NodeEvent& event, const std::string& job, const Step& step,
                      Instant deadline, std::size_t request, Incarnation incarnation);
  void RetryElsewhere(const std::string& job, const Step& step, Instant deadline,
                      std::size_t request);
  void Edit(const Step& step);
  void Kill(const std::string& name);
  void Replace(const std::string& name);
  void Freeze(const std::string& name);
  void Resume(const std::string& name);
  std::string PickLiveEntry(const std::string& excluded);

  const Script& m_script;
  SimulatedClock m_clock;
  std::mt19937_64 m_random;
  Trace m_trace;
  std::map<std::string, std::unique_ptr<Process>> m_processes;
  std::map<std::string, std::unique_ptr<FakeWorker>> m_workers;
  std::map<Address, std::string> m_name_by_address;
  std::set<std::pair<std::string, std::string>> m_blocked_links;
  // latest delivery time for each (sender, receiver): messages of a pair arrive in FIFO order, as
  // over one connection
  std::map<std::pair<std::string, std::string>, Instant> m_last_delivery;
  std::map<std::pair<std::string, RequestToken>, std::function<void(const CallerReply&)>>
      m_reply_handlers;
  RequestToken m_next_token = 1;
  Step m_platform_faults;
  Revision m_revision = 0;
  TablePtr m_stored_table;
  std::vector<std::function<void()>> m_store_watches;
  std::vector<EntryVm> m_listed_entries;
  std::vector<Worker> m_listed_workers;
  std::uint64_t m_list_revision = 1;
  std::map<std::string, std::uint64_t> m_known_list_revision;
  std::map<JobId, Duration> m_run_times;
  // ids that were issued before their job is submitted, by job name
  std::map<std::string, JobId> m_issued_ids;
  Incarnation m_next_incarnation = 1;
  // base version of each edit id: a repeated edit counts as the same only with the same base
  std::map<std::string, std::uint64_t> m_edit_bases;
};

}  // namespace sapphireflow::scenario

#endif  // SAPPHIREFLOW_TESTS_SCENARIOS_WORLD_H_
