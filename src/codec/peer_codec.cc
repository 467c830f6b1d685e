// Part of codec: each message is a CBOR array whose first element is the type tag.
#include "sapphireflow/codec/peer_codec.h"

#include <array>
#include <exception>
#include <map>
#include <memory>
#include <utility>

#include "sapphireflow/codec/cbor_nesting.h"
#include "sapphireflow/codec/json_values.h"

namespace sapphireflow {
namespace {

using detail::Json;
using detail::Write;

Json WriteSuccessorNote(const SuccessorNote& note) {
  return {Write(note.old_home()), Write(note.successor()), Write(note.expires_at())};
}

SuccessorNote ReadSuccessorNote(const Json& json) {
  return {detail::ReadNodeId(json.at(0)), detail::ReadNodeId(json.at(1)),
          detail::ReadInstant(json.at(2))};
}

Json WriteWaiter(const Waiter& waiter) { return {Write(waiter.at()), waiter.token()}; }

Waiter ReadWaiter(const Json& json) {
  return {detail::ReadAddress(json.at(0)), json.at(1).get<RequestToken>()};
}

Json Encode(const Heartbeat& m) {
  Json notes = Json::array();
  for (const SuccessorNote& note : m.notes()) notes.push_back(WriteSuccessorNote(note));
  return {"beat",
          Write(m.from()),
          m.zone(),
          m.table_version(),
          m.free_slots(),
          m.draining(),
          m.store_reached(),
          std::move(notes),
          detail::WriteList(m.leaving())};
}

PeerMessage DecodeHeartbeat(const Json& j) {
  return Heartbeat(detail::ReadNodeId(j.at(1)), j.at(2).get<std::string>(),
                   j.at(3).get<std::uint64_t>(), j.at(4).get<std::uint32_t>(), j.at(5).get<bool>(),
                   j.at(6).get<bool>(), detail::ReadList(j.at(7), ReadSuccessorNote),
                   detail::ReadList(j.at(8), detail::ReadAddress));
}

Json Encode(const ForwardJob& m) {
  return {"job", WriteWaiter(m.waiter()), Write(m.job()), static_cast<int>(m.question()),
          m.spec() ? Write(*m.spec()) : Json()};
}

PeerMessage DecodeForwardJob(const Json& j) {
  JobSpecPtr spec;
  if (!j.at(4).is_null()) spec = std::make_shared<JobSpec>(detail::ReadJobSpec(j.at(4)));
  return ForwardJob(ReadWaiter(j.at(1)), detail::ReadJobId(j.at(2)),
                    detail::ReadEnum(j.at(3), JobRequestKind::kExplain), std::move(spec));
}

Json Encode(const ReplyAnswer& m) {
  return {"answer", WriteWaiter(m.waiter()), Write(m.job()), Write(m.answer())};
}

PeerMessage DecodeReplyAnswer(const Json& j) {
  return ReplyAnswer(ReadWaiter(j.at(1)), detail::ReadJobId(j.at(2)),
                     std::make_shared<JobAnswer>(detail::ReadJobAnswer(j.at(3))));
}

Json Encode(const ReplyJournal& m) {
  return {"journal", WriteWaiter(m.waiter()), Write(m.job()), Write(m.journal())};
}

PeerMessage DecodeReplyJournal(const Json& j) {
  return ReplyJournal(ReadWaiter(j.at(1)), detail::ReadJobId(j.at(2)),
                      detail::ReadJournal(j.at(3)));
}

Json Encode(const WrongHome& m) {
  return {"wrong-home",    m.token(),           Write(m.job()),
          Write(m.self()), m.knows_handovers(), m.note() ? WriteSuccessorNote(*m.note()) : Json()};
}

PeerMessage DecodeWrongHome(const Json& j) {
  std::optional<SuccessorNote> note;
  if (!j.at(5).is_null()) note = ReadSuccessorNote(j.at(5));
  return WrongHome(j.at(1).get<RequestToken>(), detail::ReadJobId(j.at(2)),
                   detail::ReadNodeId(j.at(3)), j.at(4).get<bool>(), note);
}

Json Encode(const RequestSlots& m) {
  return {"ask", Write(m.borrower()), m.count(), Write(m.needs()), Write(m.until()), m.ask_peers()};
}

PeerMessage DecodeRequestSlots(const Json& j) {
  return RequestSlots(detail::ReadShardAddress(j.at(1)), j.at(2).get<std::uint32_t>(),
                      detail::ReadResourceSpec(j.at(3)), detail::ReadInstant(j.at(4)),
                      j.at(5).get<bool>());
}

Json Encode(const GrantSlots& m) {
  return {"grant", Write(m.borrower()), detail::WriteList(m.loans())};
}

PeerMessage DecodeGrantSlots(const Json& j) {
  return GrantSlots(detail::ReadShardAddress(j.at(1)),
                    detail::ReadList(j.at(2), detail::ReadSlotLoan));
}

Json Encode(const ReturnSlots& m) {
  return {"return", Write(m.lender()), detail::WriteList(m.returns())};
}

PeerMessage DecodeReturnSlots(const Json& j) {
  return ReturnSlots(detail::ReadShardAddress(j.at(1)),
                     detail::ReadList(j.at(2), detail::ReadLoanReturn));
}

Json Encode(const TableRequest& m) { return {"want-table", Write(m.from()), m.known_version()}; }

PeerMessage DecodeTableRequest(const Json& j) {
  return TableRequest(detail::ReadAddress(j.at(1)), j.at(2).get<std::uint64_t>());
}

Json Encode(const UseTable& m) { return {"table", Write(*m.table())}; }

PeerMessage DecodeUseTable(const Json& j) {
  return UseTable(std::make_shared<Table>(detail::ReadTable(j.at(1))));
}

Json Encode(const Handover& m) {
  return {"handover", Write(m.from()), m.shard(), m.part(), m.last(), Write(m.jobs())};
}

PeerMessage DecodeHandover(const Json& j) {
  return Handover(detail::ReadNodeId(j.at(1)), j.at(2).get<ShardIndex>(),
                  j.at(3).get<std::uint32_t>(), j.at(4).get<bool>(),
                  detail::ReadInheritJobs(j.at(5)));
}

Json Encode(const HandoverReply& m) { return {"taken", Write(m.successor()), m.part(), m.taken()}; }

PeerMessage DecodeHandoverReply(const Json& j) {
  return HandoverReply(detail::ReadNodeId(j.at(1)), j.at(2).get<std::uint32_t>(),
                       j.at(3).get<bool>());
}

using Decoder = PeerMessage (*)(const Json&);

const std::map<std::string, Decoder>& Decoders() {
  static const auto* const decoders = new std::map<std::string, Decoder>{
      {"beat", DecodeHeartbeat},          {"job", DecodeForwardJob},
      {"answer", DecodeReplyAnswer},      {"journal", DecodeReplyJournal},
      {"wrong-home", DecodeWrongHome},    {"ask", DecodeRequestSlots},
      {"grant", DecodeGrantSlots},        {"return", DecodeReturnSlots},
      {"want-table", DecodeTableRequest}, {"table", DecodeUseTable},
      {"handover", DecodeHandover},       {"taken", DecodeHandoverReply}};
  return *decoders;
}

// in the order of the alternatives in `PeerMessage`
constexpr std::array<const char*, std::variant_size_v<PeerMessage>> kNames = {
    "beat",  "job",    "answer",     "journal", "wrong-home", "ask",
    "grant", "return", "want-table", "table",   "handover",   "taken"};

}  // namespace

const char* PeerMessageName(const PeerMessage& message) { return kNames.at(message.index()); }

std::string EncodePeerMessage(const PeerMessage& message) {
  const Json json = std::visit([](const auto& m) { return Encode(m); }, message);
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Result<PeerMessage> DecodePeerMessage(const std::string& bytes) {
  if (!detail::IsCborNestingBounded(bytes)) {
    return Error(ErrorId::kMalformedMessage, "the message nests too deep");
  }
  try {
    const Json json = Json::from_cbor(bytes);
    const auto decoder = Decoders().find(json.at(0).get<std::string>());
    if (decoder == Decoders().end()) {
      return Error(ErrorId::kMalformedMessage, "the message type is unknown");
    }
    return decoder->second(json);
  } catch (const std::exception& problem) {
    return Error(ErrorId::kMalformedMessage, problem.what());
  }
}

}  // namespace sapphireflow
