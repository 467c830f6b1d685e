// Plays one crowd of untrusted clients against a dispatch node and checks that the node stays
// within the memory and the descriptors that its settings state, and answers an ordinary request.
// Guards against a process that is ended for its memory, or hangs, because of what clients send.
#include <tclap/CmdLine.h>

#include <csignal>
#include <functional>
#include <iostream>
#include <map>

#include "crowd.h"
#include "node_under_test.h"

namespace {

using sapphireflow::Address;
using sapphireflow::ingress::Crowd;
using sapphireflow::ingress::NodeUnderTest;
using sapphireflow::ingress::Piece;
using sapphireflow::ingress::Sender;

// The numbers of clients and the lengths were fixed before the limits existed; each crowd broke a
// bound then.
constexpr std::size_t kKilo = 1000;
constexpr std::size_t kMega = 1000 * kKilo;
constexpr char kHead[] = "POST /jobs/00000000000000bb HTTP/1.1\r\nHost: soak.example\r\n";

Piece Once(std::string bytes) { return {std::make_shared<const std::string>(std::move(bytes)), 1}; }

Piece Repeated(std::string bytes, std::size_t times) {
  return {std::make_shared<const std::string>(std::move(bytes)), times};
}

// `thousands` times a thousand repetitions, each thousand sent at once
Piece Thousands(const std::string& bytes, std::size_t thousands) {
  std::string block;
  for (std::size_t i = 0; i < kKilo; ++i) block += bytes;
  return Repeated(std::move(block), thousands);
}

std::string ChunkHead(std::size_t bytes) {
  std::ostringstream text;
  text << std::hex << bytes << "\r\n";
  return text.str();
}

std::string Chunk(std::size_t bytes) { return ChunkHead(bytes) + std::string(bytes, 'x') + "\r\n"; }

Piece ChunkedHead() { return Once(std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n"); }

Piece SizedHead(std::size_t bytes) {
  return Once(std::string(kHead) + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n");
}

// within the limit of a body, without the last chunk
Sender LargeChunks(const Address& to, std::size_t clients) {
  return {to, clients, {ChunkedHead(), Repeated(Chunk(250 * kKilo), 4)}};
}

Sender SmallChunks(const Address& to, std::size_t clients) {
  return {to, clients, {ChunkedHead(), Thousands(Chunk(1), 250)}};
}

Sender UnfinishedBodies(const Address& to, std::size_t clients) {
  return {to, clients, {SizedHead(kMega), Repeated(std::string(kKilo, 'x'), kKilo - 1)}};
}

Sender DeclaredHugeBodies(const Address& to, std::size_t clients) {
  return {to, clients, {SizedHead(15 * kMega), Repeated(std::string(kKilo, 'x'), 15 * kKilo - 1)}};
}

Sender SentHugeBodies(const Address& to, std::size_t clients) {
  return {to, clients, {ChunkedHead(), Repeated(Chunk(64 * kKilo), 230)}};
}

// the last line is not ended
Sender LargeHeads(const Address& to, std::size_t clients) {
  return {to, clients, {Once(kHead), Once("X-Field: " + std::string(200 * kKilo, 'x'))}};
}

Sender EndlessHeads(const Address& to, std::size_t clients) {
  return {to, clients, {Once(kHead), Thousands("a: b\r\n", kKilo)}};
}

Sender UnfinishedHeads(const Address& to, std::size_t clients) {
  return {to, clients, {Once(kHead), Thousands("a: b\r\n", 13)}};
}

Sender EmptyLines(const Address& to, std::size_t clients) {
  return {to, clients, {Thousands("\r\n", 4 * kKilo)}};
}

std::vector<Sender> Mix(const NodeUnderTest& node) {
  const Address to = node.callers();
  return {LargeChunks(to, 40),         SmallChunks(to, 20),
          UnfinishedBodies(to, 40),    DeclaredHugeBodies(to, 5),
          SentHugeBodies(to, 5),       LargeHeads(to, 50),
          EndlessHeads(to, 20),        UnfinishedHeads(to, 100),
          EmptyLines(to, 20),          UnfinishedHeads(node.readiness(), 100),
          EmptyLines(node.peers(), 5), UnfinishedHeads(node.peers(), 100)};
}

using MakeCrowd = std::function<std::vector<Sender>(const NodeUnderTest&)>;

const std::map<std::string, MakeCrowd>& Crowds() {
  static const auto* const crowds = new std::map<std::string, MakeCrowd>{
      {"large-chunks",
       [](const auto& node) { return std::vector{LargeChunks(node.callers(), 150)}; }},
      {"small-chunks",
       [](const auto& node) { return std::vector{SmallChunks(node.callers(), 40)}; }},
      {"unfinished-bodies",
       [](const auto& node) { return std::vector{UnfinishedBodies(node.callers(), 150)}; }},
      {"declared-huge-bodies",
       [](const auto& node) { return std::vector{DeclaredHugeBodies(node.callers(), 24)}; }},
      {"sent-huge-bodies",
       [](const auto& node) { return std::vector{SentHugeBodies(node.callers(), 24)}; }},
      {"large-heads",
       [](const auto& node) { return std::vector{LargeHeads(node.callers(), 900)}; }},
      {"endless-heads",
       [](const auto& node) { return std::vector{EndlessHeads(node.callers(), 600)}; }},
      {"unfinished-heads",
       [](const auto& node) { return std::vector{UnfinishedHeads(node.callers(), 150)}; }},
      {"empty-lines",
       [](const auto& node) { return std::vector{EmptyLines(node.callers(), 600)}; }},
      {"mix", Mix}};
  return *crowds;
}

// Checks a condition and prints the failure.
class Checks {
 public:
  void Require(bool holds, const std::string& what) {
    if (holds) return;
    ++m_failed;
    std::cout << "FAIL " << what << "\n";
  }
  int failed() const { return m_failed; }

 private:
  int m_failed = 0;
};

int Play(const std::string& name, NodeUnderTest& node) {
  Checks checks;
  if (!node.Start()) {
    std::cout << "FAIL the node was not ready in time\n";
    return 1;
  }
  const double idle_mb = node.PeakResidentMb();
  Crowd crowd(Crowds().at(name)(node));
  std::size_t descriptors = 0;
  const auto count_descriptors = [&node, &descriptors] {
    descriptors = std::max(descriptors, node.CountDescriptors());
  };
  crowd.Play(count_descriptors);
  node.WaitUntilRead();
  count_descriptors();
  const double resident_mb = node.PeakResidentMb();
  const int job_status = node.SubmitJob();
  const int readiness_status = node.ProbeReadiness();
  checks.Require(node.Lives(), "the process has ended");
  checks.Require(std::max(resident_mb, node.PeakResidentMb()) <= NodeUnderTest::kMemoryMb,
                 "resident memory is over the limit");
  checks.Require(descriptors <= NodeUnderTest::kMaxDescriptors, "descriptors are over the limit");
  checks.Require(job_status != 0, "an ordinary request got no complete answer");
  checks.Require(readiness_status != 0, "the readiness probe got no complete answer");
  std::cout << name << ": " << crowd.clients() << " clients, " << crowd.sent_bytes() / kMega
            << " MB sent, " << crowd.CountOpen() << " still connected; resident " << idle_mb
            << " MB idle, " << resident_mb << " MB at most; " << descriptors
            << " descriptors; status of a job " << job_status << ", of the readiness probe "
            << readiness_status << "\n";
  return checks.failed() == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Plays one crowd of untrusted clients against a dispatch node.", ' ',
                         "test");
  TCLAP::ValueArg<std::string> program("p", "program", "executable of the dispatch node", true, "",
                                       "path", command);
  TCLAP::ValueArg<std::string> folder("f", "folder", "folder for settings and log", true, "",
                                      "path", command);
  TCLAP::ValueArg<std::string> crowd("c", "crowd", "name of the crowd", true, "", "name", command);
  TCLAP::ValueArg<std::uint32_t> slot("", "slot", "subnet of the node: 127.12.SLOT.0/24", false, 0,
                                      "slot", command);
  command.parse(argc, argv);
  if (Crowds().count(crowd.getValue()) == 0) {
    std::cerr << "there is no crowd named " << crowd.getValue() << "\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  NodeUnderTest node(program.getValue(), folder.getValue() + "/" + crowd.getValue(),
                     slot.getValue());
  return Play(crowd.getValue(), node);
}
