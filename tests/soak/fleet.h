// A test fleet on loopback addresses: the nodes run as processes; the store, the workers and the
// proxies run in this process.
#ifndef SAPPHIREFLOW_TESTS_SOAK_FLEET_H_
#define SAPPHIREFLOW_TESTS_SOAK_FLEET_H_

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "callers.h"
#include "fault_proxy.h"
#include "fault_tracker.h"
#include "invariant_checker.h"
#include "node_process.h"
#include "sapphireflow/transport/http_client.h"
#include "sapphireflow/transport/http_server.h"
#include "soak_store.h"
#include "soak_worker.h"

namespace sapphireflow::soak {

/// @brief Size, addresses and files of a fleet.
struct FleetPlan {
  // as many as have an address in a slot
  static constexpr std::uint32_t kMaxNodes = 59;
  static constexpr std::uint32_t kMaxWorkers = 140;
  // of each worker
  static constexpr std::int64_t kMilliCores = 16000;
  std::string program;
  std::string folder;
  // each slot has a subnet of its own, so that several fleets can run at the same time
  std::uint32_t slot = 0;
  std::uint32_t nodes = 4;
  std::uint32_t workers = 6;
  // nodes and workers are spread over the zones in turn
  std::uint32_t zones = 1;
  std::uint32_t seed = 1;
  // Callers connect to the nodes without a proxy, so that connections to a stopped process are
  // refused. A proxy would accept them.
  bool direct_callers = false;
  // more lines for the nodes' settings
  std::string settings;
};

/// @brief Direction of the links between nodes that a fault affects, as seen from one node.
enum class LinkDirection { kBoth, kInto, kOutOf };

/// @brief Owns all components of a run. Each component is thread-safe by its own lock, except for
/// the process of each node, which only the thread that runs the schedule may use.
class Fleet : public CrashListener {
 public:
  explicit Fleet(const FleetPlan& plan);
  ~Fleet() override;
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// @brief Starts all components and waits until all nodes report that they are ready.
  /// @return false if a component cannot be started or a node is not ready in time
  bool Start();
  /// @brief Sends SIGTERM to all nodes; a node that does not exit with 0 within its grace period is
  /// a violation.
  void Stop();

  /// @brief Crashes a worker, which cannot be reached until its next incarnation starts seconds
  /// later.
  void OnCrash(const std::string& worker) override;
  /// @brief Resets all connections of callers and to workers and the store at once, or makes those
  /// to workers and the store silent for good.
  void ResetAllConnections();
  void SilenceAllConnections();
  /// @brief Resets links between a node and all others. New ones fail until `HealPeerLinks`.
  /// @param fault how new links into the node fail: `kRefused` or `kNotListening`
  void BreakPeerLinks(std::size_t node, LinkDirection direction, LinkFault fault);
  void HealPeerLinks(std::size_t node);
  /// @brief The same for the link that one node opens to another.
  void BreakPeerLink(std::size_t from, std::size_t to);
  void HealPeerLink(std::size_t from, std::size_t to) { peer_link(to).AcceptFrom(from); }
  /// @brief Changes the capacity of a worker and publishes it.
  void SetCapacity(std::size_t worker, std::int64_t milli_cores);
  /// @brief Crashes a worker and starts its next incarnation at once.
  void RestartWorker(std::size_t worker);
  /// @brief Adds a violation for each node whose process has ended and should not have.
  void CheckProcesses();
  /// @brief Starts the process of a node again if it has ended. One that was asked to end longer
  /// ago than its grace period is killed first, as the platform does; that is a violation unless it
  /// was frozen in between.
  void KeepRunning(std::size_t node);

  /// @return how many lines of the nodes' logs contain a text. Complexity: linear in the logs.
  int CountLogLines(const std::string& text) const;
  /// @brief Writes the next version of the configuration, which adds a queue and removes the one
  /// that the previous version added, and schedules probes of the new queue.
  void ChangeConfiguration();
  /// @brief Writes or removes the key by which operators evacuate a zone.
  void SetEvacuated(std::uint32_t zone, bool evacuated);
  /// @brief Writes a worker's entry to the store and keeps it renewed, or removes it.
  void SetRegistered(std::size_t worker, bool registered);

  const Clock& clock() const { return m_clock; }
  TimerThread& timers() { return m_timers; }
  FaultTracker& fault_tracker() { return m_fault_tracker; }
  InvariantChecker& checker() { return m_checker; }
  Callers& callers() { return *m_callers; }
  SoakStore& store() { return m_store; }
  SoakWorker& worker(std::size_t index) { return *m_workers[index]->worker; }
  FaultProxy& worker_link(std::size_t index) { return *m_workers[index]->link; }
  NodeProcess& node(std::size_t index) { return *m_nodes[index]->process; }
  FaultProxy& store_link(std::size_t index) { return *m_nodes[index]->store_link; }
  FaultProxy& front_link(std::size_t index) { return *m_nodes[index]->front_link; }
  FaultProxy& peer_link(std::size_t index) { return *m_nodes[index]->peer_link; }
  std::size_t nodes() const { return m_nodes.size(); }
  std::size_t workers() const { return m_workers.size(); }

 private:
  struct WorkerPart {
    std::unique_ptr<SoakWorker> worker;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<FaultProxy> link;  // from the nodes to the worker
    Address registered_address;
    std::atomic<bool> registered{true};
    std::atomic<bool> down{false};
  };
  struct NodePart {
    std::unique_ptr<FaultProxy> store_link;  // from the node to the store
    std::unique_ptr<FaultProxy> front_link;  // from the callers to the node
    std::unique_ptr<FaultProxy> peer_link;   // from the other nodes to the node
    std::unique_ptr<NodeProcess> process;
    Address readiness;
  };

  std::string ZoneOf(std::uint32_t index) const;
  static std::string ZoneName(std::uint32_t zone);
  Address SlotAddress(std::uint32_t host, std::uint16_t port) const;
  void AddWorker(std::uint32_t index);
  void AddNode(std::uint32_t index);
  std::string WriteSettings(std::uint32_t index, const Address& store) const;
  void PublishWorkerEntries();

  const FleetPlan m_plan;
  const MonotonicClock m_clock;
  TimerThread m_timers;
  FaultTracker m_fault_tracker;
  InvariantChecker m_checker;
  SoakStore m_store;
  std::unique_ptr<HttpServer> m_store_server;
  std::vector<std::unique_ptr<WorkerPart>> m_workers;
  std::vector<std::unique_ptr<NodePart>> m_nodes;
  std::unique_ptr<Callers> m_callers;
  std::uint64_t m_version = 1;
  // used by the timer thread only
  std::mt19937 m_random;
  std::atomic<bool> m_publishing{true};
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_FLEET_H_
