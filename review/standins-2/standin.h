// Stand-ins for the review scripts: the platform's store, workers, clients and the control of
// dispatch processes. They speak what the users' PROTOCOL.md says, on loopback addresses.
#ifndef REVIEW_STANDINS_2_STANDIN_H_
#define REVIEW_STANDINS_2_STANDIN_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;

inline std::int64_t NowMs() {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               begin)
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Writes record.txt: what was sent, answered and run, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : m_out(path) {}
  void Write(const std::string& line) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_out << NowMs() << " ms  " << line << "\n";
    m_out.flush();
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_out;
};

struct Request {
  std::string method, path, query, body;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string Parameter(const std::string& name) const {
    std::size_t at = 0;
    while (at < query.size()) {
      const std::size_t end = std::min(query.find('&', at), query.size());
      const std::string pair = query.substr(at, end - at);
      if (pair.compare(0, name.size() + 1, name + "=") == 0) {
        std::string text;
        const std::string raw = pair.substr(name.size() + 1);
        for (std::size_t i = 0; i < raw.size(); ++i) {
          if (raw[i] == '%' && i + 2 < raw.size()) {
            text += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
          } else {
            text += raw[i];
          }
        }
        return text;
      }
      at = end + 1;
    }
    return {};
  }
};

struct Response {
  int status = 200;  // 0: no answer, the connection stays open; -1: the connection is closed
  std::string body = "{}";
};

inline sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// A blocking HTTP/1.1 server with one thread for each connection.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  Server(const std::string& ip, int port, Handler handler) : m_handler(std::move(handler)) {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = SocketAddress(ip, port);
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(m_listener, 512) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    std::thread([this] { Accept(); }).detach();
  }
  /// Makes all open connections silent for good: nothing more is handled or answered on them, and
  /// they are not reset. New connections work.
  void SilenceOpen() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_silent.insert(m_open.begin(), m_open.end());
  }
  std::size_t CountOpen() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_open.size();
  }
  /// Closes all open connections, as a crash does.
  void ResetAll() {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const int fd : m_open) {
      const linger hard = {1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_open.insert(fd);
      }
      std::thread([this, fd] {
        Serve(fd);
        std::lock_guard<std::mutex> lock(m_mutex);
        m_open.erase(fd);
        m_silent.erase(fd);
        close(fd);
      }).detach();
    }
  }
  void Serve(int fd) {
    std::string buffer;
    char chunk[16384];
    while (true) {
      std::size_t head_end = 0;
      while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const ssize_t got = recv(fd, chunk, sizeof chunk, 0);
        if (got <= 0) return;
        buffer.append(chunk, static_cast<std::size_t>(got));
      }
      Request request;
      const std::string head = buffer.substr(0, head_end);
      const std::size_t line_end = std::min(head.find("\r\n"), head.size());
      const std::string line = head.substr(0, line_end);
      const std::size_t first = line.find(' ');
      const std::size_t second = line.find(' ', first + 1);
      request.method = line.substr(0, first);
      std::string target = line.substr(first + 1, second - first - 1);
      const std::size_t mark = target.find('?');
      if (mark != std::string::npos) {
        request.query = target.substr(mark + 1);
        target.resize(mark);
      }
      request.path = target;
      std::size_t at = line_end + 2;
      while (at < head.size()) {
        const std::size_t end = std::min(head.find("\r\n", at), head.size());
        const std::string field = head.substr(at, end - at);
        const std::size_t colon = field.find(':');
        if (colon != std::string::npos) {
          std::string name = field.substr(0, colon);
          std::transform(name.begin(), name.end(), name.begin(), ::tolower);
          const std::size_t value = field.find_first_not_of(' ', colon + 1);
          request.headers[name] = value == std::string::npos ? "" : field.substr(value);
        }
        at = end + 2;
      }
      std::size_t length = 0;
      if (request.headers.count("content-length") > 0) {
        length = std::stoul(request.headers["content-length"]);
      }
      buffer.erase(0, head_end + 4);
      while (buffer.size() < length) {
        const ssize_t got = recv(fd, chunk, sizeof chunk, 0);
        if (got <= 0) return;
        buffer.append(chunk, static_cast<std::size_t>(got));
      }
      request.body = buffer.substr(0, length);
      buffer.erase(0, length);
      const Response response = IsSilent(fd) ? Response{0, ""} : m_handler(request);
      if (response.status < 0) return;
      if (response.status == 0 || IsSilent(fd)) {
        // nothing further is answered on this connection
        while (recv(fd, chunk, sizeof chunk, 0) > 0) {
        }
        return;
      }
      const std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                               " -\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
      std::size_t sent = 0;
      while (sent < text.size()) {
        const ssize_t put = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (put <= 0) return;
        sent += static_cast<std::size_t>(put);
      }
    }
  }

  bool IsSilent(int fd) {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_silent.count(fd) > 0;
  }

  Handler m_handler;
  int m_listener;
  std::mutex m_mutex;
  std::set<int> m_open, m_silent;
};

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = (group << 8) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : kDigits[(group >> (18 - 6 * k)) & 63];
    }
  }
  return text;
}

/// The platform's store.
class Store {
 public:
  Store(const std::string& ip, int port) {
    std::thread([this] {
      while (true) {
        SleepMs(50);
        Expire();
      }
    }).detach();
    m_server = std::make_unique<Server>(ip, port,
                                        [this](const Request& request) { return Handle(request); });
  }
  void Put(const std::string& key, const Json& value) {
    std::lock_guard<std::mutex> lock(m_mutex);
    Write(key, Base64(value.dump()), 0);
  }
  void Remove(const std::string& key) {
    std::lock_guard<std::mutex> lock(m_mutex);
    Erase(key);
  }
  Server& server() { return *m_server; }
  /// Decides on each call before it is handled; returns an answer to give instead.
  std::function<std::optional<Response>(const Request&)> before;
  /// Handles a call; also used to carry one out late.
  Response Carry(const Request& request) {
    SleepMs(4);
    std::unique_lock<std::mutex> lock(m_mutex);
    if (request.path == "/kv-key") {
      const auto found = m_items.find(request.Parameter("key"));
      if (found == m_items.end()) return {404, "{}"};
      Json body = ItemJson(found->first, found->second);
      body["store_revision"] = m_revision;
      return {200, body.dump()};
    }
    if (request.path == "/kv-range") {
      const std::string prefix = request.Parameter("prefix");
      Json items = Json::array();
      for (auto item = m_items.upper_bound(request.Parameter("after")); item != m_items.end();
           ++item) {
        if (item->first.rfind(prefix, 0) == 0) items.push_back(ItemJson(item->first, item->second));
      }
      return {200,
              Json{{"items", items}, {"truncated", false}, {"store_revision", m_revision}}.dump()};
    }
    if (request.path == "/kv-watch") {
      const std::string prefix = request.Parameter("prefix");
      const auto after = std::stoull("0" + request.Parameter("after"));
      const auto until = std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(std::stoi("0" + request.Parameter("wait_ms")));
      while (true) {
        Json events = Json::array();
        for (const auto& [revision, event] : m_history) {
          if (revision > after && event.at("key").get<std::string>().rfind(prefix, 0) == 0) {
            events.push_back(event);
          }
        }
        const bool over = std::chrono::steady_clock::now() >= until;
        if (!events.empty() || over) {
          return {200, Json{{"events", events}, {"store_revision", m_revision}}.dump()};
        }
        m_changed.wait_until(lock, until);
      }
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (request.path == "/kv-txn") {
      for (const Json& row : body.at("expected")) {
        const auto found = m_items.find(row.at("key").get<std::string>());
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        if (revision != row.at("revision").get<std::uint64_t>()) {
          return {412, R"({"items":[]})"};
        }
      }
      for (const Json& write : body.at("writes")) {
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
    if (request.path == "/kv-lease") {
      const std::uint64_t lease = ++m_next_lease;
      const auto ttl = body.at("ttl_ms").get<std::int64_t>();
      m_leases[lease] = {ttl, NowMs() + ttl};
      return {200, Json{{"lease", lease}, {"ttl_ms", ttl}}.dump()};
    }
    const auto lease = std::stoull("0" + request.path.substr(request.path.rfind('/') + 1));
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) return {404, "{}"};
    if (request.path.rfind("/kv-keep/", 0) == 0) {
      found->second.second = NowMs() + found->second.first;
      return {200, Json{{"ttl_ms", found->second.first}}.dump()};
    }
    found->second.second = 0;
    lock.unlock();
    Expire();
    return {200, "{}"};
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision, created, lease;
  };
  static Json ItemJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
  }
  Response Handle(const Request& request) {
    if (before) {
      if (const auto answer = before(request)) return *answer;
    }
    return Carry(request);
  }
  void Write(const std::string& key, const std::string& value, std::uint64_t lease) {
    ++m_revision;
    const auto found = m_items.find(key);
    const std::uint64_t created = found == m_items.end() ? m_revision : found->second.created;
    m_items[key] = Item{value, m_revision, created, lease};
    m_history.emplace_back(m_revision, ItemJson(key, m_items[key]));
    Trim();
  }
  void Erase(const std::string& key) {
    if (m_items.erase(key) == 0) return;
    ++m_revision;
    m_history.emplace_back(m_revision,
                           Json{{"key", key}, {"revision", m_revision}, {"deleted", true}});
    Trim();
  }
  void Trim() { m_changed.notify_all(); }
  void Expire() {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
      if (lease->second.second > NowMs()) {
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

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_revision = 10;
  std::uint64_t m_next_lease = 100;
  std::map<std::string, Item> m_items;
  std::vector<std::pair<std::uint64_t, Json>> m_history;
  // time to live and end
  std::map<std::uint64_t, std::pair<std::int64_t, std::int64_t>> m_leases;
  std::unique_ptr<Server> m_server;
};

/// What all workers have run, with the checks of the rules.
class Runs {
 public:
  explicit Runs(Record& record) : m_record(record) {}
  void Started(const std::string& worker, const std::string& task, std::uint32_t run) {
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& at = m_running[task];
    m_record.Write("worker " + worker + " starts " + task + " run " + std::to_string(run));
    if (!at.empty()) {
      ++m_overlaps;
      m_record.Write("BROKEN: two runs of " + task + " at the same time, on " + *at.begin() +
                     " and " + worker);
    }
    at.insert(worker);
    ++m_starts[task];
  }
  void Ended(const std::string& worker, const std::string& task, std::uint32_t run,
             const std::string& how) {
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& at = m_running[task];
    const auto found = at.find(worker);
    if (found != at.end()) at.erase(found);
    m_record.Write("worker " + worker + " ends " + task + " run " + std::to_string(run) + " " +
                   how);
  }
  int overlaps() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_overlaps;
  }
  int starts() {
    std::lock_guard<std::mutex> lock(m_mutex);
    int sum = 0;
    for (const auto& [task, count] : m_starts) sum += count;
    return sum;
  }
  int StartsOf(const std::string& job) {
    std::lock_guard<std::mutex> lock(m_mutex);
    int sum = 0;
    for (const auto& [task, count] : m_starts) {
      if (task.rfind(job, 0) == 0) sum += count;
    }
    return sum;
  }

 private:
  Record& m_record;
  std::mutex m_mutex;
  std::map<std::string, std::multiset<std::string>> m_running;
  std::map<std::string, int> m_starts;
  int m_overlaps = 0;
};

/// A worker. The spec of a job holds how long its tasks take, in milliseconds.
class Worker {
 public:
  Worker(std::string id, std::string zone, const std::string& ip, int port, Store& store,
         Runs& runs)
      : m_id(std::move(id)),
        m_zone(std::move(zone)),
        m_address(ip + ":" + std::to_string(port)),
        m_store(store),
        m_runs(runs),
        m_born_ms(UnixMs()),
        m_born_at(NowMs()) {
    m_server = std::make_unique<Server>(ip, port,
                                        [this](const Request& request) { return Handle(request); });
    std::thread([this] {
      while (true) {
        {
          std::lock_guard<std::mutex> lock(m_mutex);
          if (m_left) return;
        }
        m_store.Put("servers/" + m_id, Entry());
        SleepMs(1500);
      }
    }).detach();
    std::thread([this] {
      while (true) {
        SleepMs(5);
        Pass();
      }
    }).detach();
  }
  const std::string& id() const { return m_id; }
  Server& server() { return *m_server; }
  /// How long a stop takes; at most 50 ms by the pages.
  std::int64_t stop_ms = 20;
  std::int64_t milli_cores = 64000;
  /// The highest fencing token that it has seen: it tells which machine gave the last order.
  std::uint64_t Token() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_token;
  }
  /// Besides the kind, the labels that the worker reports.
  std::vector<std::string> labels = {"a", "r1-1"};
  /// Ends the tasks whose spec is 0, which last until then.
  void EndOpenTasks() {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [task, run] : m_running)
      run.ends_at = std::min(run.ends_at, run.open ? 0 : run.ends_at);
  }
  /// Reports that it drains, and goes on serving.
  /// @return when the store had accepted the report.
  std::int64_t Drain() {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_draining = true;
    }
    m_store.Put("servers/" + m_id, Entry());
    return NowMs();
  }
  /// Leaves for good: its entry is removed and its connections are closed.
  void Leave() {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_left = true;
    }
    m_store.Remove("servers/" + m_id);
    m_server->ResetAll();
  }
  /// Called with each start on this worker.
  std::function<void(const std::string& task)> on_start;

 private:
  struct Run {
    std::uint32_t number;
    std::int64_t ends_at;
    std::int64_t stops_at;  // 0: not asked to stop
    bool open;              // lasts until EndOpenTasks
  };
  std::int64_t Clock() const { return 400000 + NowMs() - m_born_at; }
  Json Entry() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return {{"backend", "workshop"},
            {"address", m_address},
            {"zone", m_zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", m_draining ? "draining" : "ready"},
            {"cold_remaining_ms", 0},
            {"capacity", {{"cpu", milli_cores}, {"mem_mb", 131072}, {"gpu", 0}}},
            {"labels", labels},
            {"clock_ms", Clock()},
            {"sequence", ++m_sequence},
            {"born", m_born_ms}};
  }
  Response Answer(int status, Json body) {
    body["clock_ms"] = Clock();
    return {status, body.dump()};
  }
  Response Handle(const Request& request) {
    if (request.path == "/health") return {200, "{}"};
    const Json body = Json::parse(request.body, nullptr, false);
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_left) return {-1, ""};
    const auto instance = request.headers.find("sapphireflow-expected-instance");
    if (instance != request.headers.end() && instance->second != m_id) return Answer(421, {});
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if (token < m_token) return Answer(409, {{"reason", "fence"}});
    m_token = token;
    if (request.path == "/run-start") return Start(body);
    if (request.path == "/run-stop") return Stop(body);
    return Hold(body, lock);
  }
  void Extend(std::int64_t expires_ms) {
    m_expires_ms = std::max(m_expires_ms, std::min(expires_ms, Clock() + 1000));
  }
  Response Start(const Json& body) {
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint32_t>();
    const auto expires_ms = body.at("expires_ms").get<std::int64_t>();
    const auto over = m_over.find(task);
    if (over != m_over.end() && number <= over->second) {
      Extend(expires_ms);
      return Answer(409, {{"reason", "old"}});
    }
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.number == number) return Answer(200, {});
    if (expires_ms <= Clock()) return Answer(409, {{"reason", "late"}});
    Extend(expires_ms);
    const auto length = std::stoll(body.at("spec").get<std::string>());
    m_running[task] = Run{number, length == 0 ? INT64_MAX : NowMs() + length, 0, length == 0};
    m_runs.Started(m_id, task, number);
    if (on_start) on_start(task);
    return Answer(200, {});
  }
  Response Stop(const Json& body) {
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint32_t>();
    const auto running = m_running.find(task);
    if (running == m_running.end() || running->second.number > number) {
      m_over[task] = std::max(m_over[task], number);
    } else if (running->second.stops_at == 0) {
      running->second.stops_at = NowMs() + stop_ms;
    }
    return Answer(200, {});
  }
  Response Hold(const Json& body, std::unique_lock<std::mutex>& lock) {
    const auto cursor = body.value("ack_cursor", std::uint64_t{0});
    m_ended.erase(std::remove_if(m_ended.begin(), m_ended.end(),
                                 [cursor](const Json& row) {
                                   return row.at(0).get<std::uint64_t>() <= cursor;
                                 }),
                  m_ended.end());
    if (body.contains("expires_ms")) Extend(body.at("expires_ms").get<std::int64_t>());
    const auto wait = std::min<std::int64_t>(2000, body.value("wait_ms", std::int64_t{0}));
    m_ends.wait_for(lock, std::chrono::milliseconds(wait), [this] { return !m_ended.empty(); });
    Json running = Json::array();
    for (const auto& [task, run] : m_running) running.push_back({task, run.number, "", 100, 0});
    Json ended = m_ended;
    return Answer(200, {{"running", running}, {"ended", ended}, {"born", m_born_ms}});
  }
  void End(const std::string& task, const std::string& how) {
    const std::uint32_t number = m_running.at(task).number;
    m_running.erase(task);
    m_over[task] = std::max(m_over[task], number);
    m_ended.push_back({++m_ends_listed, task, number, how, ""});
    m_runs.Ended(m_id, task, number, how);
    m_ends.notify_all();
  }
  void Pass() {
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, run] : m_running) {
      if (run.stops_at != 0 && NowMs() >= run.stops_at) {
        ends.emplace_back(task, "stopped");
      } else if (NowMs() >= run.ends_at) {
        ends.emplace_back(task, "done");
      } else if (Clock() >= m_expires_ms) {
        ends.emplace_back(task, "lapsed");
      }
    }
    for (const auto& [task, how] : ends) End(task, how);
  }

  const std::string m_id, m_zone, m_address;
  Store& m_store;
  Runs& m_runs;
  const std::int64_t m_born_ms, m_born_at;
  std::mutex m_mutex;
  std::condition_variable m_ends;
  std::uint64_t m_token = 0;
  std::int64_t m_expires_ms = 0;
  std::map<std::string, Run> m_running;
  std::map<std::string, std::uint32_t> m_over;
  std::vector<Json> m_ended;
  std::uint64_t m_ends_listed = 0;
  int m_sequence = 0;
  bool m_draining = false;
  bool m_left = false;
  std::unique_ptr<Server> m_server;
};

/// A dispatch process with the command of the deploy file.
class Node {
 public:
  Node(std::string program, std::string folder, std::string name, std::string zone, std::string ip,
       const std::string& store, const std::string& zones)
      : m_program(std::move(program)),
        m_folder(std::move(folder)),
        m_name(std::move(name)),
        m_ip(std::move(ip)) {
    std::ofstream(Settings())
        << "node_name=" << m_name
        << "\nrole=dispatch\nmachine_class=front\nserves=front\nip=" << m_ip << "\nzone=" << zone
        << "\nregion=bajio\n"
        << zones << "listen_addresses.front=" << m_ip << ":8161\nlisten_addresses.ready=" << m_ip
        << ":8167\ninternal_port_range=7720,7735\nseeds=\nbootstrap=true\nlimits.cpu_share=0.25\n"
        << "limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n"
        << "limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1500\n"
        << "bounds.contact_timeout_ms=3000\nbounds.ack_timeout_ms=4000\n"
        << "bounds.drain_timeout_ms=2000\nbounds.grace_period_s=6\nbounds.loss_slack_ms=200\n"
        << "bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.recovery_s=12\n"
        << "bounds.max_hold_ms=1000\nbounds.stop_timeout_ms=50\nbounds.cancel_ms=3000\n"
        << "bounds.remote_factor=2\nbounds.retry_ms=1300\ncommands=request\nplatform.address="
        << store << "\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
        << "platform.history_s=20\n";
  }
  ~Node() { Kill(); }
  void Start() {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = m_folder + "/" + m_name + ".log";
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::string option = "--metrics";
    std::string port = "9464";
    std::string variable = "SAPPHIREFLOW_CONFIG=" + Settings();
    char* arguments[] = {m_program.data(), option.data(), port.data(), nullptr};
    char* environment[] = {variable.data(), nullptr};
    if (posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments, environment) != 0) {
      m_pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
  }
  void Signal(int signal) const {
    if (m_pid > 0) kill(m_pid, signal);
  }
  void Kill() {
    if (m_pid <= 0) return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
  }
  /// The way the process has ended, or nothing while it runs.
  std::optional<int> Ended() {
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) return std::nullopt;
    m_pid = 0;
    return status;
  }
  const std::string& ip() const { return m_ip; }
  const std::string& name() const { return m_name; }

 private:
  std::string Settings() const { return m_folder + "/" + m_name + ".conf"; }
  std::string m_program;
  const std::string m_folder, m_name, m_ip;
  pid_t m_pid = 0;
};

struct Reply {
  int status = 0;  // 0: no response in time; -1: the connection broke or was refused
  std::string body;
  std::int64_t at = 0;
};

/// Sends one request on a connection of its own and waits for the response.
inline Reply Call(const std::string& ip, int port, const std::string& method,
                  const std::string& path, const std::string& host, const std::string& body,
                  std::int64_t wait_ms, bool names_deadline = true) {
  const std::int64_t until = NowMs() + wait_ms;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(ip, port);
  const auto finish = [fd](int status, std::string text) {
    close(fd);
    return Reply{status, std::move(text), NowMs()};
  };
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    return finish(-1, "");
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string text =
      method + " " + path + " HTTP/1.1\r\nHost: " + host +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n";
  if (names_deadline) text += "Sapphireflow-Deadline-Ms: " + std::to_string(wait_ms) + "\r\n";
  text += "\r\n" + body;
  if (send(fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
    return finish(-1, "");
  }
  std::string got;
  char chunk[8192];
  while (true) {
    const std::int64_t left = until - NowMs();
    if (left <= 0) return finish(0, "");
    pollfd ready = {fd, POLLIN, 0};
    if (poll(&ready, 1, static_cast<int>(left)) <= 0) continue;
    const ssize_t count = recv(fd, chunk, sizeof chunk, 0);
    if (count <= 0) return finish(-1, "");
    got.append(chunk, static_cast<std::size_t>(count));
    const std::size_t head = got.find("\r\n\r\n");
    if (head == std::string::npos) continue;
    std::string lower = got.substr(0, head);
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    const std::size_t field = lower.find("content-length:");
    const std::size_t length =
        field == std::string::npos ? 0 : std::stoul(lower.substr(field + 15));
    if (got.size() < head + 4 + length) continue;
    return finish(std::stoi(got.substr(9, 3)), got.substr(head + 4, length));
  }
}

inline bool AwaitReady(const std::vector<Node*>& nodes, std::int64_t limit_ms) {
  const std::int64_t until = NowMs() + limit_ms;
  for (const Node* node : nodes) {
    while (Call(node->ip(), 8167, "GET", "/readiness", "x", "", 300, false).status != 200) {
      if (NowMs() > until) return false;
      SleepMs(50);
    }
  }
  return true;
}

inline std::string JobId(std::mt19937_64& random) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

inline Json RouteJson(const std::string& name, int timeout_ms) {
  return {{"name", name},     {"hostname", "shop.example"}, {"prefix", "/" + name + "/"},
          {"type", "unsafe"}, {"timeout_ms", timeout_ms},   {"target_duration_ms", 60},
          {"priority", 0},    {"backend", "workshop"},      {"max_attempts", 3},
          {"stretch", 1.6}};
}

inline Json ConfigurationJson(std::uint64_t version, const Json& routes) {
  return {{"version", version},
          {"routes", routes},
          {"services", Json::array({{{"name", "workshop"},
                                     {"health_path", "/health"},
                                     {"max_connections", 64},
                                     {"protocol", "h1"},
                                     {"tls_enabled", false},
                                     {"enforces_capacity", false},
                                     {"spare", false}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 262144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

inline std::string JobBody(int run_ms, int tasks, int estimate_ms, int milli_cores = 1000,
                           const std::string& label = "") {
  Json step = {
      {"count", tasks}, {"cpu", milli_cores}, {"mem_mb", 64}, {"estimated_ms", estimate_ms}};
  if (!label.empty()) step["requires"] = label;
  return Json{
      {"spec", std::to_string(run_ms)}, {"best_effort", true}, {"steps", Json::array({step})}}
      .dump();
}

}  // namespace review

#endif  // REVIEW_STANDINS_2_STANDIN_H_
