// Layering: the folders with decision logic must not include codecs, transport or network
// libraries.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>

TEST_CASE("decision folders include neither codec nor transport") {
  const std::regex forbidden(
      "#include [<\"](sapphireflow/(codec|transport)/|restinio|websocketpp|curl/|nlohmann)");
  int files = 0;
  for (const std::string root : {"/include/sapphireflow/", "/src/"}) {
    for (const char* module :
         {"model", "pipeline", "admission", "queueing", "placement", "execution", "membership",
          "routing", "ownership", "dispatch", "recovery"}) {
      const std::filesystem::path folder = SOURCE_ROOT + root + module;
      if (!std::filesystem::exists(folder)) continue;
      for (const auto& item : std::filesystem::recursive_directory_iterator(folder)) {
        if (!item.is_regular_file()) continue;
        ++files;
        std::ifstream input(item.path());
        for (std::string line; std::getline(input, line);) {
          INFO(item.path().string() + ": " + line);
          CHECK_FALSE(std::regex_search(line, forbidden));
        }
      }
    }
  }
  CHECK(files > 40);
}
