// Part of codec: JSON bodies of the interface for operators.
#include <array>
#include <utility>

#include "sapphireflow/codec/csv.h"
#include "sapphireflow/codec/decode_json.h"
#include "sapphireflow/codec/http_bodies.h"
#include "sapphireflow/codec/json_values.h"
#include "sapphireflow/settings/table_sheet.h"

namespace sapphireflow {
namespace {

using detail::Json;

constexpr std::array<const char*, 3> kEditVerdicts = {"accepted", "refused", "unknown"};

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string EncodeEditRequest(const EditRequest& request) {
  return Dump({{"edit_id", request.edit_id()},
               {"who", request.who()},
               {"base_version", request.base_version()},
               {"csv", request.csv()}});
}

Result<EditRequest> DecodeEditRequest(const std::string& body) {
  return detail::DecodeJson(body, ErrorId::kMalformedRequest, [](const Json& json) {
    EditRequest request(json.at("edit_id").get<std::string>(), json.at("who").get<std::string>(),
                        json.at("base_version").get<std::uint64_t>(),
                        json.at("csv").get<std::string>());
    if (request.edit_id().empty() || request.who().empty()) {
      throw std::invalid_argument("edit_id and who must not be empty");
    }
    return request;
  });
}

std::string EncodeFindings(const Findings& findings) {
  Json list = Json::array();
  for (const Finding& finding : findings) {
    list.push_back({{"place", finding.place()}, {"message", finding.message()}});
  }
  const Error error(ErrorId::kBadTable, std::to_string(findings.size()) + " problems in the table");
  return Dump({{"error", error.code()}, {"message", error.message()}, {"findings", list}});
}

std::string EncodeEditAnswer(const EditAnswer& answer) {
  Json json = {{"verdict", kEditVerdicts.at(static_cast<std::size_t>(answer.verdict()))},
               {"version", answer.version()}};
  if (answer.cause()) {
    json["error"] = answer.cause()->code();
    json["message"] = answer.cause()->message();
  }
  return Dump(json);
}

std::string EncodeTableView(const TablePtr& table) {
  const std::vector<TableRow> no_rows;
  return Dump({{"version", table ? table->version() : 0},
               {"csv", WriteCsv(FormatTableSheet(table ? table->rows() : no_rows))},
               {"audit", table ? detail::Write(table->audit()) : Json::array()}});
}

std::string EncodeStatus(const NodeStatus& status, Instant now) {
  Json shards = Json::array();
  for (const ShardDigest& shard : status.shards()) {
    shards.push_back({{"free_slots", shard.free_slots()},
                      {"total_slots", shard.total_slots()},
                      {"queued_jobs", shard.queued_jobs()},
                      {"active_jobs", shard.active_jobs()},
                      {"remembered_jobs", shard.remembered_jobs()},
                      {"table_version", shard.table_version()}});
  }
  Json peers = Json::array();
  for (const PeerStatus& peer : status.peers()) {
    peers.push_back({{"address", peer.last().from().address().text()},
                     {"zone", peer.last().zone()},
                     {"live", peer.live()},
                     {"draining", peer.last().draining()},
                     {"table_version", peer.last().table_version()},
                     {"free_slots", peer.last().free_slots()},
                     {"heard_ms_ago", static_cast<std::int64_t>(ToMillis(now - peer.heard_at()))}});
  }
  return Dump({{"address", status.self().address().text()},
               {"incarnation", status.self().incarnation()},
               {"zone", status.zone()},
               {"table_version", status.table_version()},
               {"draining", status.draining()},
               {"store_reached", status.store_reached()},
               {"open_forwards", status.open_forwards()},
               {"shards", shards},
               {"peers", peers}});
}

}  // namespace sapphireflow
