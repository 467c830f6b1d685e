// Stand-in for the platform: a store with compare-and-swap and watches, and the VM list. The store
// holds a single value; every KEY names it.
//
// GET /v1/kv/KEY[?after=REV&wait_ms=N] returns "REV\nVALUE"; while REV is current, it waits up to
// N ms for a change. PUT /v1/kv/KEY?expect=REV writes if REV is current, else returns 409.
//
// GET /v1/vms?after=REV&wait_ms=N[&zone=ZONE] waits likewise and returns the VM list, filtered for
// ZONE if given.
// POST /v1/vms/mark {"address":..,"state":"live|leaving|gone"} changes the list after list_lag_ms.
// POST /faults {"down":bool,"slow_ms":n,"drop_reply":bool,"list_lag_ms":n}.
#include <tclap/CmdLine.h>
#include <yaml-cpp/yaml.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "sapphireflow/codec/http_bodies.h"
#include "sapphireflow/transport/timer_thread.h"
#include "serve.h"

namespace sapphireflow {
namespace {

using nlohmann::json;

VmList ReadFleet(const std::string& file) {
  const YAML::Node root = YAML::LoadFile(file);
  std::vector<EntryVm> entries;
  for (const YAML::Node& entry : root["entries"]) {
    entries.emplace_back(*Address::Parse(entry["address"].as<std::string>()),
                         entry["zone"].as<std::string>(), false);
  }
  std::vector<Worker> workers;
  for (const YAML::Node& worker : root["workers"]) {
    const ResourceSpec capacity(worker["cores"].as<std::uint32_t>(16),
                                worker["memory_mb"].as<std::uint32_t>(32768),
                                worker["accelerators"].as<std::uint32_t>(0));
    workers.emplace_back(*Address::Parse(worker["address"].as<std::string>()),
                         worker["zone"].as<std::string>(), worker["rack"].as<std::string>("r0"),
                         worker["slots"].as<std::uint32_t>(8), capacity, false);
  }
  std::set<ResourceSpec> capacities = DistinctCapacities(workers);
  return {std::move(entries), std::move(workers), std::move(capacities)};
}

/// @brief Serves the platform's HTTP interface from memory, with faults that a test sets.
/// Thread-safe.
class StandinPlatform : public HttpHandler {
 public:
  explicit StandinPlatform(VmList list) : m_list(std::move(list)), m_timers(m_clock) {}

  void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) override {
    if (request.path() == "/faults") return SetFaults(request, responder);
    if (request.path() == "/v1/vms/mark") return Mark(request, responder);
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_down) return responder->Abort();
    const int slow_ms = m_slow_ms;
    lock.unlock();
    if (slow_ms > 0) {
      m_timers.At(m_clock.Now() + std::chrono::milliseconds(slow_ms),
                  [this, request, responder] { Serve(request, responder); });
    } else {
      Serve(request, responder);
    }
  }

 private:
  using ResponderPtr = std::shared_ptr<HttpResponder>;
  // a long poll that waits for the next change
  struct Watch {
    std::string zone;
    ResponderPtr responder;
  };

  void Serve(const HttpRequest& request, const ResponderPtr& responder) {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (request.method() == "PUT") return Swap(request, responder);
    const bool is_vm_list = request.path() == "/v1/vms";
    const std::string zone = request.Parameter("zone");
    const std::uint64_t revision = is_vm_list ? m_list_revision : m_revision;
    const std::string after = request.Parameter("after");
    if (after.empty() || std::stoull(after) != revision) {
      return responder->Respond(is_vm_list ? VmResponse(zone) : ValueResponse());
    }
    auto& watches = is_vm_list ? m_vm_watches : m_value_watches;
    watches.push_back({zone, responder});
    const std::string wait = request.Parameter("wait_ms");
    const int wait_ms = wait.empty() ? 0 : std::stoi(wait);
    m_timers.At(m_clock.Now() + std::chrono::milliseconds(wait_ms),
                [this, is_vm_list, zone, responder] {
                  std::lock_guard<std::mutex> relock(m_mutex);
                  responder->Respond(is_vm_list ? VmResponse(zone) : ValueResponse());
                });
  }

  HttpResponse ValueResponse() const {
    return {200, std::to_string(m_revision) + "\n" + m_value, "text/plain"};
  }
  HttpResponse VmResponse(const std::string& zone) const {
    return {200, EncodeVmList(zone.empty() ? m_list : FilterByZone(m_list, zone), m_list_revision)};
  }

  void Swap(const HttpRequest& request, const ResponderPtr& responder) {
    const std::uint64_t expected = std::stoull("0" + request.Parameter("expect"));
    if (expected != m_revision) {
      return responder->Respond({409, std::to_string(m_revision) + "\n", "text/plain"});
    }
    m_value = request.body();
    ++m_revision;
    for (const Watch& watch : m_value_watches) watch.responder->Respond(ValueResponse());
    m_value_watches.clear();
    if (m_drop_reply) return responder->Abort();
    responder->Respond({200, std::to_string(m_revision) + "\n", "text/plain"});
  }

  void Mark(const HttpRequest& request, const ResponderPtr& responder) {
    const json parsed_body = json::parse(request.body(), nullptr, false);
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto address =
        parsed_body.is_object() ? Address::Parse(parsed_body.value("address", "")) : std::nullopt;
    if (!address) return responder->Respond({400, "{}"});
    const std::string state = parsed_body.value("state", "");
    m_timers.At(m_clock.Now() + std::chrono::milliseconds(m_list_lag_ms),
                [this, address, state] { ApplyMark(*address, state); });
    responder->Respond({200, "{}"});
  }

  void ApplyMark(const Address& address, const std::string& state) {
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<EntryVm> entries;
    std::vector<Worker> workers;
    for (const EntryVm& e : m_list.entries()) {
      if (e.address() != address) entries.push_back(e);
      if (e.address() == address && state != "gone") {
        entries.emplace_back(address, e.zone(), state == "leaving");
      }
    }
    for (const Worker& w : m_list.workers()) {
      if (w.address() != address) workers.push_back(w);
      if (w.address() == address && state != "gone") {
        workers.emplace_back(address, w.zone(), w.rack(), w.slots(), w.capacity(),
                             state == "leaving");
      }
    }
    std::set<ResourceSpec> capacities = DistinctCapacities(workers);
    m_list = VmList(std::move(entries), std::move(workers), std::move(capacities));
    ++m_list_revision;
    for (const Watch& watch : m_vm_watches) watch.responder->Respond(VmResponse(watch.zone));
    m_vm_watches.clear();
  }

  void SetFaults(const HttpRequest& request, const ResponderPtr& responder) {
    const json parsed_body = json::parse(request.body(), nullptr, false);
    if (!parsed_body.is_object()) return responder->Respond({400, "{}"});
    std::lock_guard<std::mutex> lock(m_mutex);
    m_down = parsed_body.value("down", false);
    m_slow_ms = parsed_body.value("slow_ms", 0);
    m_drop_reply = parsed_body.value("drop_reply", false);
    m_list_lag_ms = parsed_body.value("list_lag_ms", 0);
    if (m_down) {
      for (const Watch& watch : m_value_watches) watch.responder->Abort();
      for (const Watch& watch : m_vm_watches) watch.responder->Abort();
      m_value_watches.clear();
      m_vm_watches.clear();
    }
    responder->Respond({200, "{}"});
  }

  const MonotonicClock m_clock;
  std::mutex m_mutex;
  // all members below except m_timers are guarded by m_mutex
  VmList m_list;
  std::uint64_t m_list_revision = 1;
  std::string m_value;
  std::uint64_t m_revision = 0;
  std::vector<Watch> m_value_watches;
  std::vector<Watch> m_vm_watches;
  bool m_down = false;
  bool m_drop_reply = false;
  int m_slow_ms = 0;
  int m_list_lag_ms = 0;
  TimerThread m_timers;
};

}  // namespace
}  // namespace sapphireflow

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in for the platform.", ' ', "test");
  TCLAP::ValueArg<std::string> address("a", "address", "where to listen", true, "", "ip:port",
                                       command);
  TCLAP::ValueArg<std::string> fleet("f", "fleet", "YAML file of entry VMs and workers", true, "",
                                     "file", command);
  command.parse(argc, argv);
  const sigset_t signals = sapphireflow::BlockStopSignals();
  sapphireflow::StandinPlatform platform(sapphireflow::ReadFleet(fleet.getValue()));
  return sapphireflow::ServeUntilStopped(address.getValue(), platform, signals);
}
