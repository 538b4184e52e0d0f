// The platform's list of VMs: what is read, and what is left out.
#include "libraries/membership/vm_list.h"

#include <gtest/gtest.h>

#include <optional>
#include <ostream>
#include <string>

namespace balsam::membership {
namespace {

std::optional<VmList> Parse(const std::string& text) {
  return TryOr(
      [&]() -> Result<std::optional<VmList>> {
        BOOST_LEAF_AUTO(list, VmList::Parse(7, text));
        return std::optional(std::move(list));
      },
      [](const Error&) { return std::optional<VmList>(); });
}

// A VM with these members beside sound ones, which they precede.
std::string VmWith(const std::string& id, const std::string& members = "") {
  return R"({"id":")" + id + R"(","data_center":"d","address":"127.0.0.1",)" +
         R"("peer_port":7001,"role":"backend","service":"s")" + members + "}";
}

std::string ListOf(const std::string& vms) {
  return R"({"vms":[)" + vms + "]}";
}

TEST(VmListTest, ReadsVms) {
  const std::string text = ListOf(
      VmWith("b") + "," + VmWith("a", R"(,"state":"leaving")") +
      R"(,{"id":"c","data_center":"d","address":"::1","peer_port":65535,)" +
      R"("role":"entry"})");
  const auto list = Parse(text);
  ASSERT_TRUE(list.has_value());
  EXPECT_EQ(list->revision(), 7U);
  EXPECT_EQ(list->text(), text);
  EXPECT_TRUE(list->problems().empty());
  ASSERT_EQ(list->vms().size(), 3U);
  EXPECT_EQ(list->vms()[0].id, "a");
  EXPECT_EQ(list->vms()[0].state, VmState::kLeaving);
  EXPECT_EQ(list->vms()[1].peer_port, 7001);
  EXPECT_EQ(list->vms()[2].role, VmRole::kEntry);
}

struct OddVm {
  const char* name;
  std::string text;
};

void PrintTo(const OddVm& odd, std::ostream* out) { *out << odd.name; }

class OddVmTest : public testing::TestWithParam<OddVm> {};

// The whole list was refused, and each later one for as long as the odd entry
// was in it: new VMs did not become known, and those that left were used
// (issue 30).
TEST_P(OddVmTest, OnlyOddVmIsLeftOut) {
  const std::string& odd = GetParam().text;
  for (const std::string& vms :
       {odd + "," + VmWith("a") + "," + VmWith("b"),
        VmWith("a") + "," + odd + "," + VmWith("b"),
        VmWith("a") + " , " + VmWith("b") + "\n," + odd + " "}) {
    const auto list = Parse(ListOf(vms));
    ASSERT_TRUE(list.has_value());
    ASSERT_EQ(list->vms().size(), 2U);
    EXPECT_EQ(list->vms()[0].id, "a");
    EXPECT_EQ(list->vms()[1].id, "b");
    ASSERT_FALSE(list->problems().empty());
    // They go to the log.
    EXPECT_LE(list->problems().size(), 6U);
    EXPECT_LT(list->problems()[0].size(), 300U);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Vms, OddVmTest,
    testing::Values(
        OddVm{"Null", "null"}, OddVm{"Number", "1e400"}, OddVm{"Array", "[]"},
        OddVm{"Empty", "{}"}, OddVm{"EmptyId", VmWith("")},
        OddVm{"PortZero", VmWith("x", R"(,"peer_port":0)")},
        OddVm{"Twice", VmWith("x", R"(,"id":"y")")},
        OddVm{"NegativePort",
              R"({"id":"x","data_center":"d","address":"127.0.0.1",)"
              R"("peer_port":-1,"role":"backend"})"},
        OddVm{"PortBeyondRange",
              R"({"id":"x","data_center":"d","address":"127.0.0.1",)"
              R"("peer_port":65536,"role":"backend"})"},
        OddVm{"PortBeyond64Bits",
              R"({"id":"x","data_center":"d","address":"127.0.0.1",)"
              R"("peer_port":99999999999999999999,"role":"backend"})"},
        OddVm{"OverflowingPort",
              R"({"id":"x","data_center":"d","address":"127.0.0.1",)"
              R"("peer_port":1e400,"role":"backend"})"},
        OddVm{"FractionalPort",
              R"({"id":"x","data_center":"d","address":"127.0.0.1",)"
              R"("peer_port":7001.5,"role":"backend"})"},
        OddVm{"NoAddress",
              R"({"id":"x","data_center":"d","address":"somewhere",)"
              R"("peer_port":7001,"role":"backend"})"},
        OddVm{"UnknownRole",
              R"({"id":"x","data_center":"d","address":"127.0.0.1",)"
              R"("peer_port":7001,"role":"]}"})"},
        OddVm{"UnknownKey", VmWith("x", R"(,"seq":1)")},
        OddVm{"LongKey",
              VmWith("x", ",\"" + std::string(100'000, 'k') + "\":1")},
        OddVm{"Nested", VmWith("x", R"(,"seq":)" + std::string(100'000, '[') +
                                        std::string(100'000, ']'))},
        OddVm{"ManyKeys",
              [] {
                std::string members;
                for (int i = 0; i < 100'000; ++i) members += R"(,"id":"x")";
                return VmWith("x", members);
              }()},
        // Differs from its double.
        OddVm{"Ambiguous",
              VmWith("x") + "," + VmWith("x", R"(,"state":"leaving")")}),
    [](const auto& info) { return std::string(info.param.name); });

// A key that this version does not know must not make all VMs disappear.
TEST(VmListTest, ListWithMostlyOddVmsIsRefused) {
  const std::string odd = VmWith("x", R"(,"rack":1)");
  EXPECT_FALSE(Parse(ListOf(odd)).has_value());
  EXPECT_TRUE(Parse(ListOf(VmWith("a") + "," + odd)).has_value());
  EXPECT_FALSE(Parse(ListOf(VmWith("a") + "," + odd + ",7")).has_value());
}

TEST(VmListTest, EqualVmsAreOne) {
  const auto list = Parse(ListOf(VmWith("a") + "," + VmWith("a")));
  ASSERT_TRUE(list.has_value());
  EXPECT_EQ(list->vms().size(), 1U);
}

TEST(VmListTest, CommentsAndStringsAreNotStructure) {
  const auto list =
      Parse("// [ {\n{\"x\": [1, {\"vms\": [2]}], /* ] } */\n" +
            std::string("\"vms\" : [") + VmWith("a") + ", // ]}\n" +
            VmWith("x", R"(,"service":"]}\",{")") + "," + VmWith("b") + "]}\n");
  ASSERT_TRUE(list.has_value());
  ASSERT_EQ(list->vms().size(), 2U);
  EXPECT_EQ(list->vms()[1].id, "b");
}

// It may be cut off, or may not be a list of VMs at all: nothing is known of
// those that it does not contain.
TEST(VmListTest, TextWithoutCompleteListIsRefused) {
  const std::string text = ListOf(VmWith("a") + ",null," + VmWith("b"));
  EXPECT_TRUE(Parse(text).has_value());
  for (std::size_t size = 0; size < text.size(); ++size) {
    EXPECT_FALSE(Parse(text.substr(0, size)).has_value()) << size;
  }
  for (const char* other :
       {"null", "[]", "{}", R"({"vms":{}})", R"({"vms":null})", R"({"vms":7})",
        R"({"x":{"vms":[]}})", R"([{"vms":[]}])", R"({"vms":[]}{})",
        R"({"vms":[]}])", R"({"vms":["a})", "{\"vms\":[]} x"}) {
    EXPECT_FALSE(Parse(other).has_value()) << other;
  }
  EXPECT_TRUE(Parse(ListOf("")).has_value());
}

}  // namespace
}  // namespace balsam::membership
