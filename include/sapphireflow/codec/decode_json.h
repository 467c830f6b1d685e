// Part of codec: converts exceptions thrown while decoding JSON to errors.
#ifndef SAPPHIREFLOW_CODEC_DECODE_JSON_H_
#define SAPPHIREFLOW_CODEC_DECODE_JSON_H_

#include <exception>
#include <nlohmann/json.hpp>
#include <string>

#include "sapphireflow/codec/json_nesting.h"
#include "sapphireflow/model/error.h"

namespace sapphireflow::detail {

/// @return the reason, which may quote any part of what could not be decoded, as a short text of
/// printable ASCII characters.
std::string PrintableReason(const std::string& reason);

/// @brief Parses `body` as JSON and converts it with `read`.
/// @return the value, or an error with `id` and the reason.
template <class Read>
auto DecodeJson(const std::string& body, ErrorId id, const Read& read)
    -> Result<decltype(read(nlohmann::json()))> {
  if (!IsJsonNestingBounded(body)) return Error(id, "the JSON text nests too deep");
  try {
    return read(nlohmann::json::parse(body));
  } catch (const std::exception& problem) {
    return Error(id, PrintableReason(problem.what()));
  }
}

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_CODEC_DECODE_JSON_H_
