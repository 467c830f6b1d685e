// Part of observe: formatting of log events.
#include "sapphireflow/observe/event_log.h"

#include <algorithm>

namespace sapphireflow {
namespace {

bool NeedsQuotes(const std::string& value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '\\' || c == '=';
         });
}

std::string Quoted(const std::string& value) {
  std::string text = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') text += '\\';
    // Control characters become spaces, so that an event never spans several lines.
    text += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  return text + "\"";
}

}  // namespace

std::string LogEvent::Line() const {
  std::string line = "event=" + m_name;
  for (const auto& [key, value] : m_pairs) {
    line += " " + key + "=" + (NeedsQuotes(value) ? Quoted(value) : value);
  }
  return line;
}

}  // namespace sapphireflow
