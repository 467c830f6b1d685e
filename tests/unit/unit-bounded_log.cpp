// The log under load: never blocks, bounded, and says what it left out.
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

// a reader that stops reading until it is told to go on
class Sink : public LogSink {
 public:
  void Write(Instant /*at*/, const LogEvent& event) override {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [this] { return m_open; });
    m_lines.push_back(event.Line());
  }
  void Flush() override {}
  void Open() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_open = true;
    m_changed.notify_all();
  }
  std::vector<std::string> lines() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_lines;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_open = false;
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

TEST_CASE("a reader that stops reading blocks nobody, and is told what it missed") {
  const auto sink = std::make_shared<Sink>();
  const FixedClock clock;
  {
    BoundedLog log(sink, clock, LogLimits(1000, 10));
    for (int i = 0; i < 500; ++i) log.Write(Event(i));
    sink->Open();
  }
  const auto lines = sink->lines();
  REQUIRE(lines.size() >= 11);
  CHECK(lines.size() <= 40);
  CHECK(lines[0] == "event=answered job=0");
  CHECK(std::any_of(lines.begin(), lines.end(), [](const std::string& line) {
    return line.find("event=log_lines_left_out lines=") == 0;
  }));
}

TEST_CASE("a log that is closed does not wait for a reader that is gone") {
  const auto sink = std::make_shared<Sink>();
  const FixedClock clock;
  {
    BoundedLog log(sink, clock, LogLimits(1000, 10));
    log.Write(Event(1));
  }
  CHECK(sink->lines().empty());
  // the thread that was left behind ends with this test
  sink->Open();
}

TEST_CASE("each level has a number of lines a second") {
  const auto sink = std::make_shared<Sink>();
  sink->Open();
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
