// Leaving, planned stops, templates in force and overload, on real processes.
#include <gtest/gtest.h>

#include "libraries/config_service/value_watcher.h"
#include "tests/processes/cluster.h"
#include "tests/processes/forwarder.h"
namespace balsam::processes {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTokens = 100;
// The stated bounds of the promises.
constexpr milliseconds kLeavingBound = seconds(3);
constexpr milliseconds kTemplateBound = seconds(5);

void Pause(milliseconds duration) {
  WaitUntil([] { return false; }, duration);
}

class MembershipProcessTest : public testing::Test {
 protected:
  void StartWith(int engines, int entries) {
    for (int i = 1; i <= engines; ++i) {
      cluster_.AddEngine("llm-" + std::to_string(i));
    }
    for (int i = 1; i <= entries; ++i) {
      cluster_.AddEntry("entry-" + std::to_string(i),
                        i % 2 == 0 ? "hall-teifi" : "hall-tywi");
    }
    ASSERT_TRUE(cluster_.Start());
  }
  std::unique_ptr<Exchange> Ask(const std::string& entry, int tokens,
                                const std::string& template_name = "guest",
                                const std::string& marker = "") {
    Headers headers = CallerHeaders();
    headers["Balsam-Template"] = template_name;
    return std::make_unique<Exchange>(
        "POST", cluster_.EntryUrl(entry) + "/v1/completions",
        CompletionBody(tokens, marker), headers);
  }
  void SendSome(const std::string& entry, int count) {
    std::vector<std::unique_ptr<Exchange>> exchanges;
    exchanges.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      exchanges.push_back(
          Ask(entry, 3, "guest", entry + std::to_string(++sent_)));
    }
    for (auto& exchange : exchanges) {
      ASSERT_TRUE(exchange->Wait());
      EXPECT_TRUE(ReadEvents(exchange->received()).done)
          << exchange->received();
    }
  }
  std::uint64_t InForce(const std::string& entry) {
    return cluster_.Status(entry).value("template_revision", std::uint64_t{0});
  }

  int sent_ = 0;
  Cluster cluster_;
};

// --- Leaving ---

class LeavingProcessTest : public MembershipProcessTest {};

TEST_F(LeavingProcessTest, AListedLeavingServerGetsNoNewWork) {
  StartWith(2, 2);
  SendSome("entry-1", 8);
  cluster_.SetVmState("llm-1", "leaving");
  Pause(kLeavingBound);
  const int before = cluster_.EngineStarts("llm-1");
  SendSome("entry-1", 10);
  SendSome("entry-2", 10);
  EXPECT_EQ(cluster_.EngineStarts("llm-1"), before);
}

TEST_F(LeavingProcessTest, ADrainedSidecarGetsNoNewWorkWhileTheListLags) {
  StartWith(2, 2);
  SendSome("entry-1", 8);
  auto long_answer = Ask("entry-1", kTokens);
  auto other_long_answer = Ask("entry-2", kTokens, "guest", "other");
  Pause(milliseconds(300));
  cluster_.SetPlatformFault({{"down", true}});
  cluster_.process("llm-1").Terminate();
  Pause(milliseconds(100));
  const int before = cluster_.EngineStarts("llm-1");
  SendSome("entry-1", 10);
  SendSome("entry-2", 10);
  EXPECT_EQ(cluster_.EngineStarts("llm-1"), before);
  long_answer->Wait();
  other_long_answer->Wait();
  EXPECT_TRUE(ReadEvents(long_answer->received()).done);
  EXPECT_TRUE(ReadEvents(other_long_answer->received()).done);
}

TEST_F(LeavingProcessTest, AnEntryThatWasStoppedMeanwhileSendsItNothing) {
  StartWith(2, 2);
  SendSome("entry-2", 8);
  cluster_.process("entry-2").Freeze();
  cluster_.SetVmState("llm-1", "leaving");
  Pause(kLeavingBound);
  const int before = cluster_.EngineStarts("llm-1");
  cluster_.process("entry-2").Thaw();
  SendSome("entry-2", 10);
  EXPECT_EQ(cluster_.EngineStarts("llm-1"), before);
}

// --- Planned stop ---

class PlannedStopProcessTest : public MembershipProcessTest {};

TEST_F(PlannedStopProcessTest, AnEntryFinishesWhatItHasAndExits) {
  StartWith(1, 2);
  auto live = Ask("entry-1", kTokens);
  auto dossier = Ask("entry-1", kTokens, "dossier");
  ASSERT_TRUE(WaitUntil([&] { return ReadEvents(live->received()).tokens > 5; },
                        seconds(20)));
  cluster_.process("entry-1").Terminate();
  live->Wait();
  dossier->Wait();
  EXPECT_EQ(ReadEvents(live->received()).text, ExpectedText(0, kTokens));
  EXPECT_EQ(ReadEvents(dossier->received()).text, ExpectedText(0, kTokens));
  EXPECT_TRUE(cluster_.process("entry-1").WaitForEnd(seconds(20)));
  EXPECT_EQ(cluster_.process("entry-1").exit_code(), 0);
  SendSome("entry-2", 3);
}

TEST_F(PlannedStopProcessTest, ASidecarFinishesWhatItHasAndExits) {
  StartWith(2, 1);
  auto live = Ask("entry-1", kTokens);
  auto dossier = Ask("entry-1", kTokens, "dossier");
  ASSERT_TRUE(WaitUntil([&] { return ReadEvents(live->received()).tokens > 5; },
                        seconds(20)));
  cluster_.process("llm-1").Terminate();
  cluster_.process("llm-2").Terminate();
  live->Wait();
  dossier->Wait();
  EXPECT_EQ(ReadEvents(live->received()).text, ExpectedText(0, kTokens));
  EXPECT_EQ(ReadEvents(dossier->received()).text, ExpectedText(0, kTokens));
  EXPECT_TRUE(cluster_.process("llm-1").WaitForEnd(seconds(20)));
  EXPECT_TRUE(cluster_.process("llm-2").WaitForEnd(seconds(20)));
  EXPECT_EQ(cluster_.process("llm-1").exit_code(), 0);
}

TEST_F(PlannedStopProcessTest, ARestartedSidecarGetsWorkAgain) {
  StartWith(1, 1);
  SendSome("entry-1", 3);
  cluster_.process("llm-1").Terminate();
  ASSERT_TRUE(cluster_.process("llm-1").WaitForEnd(seconds(20)));
  cluster_.Restart("llm-1");
  ASSERT_TRUE(WaitUntil(
      [this] {
        auto exchange = Ask("entry-1", 3);
        exchange->Wait();
        return ReadEvents(exchange->received()).done;
      },
      seconds(20)));
}

TEST_F(PlannedStopProcessTest, AStopDeadlineReportsItsLeftovers) {
  BackendOptions options;
  options.limits = {{"stop_deadline", "500ms"}};
  cluster_.AddEngine("llm-1", options);
  cluster_.AddEntry("entry-1");
  ASSERT_TRUE(cluster_.Start());
  auto live = Ask("entry-1", 3000);
  ASSERT_TRUE(WaitUntil([&] { return ReadEvents(live->received()).tokens > 5; },
                        seconds(20)));
  cluster_.process("llm-1").Terminate();
  ASSERT_TRUE(live->Wait());
  const EventText seen = ReadEvents(live->received());
  EXPECT_EQ(seen.error.value("code", 0), 3007) << seen.error.dump();
  EXPECT_TRUE(cluster_.process("llm-1").WaitForEnd(seconds(20)));
  EXPECT_NE(cluster_.process("llm-1").Log().find("event=stop_deadline left=1"),
            std::string::npos);
}

// --- Templates in force ---

class TemplateInForceProcessTest : public MembershipProcessTest {
 protected:
  bool AllReach(std::uint64_t revision, milliseconds limit, int entries) {
    return WaitUntil(
        [&] {
          for (int i = 1; i <= entries; ++i) {
            if (InForce("entry-" + std::to_string(i)) != revision) return false;
          }
          return true;
        },
        limit);
  }
};

TEST_F(TemplateInForceProcessTest, APublishedRevisionIsInForceEverywhere) {
  StartWith(1, 4);
  const std::uint64_t revision =
      cluster_.PublishTemplates(Cluster::Templates());
  EXPECT_TRUE(AllReach(revision, kTemplateBound, 4));
}

TEST_F(TemplateInForceProcessTest, ABadRevisionLeavesTheLastOneInForce) {
  StartWith(1, 2);
  const std::uint64_t good = cluster_.PublishTemplates(Cluster::Templates());
  ASSERT_TRUE(AllReach(good, kTemplateBound, 2));
  const std::uint64_t bad =
      cluster_.PublishText("templates", R"({"templates": {"guest": 5}})");
  ASSERT_TRUE(WaitUntil(
      [&] {
        return cluster_.Status("entry-1").value("rejected_revision",
                                                std::uint64_t{0}) == bad;
      },
      seconds(10)));
  EXPECT_EQ(InForce("entry-1"), good);
  EXPECT_NE(cluster_.process("entry-1").Log().find("templates_rejected"),
            std::string::npos);
  const std::uint64_t next = cluster_.PublishTemplates(Cluster::Templates());
  EXPECT_TRUE(AllReach(next, kTemplateBound, 2));
}

TEST_F(TemplateInForceProcessTest, AStalePlatformTakesNobodyBack) {
  StartWith(1, 3);
  const std::uint64_t second = cluster_.PublishTemplates(Cluster::Templates());
  ASSERT_TRUE(AllReach(second, kTemplateBound, 3));
  cluster_.SetPlatformFault(
      {{"stale", {{"name", "templates"}, {"revision", 1}}}});
  // Each in turn, and then all but one together.
  for (const std::string entry : {"entry-1", "entry-2", "entry-3"}) {
    cluster_.process(entry).Kill();
    cluster_.Restart(entry);
    ASSERT_TRUE(cluster_.WaitServing(entry));
    EXPECT_EQ(InForce(entry), second) << entry;
  }
  for (const std::string entry : {"entry-1", "entry-2"}) {
    cluster_.process(entry).Kill();
  }
  for (const std::string entry : {"entry-1", "entry-2"}) {
    cluster_.Restart(entry);
  }
  for (const std::string entry : {"entry-1", "entry-2"}) {
    ASSERT_TRUE(cluster_.WaitServing(entry));
    EXPECT_EQ(InForce(entry), second) << entry;
  }
}

TEST_F(TemplateInForceProcessTest, ACutOffDataCentreServesOnAndHealsForward) {
  cluster_.AddEngine("llm-1");
  Forwarder platform(cluster_.platform_port());
  cluster_.AddEntry("entry-1", "hall-tywi");
  cluster_.AddEntry("entry-2", "hall-teifi", platform.port());
  Forwarder to_first(cluster_.PeerPort("entry-1"));
  Forwarder to_second(cluster_.PeerPort("entry-2"));
  cluster_.SetListedPeerPort("entry-1", to_first.port());
  cluster_.SetListedPeerPort("entry-2", to_second.port());
  ASSERT_TRUE(cluster_.Start());
  const auto set_cut = [](Forwarder& link, bool cut) {
    link.set_cut(cut);
    if (cut) link.SilenceOpenConnections();
  };
  set_cut(platform, true);
  set_cut(to_first, true);
  set_cut(to_second, true);
  const std::uint64_t second = cluster_.PublishTemplates(Cluster::Templates());
  ASSERT_TRUE(AllReach(second, kTemplateBound, 1));
  Pause(seconds(4));
  EXPECT_EQ(InForce("entry-2"), 1U);
  SendSome("entry-2", 2);
  // Only the way between the entries heals; the platform stays out of reach.
  set_cut(to_first, false);
  set_cut(to_second, false);
  EXPECT_TRUE(AllReach(second, kTemplateBound, 2));

  // Cut off again, an entry that starts anew has nothing it could go back to.
  set_cut(to_first, true);
  set_cut(to_second, true);
  cluster_.process("entry-2").Kill();
  cluster_.Restart("entry-2");
  const std::uint64_t third = cluster_.PublishTemplates(Cluster::Templates());
  Pause(seconds(3));
  EXPECT_EQ(InForce("entry-2"), 0U);
  EXPECT_EQ(Send("GET", cluster_.EntryUrl("entry-2") + "/v1/models").status, 0);
  set_cut(platform, false);
  set_cut(to_first, false);
  set_cut(to_second, false);
  EXPECT_TRUE(AllReach(third, kTemplateBound, 2));
  EXPECT_TRUE(cluster_.WaitServing("entry-2"));
}

TEST_F(TemplateInForceProcessTest, AnOutageOfThePlatformKeepsEverybodyServing) {
  StartWith(1, 2);
  cluster_.SetPlatformFault({{"down", true}});
  Pause(seconds(1));
  SendSome("entry-1", 3);
  SendSome("entry-2", 3);
  const std::uint64_t revision =
      cluster_.PublishTemplates(Cluster::Templates());
  cluster_.SetPlatformFault({{"down", false}});
  EXPECT_TRUE(AllReach(revision, kTemplateBound + seconds(5), 2));
}

TEST_F(TemplateInForceProcessTest,
       TheLastOfRacingOperatorsIsInForceEverywhere) {
  StartWith(1, 3);
  std::uint64_t last = 0;
  for (int i = 0; i < 20; ++i) {
    json templates = Cluster::Templates();
    templates["workspaces"]["tywi"]["weight"] = 1 + i % 2;
    last = std::max(last, cluster_.PublishTemplates(templates));
  }
  EXPECT_TRUE(AllReach(last, kTemplateBound, 3));
}

TEST_F(TemplateInForceProcessTest, PlatformCallsDoNotGrowWithEntries) {
  // Eight entries in two data centres: two watchers in each, two values.
  StartWith(1, 8);
  Pause(seconds(4));
  const std::uint64_t before = cluster_.PlatformCalls();
  QElapsedTimer elapsed;
  elapsed.start();
  const std::uint64_t revision =
      cluster_.PublishTemplates(Cluster::Templates());
  ASSERT_TRUE(AllReach(revision, kTemplateBound, 8));
  Pause(seconds(1));
  // Each watcher's watches are opened again when their time is up, and once
  // more for the change.
  const std::uint64_t calls = cluster_.PlatformCalls() - before;
  const auto turns = static_cast<std::uint64_t>(
      milliseconds(elapsed.elapsed()) /
      config_service::WatcherSettings{}.long_poll_timeout);
  // Data centres, watchers in each, and values.
  constexpr std::uint64_t kWatches = 2ULL * 2ULL * 2ULL;
  EXPECT_LE(calls, kWatches * (turns + 2));
}

// --- Overload ---

class OverloadProcessTest : public MembershipProcessTest {};

TEST_F(OverloadProcessTest, AnOutageIsAnsweredAtOnceAndWithoutARetryStorm) {
  StartWith(2, 1);
  cluster_.process("llm-1").Kill();
  cluster_.process("llm-2").Kill();
  Pause(milliseconds(300));
  for (int i = 0; i < 50; ++i) {
    auto exchange = Ask("entry-1", 3);
    ASSERT_TRUE(exchange->Wait(seconds(5)));
    const HttpAnswer answer = exchange->answer();
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.contains("retry-after"));
    EXPECT_EQ(answer.Ran(), "not_run");
  }
  cluster_.Restart("llm-1");
  cluster_.Restart("llm-2");
  ASSERT_TRUE(WaitUntil(
      [this] {
        auto exchange = Ask("entry-1", 3);
        exchange->Wait();
        return exchange->answer().status == 200;
      },
      seconds(20)));
}

TEST_F(OverloadProcessTest, ACallerThatLeavesFreesTheEngine) {
  StartWith(1, 1);
  auto live = Ask("entry-1", 3500);
  ASSERT_TRUE(WaitUntil([&] { return ReadEvents(live->received()).tokens > 5; },
                        seconds(20)));
  EXPECT_EQ(cluster_.Status("llm-1").value("running", 0), 1);
  live->Abort();
  EXPECT_TRUE(WaitUntil(
      [this] { return cluster_.Status("llm-1").value("running", 1) == 0; },
      seconds(10)));
}

// --- Poison ---

class PoisonProcessTest : public MembershipProcessTest {};

TEST_F(PoisonProcessTest, TakesDownAtMostTwoEnginesThroughAnyEntry) {
  StartWith(4, 2);
  auto companion = Ask("entry-1", 60, "dossier", "companion");
  Pause(milliseconds(100));
  for (int i = 0; i < 6; ++i) {
    auto poison =
        Ask(i % 2 == 0 ? "entry-1" : "entry-2", 50, "dossier", "[[crash]]");
    ASSERT_TRUE(poison->Wait());
    EXPECT_FALSE(ReadEvents(poison->received()).done);
  }
  int dead = 0;
  for (int i = 1; i <= 4; ++i) {
    const bool up =
        cluster_.process("llm-" + std::to_string(i) + "/backend").running();
    dead += up ? 0 : 1;
  }
  EXPECT_LE(dead, 2);
  companion->Wait();
  EXPECT_TRUE(ReadEvents(companion->received()).done) << companion->received();
}

TEST_F(PoisonProcessTest, IsQuarantinedEvenIfItsEnginesAreRestarted) {
  StartWith(4, 2);
  int crashes = 0;
  for (int i = 0; i < 8; ++i) {
    auto poison =
        Ask(i % 2 == 0 ? "entry-1" : "entry-2", 50, "guest", "[[crash]]");
    ASSERT_TRUE(poison->Wait());
    for (int vm = 1; vm <= 4; ++vm) {
      const std::string engine = "llm-" + std::to_string(vm) + "/backend";
      if (cluster_.process(engine).running()) continue;
      ++crashes;
      cluster_.Restart(engine);
    }
    Pause(milliseconds(200));
  }
  EXPECT_LE(crashes, 4);
  auto last = Ask("entry-2", 50, "guest", "[[crash]]");
  last->Wait();
  EXPECT_EQ(last->answer().Code(), 2006) << last->answer().body;
}

}  // namespace
}  // namespace balsam::processes
