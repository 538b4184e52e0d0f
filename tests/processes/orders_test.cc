// Tests on real processes that published engine orders reach the engines, and
// that a sidecar that was suspended during a newer order does not revert it.
#include <gtest/gtest.h>

#include "tests/processes/cluster.h"

namespace balsam::processes {
namespace {

using nlohmann::json;
using std::chrono::seconds;

json TemplatesWithOrder(int order, const std::vector<std::string>& engines) {
  json templates = Cluster::Templates();
  templates["load_interval"] = "100ms";
  for (const std::string& vm : engines) {
    templates["engines"][vm] = {{"order", order},
                                {"model", "croeso"},
                                {"adapter", "pentre"},
                                {"version", "v" + std::to_string(order)},
                                {"role", "any"}};
  }
  return templates;
}

class OrdersProcessTest : public testing::Test {
 protected:
  void Publish(int order, const std::vector<std::string>& engines) {
    cluster_.PublishTemplates(TemplatesWithOrder(order, engines));
  }
  bool WaitVersion(const std::string& vm, const std::string& version) {
    return WaitUntil(
        [&] {
          return cluster_.EngineState(vm).value("version", "") == version;
        },
        seconds(20));
  }
  bool WaitSettled(const std::string& sidecar, int order) {
    return WaitUntil(
        [&] {
          const json status = cluster_.Status(sidecar);
          return status.value("order", 0) == order &&
                 status.value("order_settled", false);
        },
        seconds(20));
  }
  // Suspends a sidecar before a newer order, which a second sidecar of the same
  // engine executes, and resumes it afterwards.
  void ResumeAfterNewerOrder(const QStringList& engine_arguments) {
    BackendOptions options;
    options.engine_arguments = engine_arguments;
    cluster_.AddEngine("llm-1", options);
    cluster_.AddEntry("entry-1");
    cluster_.AddReplacement("llm-1b", "llm-1");
    ASSERT_TRUE(cluster_.Start());
    Publish(1, {"llm-1"});
    ASSERT_TRUE(WaitSettled("llm-1", 1));
    cluster_.process("llm-1").Suspend();
    cluster_.process("llm-1b").Start();
    cluster_.ListReplacement("llm-1b", "llm-1");
    Publish(2, {"llm-1"});
    ASSERT_TRUE(WaitSettled("llm-1b", 2));
    cluster_.process("llm-1").Resume();
    // The resumed sidecar reads the engine's state every two seconds; it must
    // not load the older version of the last order that it received.
    WaitUntil([] { return false; }, seconds(5));
    EXPECT_EQ(cluster_.EngineState("llm-1")["loads"], json({"v1", "v2"}));
    EXPECT_FALSE(cluster_.Status("llm-1").value("order_settled", true) &&
                 !cluster_.Status("llm-1").value("order_superseded", false));
  }

  Cluster cluster_;
};

TEST_F(OrdersProcessTest, PublishedOrderIsLoadedOnceByEveryEngine) {
  const std::vector<std::string> engines = {"llm-1", "llm-2", "llm-3"};
  for (const std::string& vm : engines) cluster_.AddEngine(vm);
  cluster_.AddEntry("entry-1");
  cluster_.AddEntry("entry-2");
  ASSERT_TRUE(cluster_.Start());
  Publish(1, engines);
  for (const std::string& vm : engines) EXPECT_TRUE(WaitSettled(vm, 1));
  Publish(2, engines);
  for (const std::string& vm : engines) {
    EXPECT_TRUE(WaitSettled(vm, 2));
    // Both entries notified each sidecar; the engine loaded each version once.
    EXPECT_EQ(cluster_.EngineState(vm)["loads"], json({"v1", "v2"}));
  }
}

TEST_F(OrdersProcessTest, StaleSidecarIsRejectedByEngineWithFencing) {
  ResumeAfterNewerOrder({});
}

TEST_F(OrdersProcessTest, StaleSidecarRevertsNothingWithoutFencing) {
  ResumeAfterNewerOrder({"--ignore-fencing"});
}

// Guards against an order notice that waited in the socket of a suspended
// sidecar and was carried out after a newer order.
TEST_F(OrdersProcessTest, NoticeThatWaitedIsNotCarriedOut) {
  BackendOptions options;
  options.engine_arguments = {"--ignore-fencing"};
  cluster_.AddEngine("llm-1", options);
  cluster_.AddEntry("entry-1");
  cluster_.AddReplacement("llm-1b", "llm-1");
  ASSERT_TRUE(cluster_.Start());
  Publish(1, {"llm-1"});
  ASSERT_TRUE(WaitSettled("llm-1", 1));
  cluster_.process("llm-1").Suspend();
  Publish(2, {"llm-1"});
  // Until the entry has sent its notice.
  WaitUntil([] { return false; }, seconds(2));
  cluster_.process("llm-1b").Start();
  cluster_.ListReplacement("llm-1b", "llm-1");
  Publish(3, {"llm-1"});
  ASSERT_TRUE(WaitSettled("llm-1b", 3));
  cluster_.process("llm-1").Resume();
  WaitUntil([] { return false; }, seconds(5));
  EXPECT_EQ(cluster_.EngineState("llm-1")["loads"], json({"v1", "v3"}));
}

TEST_F(OrdersProcessTest, RestartedEngineIsLoadedAgain) {
  cluster_.AddEngine("llm-1");
  cluster_.AddEntry("entry-1");
  ASSERT_TRUE(cluster_.Start());
  Publish(1, {"llm-1"});
  ASSERT_TRUE(WaitSettled("llm-1", 1));
  cluster_.process("llm-1/backend").Kill();
  cluster_.Restart("llm-1/backend");
  // The sidecar repairs the engine after its next order notice, which comes
  // within half a minute.
  EXPECT_TRUE(WaitUntil(
      [&] {
        return cluster_.EngineState("llm-1").value("version", "") == "v1";
      },
      seconds(60)));
}

}  // namespace
}  // namespace balsam::processes
