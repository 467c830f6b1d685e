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
    reader.AddFinding(reader.Required(key), key,
                      "must have at least " + std::to_string(kMinKeyLength) + " characters");
  }
  return secret;
}

IngressLimits ReadIngress(YamlReader& reader) {
  const RequestLimits defaults;
  const auto size = [&reader](const char* key, std::size_t fallback, std::int64_t min,
                              std::int64_t max) {
    return static_cast<std::size_t>(
        reader.Integer(key, static_cast<std::int64_t>(fallback), min, max));
  };
  const std::size_t memory_mb = size("memory_mb", EntryLimits::kDefaultMemoryMb, 64, 1 << 20);
  const std::size_t descriptors =
      size("max_fds", EntryLimits::kDefaultMaxDescriptors, 300, 1 << 20);
  // the parser itself closes connections with heads of 80 KB
  const RequestLimits request(
      size("max_head_bytes", defaults.head_bytes(), 4096, 80 << 10),
      size("max_head_fields", defaults.fields(), 32, 4096),
      size("max_chunks", defaults.chunks(), 64, 1 << 20),
      reader.Millis("head_timeout_ms", defaults.head_timeout(), 1000, kMaxMillis),
      reader.Millis("body_timeout_ms", defaults.body_timeout(), 1000, kMaxMillis));
  return IngressLimits::ForMachine(memory_mb, descriptors, request);
}

EntryLimits ReadLimits(YamlReader& reader) {
  const EntryLimits defaults;
  return {
      static_cast<int>(reader.Integer("http_threads", defaults.http_threads(), 1, kMaxThreads)),
      static_cast<int>(reader.Integer("worker_threads", defaults.worker_threads(), 1, kMaxThreads)),
      static_cast<ShardIndex>(reader.Integer("shards", defaults.shards(), 1, kMaxThreads)),
      static_cast<std::size_t>(reader.Integer(
          "max_body_bytes", static_cast<std::int64_t>(defaults.max_body_bytes()), 1024, 8 << 20)),
      reader.Millis("drain_limit_ms", defaults.drain_limit(), 1, kMaxMillis),
      reader.Text("log_file", ""),
      ReadIngress(reader)};
}

ShardOptions ReadPolicies(YamlReader& reader) {
  const ShardOptions defaults;
  // The first element of each list is the default.
  return {reader.Choice("admission", {defaults.admission(), "open"}),
          reader.Choice("order", {defaults.order(), "fifo", "earliest-deadline"}),
          reader.Choice("placement", {defaults.placement(), "random", "round-robin"}),
          reader.Choice("outliers", {defaults.outliers(), "trusting"}),
          reader.Choice("retry", {defaults.retry(), "none"}),
          reader.Millis("retention_ms", defaults.retention(), 1000, kMaxMillis),
          reader.Millis("reply_margin_ms", defaults.reply_margin(), 0, 1000),
          reader.Boolean("borrowing", defaults.borrowing())};
}

MembershipOptions ReadMembership(YamlReader& reader) {
  const MembershipOptions defaults;
  return {reader.Millis("heartbeat_ms", defaults.heartbeat_interval(), 10, 60000),
          reader.Millis("silence_ms", defaults.silence(), 20, 600000),
          reader.Millis("list_lag_ms", defaults.list_lag(), 100, kMaxMillis)};
}

}  // namespace

Validated<EntrySettings> ReadEntrySettings(const std::string& text, const std::string& name) {
  Findings findings;
  const auto loaded = LoadYaml(text, name);
  if (const auto* fault = std::get_if<Findings>(&loaded)) return *fault;
  const auto& root = std::get<YAML::Node>(loaded);
  YamlReader reader(root, name, &findings);
  const std::string zone = reader.Text("zone");
  const Address http = reader.SocketAddress("http_address");
  const Address peer = reader.SocketAddress("peer_address");
  const Address platform = reader.SocketAddress("platform_address");
  const EntryAddresses addresses(http, peer, platform, reader.SocketAddresses("peers"));
  const std::string peer_key = ReadKey(reader, "peer_key");
  const std::string operator_key = ReadKey(reader, "operator_key");
  const EntryLimits limits = ReadLimits(reader);
  const ShardOptions policies = ReadPolicies(reader);
  const MembershipOptions membership = ReadMembership(reader);
  if (membership.silence() < 2 * membership.heartbeat_interval()) {
    reader.AddFinding(root, "silence_ms", "must be at least twice heartbeat_ms");
  }
  reader.RejectUnknownKeys();
  if (!findings.empty()) return findings;
  return EntrySettings(zone, addresses, peer_key, operator_key, limits, policies, membership);
}

}  // namespace sapphireflow
