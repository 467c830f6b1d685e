// Part of routing: messages from peers, and effects of shards that cross shards or entry VMs.
#include <algorithm>
#include <utility>

#include "sapphireflow/routing/node.h"

namespace sapphireflow {

void Node::Hear(const Heartbeat& heartbeat, Instant now, NodeEffects& out) {
  const HeartbeatResult news = m_peers.MergeHeartbeat(heartbeat, now);
  if (const auto& replaced = news.replaced()) {
    EnterAll(HomeGone(*replaced), now, out);
    // what the old process was asked is asked again, to learn that it is gone or who succeeds it
    for (const Forwarded& open : m_forwards.TakeByTarget(replaced->address())) {
      Dispatch(open.request(), open.reply_by(), now, out);
    }
  }
  if (heartbeat.table_version() > m_table.Version()) {
    out.emplace_back(
        SendPeer(heartbeat.from().address(), TableRequest(m_self.address(), m_table.Version())));
  }
  // a new, draining or returned peer changes whose home the workers have
  if (news.members_changed()) AssignOwnWorkers(now, out);
}

void Node::Hear(const ForwardJob& forward, Instant now, NodeEffects& out) {
  if (m_peers.FindRoute(forward.job().home(), now).kind() == Route::Kind::kLocal) {
    Decide(forward, now, out);
    return;
  }
  out.emplace_back(
      SendPeer(forward.waiter().at(),
               WrongHome(forward.waiter().token(), forward.job(), m_self,
                         m_peers.KnowsHandovers(now), m_peers.NoteFor(forward.job().home()))));
}

void Node::Hear(const ReplyAnswer& reply, Instant /*now*/, NodeEffects& out) {
  // a reply that comes after its request was given up goes nowhere
  const auto open = m_forwards.Take(reply.waiter().token());
  if (!open || open->request().job() != reply.job()) return;
  out.emplace_back(CallerReply(reply.waiter().token(), reply.answer()));
}

void Node::Hear(const ReplyJournal& reply, Instant /*now*/, NodeEffects& out) {
  const auto open = m_forwards.Take(reply.waiter().token());
  if (!open || open->request().job() != reply.job()) return;
  out.emplace_back(CallerReply(reply.waiter().token(), reply.journal()));
}

void Node::Hear(const WrongHome& wrong, Instant now, NodeEffects& out) {
  const auto open = m_forwards.Take(wrong.token());
  if (!open || open->request().job() != wrong.job()) return;
  const ForwardJob& request = open->request();
  if (wrong.note()) m_peers.AddNote(*wrong.note());
  const Route route = m_peers.FindRoute(wrong.job().home(), now);
  const bool elsewhere =
      route.kind() == Route::Kind::kRemote && route.address() != wrong.self().address();
  if (elsewhere || route.kind() == Route::Kind::kLocal) {
    Dispatch(request, open->reply_by(), now, out);
    return;
  }
  if (!wrong.informed()) {
    const Error cause(ErrorId::kHomeUnreachable, "the home's address was taken by a new process");
    Reply(request.waiter(), request.job(), JobAnswer::Unknown(cause), out);
    return;
  }
  // another process answers at the home's address: the home is gone for good
  const std::size_t tasks = request.spec() ? request.spec()->tasks().size() : 0;
  const Error cause(ErrorId::kHomeGone, "the job's home was replaced; its tasks may have run");
  Reply(request.waiter(), request.job(),
        JobAnswer(Verdict::kFailed, cause,
                  std::vector<TaskOutcome>(tasks, TaskOutcome(TaskFate::kMayHaveRun, ""))),
        out);
}

void Node::Hear(const AskSlots& ask, Instant now, NodeEffects& out) {
  // the fullest shard lends first; a short one would only answer with nothing
  Shard* best = m_shards.front().get();
  for (const auto& shard : m_shards) {
    if (shard->Digest().free_slots() > best->Digest().free_slots()) best = shard.get();
  }
  Enter(*best, ask, now, out);
}

void Node::Hear(const GrantSlots& grant, Instant now, NodeEffects& out) {
  // loans to an earlier process at this address end with their leases
  if (grant.borrower().node() != m_self) return;
  Enter(*m_shards[grant.borrower().shard() % m_shards.size()], grant, now, out);
}

void Node::Hear(const ReturnSlots& returned, Instant now, NodeEffects& out) {
  if (returned.lender().node() != m_self) return;
  Enter(*m_shards[returned.lender().shard() % m_shards.size()], returned, now, out);
}

void Node::Hear(const TableRequest& request, Instant /*now*/, NodeEffects& out) {
  const TablePtr table = m_table.Current();
  if (!table || table->version() <= request.known_version()) return;
  out.emplace_back(SendPeer(request.from(), UseTable(table)));
}

void Node::Hear(const UseTable& table, Instant now, NodeEffects& out) {
  PutInForce(table.table(), now, out);
}

void Node::Carry(const StartAttempt& effect, Instant /*now*/, NodeEffects& out) {
  out.emplace_back(effect);
}

void Node::Carry(const StopAttempts& effect, Instant /*now*/, NodeEffects& out) {
  out.emplace_back(effect);
}

void Node::Carry(const ReplyAnswer& effect, Instant now, NodeEffects& out) {
  if (effect.waiter().at() == m_self.address()) {
    Hear(effect, now, out);
  } else {
    out.emplace_back(SendPeer(effect.waiter().at(), effect));
  }
}

void Node::Carry(const ReplyJournal& effect, Instant now, NodeEffects& out) {
  if (effect.waiter().at() == m_self.address()) {
    Hear(effect, now, out);
  } else {
    out.emplace_back(SendPeer(effect.waiter().at(), effect));
  }
}

void Node::Carry(const AskSlots& effect, Instant now, NodeEffects& out) {
  // the same rule at every scale: a sibling shard, then a peer in the zone, then another zone
  for (const auto& sibling : m_shards) {
    if (sibling.get() == m_shards[effect.borrower().shard()].get()) continue;
    if (sibling->Digest().free_slots() == 0) continue;
    Enter(*sibling, effect, now, out);
    return;
  }
  const auto lender =
      effect.far() ? m_peers.ChooseLender(effect.count(), now) : std::optional<Address>();
  if (lender) {
    out.emplace_back(SendPeer(*lender, effect));
    return;
  }
  Carry(GrantSlots(effect.borrower(), {}), now, out);
}

void Node::Carry(const GrantSlots& effect, Instant now, NodeEffects& out) {
  if (effect.borrower().node() == m_self) {
    Enter(*m_shards[effect.borrower().shard()], effect, now, out);
  } else {
    out.emplace_back(SendPeer(effect.borrower().node().address(), effect));
  }
}

void Node::Carry(const ReturnSlots& effect, Instant now, NodeEffects& out) {
  if (effect.lender().node() == m_self) {
    Enter(*m_shards[effect.lender().shard()], effect, now, out);
  } else {
    out.emplace_back(SendPeer(effect.lender().node().address(), effect));
  }
}

void Node::Carry(const JobSettled& effect, Instant /*now*/, NodeEffects& out) {
  out.emplace_back(effect);
}

void Node::Carry(const AttemptWasted& effect, Instant /*now*/, NodeEffects& out) {
  out.emplace_back(effect);
}

void Node::Carry(const WakeShard& effect, Instant /*now*/, NodeEffects& out) {
  out.emplace_back(effect);
}

}  // namespace sapphireflow
