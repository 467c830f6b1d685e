// Part of experiment: slopes of state, messages and processor time.
#include "sapphireflow/experiment/capacity_bench.h"

#include <malloc.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <vector>

#include "sapphireflow/codec/http_bodies.h"
#include "sapphireflow/codec/peer_codec.h"
#include "sapphireflow/execution/shard.h"
#include "sapphireflow/routing/node.h"
#include "sapphireflow/settings/table_edit.h"

namespace sapphireflow {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr double kMicros = 1e6;
const Instant kNow = FromUnixMillis(1700000000000);

double ProcessorMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMicros + static_cast<double>(time.tv_nsec) / 1000.0;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

Address AddressOf(std::uint32_t number) { return {kLoopback + number, 7}; }

VmList MakeList(std::uint32_t entries, std::uint32_t workers, std::uint32_t zones) {
  std::vector<EntryVm> entry_list;
  for (std::uint32_t i = 0; i < entries; ++i) {
    entry_list.emplace_back(AddressOf(i), "zone-" + std::to_string(i % zones), false);
  }
  std::vector<Worker> worker_list;
  constexpr std::uint32_t kFirstWorker = 100000;
  for (std::uint32_t i = 0; i < workers; ++i) {
    worker_list.emplace_back(AddressOf(kFirstWorker + i), "zone-" + std::to_string(i % zones),
                             "rack-" + std::to_string(i / 6), 8, ResourceSpec(16, 32768, i % 2),
                             false);
  }
  std::set<ResourceSpec> capacities = DistinctCapacities(worker_list);
  return {std::move(entry_list), std::move(worker_list), std::move(capacities)};
}

Heartbeat MakeHeartbeat(std::uint32_t number, std::uint32_t notes, std::uint32_t zones) {
  std::vector<SuccessorNote> list;
  for (std::uint32_t i = 0; i < notes; ++i) {
    list.emplace_back(NodeId(AddressOf(i), 1), NodeId(AddressOf(i + 1), 1), kNow);
  }
  return {NodeId(AddressOf(number), 1),
          "zone-" + std::to_string(number % zones),
          3,
          17,
          false,
          true,
          std::move(list),
          {}};
}

NodeOptions MakeOptions() {
  return {NodeId(AddressOf(0), 1), "zone-0", 1, ShardOptions(), MembershipOptions(), {},
          std::chrono::seconds(1), kNow,     1};
}

std::vector<TableRow> MakeRows(std::uint32_t count) {
  std::vector<TableRow> rows;
  for (std::uint32_t i = 0; i < count; ++i) {
    rows.emplace_back("kind-" + std::to_string(i % 7), "team-" + std::to_string(i / 7), 1, 1000000,
                      3, std::chrono::seconds(10), 1000000);
  }
  return rows;
}

// one line: a figure at three sizes and its slope between the outer two
std::string Slope(const std::string& what, const std::array<std::uint32_t, 3>& sizes,
                  const std::string& unit, const std::function<double(std::uint32_t)>& measure) {
  std::array<double, 3> values{};
  for (std::size_t i = 0; i < sizes.size(); ++i) values.at(i) = measure(sizes.at(i));
  const double slope = (values[2] - values[0]) / (sizes[2] - sizes[0]);
  constexpr int kSize = 200;
  std::array<char, kSize> line{};
  std::snprintf(line.data(), line.size(),
                "%-44s %6u: %-11.1f %6u: %-11.1f %6u: %-11.1f slope %.3f %s\n", what.c_str(),
                sizes[0], values[0], sizes[1], values[1], sizes[2], values[2], slope, unit.c_str());
  return line.data();
}

JobSpecPtr MakeSpec(std::uint32_t tasks) {
  const std::vector<Task> list(
      tasks, Task("kind-0", std::string(40, 'p'), ResourceSpec(), Duration(1000)));
  return std::make_shared<JobSpec>("team-0", kNow + std::chrono::seconds(5), true, list);
}

// heap of a shard that holds so many jobs, running or remembered
double JobHeap(std::uint32_t jobs, std::uint32_t tasks, bool settled) {
  const double before = HeapBytes();
  const NodeId self(AddressOf(0), 1);
  Shard shard(ShardAddress(self, 0), ShardOptions(), 1);
  const std::vector<Worker> workers = {
      Worker(AddressOf(1), "z", "r", 100000000, ResourceSpec(16, 32768, 0), false)};
  shard.Apply(ShardInput(kNow, AssignWorkers(workers, {ResourceSpec(16, 32768, 0)})));
  shard.Apply(
      ShardInput(kNow, UseTable(ApplyEdit(nullptr, TableEdit("e", "w", 0, MakeRows(7)), kNow))));
  for (std::uint32_t i = 0; i < jobs; ++i) {
    const JobId id(self, 0, i + 1, kNow);
    const auto effects =
        shard.Apply(ShardInput(kNow, SubmitJob(Waiter(self.address(), i), id, MakeSpec(tasks))));
    if (!settled) continue;
    for (const ShardEffect& effect : effects) {
      const auto* start = std::get_if<StartAttempt>(&effect);
      if (start == nullptr) continue;
      shard.Apply(ShardInput(
          kNow, AttemptReport(start->attempt(), AttemptEnd::kSucceeded, std::string(40, 'r'))));
    }
  }
  return HeapBytes() - before;
}

double Micros(int rounds, const std::function<void()>& action) {
  const double before = ProcessorMicros();
  for (int i = 0; i < rounds; ++i) action();
  return (ProcessorMicros() - before) / rounds;
}

// processor time of one beat: heartbeats made and encoded for all peers, and all of theirs heard
double BeatMicros(std::uint32_t peers) {
  Node node(MakeOptions());
  node.Apply(NodeInput(kNow, MakeList(peers, 300, 1)));
  std::vector<std::string> heartbeats;
  for (std::uint32_t i = 1; i <= peers; ++i) {
    heartbeats.push_back(EncodePeerMessage(MakeHeartbeat(i, 0, 1)));
  }
  Instant now = kNow;
  constexpr int kRounds = 20;
  const auto round = [&] {
    now += std::chrono::milliseconds(500);
    for (const std::string& bytes : heartbeats) {
      auto message = DecodePeerMessage(bytes);
      node.Apply(NodeInput(now, PeerMessageReceived(std::move(std::get<PeerMessage>(message)))));
    }
    for (const NodeEffect& effect : node.Apply(NodeInput(now, HeartbeatTick()))) {
      if (const auto* send = std::get_if<SendToPeer>(&effect)) EncodePeerMessage(send->message());
    }
  };
  // the first time all peers are news
  round();
  return Micros(kRounds, round);
}

// processor time to decode a list of the zone's VMs and deal out its workers anew
double ListMicros(std::uint32_t workers) {
  const std::string body = EncodeVmList(MakeList(20, workers, 1), 1);
  Node node(MakeOptions());
  constexpr int kRounds = 3;
  return Micros(kRounds, [&] {
    const auto view = DecodeVmList(body);
    node.Apply(NodeInput(kNow, std::get<VmListView>(view).list()));
  });
}

double TableMicros(std::uint32_t rows) {
  const TablePtr table = ApplyEdit(nullptr, TableEdit("e", "w", 0, MakeRows(rows)), kNow);
  constexpr int kRounds = 20;
  return Micros(kRounds, [&] { DecodeStoredTable(EncodeStoredTable(*table)); });
}

double NodeHeap(std::uint32_t workers) {
  const double before = HeapBytes();
  Node node(MakeOptions());
  node.Apply(NodeInput(kNow, MakeList(20, workers, 1)));
  return HeapBytes() - before;
}

}  // namespace

std::string MeasureCapacity() {
  std::string text;
  const std::array<std::uint32_t, 3> jobs = {1000, 4000, 16000};
  text += Slope("memory, running jobs of 1 task", jobs, "bytes/job",
                [](std::uint32_t n) { return JobHeap(n, 1, false); });
  text += Slope("memory, running jobs of 20 tasks", jobs, "bytes/job",
                [](std::uint32_t n) { return JobHeap(n, 20, false); });
  text += Slope("memory, remembered jobs of 1 task", jobs, "bytes/job",
                [](std::uint32_t n) { return JobHeap(n, 1, true); });
  text += Slope("memory, remembered jobs of 20 tasks", jobs, "bytes/job",
                [](std::uint32_t n) { return JobHeap(n, 20, true); });
  text += Slope("memory, workers listed in the zone", {300, 1200, 4900}, "bytes/worker", NodeHeap);
  text += Slope("processor, one beat, peers", {8, 24, 320}, "us/peer", BeatMicros);
  text += Slope("processor, a new list, workers in it", {300, 1200, 4900}, "us/worker", ListMicros);
  text += Slope("processor, a table read and written, rows", {30, 100, 294}, "us/row", TableMicros);
  text += Slope("bytes, a heartbeat, successor notes in it", {0, 2, 10}, "bytes/note",
                [](std::uint32_t notes) {
                  return static_cast<double>(EncodePeerMessage(MakeHeartbeat(1, notes, 1)).size());
                });
  text += Slope("bytes, a list of VMs, workers in it", {300, 1200, 4900}, "bytes/worker",
                [](std::uint32_t workers) {
                  return static_cast<double>(EncodeVmList(MakeList(20, workers, 1), 1).size());
                });
  text += Slope("bytes, one zone's list of 16, workers in all", {300, 1200, 4900}, "bytes/worker",
                [](std::uint32_t workers) {
                  const VmList list = FilterByZone(MakeList(256, workers, 16), "zone-0");
                  return static_cast<double>(EncodeVmList(list, 1).size());
                });
  text +=
      Slope("bytes, the stored table, rows", {30, 100, 294}, "bytes/row", [](std::uint32_t rows) {
        const TablePtr table = ApplyEdit(nullptr, TableEdit("e", "w", 0, MakeRows(rows)), kNow);
        return static_cast<double>(EncodeStoredTable(Table(1, table->rows(), {})).size());
      });
  text += Slope(
      "bytes, a forwarded job, tasks in it", {1, 20, 140}, "bytes/task", [](std::uint32_t tasks) {
        const ForwardJob job(Waiter(AddressOf(1), 1), JobId(NodeId(AddressOf(0), 1), 0, 1, kNow),
                             JobRequestKind::kAnswer, MakeSpec(tasks));
        return static_cast<double>(EncodePeerMessage(job).size());
      });
  return text;
}

}  // namespace sapphireflow
