// Part of codec: model values as JSON. Values that occur only in messages between entry VMs use
// arrays or short keys.
#include "sapphireflow/codec/json_values.h"

#include <stdexcept>
#include <utility>

namespace sapphireflow::detail {
namespace {

constexpr int kPortBits = 16;

Instant ReadMicros(const Json& json) { return Instant(Duration(json.get<std::int64_t>())); }

Json WriteError(const Error& error) {
  return {{"id", static_cast<int>(error.id())}, {"message", error.message()}};
}

Error ReadError(const Json& json) {
  return {static_cast<ErrorId>(json.at("id").get<int>()), json.at("message").get<std::string>()};
}

}  // namespace

Json Write(Instant at) { return at.time_since_epoch().count(); }
Instant ReadInstant(const Json& json) { return ReadMicros(json); }

Json Write(const Address& address) { return address.number(); }
Address ReadAddress(const Json& json) {
  const auto number = json.get<std::uint64_t>();
  return {static_cast<std::uint32_t>(number >> kPortBits), static_cast<std::uint16_t>(number)};
}

Json Write(const NodeId& node) { return {Write(node.address()), node.incarnation()}; }
NodeId ReadNodeId(const Json& json) {
  return {ReadAddress(json.at(0)), json.at(1).get<Incarnation>()};
}

Json Write(const JobId& id) {
  return {Write(id.home()), id.shard(), id.sequence(), ToUnixMillis(id.issued_at())};
}
JobId ReadJobId(const Json& json) {
  return {ReadNodeId(json.at(0)), json.at(1).get<ShardIndex>(), json.at(2).get<std::uint64_t>(),
          FromUnixMillis(json.at(3).get<std::int64_t>())};
}

Json Write(const AttemptId& id) { return {Write(id.job()), id.task(), id.number()}; }
AttemptId ReadAttemptId(const Json& json) {
  return {ReadJobId(json.at(0)), json.at(1).get<std::uint32_t>(), json.at(2).get<std::uint32_t>()};
}

Json Write(const ResourceSpec& needs) {
  return {needs.cores(), needs.memory_mb(), needs.accelerators()};
}
ResourceSpec ReadResourceSpec(const Json& json) {
  return {json.at(0).get<std::uint32_t>(), json.at(1).get<std::uint32_t>(),
          json.at(2).get<std::uint32_t>()};
}

Json Write(const Task& task) {
  return {task.kind(), task.payload(), Write(task.needs()), task.declared_run().count()};
}
Task ReadTask(const Json& json) {
  return {json.at(0).get<std::string>(), json.at(1).get<std::string>(),
          ReadResourceSpec(json.at(2)), Duration(json.at(3).get<std::int64_t>())};
}

Json Write(const JobSpec& spec) {
  return {spec.team(), Write(spec.deadline()), spec.idempotent(), WriteList(spec.tasks())};
}
JobSpec ReadJobSpec(const Json& json) {
  return {json.at(0).get<std::string>(), ReadInstant(json.at(1)), json.at(2).get<bool>(),
          ReadList(json.at(3), ReadTask)};
}

Json Write(const JobAnswer& answer) {
  Json outcomes = Json::array();
  for (const TaskOutcome& outcome : answer.outcomes()) {
    outcomes.push_back({static_cast<int>(outcome.fate()), outcome.result()});
  }
  Json json = {{"v", static_cast<int>(answer.verdict())}, {"o", std::move(outcomes)}};
  if (answer.cause()) json["c"] = WriteError(*answer.cause());
  return json;
}
JobAnswer ReadJobAnswer(const Json& json) {
  std::optional<Error> cause;
  if (json.contains("c")) cause = ReadError(json.at("c"));
  return {ReadEnum(json.at("v"), Verdict::kUnknown), std::move(cause),
          ReadList(json.at("o"), [](const Json& outcome) {
            return TaskOutcome(ReadEnum(outcome.at(0), TaskFate::kRan),
                               outcome.at(1).get<std::string>());
          })};
}

Json Write(const Journal& journal) {
  Json json = Json::array();
  for (const JournalEntry& entry : journal) {
    json.push_back({Write(entry.at()), static_cast<int>(entry.decision()), entry.task(),
                    Write(entry.worker()), entry.why()});
  }
  return json;
}
Journal ReadJournal(const Json& json) {
  return ReadList(json, [](const Json& entry) {
    return JournalEntry(ReadInstant(entry.at(0)), ReadEnum(entry.at(1), Decision::kHandedOver),
                        entry.at(2).get<std::uint32_t>(), ReadAddress(entry.at(3)),
                        entry.at(4).get<std::string>());
  });
}

Json Write(const std::vector<TableRow>& rows) {
  Json json = Json::array();
  for (const TableRow& row : rows) {
    json.push_back({{"kind", row.kind()},
                    {"team", row.team()},
                    {"weight", row.weight()},
                    {"limit", row.limit()},
                    {"attempts", row.attempts()},
                    {"deadline_us", row.deadline().count()},
                    {"quota", row.quota()}});
  }
  return json;
}

Json Write(const std::vector<AuditEntry>& audit) {
  Json json = Json::array();
  for (const AuditEntry& entry : audit) {
    json.push_back({{"version", entry.version()},
                    {"edit_id", entry.edit_id()},
                    {"who", entry.who()},
                    {"when_ms", ToUnixMillis(entry.when())},
                    {"change", entry.change()}});
  }
  return json;
}

Json Write(const Table& table) {
  return {
      {"version", table.version()}, {"rows", Write(table.rows())}, {"audit", Write(table.audit())}};
}

Table ReadTable(const Json& json) {
  auto rows = ReadList(json.at("rows"), [](const Json& row) {
    return TableRow(row.at("kind").get<std::string>(), row.at("team").get<std::string>(),
                    row.at("weight").get<double>(), row.at("limit").get<std::uint32_t>(),
                    row.at("attempts").get<std::uint32_t>(),
                    Duration(row.at("deadline_us").get<std::int64_t>()),
                    row.at("quota").get<std::uint32_t>());
  });
  auto audit = ReadList(json.at("audit"), [](const Json& entry) {
    return AuditEntry(entry.at("version").get<std::uint64_t>(),
                      entry.at("edit_id").get<std::string>(), entry.at("who").get<std::string>(),
                      FromUnixMillis(entry.at("when_ms").get<std::int64_t>()),
                      entry.at("change").get<std::string>());
  });
  return {json.at("version").get<std::uint64_t>(), std::move(rows), std::move(audit)};
}

Json Write(const Worker& worker) {
  return {{"address", Write(worker.address())},
          {"zone", worker.zone()},
          {"rack", worker.rack()},
          {"slots", worker.slots()},
          {"capacity", Write(worker.capacity())},
          {"leaving", worker.leaving()}};
}
Worker ReadWorker(const Json& json) {
  return {ReadAddress(json.at("address")),       json.at("zone").get<std::string>(),
          json.at("rack").get<std::string>(),    json.at("slots").get<std::uint32_t>(),
          ReadResourceSpec(json.at("capacity")), json.at("leaving").get<bool>()};
}

Json Write(const VmList& list) {
  Json entries = Json::array();
  for (const EntryVm& entry : list.entries()) {
    entries.push_back({{"address", Write(entry.address())},
                       {"zone", entry.zone()},
                       {"leaving", entry.leaving()}});
  }
  Json capacities = Json::array();
  for (const ResourceSpec& capacity : list.capacities()) capacities.push_back(Write(capacity));
  return {{"entries", std::move(entries)},
          {"workers", WriteList(list.workers())},
          {"capacities", std::move(capacities)}};
}
VmList ReadVmList(const Json& json) {
  auto entries = ReadList(json.at("entries"), [](const Json& entry) {
    return EntryVm(ReadAddress(entry.at("address")), entry.at("zone").get<std::string>(),
                   entry.at("leaving").get<bool>());
  });
  const std::vector<ResourceSpec> capacities = ReadList(json.at("capacities"), ReadResourceSpec);
  return {std::move(entries), ReadList(json.at("workers"), ReadWorker),
          std::set<ResourceSpec>(capacities.begin(), capacities.end())};
}

Json Write(const ShardAddress& shard) { return {Write(shard.node()), shard.shard()}; }
ShardAddress ReadShardAddress(const Json& json) {
  return {ReadNodeId(json.at(0)), json.at(1).get<ShardIndex>()};
}

Json Write(const SlotLoan& loan) {
  return {Write(loan.lender()), loan.number(), Write(loan.worker()), Write(loan.expires_at())};
}
SlotLoan ReadSlotLoan(const Json& json) {
  return {ReadShardAddress(json.at(0)), json.at(1).get<std::uint64_t>(), ReadWorker(json.at(2)),
          ReadInstant(json.at(3))};
}

Json Write(const LoanReturn& returned) {
  return {Write(returned.loan()), static_cast<int>(returned.use())};
}
LoanReturn ReadLoanReturn(const Json& json) {
  return {ReadSlotLoan(json.at(0)), ReadEnum(json.at(1), SlotOutcome::kRefusedLeaving)};
}

Json Write(const InheritJobs& inherit) {
  Json jobs = Json::array();
  for (const InheritedJob& job : inherit.jobs()) {
    Json item = {Write(job.job()), job.digest()};
    if (job.answer()) item.push_back(Write(*job.answer()));
    jobs.push_back(std::move(item));
  }
  return {Write(inherit.evicted_up_to()), std::move(jobs)};
}
InheritJobs ReadInheritJobs(const Json& json) {
  return {ReadInstant(json.at(0)), ReadList(json.at(1), [](const Json& item) {
            std::optional<JobAnswer> answer;
            if (item.size() > 2) answer = ReadJobAnswer(item.at(2));
            return InheritedJob(ReadJobId(item.at(0)), item.at(1).get<std::uint64_t>(),
                                std::move(answer));
          })};
}

}  // namespace sapphireflow::detail
