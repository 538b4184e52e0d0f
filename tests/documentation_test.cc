// The operators' page lists every log event and metric that the gateway's
// sources name, so that none is met without a word on it.
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

// Names in the sources of `folders` that the first group of `pattern` matches.
std::set<std::string> NamesIn(const std::vector<std::string>& folders,
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

  // The part of the page that is about gateways; the product's other daemons
  // have tables of their own before it.
  static std::string GatewayPart() {
    const std::string page =
        ReadAll(fs::path(BALSAM_SOURCE) / "docs/OPERATIONS.md");
    const std::size_t begin = page.find("\n# Gateways");
    return begin == std::string::npos ? std::string() : page.substr(begin);
  }

  const std::string page_ = GatewayPart();
  const std::vector<std::string> gateway_ = {"services/gateway", "platform"};
};

TEST_F(DocumentationTest, EveryLogEventOfTheGatewayIsListed) {
  ExpectListed(
      NamesIn(gateway_, std::regex(R"re(LogEvent\(\s*"([a-z_]+)")re")));
}

TEST_F(DocumentationTest, EveryMetricOfTheGatewayIsListed) {
  ExpectListed(
      NamesIn(gateway_, std::regex(R"re(CountEvent\(\s*"([a-z_]+)")re")));
  ExpectListed(
      NamesIn({"services/gateway/"}, std::regex(R"re(\{"([a-z_]+)",\s)re")));
  ExpectListed(NamesIn({"libraries/telemetry"},
                       std::regex(R"re("([a-z_]+_(?:seconds|total))")re")));
}

TEST_F(DocumentationTest, EveryCauseIsListed) {
  ExpectListed(NamesIn({"libraries/explanation"},
                       std::regex(R"re(return \{"([a-z_]+)",\s)re")));
}

TEST_F(DocumentationTest, EveryReasonOfAnAnswerIsListed) {
  ExpectListed(
      NamesIn({"services/gateway"},
              std::regex(R"re((?:Answer|BreakOff)\((?:\d+, )?"([a-z_]+)")re")));
  ExpectListed(NamesIn({"services/gateway"},
                       std::regex(R"re(Rejection\{\d+, "([a-z_]+)")re")));
}

}  // namespace
}  // namespace balsam
