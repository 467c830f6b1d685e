// Part of settings: reads a file into a string.
#ifndef SAPPHIREFLOW_SETTINGS_READ_FILE_H_
#define SAPPHIREFLOW_SETTINGS_READ_FILE_H_

#include <optional>
#include <string>

namespace sapphireflow {

/// @return the contents of the file, or `std::nullopt` if it cannot be opened.
std::optional<std::string> ReadFile(const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SETTINGS_READ_FILE_H_
