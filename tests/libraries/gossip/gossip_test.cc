// Tests of the gossip messages, the peer table and the send rate limiter.
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <ostream>

#include "libraries/gossip/change_set.h"
#include "libraries/gossip/digest.h"
#include "libraries/gossip/peer_table.h"
#include "libraries/gossip/send_rate_limiter.h"
#include "libraries/quarantine/evidence_codec.h"

namespace balsam::gossip {
namespace {

using std::chrono::milliseconds;
using PeerEvent = PeerTable::PeerEvent;

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

// Number of digest targets for tests that do not limit them.
constexpr std::size_t kUnlimited = 1000;

// Sends as many messages as the limiter allows, up to `wanted`.
std::size_t Send(SendRateLimiter& limiter, std::size_t bytes,
                 std::size_t wanted, BootTime now) {
  const std::size_t sent =
      std::min(wanted, limiter.SendableMessages(bytes, now));
  limiter.Consume(sent * bytes, now);
  return sent;
}

TEST(SendRateLimiterTest, SendsAtMostTheConfiguredRate) {
  SendRateLimiter limiter(1000.0);
  BootTime now = BootTime{} + std::chrono::hours(1);
  EXPECT_EQ(Send(limiter, 100, 4, now), 4U);
  EXPECT_EQ(Send(limiter, 100, 40, now), 6U);
  std::size_t sent = 0;
  for (int round = 0; round < 100; ++round) {
    now += milliseconds(100);
    sent += Send(limiter, 50, 30, now);
  }
  EXPECT_EQ(sent, 200U);
}

TEST(SendRateLimiterTest, AllowsOneMessageWhenExhausted) {
  SendRateLimiter limiter(1000.0);
  const BootTime now = BootTime{} + std::chrono::hours(1);
  EXPECT_EQ(Send(limiter, 5000, 3, now), 1U);
  EXPECT_EQ(Send(limiter, 5000, 3, now), 1U);
}

TEST(SendRateLimiterTest, TryConsumeRejectsMessageAboveLimit) {
  SendRateLimiter limiter(1000.0);
  BootTime now = BootTime{} + std::chrono::hours(1);
  EXPECT_TRUE(limiter.TryConsume(900, now));
  EXPECT_FALSE(limiter.TryConsume(200, now));
  EXPECT_TRUE(limiter.TryConsume(100, now));
  now += milliseconds(200);
  EXPECT_TRUE(limiter.TryConsume(200, now));
  EXPECT_FALSE(limiter.TryConsume(1, now));
}

TEST(DigestTest, RoundTrips) {
  Digest digest = MakeDigest(7, 9);
  digest.revision = 100;
  digest.reaches_store = true;
  digest.state_version = 5;
  digest.membership_hash = 0xfedcba98;
  digest.reply_requested = true;
  digest.peer_updates = {
      {"10.0.0.2", 70000, PeerUpdate::State::kSuspected, true},
      {"10.0.0.3", 1, PeerUpdate::State::kLost, false}};
  digest.leaving_servers = {{"i-8", std::nullopt}, {"i-9", milliseconds(1700)}};
  digest.evidence.crashes = {{7,
                              std::chrono::milliseconds(250),
                              std::chrono::milliseconds(900),
                              {12345678901234ULL, 2}}};
  digest.evidence.survived = {{2, std::chrono::milliseconds(3)}};
  digest.evidence.quarantined = {{{5, 6}, std::chrono::milliseconds(90000), 2}};
  const std::string bytes = Encode(digest);
  const auto decoded = TryDecode(bytes);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(Encode(*decoded), bytes);
}

TEST(LoadUpdateTest, RoundTripsWithRoundedTokens) {
  LoadUpdate update;
  update.sequence = 9;
  update.load = {{dispatch::ServerKey("i-1"), {2, 3000, 400, 3}},
                 {dispatch::ServerKey("i-2"), {}}};
  const std::string bytes = Encode(update);
  const auto decoded = TryDecode<LoadUpdate>(bytes);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(Encode(*decoded), bytes);
  EXPECT_EQ(decoded->load.at(dispatch::ServerKey("i-1")).pending_prefill_tokens,
            448);
  EXPECT_EQ(decoded->load.at(dispatch::ServerKey("i-1")).failures, 3);
  EXPECT_EQ(decoded->load.at(dispatch::ServerKey("i-2")), dispatch::Usage{});
}

TEST(LoadTotalsTest, QueryAndTotalsRoundTrip) {
  const LoadTotals totals{7, {{dispatch::ServerKey("i-1"), {2, 3008, 448, 1}}}};
  const auto decoded = TryDecode<LoadTotals>(Encode(totals));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->query_id, 7U);
  EXPECT_EQ(decoded->load.size(), 1U);
  const LoadQuery query{9, {1, 4294967295U}};
  const auto decoded_query = TryDecode<LoadQuery>(Encode(query));
  ASSERT_TRUE(decoded_query.has_value());
  EXPECT_EQ(decoded_query->query_id, 9U);
  EXPECT_EQ(decoded_query->servers, query.servers);
}

TEST(MessageTest, CorruptInputIsRejectedOrDecoded) {
  LoadUpdate update;
  update.load = {{dispatch::ServerKey("i-1"), {2, 3000, 400}}};
  for (const std::string& bytes :
       {Encode(MakeDigest(7, 9)), Encode(update),
        Encode(LoadTotals{7, update.load}), Encode(LoadQuery{9, {1, 2}})}) {
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
        BOOST_LEAF_AUTO(change_set, DecodeChangeSet(bytes));
        return std::optional(change_set);
      },
      [](const Error&) { return std::optional<ChangeSet>(); });
}

TEST(ChangeSetTest, RoundTrips) {
  const ChangeSet change_set{9, {{"k", 7, "value"}, {"gone", 8, std::nullopt}}};
  const auto decoded = TryDecodeChanges(Encode(change_set));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->revision, 9U);
  ASSERT_EQ(decoded->changes.size(), 2U);
  EXPECT_EQ(decoded->changes[0].key, "k");
  EXPECT_EQ(decoded->changes[0].revision, 7U);
  EXPECT_EQ(decoded->changes[0].value, "value");
  EXPECT_EQ(decoded->changes[1].key, "gone");
  EXPECT_FALSE(decoded->changes[1].value.has_value());
}

TEST(ChangeSetTest, CorruptInputIsRejectedOrDecoded) {
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

// What another writer may send instead of a message; the decoders of the
// project produce none of it.
struct OddMessage {
  const char* name;
  std::string bytes;
};

void PrintTo(const OddMessage& message, std::ostream* out) {
  *out << message.name;
}

// As large as a datagram.
constexpr std::size_t kDatagramBytes = 60'000;
// As large as the changes that a peer may send (OutboundConnection).
constexpr std::size_t kFetchBytes = 8 << 20;

class OddMessageTest : public testing::TestWithParam<OddMessage> {};

// The process ended: the decoder called itself for each level until the stack
// was exhausted (issue 30).
TEST_P(OddMessageTest, IsRefused) {
  const std::string& bytes = GetParam().bytes;
  EXPECT_FALSE(TryDecode(bytes).has_value());
  EXPECT_FALSE(TryDecodeChanges(bytes).has_value());
  EXPECT_FALSE(TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodePeerList(bytes));
        return true;
      },
      [](const Error&) { return false; }));
  EXPECT_FALSE(TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(quarantine::DecodeEvidence(bytes));
        return true;
      },
      [](const Error&) { return false; }));
}

INSTANTIATE_TEST_SUITE_P(
    Messages, OddMessageTest,
    testing::Values(
        OddMessage{"arrays", std::string(kDatagramBytes, '\x81')},
        OddMessage{"more_arrays", std::string(kFetchBytes, '\x81')},
        OddMessage{"open_arrays", std::string(kFetchBytes, '\x9f')},
        OddMessage{"open_maps", std::string(kFetchBytes, '\xbf')},
        OddMessage{"open_texts", std::string(kFetchBytes, '\x7f')},
        OddMessage{"open_bytes", std::string(kFetchBytes, '\x5f')},
        OddMessage{"tags", std::string(kFetchBytes, '\xc1')},
        // An array that claims 2^60 elements.
        OddMessage{"huge_array", std::string("\x9b\x10\0\0\0\0\0\0\0", 9)},
        OddMessage{"huge_map", std::string("\xbb\x10\0\0\0\0\0\0\0", 9)},
        OddMessage{"huge_text", std::string("\x7b\x10\0\0\0\0\0\0\0", 9)}),
    [](const auto& info) { return std::string(info.param.name); });

// Loads are added up, which overflowed.
TEST(LoadUpdateTest, BoundsCounts) {
  constexpr auto kMost = std::numeric_limits<std::int64_t>::max() - 63;
  LoadUpdate update;
  update.load = {{1, {kMost, kMost, kMost, kMost}}, {2, {-5, -6400, -64, 0}}};
  const auto decoded = TryDecode<LoadUpdate>(Encode(update));
  ASSERT_TRUE(decoded.has_value());
  dispatch::Usage sum = decoded->load.at(1);
  for (int i = 0; i < 1000; ++i) sum += decoded->load.at(1);
  EXPECT_GT(sum.requests, 0);
  EXPECT_EQ(decoded->load.at(1).requests, std::int64_t{1} << 40);
  EXPECT_EQ(decoded->load.at(1).tokens, std::int64_t{1} << 46);
  EXPECT_EQ(decoded->load.at(2), dispatch::Usage{});
}

class PeerTableTest : public testing::Test {
 protected:
  BootTime now_ = BootTime{} + std::chrono::hours(1);
  PeerTable table_{"10.0.0.9", {}, 1};

  // Runs rounds in which nothing is received; returns the lost peers.
  std::vector<std::string> RunRounds(milliseconds time) {
    constexpr milliseconds kRound{150};
    std::vector<std::string> lost;
    for (const BootTime end = now_ + time; now_ < end; now_ += kRound) {
      std::ranges::copy(table_.TakeLostPeers(now_), std::back_inserter(lost));
      table_.SelectProbeTargets(now_);
    }
    return lost;
  }
};

TEST_F(PeerTableTest, ContactsSeedsAndLearnsTheirPeers) {
  table_.SetSeeds({"10.0.0.1", "10.0.0.9"}, now_);
  EXPECT_EQ(table_.SelectDigestTargets(kUnlimited),
            (std::vector<std::string>{"10.0.0.1"}));
  Digest digest = MakeDigest(1, 1);
  digest.peer_updates = {{"10.0.0.2", 3, PeerUpdate::State::kAlive, false},
                         {"10.0.0.3", 3, PeerUpdate::State::kLost, false},
                         {"10.0.0.9", 0, PeerUpdate::State::kAlive, false}};
  EXPECT_EQ(table_.OnDigest("10.0.0.1", digest, now_), PeerEvent::kJoined);
  EXPECT_EQ(table_.AlivePeers(),
            (std::vector<std::string>{"10.0.0.1", "10.0.0.2"}));
}

TEST_F(PeerTableTest, RejectsOutdatedLoadUpdates) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 5), now_);
  EXPECT_TRUE(table_.OnLoadUpdate("10.0.0.1", 6, now_));
  EXPECT_FALSE(table_.OnLoadUpdate("10.0.0.1", 6, now_));
  EXPECT_FALSE(table_.OnLoadUpdate("10.0.0.1", 4, now_));
  EXPECT_FALSE(table_.OnLoadUpdate("10.0.0.9", 7, now_));
}

// Regression test: a process that had just started dropped the full load of a
// peer whose first digest arrived later, and then knew only the changes to it.
TEST_F(PeerTableTest, AcceptsLoadUpdateBeforeFirstDigest) {
  EXPECT_TRUE(table_.OnLoadUpdate("10.0.0.1", 5, now_));
  EXPECT_TRUE(table_.AlivePeers().empty());
  EXPECT_EQ(table_.OnDigest("10.0.0.1", MakeDigest(1, 4), now_),
            PeerEvent::kJoined);
  EXPECT_EQ(table_.AlivePeers().size(), 1U);
}

TEST_F(PeerTableTest, LoadUpdateIsSignOfLife) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 5), now_);
  RunRounds(milliseconds(450));
  EXPECT_TRUE(table_.OnLoadUpdate("10.0.0.1", 6, now_));
  RunRounds(milliseconds(1000));
  EXPECT_EQ(table_.AlivePeers().size(), 1U);
}

TEST_F(PeerTableTest, IgnoresOutdatedAndDuplicateDigests) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 5), now_);
  EXPECT_EQ(table_.OnDigest("10.0.0.1", MakeDigest(1, 5), now_),
            PeerEvent::kNone);
  EXPECT_EQ(table_.OnDigest("10.0.0.1", MakeDigest(1, 4), now_),
            PeerEvent::kNone);
  EXPECT_EQ(table_.OnDigest("10.0.0.1", MakeDigest(2, 1), now_),
            PeerEvent::kRestarted);
}

TEST_F(PeerTableTest, ReportsUnreachablePeerOnceAndLetsItRejoin) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 1), now_);
  EXPECT_EQ(RunRounds(milliseconds(2000)),
            (std::vector<std::string>{"10.0.0.1"}));
  EXPECT_TRUE(RunRounds(milliseconds(1500)).empty());
  EXPECT_TRUE(table_.AlivePeers().empty());
  EXPECT_EQ(table_.OnDigest("10.0.0.1", MakeDigest(1, 2), now_),
            PeerEvent::kJoined);
}

// An entry that receives no messages for a while suspects all peers. Its
// updates alone must not make other entries drop a peer that sends them
// messages.
TEST_F(PeerTableTest, RefutesSuspicionOfRecentlyActivePeer) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 1), now_);
  Digest digest = MakeDigest(2, 1);
  for (const auto state :
       {PeerUpdate::State::kSuspected, PeerUpdate::State::kLost}) {
    digest.peer_updates = {{"10.0.0.1", 100, state, false}};
    table_.OnDigest("10.0.0.2", digest, now_);
    EXPECT_TRUE(table_.IsAlive("10.0.0.1"));
  }
  // The suspicion is refuted with an update that supersedes it.
  const auto updates = table_.TakeUpdates(1);
  const auto found = std::ranges::find(updates, "10.0.0.1", &PeerUpdate::ip);
  ASSERT_NE(found, updates.end());
  EXPECT_GT(found->state_version, 100U);
  EXPECT_EQ(found->state, PeerUpdate::State::kAlive);
}

TEST_F(PeerTableTest, RefutesSuspicionOfItself) {
  Digest digest = MakeDigest(2, 1);
  digest.peer_updates = {
      {"10.0.0.9", 100, PeerUpdate::State::kSuspected, false}};
  table_.OnDigest("10.0.0.2", digest, now_);
  EXPECT_GT(table_.own_version(), 100U);
}

TEST_F(PeerTableTest, ProbesPeerThatDidNotAnswerAnotherMessage) {
  for (int i = 0; i < 50; ++i) {
    table_.OnDigest("10.0.1." + std::to_string(i), MakeDigest(1, 1), now_);
  }
  now_ += milliseconds(1);
  table_.AddProbe("10.0.1.7", now_);
  // Unknown peers are not probed.
  table_.AddProbe("10.0.1.99", now_);
  const auto probed = table_.SelectProbeTargets(now_);
  EXPECT_EQ(probed.size(), 2U);
  EXPECT_EQ(std::ranges::count(probed, "10.0.1.7"), 1);
  // It is not probed again after a message from it.
  now_ += milliseconds(1);
  table_.OnDigest("10.0.1.7", MakeDigest(1, 2), now_);
  table_.TakeLostPeers(now_);
  EXPECT_EQ(std::ranges::count(table_.SelectProbeTargets(now_), "10.0.1.7"), 0);
}

// When a quarter of the gateways die at once, probing one peer at a time would
// spend most rounds on peers that are already unresponsive.
TEST_F(PeerTableTest, UnresponsivePeersDoNotDelayOtherProbes) {
  for (int i = 0; i < 50; ++i) {
    table_.OnDigest("10.0.1." + std::to_string(i), MakeDigest(1, 1), now_);
  }
  for (std::size_t round = 1; round <= 4; ++round) {
    now_ += milliseconds(100);
    table_.TakeLostPeers(now_);
    const auto probed = table_.SelectProbeTargets(now_);
    EXPECT_EQ(std::set(probed.begin(), probed.end()).size(), round);
    // The first peer is probed twice in its last round.
    EXPECT_EQ(probed.size(), round == 4 ? 5U : round);
  }
  // The first peer is suspected by now; the number of concurrent probes is
  // limited.
  for (int round = 0; round < 20; ++round) {
    now_ += milliseconds(100);
    table_.TakeLostPeers(now_);
    const auto probed = table_.SelectProbeTargets(now_);
    EXPECT_LE(std::set(probed.begin(), probed.end()).size(),
              PeerTable::Limits{}.max_concurrent_probes);
  }
}

// When more peers die at once than digests can disseminate in time, peer lists
// are requested as well.
TEST_F(PeerTableTest, RequestsPeerListsWhenManyAreSuspected) {
  Digest digest = MakeDigest(1, 1);
  digest.peer_updates.reserve(100);
  for (int i = 0; i < 100; ++i) {
    digest.peer_updates.push_back(
        {"10.0.2." + std::to_string(i), 1, PeerUpdate::State::kAlive, false});
  }
  table_.OnDigest("10.0.1.1", digest, now_);
  // Until no changes are pending.
  for (int i = 0; i < 20; ++i) table_.TakeListSource(now_ += milliseconds(500));
  EXPECT_FALSE(table_.TakeListSource(now_ += milliseconds(500)).has_value());
  for (PeerUpdate& update : digest.peer_updates) {
    update.state = PeerUpdate::State::kSuspected;
  }
  ++digest.sequence;
  table_.OnDigest("10.0.1.1", digest, now_);
  EXPECT_TRUE(table_.TakeListSource(now_).has_value());
  const auto list = table_.PeerList();
  EXPECT_EQ(std::ranges::count(list, PeerUpdate::State::kSuspected,
                               &PeerUpdate::state),
            100);

  PeerTable receiver("10.0.0.8", {}, 2);
  for (PeerUpdate& update : digest.peer_updates) {
    update.state = PeerUpdate::State::kAlive;
  }
  receiver.OnDigest("10.0.1.1", digest, now_);
  receiver.OnPeerList(list, now_);
  now_ += PeerTable::Limits{}.suspicion_timeout;
  EXPECT_EQ(receiver.TakeLostPeers(now_).size(), 100U);
}

TEST_F(PeerTableTest, IgnoresUnknownLostPeersInPeerLists) {
  table_.OnPeerList({{"10.0.0.1", 3, PeerUpdate::State::kLost, false},
                     {"10.0.0.2", 3, PeerUpdate::State::kAlive, false}},
                    now_);
  EXPECT_EQ(std::ranges::count(table_.PeerList(), "10.0.0.1", &PeerUpdate::ip),
            0);
  EXPECT_EQ(std::ranges::count(table_.PeerList(), "10.0.0.2", &PeerUpdate::ip),
            1);
}

// Peers that die at once often have adjacent addresses, as in a data centre
// that loses power. Each of them must still be probed by an alive entry.
TEST_F(PeerTableTest, ProbeOrderIsIndependentOfAddressOrder) {
  for (int i = 0; i < 200; ++i) {
    table_.OnDigest("10.0.1." + std::to_string(i), MakeDigest(1, 1), now_);
  }
  std::set<std::string> probed;
  for (int round = 0; round < 16; ++round) {
    now_ += milliseconds(100);
    for (const std::string& ip : table_.SelectProbeTargets(now_)) {
      probed.insert(ip);
      table_.OnDigest(ip, MakeDigest(1, 2), now_);
    }
    table_.TakeLostPeers(now_);
  }
  EXPECT_EQ(probed.size(), PeerTable::Limits{}.ring_successors);
  // The probed peers are not the successors in address order; otherwise the
  // last of them would be at this position.
  const auto in_order = table_.AlivePeersAfter(*probed.begin());
  EXPECT_NE(in_order[probed.size() - 2], *probed.rbegin());
}

// A process that was frozen receives messages again only after its first round,
// so it must not suspect them in that round.
TEST_F(PeerTableTest, PausedProcessSuspectsNoPeers) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 1), now_);
  table_.TakeLostPeers(now_);
  table_.SelectProbeTargets(now_);
  now_ += std::chrono::seconds(5);
  EXPECT_TRUE(table_.TakeLostPeers(now_).empty());
  EXPECT_TRUE(RunRounds(milliseconds(300)).empty());
  EXPECT_TRUE(table_.IsAlive("10.0.0.1"));
}

TEST_F(PeerTableTest, StoreIsReachedWhileAnyAlivePeerReachesIt) {
  Digest digest = MakeDigest(1, 1);
  table_.OnDigest("10.0.0.1", digest, now_);
  EXPECT_FALSE(table_.AnyReachesStore());
  digest.reaches_store = true;
  table_.OnDigest("10.0.0.2", digest, now_);
  EXPECT_TRUE(table_.AnyReachesStore());
  digest.peer_updates = {{"10.0.0.2", 100, PeerUpdate::State::kLost, true}};
  now_ += milliseconds(1600);
  table_.OnDigest("10.0.0.1", digest, now_);
  table_.OnDigest("10.0.0.3", MakeDigest(3, 1), now_);
  EXPECT_FALSE(table_.IsAlive("10.0.0.2"));
}

// With random targets, in a fleet of two dozen entries, no digest arrived from
// one peer in twenty for a second and a half, and its load was assumed to be
// zero.
TEST_F(PeerTableTest, SelectsDigestTargetsRoundRobin) {
  constexpr std::size_t kPeers = 100;
  constexpr std::size_t kTargetsPerRound = 6;
  for (std::size_t i = 0; i < kPeers; ++i) {
    table_.OnDigest("10.0.1." + std::to_string(i), MakeDigest(1, 1), now_);
  }
  std::map<std::string, int> sent;
  for (std::size_t round = 0; round < kPeers; ++round) {
    const auto targets = table_.SelectDigestTargets(kTargetsPerRound);
    EXPECT_EQ(targets.size(), kTargetsPerRound);
    for (const std::string& ip : targets) ++sent[ip];
  }
  EXPECT_EQ(sent.size(), kPeers);
  for (const auto& [ip, times] : sent) EXPECT_EQ(times, kTargetsPerRound) << ip;
}

TEST_F(PeerTableTest, LimitsTransmissionsOfEachUpdate) {
  for (int i = 0; i < 100; ++i) {
    table_.OnDigest("10.0.1." + std::to_string(i), MakeDigest(1, 1), now_);
  }
  std::map<std::string, int> sent;
  for (int digest = 0; digest < 1000; ++digest) {
    const auto updates = table_.TakeUpdates(1);
    EXPECT_LE(updates.size(), PeerTable::Limits{}.max_updates_per_digest);
    for (const PeerUpdate& item : updates) ++sent[item.ip];
  }
  EXPECT_EQ(sent.size(), 100U);
  for (const auto& [ip, times] : sent) EXPECT_LE(times, 21) << ip;
  EXPECT_TRUE(table_.TakeUpdates(1).empty());
}

// A quarter of a large fleet dies while a datagram of a live entry is lost: the
// refutation waited behind all the losses until the suspicion had timed out.
TEST_F(PeerTableTest, RefutationIsSentBeforeLosses) {
  constexpr int kPeers = 100;
  const auto ip_of = [](int peer) {
    return "10.0.1." + std::to_string(peer + 1);
  };
  const auto receive = [&](std::uint64_t sequence,
                           const std::vector<PeerUpdate>& updates) {
    Digest digest = MakeDigest(1, sequence);
    digest.peer_updates = updates;
    table_.OnDigest("10.0.0.1", digest, now_);
  };
  std::vector<PeerUpdate> updates;
  updates.reserve(kPeers);
  for (int peer = 0; peer < kPeers; ++peer) {
    updates.push_back({ip_of(peer), 1, PeerUpdate::State::kAlive, false});
  }
  receive(1, updates);
  updates[0].state = PeerUpdate::State::kSuspected;
  receive(2, {updates[0]});
  for (int peer = 1; peer < kPeers; ++peer) {
    updates[static_cast<std::size_t>(peer)].state = PeerUpdate::State::kLost;
  }
  receive(3, updates);
  receive(4, {{ip_of(0), 2, PeerUpdate::State::kAlive, false}});
  const auto sent = table_.TakeUpdates(1);
  EXPECT_TRUE(std::ranges::any_of(sent, [&](const PeerUpdate& update) {
    return update.ip == ip_of(0) && update.state == PeerUpdate::State::kAlive;
  }));
}

TEST_F(PeerTableTest, DropsUnreachableAddressAfterRetention) {
  table_.OnDigest("10.0.0.1", MakeDigest(1, 1), now_);
  RunRounds(std::chrono::seconds(2));
  // It is still contacted for a while.
  EXPECT_EQ(table_.SelectDigestTargets(kUnlimited).size(), 1U);
  now_ += std::chrono::seconds(30);
  table_.TakeLostPeers(now_);
  EXPECT_TRUE(table_.SelectDigestTargets(kUnlimited).empty());
}

TEST(LimitMessageTest, StatementsSurviveEncoding) {
  const limits::Statement limited{7, 4.625, std::chrono::milliseconds(120)};
  const limits::Statement ended{8, std::nullopt, std::chrono::milliseconds(0)};
  Digest digest;
  digest.limits = {limited, ended};
  const auto decoded = TryOr([&] { return Decode(Encode(digest)); },
                             [](const Error&) { return Message(); });
  ASSERT_TRUE(std::holds_alternative<Digest>(decoded));
  EXPECT_EQ(std::get<Digest>(decoded).limits, digest.limits);
  const auto reply = TryOr(
      [&] {
        return Decode(Encode(
            PermitReply{3, false, std::chrono::milliseconds(250), limited}));
      },
      [](const Error&) { return Message(); });
  ASSERT_TRUE(std::holds_alternative<PermitReply>(reply));
  EXPECT_EQ(std::get<PermitReply>(reply).id, 3U);
  EXPECT_FALSE(std::get<PermitReply>(reply).is_granted);
  EXPECT_EQ(std::get<PermitReply>(reply).retry_after,
            std::chrono::milliseconds(250));
  EXPECT_EQ(std::get<PermitReply>(reply).limit, limited);
  const auto request = TryOr(
      [&] {
        return Decode(Encode(PermitRequest{9, ended}));
      },
      [](const Error&) { return Message(); });
  ASSERT_TRUE(std::holds_alternative<PermitRequest>(request));
  EXPECT_EQ(std::get<PermitRequest>(request).limit, ended);
  EXPECT_FALSE(
      std::get<PermitRequest>(request).cold_requests_per_second.has_value());
  const auto cold = TryOr(
      [&] {
        return Decode(Encode(PermitRequest{9, ended, 2.5}));
      },
      [](const Error&) { return Message(); });
  ASSERT_TRUE(std::holds_alternative<PermitRequest>(cold));
  EXPECT_EQ(std::get<PermitRequest>(cold).limit, ended);
  EXPECT_EQ(std::get<PermitRequest>(cold).cold_requests_per_second, 2.5);
}

}  // namespace
}  // namespace balsam::gossip
