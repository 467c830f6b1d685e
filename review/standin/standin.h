// Stand-ins for the platform of the dispatch nodes: its store, its workers and its clients, all in
// one process and on loopback addresses; and the nodes themselves as child processes.
#ifndef SAPPHIREFLOW_REVIEW_STANDIN_H_
#define SAPPHIREFLOW_REVIEW_STANDIN_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;

// Milliseconds on the steady clock since the program started.
double NowMs();
void SleepMs(double ms);
void SleepUntilMs(double at);

// Writes record.txt: one line for each event, with its time.
class Recorder {
 public:
  explicit Recorder(const std::string& file);
  ~Recorder();
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  int peer_port = 0;  // of the caller
};

struct Response {
  int status = 200;
  std::string body;
};

// A handler that returns nothing leaves the request without an answer, on an open connection.
using Handler = std::function<std::optional<Response>(const Request&)>;

// HTTP/1.1 server with a thread for each connection.
class Server {
 public:
  // @return whether the address is free
  bool Start(const std::string& ip, int port, Handler handler);
  // Closes the listener and resets all connections.
  void Close();

 private:
  void Serve(int socket);

  Handler m_handler;
  int m_listener = -1;
  std::mutex m_mutex;
  std::set<int> m_sockets;
  bool m_closed = false;
};

// Runs actions at given times on a thread of its own.
class Scheduler {
 public:
  Scheduler();
  void At(double at, std::function<void()> action);

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::multimap<double, std::function<void()>> m_actions;
};

// The platform's store. Every node has its own door to it, so that single nodes can be cut off.
class Store {
 public:
  explicit Store(Scheduler& scheduler) : m_scheduler(scheduler) {}
  std::optional<Response> Handle(const Request& request, const std::atomic<bool>& door_shut);
  // @return the time at which the store accepted the write
  double Put(const std::string& key, const Json& value);
  void Remove(const std::string& key);

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
    std::optional<Item> item;
  };
  static Json ItemJson(const std::string& key, const Item& item);
  void WriteLocked(const std::string& key, const std::string& value, std::uint64_t lease);
  void EraseLocked(const std::string& key);
  Json EventsLocked(const std::string& prefix, std::uint64_t after) const;
  Response Watch(const Request& request, const std::atomic<bool>& door_shut);
  Response Transaction(const Json& body);
  void ExpireLease(std::uint64_t lease);

  Scheduler& m_scheduler;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_history;
  std::uint64_t m_revision = 1;
  std::uint64_t m_next_lease = 1;
  std::map<std::uint64_t, std::pair<double, double>> m_leases;  // lifetime and end
};

// One run of a task, as its worker saw it.
struct RunTrace {
  std::string task;
  std::uint32_t number = 0;
  std::string worker;
  double begin = 0;
  double end = 0;  // 0: not ended
  std::string how;
};

// All runs of all workers.
class Traces {
 public:
  explicit Traces(Recorder& recorder) : m_recorder(recorder) {}
  std::size_t Begin(const std::string& task, std::uint32_t number, const std::string& worker);
  void End(std::size_t trace, const std::string& how);
  std::vector<RunTrace> All();

 private:
  Recorder& m_recorder;
  std::mutex m_mutex;
  std::vector<RunTrace> m_runs;
};

// A worker as the pages describe it. How long a task runs, and what it
// takes, is read from its spec.
class Worker {
 public:
  Worker(std::string id, std::string ip, std::string zone, int milli_cores, Store& store,
         Scheduler& scheduler, Traces& traces, Recorder& recorder);
  bool Start();
  // Reports `draining`. @return when the store accepted the report
  double Drain();
  // Changes the capacity and reports it at once.
  void SetCapacity(int milli_cores);
  // From this time after a smaller capacity was reported it counts.
  static constexpr double kShrunkCountsAfterMs = 4500;
  // Starts that brought the worker over the capacity that counted.
  int starts_over_capacity();
  // Ends everything that runs here, and the worker.
  void Leave();
  const std::string& id() const { return m_id; }
  // Who has called from this port; set before the start.
  std::function<std::string(int peer_port)> identify;
  // The starts that were ordered while the worker drained.
  struct LateStart {
    double at = 0;
    std::string task;
    std::string caller;
  };
  std::vector<LateStart> StartsWhileDraining();

 private:
  struct Run {
    std::uint32_t number = 0;
    std::uint64_t serial = 0;
    std::size_t trace = 0;
    int milli_cores = 0;
  };
  std::int64_t ClockMs() const;
  void Publish();
  void PublishRegularly();
  std::optional<Response> Handle(const Request& request);
  Response Answer(int status, Json body) const;
  Response StartRun(const Json& body, int peer_port);
  Response StopRun(const Json& body);
  Response Hold(const Json& body, std::unique_lock<std::mutex>& lock);
  bool FencedLocked(const Json& body);
  void ExtendLocked(std::int64_t expires_ms);
  void EndLocked(const std::string& task, const std::string& how);
  void CheckLease();

  const std::string m_id;
  const std::string m_ip;
  const std::string m_zone;
  int m_milli_cores;
  int m_counted_milli_cores;
  double m_shrunk_at = 0;
  int m_over_capacity = 0;
  Store& m_store;
  Scheduler& m_scheduler;
  Traces& m_traces;
  Recorder& m_recorder;
  Server m_server;
  double m_started_at = 0;
  std::int64_t m_born = 0;

  std::mutex m_mutex;
  std::condition_variable m_ended_one;
  bool m_draining = false;
  bool m_gone = false;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_highest_token = 0;
  std::int64_t m_expires_ms = 0;
  std::uint64_t m_serial = 0;
  std::map<std::string, Run> m_running;
  std::map<std::string, std::uint32_t> m_highest_ended;
  std::vector<Json> m_ended;
  std::uint64_t m_next_end = 1;
  std::vector<LateStart> m_late_starts;
};

// What the settings of all nodes of a fleet have in common.
struct FleetPlan {
  std::vector<int> nodes_per_zone;
  int workers_per_zone = 4;
  int worker_milli_cores = 16000;
  // lines of the settings file that begin with "bounds." and the like
  std::string bounds;
  int drain_timeout_ms = 2000;
};

// A node of the system: a process of the program under test.
struct Node {
  std::string name;
  std::string zone;
  std::string ip;
  std::string settings;
  std::string log;
  pid_t pid = 0;
  Server store_door;
  std::atomic<bool> cut_from_store{false};
};

// Starts the store, the workers and the nodes, and ends them.
class Fleet {
 public:
  Fleet(const FleetPlan& plan, std::string program, std::string folder, Recorder& recorder);
  // Ends all nodes and this program.
  [[noreturn]] void Finish(int code);
  // @return whether all of it runs and every node has reported that it is ready
  bool Start();
  void StartNode(Node& node);
  void Signal(Node& node, int signal);
  // Sends SIGKILL and waits for the end of the process.
  void Kill(Node& node);
  bool Ready(const Node& node);
  // @return the node that has a connection to this machine from that port
  std::string NodeOfPort(int port);

  std::vector<std::unique_ptr<Node>>& nodes() { return m_nodes; }
  std::vector<std::unique_ptr<Worker>>& workers() { return m_workers; }
  Traces& traces() { return m_traces; }
  Scheduler& scheduler() { return m_scheduler; }
  Store& store() { return m_store; }

 private:
  void WriteSettings(Node& node);

  const FleetPlan m_plan;
  const std::string m_program;
  const std::string m_folder;
  Recorder& m_recorder;
  Scheduler m_scheduler;
  Store m_store;
  Traces m_traces;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::unique_ptr<Worker>> m_workers;
  int m_subnet = 0;
};

// A job that needn't be kept, with one step.
struct JobSpec {
  int tasks = 1;
  int run_ms = 900;
  int milli_cores = 1000;
  int deadline_ms = 1500;
};

// What became of one attempt to submit a job.
struct Outcome {
  int status = 0;  // 0: the connection ended or the deadline passed without an answer
  std::string body;
};

// Sends one submission on a connection of its own, and waits for the answer.
Outcome Submit(const std::string& ip, const std::string& id, const JobSpec& job);
// Cancels a job.
Outcome Cancel(const std::string& ip, const std::string& id);

// Clients that submit jobs and repeat them as the pages say: `retry_ms` after no answer, a broken
// connection, a 502 or a 504.
class Clients {
 public:
  Clients(Fleet& fleet, Recorder& recorder) : m_fleet(fleet), m_recorder(recorder) {}
  ~Clients() { Join(); }
  // @param pick the node of the first attempt; further ones go to any other node that is not
  // avoided
  void Start(const JobSpec& job, std::size_t pick);
  void Avoid(std::size_t node, bool avoided);
  void Join();

 private:
  void Run(const std::string& id, const JobSpec& job, std::size_t node);

  Fleet& m_fleet;
  Recorder& m_recorder;
  std::mutex m_mutex;
  std::set<std::size_t> m_avoided;
  std::vector<std::thread> m_threads;
  std::uint64_t m_next = 1;
};

// Two runs of one task that overlap.
struct Overlap {
  RunTrace first;
  RunTrace second;
  double ms = 0;
};
std::vector<Overlap> FindOverlaps(std::vector<RunTrace> runs);
// Records the overlaps. @return their number
std::size_t ReportOverlaps(const std::vector<RunTrace>& runs, Recorder& recorder);

}  // namespace review

#endif  // SAPPHIREFLOW_REVIEW_STANDIN_H_
