// Bad settings, one by one: each gives a line with position, key and reason.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "services/entry/entry_settings.h"
#include "services/sidecar/sidecar_settings.h"

namespace balsam::settings {
namespace {

constexpr char kGood[] = R"({
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

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kGood;
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

struct BadCase {
  std::string name;
  std::string text;
  // The one line that must come.
  std::string line;

  friend void PrintTo(const BadCase& row, std::ostream* out) {
    *out << row.name;
  }
};

class BadSettingsTest : public testing::TestWithParam<BadCase> {};

TEST_P(BadSettingsTest, GivesOneLine) {
  const auto problems = Check(GetParam().text);
  ASSERT_EQ(problems.size(), 1U)
      << (problems.empty() ? "none" : problems.back().ToLine());
  EXPECT_EQ(problems[0].ToLine().substr(0, GetParam().line.size()),
            GetParam().line);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, BadSettingsTest,
    testing::Values(
        BadCase{"Syntax", Replaced("\"port\": 7001,", "\"port\": 7001;"),
                "entry.json:4:51: "},
        BadCase{"TrailingGarbage", std::string(kGood) + " x",
                "entry.json:10:3: "},
        BadCase{"DuplicateKey",
                Replaced("\"threads\": 2", "\"threads\": 2, \"threads\": 3"),
                "entry.json:4:67: \"threads\": duplicate key"},
        BadCase{"UnknownKey", Replaced("\"threads\"", "\"thraeds\""),
                "entry.json:4:53: \"thraeds\": unknown key; did you mean "
                "\"threads\"?"},
        BadCase{"WrongType", Replaced("7001", "\"7001\""),
                "entry.json:4:39: \"port\": must be a whole number"},
        BadCase{"MissingUnit", Replaced("\"5s\"", "5"),
                "entry.json:9:14: \"resume_window\": must be a duration with "
                "its unit"},
        BadCase{"NonsenseUnit", Replaced("\"5s\"", "\"5 parsecs\""),
                "entry.json:9:14: \"resume_window\": must be a whole number "
                "with unit"},
        BadCase{"OverflowingDuration",
                Replaced("\"5s\"", "\"9223372036854775807h\""),
                "entry.json:9:14: \"resume_window\": must be a whole number "
                "with unit"},
        BadCase{"OutOfRange", Replaced("7001", "70010"),
                "entry.json:4:39: \"port\": must lie between 0 and 65535"},
        BadCase{"Overflow", Replaced("7001", "99999999999999999999999"),
                "entry.json:4:39: \"port\": number overflows 64 bits"},
        BadCase{"HugeUnsigned", Replaced("7001", "18446744073709551615"),
                "entry.json:4:39: \"port\": must lie between 0 and 65535"},
        BadCase{"SameListener", Replaced("7002", "7001"),
                "entry.json:5:3: \"peers\": listens on 127.0.0.1:7001, as "
                "\"callers\" does"},
        BadCase{"Empty", "", "entry.json:1:1: the file is empty"},
        BadCase{"Blank", " \n ", "entry.json:1:1: the file is empty"},
        BadCase{"Binary", std::string("{\0}", 3),
                "entry.json:1:2: the file is binary, not JSON"},
        BadCase{"NotAnObject", "[]",
                "entry.json:1:1: the settings must be an object"},
        BadCase{"TooDeep", std::string(5000, '['), "entry.json:1:"},
        BadCase{"HostName",
                Replaced("\"callers\": {\"address\": \"127.0.0.1\"",
                         "\"callers\": {\"address\": \"localhost\""),
                "entry.json:4:15: \"address\": must be an IP number"},
        BadCase{"ShortSecret", Replaced("\"0123456789abcdef\"}", "\"short\"}"),
                "entry.json:5:51: \"key\": must have at least 16 bytes"},
        BadCase{
            "Missing",
            Replaced("\"data_center\": \"hall-tywi\"", "").replace(59, 0, ""),
            "entry.json:3:"}),
    [](const auto& row) { return row.param.name; });

TEST(SettingsTest, GoodSettingsHaveNoProblems) {
  const auto problems = Check(kGood);
  EXPECT_TRUE(problems.empty()) << problems.front().ToLine();
}

TEST(SettingsTest, EveryProblemGetsItsOwnLine) {
  std::string text = Replaced("7001", "\"x\"");
  text.replace(text.find("\"5s\""), 4, "\"5\"");
  EXPECT_EQ(Check(text).size(), 2U);
}

TEST(SettingsTest, AFileThatIsNotThereIsNamed) {
  entry::EntrySettings settings;
  const auto problems =
      entry::EntrySettings::Load("/nonexistent/entry.json", settings);
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].source, "/nonexistent/entry.json");
}

TEST(SettingsTest, AnEnginesReserveMustBeBelowItsCapacity) {
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
