// A small deployment on loopback addresses for the cases of this review: the store, workers and
// dispatch nodes. The nodes are the processes of the deploy file; the rest runs in this process and
// behaves as the platform's pages say, unless a case switches a fault on.
#ifndef SAPPHIREFLOW_REVIEW_STANDINS_3_FLEET_H_
#define SAPPHIREFLOW_REVIEW_STANDINS_3_FLEET_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"

namespace review {

using Json = nlohmann::json;

/// Milliseconds since this process started.
std::int64_t NowMs();
void SleepMs(std::int64_t length_ms);
void SleepUntil(std::int64_t at_ms);

/// Writes a line to record.txt and to standard output. Thread-safe.
void Record(const std::string& line);

/// The platform's store. Thread-safe.
class Store {
 public:
  Response Handle(const Request& request);
  void Put(const std::string& key, const std::string& bytes);
  void Remove(const std::string& key);
  /// The most items in a page.
  void SetPage(std::size_t items);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string key;
    bool deleted = false;
    Item item;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t ends_at = 0;
  };
  static Json ItemJson(const std::string& key, const Item& item);
  Json EventsAfter(const std::string& prefix, std::uint64_t after) const;
  Response Watch(const Request& request);
  Response Range(const Request& request);
  Response Transaction(const Json& body);
  Response OnLease(const Request& request);
  void Write(const std::string& key, const std::string& value, std::uint64_t lease);
  void Erase(const std::string& key);
  void EndLeases();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_history;
  std::map<std::uint64_t, Lease> m_leases;
  std::uint64_t m_revision = 100;
  std::uint64_t m_next_lease = 70000;
  std::size_t m_page = 500;
};

/// A start or an end of a run as a worker saw it.
struct Run {
  std::string worker;
  std::string task;
  std::uint32_t number = 0;
  std::int64_t started_at = 0;
  // -1: at work
  std::int64_t ended_at = -1;
  std::string how;
};

/// All runs of all workers. Thread-safe.
class Runs {
 public:
  std::size_t Start(const std::string& worker, const std::string& task, std::uint32_t number);
  void End(std::size_t run, const std::string& how);
  std::vector<Run> All() const;

 private:
  mutable std::mutex m_mutex;
  std::vector<Run> m_runs;
};

/// A worker; tasks run for the `run_ms` that their spec names. It doesn't guard its capacity.
/// Thread-safe.
class Worker {
 public:
  Worker(std::string id, const Endpoint& at, std::string zone, std::string service,
         std::int64_t cpu, Runs& runs);
  bool Open() { return m_server.Open(); }
  /// Its entry in the store.
  Json Entry();
  const std::string& id() const { return m_id; }
  void SetDraining(bool draining);
  /// Starts of orders get no answer and are carried out this much later; 0: as usual.
  void SetLateMs(int late_ms) { m_late_ms = late_ms; }
  /// Ends everything, forgets all and is unreachable until `Restart`.
  void Crash();
  void Restart();

 private:
  struct Current {
    std::uint32_t number = 0;
    std::size_t record = 0;
    std::int64_t ends_at = 0;
    std::int64_t stops_at = -1;
  };
  Response Handle(const Request& request);
  Response Start(const Json& body);
  Response Stop(const Json& body);
  Response Hold(const Json& body, std::unique_lock<std::mutex>& lock);
  Response Answer(int status, Json body) const;
  bool Fenced(const Json& body);
  void Extend(std::int64_t expires_ms);
  void End(const std::string& task, const std::string& how);
  void Work();
  std::int64_t ClockMs() const { return 400000 + NowMs() - m_born_at; }

  const std::string m_id;
  const Endpoint m_at;
  const std::string m_zone;
  const std::string m_service;
  const std::int64_t m_cpu;
  Runs& m_runs;
  std::atomic<int> m_late_ms{0};
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::int64_t m_born_at = 0;
  std::int64_t m_born_ms = 0;
  bool m_down = false;
  bool m_draining = false;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_token = 0;
  std::int64_t m_expires_ms = 0;
  std::map<std::string, Current> m_running;
  std::map<std::string, std::uint32_t> m_highest;
  std::vector<Json> m_ended;
  std::uint64_t m_next_end = 1;
  Server m_server;
};

/// A dispatch node as the deploy file starts it.
class Node {
 public:
  Node(std::string name, std::string ip, std::string zone, std::string folder);
  ~Node();
  /// @param store where this node reaches the store
  bool Start(const std::string& program, const Endpoint& store, const std::string& more_settings);
  void Signal(int signal) const;
  /// Whether the process has ended by now; its status is in `status`.
  bool Ended();
  /// Kills and reaps it, if it runs.
  void Kill();
  int status() const { return m_status; }
  Endpoint front() const { return {m_ip, 8161}; }
  Endpoint ready() const { return {m_ip, 8167}; }
  const std::string& name() const { return m_name; }
  const std::string& ip() const { return m_ip; }
  pid_t pid() const { return m_pid; }

 private:
  const std::string m_name;
  const std::string m_ip;
  const std::string m_zone;
  const std::string m_folder;
  pid_t m_pid = 0;
  int m_status = 0;
};

struct FleetPlan {
  int nodes = 2;
  int workers = 4;
  int zones = 1;
  std::int64_t worker_cpu = 16000;
  // of the route
  int timeout_ms = 1500;
  // every other worker belongs to the service `paintshop`
  bool two_services = false;
  // each node reaches the store by a proxy of its own
  bool store_links = false;
};

/// The whole deployment. Ends the nodes when it is destroyed.
class Fleet {
 public:
  explicit Fleet(const FleetPlan& plan);
  ~Fleet();
  /// Starts everything; false if a node isn't ready in time.
  bool Start();
  Node& node(int index) { return *m_nodes[static_cast<std::size_t>(index)]; }
  Worker& worker(int index) { return *m_workers[static_cast<std::size_t>(index)]; }
  Proxy& store_link(int index) { return *m_store_links[static_cast<std::size_t>(index)]; }
  int nodes() const { return static_cast<int>(m_nodes.size()); }
  int workers() const { return static_cast<int>(m_workers.size()); }
  Store& store() { return m_store; }
  Runs& runs() { return m_runs; }
  /// Starts a node's process again.
  bool StartNode(int index);
  bool WaitReady(int index, std::int64_t limit_ms);
  /// Writes the configuration with these routes. The first one has the service `workshop`; with
  /// two services the others have `paintshop`.
  void Configure(const std::vector<std::string>& routes);
  /// Writes a worker's entry to the store now.
  void Publish(int worker);
  void SetRegistered(int worker, bool registered);
  /// Ends the nodes, removes the folder and ends this process, whose threads serve until then.
  [[noreturn]] void Finish(int code);
  const std::string& folder() const { return m_folder; }
  std::string IpOf(int last) const;

 private:
  const FleetPlan m_plan;
  std::string m_folder;
  std::string m_network;
  Store m_store;
  Runs m_runs;
  std::unique_ptr<Server> m_store_server;
  std::vector<std::unique_ptr<Proxy>> m_store_links;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::vector<bool> m_registered;
  std::mutex m_registered_mutex;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::uint64_t m_version = 6;
  std::atomic<bool> m_ending{false};
  std::thread m_beats;
};

/// The body of a best-effort job.
/// @param steps each a number of tasks; each step follows the one before
std::string JobBody(const std::vector<int>& steps, std::int64_t cpu, int run_ms);

constexpr char kHost[] = "nony24.example";

}  // namespace review

#endif  // SAPPHIREFLOW_REVIEW_STANDINS_3_FLEET_H_
