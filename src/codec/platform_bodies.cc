// Part of codec: JSON bodies of the interfaces to workers and to the platform.
#include <array>
#include <utility>

#include "sapphireflow/codec/decode_json.h"
#include "sapphireflow/codec/http_bodies.h"
#include "sapphireflow/codec/json_values.h"

namespace sapphireflow {
namespace {

using detail::Json;

constexpr std::array<const char*, 8> kEnds = {"succeeded", "failed",  "stopped",  "full",
                                              "leaving",   "refused", "not-sent", "lost"};

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json WriteReply(const WorkerReply& reply) {
  return {{"attempt", reply.attempt()},
          {"end", kEnds.at(static_cast<std::size_t>(reply.end()))},
          {"detail", reply.detail()}};
}

WorkerReply ReadReply(const Json& json) {
  const auto word = json.at("end").get<std::string>();
  for (std::size_t i = 0; i < kEnds.size(); ++i) {
    if (word != kEnds.at(i)) continue;
    return {json.at("attempt").get<std::string>(), static_cast<AttemptEnd>(i),
            json.at("detail").get<std::string>()};
  }
  throw std::invalid_argument("unknown end of an attempt '" + word + "'");
}

}  // namespace

std::string AttemptName(const AttemptId& attempt, const JobIdCodec& text) {
  return text.Write(attempt.job()) + "/" + std::to_string(attempt.task()) + "/" +
         std::to_string(attempt.number());
}

std::string EncodeStart(const StartAttempt& start, const std::string& attempt_name) {
  const ResourceSpec& needs = start.task().needs();
  return Dump({{"attempt", attempt_name},
               {"kind", start.task().kind()},
               {"payload", start.task().payload()},
               {"cores", needs.cores()},
               {"memory_mb", needs.memory_mb()},
               {"accelerators", needs.accelerators()},
               {"lease_until_ms", ToUnixMillis(start.lease_until())}});
}

Result<StartRequest> DecodeStart(const std::string& body) {
  return detail::DecodeJson(body, ErrorId::kMalformedRequest, [](const Json& json) {
    return StartRequest(json.at("attempt").get<std::string>(), json.at("kind").get<std::string>(),
                        json.at("payload").get<std::string>(),
                        FromUnixMillis(json.at("lease_until_ms").get<std::int64_t>()));
  });
}

std::string EncodeWorkerReply(const WorkerReply& reply) { return Dump(WriteReply(reply)); }

Result<WorkerReply> DecodeWorkerReply(const std::string& body) {
  return detail::DecodeJson(body, ErrorId::kMalformedMessage, ReadReply);
}

std::string EncodeStop(const std::vector<std::string>& attempts) {
  return Dump({{"attempts", attempts}});
}

Result<std::vector<std::string>> DecodeStop(const std::string& body) {
  return detail::DecodeJson(body, ErrorId::kMalformedRequest, [](const Json& json) {
    return json.at("attempts").get<std::vector<std::string>>();
  });
}

std::string EncodeStopReplies(const std::vector<WorkerReply>& replies) {
  Json list = Json::array();
  for (const WorkerReply& reply : replies) list.push_back(WriteReply(reply));
  return Dump({{"ends", list}});
}

Result<std::vector<WorkerReply>> DecodeStopReplies(const std::string& body) {
  return detail::DecodeJson(body, ErrorId::kMalformedMessage, [](const Json& json) {
    return detail::ReadList(json.at("ends"), ReadReply);
  });
}

std::string EncodeStoredTable(const Table& table) { return Dump(detail::Write(table)); }

Result<Table> DecodeStoredTable(const std::string& value) {
  return detail::DecodeJson(value, ErrorId::kMalformedMessage, detail::ReadTable);
}

std::string EncodeVmList(const VmList& list, std::uint64_t revision) {
  return Dump({{"revision", revision}, {"list", detail::Write(list)}});
}

Result<VmListView> DecodeVmList(const std::string& body) {
  return detail::DecodeJson(body, ErrorId::kMalformedMessage, [](const Json& json) {
    return VmListView(detail::ReadVmList(json.at("list")),
                      json.at("revision").get<std::uint64_t>());
  });
}

}  // namespace sapphireflow
