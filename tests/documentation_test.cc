// Checks that the operators' page lists every log event and metric that occurs
// in the gateway's sources.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace balsam {
namespace {

namespace fs = std::filesystem;

std::string ReadAll(const fs::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the names in the sources of `folders` that match the first group of
// `pattern`.
std::set<std::string> FindNames(const std::vector<std::string>& folders,
                                const std::regex& pattern) {
  std::set<std::string> names;
  for (const std::string& folder : folders) {
    for (const auto& entry :
         fs::recursive_directory_iterator(fs::path(BALSAM_SOURCE) / folder)) {
      if (entry.path().extension() != ".cc") continue;
      const std::string text = ReadAll(entry.path());
      for (std::sregex_iterator match(text.begin(), text.end(), pattern), end;
           match != end; ++match) {
        names.insert((*match)[1]);
      }
    }
  }
  return names;
}

class DocumentationTest : public testing::Test {
 protected:
  void ExpectListed(const std::set<std::string>& names) {
    EXPECT_FALSE(names.empty());
    for (const std::string& name : names) {
      EXPECT_NE(page_.find('`' + name + '`'), std::string::npos)
          << "docs/OPERATIONS.md does not list " << name;
    }
  }

  // The part of the page about gateways. The tables of the other daemons
  // precede it.
  static std::string GatewaySection() {
    const std::string page =
        ReadAll(fs::path(BALSAM_SOURCE) / "docs/OPERATIONS.md");
    const std::size_t begin = page.find("\n# Gateways");
    return begin == std::string::npos ? std::string() : page.substr(begin);
  }

  const std::string page_ = GatewaySection();
  const std::vector<std::string> gateway_ = {"services/gateway", "platform"};
};

TEST_F(DocumentationTest, EveryLogEventOfTheGatewayIsListed) {
  ExpectListed(
      FindNames(gateway_, std::regex(R"re(LogEvent\(\s*"([a-z_]+)")re")));
}

TEST_F(DocumentationTest, EveryMetricOfTheGatewayIsListed) {
  ExpectListed(
      FindNames(gateway_, std::regex(R"re(CountEvent\(\s*"([a-z_]+)")re")));
  ExpectListed(
      FindNames({"services/gateway/"}, std::regex(R"re(\{"([a-z_]+)",\s)re")));
  ExpectListed(FindNames({"libraries/telemetry"},
                         std::regex(R"re("([a-z_]+_(?:seconds|total))")re")));
}

TEST_F(DocumentationTest, EveryCauseIsListed) {
  ExpectListed(FindNames({"libraries/explanation"},
                         std::regex(R"re(return \{"([a-z_]+)",\s)re")));
}

TEST_F(DocumentationTest, EveryResponseReasonIsListed) {
  ExpectListed(FindNames(
      {"services/gateway"},
      std::regex(
          R"re((?:Answer|BreakOff|RejectResponse)\((?:\d+, )?"([a-z_]+)")re")));
  ExpectListed(FindNames({"services/gateway"},
                         std::regex(R"re(Rejection\{\d+, "([a-z_]+)")re")));
}

}  // namespace
}  // namespace balsam
