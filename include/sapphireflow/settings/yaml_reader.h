// Part of settings: reads a YAML map key by key and collects all problems with their lines.
#ifndef SAPPHIREFLOW_SETTINGS_YAML_READER_H_
#define SAPPHIREFLOW_SETTINGS_YAML_READER_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/error.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @param name file name used in the locations of findings
/// @return the document, or a finding with the line of the syntax error. Complexity: linear.
Validated<YAML::Node> LoadYaml(const std::string& text, const std::string& name);

/// @brief Reads one map of a YAML document. Keys that were never requested are reported by
/// `RejectUnknownKeys`.
class YamlReader {
 public:
  /// @param place file and, for nested maps, the path of keys
  /// @param findings must outlive the reader
  YamlReader(const YAML::Node& map, std::string place, Findings* findings);

  bool Has(const std::string& key) const;
  /// @brief Returns the value of a required key.
  YAML::Node Required(const std::string& key);
  std::string Text(const std::string& key);
  std::string Text(const std::string& key, const std::string& default_value);
  /// @brief Returns one of `allowed`; the first one is the default if the key is missing.
  std::string Choice(const std::string& key, const std::vector<std::string>& allowed);
  std::int64_t Integer(const std::string& key, std::int64_t default_value, std::int64_t min_value,
                       std::int64_t max_value);
  double Number(const std::string& key, double default_value, double min_value, double max_value);
  Duration Millis(const std::string& key, Duration default_value, std::int64_t min_value,
                  std::int64_t max_value);
  bool Boolean(const std::string& key, bool default_value);
  Address SocketAddress(const std::string& key);
  std::vector<Address> SocketAddresses(const std::string& key);
  /// @brief Adds a finding for every key that was not requested.
  void RejectUnknownKeys();
  void AddFinding(const YAML::Node& node, const std::string& key, const std::string& problem);

 private:
  YAML::Node Find(const std::string& key);

  const YAML::Node m_map;
  const std::string m_place;
  Findings& m_findings;
  std::set<std::string> m_requested_keys;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SETTINGS_YAML_READER_H_
