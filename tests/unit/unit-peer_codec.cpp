// Peer messages survive a round trip; bytes that are not a message are rejected.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "sapphireflow/codec/peer_codec.h"

using namespace sapphireflow;

namespace {

NodeId AnyNode() {
  return {Address(*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()),
          *rc::gen::arbitrary<std::uint64_t>()};
}
Instant AnyTime() { return FromUnixMillis(*rc::gen::inRange<std::int64_t>(0, 4000000000000)); }
JobId AnyJob() {
  return {AnyNode(), *rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint64_t>(),
          AnyTime()};
}
std::string AnyText() { return *rc::gen::container<std::string>(rc::gen::inRange('a', 'z')); }
JobAnswer AnyAnswer() {
  return {*rc::gen::element(Verdict::kComplete, Verdict::kFailed, Verdict::kUnknown),
          Error(ErrorId::kTaskFailed, AnyText()),
          {TaskOutcome(TaskFate::kRan, AnyText()), TaskOutcome(TaskFate::kMayHaveRun, "")}};
}
Worker AnyWorker() {
  return {Address(1, 2), AnyText(), AnyText(), 8, ResourceSpec(1, 2, 3), false};
}

void CheckRoundTrip(const PeerMessage& message) {
  const auto read = DecodePeerMessage(EncodePeerMessage(message));
  RC_ASSERT(std::holds_alternative<PeerMessage>(read));
  RC_ASSERT(std::get<PeerMessage>(read) == message);
}

}  // namespace

TEST_CASE("every kind of message is decoded to what was encoded") {
  CHECK(rc::check("heartbeat", [] {
    CheckRoundTrip(Heartbeat(AnyNode(), AnyText(), 7, 9, true, false,
                             {SuccessorNote(AnyNode(), AnyNode(), AnyTime())}, {Address(1, 2)}));
  }));
  CHECK(rc::check("job", [] {
    const auto spec = std::make_shared<JobSpec>(
        AnyText(), AnyTime(), true,
        std::vector<Task>{Task(AnyText(), AnyText(), ResourceSpec(), Duration(5))});
    CheckRoundTrip(ForwardJob(Waiter(Address(1, 2), 3), AnyJob(), JobRequestKind::kStop, spec));
    CheckRoundTrip(
        ForwardJob(Waiter(Address(1, 2), 3), AnyJob(), JobRequestKind::kExplain, nullptr));
  }));
  CHECK(rc::check("answers", [] {
    CheckRoundTrip(
        ReplyAnswer(Waiter(Address(1, 2), 3), AnyJob(), std::make_shared<JobAnswer>(AnyAnswer())));
    CheckRoundTrip(
        ReplyJournal(Waiter(Address(1, 2), 3), AnyJob(),
                     {JournalEntry(AnyTime(), Decision::kStarted, 1, Address(4, 5), AnyText())}));
    CheckRoundTrip(
        WrongHome(4, AnyJob(), AnyNode(), true, SuccessorNote(AnyNode(), AnyNode(), AnyTime())));
    CheckRoundTrip(WrongHome(4, AnyJob(), AnyNode(), false, std::nullopt));
  }));
  CHECK(rc::check("slots", [] {
    const SlotLoan loan(ShardAddress(AnyNode(), 1), 5, AnyWorker(), AnyTime());
    CheckRoundTrip(RequestSlots(ShardAddress(AnyNode(), 2), 6, ResourceSpec(), AnyTime(), true));
    CheckRoundTrip(GrantSlots(ShardAddress(AnyNode(), 2), {loan, loan}));
    CheckRoundTrip(
        ReturnSlots(ShardAddress(AnyNode(), 2), {LoanReturn(loan, SlotOutcome::kFailed)}));
  }));
  CHECK(rc::check("handover and table", [] {
    const InheritJobs jobs(AnyTime(), {InheritedJob(AnyJob(), 9, AnyAnswer()),
                                       InheritedJob(AnyJob(), 9, std::nullopt)});
    CheckRoundTrip(Handover(AnyNode(), 1, 2, true, jobs));
    CheckRoundTrip(HandoverReply(AnyNode(), 3, false));
    CheckRoundTrip(TableRequest(Address(1, 2), 5));
  }));
}

TEST_CASE("bytes that are not a message are rejected") {
  CHECK(rc::check("noise", [](const std::string& noise) {
    const auto read = DecodePeerMessage(noise);
    RC_ASSERT(std::holds_alternative<Error>(read));
    RC_ASSERT(std::get<Error>(read).id() == ErrorId::kMalformedMessage);
  }));
  const std::string whole = EncodePeerMessage(HandoverReply(NodeId(Address(1, 2), 3), 4, true));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK(std::holds_alternative<Error>(DecodePeerMessage(whole.substr(0, size))));
  }
}
