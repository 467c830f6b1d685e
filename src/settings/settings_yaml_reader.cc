// Part of settings: reads YAML with yaml-cpp.
#include <algorithm>
#include <cmath>

#include "sapphireflow/settings/yaml_reader.h"

namespace sapphireflow {
namespace {

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : ", ") + word;
  return text;
}

}  // namespace

Validated<YAML::Node> LoadYaml(const std::string& text, const std::string& name) {
  try {
    return YAML::Load(text);
  } catch (const YAML::Exception& problem) {
    return Findings{Finding(name + ":" + std::to_string(problem.mark.line + 1), problem.msg)};
  }
}

YamlReader::YamlReader(const YAML::Node& map, std::string place, Findings* findings)
    : m_map(map), m_place(std::move(place)), m_findings(*findings) {
  if (!m_map.IsMap()) AddFinding(m_map, "", "must be a map of keys and values");
}

bool YamlReader::Has(const std::string& key) const {
  return m_map.IsMap() && m_map[key].IsDefined();
}

YAML::Node YamlReader::Find(const std::string& key) {
  m_requested_keys.insert(key);
  return Has(key) ? m_map[key] : YAML::Node(YAML::NodeType::Undefined);
}

YAML::Node YamlReader::Required(const std::string& key) {
  YAML::Node node = Find(key);
  if (!node.IsDefined()) AddFinding(m_map, key, "is missing");
  return node;
}

void YamlReader::AddFinding(const YAML::Node& node, const std::string& key,
                            const std::string& problem) {
  const YAML::Mark mark = node.IsDefined() ? node.Mark() : m_map.Mark();
  std::string place = m_place + ":" + std::to_string(mark.line + 1);
  if (!key.empty()) place += ": " + key;
  m_findings.emplace_back(place, problem);
}

std::string YamlReader::Text(const std::string& key) {
  const YAML::Node node = Required(key);
  if (!node.IsDefined()) return {};
  if (!node.IsScalar() || node.Scalar().empty()) {
    AddFinding(node, key, "must be a non-empty string");
    return {};
  }
  return node.Scalar();
}

std::string YamlReader::Text(const std::string& key, const std::string& default_value) {
  return Find(key).IsDefined() ? Text(key) : default_value;
}

std::string YamlReader::Choice(const std::string& key, const std::vector<std::string>& allowed) {
  const YAML::Node node = Find(key);
  if (!node.IsDefined()) return allowed.front();
  std::string word = node.IsScalar() ? node.Scalar() : "";
  if (std::find(allowed.begin(), allowed.end(), word) != allowed.end()) return word;
  AddFinding(node, key, "is '" + word + "'; allowed are " + Join(allowed));
  return allowed.front();
}

std::int64_t YamlReader::Integer(const std::string& key, std::int64_t default_value,
                                 std::int64_t min_value, std::int64_t max_value) {
  const YAML::Node node = Find(key);
  if (!node.IsDefined()) return default_value;
  std::int64_t value = 0;
  const bool whole = node.IsScalar() && YAML::convert<std::int64_t>::decode(node, value);
  if (whole && value >= min_value && value <= max_value) return value;
  AddFinding(node, key,
             "must be a whole number from " + std::to_string(min_value) + " to " +
                 std::to_string(max_value));
  return default_value;
}

double YamlReader::Number(const std::string& key, double default_value, double min_value,
                          double max_value) {
  const YAML::Node node = Find(key);
  if (!node.IsDefined()) return default_value;
  double value = 0;
  const bool number = node.IsScalar() && YAML::convert<double>::decode(node, value);
  if (number && std::isfinite(value) && value >= min_value && value <= max_value) return value;
  AddFinding(
      node, key,
      "must be a number from " + std::to_string(min_value) + " to " + std::to_string(max_value));
  return default_value;
}

Duration YamlReader::Millis(const std::string& key, Duration default_value, std::int64_t min_value,
                            std::int64_t max_value) {
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(default_value).count();
  return std::chrono::milliseconds(Integer(key, millis, min_value, max_value));
}

bool YamlReader::Boolean(const std::string& key, bool default_value) {
  const YAML::Node node = Find(key);
  if (!node.IsDefined()) return default_value;
  bool value = false;
  if (node.IsScalar() && YAML::convert<bool>::decode(node, value)) return value;
  AddFinding(node, key, "must be true or false");
  return default_value;
}

Address YamlReader::SocketAddress(const std::string& key) {
  const YAML::Node node = Required(key);
  if (!node.IsDefined()) return {};
  const auto address = node.IsScalar() ? Address::Parse(node.Scalar()) : std::nullopt;
  if (address) return *address;
  AddFinding(node, key, "must be IPv4:port, such as 127.0.0.1:7001");
  return {};
}

std::vector<Address> YamlReader::SocketAddresses(const std::string& key) {
  const YAML::Node node = Find(key);
  std::vector<Address> addresses;
  if (!node.IsDefined()) return addresses;
  if (!node.IsSequence()) {
    AddFinding(node, key, "must be a list of addresses");
    return addresses;
  }
  for (const YAML::Node& element : node) {
    const auto address = element.IsScalar() ? Address::Parse(element.Scalar()) : std::nullopt;
    if (address) {
      addresses.push_back(*address);
    } else {
      AddFinding(element, key, "must be IPv4 addresses with ports, such as 127.0.0.1:7001");
    }
  }
  return addresses;
}

void YamlReader::RejectUnknownKeys() {
  if (!m_map.IsMap()) return;
  for (const auto& item : m_map) {
    const std::string key = item.first.IsScalar() ? item.first.Scalar() : "?";
    if (m_requested_keys.count(key) == 0) {
      AddFinding(
          item.first, key,
          "is not known; known keys are " +
              Join(std::vector<std::string>(m_requested_keys.begin(), m_requested_keys.end())));
    }
  }
}

}  // namespace sapphireflow
