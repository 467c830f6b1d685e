// How the faults of a simulated fleet come about. Part of fleet_simulation.h, which includes it.
#ifndef SAPPHIREFLOW_TESTS_UNIT_FLEET_DISRUPTIONS_H_
#define SAPPHIREFLOW_TESTS_UNIT_FLEET_DISRUPTIONS_H_

#include "fleet_simulation.h"

namespace sapphireflow::simulation {

inline Instant Fleet::FaultTime() {
  if (!m_faults.together) return kStart + Millis(500.0 + Pick(8000));
  return kStart + Millis(1500.0 + 3000.0 * Pick(3) + Pick(700));
}

inline double Fleet::RandomClockRate() { return 1 - m_faults.clock_slowness * 0.01 * Pick(101); }

inline Instant Fleet::SlowUntil(std::size_t node) const {
  const auto found = m_slow_until.find(node);
  return found == m_slow_until.end() ? Instant{} : found->second;
}

inline void Fleet::ScheduleLiteralFaults() {
  At(kStart + Millis(450), [this] { PublishMembers(); });
  for (int i = 0; i < m_faults.partial_worker_cuts; ++i) {
    At(FaultTime(), [this] { CutWorkerPartly(); });
  }
  for (int i = 0; i < m_faults.worker_crashes; ++i) {
    At(FaultTime(), [this] {
      FleetWorker& worker = PickWorker();
      if (!worker.is_down) Crash(worker);
    });
  }
  for (int i = 0; i < m_faults.resets; ++i) {
    At(FaultTime(), [this] { ResetAll(); });
  }
  for (int i = 0; i < m_faults.late_periods; ++i) {
    At(FaultTime(), [this] {
      const Instant until = m_now + Millis(1000.0 + Pick(5000));
      const double share = 0.1 * (1 + Pick(9));
      const bool everywhere = Chance(0.3);
      for (const auto& [address, worker] : m_workers) {
        if (everywhere || Chance(0.4)) m_paths.MakeLate(address, {until, share, true});
      }
    });
  }
  for (int i = 0; i < m_faults.freezes; ++i) {
    At(FaultTime(), [this] { Freeze(Pick(m_node_count)); });
  }
  for (int i = 0; i < m_faults.giver_losses; ++i) {
    At(FaultTime(), [this] { LoseGiver(); });
  }
  for (int i = 0; i < m_faults.kill_pairs; ++i) {
    At(FaultTime(), [this] { KillPair(); });
  }
  for (int i = 0; i < m_faults.kills_beside_freezes; ++i) {
    At(FaultTime(), [this] { KillBesideFreezes(); });
  }
  for (int i = 0; i < m_faults.slowings; ++i) {
    At(FaultTime(),
       [this] { m_slow_until[Pick(m_node_count)] = m_now + Millis(1000.0 + Pick(4000)); });
  }
  for (int i = 0; i < m_faults.link_cuts; ++i) {
    At(FaultTime(), [this] {
      const std::size_t from = Pick(m_node_count);
      const std::size_t to = Pick(m_node_count);
      if (from != to) CutLink(from, to, m_now + Millis(300.0 + Pick(5000)), Chance(0.5));
    });
  }
  for (int i = 0; i < m_faults.flapping_members; ++i) {
    At(FaultTime(), [this] { FlapLinks(); });
  }
  for (int i = 0; i < m_faults.lone_cuts; ++i) {
    At(FaultTime(), [this] { CutAlone(); });
  }
  for (int i = 0; i < m_faults.store_lapses; ++i) {
    At(FaultTime(), [this] { LapseStore(); });
  }
}

inline void Fleet::SendThroughCut(std::size_t node, std::size_t target,
                                  const DispatchMessage& message) {
  const LinkCut& cut = m_paths.CutOf(node, target);
  if (!cut.is_held) {
    After(Millis(0.3), [this, node, target, epoch = m_epochs[node]] {
      FeedIfAlive(node, epoch, LinkDown(m_members[target].node().address()));
    });
    return;
  }
  // sent again by the network until the cut ends, unless the link is reset before
  Instant& last = m_link_times[{node, target}];
  last = std::max(last, cut.until + Millis(0.3));
  Deliver(last, node, target, message);
}

inline Fleet::Transit Fleet::TransitTo(std::size_t node, const Address& worker) {
  Transit transit;
  if (!m_faults.Literal()) return transit;
  transit.born = m_workers.at(worker).born;
  if (const WorkerPath* path = m_paths.RequestPath(node, worker, m_now)) {
    if (Chance(path->loss)) {
      transit.is_lost = !path->is_held || Chance(0.5);
      transit.delay = path->until - m_now;
      return transit;
    }
  }
  if (const WorkerPath* late = m_paths.LateOf(worker, m_now)) {
    if (Chance(late->loss)) transit.delay = Millis(2000.0 + Pick(10000));
  }
  return transit;
}

// The connection of an order ends with the process that was to get it.
inline bool Fleet::IsOfEarlierLife(const Transit& transit, const FleetWorker& worker) {
  return transit.delay > Duration::zero() && transit.born != worker.born;
}

inline bool Fleet::IsReplyLost(std::size_t node, const Address& worker) {
  if (!m_faults.Literal()) return false;
  const WorkerPath* path = m_paths.ReplyPath(node, worker, m_now);
  return path != nullptr && Chance(path->loss);
}

inline WorkerListings Fleet::ListingsFor(std::size_t node) const {
  const auto found = m_store_views.find(node);
  if (found == m_store_views.end() || found->second.until <= m_now) return CurrentListings();
  const StoreView& view = found->second;
  if (!view.outdated.empty()) return view.outdated;
  WorkerListings listings;
  for (const WorkerListing& listing : CurrentListings()) {
    if (view.missing_workers.count(listing.address()) == 0) listings.push_back(listing);
  }
  return listings;
}

inline std::vector<MemberListing> Fleet::MembersFor(std::size_t node) const {
  const auto found = m_store_views.find(node);
  if (found == m_store_views.end() || found->second.until <= m_now) return m_members;
  std::vector<MemberListing> listings;
  for (const MemberListing& listing : m_members) {
    if (found->second.missing_members.count(listing.node().address()) > 0) continue;
    listings.push_back(listing);
  }
  return listings;
}

inline void Fleet::PublishMembers() {
  for (std::size_t i = 0; i < m_node_count; ++i) {
    if (!m_paths.IsAlone(i, m_now)) Feed(i, MembersListed(MembersFor(i)));
  }
  After(Millis(700), [this] { PublishMembers(); });
}

// The caller of an open request leaves, and submits its job again at another member.
inline void Fleet::BreakOff(RequestToken token, bool is_told) {
  const auto found = m_tokens.find(token);
  if (found == m_tokens.end()) return;
  const JobKey key = found->second;
  const std::size_t node = m_token_nodes.at(token);
  m_tokens.erase(found);
  if (is_told) Feed(node, CallerDisconnected(token));
  SubmitAfterBreak(key, node);
}

inline void Fleet::BreakCallers(std::size_t node, bool is_told) {
  std::vector<RequestToken> broken;
  for (const auto& [token, key] : m_tokens) {
    if (m_token_nodes.at(token) == node) broken.push_back(token);
  }
  for (const RequestToken token : broken) BreakOff(token, is_told);
}

inline void Fleet::CutWorkerPartly() {
  FleetWorker& worker = PickWorker();
  const Instant until = m_now + Millis(500.0 + Pick(5000));
  const std::size_t mode = Pick(4);
  const bool is_held = Chance(0.5);
  const double share = Chance(0.3) ? 1.0 : 0.2 + 0.1 * Pick(8);
  for (std::size_t node = 0; node < m_node_count; ++node) {
    if (Chance(share)) continue;
    const double loss = mode == 3 ? 0.5 : 1.0;
    if (mode != 1) m_paths.HarmRequests(node, worker.address, {until, loss, is_held});
    if (mode != 0) m_paths.HarmReplies(node, worker.address, {until, loss, false});
  }
  if (!Chance(0.5)) return;
  After(Millis(Pick(3000)), [this, &worker] {
    if (!worker.is_down) Crash(worker);
  });
}

inline void Fleet::ResetAll() {
  for (std::size_t from = 0; from < m_node_count; ++from) {
    for (std::size_t to = 0; to < m_node_count; ++to) {
      if (from == to) continue;
      m_paths.ResetLink(from, to);
      Feed(from, LinkDown(m_members[to].node().address()));
    }
    BreakCallers(from, true);
  }
  for (auto& [address, worker] : m_workers) {
    std::vector<std::function<void()>> disconnects;
    disconnects.swap(worker.disconnects);
    for (const auto& disconnect : disconnects) disconnect();
  }
}

inline void Fleet::Freeze(std::size_t node) {
  m_resume_at[node] = std::max(m_resume_at[node], m_now) + Millis(1000.0 + Pick(4000));
}

inline void Fleet::LoseGiver() {
  if (Chance(0.5)) {
    Freeze(m_last_giver);
  } else {
    KillMember(m_last_giver);
  }
}

inline void Fleet::KillForSeconds(std::size_t node) {
  const Duration down = Millis(3500);
  if (m_paths.IsAlone(node, m_now)) return;
  m_paths.SetAlone(node, m_now + down);
  ++m_epochs[node];
  m_resume_at[node] = m_now + down;
  // what was sent to the ended process is lost
  After(down, [this, node] {
    const NodeId& ended = m_members[node].node();
    ++m_epochs[node];
    m_members[node] = MemberListing(NodeId(ended.address(), ended.incarnation() + 1),
                                    m_members[node].zone(), m_members[node].milli_cores());
    m_nodes[node] = MakeNode(node);
    Feed(node, WorkersListed(CurrentListings(), m_now));
    Feed(node, MembersListed(m_members));
  });
  for (std::size_t other = 0; other < m_node_count; ++other) {
    if (other != node) Feed(other, LinkDown(m_members[node].node().address()));
  }
  BreakCallersOfEnded(node);
}

inline void Fleet::KillPair() {
  const std::size_t zone = Pick(m_zones);
  const std::size_t zone_members = (m_node_count - zone + m_zones - 1) / m_zones;
  const std::size_t first = Pick(zone_members);
  const std::size_t second = (first + 1 + Pick(zone_members - 1)) % zone_members;
  KillForSeconds(zone + m_zones * first);
  After(Millis(800), [this, node = zone + m_zones * second] { KillForSeconds(node); });
}

inline void Fleet::KillBesideFreezes() {
  const std::size_t first = Pick(m_node_count);
  for (const std::size_t node : {first, (first + 1) % m_node_count}) {
    m_resume_at[node] = std::max(m_resume_at[node], m_now + Millis(600));
  }
  const std::size_t killed = (first + 2 + Pick(m_node_count - 2)) % m_node_count;
  After(Millis(200), [this, killed] { KillForSeconds(killed); });
}

inline void Fleet::CutLink(std::size_t from, std::size_t to, Instant until, bool is_held) {
  m_paths.CutLink(from, to, {until, is_held});
}

inline void Fleet::FlapLinks() {
  const std::size_t chosen = Pick(m_node_count);
  const bool is_whole_zone = m_zones > 1 && Chance(0.3);
  const auto flaps = [&](std::size_t node) {
    return is_whole_zone ? node % m_zones == chosen % m_zones : node == chosen;
  };
  const std::size_t direction = Pick(4);
  std::vector<std::pair<std::size_t, std::size_t>> links;
  for (std::size_t node = 0; node < m_node_count; ++node) {
    for (std::size_t other = 0; other < m_node_count; ++other) {
      if (!flaps(node) || flaps(other)) continue;
      if (direction != 0) links.emplace_back(node, other);
      if (direction != 1) links.emplace_back(other, node);
    }
  }
  FlappingLink link;
  link.until = m_now + Millis(3000.0 + Pick(9000));
  link.favours_heartbeats = Chance(0.5);
  link.max_allowance = link.favours_heartbeats ? Pick(2) : 1 + Pick(6);
  const Duration period = Millis(100.0 + Pick(800));
  if (Chance(0.5)) {
    BreakAgain(links, link, period);
  } else {
    for (const auto& one : links) BreakAgain({one}, link, period);
  }
  if (!m_faults.flapping_callers) return;
  for (std::size_t node = 0; node < m_node_count; ++node) {
    if (flaps(node)) BreakCallersAgain(node, period, link.until);
  }
}

inline void Fleet::BreakAgain(const std::vector<std::pair<std::size_t, std::size_t>>& links,
                              const FlappingLink& link, Duration period) {
  const Duration refused_for = period * static_cast<int>(Pick(8)) / 10;
  for (const auto& [from, to] : links) {
    const FlappingLink* before = m_paths.FlappingOf(from, to, m_now);
    const bool is_used = before == nullptr || before->is_used;
    m_paths.ResetLink(from, to);
    FlappingLink& now = m_paths.Flap(from, to, link);
    now.opens_at = m_now + refused_for;
    now.allowance = Pick(link.max_allowance + 1);
    if (is_used) Feed(from, LinkDown(m_members[to].node().address()));
  }
  if (m_now >= link.until) return;
  After(period * static_cast<int>(8 + Pick(5)) / 10,
        [this, links, link, period] { BreakAgain(links, link, period); });
}

inline void Fleet::BreakCallersAgain(std::size_t node, Duration period, Instant until) {
  BreakCallers(node, true);
  if (m_now >= until) return;
  After(period, [this, node, period, until] { BreakCallersAgain(node, period, until); });
}

// What is lost on a connection that has stalled is noticed when it breaks.
inline bool Fleet::IsLostOnFlapping(std::size_t node, std::size_t target,
                                    const DispatchMessage& message) {
  FlappingLink* link = m_paths.FlappingOf(node, target, m_now);
  if (link == nullptr) return false;
  const bool is_refused = m_now < link->opens_at;
  const bool is_heartbeat = std::holds_alternative<MemberHeartbeat>(message);
  if (!is_refused) {
    link->is_used = true;
    if (link->favours_heartbeats && is_heartbeat) return false;
    if (link->allowance > 0) {
      --link->allowance;
      return false;
    }
    if (!link->favours_heartbeats) return true;
    m_paths.ResetLink(node, target);
    link->allowance = Pick(link->max_allowance + 1);
  }
  if (m_now < link->loss_noted_at) return true;
  link->loss_noted_at = m_now + Millis(0.3 + 0.1 * Pick(10));
  At(link->loss_noted_at, [this, node, target, epoch = m_epochs[node]] {
    FeedIfAlive(node, epoch, LinkDown(m_members[target].node().address()));
  });
  return true;
}

inline void Fleet::CutAlone() {
  const std::size_t node = Pick(m_node_count);
  const Instant until = m_now + Millis(1500.0 + Pick(4500));
  const bool is_held = Chance(0.5);
  for (std::size_t other = 0; other < m_node_count; ++other) {
    if (other == node) continue;
    CutLink(node, other, until, is_held);
    CutLink(other, node, until, is_held);
  }
  const std::size_t mode = Pick(3);
  for (const auto& [address, worker] : m_workers) {
    // none, some or all workers
    if (mode == 0 || (mode == 1 && Chance(0.5))) continue;
    m_paths.HarmRequests(node, address, {until, 1.0, is_held});
    m_paths.HarmReplies(node, address, {until, 1.0, false});
  }
  BreakCallers(node, !m_faults.untold_members || Chance(0.5));
  m_paths.SetAlone(node, until);
}

inline void Fleet::LapseStore() {
  StoreView view;
  view.until = m_now + Millis(1000.0 + Pick(6000));
  const bool all_members = Chance(0.5);
  if (Chance(0.3)) {
    view.outdated = CurrentListings();
    view.until += Millis(3000);
  } else {
    for (const auto& [address, listing] : m_listings) {
      if (Chance(0.5)) view.missing_workers.insert(address);
    }
  }
  for (const MemberListing& listing : m_members) {
    if (Chance(0.3)) view.missing_members.insert(listing.node().address());
  }
  for (std::size_t node = 0; node < m_node_count; ++node) {
    if (all_members || Chance(0.5)) m_store_views[node] = view;
  }
}

}  // namespace sapphireflow::simulation

#endif  // SAPPHIREFLOW_TESTS_UNIT_FLEET_DISRUPTIONS_H_
