// Part of codec: converts exceptions thrown while decoding JSON to errors.
#ifndef SAPPHIREFLOW_CODEC_DECODE_JSON_H_
#define SAPPHIREFLOW_CODEC_DECODE_JSON_H_

#include <exception>
#include <nlohmann/json.hpp>
#include <string>

#include "sapphireflow/model/error.h"

namespace sapphireflow::detail {

/// @brief Parses `body` as JSON and converts it with `read`.
/// @return the value, or an error with `id` and the reason.
template <class Read>
auto DecodeJson(const std::string& body, ErrorId id, const Read& read)
    -> Result<decltype(read(nlohmann::json()))> {
  try {
    return read(nlohmann::json::parse(body));
  } catch (const std::exception& problem) {
    return Error(id, problem.what());
  }
}

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_CODEC_DECODE_JSON_H_
