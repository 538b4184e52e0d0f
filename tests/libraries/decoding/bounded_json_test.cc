// What is accepted of other processes' JSON and CBOR, and at what cost.
#include "libraries/decoding/bounded_json.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <limits>
#include <ostream>
#include <string>
#include <vector>

namespace balsam::decoding {
namespace {

using nlohmann::json;

std::string ToCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

// An array in an array, and so on.
std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string NestedCbor(std::size_t depth) {
  return std::string(depth - 1, '\x81') + '\x80';
}

// The greatest size that this process had in memory.
std::size_t PeakBytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<std::size_t>(usage.ru_maxrss) << 10;
}

const std::vector<json>& Values() {
  static const std::vector<json> kValues = {
      nullptr,
      true,
      0,
      23,
      24,
      255,
      256,
      65536,
      -1,
      -1000,
      std::uint64_t{1} << 63,
      std::numeric_limits<std::int64_t>::min(),
      "",
      "text",
      std::string(300, 'x'),
      "[{\"\\",
      json::array(),
      json::object(),
      {1, {2, {3, "]"}}, {{"a", {{"b", json::array({1, false})}}}}},
  };
  return kValues;
}

TEST(BoundedJsonTest, ReadsWhatIsWritten) {
  for (const json& value : Values()) {
    EXPECT_EQ(ParseJson(value.dump()), value);
    EXPECT_EQ(ParseJson(value.dump(2)), value);
    EXPECT_EQ(ParseCbor(ToCbor(value)), value);
  }
}

TEST(BoundedJsonTest, RefusesIncompleteCbor) {
  for (const json& value : Values()) {
    const std::string bytes = ToCbor(value);
    EXPECT_TRUE(ParseCbor(bytes + '\0').is_discarded());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_TRUE(ParseCbor(bytes.substr(0, size)).is_discarded()) << value;
    }
  }
}

TEST(BoundedJsonTest, RefusesWhatIsNestedTooDeeply) {
  EXPECT_TRUE(ParseJson(Nested(kMaxDepth)).is_array());
  EXPECT_TRUE(ParseJson(Nested(kMaxDepth + 1)).is_discarded());
  EXPECT_TRUE(ParseCbor(NestedCbor(kMaxDepth)).is_array());
  EXPECT_TRUE(ParseCbor(NestedCbor(kMaxDepth + 1)).is_discarded());
  // Brackets in strings are text.
  const json text = Nested(1000);
  EXPECT_EQ(ParseJson(text.dump()), text);
  EXPECT_EQ(ParseJson(R"(["\"[[[", "\\", "[[["])").size(), 3U);
  // Arrays beside each other are not nested.
  std::string beside = "[";
  for (int i = 0; i < 1000; ++i) beside += "[[]],";
  EXPECT_EQ(ParseJson(beside + "0]").size(), 1001U);
}

TEST(BoundedJsonTest, RefusesTooManyValues) {
  json values = json::array();
  for (std::size_t i = 0; i + 1 < kMaxValues; ++i) values.push_back(0);
  EXPECT_EQ(ParseJson(values.dump()).size(), kMaxValues - 1);
  EXPECT_EQ(ParseCbor(ToCbor(values)).size(), kMaxValues - 1);
  values.push_back(0);
  values.push_back(0);
  EXPECT_TRUE(ParseJson(values.dump()).is_discarded());
  EXPECT_TRUE(ParseCbor(ToCbor(values)).is_discarded());
}

// A machine has 88 MB. The parser of nlohmann::json takes 78 MB for a text of
// brackets as large as the largest record of the store, before it refuses it.
TEST(BoundedJsonTest, SmallTextTakesLittleMemory) {
  constexpr std::size_t kTextBytes = 1 << 20;
  const std::string brackets(kTextBytes, '[');
  std::string objects;
  while (objects.size() < kTextBytes) objects += R"({"a":)";
  const std::size_t before = PeakBytes();
  EXPECT_TRUE(ParseJson(brackets).is_discarded());
  EXPECT_TRUE(ParseJson(objects).is_discarded());
  EXPECT_TRUE(ParseJson(Nested(kTextBytes / 2)).is_discarded());
  EXPECT_LT(PeakBytes() - before, std::size_t{4} << 20);
}

TEST(BoundedJsonTest, LongTextTakesBoundedMemory) {
  constexpr std::size_t kTextBytes = 8 << 20;
  const auto repeated = [](const std::string& item) {
    std::string text = "[";
    while (text.size() < kTextBytes) text += item;
    return text + "0]";
  };
  const std::vector<std::string> texts = {repeated("0,"), repeated("[],"),
                                          repeated("{},"), repeated("\"\",")};
  const std::size_t before = PeakBytes();
  for (const std::string& text : texts) {
    EXPECT_TRUE(ParseJson(text).is_discarded());
  }
  EXPECT_LT(PeakBytes() - before, std::size_t{4} << 20);
}

struct OddBytes {
  const char* name;
  std::string bytes;
};

void PrintTo(const OddBytes& odd, std::ostream* out) { *out << odd.name; }

class OddCborTest : public testing::TestWithParam<OddBytes> {};

TEST_P(OddCborTest, IsRefused) {
  EXPECT_TRUE(ParseCbor(GetParam().bytes).is_discarded());
}

// Lengths are 2^60 and 2^64 - 1.
INSTANTIATE_TEST_SUITE_P(
    Bytes, OddCborTest,
    testing::Values(
        OddBytes{"Empty", ""}, OddBytes{"ArrayOfUnknownLength", "\x9f\xff"},
        OddBytes{"MapOfUnknownLength", "\xbf\xff"},
        OddBytes{"TextOfUnknownLength", "\x7f\x61x\xff"},
        OddBytes{"BytesOfUnknownLength", "\x5f\x41x\xff"},
        OddBytes{"Bytes", "\x41x"}, OddBytes{"Tag", std::string("\xc1\0", 2)},
        OddBytes{"Undefined", "\xf7"},
        OddBytes{"HalfFloat", std::string("\xf9\x7c\0", 3)},
        OddBytes{"Float", std::string("\xfa\x7f\x80\0\0", 5)},
        OddBytes{"Double", std::string("\xfb\x7f\xf0\0\0\0\0\0\0", 9)},
        OddBytes{"ReservedArgument", "\x1c"}, OddBytes{"Break", "\xff"},
        OddBytes{"LongArray",
                 std::string("\x9b\x10\0\0\0\0\0\0\0", 9) + "\x01"},
        OddBytes{"LongestArray", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff\x01"},
        OddBytes{"LongMap", std::string("\xbb\x10\0\0\0\0\0\0\0", 9) + "\x01"},
        OddBytes{"LongestMap", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff\x01"},
        OddBytes{"LongText", std::string("\x7b\x10\0\0\0\0\0\0\0", 9) + "x"},
        OddBytes{"LongestText", "\x7b\xff\xff\xff\xff\xff\xff\xff\xffx"},
        OddBytes{"NumberAsKey", "\xa1\x01\x02"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace balsam::decoding
