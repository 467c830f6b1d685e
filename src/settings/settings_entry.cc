// Part of settings: reads and validates the settings of `sapphireflow-entry`.
#include "sapphireflow/settings/entry_settings.h"
#include "sapphireflow/settings/yaml_reader.h"

namespace sapphireflow {
namespace {

constexpr std::size_t kMinKeyLength = 16;
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxMillis = 3600000;

std::string ReadKey(YamlReader& reader, const std::string& key) {
  std::string secret = reader.Text(key);
  if (!secret.empty() && secret.size() < kMinKeyLength) {
    reader.Complain(reader.Required(key), key,
                    "must have at least " + std::to_string(kMinKeyLength) + " characters");
  }
  return secret;
}

EntryLimits ReadLimits(YamlReader& reader) {
  const EntryLimits defaults;
  return {
      static_cast<int>(reader.Whole("http_threads", defaults.http_threads(), 1, kMaxThreads)),
      static_cast<int>(reader.Whole("worker_threads", defaults.worker_threads(), 1, kMaxThreads)),
      static_cast<ShardIndex>(reader.Whole("shards", defaults.shards(), 1, kMaxThreads)),
      static_cast<std::size_t>(reader.Whole(
          "max_body_bytes", static_cast<std::int64_t>(defaults.max_body_bytes()), 1024, 8 << 20)),
      reader.Millis("drain_limit_ms", defaults.drain_limit(), 1, kMaxMillis),
      reader.Text("log_file", "")};
}

ShardOptions ReadPolicies(YamlReader& reader) {
  const ShardOptions defaults;
  // The first element of each list is the default.
  return {reader.Word("admission", {defaults.admission(), "open"}),
          reader.Word("order", {defaults.order(), "fifo", "earliest-deadline"}),
          reader.Word("placement", {defaults.placement(), "random", "round-robin"}),
          reader.Word("outliers", {defaults.outliers(), "trusting"}),
          reader.Word("retry", {defaults.retry(), "none"}),
          reader.Millis("retention_ms", defaults.retention(), 1000, kMaxMillis),
          reader.Millis("reply_margin_ms", defaults.reply_margin(), 0, 1000),
          reader.Flag("borrowing", defaults.borrowing())};
}

MembershipOptions ReadMembership(YamlReader& reader) {
  const MembershipOptions defaults;
  return {reader.Millis("heartbeat_ms", defaults.heartbeat_interval(), 10, 60000),
          reader.Millis("silence_ms", defaults.silence(), 20, 600000),
          reader.Millis("list_lag_ms", defaults.list_lag(), 100, kMaxMillis)};
}

}  // namespace

Checked<EntrySettings> ReadEntrySettings(const std::string& text, const std::string& name) {
  Findings findings;
  const auto loaded = LoadYaml(text, name);
  if (const auto* fault = std::get_if<Findings>(&loaded)) return *fault;
  const auto& root = std::get<YAML::Node>(loaded);
  YamlReader reader(root, name, &findings);
  const std::string zone = reader.Text("zone");
  const Address http = reader.Location("http_address");
  const Address peer = reader.Location("peer_address");
  const Address platform = reader.Location("platform_address");
  const EntryAddresses addresses(http, peer, platform, reader.Locations("peers"));
  const std::string peer_key = ReadKey(reader, "peer_key");
  const std::string operator_key = ReadKey(reader, "operator_key");
  const EntryLimits limits = ReadLimits(reader);
  const ShardOptions policies = ReadPolicies(reader);
  const MembershipOptions membership = ReadMembership(reader);
  if (membership.silence() < 2 * membership.heartbeat_interval()) {
    reader.Complain(root, "silence_ms", "must be at least twice heartbeat_ms");
  }
  reader.Finish();
  if (!findings.empty()) return findings;
  return EntrySettings(zone, addresses, peer_key, operator_key, limits, policies, membership);
}

}  // namespace sapphireflow
