// Messages, the table of the other entries, and how much is sent.
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>

#include "libraries/gossip/change_set.h"
#include "libraries/gossip/digest.h"
#include "libraries/gossip/peer_table.h"
#include "libraries/gossip/send_allowance.h"

namespace balsam::gossip {
namespace {

using std::chrono::milliseconds;
using News = PeerTable::News;

Digest MakeDigest(std::uint64_t incarnation, std::uint64_t sequence) {
  Digest digest;
  digest.incarnation = incarnation;
  digest.sequence = sequence;
  return digest;
}

template <typename Body = Digest>
std::optional<Body> TryDecode(std::string_view bytes) {
  return TryOr(
      [&]() -> Result<std::optional<Body>> {
        BOOST_LEAF_AUTO(message, Decode(bytes));
        if (const Body* body = std::get_if<Body>(&message)) {
          return std::optional(*body);
        }
        return std::optional<Body>();
      },
      [](const Error&) { return std::optional<Body>(); });
}

// Addresses that a round may reach where a test does not bound them.
constexpr std::size_t kMany = 1000;

// As many messages as may be sent, up to `wanted`.
std::size_t Send(SendAllowance& allowance, std::size_t bytes,
                 std::size_t wanted, BootTime now) {
  const std::size_t sent = std::min(wanted, allowance.Affordable(bytes, now));
  allowance.Spend(sent * bytes, now);
  return sent;
}

TEST(SendAllowanceTest, SendsNoMoreThanItsBytesASecond) {
  SendAllowance allowance(1000.0);
  BootTime now = BootTime{} + std::chrono::hours(1);
  EXPECT_EQ(Send(allowance, 100, 4, now), 4U);
  EXPECT_EQ(Send(allowance, 100, 40, now), 6U);
  std::size_t sent = 0;
  for (int round = 0; round < 100; ++round) {
    now += milliseconds(100);
    sent += Send(allowance, 50, 30, now);
  }
  EXPECT_EQ(sent, 200U);
}

TEST(SendAllowanceTest, IsHeardHoweverLittleIsLeft) {
  SendAllowance allowance(1000.0);
  const BootTime now = BootTime{} + std::chrono::hours(1);
  EXPECT_EQ(Send(allowance, 5000, 3, now), 1U);
  EXPECT_EQ(Send(allowance, 5000, 3, now), 1U);
}

TEST(SendAllowanceTest, AMessageThatIsTooMuchNowIsNotTaken) {
  SendAllowance allowance(1000.0);
  BootTime now = BootTime{} + std::chrono::hours(1);
  EXPECT_TRUE(allowance.TryTake(900, now));
  EXPECT_FALSE(allowance.TryTake(200, now));
  EXPECT_TRUE(allowance.TryTake(100, now));
  now += milliseconds(200);
  EXPECT_TRUE(allowance.TryTake(200, now));
  EXPECT_FALSE(allowance.TryTake(1, now));
}

TEST(DigestTest, ComesBackAsItWas) {
  Digest digest = MakeDigest(7, 9);
  digest.revision = 100;
  digest.reaches_store = true;
  digest.standing = 5;
  digest.wants_answer = true;
  digest.news = {{"10.0.0.2", 70000, PeerNews::State::kSuspected, true},
                 {"10.0.0.3", 1, PeerNews::State::kLost, false}};
  digest.leaving_servers = {"i-9"};
  digest.crashes = {{12345678901234ULL, 2}};
  const std::string bytes = Encode(digest);
  const auto read = TryDecode(bytes);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(Encode(*read), bytes);
}

TEST(LoadUpdateTest, ComesBackAsItWasToAFewTokens) {
  LoadUpdate update;
  update.sequence = 9;
  update.load = {{dispatch::ServerKey("i-1"), {2, 3000, 400, 3}},
                 {dispatch::ServerKey("i-2"), {}}};
  const std::string bytes = Encode(update);
  const auto read = TryDecode<LoadUpdate>(bytes);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(Encode(*read), bytes);
  EXPECT_EQ(read->load.at(dispatch::ServerKey("i-1")).unread_prompt_tokens,
            448);
  EXPECT_EQ(read->load.at(dispatch::ServerKey("i-1")).failures, 3);
  EXPECT_EQ(read->load.at(dispatch::ServerKey("i-2")), dispatch::Usage{});
}

TEST(LoadSumsTest, ComeBackAsTheyWere) {
  const LoadSums sums{7, {{dispatch::ServerKey("i-1"), {2, 3008, 448, 1}}}};
  const auto read = TryDecode<LoadSums>(Encode(sums));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->number, 7U);
  EXPECT_EQ(read->load.size(), 1U);
  const LoadQuestion question{9, {1, 4294967295U}};
  const auto asked = TryDecode<LoadQuestion>(Encode(question));
  ASSERT_TRUE(asked.has_value());
  EXPECT_EQ(asked->number, 9U);
  EXPECT_EQ(asked->servers, question.servers);
}

TEST(MessageTest, AnyDamageIsRefusedOrReadAsAMessage) {
  LoadUpdate update;
  update.load = {{dispatch::ServerKey("i-1"), {2, 3000, 400}}};
  for (const std::string& bytes :
       {Encode(MakeDigest(7, 9)), Encode(update),
        Encode(LoadSums{7, update.load}), Encode(LoadQuestion{9, {1, 2}})}) {
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(TryDecode(bytes.substr(0, size)).has_value()) << size;
      EXPECT_FALSE(TryDecode<LoadUpdate>(bytes.substr(0, size)).has_value())
          << size;
    }
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      std::string damaged = bytes;
      damaged[at] = static_cast<char>(damaged[at] ^ 0x5a);
      TryDecode(damaged);
    }
  }
}

std::optional<ChangeSet> TryDecodeChanges(std::string_view bytes) {
  return TryOr(
      [&]() -> Result<std::optional<ChangeSet>> {
        BOOST_LEAF_AUTO(set, DecodeChangeSet(bytes));
        return std::optional(set);
      },
      [](const Error&) { return std::optional<ChangeSet>(); });
}

TEST(ChangeSetTest, ComesBackAsItWas) {
  const ChangeSet set{9, {{"k", 7, "value"}, {"gone", 8, std::nullopt}}};
  const auto read = TryDecodeChanges(Encode(set));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->revision, 9U);
  ASSERT_EQ(read->changes.size(), 2U);
  EXPECT_EQ(read->changes[0].key, "k");
  EXPECT_EQ(read->changes[0].revision, 7U);
  EXPECT_EQ(read->changes[0].value, "value");
  EXPECT_EQ(read->changes[1].key, "gone");
  EXPECT_FALSE(read->changes[1].value.has_value());
}

TEST(ChangeSetTest, AnyDamageIsRefusedOrReadAsChanges) {
  const std::string bytes =
      Encode(ChangeSet{9, {{"k", 7, "value"}, {"gone", 8, std::nullopt}}});
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(TryDecodeChanges(bytes.substr(0, size)).has_value()) << size;
  }
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string damaged = bytes;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x5a);
    TryDecodeChanges(damaged);
  }
}

class PeerTableTest : public testing::Test {
 protected:
  BootTime now_ = BootTime{} + std::chrono::hours(1);
  PeerTable table_{"10.0.0.9", {}, 1};

  // Rounds in which nobody is heard; returns who was lost.
  std::vector<std::string> RunRounds(milliseconds time) {
    constexpr milliseconds kRound{150};
    std::vector<std::string> lost;
    for (const BootTime end = now_ + time; now_ < end; now_ += kRound) {
      std::ranges::copy(table_.TakeLost(now_), std::back_inserter(lost));
      table_.TakeAsked(now_);
    }
    return lost;
  }
};

TEST_F(PeerTableTest, SeedsAreTriedAndPeersOfPeersLearned) {
  table_.SetSeeds({"10.0.0.1", "10.0.0.9"}, now_);
  EXPECT_EQ(table_.Targets(kMany), (std::vector<std::string>{"10.0.0.1"}));
  Digest digest = MakeDigest(1, 1);
  digest.news = {{"10.0.0.2", 3, PeerNews::State::kAlive, false},
                 {"10.0.0.3", 3, PeerNews::State::kLost, false},
                 {"10.0.0.9", 0, PeerNews::State::kAlive, false}};
  EXPECT_EQ(table_.OnDigest("10.0.0.1", digest, now_), News::kJoined);
  EXPECT_EQ(table_.Alive(), (std::vector<std::string>{"10.0.0.1", "10.0.0.2"}));
}

TEST_F(PeerTableTest, LoadsCountInOrderOnly) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 5), now_);
  EXPECT_TRUE(table_.OnLoadUpdate("10.0.0.1", 6, now_));
  EXPECT_FALSE(table_.OnLoadUpdate("10.0.0.1", 6, now_));
  EXPECT_FALSE(table_.OnLoadUpdate("10.0.0.1", 4, now_));
  EXPECT_FALSE(table_.OnLoadUpdate("10.0.0.9", 7, now_));
}

// Found by reading: a process that had just started dropped the whole load of a
// peer whose digest came later, and then knew only what changed of it.
TEST_F(PeerTableTest, ALoadMayComeBeforeTheFirstDigest) {
  EXPECT_TRUE(table_.OnLoadUpdate("10.0.0.1", 5, now_));
  EXPECT_TRUE(table_.Alive().empty());
  EXPECT_EQ(table_.OnDigest("10.0.0.1", MakeDigest(1, 4), now_), News::kJoined);
  EXPECT_EQ(table_.Alive().size(), 1U);
}

TEST_F(PeerTableTest, APeerIsHeardByItsLoad) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 5), now_);
  RunRounds(milliseconds(450));
  EXPECT_TRUE(table_.OnLoadUpdate("10.0.0.1", 6, now_));
  RunRounds(milliseconds(1000));
  EXPECT_EQ(table_.Alive().size(), 1U);
}

TEST_F(PeerTableTest, OldAndRepeatedDigestsChangeNothing) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 5), now_);
  EXPECT_EQ(table_.OnDigest("10.0.0.1", MakeDigest(1, 5), now_), News::kNone);
  EXPECT_EQ(table_.OnDigest("10.0.0.1", MakeDigest(1, 4), now_), News::kNone);
  EXPECT_EQ(table_.OnDigest("10.0.0.1", MakeDigest(2, 1), now_),
            News::kRestarted);
}

TEST_F(PeerTableTest, SilenceIsNoticedOnceAndHealed) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 1), now_);
  EXPECT_EQ(RunRounds(milliseconds(2000)),
            (std::vector<std::string>{"10.0.0.1"}));
  EXPECT_TRUE(RunRounds(milliseconds(1500)).empty());
  EXPECT_TRUE(table_.Alive().empty());
  EXPECT_EQ(table_.OnDigest("10.0.0.1", MakeDigest(1, 2), now_), News::kJoined);
}

// A fleet in which one entry hears nobody for a while: its word alone must not
// make the others drop a peer that they hear.
TEST_F(PeerTableTest, WhoHearsAPeerDoesNotBelieveThatItIsAway) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 1), now_);
  Digest digest = MakeDigest(2, 1);
  for (const auto state :
       {PeerNews::State::kSuspected, PeerNews::State::kLost}) {
    digest.news = {{"10.0.0.1", 100, state, false}};
    table_.OnDigest("10.0.0.2", digest, now_);
    EXPECT_TRUE(table_.IsAlive("10.0.0.1"));
  }
  // And says so, with a word that overrides the other.
  const auto told = table_.TakeNews(1);
  const auto found = std::ranges::find(told, "10.0.0.1", &PeerNews::ip);
  ASSERT_NE(found, told.end());
  EXPECT_GT(found->standing, 100U);
  EXPECT_EQ(found->state, PeerNews::State::kAlive);
}

TEST_F(PeerTableTest, AnEntryThatIsCalledAwayOverridesThat) {
  Digest digest = MakeDigest(2, 1);
  digest.news = {{"10.0.0.9", 100, PeerNews::State::kSuspected, false}};
  table_.OnDigest("10.0.0.2", digest, now_);
  EXPECT_GT(table_.own_standing(), 100U);
}

TEST_F(PeerTableTest, WhoDidNotAnswerSomethingElseIsAskedToo) {
  for (int i = 0; i < 50; ++i) {
    table_.OnDigest("10.0.1." + std::to_string(i), MakeDigest(1, 1), now_);
  }
  now_ += milliseconds(1);
  table_.AskNext("10.0.1.7", now_);
  // One that is not known is not.
  table_.AskNext("10.0.1.99", now_);
  const auto asked = table_.TakeAsked(now_);
  EXPECT_EQ(asked.size(), 2U);
  EXPECT_EQ(std::ranges::count(asked, "10.0.1.7"), 1);
  // It is not asked again once it was heard.
  now_ += milliseconds(1);
  table_.OnDigest("10.0.1.7", MakeDigest(1, 2), now_);
  table_.TakeLost(now_);
  EXPECT_EQ(std::ranges::count(table_.TakeAsked(now_), "10.0.1.7"), 0);
}

// Load: a quarter of the gateways die at one moment. Whoever asks one after the
// other spends most of its rounds on those that are silent already.
TEST_F(PeerTableTest, SilentPeersDoNotKeepOthersFromBeingAsked) {
  for (int i = 0; i < 50; ++i) {
    table_.OnDigest("10.0.1." + std::to_string(i), MakeDigest(1, 1), now_);
  }
  for (std::size_t round = 1; round <= 4; ++round) {
    now_ += milliseconds(100);
    table_.TakeLost(now_);
    const auto asked = table_.TakeAsked(now_);
    EXPECT_EQ(std::set(asked.begin(), asked.end()).size(), round);
    // The last round of the first one asks twice.
    EXPECT_EQ(asked.size(), round == 4 ? 5U : round);
  }
  // The first is suspected by now, and no more is asked at once than so many.
  for (int round = 0; round < 20; ++round) {
    now_ += milliseconds(100);
    table_.TakeLost(now_);
    const auto asked = table_.TakeAsked(now_);
    EXPECT_LE(std::set(asked.begin(), asked.end()).size(),
              PeerTable::Limits{}.asked_at_once);
  }
}

// Load: more peers die at one moment than digests tell of in time. Lists tell
// of them, too, and are asked for.
TEST_F(PeerTableTest, ManyThatAreAwayAreToldByLists) {
  Digest digest = MakeDigest(1, 1);
  digest.news.reserve(100);
  for (int i = 0; i < 100; ++i) {
    digest.news.push_back(
        {"10.0.2." + std::to_string(i), 1, PeerNews::State::kAlive, false});
  }
  table_.OnDigest("10.0.1.1", digest, now_);
  // Nothing is new any more.
  for (int i = 0; i < 20; ++i) table_.TakeListSource(now_ += milliseconds(500));
  EXPECT_FALSE(table_.TakeListSource(now_ += milliseconds(500)).has_value());
  for (PeerNews& news : digest.news) news.state = PeerNews::State::kSuspected;
  ++digest.sequence;
  table_.OnDigest("10.0.1.1", digest, now_);
  EXPECT_TRUE(table_.TakeListSource(now_).has_value());
  const auto list = table_.List();
  EXPECT_EQ(
      std::ranges::count(list, PeerNews::State::kSuspected, &PeerNews::state),
      100);

  PeerTable reader("10.0.0.8", {}, 2);
  for (PeerNews& news : digest.news) news.state = PeerNews::State::kAlive;
  reader.OnDigest("10.0.1.1", digest, now_);
  reader.OnList(list, now_);
  now_ += PeerTable::Limits{}.suspicion_time;
  EXPECT_EQ(reader.TakeLost(now_).size(), 100U);
}

TEST_F(PeerTableTest, ListsDoNotTellForEverOfOneThatIsGone) {
  table_.OnList({{"10.0.0.1", 3, PeerNews::State::kLost, false},
                 {"10.0.0.2", 3, PeerNews::State::kAlive, false}},
                now_);
  EXPECT_EQ(std::ranges::count(table_.List(), "10.0.0.1", &PeerNews::ip), 0);
  EXPECT_EQ(std::ranges::count(table_.List(), "10.0.0.2", &PeerNews::ip), 1);
}

// Load: those that die at once are neighbours in the network, as in a data
// centre that loses power; each is still asked by one that lives.
TEST_F(PeerTableTest, WhoIsAskedDoesNotFollowFromTheOrderOfAddresses) {
  for (int i = 0; i < 200; ++i) {
    table_.OnDigest("10.0.1." + std::to_string(i), MakeDigest(1, 1), now_);
  }
  std::set<std::string> asked;
  for (int round = 0; round < 16; ++round) {
    now_ += milliseconds(100);
    for (const std::string& ip : table_.TakeAsked(now_)) {
      asked.insert(ip);
      table_.OnDigest(ip, MakeDigest(1, 2), now_);
    }
    table_.TakeLost(now_);
  }
  EXPECT_EQ(asked.size(), PeerTable::Limits{}.ring_successors);
  // Were they the next ones in the order of addresses, the last would be there.
  const auto in_order = table_.AliveAfter(*asked.begin());
  EXPECT_NE(in_order[asked.size() - 2], *asked.rbegin());
}

// A process that was frozen hears its peers again only after its first round.
TEST_F(PeerTableTest, AProcessThatStoodStillSuspectsNobody) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 1), now_);
  table_.TakeLost(now_);
  table_.TakeAsked(now_);
  now_ += std::chrono::seconds(5);
  EXPECT_TRUE(table_.TakeLost(now_).empty());
  EXPECT_TRUE(RunRounds(milliseconds(300)).empty());
  EXPECT_TRUE(table_.IsAlive("10.0.0.1"));
}

TEST_F(PeerTableTest, TheStoreIsReachedWhileAnyLivePeerReachesIt) {
  Digest digest = MakeDigest(1, 1);
  table_.OnDigest("10.0.0.1", digest, now_);
  EXPECT_FALSE(table_.AnyReachesStore());
  digest.reaches_store = true;
  table_.OnDigest("10.0.0.2", digest, now_);
  EXPECT_TRUE(table_.AnyReachesStore());
  digest.news = {{"10.0.0.2", 100, PeerNews::State::kLost, true}};
  now_ += milliseconds(1600);
  table_.OnDigest("10.0.0.1", digest, now_);
  table_.OnDigest("10.0.0.3", MakeDigest(3, 1), now_);
  EXPECT_FALSE(table_.IsAlive("10.0.0.2"));
}

// Load: two dozen entries. Targets that are drawn at random leave one out of
// twenty unheard for a second and a half, and its load is taken to be nothing.
TEST_F(PeerTableTest, EveryPeerIsToldInTurnAndNoneMoreOften) {
  constexpr std::size_t kPeers = 100;
  constexpr std::size_t kAtOnce = 6;
  for (std::size_t i = 0; i < kPeers; ++i) {
    table_.OnDigest("10.0.1." + std::to_string(i), MakeDigest(1, 1), now_);
  }
  std::map<std::string, int> told;
  for (std::size_t round = 0; round < kPeers; ++round) {
    const auto targets = table_.Targets(kAtOnce);
    EXPECT_EQ(targets.size(), kAtOnce);
    for (const std::string& ip : targets) ++told[ip];
  }
  EXPECT_EQ(told.size(), kPeers);
  for (const auto& [ip, times] : told) EXPECT_EQ(times, kAtOnce) << ip;
}

TEST_F(PeerTableTest, NewsIsToldSoOftenAndNoMore) {
  for (int i = 0; i < 100; ++i) {
    table_.OnDigest("10.0.1." + std::to_string(i), MakeDigest(1, 1), now_);
  }
  std::map<std::string, int> told;
  for (int digest = 0; digest < 1000; ++digest) {
    const auto news = table_.TakeNews(1);
    EXPECT_LE(news.size(), PeerTable::Limits{}.told_news);
    for (const PeerNews& item : news) ++told[item.ip];
  }
  EXPECT_EQ(told.size(), 100U);
  for (const auto& [ip, times] : told) EXPECT_LE(times, 21) << ip;
  EXPECT_TRUE(table_.TakeNews(1).empty());
}

TEST_F(PeerTableTest, AForgottenAddressIsNotTriedForEver) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 1), now_);
  RunRounds(std::chrono::seconds(2));
  // It is tried again for a while.
  EXPECT_EQ(table_.Targets(kMany).size(), 1U);
  now_ += std::chrono::seconds(30);
  table_.TakeLost(now_);
  EXPECT_TRUE(table_.Targets(kMany).empty());
}

}  // namespace
}  // namespace balsam::gossip
