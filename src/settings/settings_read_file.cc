// Part of settings: reads a file into a string.
#include <fstream>
#include <sstream>

#include "sapphireflow/settings/read_file.h"

namespace sapphireflow {

std::optional<std::string> ReadFile(const std::string& name) {
  const std::ifstream input(name);
  if (!input) return std::nullopt;
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

}  // namespace sapphireflow
