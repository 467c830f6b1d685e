// Part of codec: reads and writes CSV (RFC 4180).
#ifndef SAPPHIREFLOW_CODEC_CSV_H_
#define SAPPHIREFLOW_CODEC_CSV_H_

#include <string>
#include <vector>

#include "sapphireflow/model/error.h"

namespace sapphireflow {

/// @brief Rows of cells; the first row is the heading.
using Sheet = std::vector<std::vector<std::string>>;

/// @return the sheet, or a finding with the row of the syntax error. Complexity: linear.
Validated<Sheet> ReadCsv(const std::string& text);

/// @brief Quotes cells where needed; rows end with a line feed. Complexity: linear.
std::string WriteCsv(const Sheet& sheet);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_CODEC_CSV_H_
