// Part of experiment: growth of memory, message sizes and CPU time with the system's size.
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
constexpr double kMicrosPerSecond = 1e6;
const Instant kNow = FromUnixMillis(1700000000000);

double ThreadCpuMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMicrosPerSecond +
         static_cast<double>(time.tv_nsec) / 1000.0;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

Address AddressFor(std::uint32_t number) { return {kLoopback + number, 7}; }

VmList MakeList(std::uint32_t entries, std::uint32_t workers, std::uint32_t zones) {
  std::vector<EntryVm> entry_list;
  for (std::uint32_t i = 0; i < entries; ++i) {
    entry_list.emplace_back(AddressFor(i), "zone-" + std::to_string(i % zones), false);
  }
  std::vector<Worker> worker_list;
  constexpr std::uint32_t kFirstWorker = 100000;
  for (std::uint32_t i = 0; i < workers; ++i) {
    worker_list.emplace_back(AddressFor(kFirstWorker + i), "zone-" + std::to_string(i % zones),
                             "rack-" + std::to_string(i / 6), 8, ResourceSpec(16, 32768, i % 2),
                             false);
  }
  std::set<ResourceSpec> capacities = DistinctCapacities(worker_list);
  return {std::move(entry_list), std::move(worker_list), std::move(capacities)};
}

Heartbeat MakeHeartbeat(std::uint32_t number, std::uint32_t notes, std::uint32_t zones) {
  std::vector<SuccessorNote> list;
  for (std::uint32_t i = 0; i < notes; ++i) {
    list.emplace_back(NodeId(AddressFor(i), 1), NodeId(AddressFor(i + 1), 1), kNow);
  }
  return {NodeId(AddressFor(number), 1),
          "zone-" + std::to_string(number % zones),
          3,
          17,
          false,
          true,
          std::move(list),
          {}};
}

NodeOptions MakeOptions() {
  return {NodeId(AddressFor(0), 1), "zone-0", 1, ShardOptions(), MembershipOptions(), {},
          std::chrono::seconds(1),  kNow,     1};
}

std::vector<TableRow> MakeRows(std::uint32_t count) {
  std::vector<TableRow> rows;
  for (std::uint32_t i = 0; i < count; ++i) {
    rows.emplace_back("kind-" + std::to_string(i % 7), "team-" + std::to_string(i / 7), 1, 1000000,
                      3, std::chrono::seconds(10), 1000000);
  }
  return rows;
}

// One line of the report: a quantity at three sizes, and the slope between the smallest and the
// largest size.
std::string MeasureSlope(const std::string& row_label, const std::array<std::uint32_t, 3>& sizes,
                         const std::string& unit,
                         const std::function<double(std::uint32_t)>& measure) {
  std::array<double, 3> values{};
  for (std::size_t i = 0; i < sizes.size(); ++i) values.at(i) = measure(sizes.at(i));
  const double slope = (values[2] - values[0]) / (sizes[2] - sizes[0]);
  constexpr int kBufferSize = 200;
  std::array<char, kBufferSize> line{};
  std::snprintf(line.data(), line.size(),
                "%-44s %6u: %-11.1f %6u: %-11.1f %6u: %-11.1f slope %.3f %s\n", row_label.c_str(),
                sizes[0], values[0], sizes[1], values[1], sizes[2], values[2], slope, unit.c_str());
  return line.data();
}

JobSpecPtr MakeSpec(std::uint32_t tasks) {
  const std::vector<Task> list(
      tasks, Task("kind-0", std::string(40, 'p'), ResourceSpec(), Duration(1000)));
  return std::make_shared<JobSpec>("team-0", kNow + std::chrono::seconds(5), true, list);
}

// Heap usage of a shard with the given number of jobs, either running or finished and remembered.
double JobHeapBytes(std::uint32_t jobs, std::uint32_t tasks, bool jobs_finished) {
  const double before = HeapBytes();
  const NodeId self(AddressFor(0), 1);
  Shard shard(ShardAddress(self, 0), ShardOptions(), 1);
  const std::vector<Worker> workers = {
      Worker(AddressFor(1), "z", "r", 100000000, ResourceSpec(16, 32768, 0), false)};
  shard.Apply(ShardInput(kNow, AssignWorkers(workers, {ResourceSpec(16, 32768, 0)})));
  shard.Apply(
      ShardInput(kNow, UseTable(ApplyEdit(nullptr, TableEdit("e", "w", 0, MakeRows(7)), kNow))));
  for (std::uint32_t i = 0; i < jobs; ++i) {
    const JobId id(self, 0, i + 1, kNow);
    const auto effects =
        shard.Apply(ShardInput(kNow, SubmitJob(Waiter(self.address(), i), id, MakeSpec(tasks))));
    if (!jobs_finished) continue;
    for (const ShardEffect& effect : effects) {
      const auto* start = std::get_if<StartAttempt>(&effect);
      if (start == nullptr) continue;
      shard.Apply(ShardInput(
          kNow, AttemptReport(start->attempt(), AttemptEnd::kSucceeded, std::string(40, 'r'))));
    }
  }
  return HeapBytes() - before;
}

double MeanCpuMicros(int rounds, const std::function<void()>& action) {
  const double before = ThreadCpuMicros();
  for (int i = 0; i < rounds; ++i) action();
  return (ThreadCpuMicros() - before) / rounds;
}

// CPU time of one heartbeat interval: decodes and applies the heartbeats of all peers, then creates
// and encodes this node's own.
double HeartbeatMicros(std::uint32_t peers) {
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
  // not measured: in the first round all peers are new
  round();
  return MeanCpuMicros(kRounds, round);
}

// CPU time to decode the VM list of a zone and to reassign its workers to the shards.
double VmListMicros(std::uint32_t workers) {
  const std::string body = EncodeVmList(MakeList(20, workers, 1), 1);
  Node node(MakeOptions());
  constexpr int kRounds = 3;
  return MeanCpuMicros(kRounds, [&] {
    const auto view = DecodeVmList(body);
    node.Apply(NodeInput(kNow, std::get<VmListView>(view).list()));
  });
}

double TableMicros(std::uint32_t rows) {
  const TablePtr table = ApplyEdit(nullptr, TableEdit("e", "w", 0, MakeRows(rows)), kNow);
  constexpr int kRounds = 20;
  return MeanCpuMicros(kRounds, [&] { DecodeStoredTable(EncodeStoredTable(*table)); });
}

double NodeHeapBytes(std::uint32_t workers) {
  const double before = HeapBytes();
  Node node(MakeOptions());
  node.Apply(NodeInput(kNow, MakeList(20, workers, 1)));
  return HeapBytes() - before;
}

}  // namespace

std::string MeasureCapacity() {
  std::string text;
  const std::array<std::uint32_t, 3> jobs = {1000, 4000, 16000};
  text += MeasureSlope("memory, running jobs of 1 task", jobs, "bytes/job",
                       [](std::uint32_t n) { return JobHeapBytes(n, 1, false); });
  text += MeasureSlope("memory, running jobs of 20 tasks", jobs, "bytes/job",
                       [](std::uint32_t n) { return JobHeapBytes(n, 20, false); });
  text += MeasureSlope("memory, remembered jobs of 1 task", jobs, "bytes/job",
                       [](std::uint32_t n) { return JobHeapBytes(n, 1, true); });
  text += MeasureSlope("memory, remembered jobs of 20 tasks", jobs, "bytes/job",
                       [](std::uint32_t n) { return JobHeapBytes(n, 20, true); });
  text += MeasureSlope("memory, workers listed in the zone", {300, 1200, 4900}, "bytes/worker",
                       NodeHeapBytes);
  text += MeasureSlope("processor, one beat, peers", {8, 24, 320}, "us/peer", HeartbeatMicros);
  text += MeasureSlope("processor, a new list, workers in it", {300, 1200, 4900}, "us/worker",
                       VmListMicros);
  text += MeasureSlope("processor, a table read and written, rows", {30, 100, 294}, "us/row",
                       TableMicros);
  text += MeasureSlope(
      "bytes, a heartbeat, successor notes in it", {0, 2, 10}, "bytes/note",
      [](std::uint32_t notes) {
        return static_cast<double>(EncodePeerMessage(MakeHeartbeat(1, notes, 1)).size());
      });
  text +=
      MeasureSlope("bytes, a list of VMs, workers in it", {300, 1200, 4900}, "bytes/worker",
                   [](std::uint32_t workers) {
                     return static_cast<double>(EncodeVmList(MakeList(20, workers, 1), 1).size());
                   });
  text += MeasureSlope("bytes, one zone's list of 16, workers in all", {300, 1200, 4900},
                       "bytes/worker", [](std::uint32_t workers) {
                         const VmList list = FilterByZone(MakeList(256, workers, 16), "zone-0");
                         return static_cast<double>(EncodeVmList(list, 1).size());
                       });
  text += MeasureSlope(
      "bytes, the stored table, rows", {30, 100, 294}, "bytes/row", [](std::uint32_t rows) {
        const TablePtr table = ApplyEdit(nullptr, TableEdit("e", "w", 0, MakeRows(rows)), kNow);
        return static_cast<double>(EncodeStoredTable(Table(1, table->rows(), {})).size());
      });
  text += MeasureSlope(
      "bytes, a forwarded job, tasks in it", {1, 20, 140}, "bytes/task", [](std::uint32_t tasks) {
        const ForwardJob job(Waiter(AddressFor(1), 1), JobId(NodeId(AddressFor(0), 1), 0, 1, kNow),
                             JobRequestKind::kAnswer, MakeSpec(tasks));
        return static_cast<double>(EncodePeerMessage(job).size());
      });
  return text;
}

}  // namespace sapphireflow
