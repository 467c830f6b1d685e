// BoundedLog under load: it never blocks, limits its volume and reports the lines it dropped.
#include <algorithm>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "sapphireflow/transport/bounded_log.h"

using namespace sapphireflow;

namespace {

// blocks in Write until Unblock is called
class BlockingSink : public LogSink {
 public:
  void Write(Instant /*at*/, const LogEvent& event) override {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [this] { return m_unblocked; });
    m_lines.push_back(event.Line());
  }
  void Flush() override {}
  void Unblock() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_unblocked = true;
    m_changed.notify_all();
  }
  std::vector<std::string> lines() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_lines;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_unblocked = false;
  std::vector<std::string> m_lines;
};

class FixedClock : public Clock {
 public:
  Instant Now() const override { return now; }
  Instant now = FromUnixMillis(1700000000000);
};

LogEvent Event(int number) {
  return {LogLevel::kInfo, "answered", {{"job", std::to_string(number)}}};
}

}  // namespace

TEST_CASE("a blocked sink does not block writers, and drops are reported") {
  const auto sink = std::make_shared<BlockingSink>();
  const FixedClock clock;
  {
    BoundedLog log(sink, clock, LogLimits(1000, 10));
    for (int i = 0; i < 500; ++i) log.Write(Event(i));
    sink->Unblock();
  }
  const auto lines = sink->lines();
  REQUIRE(lines.size() >= 11);
  CHECK(lines.size() <= 40);
  CHECK(lines[0] == "event=answered job=0");
  CHECK(std::any_of(lines.begin(), lines.end(), [](const std::string& line) {
    return line.find("event=log_lines_left_out lines=") == 0;
  }));
}

TEST_CASE("closing the log does not wait for a sink whose reader is gone") {
  const auto sink = std::make_shared<BlockingSink>();
  const FixedClock clock;
  {
    BoundedLog log(sink, clock, LogLimits(1000, 10));
    log.Write(Event(1));
  }
  CHECK(sink->lines().empty());
  // lets the detached writer thread finish
  sink->Unblock();
}

TEST_CASE("each level has its own maximum of lines per second") {
  const auto sink = std::make_shared<BlockingSink>();
  sink->Unblock();
  FixedClock clock;
  {
    BoundedLog log(sink, clock, LogLimits(5, 1000));
    for (int i = 0; i < 50; ++i) log.Write(Event(i));
    log.Write(LogEvent(LogLevel::kWarning, "worker_lost", {}));
    clock.now += std::chrono::seconds(1);
    for (int i = 100; i < 150; ++i) log.Write(Event(i));
  }
  const auto lines = sink->lines();
  CHECK(std::count(lines.begin(), lines.end(), "event=worker_lost") == 1);
  CHECK(std::count_if(lines.begin(), lines.end(), [](const std::string& line) {
          return line.find("event=answered") == 0;
        }) == 10);
}
