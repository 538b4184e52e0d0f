// Tests that every delta yields either the exact text or an error.
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

std::optional<std::string> TryDecompress(std::string_view base,
                                         std::string_view frame) {
  return TryOr(
      [&]() -> Result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(text, DecompressDelta(base, frame));
        return std::optional(std::move(text));
      },
      [](const Error& error) -> std::optional<std::string> {
        EXPECT_EQ(error.code, ResultCode::kInvalidPeerMessage);
        return std::nullopt;
      });
}

// Returns templates of `count` workspaces, of which workspace 7 has `weight`.
std::string MakeText(int count, int weight) {
  std::string text = "{";
  for (int i = 0; i < count; ++i) {
    text += "\"ws-" + std::to_string(i) + "\": {\"key_sha256\": \"" +
            std::to_string(i * 7919LL * 104729LL) +
            "\", \"weight\": " + std::to_string(i == 7 ? weight : 1) + "},\n";
  }
  return text + "}";
}

TEST(RevisionedTextTest, DeltaOfSmallChangeIsSmall) {
  RevisionedText sender;
  RevisionedText receiver;
  sender.SetCurrent(1, MakeText(1600, 1));
  receiver.SetCurrent(1, MakeText(1600, 1));
  sender.SetCurrent(2, MakeText(1600, 2));
  const TextDelta delta = sender.DeltaFrom(receiver.revision());
  EXPECT_EQ(delta.base, 1U);
  EXPECT_LT(delta.frame.size(), 200U);
  const auto text = TryOr([&] { return receiver.Read(delta); },
                          [](const Error&) { return std::string(); });
  EXPECT_EQ(text, MakeText(1600, 2));
}

TEST(RevisionedTextTest, PeerTooFarBehindGetsFullText) {
  RevisionedText text;
  for (std::uint64_t i = 1; i <= 20; ++i) text.SetCurrent(i, std::to_string(i));
  EXPECT_EQ(text.DeltaFrom(1).base, 0U);
  EXPECT_EQ(text.DeltaFrom(19).base, 19U);
  EXPECT_EQ(text.DeltaFrom(0).base, 0U);
  EXPECT_TRUE(text.DeltaFrom(20).frame.empty());
  EXPECT_TRUE(text.DeltaFrom(21).frame.empty());
  text.SetCurrent(3, "old");
  EXPECT_EQ(text.revision(), 20U);
}

TEST(RevisionedTextTest, MissingBaseIsRejected) {
  RevisionedText sender;
  sender.SetCurrent(4, "four");
  sender.SetCurrent(5, "five");
  const TextDelta delta = sender.DeltaFrom(4);
  const RevisionedText receiver;
  const bool failed = TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(receiver.Read(delta));
        return false;
      },
      [](const Error&) { return true; });
  EXPECT_TRUE(failed);
}

TEST(RevisionedTextTest, DifferentBaseWithSameRevisionIsRejected) {
  const std::string frame = CompressDelta(MakeText(400, 1), MakeText(400, 2));
  std::string other = MakeText(400, 1);
  std::ranges::replace(other, 'k', 'q');
  EXPECT_FALSE(TryDecompress(other, frame).has_value());
  EXPECT_FALSE(TryDecompress("", frame).has_value());
}

TEST(RevisionedTextTest, OversizedFrameIsRejected) {
  const std::string huge(kMaxTextBytes + 1, 'a');
  EXPECT_FALSE(TryDecompress("", CompressDelta("", huge)).has_value());
  EXPECT_TRUE(TryDecompress("", CompressDelta("", huge.substr(1))).has_value());
}

RC_GTEST_PROP(RevisionedTextPropertyTest, DeltaRestoresExactText,
              (const std::string& base, const std::string& text)) {
  RC_ASSERT(TryDecompress(base, CompressDelta(base, text)) ==
            std::optional(text));
}

RC_GTEST_PROP(RevisionedTextPropertyTest, CorruptFrameNeverYieldsDifferentText,
              (const std::vector<std::uint16_t>& corruptions)) {
  const std::string base = MakeText(40, 1);
  const std::string text = MakeText(40, 2);
  std::string frame = CompressDelta(base, text);
  std::ranges::for_each(corruptions, [&frame](std::uint16_t at) {
    frame[at % frame.size()] = static_cast<char>(at >> 8U);
  });
  const auto result = TryDecompress(base, frame);
  RC_ASSERT(!result.has_value() || *result == text);
}

}  // namespace
}  // namespace balsam::revisions
