// Part of settings: files as text.
#ifndef SAPPHIREFLOW_SETTINGS_READ_FILE_H_
#define SAPPHIREFLOW_SETTINGS_READ_FILE_H_

#include <optional>
#include <string>

namespace sapphireflow {

/// @return the whole file; nothing if it cannot be opened.
std::optional<std::string> ReadFile(const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SETTINGS_READ_FILE_H_
