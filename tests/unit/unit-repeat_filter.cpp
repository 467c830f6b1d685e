// Tests of RepeatFilter: which occurrences are new.
#include <catch2/catch.hpp>
#include <string>

#include "sapphireflow/observe/repeat_filter.h"

using namespace sapphireflow;

TEST_CASE("an occurrence is new once the key has not occurred for the retention time") {
  const auto at = [](int millis) { return FromUnixMillis(1700000000000 + millis); };
  RepeatFilter<std::string> filter(std::chrono::milliseconds(500));
  CHECK(filter.IsNew("a", at(0)));
  CHECK_FALSE(filter.IsNew("a", at(100)));
  CHECK(filter.IsNew("b", at(100)));
  // repetitions extend the time
  CHECK_FALSE(filter.IsNew("a", at(550)));
  CHECK_FALSE(filter.IsNew("a", at(1040)));
  CHECK(filter.IsNew("b", at(1040)));
  CHECK(filter.IsNew("a", at(1540)));
}
