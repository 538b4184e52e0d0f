// Passing texts on: every change gives the exact text or an error.
#include "libraries/revisions/revisioned_text.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsam::revisions {
namespace {

std::optional<std::string> Unpacked(std::string_view base,
                                    std::string_view frame) {
  return TryOr(
      [&]() -> Result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(text, Unpack(base, frame));
        return std::optional(std::move(text));
      },
      [](const Error& error) -> std::optional<std::string> {
        EXPECT_EQ(error.code, ResultCode::kInvalidPeerMessage);
        return std::nullopt;
      });
}

// Templates of `count` workspaces; workspace 7 has this weight.
std::string LongText(int count, int weight) {
  std::string text = "{";
  for (int i = 0; i < count; ++i) {
    text += "\"ws-" + std::to_string(i) + "\": {\"key_sha256\": \"" +
            std::to_string(i * 7919LL * 104729LL) +
            "\", \"weight\": " + std::to_string(i == 7 ? weight : 1) + "},\n";
  }
  return text + "}";
}

TEST(RevisionedTextTest, ASmallChangeOfALongTextIsShort) {
  RevisionedText sender;
  RevisionedText receiver;
  sender.Adopt(1, LongText(1600, 1));
  receiver.Adopt(1, LongText(1600, 1));
  sender.Adopt(2, LongText(1600, 2));
  const TextChange change = sender.ChangeFrom(receiver.revision());
  EXPECT_EQ(change.base, 1U);
  EXPECT_LT(change.frame.size(), 200U);
  const auto text = TryOr([&] { return receiver.Read(change); },
                          [](const Error&) { return std::string(); });
  EXPECT_EQ(text, LongText(1600, 2));
}

TEST(RevisionedTextTest, WhoIsTooFarBehindGetsTheWholeText) {
  RevisionedText sender;
  for (std::uint64_t i = 1; i <= 20; ++i) sender.Adopt(i, std::to_string(i));
  EXPECT_EQ(sender.ChangeFrom(1).base, 0U);
  EXPECT_EQ(sender.ChangeFrom(19).base, 19U);
  EXPECT_EQ(sender.ChangeFrom(0).base, 0U);
  EXPECT_TRUE(sender.ChangeFrom(20).frame.empty());
  EXPECT_TRUE(sender.ChangeFrom(21).frame.empty());
  sender.Adopt(3, "old");
  EXPECT_EQ(sender.revision(), 20U);
}

TEST(RevisionedTextTest, ABaseThatIsNotHeldIsAnError) {
  RevisionedText sender;
  sender.Adopt(4, "four");
  sender.Adopt(5, "five");
  const TextChange change = sender.ChangeFrom(4);
  const RevisionedText receiver;
  const bool failed = TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(receiver.Read(change));
        return false;
      },
      [](const Error&) { return true; });
  EXPECT_TRUE(failed);
}

TEST(RevisionedTextTest, AnotherBaseUnderTheSameNumberIsAnErrorNotAText) {
  const std::string frame = Pack(LongText(400, 1), LongText(400, 2));
  std::string other = LongText(400, 1);
  std::ranges::replace(other, 'k', 'q');
  EXPECT_FALSE(Unpacked(other, frame).has_value());
  EXPECT_FALSE(Unpacked("", frame).has_value());
}

TEST(RevisionedTextTest, AFrameThatUnpacksToTooMuchIsRefused) {
  const std::string huge(kMaxTextBytes + 1, 'a');
  EXPECT_FALSE(Unpacked("", Pack("", huge)).has_value());
  EXPECT_TRUE(Unpacked("", Pack("", huge.substr(1))).has_value());
}

RC_GTEST_PROP(RevisionedTextPropertyTest, AnyChangeGivesTheExactText,
              (const std::string& base, const std::string& text)) {
  RC_ASSERT(Unpacked(base, Pack(base, text)) == std::optional(text));
}

RC_GTEST_PROP(RevisionedTextPropertyTest, ADamagedFrameNeverGivesAnotherText,
              (const std::vector<std::uint16_t>& damage)) {
  const std::string base = LongText(40, 1);
  const std::string text = LongText(40, 2);
  std::string frame = Pack(base, text);
  std::ranges::for_each(damage, [&frame](std::uint16_t at) {
    frame[at % frame.size()] = static_cast<char>(at >> 8U);
  });
  const auto result = Unpacked(base, frame);
  RC_ASSERT(!result.has_value() || *result == text);
}

}  // namespace
}  // namespace balsam::revisions
