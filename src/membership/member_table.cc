// Part of membership: members in touch and owners of workers.
#include "sapphireflow/membership/member_table.h"

#include <algorithm>

#include "sapphireflow/membership/home_choice.h"
#include "sapphireflow/ownership/order_limits.h"

namespace sapphireflow {
namespace {

constexpr Duration kBeatInterval = std::chrono::milliseconds(150);
// with many members beats to other zones are fewer, so that a VM's share does not grow with them
constexpr Duration kBeatTimePerMember = std::chrono::milliseconds(8);
constexpr Duration kLongestBeatInterval = std::chrono::milliseconds(300);
// members out of touch are called on less often
constexpr Duration kSilentBeatInterval = std::chrono::milliseconds(500);
// shorter than a lease of one second, so that a new owner comes before runs lapse, and than the
// second and more after which a caller hands a job in again
constexpr int kBeatsToSilence = 4;
constexpr Duration kLongestSilence = std::chrono::milliseconds(1000);
// a new member is counted in for so long before its first beat: processes start within a second
constexpr Duration kFirstTrust = std::chrono::milliseconds(1500);
// members that were killed together are back within a second; a cut heals in seconds
constexpr Duration kDeputizeMostAfter = std::chrono::milliseconds(2500);
constexpr std::size_t kBeatsRemembered = 16;
// processor time that a VM spends on its callers' jobs; docs/CAPACITY.md has the measurement. Only
// what is left of its share counts for commanding workers.
constexpr std::uint32_t kCoordinatingMilliCores = 50;
// one that is neither listed nor heard is forgotten
constexpr Duration kForgetAfter = std::chrono::seconds(15);

}  // namespace

MemberTable::MemberTable(MemberListing self) : m_self(std::move(self)) {}

MemberChanges MemberTable::OnListed(const std::vector<MemberListing>& members, Instant now) {
  MemberChanges changes;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto& [address, member] : m_members) member.listed = false;
  for (const MemberListing& listing : members) {
    if (listing.node().address() == m_self.node().address()) continue;
    const auto [place, is_new] = m_members.try_emplace(listing.node().address());
    Member& member = place->second;
    member.listed = true;
    if (!is_new) continue;
    member.node = listing.node();
    member.zone = listing.zone();
    member.milli_cores = listing.milli_cores();
    member.in_touch = true;
    member.trusted_until = now + kFirstTrust;
    member.echoed_at = now;
    changes.emplace_back(MemberChange::Kind::kJoined, member.node, "listed");
  }
  return changes;
}

MemberChanges MemberTable::OnBeat(const MemberBeat& beat, Instant now) {
  MemberChanges changes;
  std::lock_guard<std::mutex> lock(m_mutex);
  const NodeId& from = beat.from().node();
  const auto [place, is_new] = m_members.try_emplace(from.address());
  Member& member = place->second;
  if (!is_new && member.node != from) {
    // another process at the same address
    if (from.incarnation() < member.node.incarnation() && member.heard_sequence > 0 &&
        now - member.heard_at < SilenceOf(member)) {
      return changes;
    }
    if (member.heard_sequence > 0) {
      changes.emplace_back(MemberChange::Kind::kLost, member.node, "restarted");
    }
    Member fresh;
    fresh.listed = member.listed;
    // our beats to this address may have reached the new process before: they go on counting
    fresh.sent_sequence = member.sent_sequence;
    fresh.sent = member.sent;
    member = fresh;
  }
  const bool first = member.heard_sequence == 0;
  member.node = from;
  member.zone = beat.from().zone();
  member.milli_cores = beat.from().milli_cores();
  if (first) {
    member.its_link_losses = beat.link_losses();
    member.echoed_at = now;
  }
  member.heard_at = now;
  member.heard_sequence = std::max(member.heard_sequence, beat.sequence());
  // an echo of more than was sent is one of this VM's former process
  if (beat.echo() > member.echoed && beat.echo() <= member.sent_sequence) {
    member.echoed = beat.echo();
    member.echoed_at = now;
  }
  const bool joined = !member.in_touch && now - member.echoed_at <= SilenceOf(member);
  if (joined) member.in_touch = true;
  if (joined) changes.emplace_back(MemberChange::Kind::kJoined, member.node, "heard");
  if (beat.draining() && !member.draining) {
    member.draining = true;
    changes.emplace_back(MemberChange::Kind::kDraining, member.node, "draining");
  }
  if (beat.link_losses() > member.its_link_losses) {
    member.its_link_losses = beat.link_losses();
    changes.emplace_back(MemberChange::Kind::kLinkLost, member.node, "its_link");
  }
  return changes;
}

Duration MemberTable::BeatInterval(const Member& member) const {
  if (member.zone == m_self.zone()) return kBeatInterval;
  const auto members = static_cast<std::int64_t>(m_members.size());
  return std::clamp<Duration>(kBeatTimePerMember * members, kBeatInterval, kLongestBeatInterval);
}

Duration MemberTable::SilenceOf(const Member& member) const {
  return std::min(kBeatsToSilence * BeatInterval(member), kLongestSilence);
}

void MemberTable::OnLinkDown(const Address& peer, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(peer);
  if (found == m_members.end()) return;
  Member& member = found->second;
  ++member.own_link_losses;
  // calls at once, so that a process that has ended shows
  member.next_beat = std::min(member.next_beat, now + kBeatInterval / 3);
  member.link_lost = true;
}

void MemberTable::Lose(Member& member, const std::string& why, MemberChanges& changes) const {
  member.in_touch = false;
  changes.emplace_back(MemberChange::Kind::kLost, member.node, why);
}

MemberChanges MemberTable::OnTick(Instant now) {
  MemberChanges changes;
  std::lock_guard<std::mutex> lock(m_mutex);
  m_ticked_at = now;
  for (auto item = m_members.begin(); item != m_members.end();) {
    Member& member = item->second;
    if (member.in_touch && member.link_lost && member.heard_sequence > 0) {
      changes.emplace_back(MemberChange::Kind::kLinkLost, member.node, "own_link");
    }
    member.link_lost = false;
    if (member.in_touch) {
      const bool heard = member.heard_sequence > 0;
      if (heard && now - member.heard_at > SilenceOf(member)) {
        Lose(member, "silent", changes);
      } else if (heard && now - member.echoed_at > SilenceOf(member)) {
        // a link that works one way only is of no use
        Lose(member, "deaf", changes);
      }
      if (!heard && now > member.trusted_until) Lose(member, "never_heard", changes);
    } else if (!member.listed && now - member.heard_at > kForgetAfter) {
      item = m_members.erase(item);
      continue;
    }
    ++item;
  }
  if (!MostOutOfTouch()) {
    m_most_lost_at.reset();
  } else if (!m_most_lost_at) {
    m_most_lost_at = now;
  }
  return changes;
}

void MemberTable::SetDraining() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_draining = true;
  for (auto& [address, member] : m_members) member.next_beat = Instant{};
}

void MemberTable::SetWorkers(const WorkerListings& workers) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_workers.clear();
  for (const WorkerListing& worker : workers) m_workers.emplace(worker.id(), worker);
}

std::uint64_t MemberTable::HeardSequence(const NodeId& member) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(member.address());
  return found == m_members.end() ? 0 : found->second.heard_sequence;
}

bool MemberTable::IsFresh(const NodeId& sender, std::uint64_t echo, Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_members.find(sender.address());
  if (found == m_members.end()) return false;
  const auto& sent = found->second.sent;
  const auto beat = std::find_if(sent.begin(), sent.end(),
                                 [echo](const auto& item) { return item.first == echo; });
  return beat != sent.end() && now - beat->second <= kOldestOrder;
}

std::vector<BeatAddress> MemberTable::DueBeats(Instant now) {
  std::vector<BeatAddress> beats;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto& [address, member] : m_members) {
    if (now < member.next_beat) continue;
    member.next_beat = now + (member.in_touch ? BeatInterval(member) : kSilentBeatInterval);
    const bool deaf = member.in_touch && member.heard_sequence > 0 &&
                      now - member.echoed_at > SilenceOf(member) * 3 / 4 &&
                      now - member.link_reset_at > SilenceOf(member) * 3 / 4;
    if (deaf) member.link_reset_at = now;
    member.sent.emplace_back(member.sent_sequence + 1, now);
    if (member.sent.size() > kBeatsRemembered) member.sent.pop_front();
    beats.emplace_back(address, ++member.sent_sequence, member.heard_sequence,
                       member.own_link_losses, deaf);
  }
  return beats;
}

void MemberTable::OnStoreAnswer(Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_store_answer_at = now;
}

bool MemberTable::Isolated() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return IsolatedLocked();
}

bool MemberTable::IsolatedLocked() const {
  return m_most_lost_at && (m_store_answer_at <= *m_most_lost_at ||
                            m_ticked_at - *m_most_lost_at < kDeputizeMostAfter);
}

bool MemberTable::MostOutOfTouch() const {
  const auto in_touch = std::count_if(m_members.begin(), m_members.end(),
                                      [](const auto& item) { return item.second.in_touch; });
  return 2 * in_touch < static_cast<std::ptrdiff_t>(m_members.size());
}

MemberTable::Owners MemberTable::OwnersLocked(bool lost_too) const {
  Owners owners;
  const auto add = [&owners](const Address& address, const std::string& zone,
                             std::uint32_t milli_cores) {
    const std::uint32_t spare =
        milli_cores > kCoordinatingMilliCores ? milli_cores - kCoordinatingMilliCores : 1;
    const HomeCandidate candidate(address, spare);
    owners.by_zone[zone].push_back(candidate);
    owners.all.push_back(candidate);
  };
  if (!m_draining) add(m_self.node().address(), m_self.zone(), m_self.milli_cores());
  for (const auto& [address, member] : m_members) {
    if ((member.in_touch || lost_too) && !member.draining) {
      add(address, member.zone, member.milli_cores);
    }
  }
  return owners;
}

std::optional<NodeId> MemberTable::OwnerOfLocked(const WorkerListing& worker,
                                                 const Owners& owners) const {
  if (owners.all.empty()) return std::nullopt;
  const auto in_zone = owners.by_zone.find(worker.zone());
  const HomeCandidates& candidates = in_zone == owners.by_zone.end() ? owners.all : in_zone->second;
  const Address home = ChooseHome(worker.address(), candidates);
  return home == m_self.node().address() ? m_self.node() : m_members.at(home).node;
}

WorkerAssignment MemberTable::OwnWorkers() const {
  WorkerListings own;
  std::set<WorkerId> deputized;
  std::lock_guard<std::mutex> lock(m_mutex);
  const Owners usual = OwnersLocked(true);
  // who is cut off leaves the workers of the others alone, since they may well serve on
  const bool isolated = IsolatedLocked();
  const Owners present = isolated ? usual : OwnersLocked(false);
  const bool all_present = present.all.size() == usual.all.size();
  for (const auto& [id, worker] : m_workers) {
    if (OwnerOfLocked(worker, present) != m_self.node()) continue;
    own.push_back(worker);
    if (!all_present && OwnerOfLocked(worker, usual) != m_self.node()) deputized.insert(id);
  }
  return {std::move(own), std::move(deputized)};
}

std::optional<NodeId> MemberTable::OwnerOf(const WorkerId& worker) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_workers.find(worker);
  if (found == m_workers.end()) return std::nullopt;
  return OwnerOfLocked(found->second, OwnersLocked(IsolatedLocked()));
}

std::vector<Address> MemberTable::InTouch(bool own_zone) const {
  std::vector<Address> addresses;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [address, member] : m_members) {
    if (member.in_touch && (member.zone == m_self.zone()) == own_zone) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

}  // namespace sapphireflow
