// Metrics in the Prometheus text format.
#include <catch2/catch.hpp>
#include <regex>
#include <sstream>
#include <string>

#include "sapphireflow/observe/metrics.h"

using namespace sapphireflow;

TEST_CASE("every line of the metrics is a counter, gauge or distribution sample") {
  Metrics metrics;
  metrics.IncrementCounter("jobs_total", "verdict", "completed", 3);
  metrics.IncrementCounter("starts_total", "outcome", "ok");
  metrics.SetGauge("admitted_share", "priority", "all", 1);
  metrics.SetGauge("admitted_share", "priority", "all", 0.25);
  metrics.RecordResponse("quotes", std::chrono::milliseconds(20));
  const std::regex sample(
      R"(sapphireflow_[a-z_]+\{[a-z]+="[^"]*"(,quantile="0\.[0-9]+")?\} [0-9.e+]+)");
  const std::string rendered = metrics.Render();
  CHECK(rendered.find("sapphireflow_admitted_share{priority=\"all\"} 0.25\n") != std::string::npos);
  std::istringstream text(rendered);
  int lines = 0;
  for (std::string line; std::getline(text, line); ++lines) {
    INFO(line);
    CHECK(std::regex_match(line, sample));
  }
  CHECK(lines == 2 + 1 + 6);
}

TEST_CASE("kinds beyond the limit share one distribution") {
  Metrics metrics;
  for (int i = 0; i < 2000; ++i) {
    metrics.RecordResponse("queue-" + std::to_string(i), std::chrono::milliseconds(1));
  }
  const std::string text = metrics.Render();
  CHECK(text.find("kind=\"queue-0\"") != std::string::npos);
  CHECK(text.find("kind=\"queue-1999\"") == std::string::npos);
  CHECK(text.find("sapphireflow_response_ms_count{kind=\"other\"} ") != std::string::npos);
}
