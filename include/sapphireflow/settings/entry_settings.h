// Part of settings: the YAML settings of `sapphireflow-entry`, validated before startup.
#ifndef SAPPHIREFLOW_SETTINGS_ENTRY_SETTINGS_H_
#define SAPPHIREFLOW_SETTINGS_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "sapphireflow/admission/ingress_limits.h"
#include "sapphireflow/execution/shard.h"
#include "sapphireflow/membership/peer_view.h"
#include "sapphireflow/model/error.h"

namespace sapphireflow {

/// @brief Addresses that the process listens on and connects to.
class EntryAddresses : public Comparable<EntryAddresses> {
 public:
  EntryAddresses() = default;
  EntryAddresses(const Address& http, const Address& peer, const Address& platform,
                 std::vector<Address> seeds)
      : m_http(http), m_peer(peer), m_platform(platform), m_seeds(std::move(seeds)) {}
  /// @brief Listening address for callers and operators.
  const Address& http() const { return m_http; }
  /// @brief Listening address for other entry VMs; encoded in job ids.
  const Address& peer() const { return m_peer; }
  const Address& platform() const { return m_platform; }
  /// @brief Peers to contact before the platform's list is available.
  const std::vector<Address>& seeds() const { return m_seeds; }
  auto Fields() const { return std::tie(m_http, m_peer, m_platform, m_seeds); }

 private:
  Address m_http;
  Address m_peer;
  Address m_platform;
  std::vector<Address> m_seeds;
};

/// @brief Thread counts, limits and log file of the process.
class EntryLimits : public Comparable<EntryLimits> {
 public:
  EntryLimits() = default;
  EntryLimits(int http_threads, int worker_threads, ShardIndex shards, std::size_t max_body_bytes,
              Duration drain_limit, std::string log_file,
              const IngressLimits& ingress = DefaultIngress())
      : m_http_threads(http_threads),
        m_worker_threads(worker_threads),
        m_shards(shards),
        m_max_body_bytes(max_body_bytes),
        m_drain_limit(drain_limit),
        m_log_file(std::move(log_file)),
        m_ingress(ingress) {}
  static constexpr std::size_t kDefaultMemoryMb = 120;
  static constexpr std::size_t kDefaultMaxDescriptors = 3075;
  static IngressLimits DefaultIngress() {
    return IngressLimits::ForMachine(kDefaultMemoryMb, kDefaultMaxDescriptors);
  }
  int http_threads() const { return m_http_threads; }
  int worker_threads() const { return m_worker_threads; }
  ShardIndex shards() const { return m_shards; }
  std::size_t max_body_bytes() const { return m_max_body_bytes; }
  Duration drain_limit() const { return m_drain_limit; }
  /// @brief Empty to log to standard error.
  const std::string& log_file() const { return m_log_file; }
  /// @brief Limits on the clients of all listeners.
  const IngressLimits& ingress() const { return m_ingress; }
  auto Fields() const {
    return std::tie(m_http_threads, m_worker_threads, m_shards, m_max_body_bytes, m_drain_limit,
                    m_log_file, m_ingress);
  }

 private:
  int m_http_threads = 2;
  int m_worker_threads = 2;
  // One shard suffices for a few hundred slots: splitting few slots over shards leaves some unused.
  ShardIndex m_shards = 1;
  std::size_t m_max_body_bytes = 1U << 20;
  Duration m_drain_limit = std::chrono::seconds(30);
  std::string m_log_file;
  IngressLimits m_ingress = DefaultIngress();
};

/// @brief All settings of an entry VM.
class EntrySettings : public Comparable<EntrySettings> {
 public:
  EntrySettings(std::string zone, EntryAddresses addresses, std::string peer_key,
                std::string operator_key, EntryLimits limits, ShardOptions policies,
                MembershipOptions membership)
      : m_zone(std::move(zone)),
        m_addresses(std::move(addresses)),
        m_peer_key(std::move(peer_key)),
        m_operator_key(std::move(operator_key)),
        m_limits(std::move(limits)),
        m_policies(std::move(policies)),
        m_membership(membership) {}
  const std::string& zone() const { return m_zone; }
  const EntryAddresses& addresses() const { return m_addresses; }
  /// @brief Secret shared by all entry VMs; also authenticates job ids.
  const std::string& peer_key() const { return m_peer_key; }
  const std::string& operator_key() const { return m_operator_key; }
  const EntryLimits& limits() const { return m_limits; }
  const ShardOptions& policies() const { return m_policies; }
  const MembershipOptions& membership() const { return m_membership; }
  auto Fields() const {
    return std::tie(m_zone, m_addresses, m_peer_key, m_operator_key, m_limits, m_policies,
                    m_membership);
  }

 private:
  std::string m_zone;
  EntryAddresses m_addresses;
  std::string m_peer_key;
  std::string m_operator_key;
  EntryLimits m_limits;
  ShardOptions m_policies;
  MembershipOptions m_membership;
};

/// @param name file name used in the locations of findings
/// @return the settings, or all problems with file, line and key.
Validated<EntrySettings> ReadEntrySettings(const std::string& text, const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SETTINGS_ENTRY_SETTINGS_H_
