// Part of codec: conversion of model values to and from JSON, shared by the HTTP bodies and the
// CBOR messages.
//
// The `Read...` functions throw exceptions of nlohmann/json or `std::invalid_argument`; the public
// decoders of the codec folder catch them and return errors.
#ifndef SAPPHIREFLOW_CODEC_JSON_VALUES_H_
#define SAPPHIREFLOW_CODEC_JSON_VALUES_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "sapphireflow/execution/shard_event.h"
#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/job_spec.h"
#include "sapphireflow/model/table.h"
#include "sapphireflow/model/vm_list.h"
#include "sapphireflow/observe/journal.h"
#include "sapphireflow/placement/slot_pool.h"

namespace sapphireflow::detail {

using Json = nlohmann::json;

Json Write(Instant at);
Json Write(const Address& address);
Json Write(const NodeId& node);
Json Write(const JobId& id);
Json Write(const AttemptId& id);
Json Write(const ResourceSpec& needs);
Json Write(const Task& task);
Json Write(const JobSpec& spec);
Json Write(const JobAnswer& answer);
Json Write(const Journal& journal);
Json Write(const Table& table);
Json Write(const std::vector<TableRow>& rows);
Json Write(const std::vector<AuditEntry>& audit);
Json Write(const Worker& worker);
Json Write(const VmList& list);
Json Write(const ShardAddress& shard);
Json Write(const SlotLoan& loan);
Json Write(const LoanReturn& returned);
Json Write(const InheritJobs& inherit);

Instant ReadInstant(const Json& json);
Address ReadAddress(const Json& json);
NodeId ReadNodeId(const Json& json);
JobId ReadJobId(const Json& json);
AttemptId ReadAttemptId(const Json& json);
ResourceSpec ReadResourceSpec(const Json& json);
Task ReadTask(const Json& json);
JobSpec ReadJobSpec(const Json& json);
JobAnswer ReadJobAnswer(const Json& json);
Journal ReadJournal(const Json& json);
Table ReadTable(const Json& json);
Worker ReadWorker(const Json& json);
VmList ReadVmList(const Json& json);
ShardAddress ReadShardAddress(const Json& json);
SlotLoan ReadSlotLoan(const Json& json);
LoanReturn ReadLoanReturn(const Json& json);
InheritJobs ReadInheritJobs(const Json& json);

/// @brief Converts a number to an enumerator. @throw std::invalid_argument if it exceeds `last`,
/// the highest enumerator.
template <class Enum>
Enum ReadEnum(const Json& json, Enum last) {
  const auto number = json.get<std::uint32_t>();
  if (number > static_cast<std::uint32_t>(last)) throw std::invalid_argument("value out of range");
  return static_cast<Enum>(number);
}

/// @brief Converts each element of a JSON array with `read`. Complexity: linear.
template <class Read>
auto ReadList(const Json& json, const Read& read) {
  std::vector<decltype(read(json))> values;
  if (!json.is_array()) throw std::invalid_argument("a value that must be a list is not one");
  values.reserve(json.size());
  for (const Json& element : json) values.push_back(read(element));
  return values;
}

/// @brief Converts each value with `Write` to an element of a JSON array. Complexity: linear.
template <class T>
Json WriteList(const std::vector<T>& values) {
  Json json = Json::array();
  for (const T& value : values) json.push_back(Write(value));
  return json;
}

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_CODEC_JSON_VALUES_H_
