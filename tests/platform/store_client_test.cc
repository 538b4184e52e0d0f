// Contract with the platform's store, against a scripted stand-in on loopback:
// paged reads, the watch, lost history, refusals and invalid responses.
#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "libraries/revisions/revision.h"
#include "services/gateway/simple_http_server.h"
#include "tests/services/gateway/event_loop.h"

namespace balsam::platform {
namespace {

using gateway::HttpResponse;
using gateway::RunUntil;
using gateway::SimpleHttpServer;
using std::chrono::milliseconds;

// Base64 of "v".
constexpr char kValue[] = "dg==";

HttpResponse Json(const std::string& body) {
  return {200, "application/json", body};
}

std::string Item(const std::string& key, int revision) {
  return R"({"key":")" + key + R"(","value":")" + kValue + R"(","rev":)" +
         std::to_string(revision) + R"(,"created":1,"lease":0})";
}

HttpResponse Page(const std::string& items, int revision, bool truncated) {
  return Json(R"({"items":[)" + items + R"(],"truncated":)" +
              (truncated ? "true" : "false") + R"(,"storeRevision":)" +
              std::to_string(revision) + "}");
}

HttpResponse Events(const std::string& events, int revision) {
  return Json(R"({"events":[)" + events + R"(],"storeRevision":)" +
              std::to_string(revision) + "}");
}

class StoreClientTest : public testing::Test {
 protected:
  StoreClientTest()
      : store_([this](const http1::RequestHead& head, const std::string&) {
          targets_.push_back(head.target);
          if (store_hook_) store_hook_();
          if (responses_.empty()) return HttpResponse{503, "text/plain", {}};
          HttpResponse response = responses_.front();
          responses_.pop_front();
          return response;
        }) {}

  // Starts a client of a store that returns these responses, and 503 after
  // them.
  void StartWithResponses(std::deque<HttpResponse> answers) {
    responses_ = std::move(answers);
    ASSERT_TRUE(gateway::RetryWithOtherPorts([this] {
      const directory::Endpoint endpoint{"127.0.0.1", gateway::FreePort()};
      client_ = std::make_unique<StoreClient>(endpoint, Limits());
      return TryOr(
          [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(store_.Listen(endpoint));
            return true;
          },
          [](const Error&) { return false; });
    }));
    client_->on_changes = [this](const auto& changes, std::uint64_t revision) {
      changes_.push_back(changes);
      revision_ = revision;
    };
    client_->on_snapshot = [this](const auto& entries, std::uint64_t revision) {
      snapshots_.push_back(entries);
      revision_ = revision;
    };
    client_->on_available = [this](bool available) {
      availability_.push_back(available);
    };
    client_->should_watch = [this] { return should_watch_; };
    client_->known_revision = [this] { return known_revision_; };
    client_->on_standby = [this] { ++standbys_; };
    client_->watch_delay = [this] {
      ++delays_;
      return milliseconds(1);
    };
    client_->Start();
  }

  static StoreClient::Limits Limits() {
    StoreClient::Limits limits;
    limits.min_retry_delay = milliseconds(1);
    limits.max_retry_delay = milliseconds(2);
    limits.standby_check_interval = milliseconds(1);
    return limits;
  }

  SimpleHttpServer store_;
  std::deque<HttpResponse> responses_;
  std::vector<std::string> targets_;
  // Called for each request; may be unset.
  std::function<void()> store_hook_;
  std::unique_ptr<StoreClient> client_;
  std::vector<StoreClient::Entries> snapshots_;
  std::vector<StoreClient::Entries> changes_;
  std::vector<bool> availability_;
  std::uint64_t revision_ = 0;
  int delays_ = 0;
  bool should_watch_ = true;
  std::uint64_t known_revision_ = 0;
  int standbys_ = 0;
};

TEST_F(StoreClientTest, PagesAreOneSnapshotOfTheFirstPagesRevision) {
  StartWithResponses(
      {Page(Item("a", 3), 7, true), Page(Item("b", 9), 9, false)});
  ASSERT_TRUE(RunUntil([this] { return !snapshots_.empty(); }));
  ASSERT_EQ(snapshots_.size(), 1U);
  ASSERT_EQ(snapshots_[0].size(), 2U);
  EXPECT_EQ(snapshots_[0][0].value, "v");
  EXPECT_EQ(snapshots_[0][1].revision, 9U);
  // Changes made between the pages arrive by the watch.
  EXPECT_EQ(revision_, 7U);
  EXPECT_NE(targets_[1].find("after=a"), std::string::npos);
  ASSERT_TRUE(RunUntil([this] { return targets_.size() > 2; }));
  EXPECT_NE(targets_[2].find("/kv-watch"), std::string::npos);
  EXPECT_NE(targets_[2].find("after=7"), std::string::npos);
}

// A watch that the store swallowed in an outage was waited for like one without
// changes: the fleet heard nothing for twelve seconds, nine of them after the
// store was back (day of the deadly part beside an outage, vientoalto-andes).
TEST_F(StoreClientTest, FirstWatchAfterFailureDoesNotWaitForChanges) {
  StartWithResponses({Page(Item("a", 3), 7, false),
                      {503, "text/plain", {}},
                      Events("", 7),
                      Events("", 7)});
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 4; }));
  const std::string held =
      "waitMs=" + std::to_string(Limits().watch_timeout.count());
  EXPECT_NE(targets_[1].find(held), std::string::npos);
  EXPECT_NE(targets_[2].find("waitMs=0"), std::string::npos);
  EXPECT_NE(targets_[3].find(held), std::string::npos);
}

TEST_F(StoreClientTest, WatchReturnsWritesAndRemovals) {
  StartWithResponses(
      {Page(Item("a", 3), 7, false),
       Events(Item("a", 8) + R"(,{"key":"b","rev":9,"deleted":true})", 9),
       Events("", 9), Events(Item("c", 10), 10)});
  ASSERT_TRUE(RunUntil([this] { return changes_.size() >= 3; }));
  ASSERT_GE(changes_.size(), 3U);
  ASSERT_EQ(changes_[0].size(), 2U);
  EXPECT_EQ(changes_[0][0].value, "v");
  EXPECT_FALSE(changes_[0][1].value.has_value());
  EXPECT_TRUE(changes_[1].empty());
  EXPECT_EQ(changes_[2][0].key, "c");
  EXPECT_EQ(revision_, 10U);
}

// Scenario: engines leave in bursts, and each watch response is a billed call
// for each gateway.
TEST_F(StoreClientTest, DelaysAfterEachWatchResponse) {
  StartWithResponses(
      {Page("", 7, false), Events(Item("a", 8), 8), Events(Item("b", 9), 9)});
  ASSERT_TRUE(RunUntil([this] { return changes_.size() >= 2; }));
  ASSERT_TRUE(RunUntil([this] { return delays_ >= 2; }));
  EXPECT_EQ(delays_, 2);
}

// Scenario: hundreds of gateways, of which a few watch the store. The store's
// history since the standby began may be lost, but the peers have it.
TEST_F(StoreClientTest, StandbyMakesNoCallsAndContinuesFromKnownRevision) {
  should_watch_ = false;
  StartWithResponses({Page(Item("a", 3), 7, false), Events("", 50)});
  ASSERT_TRUE(RunUntil([this] { return standbys_ > 0; }));
  EXPECT_EQ(targets_.size(), 1U);
  EXPECT_EQ(standbys_, 1);
  known_revision_ = 42;
  should_watch_ = true;
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 2; }));
  EXPECT_NE(targets_[1].find("/kv-watch"), std::string::npos);
  EXPECT_NE(targets_[1].find("after=42"), std::string::npos) << targets_[1];
}

// Guards against gateways that take over in an outage and hear nothing after
// it: the store swallows the first watch, which looked like one without
// changes.
TEST_F(StoreClientTest, FirstWatchAfterStandbyDoesNotWaitForChanges) {
  should_watch_ = false;
  StartWithResponses(
      {Page(Item("a", 3), 7, false), Events("", 50), Events("", 50)});
  ASSERT_TRUE(RunUntil([this] { return standbys_ > 0; }));
  should_watch_ = true;
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 3; }));
  EXPECT_NE(targets_[1].find("waitMs=0"), std::string::npos) << targets_[1];
  EXPECT_EQ(targets_[2].find("waitMs=0"), std::string::npos) << targets_[2];
}

// Peers may lag behind, too.
TEST_F(StoreClientTest, WatchRevisionNeverDecreases) {
  should_watch_ = false;
  StartWithResponses({Page(Item("a", 3), 7, false)});
  ASSERT_TRUE(RunUntil([this] { return standbys_ > 0; }));
  known_revision_ = 5;
  should_watch_ = true;
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 2; }));
  EXPECT_NE(targets_[1].find("after=7"), std::string::npos) << targets_[1];
}

// Scenario: hundreds of gateways start at the same moment, with a store that
// holds thousands of servers and refuses calls above its rate limit. A client
// that reads all pages again after each refusal is refused again.
TEST_F(StoreClientTest, RetriesOnlyRefusedPage) {
  StartWithResponses({Page(Item("a", 3), 7, true),
                      HttpResponse{429, "text/plain", {}},
                      Page(Item("b", 9), 9, false)});
  ASSERT_TRUE(RunUntil([this] { return !snapshots_.empty(); }));
  ASSERT_EQ(snapshots_[0].size(), 2U);
  EXPECT_EQ(revision_, 7U);
  EXPECT_NE(targets_[2].find("after=a"), std::string::npos) << targets_[2];
}

// The same, if peers have read everything in the meantime.
TEST_F(StoreClientTest, SkipsReadIfPeersProvidedRevision) {
  known_revision_ = 42;
  StartWithResponses({Page(Item("a", 3), 7, true)});
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 3; }));
  EXPECT_NE(targets_[2].find("/kv-watch"), std::string::npos) << targets_[2];
  EXPECT_NE(targets_[2].find("after=42"), std::string::npos);
  EXPECT_TRUE(snapshots_.empty());
}

// What this process itself knew when the store dropped its history is not
// newer.
// Guards against a gateway that starts behind a slow link and reads a megabyte
// from the store that its peers have sent it in a few kilobytes.
TEST_F(StoreClientTest, ReadInProgressEndsWhenPeersHaveProvidedAll) {
  bool was_called = false;
  store_hook_ = [&] {
    if (std::exchange(was_called, true)) return;
    known_revision_ = 9;
    // The response is not read yet.
    client_->OnPeerChanges();
  };
  StartWithResponses({Page(Item("a", 3), 7, false), Events("", 9)});
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 2; }));
  EXPECT_TRUE(snapshots_.empty());
  EXPECT_NE(targets_[1].find("/kv-watch"), std::string::npos);
  EXPECT_NE(targets_[1].find("after=9"), std::string::npos);
}

TEST_F(StoreClientTest, WatchGoesOnWhenPeersProvideChanges) {
  store_hook_ = [&] {
    if (targets_.back().find("/kv-watch") == std::string::npos) return;
    known_revision_ = 8;
    // Nothing long has arrived, and the response may tell more.
    client_->OnPeerChanges();
  };
  StartWithResponses({Page(Item("a", 3), 7, false), Events("", 8)});
  ASSERT_TRUE(RunUntil([this] { return revision_ == 8U; }));
  EXPECT_EQ(snapshots_.size(), 1U);
}

// Long texts are taken out of a response before it is parsed. Keys may have
// what stands for them meanwhile.
TEST_F(StoreClientTest, LongTextsAreRead) {
  const std::string text = "{\"a\":\"" + std::string(100'000, 'x') + "\"}";
  const std::string base64 =
      QByteArray::fromStdString(text).toBase64().toStdString();
  const auto page = [&](const std::string& key, int revision, bool truncated) {
    const std::string item = R"({"key":"long-)" + std::to_string(revision) +
                             R"(","value":")" + base64 + R"(","rev":)" +
                             std::to_string(revision) + "}";
    return Page(item + "," + Item(key, revision + 1), 9, truncated);
  };
  StartWithResponses({page("k", 1, true), page("#text-0", 3, true),
                      page("\\u0023text-0", 5, false)});
  ASSERT_TRUE(RunUntil([this] { return !snapshots_.empty(); }));
  const std::vector<std::string> keys = {"long-1",  "k",      "long-3",
                                         "#text-0", "long-5", "#text-0"};
  ASSERT_EQ(snapshots_[0].size(), keys.size());
  for (std::size_t i = 0; i < keys.size(); ++i) {
    EXPECT_EQ(snapshots_[0][i].key, keys[i]);
    EXPECT_TRUE(snapshots_[0][i].value == (i % 2 == 0 ? text : "v")) << i;
  }
}

TEST_F(StoreClientTest, AfterLostHistoryOnlyNewerPeerRevisionIsAdopted) {
  known_revision_ = 7;
  StartWithResponses(
      {Page(Item("a", 3), 7, false), HttpResponse{410, "text/plain", {}}});
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 5; }));
  for (std::size_t i = 2; i < 5; ++i) {
    EXPECT_NE(targets_[i].find("/kv-range"), std::string::npos) << targets_[i];
  }
  known_revision_ = 60;
  ASSERT_TRUE(RunUntil([this] {
    return targets_.back().find("after=60") != std::string::npos;
  }));
}

TEST_F(StoreClientTest, LostHistoryTriggersFullRead) {
  StartWithResponses({Page(Item("a", 3), 7, false),
                      {410, "application/json", "{}"},
                      Page(Item("b", 30), 31, false)});
  ASSERT_TRUE(RunUntil([this] { return snapshots_.size() >= 2; }));
  ASSERT_EQ(snapshots_.size(), 2U);
  EXPECT_EQ(revision_, 31U);
  // The read must not allow stale data.
  EXPECT_EQ(targets_[2].find("allowStale"), std::string::npos);
}

TEST_F(StoreClientTest, RefusalIsOutageUntilNextResponse) {
  StartWithResponses({Page("", 7, false),
                      {503, "text/plain", ""},
                      {429, "text/plain", ""},
                      Events(Item("a", 8), 8)});
  ASSERT_TRUE(RunUntil([this] { return !changes_.empty(); }));
  ASSERT_GE(availability_.size(), 4U);
  EXPECT_TRUE(availability_[0]);
  EXPECT_FALSE(availability_[1]);
  EXPECT_FALSE(availability_[2]);
  EXPECT_TRUE(availability_[3]);
  // The watch continues from where it was.
  EXPECT_NE(targets_[3].find("after=7"), std::string::npos);
}

// A response of a store that was restored so many times from an older copy.
HttpResponse InEra(int era, HttpResponse response) {
  response.fields.Add("Store-Era", std::to_string(era));
  return response;
}

// The store came back from a copy with fewer revisions than this client knew,
// and has given one of them out again: a watch from there misses what was
// written before.
TEST_F(StoreClientTest, RestoredStoreIsReadAgain) {
  StartWithResponses({InEra(1, Page(Item("a", 30), 40, false)),
                      InEra(2, Events(Item("c", 41), 41)),
                      InEra(2, Page(Item("b", 9), 41, false))});
  ASSERT_TRUE(RunUntil([this] { return snapshots_.size() >= 2; }));
  // The watch of the earlier era is not applied.
  EXPECT_TRUE(changes_.empty());
  EXPECT_EQ(snapshots_[1][0].key, "b");
  EXPECT_GT(snapshots_[1][0].revision, snapshots_[0][0].revision);
  EXPECT_EQ(revisions::EraOf(revision_), 2U);
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 4; }));
  EXPECT_NE(targets_[3].find("after=41"), std::string::npos) << targets_[3];
}

// A store that was restored does not have the revision of the watch.
TEST_F(StoreClientTest, LostHistoryInNewEraTriggersFullRead) {
  StartWithResponses({InEra(1, Page(Item("a", 30), 40, false)),
                      InEra(2, {410, "application/json", "{}"}),
                      InEra(2, Page(Item("b", 9), 12, false))});
  ASSERT_TRUE(RunUntil([this] { return snapshots_.size() >= 2; }));
  EXPECT_EQ(revision_, *revisions::MakeRevision(2, 12));
}

TEST_F(StoreClientTest, ReadBeginsAgainIfStoreIsRestoredBetweenPages) {
  StartWithResponses({InEra(1, Page(Item("a", 3), 40, true)),
                      InEra(2, Page(Item("b", 4), 12, false)),
                      InEra(2, Page(Item("a", 2), 12, false))});
  ASSERT_TRUE(RunUntil([this] { return !snapshots_.empty(); }));
  EXPECT_EQ(snapshots_[0].size(), 1U);
  EXPECT_EQ(targets_[2].find("after="), std::string::npos) << targets_[2];
  EXPECT_EQ(revision_, *revisions::MakeRevision(2, 12));
}

// Another gateway read the restored store first, so that this one need not.
TEST_F(StoreClientTest, RestoredStoreIsNotReadIfPeersHaveReadIt) {
  known_revision_ = *revisions::MakeRevision(2, 12);
  StartWithResponses({InEra(1, Page(Item("a", 30), 40, false)),
                      InEra(2, Events("", 14)), InEra(2, Events("", 14))});
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 3; }));
  EXPECT_NE(targets_[2].find("/kv-watch"), std::string::npos) << targets_[2];
  EXPECT_NE(targets_[2].find("after=12&"), std::string::npos) << targets_[2];
}

// A response that is older than what peers have read is not applied.
TEST_F(StoreClientTest, ResponseOfEarlierEraIsFailure) {
  StartWithResponses({InEra(2, Page(Item("a", 3), 12, false)),
                      InEra(1, Events(Item("b", 41), 41)),
                      InEra(2, Events(Item("c", 13), 13))});
  ASSERT_TRUE(RunUntil([this] { return !changes_.empty(); }));
  EXPECT_EQ(changes_[0][0].key, "c");
  EXPECT_EQ(revision_, *revisions::MakeRevision(2, 13));
}

// Guards against missed changes: a client that had read nothing yet learned the
// era from a refusal, took over what peers knew of the era before, and watched
// after a counter that the restored store had given out again.
TEST_F(StoreClientTest, RevisionOfEarlierEraIsNotAdopted) {
  known_revision_ = *revisions::MakeRevision(1, 42);
  StartWithResponses({InEra(2, {503, "text/plain", {}}),
                      InEra(2, Page(Item("a", 9), 12, false))});
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 2; }));
  EXPECT_NE(targets_[1].find("/kv-range"), std::string::npos) << targets_[1];
  ASSERT_TRUE(RunUntil([this] { return !snapshots_.empty(); }));
  EXPECT_EQ(revision_, *revisions::MakeRevision(2, 12));
}

// Guards against a configuration that is late after a disruption of the store:
// the response to a watch is lost, its connection stays open and returns
// nothing more. A gateway is expected to be up to date five seconds later
// (platform: 3 s of calm, and 2 s for a configuration to take effect).
TEST_F(StoreClientTest, WatchWhoseResponseIsLostIsGivenUpInTime) {
  constexpr milliseconds kUpToDateAfterLoss{5000};
  const StoreClient::Limits limits;
  const milliseconds retry = limits.min_retry_delay;
  EXPECT_LT(limits.watch_timeout + limits.response_timeout + retry,
            kUpToDateAfterLoss);
}

// The values of items that another writer may leave, as they may arrive.
class OddValueTest : public StoreClientTest,
                     public testing::WithParamInterface<const char*> {
 protected:
  static std::string OddItem(int revision) {
    return R"({"key":"odd","rev":)" + std::to_string(revision) + GetParam() +
           "}";
  }
  static const revisions::RevisionedEntry* Find(
      const StoreClient::Entries& entries, const std::string& key) {
    const auto found =
        std::ranges::find(entries, key, &revisions::RevisionedEntry::key);
    return found == entries.end() ? nullptr : &*found;
  }
};

// One item made the whole response unreadable, which was asked for again and
// again: nothing else that changed became known (issue 30).
TEST_P(OddValueTest, OtherItemsAreRead) {
  StartWithResponses({Page(Item("a", 3) + "," + OddItem(4), 5, true),
                      Page(Item("b", 5), 5, false),
                      Events(OddItem(6) + "," + Item("c", 7), 7),
                      Events(Item("d", 8), 8)});
  ASSERT_TRUE(RunUntil([this] { return changes_.size() >= 2; }));
  ASSERT_EQ(snapshots_.size(), 1U);
  EXPECT_NE(Find(snapshots_[0], "a"), nullptr);
  EXPECT_NE(Find(snapshots_[0], "b"), nullptr);
  EXPECT_NE(Find(changes_[0], "c"), nullptr);
  // What the key held before does not remain.
  ASSERT_NE(Find(changes_[0], "odd"), nullptr);
  EXPECT_NE(Find(changes_[0], "odd")->value, "v");
  EXPECT_EQ(changes_[1][0].key, "d");
  EXPECT_EQ(std::ranges::find(availability_, false), availability_.end());
}

INSTANTIATE_TEST_SUITE_P(
    Values, OddValueTest,
    testing::Values("", R"(,"value":null)", R"(,"value":7)",
                    R"(,"value":["dg=="])", R"(,"value":"%&/")",
                    R"(,"value":"","created":-1,"lease":1e300)",
                    R"(,"value":"dg","value":"","deleted":"no")"));

class OddKeyTest : public StoreClientTest,
                   public testing::WithParamInterface<const char*> {};

// A key that is not Unicode made the response invalid JSON, which was asked for
// again and again (issue 30).
TEST_P(OddKeyTest, OtherItemsAreRead) {
  const std::string key = GetParam();
  StartWithResponses({Page(Item("a\\ud83d\\ude00", 3) + "," + Item(key, 4) +
                               "," + Item("b", 5),
                           5, false),
                      Events(Item(key, 6) + "," + Item("c", 7), 7)});
  ASSERT_TRUE(RunUntil([this] { return !changes_.empty(); }));
  ASSERT_EQ(snapshots_[0].size(), 3U);
  // A pair of surrogates is one character.
  EXPECT_EQ(snapshots_[0][0].key, "a\xf0\x9f\x98\x80");
  EXPECT_EQ(snapshots_[0][1].key, "k\xef\xbf\xbd");
  EXPECT_EQ(snapshots_[0][2].key, "b");
  EXPECT_EQ(changes_[0][1].key, "c");
}

INSTANTIATE_TEST_SUITE_P(Keys, OddKeyTest,
                         testing::Values("k\xff", "k\xc3", "k\\ud800",
                                         "k\\udc80", "k\\uDBFF"));

class UnreadableItemTest : public StoreClientTest,
                           public testing::WithParamInterface<const char*> {};

// An item without a key or a revision may have been damaged on its way, so that
// the response is asked for again, but not for ever.
TEST_P(UnreadableItemTest, IsLeftOutWhenItComesAgain) {
  const std::string items = Item("a", 3) + "," + GetParam();
  const HttpResponse page = Page(items, 7, false);
  const HttpResponse events =
      Events(std::string(GetParam()) + "," + Item("b", 8), 8);
  StartWithResponses(
      {page, page, page, events, events, events, Events(Item("c", 9), 9)});
  ASSERT_TRUE(RunUntil([this] { return changes_.size() >= 2; }));
  ASSERT_EQ(snapshots_.size(), 1U);
  ASSERT_EQ(snapshots_[0].size(), 1U);
  EXPECT_EQ(snapshots_[0][0].key, "a");
  ASSERT_EQ(changes_[0].size(), 1U);
  EXPECT_EQ(changes_[0][0].key, "b");
  EXPECT_EQ(changes_[1][0].key, "c");
  EXPECT_EQ(revision_, 9U);
}

// The last revision is beyond those that fit beside an era.
INSTANTIATE_TEST_SUITE_P(
    Items, UnreadableItemTest,
    testing::Values("null", "7", "[]", "{}", R"({"key":"k"})",
                    R"({"rev":4,"value":"dg=="})",
                    R"({"key":7,"rev":4,"value":"dg=="})",
                    R"({"key":"k","rev":"4","value":"dg=="})",
                    R"({"key":"k","rev":-4,"value":"dg=="})",
                    R"({"key":"k","rev":4.5,"value":"dg=="})",
                    R"({"key":"k","rev":1e300,"value":"dg=="})",
                    R"({"key":"k","rev":99999999999999999999,"value":""})",
                    R"({"key":"k","rev":281474976710656,"value":"dg=="})"));

// The same page would be read again and again, without a pause.
TEST_F(StoreClientTest, TruncatedPageWithoutItemsIsFailure) {
  StartWithResponses({Page(Item("a", 3), 7, true), Page("", 7, true),
                      Page(Item("b", 4), 7, false)});
  ASSERT_TRUE(RunUntil([this] { return !snapshots_.empty(); }));
  EXPECT_EQ(snapshots_[0].size(), 2U);
  // The second one counted as a failure, which is followed by a pause.
  ASSERT_GE(availability_.size(), 3U);
  EXPECT_FALSE(availability_[1]);
  EXPECT_TRUE(availability_[2]);
}

TEST_F(StoreClientTest, PageWithoutTruncatedIsTheLast) {
  StartWithResponses(
      {Json(R"({"items":[)" + Item("a", 3) + R"(],"storeRevision":7})")});
  ASSERT_TRUE(RunUntil([this] { return !snapshots_.empty(); }));
  EXPECT_EQ(snapshots_[0].size(), 1U);
}

// A watch that returned more than is read at once returned it again each time,
// until the store had dropped that history.
TEST_F(StoreClientTest, TooLongWatchResponseTriggersFullRead) {
  const std::string text(9 << 20, 'x');
  StartWithResponses(
      {Page(Item("a", 3), 7, false),
       Events(R"({"key":"long","rev":8,"value":")" + text + "\"}", 8),
       Page(Item("b", 8), 9, false)});
  ASSERT_TRUE(RunUntil([this] { return snapshots_.size() >= 2; }));
  EXPECT_EQ(snapshots_[1][0].key, "b");
}

// No later response would be of that era.
TEST_F(StoreClientTest, EraBeyondRevisionsIsIgnored) {
  HttpResponse watch = Events("", 7);
  watch.fields.Add("Store-Era", "99999999999");
  StartWithResponses(
      {Page(Item("a", 3), 7, false), watch, Events(Item("b", 8), 8)});
  ASSERT_TRUE(RunUntil([this] { return changes_.size() >= 2; }));
  EXPECT_EQ(changes_[1][0].key, "b");
  EXPECT_EQ(revision_, 8U);
}

class InvalidResponseTest : public StoreClientTest,
                            public testing::WithParamInterface<const char*> {};

// The response is not applied as a change, and the watch is repeated.
TEST_P(InvalidResponseTest, CountsAsFailureWithoutChanges) {
  StartWithResponses(
      {Page("", 7, false), Json(GetParam()), Events(Item("a", 8), 8)});
  ASSERT_TRUE(RunUntil([this] { return !changes_.empty(); }));
  ASSERT_EQ(changes_.size(), 1U);
  EXPECT_EQ(changes_[0][0].key, "a");
  EXPECT_NE(std::ranges::find(availability_, false), availability_.end());
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, InvalidResponseTest,
    testing::Values("", "no json", "[]", "{}", R"({"events":[]})",
                    R"({"events":3,"storeRevision":9})",
                    R"({"events":[{"key":3,"rev":9}],"storeRevision":9})",
                    R"({"events":[{"key":"k"}],"storeRevision":9})",
                    R"({"events":[],"storeRevision":"9"})"));

}  // namespace
}  // namespace balsam::platform
