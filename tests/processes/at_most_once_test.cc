// At most once and "not run", on real processes: door releases sent again
// while homes die, restart, move, freeze and are cut off.
#include <gtest/gtest.h>

#include "tests/processes/cluster.h"
#include "tests/processes/forwarder.h"

namespace balsam::processes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kDoor[] = R"({"door": "17B"})";

class AtMostOnceProcessTest : public testing::Test {
 protected:
  void StartWith(int services) {
    for (int i = 1; i <= services; ++i) {
      cluster_.AddService("locker-" + std::to_string(i));
    }
    cluster_.AddEntry("entry-1");
    cluster_.AddEntry("entry-2");
    ASSERT_TRUE(cluster_.Start());
    // Keys made now are younger than the homes by more than all graces.
    WaitUntil([] { return false; }, seconds(1));
  }

  std::unique_ptr<Exchange> Begin(const std::string& entry,
                                  const std::string& key,
                                  const std::string& body = kDoor) {
    Headers headers = CallerHeaders();
    if (!key.empty()) headers["Idempotency-Key"] = key;
    return std::make_unique<Exchange>(
        "POST", cluster_.EntryUrl(entry) + "/services/locker-api/release", body,
        headers);
  }
  HttpAnswer Release(const std::string& entry, const std::string& key) {
    auto exchange = Begin(entry, key);
    exchange->Wait();
    return exchange->answer();
  }
  // The VM that ran the body, or an empty name.
  std::string Runner(const std::string& body = kDoor) {
    for (int i = 1; i <= 3; ++i) {
      std::string vm = "locker-" + std::to_string(i);
      if (cluster_.Runs(vm, body) > 0) return vm;
    }
    return "";
  }

  Cluster cluster_;
};

TEST_F(AtMostOnceProcessTest, ARepeatThroughAnotherEntryGetsTheFirstAnswer) {
  StartWith(3);
  const std::string key = NewKey();
  const HttpAnswer first = Release("entry-1", key);
  const HttpAnswer second = Release("entry-2", key);
  EXPECT_EQ(first.status, 200);
  EXPECT_EQ(first.body, second.body);
  EXPECT_EQ(cluster_.TotalRuns(kDoor), 1);
}

TEST_F(AtMostOnceProcessTest, ABackendThatRanButDidNotAnswerIsNotAskedAgain) {
  StartWith(1);
  cluster_.SetServiceFault("locker-1", {{"cut_answers", true}});
  const std::string key = NewKey();
  const HttpAnswer first = Release("entry-1", key);
  EXPECT_EQ(first.Ran(), "unknown");
  cluster_.SetServiceFault("locker-1", {{"cut_answers", false}});
  EXPECT_EQ(Release("entry-2", key).Ran(), "unknown");
  EXPECT_EQ(cluster_.TotalRuns(kDoor), 1);
}

TEST_F(AtMostOnceProcessTest, ACallWithoutKeyIsNotRetriedOnceSent) {
  StartWith(3);
  for (int i = 1; i <= 3; ++i) {
    cluster_.SetServiceFault("locker-" + std::to_string(i),
                             {{"cut_answers", true}});
  }
  EXPECT_EQ(Release("entry-1", "").Ran(), "unknown");
  EXPECT_EQ(cluster_.TotalRuns(kDoor), 1);
}

TEST_F(AtMostOnceProcessTest, AHomeThatRestartsDoesNotRunAnOldKeyAgain) {
  StartWith(3);
  const std::string key = NewKey();
  EXPECT_EQ(Release("entry-1", key).status, 200);
  const std::string home = Runner();
  cluster_.process(home).Kill();
  cluster_.Restart(home);
  for (int i = 0; i < 10; ++i) {
    const HttpAnswer again = Release(i % 2 == 0 ? "entry-1" : "entry-2", key);
    EXPECT_EQ(again.Ran(), "unknown") << again.body;
    WaitUntil([] { return false; }, milliseconds(100));
  }
  EXPECT_EQ(cluster_.TotalRuns(kDoor), 1);
}

TEST_F(AtMostOnceProcessTest, AHomeKilledDuringTheCallLeavesOneRun) {
  StartWith(3);
  for (int i = 1; i <= 3; ++i) {
    cluster_.SetServiceFault("locker-" + std::to_string(i),
                             {{"delay_ms", 1500}});
  }
  const std::string key = NewKey();
  auto first = Begin("entry-1", key);
  ASSERT_TRUE(WaitUntil([this] { return !Runner().empty(); }, seconds(10)));
  cluster_.process(Runner()).Kill();
  auto second = Begin("entry-2", key);
  first->Wait();
  second->Wait();
  EXPECT_EQ(first->answer().Ran(), "unknown") << first->answer().body;
  EXPECT_EQ(second->answer().Ran(), "unknown") << second->answer().body;
  cluster_.Restart(Runner());
  Release("entry-2", key);
  EXPECT_EQ(cluster_.TotalRuns(kDoor), 1);
}

TEST_F(AtMostOnceProcessTest, AKeyWhoseHomeMovedIsNotRunAgain) {
  StartWith(3);
  const std::string key = NewKey();
  EXPECT_EQ(Release("entry-1", key).status, 200);
  const std::string home = Runner();
  cluster_.SetVmState(home, "leaving");
  WaitUntil([] { return false; }, seconds(2));
  for (int i = 0; i < 5; ++i) {
    EXPECT_NE(Release("entry-2", key).Ran(), "not_run");
    EXPECT_NE(Release("entry-1", key).Ran(), "not_run");
  }
  EXPECT_EQ(cluster_.TotalRuns(kDoor), 1);
  // New keys run at their new homes.
  int ran = 0;
  for (int i = 0; i < 10; ++i) {
    auto exchange = Begin("entry-1", NewKey(), "new " + std::to_string(i));
    exchange->Wait();
    ran += exchange->answer().status == 200 ? 1 : 0;
  }
  EXPECT_EQ(ran, 10);
}

TEST_F(AtMostOnceProcessTest, EntriesWithDifferentListsRunAKeyOnce) {
  StartWith(3);
  // One entry keeps the old list: it hears neither platform nor peers.
  cluster_.process("entry-2").Freeze();
  const std::string key = NewKey();
  EXPECT_EQ(Release("entry-1", key).status, 200);
  cluster_.SetVmState(Runner(), "leaving");
  WaitUntil([] { return false; }, seconds(1));
  EXPECT_NE(Release("entry-1", key).Ran(), "not_run");
  cluster_.process("entry-2").Thaw();
  EXPECT_NE(Release("entry-2", key).Ran(), "not_run");
  EXPECT_EQ(cluster_.TotalRuns(kDoor), 1);
}

TEST_F(AtMostOnceProcessTest, AFrozenHomeThatWakesRunsNothingGivenUpOn) {
  StartWith(1);
  cluster_.process("locker-1").Freeze();
  const std::string key = NewKey();
  auto first = Begin("entry-1", key);
  first->Wait();
  const HttpAnswer given_up = first->answer();
  EXPECT_EQ(given_up.Ran(), "unknown") << given_up.body;
  EXPECT_EQ(cluster_.TotalRuns(kDoor), 0);
  WaitUntil([] { return false; }, seconds(2));
  cluster_.process("locker-1").Thaw();
  WaitUntil([] { return false; }, seconds(1));
  // The call's deadline has passed, so waking does not open the door.
  EXPECT_EQ(cluster_.TotalRuns(kDoor), 0);
  Release("entry-2", key);
  EXPECT_LE(cluster_.TotalRuns(kDoor), 1);
}

TEST_F(AtMostOnceProcessTest, AHomeThatIsCutOffIsUnknownAtOnce) {
  cluster_.AddService("locker-1");
  cluster_.AddEntry("entry-1");
  Forwarder forwarder(cluster_.PeerPort("locker-1"));
  cluster_.SetListedPeerPort("locker-1", forwarder.port());
  ASSERT_TRUE(cluster_.Start());
  WaitUntil([] { return false; }, seconds(1));
  forwarder.set_cut(true);
  const std::string key = NewKey();
  EXPECT_EQ(Release("entry-1", key).Ran(), "unknown");
  forwarder.set_cut(false);
  WaitUntil([&] { return Release("entry-1", NewKey()).status == 200; },
            seconds(20));
  Release("entry-1", key);
  EXPECT_LE(cluster_.TotalRuns(kDoor), 2);
}

TEST_F(AtMostOnceProcessTest, ATicketRunsOnceAndDiesWithItsHolder) {
  StartWith(3);
  const HttpAnswer issued =
      Send("POST", cluster_.EntryUrl("entry-1") + "/v1/tickets/locker-api", "",
           CallerHeaders());
  ASSERT_EQ(issued.status, 200) << issued.body;
  Headers headers = CallerHeaders();
  headers["Balsam-Ticket"] = issued.Json()["ticket"].get<std::string>();
  const std::string path = "/services/locker-api/release";
  const HttpAnswer first =
      Send("POST", cluster_.EntryUrl("entry-1") + path, kDoor, headers);
  const HttpAnswer again =
      Send("POST", cluster_.EntryUrl("entry-2") + path, kDoor, headers);
  EXPECT_EQ(first.status, 200) << first.body;
  EXPECT_EQ(first.body, again.body);
  const std::string holder = Runner();
  cluster_.process(holder).Kill();
  cluster_.Restart(holder);
  const HttpAnswer late =
      Send("POST", cluster_.EntryUrl("entry-2") + path, kDoor, headers);
  EXPECT_EQ(late.Ran(), "unknown") << late.body;
  EXPECT_EQ(cluster_.TotalRuns(kDoor), 1);
}

class NotRunProcessTest : public AtMostOnceProcessTest {};

TEST_F(NotRunProcessTest, WithoutAnyBackendServerACallIsNotRunAtOnce) {
  StartWith(1);
  cluster_.process("locker-1/backend").Kill();
  const HttpAnswer answer = Release("entry-1", NewKey());
  EXPECT_EQ(answer.Ran(), "not_run") << answer.body;
  EXPECT_TRUE(answer.headers.contains("retry-after"));
  EXPECT_EQ(answer.Code(), 2005);
}

TEST_F(NotRunProcessTest, ADeadSidecarMeansNotRunForACallWithoutKey) {
  StartWith(1);
  cluster_.process("locker-1").Kill();
  WaitUntil([] { return false; }, milliseconds(300));
  const HttpAnswer answer = Release("entry-1", "");
  EXPECT_EQ(answer.Ran(), "not_run") << answer.body;
  cluster_.Restart("locker-1");
  WaitUntil([] { return false; }, seconds(1));
  EXPECT_EQ(cluster_.TotalRuns(kDoor), 0);
}

}  // namespace
}  // namespace balsam::processes
