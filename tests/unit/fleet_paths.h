// The network and the store of a simulated fleet, as single members meet them.
#ifndef SAPPHIREFLOW_TESTS_UNIT_FLEET_PATHS_H_
#define SAPPHIREFLOW_TESTS_UNIT_FLEET_PATHS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "sapphireflow/model/worker_listing.h"

namespace sapphireflow::simulation {

// what a member reads from the store for a time
struct StoreView {
  Instant until{};
  std::set<Address> missing_workers;
  std::set<Address> missing_members;
  // an outdated list in place of the current one
  WorkerListings outdated;
};

// the path from a member to a worker, or back
struct WorkerPath {
  Instant until{};
  // share of the calls or replies that are lost until then
  double loss = 0;
  // whether what is lost arrives once the path is whole again
  bool is_held = false;
};

struct LinkCut {
  Instant until{};
  bool is_held = false;
};

// a link whose connections break again and again
struct FlappingLink {
  Instant until{};
  // connections are refused before
  Instant opens_at{};
  // when the sender notices that its connection was refused or has broken
  Instant loss_noted_at{};
  // how many more messages arrive on the current connection
  std::size_t allowance = 0;
  // bound of the above for new connections
  std::size_t max_allowance = 0;
  // whether heartbeats always arrive, and the first other message beyond the allowance breaks the
  // connection; otherwise the connection stalls until the next break
  bool favours_heartbeats = false;
  // whether a connection was opened since the last break
  bool is_used = false;
};

class FleetPaths {
 public:
  using ToWorker = std::pair<std::size_t, Address>;
  using Link = std::pair<std::size_t, std::size_t>;

  bool IsLinkCut(std::size_t from, std::size_t to, Instant now) const {
    const auto found = m_links.find({from, to});
    return found != m_links.end() && now < found->second.until;
  }
  const LinkCut& CutOf(std::size_t from, std::size_t to) const { return m_links.at({from, to}); }
  void CutLink(std::size_t from, std::size_t to, LinkCut cut) {
    m_links.insert_or_assign(Link(from, to), cut);
  }

  // returns null unless the link flaps
  FlappingLink* FlappingOf(std::size_t from, std::size_t to, Instant now) {
    const auto found = m_flapping.find({from, to});
    return found == m_flapping.end() || found->second.until <= now ? nullptr : &found->second;
  }
  FlappingLink& Flap(std::size_t from, std::size_t to, const FlappingLink& link) {
    return m_flapping.insert_or_assign(Link(from, to), link).first->second;
  }

  // messages in transit are lost when the link is reset
  std::uint32_t LinkGeneration(std::size_t from, std::size_t to) const {
    const auto found = m_generations.find({from, to});
    return found == m_generations.end() ? 0 : found->second;
  }
  void ResetLink(std::size_t from, std::size_t to) { ++m_generations[{from, to}]; }

  const WorkerPath* RequestPath(std::size_t node, const Address& worker, Instant now) const {
    return Find(m_requests, node, worker, now);
  }
  const WorkerPath* ReplyPath(std::size_t node, const Address& worker, Instant now) const {
    return Find(m_replies, node, worker, now);
  }
  void HarmRequests(std::size_t node, const Address& worker, WorkerPath path) {
    m_requests.insert_or_assign(ToWorker(node, worker), path);
  }
  void HarmReplies(std::size_t node, const Address& worker, WorkerPath path) {
    m_replies.insert_or_assign(ToWorker(node, worker), path);
  }

  // workers that carry out a share of their orders late
  void MakeLate(const Address& worker, WorkerPath path) { m_late.insert_or_assign(worker, path); }
  const WorkerPath* LateOf(const Address& worker, Instant now) const {
    const auto found = m_late.find(worker);
    return found == m_late.end() || found->second.until <= now ? nullptr : &found->second;
  }

  // whether callers and the store are out of the member's reach
  bool IsAlone(std::size_t node, Instant now) const {
    const auto found = m_alone.find(node);
    return found != m_alone.end() && now < found->second;
  }
  void SetAlone(std::size_t node, Instant until) { m_alone[node] = until; }

 private:
  static const WorkerPath* Find(const std::map<ToWorker, WorkerPath>& paths, std::size_t node,
                                const Address& worker, Instant now) {
    const auto found = paths.find({node, worker});
    return found == paths.end() || found->second.until <= now ? nullptr : &found->second;
  }

  std::map<Link, LinkCut> m_links;
  std::map<Link, FlappingLink> m_flapping;
  std::map<Link, std::uint32_t> m_generations;
  std::map<ToWorker, WorkerPath> m_requests;
  std::map<ToWorker, WorkerPath> m_replies;
  std::map<Address, WorkerPath> m_late;
  std::map<std::size_t, Instant> m_alone;
};

}  // namespace sapphireflow::simulation

#endif  // SAPPHIREFLOW_TESTS_UNIT_FLEET_PATHS_H_
