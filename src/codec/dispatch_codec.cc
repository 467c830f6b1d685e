// Part of codec: each message is a CBOR array. Its first element is the message type: the index of
// the alternative in `DispatchMessage`.
#include "sapphireflow/codec/dispatch_codec.h"

#include <exception>
#include <iterator>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

#include "sapphireflow/codec/cbor_nesting.h"
#include "sapphireflow/codec/json_values.h"

namespace sapphireflow {
namespace {

using detail::Json;
using detail::ReadList;

Json Write(Duration length) { return length.count(); }
Duration ReadDuration(const Json& json) { return Duration(json.get<std::int64_t>()); }

Json Write(const Resources& amount) {
  return {amount.milli_cores(), amount.memory_mb(), amount.accelerators()};
}
Resources ReadResources(const Json& json) {
  return {json.at(0).get<std::int64_t>(), json.at(1).get<std::int64_t>(),
          json.at(2).get<std::int64_t>()};
}

Json Write(const RunKey& run) {
  const TaskKey& task = run.task();
  return {task.job(), task.occurrence(), task.step(), task.index(), run.number()};
}
RunKey ReadRun(const Json& json) {
  return {TaskKey(json.at(0).get<JobKey>(), json.at(1).get<std::uint32_t>(),
                  json.at(2).get<std::uint32_t>(), json.at(3).get<std::uint32_t>()),
          json.at(4).get<std::uint32_t>()};
}

// Forward declarations for the template `WriteAll`: argument-dependent lookup at its instantiation
// does not search this unnamed namespace.
Json Write(const RunOrder& order);
Json Write(const RunReport& report);
Json Write(const WorkerFreeCapacity& available);
Json Write(const PriorityWait& known);
Json Write(const CapacityDigest& digest);
Json Write(const CapacityAnnouncement& announcement);
Json Write(const WorkerChange& change);
Json Write(const LossRecord& record);
Json Write(const QueueConfig& queue);
Json Write(const ServiceConfig& service);

template <class T>
Json WriteAll(const std::vector<T>& values) {
  Json json = Json::array();
  for (const T& value : values) json.push_back(Write(value));
  return json;
}

Json Write(const RunOrder& order) {
  return {Write(order.run()), Write(order.needs()), Write(order.estimate()),
          order.label(),      order.near_rack(),    order.per_worker_limit(),
          order.avoid(),      order.declines(),     order.alone()};
}
RunOrder ReadRunOrder(const Json& json) {
  return {ReadRun(json.at(0)), ReadResources(json.at(1)), ReadDuration(json.at(2)),
          json.at(3).get<std::string>(), json.at(4).get<std::string>(),
          json.at(5).get<std::uint32_t>(), json.at(6).get<std::vector<std::string>>(),
          json.at(7).get<std::uint32_t>(),
          // not sent by earlier versions
          json.size() > 8 && json.at(8).get<bool>()};
}

Json Write(const RunReport& report) {
  return {Write(report.run()), static_cast<int>(report.transition()),
          static_cast<int>(report.end()), report.worker(), report.reason()};
}
RunReport ReadRunReport(const Json& json) {
  return {ReadRun(json.at(0)), detail::ReadEnum(json.at(1), kLastRunTransition),
          detail::ReadEnum(json.at(2), kLastRunEnd), json.at(3).get<std::string>(),
          json.at(4).get<std::string>()};
}

Json Write(const WorkerFreeCapacity& available) {
  return {available.worker(), Write(available.available()),
          static_cast<float>(available.slowness())};
}
WorkerFreeCapacity ReadWorkerFreeCapacity(const Json& json) {
  return {json.at(0).get<std::string>(), ReadResources(json.at(1)), json.at(2).get<double>()};
}

Json Write(const PriorityWait& known) { return {known.priority(), Write(known.wait())}; }
PriorityWait ReadPriorityWait(const Json& json) {
  return {json.at(0).get<std::uint32_t>(), ReadDuration(json.at(1))};
}

Json Write(const CapacityDigest& digest) {
  return {digest.service(), WriteAll(digest.free_capacity()), Write(digest.wait()),
          digest.milli_cores(), WriteAll(digest.priority_waits())};
}
CapacityDigest ReadCapacityDigest(const Json& json) {
  return {json.at(0).get<std::string>(), ReadList(json.at(1), ReadWorkerFreeCapacity),
          ReadDuration(json.at(2)), json.at(3).get<std::int64_t>(),
          // not sent by earlier versions
          json.size() > 4 ? ReadList(json.at(4), ReadPriorityWait) : std::vector<PriorityWait>()};
}

Json Write(const QueueConfig& queue) {
  return {queue.name(),    queue.host(),          queue.prefix(),
          queue.service(), queue.priority(),      queue.max_attempts(),
          queue.stretch(), Write(queue.target()), Write(queue.timeout())};
}
QueueConfig ReadQueue(const Json& json) {
  return {json.at(0).get<std::string>(),   json.at(1).get<std::string>(),
          json.at(2).get<std::string>(),   json.at(3).get<std::string>(),
          json.at(4).get<std::uint32_t>(), json.at(5).get<std::uint32_t>(),
          json.at(6).get<double>(),        ReadDuration(json.at(7)),
          ReadDuration(json.at(8))};
}

Json Write(const ServiceConfig& service) { return service.name(); }
ServiceConfig ReadService(const Json& json) { return ServiceConfig(json.get<std::string>()); }

Json Write(const WorkerChange& change) {
  if (!change.listing()) return Json::array({change.worker()});
  const WorkerListing& listing = *change.listing();
  return {listing.id(),
          detail::Write(listing.address()),
          listing.service(),
          listing.zone(),
          listing.labels(),
          Write(listing.capacity()),
          listing.process_start_ms(),
          listing.draining(),
          listing.time_left() ? Write(*listing.time_left()) : Json()};
}
WorkerChange ReadWorkerChange(const Json& json) {
  const auto id = json.at(0).get<std::string>();
  if (json.size() == 1) return {id, std::nullopt};
  const WorkerListing listing(id, detail::ReadAddress(json.at(1)), json.at(2).get<std::string>(),
                              json.at(3).get<std::string>(),
                              json.at(4).get<std::vector<std::string>>(), ReadResources(json.at(5)),
                              json.at(6).get<std::int64_t>(), json.at(7).get<bool>());
  // not sent by earlier versions
  if (json.size() <= 8 || json.at(8).is_null()) return {id, listing};
  return {id, listing.WithTimeLeft(ReadDuration(json.at(8)))};
}

Json Body(const PlaceRuns& m) {
  return {detail::Write(m.coordinator()),
          m.service(),
          *m.payload(),
          Write(m.time_to_objective()),
          Write(m.time_to_deadline()),
          m.priority(),
          WriteAll(m.runs()),
          m.echo(),
          m.queue(),
          m.job_begun()};
}
Json Body(const CancelRuns& m) {
  return {detail::Write(m.coordinator()), m.service(), WriteAll(m.runs())};
}
Json Body(const AdoptRun& m) {
  return {detail::Write(m.coordinator()),
          m.service(),
          m.worker(),
          Write(m.run()),
          Write(m.needs()),
          Write(m.estimate()),
          m.echo(),
          m.process_start_ms(),
          m.alone(),
          m.to_stop()};
}
Json Body(const RunReports& m) {
  return {detail::Write(m.owner()), WriteAll(m.reports()), WriteAll(m.free_capacity().digests()),
          m.free_capacity().complete(), m.coordinator() ? detail::Write(*m.coordinator()) : Json()};
}
Json Body(const MemberHeartbeat& m) {
  return {detail::Write(m.from().node()),
          m.from().zone(),
          m.from().milli_cores(),
          m.draining(),
          m.sequence(),
          m.echo(),
          m.link_losses(),
          m.configuration_version(),
          m.token_floor(),
          m.parting(),
          m.worker_list() ? m.worker_list()->version() : 0,
          m.worker_list() ? m.worker_list()->age().count() : 0,
          WriteAll(m.doubted_runs()),
          m.delay().count()};
}
Json Body(const CapacityAnnouncement& m) {
  return {detail::Write(m.owner()), m.zone(), WriteAll(m.digests())};
}
Json Write(const CapacityAnnouncement& announcement) { return Body(announcement); }
Json Body(const CapacityRelay& m) { return Json::array({WriteAll(m.announcements())}); }
Json Body(const WorkerListUpdate& m) {
  return {detail::Write(m.relay()), m.base(), m.version(), WriteAll(m.changes())};
}
Json Write(const LossRecord& record) {
  Json tasks = Json::array();
  for (const TaskAtLoss& task : record.tasks()) {
    tasks.push_back({Write(RunKey(task.task(), 0)), static_cast<int>(task.role())});
  }
  const WorkerIncarnation& incarnation = record.incarnation();
  return {incarnation.worker(),
          detail::Write(incarnation.address()),
          incarnation.process_start_ms(),
          record.interruptions(),
          record.crashed(),
          record.token(),
          record.queue(),
          std::move(tasks)};
}
LossRecord ReadLossRecord(const Json& json) {
  const auto read_task = [](const Json& task) {
    return TaskAtLoss(ReadRun(task.at(0)).task(), detail::ReadEnum(task.at(1), kLastLossRole));
  };
  return {WorkerIncarnation(json.at(0).get<std::string>(), detail::ReadAddress(json.at(1)),
                            json.at(2).get<std::int64_t>()),
          json.at(3).get<std::uint32_t>(),
          json.at(4).get<bool>(),
          json.at(5).get<std::uint64_t>(),
          json.at(6).get<std::string>(),
          ReadList(json.at(7), read_task)};
}
Json Body(const CrashNotice& m) { return {m.zone(), WriteAll(m.records())}; }
Json Body(const WorkerListRequest& m) { return Json::array({detail::Write(m.from())}); }
Json Body(const ConfigurationRequest& m) { return Json::array({detail::Write(m.from())}); }
Json Body(const ConfigurationCopy& m) {
  const Configuration& c = *m.configuration();
  return {c.version(), WriteAll(c.queues()), WriteAll(c.services()), c.max_body_bytes()};
}

DispatchMessage ReadPlaceRuns(const Json& j) {
  return PlaceRuns(detail::ReadNodeId(j.at(0)), j.at(1).get<std::string>(),
                   std::make_shared<const std::string>(j.at(2).get<std::string>()),
                   ReadDuration(j.at(3)), ReadDuration(j.at(4)), j.at(5).get<std::uint32_t>(),
                   ReadList(j.at(6), ReadRunOrder),
                   // not sent by earlier versions
                   j.size() > 8 ? j.at(8).get<std::string>() : "", j.at(7).get<std::uint64_t>(),
                   j.size() > 9 && j.at(9).get<bool>());
}
DispatchMessage ReadCancelRuns(const Json& j) {
  return CancelRuns(detail::ReadNodeId(j.at(0)), j.at(1).get<std::string>(),
                    ReadList(j.at(2), ReadRun));
}
DispatchMessage ReadAdoptRun(const Json& j) {
  return AdoptRun(
      detail::ReadNodeId(j.at(0)), j.at(1).get<std::string>(), j.at(2).get<std::string>(),
      ReadRun(j.at(3)), ReadResources(j.at(4)), ReadDuration(j.at(5)),
      // not sent by earlier versions
      j.size() > 7 ? j.at(7).get<std::int64_t>() : 0, j.size() > 8 && j.at(8).get<bool>(),
      j.size() > 9 && j.at(9).get<bool>(), j.at(6).get<std::uint64_t>());
}
DispatchMessage ReadRunReports(const Json& j) {
  std::optional<NodeId> coordinator;
  // not sent by earlier versions
  if (j.size() > 4 && !j.at(4).is_null()) coordinator = detail::ReadNodeId(j.at(4));
  return RunReports(detail::ReadNodeId(j.at(0)), ReadList(j.at(1), ReadRunReport),
                    CapacityUpdate(ReadList(j.at(2), ReadCapacityDigest), j.at(3).get<bool>()),
                    coordinator);
}
// earlier versions send no list, or one without its age
std::optional<WorkerListOffer> ReadWorkerListOffer(const Json& heartbeat) {
  if (heartbeat.size() <= 11) return std::nullopt;
  const auto version = heartbeat.at(10).get<WorkerListVersion>();
  const Duration age = ReadDuration(heartbeat.at(11));
  if (version == 0) return std::nullopt;
  if (age < Duration::zero()) throw std::out_of_range("the age of a list of workers is negative");
  return WorkerListOffer(version, age);
}
DispatchMessage ReadMemberHeartbeat(const Json& j) {
  const MemberListing from(detail::ReadNodeId(j.at(0)), j.at(1).get<std::string>(),
                           j.at(2).get<std::uint32_t>());
  return MemberHeartbeat(from, j.at(3).get<bool>(), j.at(4).get<std::uint64_t>(),
                         j.at(5).get<std::uint64_t>(), j.at(6).get<std::uint64_t>(),
                         j.at(7).get<std::uint64_t>(), j.at(8).get<std::uint64_t>(),
                         // not sent by earlier versions
                         j.size() > 9 && j.at(9).get<bool>(), ReadWorkerListOffer(j),
                         j.size() > 12 ? ReadList(j.at(12), ReadRun) : std::vector<RunKey>(),
                         Duration(j.size() > 13 ? j.at(13).get<Duration::rep>() : 0));
}
CapacityAnnouncement ReadAnnouncement(const Json& j) {
  return {detail::ReadNodeId(j.at(0)), j.at(1).get<std::string>(),
          ReadList(j.at(2), ReadCapacityDigest)};
}
DispatchMessage ReadCapacityAnnouncement(const Json& j) { return ReadAnnouncement(j); }
DispatchMessage ReadCapacityRelay(const Json& j) {
  return CapacityRelay(ReadList(j.at(0), ReadAnnouncement));
}
DispatchMessage ReadWorkerListUpdate(const Json& j) {
  return WorkerListUpdate(detail::ReadNodeId(j.at(0)), j.at(1).get<WorkerListVersion>(),
                          j.at(2).get<WorkerListVersion>(), ReadList(j.at(3), ReadWorkerChange));
}
DispatchMessage ReadWorkerListRequest(const Json& j) {
  return WorkerListRequest(detail::ReadNodeId(j.at(0)));
}
DispatchMessage ReadCrashNotice(const Json& j) {
  return CrashNotice(j.at(0).get<std::string>(), ReadList(j.at(1), ReadLossRecord));
}
DispatchMessage ReadConfigurationRequest(const Json& j) {
  return ConfigurationRequest(detail::ReadNodeId(j.at(0)));
}
DispatchMessage ReadConfigurationCopy(const Json& j) {
  return ConfigurationCopy(std::make_shared<const Configuration>(
      j.at(0).get<std::uint64_t>(), ReadList(j.at(1), ReadQueue), ReadList(j.at(2), ReadService),
      j.at(3).get<std::size_t>()));
}

using Reader = DispatchMessage (*)(const Json&);
// in the order of the alternatives in `DispatchMessage`
constexpr Reader kReaders[] = {ReadPlaceRuns,
                               ReadCancelRuns,
                               ReadAdoptRun,
                               ReadRunReports,
                               ReadMemberHeartbeat,
                               ReadCapacityAnnouncement,
                               ReadConfigurationRequest,
                               ReadConfigurationCopy,
                               ReadCapacityRelay,
                               ReadWorkerListUpdate,
                               ReadWorkerListRequest,
                               ReadCrashNotice};
static_assert(std::size(kReaders) == std::variant_size_v<DispatchMessage>);

}  // namespace

std::string EncodeDispatchMessage(const DispatchMessage& message) {
  Json list = Json::array();
  list.push_back(message.index());
  list.push_back(std::visit([](const auto& m) { return Body(m); }, message));
  std::string bytes;
  Json::to_cbor(list, bytes);
  return bytes;
}

Result<DispatchMessage> DecodeDispatchMessage(const std::string& bytes) {
  if (!detail::IsCborNestingBounded(bytes)) {
    return Error(ErrorId::kMalformedMessage, "the message nests too deep");
  }
  try {
    const Json list = Json::from_cbor(bytes);
    const auto kind = list.at(0).get<std::size_t>();
    if (kind >= std::size(kReaders)) {
      return Error(ErrorId::kMalformedMessage,
                   "message type " + std::to_string(kind) + " is unknown");
    }
    return kReaders[kind](list.at(1));
  } catch (const std::exception& problem) {
    return Error(ErrorId::kMalformedMessage, problem.what());
  }
}

}  // namespace sapphireflow
