// Part of membership: the directory entry of an entry VM process.
#ifndef SAPPHIREFLOW_MEMBERSHIP_MEMBER_LISTING_H_
#define SAPPHIREFLOW_MEMBERSHIP_MEMBER_LISTING_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/ids.h"

namespace sapphireflow {

/// @brief Directory entry that a process publishes about itself.
class MemberListing : public Comparable<MemberListing> {
 public:
  MemberListing(const NodeId& node, std::string zone, std::uint32_t milli_cores)
      : m_node(node), m_zone(std::move(zone)), m_milli_cores(milli_cores) {}
  const NodeId& node() const { return m_node; }
  const std::string& zone() const { return m_zone; }
  /// @brief CPU share of its VM, in thousandths of a core.
  std::uint32_t milli_cores() const { return m_milli_cores; }
  auto Fields() const { return std::tie(m_node, m_zone, m_milli_cores); }

 private:
  NodeId m_node;
  std::string m_zone;
  std::uint32_t m_milli_cores;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_MEMBER_LISTING_H_
