// Tests on real processes that a call that is not idempotent runs at most once,
// and that a call reported as "not run" did not run. Calls are repeated while
// the sidecars that own their keys are killed, restarted, suspended or
// disconnected, or while another sidecar becomes the owner.
#include <gtest/gtest.h>

#include "tests/processes/cluster.h"
#include "tests/processes/forwarder.h"

namespace balsam::processes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kReleaseBody[] = R"({"door": "17B"})";

class AtMostOnceProcessTest : public testing::Test {
 protected:
  void StartCluster(int services) {
    for (int i = 1; i <= services; ++i) {
      cluster_.AddService("locker-" + std::to_string(i));
    }
    cluster_.AddEntry("entry-1");
    cluster_.AddEntry("entry-2");
    ASSERT_TRUE(cluster_.Start());
    // Keys created after this wait are newer than the sidecars by more than all
    // grace periods.
    WaitUntil([] { return false; }, seconds(1));
  }

  std::unique_ptr<AsyncRequest> StartRelease(
      const std::string& entry, const std::string& key,
      const std::string& body = kReleaseBody) {
    Headers headers = CallerHeaders();
    if (!key.empty()) headers["Idempotency-Key"] = key;
    return std::make_unique<AsyncRequest>(
        "POST", cluster_.EntryUrl(entry) + "/services/locker-api/release", body,
        headers);
  }
  HttpResponse Release(const std::string& entry, const std::string& key) {
    auto request = StartRelease(entry, key);
    request->Wait();
    return request->response();
  }
  // Returns the VM that ran the body, or an empty string.
  std::string VmThatRan(const std::string& body = kReleaseBody) {
    for (int i = 1; i <= 3; ++i) {
      std::string vm = "locker-" + std::to_string(i);
      if (cluster_.RunCount(vm, body) > 0) return vm;
    }
    return "";
  }

  Cluster cluster_;
};

TEST_F(AtMostOnceProcessTest,
       RepeatedKeyThroughAnotherEntryReturnsFirstResponse) {
  StartCluster(3);
  const std::string key = NewIdempotencyKey();
  const HttpResponse first = Release("entry-1", key);
  const HttpResponse second = Release("entry-2", key);
  EXPECT_EQ(first.status, 200);
  EXPECT_EQ(first.body, second.body);
  EXPECT_EQ(cluster_.TotalRunCount(kReleaseBody), 1);
}

TEST_F(AtMostOnceProcessTest,
       CallIsNotRepeatedAfterBackendServerRanWithoutResponding) {
  StartCluster(1);
  cluster_.SetServiceFault("locker-1", {{"cut_answers", true}});
  const std::string key = NewIdempotencyKey();
  const HttpResponse first = Release("entry-1", key);
  EXPECT_EQ(first.Ran(), "unknown");
  cluster_.SetServiceFault("locker-1", {{"cut_answers", false}});
  EXPECT_EQ(Release("entry-2", key).Ran(), "unknown");
  EXPECT_EQ(cluster_.TotalRunCount(kReleaseBody), 1);
}

TEST_F(AtMostOnceProcessTest, CallWithoutKeyIsNotRetriedOnceSent) {
  StartCluster(3);
  for (int i = 1; i <= 3; ++i) {
    cluster_.SetServiceFault("locker-" + std::to_string(i),
                             {{"cut_answers", true}});
  }
  EXPECT_EQ(Release("entry-1", "").Ran(), "unknown");
  EXPECT_EQ(cluster_.TotalRunCount(kReleaseBody), 1);
}

TEST_F(AtMostOnceProcessTest, RestartedSidecarDoesNotRunOldKeyAgain) {
  StartCluster(3);
  const std::string key = NewIdempotencyKey();
  EXPECT_EQ(Release("entry-1", key).status, 200);
  const std::string owner = VmThatRan();
  cluster_.process(owner).Kill();
  cluster_.Restart(owner);
  for (int i = 0; i < 10; ++i) {
    const HttpResponse again = Release(i % 2 == 0 ? "entry-1" : "entry-2", key);
    EXPECT_EQ(again.Ran(), "unknown") << again.body;
    WaitUntil([] { return false; }, milliseconds(100));
  }
  EXPECT_EQ(cluster_.TotalRunCount(kReleaseBody), 1);
}

TEST_F(AtMostOnceProcessTest, SidecarKilledDuringCallLeavesOneRun) {
  StartCluster(3);
  for (int i = 1; i <= 3; ++i) {
    cluster_.SetServiceFault("locker-" + std::to_string(i),
                             {{"delay_ms", 1500}});
  }
  const std::string key = NewIdempotencyKey();
  auto first = StartRelease("entry-1", key);
  ASSERT_TRUE(WaitUntil([this] { return !VmThatRan().empty(); }, seconds(10)));
  cluster_.process(VmThatRan()).Kill();
  auto second = StartRelease("entry-2", key);
  first->Wait();
  second->Wait();
  EXPECT_EQ(first->response().Ran(), "unknown") << first->response().body;
  EXPECT_EQ(second->response().Ran(), "unknown") << second->response().body;
  cluster_.Restart(VmThatRan());
  Release("entry-2", key);
  EXPECT_EQ(cluster_.TotalRunCount(kReleaseBody), 1);
}

TEST_F(AtMostOnceProcessTest, KeyIsNotRunAgainAfterItsSidecarLeaves) {
  StartCluster(3);
  const std::string key = NewIdempotencyKey();
  EXPECT_EQ(Release("entry-1", key).status, 200);
  const std::string owner = VmThatRan();
  cluster_.SetVmState(owner, "leaving");
  WaitUntil([] { return false; }, seconds(2));
  for (int i = 0; i < 5; ++i) {
    EXPECT_NE(Release("entry-2", key).Ran(), "not_run");
    EXPECT_NE(Release("entry-1", key).Ran(), "not_run");
  }
  EXPECT_EQ(cluster_.TotalRunCount(kReleaseBody), 1);
  // New keys run on their new owners.
  int ran = 0;
  for (int i = 0; i < 10; ++i) {
    auto request = StartRelease("entry-1", NewIdempotencyKey(),
                                "new " + std::to_string(i));
    request->Wait();
    ran += request->response().status == 200 ? 1 : 0;
  }
  EXPECT_EQ(ran, 10);
}

TEST_F(AtMostOnceProcessTest, EntriesWithDifferentVmListsRunKeyOnce) {
  StartCluster(3);
  // One entry keeps the old list: while suspended it receives nothing from the
  // platform or its peers.
  cluster_.process("entry-2").Suspend();
  const std::string key = NewIdempotencyKey();
  EXPECT_EQ(Release("entry-1", key).status, 200);
  cluster_.SetVmState(VmThatRan(), "leaving");
  WaitUntil([] { return false; }, seconds(1));
  EXPECT_NE(Release("entry-1", key).Ran(), "not_run");
  cluster_.process("entry-2").Resume();
  EXPECT_NE(Release("entry-2", key).Ran(), "not_run");
  EXPECT_EQ(cluster_.TotalRunCount(kReleaseBody), 1);
}

TEST_F(AtMostOnceProcessTest, ResumedSidecarDoesNotRunCallPastItsDeadline) {
  StartCluster(1);
  cluster_.process("locker-1").Suspend();
  const std::string key = NewIdempotencyKey();
  auto first = StartRelease("entry-1", key);
  first->Wait();
  const HttpResponse response = first->response();
  EXPECT_EQ(response.Ran(), "unknown") << response.body;
  EXPECT_EQ(cluster_.TotalRunCount(kReleaseBody), 0);
  WaitUntil([] { return false; }, seconds(2));
  cluster_.process("locker-1").Resume();
  WaitUntil([] { return false; }, seconds(1));
  // The call's deadline has passed, so resuming the sidecar must not run it.
  EXPECT_EQ(cluster_.TotalRunCount(kReleaseBody), 0);
  Release("entry-2", key);
  EXPECT_LE(cluster_.TotalRunCount(kReleaseBody), 1);
}

TEST_F(AtMostOnceProcessTest, CallToUnreachableSidecarIsReportedAsUnknown) {
  cluster_.AddService("locker-1");
  cluster_.AddEntry("entry-1");
  Forwarder forwarder(cluster_.PeerPort("locker-1"));
  cluster_.SetListedPeerPort("locker-1", forwarder.port());
  ASSERT_TRUE(cluster_.Start());
  WaitUntil([] { return false; }, seconds(1));
  forwarder.set_blackhole(true);
  const std::string key = NewIdempotencyKey();
  EXPECT_EQ(Release("entry-1", key).Ran(), "unknown");
  forwarder.set_blackhole(false);
  WaitUntil(
      [&] { return Release("entry-1", NewIdempotencyKey()).status == 200; },
      seconds(20));
  Release("entry-1", key);
  EXPECT_LE(cluster_.TotalRunCount(kReleaseBody), 2);
}

TEST_F(AtMostOnceProcessTest,
       TicketRunsOnceAndIsInvalidAfterItsSidecarRestarts) {
  StartCluster(3);
  const HttpResponse issued =
      Send("POST", cluster_.EntryUrl("entry-1") + "/v1/tickets/locker-api", "",
           CallerHeaders());
  ASSERT_EQ(issued.status, 200) << issued.body;
  Headers headers = CallerHeaders();
  headers["Balsam-Ticket"] = issued.Json()["ticket"].get<std::string>();
  const std::string path = "/services/locker-api/release";
  const HttpResponse first =
      Send("POST", cluster_.EntryUrl("entry-1") + path, kReleaseBody, headers);
  const HttpResponse again =
      Send("POST", cluster_.EntryUrl("entry-2") + path, kReleaseBody, headers);
  EXPECT_EQ(first.status, 200) << first.body;
  EXPECT_EQ(first.body, again.body);
  const std::string holder = VmThatRan();
  cluster_.process(holder).Kill();
  cluster_.Restart(holder);
  const HttpResponse late =
      Send("POST", cluster_.EntryUrl("entry-2") + path, kReleaseBody, headers);
  EXPECT_EQ(late.Ran(), "unknown") << late.body;
  EXPECT_EQ(cluster_.TotalRunCount(kReleaseBody), 1);
}

class NotRunProcessTest : public AtMostOnceProcessTest {};

TEST_F(NotRunProcessTest, CallWithoutBackendServerIsNotRun) {
  StartCluster(1);
  cluster_.process("locker-1/backend").Kill();
  const HttpResponse response = Release("entry-1", NewIdempotencyKey());
  EXPECT_EQ(response.Ran(), "not_run") << response.body;
  EXPECT_TRUE(response.headers.contains("retry-after"));
  EXPECT_EQ(response.Code(), 2005);
}

TEST_F(NotRunProcessTest, CallWithoutKeyToDeadSidecarIsReportedAsNotRun) {
  StartCluster(1);
  cluster_.process("locker-1").Kill();
  WaitUntil([] { return false; }, milliseconds(300));
  const HttpResponse response = Release("entry-1", "");
  EXPECT_EQ(response.Ran(), "not_run") << response.body;
  cluster_.Restart("locker-1");
  WaitUntil([] { return false; }, seconds(1));
  EXPECT_EQ(cluster_.TotalRunCount(kReleaseBody), 0);
}

}  // namespace
}  // namespace balsam::processes
