// Invalid settings must be reported with position, key and reason.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "libraries/settings/json_document.h"
#include "services/entry/entry_settings.h"
#include "services/sidecar/sidecar_settings.h"

namespace balsam::settings {
namespace {

constexpr char kValidSettings[] = R"({
  // Comments are allowed.
  "vm": {"id": "entry-1", "data_center": "hall-tywi"},
  "callers": {"address": "127.0.0.1", "port": 7001, "threads": 2},
  "peers": {"address": "127.0.0.1", "port": 7002, "key": "0123456789abcdef"},
  "operators": {"address": "127.0.0.1", "port": 7003,
                "key": "0123456789abcdef"},
  "platform": {"url": "http://127.0.0.1:7004"},
  "limits": {"resume_window": "5s"}
})";

std::vector<Problem> Check(const std::string& text) {
  entry::EntrySettings settings;
  return ParseSettings("entry.json", text, [&](ObjectReader& root) {
    entry::EntrySettings::Read(root, settings);
  });
}

std::string ReplaceInSettings(const std::string& from, const std::string& to) {
  std::string text = kValidSettings;
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

// The position of each problem is counted from the start of the text: a text of
// 1 MB with the same key again and again, which any caller may send, kept the
// process from everything else for minutes.
TEST(JsonDocumentTest, ReportsFirstProblemsOnly) {
  std::string text = R"({"k":0)";
  for (int i = 0; i < 150'000; ++i) text += R"(,"k":0)";
  std::vector<Problem> problems;
  JsonDocument::Parse("body", text + "}", problems);
  EXPECT_EQ(problems.size(), 100U);
  EXPECT_EQ(problems[0].ToLine(), "body:1:8: \"k\": duplicate key");
}

struct InvalidCase {
  std::string name;
  std::string text;
  // The expected start of the problem's only line.
  std::string line;

  friend void PrintTo(const InvalidCase& row, std::ostream* out) {
    *out << row.name;
  }
};

class InvalidSettingsTest : public testing::TestWithParam<InvalidCase> {};

TEST_P(InvalidSettingsTest, ReportsOneProblem) {
  const auto problems = Check(GetParam().text);
  ASSERT_EQ(problems.size(), 1U)
      << (problems.empty() ? "none" : problems.back().ToLine());
  EXPECT_EQ(problems[0].ToLine().substr(0, GetParam().line.size()),
            GetParam().line);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, InvalidSettingsTest,
    testing::Values(
        InvalidCase{"Syntax",
                    ReplaceInSettings("\"port\": 7001,", "\"port\": 7001;"),
                    "entry.json:4:51: "},
        InvalidCase{"TrailingGarbage", std::string(kValidSettings) + " x",
                    "entry.json:10:3: "},
        InvalidCase{"DuplicateKey",
                    ReplaceInSettings("\"threads\": 2",
                                      "\"threads\": 2, \"threads\": 3"),
                    "entry.json:4:67: \"threads\": duplicate key"},
        InvalidCase{"UnknownKey",
                    ReplaceInSettings("\"threads\"", "\"thraeds\""),
                    "entry.json:4:53: \"thraeds\": unknown key; did you mean "
                    "\"threads\"?"},
        InvalidCase{"WrongType", ReplaceInSettings("7001", "\"7001\""),
                    "entry.json:4:39: \"port\": must be a whole number"},
        InvalidCase{
            "MissingUnit", ReplaceInSettings("\"5s\"", "5"),
            "entry.json:9:14: \"resume_window\": must be a duration with "
            "its unit"},
        InvalidCase{
            "NonsenseUnit", ReplaceInSettings("\"5s\"", "\"5 parsecs\""),
            "entry.json:9:14: \"resume_window\": must be a whole number "
            "with unit"},
        InvalidCase{
            "OverflowingDuration",
            ReplaceInSettings("\"5s\"", "\"9223372036854775807h\""),
            "entry.json:9:14: \"resume_window\": must be a whole number "
            "with unit"},
        InvalidCase{"OutOfRange", ReplaceInSettings("7001", "70010"),
                    "entry.json:4:39: \"port\": must lie between 0 and 65535"},
        InvalidCase{"Overflow",
                    ReplaceInSettings("7001", "99999999999999999999999"),
                    "entry.json:4:39: \"port\": number overflows 64 bits"},
        InvalidCase{"HugeUnsigned",
                    ReplaceInSettings("7001", "18446744073709551615"),
                    "entry.json:4:39: \"port\": must lie between 0 and 65535"},
        InvalidCase{"SameListener", ReplaceInSettings("7002", "7001"),
                    "entry.json:5:3: \"peers\": listens on 127.0.0.1:7001, as "
                    "\"callers\" does"},
        InvalidCase{"Empty", "", "entry.json:1:1: the file is empty"},
        InvalidCase{"Blank", " \n ", "entry.json:1:1: the file is empty"},
        InvalidCase{"Binary", std::string("{\0}", 3),
                    "entry.json:1:2: the file is binary, not JSON"},
        InvalidCase{"NotAnObject", "[]",
                    "entry.json:1:1: the settings must be an object"},
        InvalidCase{"TooDeep", std::string(5000, '['), "entry.json:1:"},
        InvalidCase{
            "HostName",
            ReplaceInSettings("\"callers\": {\"address\": \"127.0.0.1\"",
                              "\"callers\": {\"address\": \"localhost\""),
            "entry.json:4:15: \"address\": must be an IP address"},
        InvalidCase{"ShortSecret",
                    ReplaceInSettings("\"0123456789abcdef\"}", "\"short\"}"),
                    "entry.json:5:51: \"key\": must have at least 16 bytes"},
        InvalidCase{"Missing",
                    ReplaceInSettings("\"data_center\": \"hall-tywi\"", "")
                        .replace(59, 0, ""),
                    "entry.json:3:"}),
    [](const auto& row) { return row.param.name; });

TEST(SettingsTest, ValidSettingsHaveNoProblems) {
  const auto problems = Check(kValidSettings);
  EXPECT_TRUE(problems.empty()) << problems.front().ToLine();
}

TEST(SettingsTest, EveryProblemIsReported) {
  std::string text = ReplaceInSettings("7001", "\"x\"");
  text.replace(text.find("\"5s\""), 4, "\"5\"");
  EXPECT_EQ(Check(text).size(), 2U);
}

TEST(SettingsTest, AMissingFileIsNamed) {
  entry::EntrySettings settings;
  const auto problems =
      entry::EntrySettings::Load("/nonexistent/entry.json", settings);
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].source, "/nonexistent/entry.json");
}

TEST(SettingsTest, TheReserveMustBeBelowTheCapacity) {
  sidecar::SidecarSettings settings;
  const auto problems = ParseSettings(
      "s.json", R"({"vm": {"id": "a", "data_center": "d"}, "service": "s",
      "peers": {"address": "127.0.0.1", "port": 1, "key": "0123456789abcdef"},
      "operators": {"address": "127.0.0.1", "port": 2,
                    "key": "0123456789abcdef"},
      "platform": {"url": "http://127.0.0.1:3"},
      "backend_server": {"url": "http://127.0.0.1:4", "kind": "engine",
                         "capacity_tokens": 10, "reserve_tokens": 10}})",
      [&](ObjectReader& root) {
        sidecar::SidecarSettings::Read(root, settings);
      });
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].key, "reserve_tokens");
}

}  // namespace
}  // namespace balsam::settings
