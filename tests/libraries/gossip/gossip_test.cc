// Digests, and the table of the other entries.
#include <gtest/gtest.h>

#include "libraries/gossip/digest.h"
#include "libraries/gossip/peer_table.h"

namespace balsam::gossip {
namespace {

using std::chrono::milliseconds;
using News = PeerTable::News;

Digest MakeDigest(const std::string& ip, std::uint64_t incarnation,
                  std::uint64_t sequence) {
  Digest digest;
  digest.node = "entry";
  digest.ip = ip;
  digest.incarnation = incarnation;
  digest.sequence = sequence;
  return digest;
}

std::optional<Digest> TryDecode(std::string_view bytes) {
  return TryOr(
      [&]() -> Result<std::optional<Digest>> {
        BOOST_LEAF_AUTO(digest, Decode(bytes));
        return std::optional(digest);
      },
      [](const Error&) { return std::optional<Digest>(); });
}

TEST(DigestTest, ComesBackAsItWas) {
  Digest digest = MakeDigest("10.0.0.1", 7, 9);
  digest.revision = 100;
  digest.reaches_store = true;
  digest.usage = {{"i-1", {2, 3000, 400}}};
  digest.peers = {"10.0.0.2"};
  digest.leaving_servers = {"i-9"};
  digest.crashes = {{12345678901234ULL, 2}};
  const std::string bytes = Encode(digest);
  const auto read = TryDecode(bytes);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(Encode(*read), bytes);
  EXPECT_EQ(read->usage.at("i-1").unread_prompt_tokens, 400);
}

TEST(DigestTest, AnyDamageIsRefusedOrReadAsADigest) {
  const std::string bytes = Encode(MakeDigest("10.0.0.1", 7, 9));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(TryDecode(bytes.substr(0, size)).has_value()) << size;
  }
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string damaged = bytes;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x5a);
    TryDecode(damaged);
  }
}

class PeerTableTest : public testing::Test {
 protected:
  BootTime now_ = BootTime{} + std::chrono::hours(1);
  PeerTable table_{"10.0.0.9", {}, 1};
};

TEST_F(PeerTableTest, SeedsAreTriedAndPeersOfPeersLearned) {
  table_.SetSeeds({"10.0.0.1", "10.0.0.9"}, now_);
  EXPECT_EQ(table_.Targets(now_), (std::vector<std::string>{"10.0.0.1"}));
  Digest digest = MakeDigest("10.0.0.1", 1, 1);
  digest.peers = {"10.0.0.2", "10.0.0.9"};
  EXPECT_EQ(table_.OnDigest(digest, now_), News::kJoined);
  EXPECT_EQ(table_.Targets(now_).size(), 2U);
  EXPECT_EQ(table_.Alive(now_).size(), 1U);
}

TEST_F(PeerTableTest, OldAndRepeatedDigestsChangeNothing) {
  table_.OnDigest(MakeDigest("10.0.0.1", 1, 5), now_);
  EXPECT_EQ(table_.OnDigest(MakeDigest("10.0.0.1", 1, 5), now_), News::kNone);
  EXPECT_EQ(table_.OnDigest(MakeDigest("10.0.0.1", 1, 4), now_), News::kNone);
  EXPECT_EQ(table_.OnDigest(MakeDigest("10.0.0.1", 2, 1), now_),
            News::kRestarted);
}

TEST_F(PeerTableTest, SilenceIsNoticedOnceAndHealed) {
  table_.OnDigest(MakeDigest("10.0.0.1", 1, 1), now_);
  now_ += milliseconds(1600);
  EXPECT_EQ(table_.TakeSilent(now_), (std::vector<std::string>{"10.0.0.1"}));
  EXPECT_TRUE(table_.TakeSilent(now_).empty());
  EXPECT_TRUE(table_.Alive(now_).empty());
  EXPECT_EQ(table_.OnDigest(MakeDigest("10.0.0.1", 1, 2), now_), News::kJoined);
}

TEST_F(PeerTableTest, TheStoreIsReachedWhileAnyLivePeerReachesIt) {
  Digest digest = MakeDigest("10.0.0.1", 1, 1);
  table_.OnDigest(digest, now_);
  EXPECT_FALSE(table_.AnyReachesStore(now_));
  digest.ip = "10.0.0.2";
  digest.reaches_store = true;
  table_.OnDigest(digest, now_);
  EXPECT_TRUE(table_.AnyReachesStore(now_));
  now_ += milliseconds(1600);
  EXPECT_FALSE(table_.AnyReachesStore(now_));
}

TEST_F(PeerTableTest, FanoutIsBounded) {
  for (int i = 0; i < 100; ++i) {
    table_.OnDigest(MakeDigest("10.0.1." + std::to_string(i), 1, 1), now_);
  }
  EXPECT_EQ(table_.Targets(now_).size(), PeerTable::Limits{}.fanout);
  EXPECT_EQ(table_.Named(now_).size(), PeerTable::Limits{}.named_peers);
}

TEST_F(PeerTableTest, AForgottenAddressIsNotTriedForEver) {
  table_.OnDigest(MakeDigest("10.0.0.1", 1, 1), now_);
  now_ += std::chrono::seconds(2);
  table_.TakeSilent(now_);
  // It is tried again for a while.
  EXPECT_EQ(table_.Targets(now_).size(), 1U);
  now_ += std::chrono::seconds(30);
  table_.TakeSilent(now_);
  EXPECT_TRUE(table_.Targets(now_).empty());
}

}  // namespace
}  // namespace balsam::gossip
