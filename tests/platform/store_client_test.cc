// The contract with the platform's store, against a scripted stand-in on
// loopback: reads in pages, the watch, its lost history, refusals, and answers
// that cannot be read.
#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "services/gateway/plain_server.h"
#include "tests/services/gateway/event_loop.h"

namespace balsam::platform {
namespace {

using gateway::PlainAnswer;
using gateway::PlainServer;
using gateway::RunUntil;
using std::chrono::milliseconds;

// Base64 of "v".
constexpr char kValue[] = "dg==";

PlainAnswer Json(const std::string& body) {
  return {200, "application/json", body};
}

std::string Item(const std::string& key, int revision) {
  return R"({"key":")" + key + R"(","value":")" + kValue + R"(","rev":)" +
         std::to_string(revision) + R"(,"created":1,"lease":0})";
}

PlainAnswer Page(const std::string& items, int revision, bool truncated) {
  return Json(R"({"items":[)" + items + R"(],"truncated":)" +
              (truncated ? "true" : "false") + R"(,"storeRevision":)" +
              std::to_string(revision) + "}");
}

PlainAnswer Events(const std::string& events, int revision) {
  return Json(R"({"events":[)" + events + R"(],"storeRevision":)" +
              std::to_string(revision) + "}");
}

class StoreClientTest : public testing::Test {
 protected:
  StoreClientTest()
      : store_([this](const http1::RequestHead& head, const std::string&) {
          targets_.push_back(head.target);
          if (answers_.empty()) return PlainAnswer{503, "text/plain", {}};
          PlainAnswer answer = answers_.front();
          answers_.pop_front();
          return answer;
        }) {}

  // Starts a client of a store that gives these answers, and then 503.
  void Play(std::deque<PlainAnswer> answers) {
    answers_ = std::move(answers);
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
    client_->is_on_duty = [this] { return is_on_duty_; };
    client_->known_revision = [this] { return known_revision_; };
    client_->on_standby = [this] { ++standbys_; };
    client_->watch_pause = [this] {
      ++pauses_;
      return milliseconds(1);
    };
    client_->Start();
  }

  static StoreClient::Limits Limits() {
    StoreClient::Limits limits;
    limits.min_pause = milliseconds(1);
    limits.max_pause = milliseconds(2);
    limits.standby_look = milliseconds(1);
    return limits;
  }

  PlainServer store_;
  std::deque<PlainAnswer> answers_;
  std::vector<std::string> targets_;
  std::unique_ptr<StoreClient> client_;
  std::vector<StoreClient::Entries> snapshots_;
  std::vector<StoreClient::Entries> changes_;
  std::vector<bool> availability_;
  std::uint64_t revision_ = 0;
  int pauses_ = 0;
  bool is_on_duty_ = true;
  std::uint64_t known_revision_ = 0;
  int standbys_ = 0;
};

TEST_F(StoreClientTest, PagesAreOneSnapshotOfTheFirstPagesRevision) {
  Play({Page(Item("a", 3), 7, true), Page(Item("b", 9), 9, false)});
  ASSERT_TRUE(RunUntil([this] { return !snapshots_.empty(); }));
  ASSERT_EQ(snapshots_.size(), 1U);
  ASSERT_EQ(snapshots_[0].size(), 2U);
  EXPECT_EQ(snapshots_[0][0].value, "v");
  EXPECT_EQ(snapshots_[0][1].revision, 9U);
  // What changed between the pages comes by the watch.
  EXPECT_EQ(revision_, 7U);
  EXPECT_NE(targets_[1].find("after=a"), std::string::npos);
  ASSERT_TRUE(RunUntil([this] { return targets_.size() > 2; }));
  EXPECT_NE(targets_[2].find("/kv-watch"), std::string::npos);
  EXPECT_NE(targets_[2].find("after=7"), std::string::npos);
}

TEST_F(StoreClientTest, AWatchTellsOfWritesAndRemovalsAndGoesOn) {
  Play({Page(Item("a", 3), 7, false),
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

// The pattern: engines leave in bursts, and each answer of a watch is a priced
// call to each gateway.
TEST_F(StoreClientTest, EachAnswerOfAWatchIsFollowedByARest) {
  Play({Page("", 7, false), Events(Item("a", 8), 8), Events(Item("b", 9), 9)});
  ASSERT_TRUE(RunUntil([this] { return changes_.size() >= 2; }));
  ASSERT_TRUE(RunUntil([this] { return pauses_ >= 2; }));
  EXPECT_EQ(pauses_, 2);
}

// The pattern: hundreds of gateways, of which a few watch the store. What the
// others learned meanwhile may be all that is left of the store's history.
TEST_F(StoreClientTest, OneThatStandsByCallsNobodyAndGoesOnFromWhatIsKnown) {
  is_on_duty_ = false;
  Play({Page(Item("a", 3), 7, false), Events("", 50)});
  ASSERT_TRUE(RunUntil([this] { return standbys_ > 0; }));
  EXPECT_EQ(targets_.size(), 1U);
  EXPECT_EQ(standbys_, 1);
  known_revision_ = 42;
  is_on_duty_ = true;
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 2; }));
  EXPECT_NE(targets_[1].find("/kv-watch"), std::string::npos);
  EXPECT_NE(targets_[1].find("after=42"), std::string::npos) << targets_[1];
}

// Peers may be behind, too.
TEST_F(StoreClientTest, AWatchNeverStepsBack) {
  is_on_duty_ = false;
  Play({Page(Item("a", 3), 7, false)});
  ASSERT_TRUE(RunUntil([this] { return standbys_ > 0; }));
  known_revision_ = 5;
  is_on_duty_ = true;
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 2; }));
  EXPECT_NE(targets_[1].find("after=7"), std::string::npos) << targets_[1];
}

// The pattern: hundreds of gateways that start at one moment, before a store
// that holds thousands of servers and refuses what is beyond its rate. Whoever
// reads all pages again after each refusal is refused again.
TEST_F(StoreClientTest, ARefusedPageAloneIsAskedForAgain) {
  Play({Page(Item("a", 3), 7, true), PlainAnswer{429, "text/plain", {}},
        Page(Item("b", 9), 9, false)});
  ASSERT_TRUE(RunUntil([this] { return !snapshots_.empty(); }));
  ASSERT_EQ(snapshots_[0].size(), 2U);
  EXPECT_EQ(revision_, 7U);
  EXPECT_NE(targets_[2].find("after=a"), std::string::npos) << targets_[2];
}

// The same, where others have read it all meanwhile.
TEST_F(StoreClientTest, WhatPeersToldNeedNotBeRead) {
  known_revision_ = 42;
  Play({Page(Item("a", 3), 7, true)});
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 3; }));
  EXPECT_NE(targets_[2].find("/kv-watch"), std::string::npos) << targets_[2];
  EXPECT_NE(targets_[2].find("after=42"), std::string::npos);
  EXPECT_TRUE(snapshots_.empty());
}

// What this process itself knew when the store dropped its history is no newer.
TEST_F(StoreClientTest, AfterLostHistoryOnlyNewerWordOfPeersWillDo) {
  known_revision_ = 7;
  Play({Page(Item("a", 3), 7, false), PlainAnswer{410, "text/plain", {}}});
  ASSERT_TRUE(RunUntil([this] { return targets_.size() >= 5; }));
  for (std::size_t i = 2; i < 5; ++i) {
    EXPECT_NE(targets_[i].find("/kv-range"), std::string::npos) << targets_[i];
  }
  known_revision_ = 60;
  ASSERT_TRUE(RunUntil([this] {
    return targets_.back().find("after=60") != std::string::npos;
  }));
}

TEST_F(StoreClientTest, LostHistoryIsMadeUpForByAWholeRead) {
  Play({Page(Item("a", 3), 7, false),
        {410, "application/json", "{}"},
        Page(Item("b", 30), 31, false)});
  ASSERT_TRUE(RunUntil([this] { return snapshots_.size() >= 2; }));
  ASSERT_EQ(snapshots_.size(), 2U);
  EXPECT_EQ(revision_, 31U);
  // Whatever is read there must be true now.
  EXPECT_EQ(targets_[2].find("allowStale"), std::string::npos);
}

TEST_F(StoreClientTest, ARefusalIsAnOutageUntilTheNextAnswer) {
  Play({Page("", 7, false),
        {503, "text/plain", ""},
        {429, "text/plain", ""},
        Events(Item("a", 8), 8)});
  ASSERT_TRUE(RunUntil([this] { return !changes_.empty(); }));
  ASSERT_GE(availability_.size(), 4U);
  EXPECT_TRUE(availability_[0]);
  EXPECT_FALSE(availability_[1]);
  EXPECT_FALSE(availability_[2]);
  EXPECT_TRUE(availability_[3]);
  // The watch goes on from where it was.
  EXPECT_NE(targets_[3].find("after=7"), std::string::npos);
}

class BadAnswerTest : public StoreClientTest,
                      public testing::WithParamInterface<const char*> {};

// None of it is taken for a change, and the watch is asked again.
TEST_P(BadAnswerTest, IsAFailureAndChangesNothing) {
  Play({Page("", 7, false), Json(GetParam()), Events(Item("a", 8), 8)});
  ASSERT_TRUE(RunUntil([this] { return !changes_.empty(); }));
  ASSERT_EQ(changes_.size(), 1U);
  EXPECT_EQ(changes_[0][0].key, "a");
  EXPECT_NE(std::ranges::find(availability_, false), availability_.end());
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, BadAnswerTest,
    testing::Values("", "no json", "[]", "{}", R"({"events":[]})",
                    R"({"events":3,"storeRevision":9})",
                    R"({"events":[{"key":3,"rev":9}],"storeRevision":9})",
                    R"({"events":[{"key":"k"}],"storeRevision":9})",
                    R"({"events":[],"storeRevision":"9"})"));

}  // namespace
}  // namespace balsam::platform
