// Text forms of addresses and job ids.
#include <catch2/catch.hpp>

#include "sapphireflow/codec/job_id_codec.h"

using namespace sapphireflow;

TEST_CASE("an address is parsed only if it is complete") {
  CHECK(Address::Parse("127.0.0.1:7101")->text() == "127.0.0.1:7101");
  for (const char* wrong : {"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "256.0.0.1:1",
                            "1.2.3.4:5 ", "1.2.3:4", "a.b.c.d:1", "1.2.3.4:-1"}) {
    CHECK_FALSE(Address::Parse(wrong));
  }
}

TEST_CASE("a job id is read back, and any change to its text is rejected") {
  const JobIdCodec text("a key of some length");
  const JobId id(NodeId(Address(0x7f000001, 7101), 987654321), 3, 42,
                 FromUnixMillis(1700000000123));
  const std::string written = text.Write(id);
  REQUIRE(std::get<JobId>(text.Read(written)) == id);
  for (std::size_t i = 0; i < written.size(); ++i) {
    std::string forged = written;
    forged[i] = forged[i] == '0' ? '1' : '0';
    const auto read = text.Read(forged);
    REQUIRE(std::holds_alternative<Error>(read));
    CHECK(std::get<Error>(read).id() == ErrorId::kForgedId);
  }
  CHECK(std::holds_alternative<Error>(JobIdCodec("another key, as long").Read(written)));
  CHECK(std::holds_alternative<Error>(text.Read(std::string(1000, 'f'))));
}
