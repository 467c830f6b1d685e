// Implements the stand-ins of the platform and starts the nodes.
#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <utility>

namespace review {
namespace {

constexpr std::size_t kEndedRows = 500;
constexpr std::int64_t kMaxHoldMs = 1000;
constexpr std::int64_t kStopMs = 20;
constexpr std::int64_t kBeatMs = 1500;
constexpr std::int64_t kStoreAnswerMs = 4;

std::chrono::steady_clock::time_point StartOfProcess() {
  static const auto start = std::chrono::steady_clock::now();
  return start;
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Base64(const std::string& bytes) {
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits = bits << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k <= bytes.size() ? digits[bits >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return text;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string Get(const std::map<std::string, std::string>& map, const std::string& key) {
  const auto found = map.find(key);
  return found == map.end() ? std::string() : found->second;
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               StartOfProcess())
      .count();
}

void SleepMs(std::int64_t length_ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(length_ms));
}

void SleepUntil(std::int64_t at_ms) {
  while (NowMs() < at_ms) SleepMs(std::max<std::int64_t>(1, at_ms - NowMs()));
}

void Record(const std::string& line) {
  static std::mutex mutex;
  static const char* const path = std::getenv("RECORD");
  static std::ofstream file(path != nullptr ? path : "record.txt");
  const std::lock_guard<std::mutex> lock(mutex);
  const std::string text = std::to_string(NowMs()) + " ms: " + line;
  file << text << std::endl;
  std::cout << text << std::endl;
}

Json Store::ItemJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void Store::Write(const std::string& key, const std::string& value, std::uint64_t lease) {
  Item& item = m_items[key];
  ++m_revision;
  item = Item{value, m_revision, item.created == 0 ? m_revision : item.created, lease};
  m_history.push_back(Event{m_revision, key, false, item});
  m_changed.notify_all();
}

void Store::Erase(const std::string& key) {
  if (m_items.erase(key) == 0) return;
  m_history.push_back(Event{++m_revision, key, true, {}});
  m_changed.notify_all();
}

void Store::Put(const std::string& key, const std::string& bytes) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Write(key, Base64(bytes), 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Erase(key);
}

void Store::SetPage(std::size_t items) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_page = items;
}

void Store::EndLeases() {
  for (auto lease = m_leases.begin(); lease != m_leases.end();) {
    if (lease->second.ends_at > NowMs()) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.lease == lease->first) keys.push_back(key);
    }
    for (const std::string& key : keys) Erase(key);
    lease = m_leases.erase(lease);
  }
}

Json Store::EventsAfter(const std::string& prefix, std::uint64_t after) const {
  Json events = Json::array();
  for (const Event& event : m_history) {
    if (event.revision <= after || !StartsWith(event.key, prefix)) continue;
    events.push_back(event.deleted
                         ? Json{{"key", event.key}, {"revision", event.revision}, {"deleted", true}}
                         : ItemJson(event.key, event.item));
  }
  return events;
}

Response Store::Watch(const Request& request) {
  const std::string prefix = Get(request.query, "prefix");
  const std::uint64_t after = std::strtoull(Get(request.query, "after").c_str(), nullptr, 10);
  const std::int64_t until =
      NowMs() + std::strtol(Get(request.query, "wait_ms").c_str(), nullptr, 10);
  std::unique_lock<std::mutex> lock(m_mutex);
  for (;;) {
    Json events = EventsAfter(prefix, after);
    const std::int64_t left = until - NowMs();
    if (!events.empty() || left <= 0) {
      return {200, Json{{"events", std::move(events)}, {"store_revision", m_revision}}.dump()};
    }
    m_changed.wait_for(lock, std::chrono::milliseconds(left));
  }
}

Response Store::Range(const Request& request) {
  const std::string prefix = Get(request.query, "prefix");
  const std::lock_guard<std::mutex> lock(m_mutex);
  EndLeases();
  Json items = Json::array();
  bool truncated = false;
  for (auto item = m_items.upper_bound(Get(request.query, "after")); item != m_items.end();
       ++item) {
    if (!StartsWith(item->first, prefix)) continue;
    truncated = items.size() >= m_page;
    if (truncated) break;
    items.push_back(ItemJson(item->first, item->second));
  }
  return {
      200,
      Json{{"items", std::move(items)}, {"truncated", truncated}, {"store_revision", m_revision}}
          .dump()};
}

Response Store::Transaction(const Json& body) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  EndLeases();
  for (const Json& row : body.at("expected")) {
    const auto found = m_items.find(row.at("key").get<std::string>());
    const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
    if (revision != row.at("revision").get<std::uint64_t>()) {
      return {412, Json{{"items", Json::array()}}.dump()};
    }
  }
  for (const Json& write : body.at("writes")) {
    const auto key = write.at("key").get<std::string>();
    if (StartsWith(key, "op/") || StartsWith(key, "servers/")) return {403, "{}"};
    const auto lease = write.value("lease", std::uint64_t{0});
    if (lease != 0 && m_leases.count(lease) == 0) return {404, "{}"};
  }
  for (const Json& write : body.at("writes")) {
    Write(write.at("key").get<std::string>(), write.at("value").get<std::string>(),
          write.value("lease", std::uint64_t{0}));
  }
  for (const Json& key : body.at("remove")) Erase(key.get<std::string>());
  return {200, Json{{"revision", m_revision}}.dump()};
}

Response Store::OnLease(const Request& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  EndLeases();
  if (request.path == "/kv-lease") {
    const auto ttl_ms = Json::parse(request.body).at("ttl_ms").get<std::int64_t>();
    const std::uint64_t id = ++m_next_lease;
    m_leases[id] = Lease{ttl_ms, NowMs() + ttl_ms};
    return {200, Json{{"lease", id}, {"ttl_ms", ttl_ms}}.dump()};
  }
  const auto id =
      std::strtoull(request.path.substr(request.path.rfind('/') + 1).c_str(), nullptr, 10);
  const auto found = m_leases.find(id);
  if (found == m_leases.end()) return {404, "{}"};
  const bool keep = StartsWith(request.path, "/kv-keep/");
  found->second.ends_at = keep ? NowMs() + found->second.ttl_ms : 0;
  const Json answer = {{"ttl_ms", found->second.ttl_ms}};
  EndLeases();
  return {200, answer.dump()};
}

Response Store::Handle(const Request& request) {
  SleepMs(kStoreAnswerMs);
  if (request.path == "/kv-watch") return Watch(request);
  if (request.path == "/kv-range") return Range(request);
  if (request.path == "/kv-txn") return Transaction(Json::parse(request.body));
  if (request.path != "/kv-key") return OnLease(request);
  const std::lock_guard<std::mutex> lock(m_mutex);
  EndLeases();
  const auto found = m_items.find(Get(request.query, "key"));
  if (found == m_items.end()) return {404, "{}"};
  Json body = ItemJson(found->first, found->second);
  body["store_revision"] = m_revision;
  return {200, body.dump()};
}

std::size_t Runs::Start(const std::string& worker, const std::string& task, std::uint32_t number) {
  Record("start of " + task + " run " + std::to_string(number) + " on " + worker);
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_runs.push_back(Run{worker, task, number, NowMs(), -1, ""});
  return m_runs.size() - 1;
}

void Runs::End(std::size_t run, const std::string& how) {
  Run ended;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs[run].ended_at = NowMs();
    m_runs[run].how = how;
    ended = m_runs[run];
  }
  Record("end of " + ended.task + " run " + std::to_string(ended.number) + " on " + ended.worker +
         ": " + how);
}

std::vector<Run> Runs::All() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_runs;
}

Worker::Worker(std::string id, const Endpoint& at, std::string zone, std::string service,
               std::int64_t cpu, Runs& runs)
    : m_id(std::move(id)),
      m_at(at),
      m_zone(std::move(zone)),
      m_service(std::move(service)),
      m_cpu(cpu),
      m_runs(runs),
      m_born_at(NowMs()),
      m_born_ms(UnixMs()),
      m_server(at, [this](const Request& request) { return Handle(request); }) {
  std::thread([this] { Work(); }).detach();
}

Json Worker::Entry() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return {{"backend", m_service},
          {"address", m_at.Text()},
          {"zone", m_zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", m_draining ? "draining" : "ready"},
          {"cold_remaining_ms", 0},
          {"capacity", {{"cpu", m_cpu}, {"mem_mb", 32768}, {"gpu", 0}}},
          {"labels", {"a", "r1-3"}},
          {"clock_ms", ClockMs()},
          {"born", m_born_ms},
          {"sequence", ++m_sequence}};
}

void Worker::SetDraining(bool draining) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_draining = draining;
}

void Worker::Crash() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_down = true;
    for (const auto& [task, run] : m_running) m_runs.End(run.record, "crashed");
    m_running.clear();
    m_changed.notify_all();
  }
  m_server.Close();
}

void Worker::Restart() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_down = m_draining = false;
    m_born_at = NowMs();
    m_born_ms = UnixMs();
    m_sequence = m_token = 0;
    m_expires_ms = 0;
    m_highest.clear();
    m_ended.clear();
    m_next_end = 1;
  }
  m_server.Open();
}

Response Worker::Answer(int status, Json body) const {
  body["clock_ms"] = ClockMs();
  body["born"] = m_born_ms;
  return {status, body.dump()};
}

bool Worker::Fenced(const Json& body) {
  const auto token = body.value("fencing_token", std::uint64_t{0});
  if (token < m_token) return true;
  m_token = token;
  return false;
}

void Worker::Extend(std::int64_t expires_ms) {
  m_expires_ms = std::max(m_expires_ms, std::min(expires_ms, ClockMs() + kMaxHoldMs));
}

Response Worker::Handle(const Request& request) {
  if (request.path == "/health") return {200, "{}"};
  std::unique_lock<std::mutex> lock(m_mutex);
  const std::string instance = Get(request.headers, "sapphireflow-expected-instance");
  if (!instance.empty() && instance != m_id) return Answer(421, Json::object());
  const Json body = Json::parse(request.body);
  const int late_ms = m_late_ms;
  if (late_ms > 0 && request.path == "/run-start") {
    std::thread([this, body, late_ms] {
      SleepMs(late_ms);
      const std::lock_guard<std::mutex> late_lock(m_mutex);
      if (!m_down) Start(body);
    }).detach();
    Response none;
    none.silent = true;
    return none;
  }
  if (request.path == "/run-start") return Start(body);
  if (request.path == "/run-stop") return Stop(body);
  if (request.path == "/hold") return Hold(body, lock);
  return Answer(404, Json::object());
}

Response Worker::Start(const Json& body) {
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run").get<std::uint32_t>();
  const auto expires_ms = body.at("expires_ms").get<std::int64_t>();
  if (Fenced(body)) return Answer(409, {{"reason", "fence"}});
  const auto running = m_running.find(task);
  if (running != m_running.end() && running->second.number == number) {
    Extend(expires_ms);
    return Answer(200, Json::object());
  }
  const auto highest = m_highest.find(task);
  if (highest != m_highest.end() && number <= highest->second) {
    Extend(expires_ms);
    return Answer(409, {{"reason", "old"}});
  }
  if (expires_ms <= ClockMs()) return Answer(409, {{"reason", "late"}});
  Extend(expires_ms);
  const Json spec = Json::parse(body.at("spec").get<std::string>(), nullptr, false);
  const std::size_t record = m_runs.Start(m_id, task, number);
  m_running[task] =
      Current{number, record, NowMs() + (spec.is_object() ? spec.value("run_ms", 100) : 100), -1};
  return Answer(200, Json::object());
}

Response Worker::Stop(const Json& body) {
  if (Fenced(body)) return Answer(409, {{"reason", "fence"}});
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run").get<std::uint32_t>();
  const auto running = m_running.find(task);
  if (running != m_running.end() && running->second.number <= number) {
    if (running->second.stops_at < 0) running->second.stops_at = NowMs() + kStopMs;
  } else {
    m_highest[task] = std::max(m_highest[task], number);
  }
  return Answer(200, Json::object());
}

Response Worker::Hold(const Json& body, std::unique_lock<std::mutex>& lock) {
  if (Fenced(body)) return Answer(409, {{"reason", "fence"}});
  const auto cursor = body.value("ack_cursor", std::uint64_t{0});
  m_ended.erase(std::remove_if(
                    m_ended.begin(), m_ended.end(),
                    [cursor](const Json& row) { return row.at(0).get<std::uint64_t>() <= cursor; }),
                m_ended.end());
  if (body.contains("expires_ms")) Extend(body.at("expires_ms").get<std::int64_t>());
  const std::int64_t until = NowMs() + body.value("wait_ms", 0);
  const std::int64_t born_at = m_born_at;
  while (m_ended.empty() && NowMs() < until && !m_down && born_at == m_born_at) {
    m_changed.wait_for(lock, std::chrono::milliseconds(until - NowMs()));
  }
  if (m_down || born_at != m_born_at) {
    Response none;
    none.silent = true;
    return none;
  }
  Json running = Json::array();
  for (const auto& [task, run] : m_running) {
    running.push_back(Json::array({task, run.number, "", 50, 0}));
  }
  Json ended = Json::array();
  for (const Json& row : m_ended) {
    if (ended.size() < kEndedRows) ended.push_back(row);
  }
  return Answer(200, {{"running", std::move(running)}, {"ended", std::move(ended)}});
}

void Worker::End(const std::string& task, const std::string& how) {
  const Current run = m_running.at(task);
  m_running.erase(task);
  m_highest[task] = std::max(m_highest[task], run.number);
  m_ended.push_back(Json::array({m_next_end++, task, run.number, how, ""}));
  m_runs.End(run.record, how);
  m_changed.notify_all();
}

void Worker::Work() {
  for (;;) {
    SleepMs(2);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool lapsed = ClockMs() >= m_expires_ms;
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, run] : m_running) {
      if (lapsed) {
        ends.emplace_back(task, "lapsed");
      } else if (run.stops_at >= 0 && NowMs() >= run.stops_at) {
        ends.emplace_back(task, "stopped");
      } else if (NowMs() >= run.ends_at) {
        ends.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : ends) End(task, how);
  }
}

Node::Node(std::string name, std::string ip, std::string zone, std::string folder)
    : m_name(std::move(name)),
      m_ip(std::move(ip)),
      m_zone(std::move(zone)),
      m_folder(std::move(folder)) {}

Node::~Node() { Kill(); }

bool Node::Start(const std::string& program, const Endpoint& store,
                 const std::string& more_settings) {
  const std::string path = m_folder + "/" + m_name + ".conf";
  std::ofstream(path) << "node_name=" << m_name << "\nrole=dispatch\nmachine_class=front\n"
                      << "serves=front\nip=" << m_ip << "\nzone=" << m_zone << "\nregion=r\n"
                      << "listen_addresses.front=" << front().Text()
                      << "\nlisten_addresses.ready=" << ready().Text()
                      << "\ninternal_port_range=7720,7735\nbootstrap=true\nloss_counts=false\n"
                      << "limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
                      << "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
                      << "discovery=platform\nentry=vip\nheartbeat_ms=1500\n"
                      << "bounds.contact_timeout_ms=3000\nbounds.ack_timeout_ms=4000\n"
                      << "bounds.drain_timeout_ms=2000\nbounds.grace_period_s=6\n"
                      << "bounds.config_apply_ms=2000\nbounds.max_hold_ms=1000\n"
                      << "bounds.stop_timeout_ms=50\nbounds.cancel_ms=3000\n"
                      << "bounds.visible_ms=3000\nbounds.status_s=120\nbounds.remote_factor=2\n"
                      << "bounds.retry_ms=1300\ncommands=request\n"
                      << "platform.address=" << store.Text() << "\nplatform.form=kv\n"
                      << "platform.writes_per_s=400\nplatform.reads_per_s=2000\n"
                      << "platform.history_s=20\nplatform.value_bytes=1048576\n"
                      << "platform.min_ttl_ms=1000\n"
                      << more_settings;
  const std::string log = m_folder + "/" + m_name + ".log";
  m_pid = fork();
  if (m_pid != 0) return m_pid > 0;
  // the node ends with this process
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  const std::string setting = "SAPPHIREFLOW_CONFIG=" + path;
  const char* arguments[] = {program.c_str(), "--metrics", "9464", nullptr};
  const char* environment[] = {setting.c_str(), "PATH=/usr/bin:/bin", nullptr};
  execve(program.c_str(), const_cast<char* const*>(arguments),
         const_cast<char* const*>(environment));
  std::_Exit(127);
}

void Node::Signal(int signal) const {
  if (m_pid > 0) kill(m_pid, signal);
}

bool Node::Ended() {
  if (m_pid <= 0) return true;
  if (waitpid(m_pid, &m_status, WNOHANG) != m_pid) return false;
  m_pid = 0;
  return true;
}

void Node::Kill() {
  if (m_pid <= 0) return;
  kill(m_pid, SIGKILL);
  waitpid(m_pid, &m_status, 0);
  m_pid = 0;
}

Fleet::Fleet(const FleetPlan& plan) : m_plan(plan) {
  NowMs();
  char folder[] = "/tmp/sapphireflow-review-XXXXXX";
  m_folder = mkdtemp(folder);
  // a network of 256 loopback addresses in which the ports of this deployment are free
  for (int i = 0; m_network.empty() && i < 200; ++i) {
    const int number = (static_cast<int>(getpid()) + i * 37) % 40000;
    const std::string network =
        "127." + std::to_string(60 + number / 250) + "." + std::to_string(1 + number % 250) + ".";
    const bool free = IsFree({network + "200", 8169}) && IsFree({network + "10", 8161}) &&
                      IsFree({network + "10", 7720}) && IsFree({network + "10", 9464});
    if (free) m_network = network;
  }
  if (m_network.empty()) std::_Exit(2);
  m_store_server =
      std::make_unique<Server>(Endpoint{IpOf(200), 8169},
                               [this](const Request& request) { return m_store.Handle(request); });
  for (int i = 0; i < plan.workers; ++i) {
    const std::string zone = "zone-" + std::to_string(i % plan.zones + 1);
    const std::string service = plan.two_services && i % 2 == 1 ? "paintshop" : "workshop";
    m_workers.push_back(std::make_unique<Worker>("i-7f3a91c" + std::to_string(i),
                                                 Endpoint{IpOf(100 + i), 8080}, zone, service,
                                                 plan.worker_cpu, m_runs));
    m_registered.push_back(true);
  }
  for (int i = 0; i < plan.nodes; ++i) {
    const std::string zone = "zone-" + std::to_string(i % plan.zones + 1);
    m_nodes.push_back(
        std::make_unique<Node>("front-" + std::to_string(i + 1), IpOf(10 + i), zone, m_folder));
    if (plan.store_links) {
      m_store_links.push_back(
          std::make_unique<Proxy>(Endpoint{IpOf(150 + i), 8169}, Endpoint{IpOf(200), 8169}));
    }
  }
}

Fleet::~Fleet() {
  m_ending = true;
  if (m_beats.joinable()) m_beats.join();
  for (const auto& node : m_nodes) node->Kill();
}

void Fleet::Finish(int code) {
  for (const auto& node : m_nodes) node->Kill();
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
  } else {
    Record("logs are in " + m_folder);
  }
  std::cout.flush();
  std::_Exit(code);
}

std::string Fleet::IpOf(int last) const { return m_network + std::to_string(last); }

void Fleet::Publish(int worker) {
  Worker& one = *m_workers[static_cast<std::size_t>(worker)];
  m_store.Put("servers/" + one.id(), one.Entry().dump());
}

void Fleet::SetRegistered(int worker, bool registered) {
  const std::lock_guard<std::mutex> lock(m_registered_mutex);
  m_registered[static_cast<std::size_t>(worker)] = registered;
  if (registered) {
    Publish(worker);
  } else {
    m_store.Remove("servers/" + m_workers[static_cast<std::size_t>(worker)]->id());
  }
}

void Fleet::Configure(const std::vector<std::string>& routes) {
  Json rows = Json::array();
  Json services = Json::array();
  for (const char* name : {"workshop", "paintshop"}) {
    if (!m_plan.two_services && !services.empty()) break;
    services.push_back({{"name", name},
                        {"health_path", "/health"},
                        {"max_connections", 64},
                        {"protocol", "h1"},
                        {"tls_enabled", false},
                        {"enforces_capacity", false},
                        {"spare", false}});
  }
  for (const std::string& route : routes) {
    rows.push_back({{"name", "r-" + route},
                    {"hostname", kHost},
                    {"prefix", "/" + route + "/"},
                    {"type", "unsafe"},
                    {"timeout_ms", m_plan.timeout_ms},
                    {"target_duration_ms", 60},
                    {"priority", 0},
                    {"backend", m_plan.two_services && !rows.empty() ? "paintshop" : "workshop"},
                    {"max_attempts", 3},
                    {"stretch", 1.6}});
  }
  m_version += 3;
  const Json config = {{"version", m_version},
                       {"routes", std::move(rows)},
                       {"services", std::move(services)},
                       {"limits",
                        {{"max_header_bytes", 16384},
                         {"max_body_bytes", 262144},
                         {"header_timeout_ms", 3000},
                         {"idle_timeout_ms", 15000}}}};
  m_store.Put("op/config", config.dump());
}

bool Fleet::StartNode(int index) {
  const char* program = std::getenv("DISPATCH");
  const Endpoint store{m_plan.store_links ? IpOf(150 + index) : IpOf(200), 8169};
  return node(index).Start(program != nullptr ? program : "target/sapphireflow-dispatch", store,
                           "");
}

bool Fleet::WaitReady(int index, std::int64_t limit_ms) {
  const std::int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    if (Ask(node(index).ready(), "GET", "/readiness", {{"Host", "x"}}, "", 200).status == 200) {
      return true;
    }
    SleepMs(20);
  }
  return false;
}

bool Fleet::Start() {
  if (!m_store_server->Open()) return false;
  Configure({"lohu930"});
  for (const auto& worker : m_workers) {
    if (!worker->Open()) return false;
  }
  for (int i = 0; i < m_plan.workers; ++i) Publish(i);
  m_beats = std::thread([this] {
    for (std::int64_t next = NowMs(); !m_ending; next += kBeatMs) {
      for (int i = 0; i < m_plan.workers && !m_ending; ++i) {
        SleepMs(kBeatMs / (2 * m_plan.workers));
        const std::lock_guard<std::mutex> lock(m_registered_mutex);
        if (m_registered[static_cast<std::size_t>(i)]) Publish(i);
      }
      while (!m_ending && NowMs() < next + kBeatMs) SleepMs(10);
    }
  });
  for (int i = 0; i < m_plan.nodes; ++i) {
    if (!StartNode(i)) return false;
  }
  for (int i = 0; i < m_plan.nodes; ++i) {
    if (!WaitReady(i, 10000)) return false;
  }
  return true;
}

std::string JobBody(const std::vector<int>& steps, std::int64_t cpu, int run_ms) {
  Json rows = Json::array();
  for (const int count : steps) {
    Json row = {{"count", count}, {"cpu", cpu}, {"mem_mb", 64}, {"estimated_ms", run_ms}};
    if (!rows.empty()) row["after"] = {rows.size() - 1};
    rows.push_back(std::move(row));
  }
  return Json{
      {"spec", Json{{"run_ms", run_ms}}.dump()}, {"best_effort", true}, {"steps", std::move(rows)}}
      .dump();
}

}  // namespace review
