// Tests on real processes of leaving VMs, planned stops, publication of
// templates, overload, and requests that crash engines.
#include <gtest/gtest.h>

#include "libraries/config_service/value_watcher.h"
#include "tests/processes/cluster.h"
#include "tests/processes/forwarder.h"
#include "tests/processes/scripted_engine.h"
namespace balsam::processes {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTokens = 100;
// The documented time limits.
constexpr milliseconds kLeavingBound = seconds(3);
constexpr milliseconds kTemplateBound = seconds(5);

void ProcessEventsFor(milliseconds duration) {
  WaitUntil([] { return false; }, duration);
}

class MembershipProcessTest : public testing::Test {
 protected:
  void StartCluster(int engines, int entries) {
    for (int i = 1; i <= engines; ++i) {
      cluster_.AddEngine("llm-" + std::to_string(i));
    }
    for (int i = 1; i <= entries; ++i) {
      cluster_.AddEntry("entry-" + std::to_string(i),
                        i % 2 == 0 ? "hall-teifi" : "hall-tywi");
    }
    ASSERT_TRUE(cluster_.Start());
  }
  std::unique_ptr<AsyncRequest> StartCompletion(
      const std::string& entry, int tokens,
      const std::string& template_name = "guest",
      const std::string& marker = "") {
    Headers headers = CallerHeaders();
    headers["Balsam-Template"] = template_name;
    return std::make_unique<AsyncRequest>(
        "POST", cluster_.EntryUrl(entry) + "/v1/completions",
        CompletionBody(tokens, marker), headers);
  }
  // A chat with a system message, which other requests may share.
  std::unique_ptr<AsyncRequest> StartChat(const std::string& entry,
                                          const std::string& system_message,
                                          const std::string& question,
                                          bool stream = true) {
    const nlohmann::json body = {
        {"model", "croeso"},
        {"stream", stream},
        {"messages",
         {{{"role", "system"}, {"content", system_message}},
          {{"role", "user"}, {"content", "[[tokens=20]] " + question}}}}};
    return std::make_unique<AsyncRequest>(
        "POST", cluster_.EntryUrl(entry) + "/v1/chat/completions", body.dump(),
        CallerHeaders());
  }
  void SendCompletions(const std::string& entry, int count) {
    std::vector<std::unique_ptr<AsyncRequest>> requests;
    requests.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      requests.push_back(
          StartCompletion(entry, 3, "guest", entry + std::to_string(++sent_)));
    }
    for (auto& request : requests) {
      ASSERT_TRUE(request->Wait());
      EXPECT_TRUE(ParseEventStream(request->received()).done)
          << request->received();
    }
  }
  // Returns the revision of the templates that an entry uses.
  std::uint64_t Current(const std::string& entry) {
    return cluster_.Status(entry).value("template_revision", std::uint64_t{0});
  }

  int sent_ = 0;
  Cluster cluster_;
};

// --- Leaving ---

class LeavingProcessTest : public MembershipProcessTest {};

TEST_F(LeavingProcessTest, SidecarListedAsLeavingGetsNoNewWork) {
  StartCluster(2, 2);
  SendCompletions("entry-1", 8);
  cluster_.SetVmState("llm-1", "leaving");
  ProcessEventsFor(kLeavingBound);
  const int before = cluster_.EngineStartCount("llm-1");
  SendCompletions("entry-1", 10);
  SendCompletions("entry-2", 10);
  EXPECT_EQ(cluster_.EngineStartCount("llm-1"), before);
}

TEST_F(LeavingProcessTest, DrainingSidecarGetsNoNewWorkBeforeListIsUpdated) {
  StartCluster(2, 2);
  SendCompletions("entry-1", 8);
  auto long_response = StartCompletion("entry-1", kTokens);
  auto other_long_response =
      StartCompletion("entry-2", kTokens, "guest", "other");
  ProcessEventsFor(milliseconds(300));
  cluster_.SetPlatformFault({{"down", true}});
  cluster_.process("llm-1").Terminate();
  ProcessEventsFor(milliseconds(100));
  const int before = cluster_.EngineStartCount("llm-1");
  SendCompletions("entry-1", 10);
  SendCompletions("entry-2", 10);
  EXPECT_EQ(cluster_.EngineStartCount("llm-1"), before);
  long_response->Wait();
  other_long_response->Wait();
  EXPECT_TRUE(ParseEventStream(long_response->received()).done);
  EXPECT_TRUE(ParseEventStream(other_long_response->received()).done);
}

TEST_F(LeavingProcessTest, ResumedEntrySendsNothingToLeavingSidecar) {
  StartCluster(2, 2);
  SendCompletions("entry-2", 8);
  cluster_.process("entry-2").Suspend();
  cluster_.SetVmState("llm-1", "leaving");
  ProcessEventsFor(kLeavingBound);
  const int before = cluster_.EngineStartCount("llm-1");
  cluster_.process("entry-2").Resume();
  SendCompletions("entry-2", 10);
  EXPECT_EQ(cluster_.EngineStartCount("llm-1"), before);
}

// --- Planned stop ---

class PlannedStopProcessTest : public MembershipProcessTest {};

TEST_F(PlannedStopProcessTest, EntryFinishesOpenRequestsAndExits) {
  StartCluster(1, 2);
  auto live = StartCompletion("entry-1", kTokens);
  auto dossier = StartCompletion("entry-1", kTokens, "dossier");
  ASSERT_TRUE(
      WaitUntil([&] { return ParseEventStream(live->received()).tokens > 5; },
                seconds(20)));
  cluster_.process("entry-1").Terminate();
  live->Wait();
  dossier->Wait();
  EXPECT_EQ(ParseEventStream(live->received()).text, ExpectedText(0, kTokens));
  EXPECT_EQ(ParseEventStream(dossier->received()).text,
            ExpectedText(0, kTokens));
  EXPECT_TRUE(cluster_.process("entry-1").WaitForEnd(seconds(20)));
  EXPECT_EQ(cluster_.process("entry-1").exit_code(), 0);
  SendCompletions("entry-2", 3);
}

TEST_F(PlannedStopProcessTest, SidecarFinishesOpenRequestsAndExits) {
  StartCluster(2, 1);
  auto live = StartCompletion("entry-1", kTokens);
  auto dossier = StartCompletion("entry-1", kTokens, "dossier");
  ASSERT_TRUE(
      WaitUntil([&] { return ParseEventStream(live->received()).tokens > 5; },
                seconds(20)));
  cluster_.process("llm-1").Terminate();
  cluster_.process("llm-2").Terminate();
  live->Wait();
  dossier->Wait();
  EXPECT_EQ(ParseEventStream(live->received()).text, ExpectedText(0, kTokens));
  EXPECT_EQ(ParseEventStream(dossier->received()).text,
            ExpectedText(0, kTokens));
  EXPECT_TRUE(cluster_.process("llm-1").WaitForEnd(seconds(20)));
  EXPECT_TRUE(cluster_.process("llm-2").WaitForEnd(seconds(20)));
  EXPECT_EQ(cluster_.process("llm-1").exit_code(), 0);
}

TEST_F(PlannedStopProcessTest, RestartedSidecarGetsWorkAgain) {
  StartCluster(1, 1);
  SendCompletions("entry-1", 3);
  cluster_.process("llm-1").Terminate();
  ASSERT_TRUE(cluster_.process("llm-1").WaitForEnd(seconds(20)));
  cluster_.Restart("llm-1");
  ASSERT_TRUE(WaitUntil(
      [this] {
        auto request = StartCompletion("entry-1", 3);
        request->Wait();
        return ParseEventStream(request->received()).done;
      },
      seconds(20)));
}

TEST_F(PlannedStopProcessTest, StopDeadlineReportsUnfinishedRequests) {
  BackendOptions options;
  options.limits = {{"stop_deadline", "500ms"}};
  cluster_.AddEngine("llm-1", options);
  cluster_.AddEntry("entry-1");
  ASSERT_TRUE(cluster_.Start());
  auto live = StartCompletion("entry-1", 3000);
  ASSERT_TRUE(
      WaitUntil([&] { return ParseEventStream(live->received()).tokens > 5; },
                seconds(20)));
  cluster_.process("llm-1").Terminate();
  ASSERT_TRUE(live->Wait());
  const EventStreamContent seen = ParseEventStream(live->received());
  EXPECT_EQ(seen.error.value("code", 0), 3007) << seen.error.dump();
  EXPECT_TRUE(cluster_.process("llm-1").WaitForEnd(seconds(20)));
  EXPECT_NE(cluster_.process("llm-1").Log().find("event=stop_deadline left=1"),
            std::string::npos);
}

// --- Current templates ---

class TemplateInForceProcessTest : public MembershipProcessTest {
 protected:
  bool WaitForTemplateRevision(std::uint64_t revision, milliseconds limit,
                               int entries) {
    return WaitUntil(
        [&] {
          for (int i = 1; i <= entries; ++i) {
            if (Current("entry-" + std::to_string(i)) != revision) return false;
          }
          return true;
        },
        limit);
  }
};

TEST_F(TemplateInForceProcessTest, PublishedRevisionReachesEveryEntry) {
  StartCluster(1, 4);
  const std::uint64_t revision =
      cluster_.PublishTemplates(Cluster::Templates());
  EXPECT_TRUE(WaitForTemplateRevision(revision, kTemplateBound, 4));
}

TEST_F(TemplateInForceProcessTest, InvalidRevisionLeavesPreviousOneInForce) {
  StartCluster(1, 2);
  const std::uint64_t valid_revision =
      cluster_.PublishTemplates(Cluster::Templates());
  ASSERT_TRUE(WaitForTemplateRevision(valid_revision, kTemplateBound, 2));
  const std::uint64_t invalid_revision =
      cluster_.PublishText("templates", R"({"templates": {"guest": 5}})");
  ASSERT_TRUE(WaitUntil(
      [&] {
        return cluster_.Status("entry-1").value(
                   "rejected_revision", std::uint64_t{0}) == invalid_revision;
      },
      seconds(10)));
  EXPECT_EQ(Current("entry-1"), valid_revision);
  EXPECT_NE(cluster_.process("entry-1").Log().find("templates_rejected"),
            std::string::npos);
  const std::uint64_t next = cluster_.PublishTemplates(Cluster::Templates());
  EXPECT_TRUE(WaitForTemplateRevision(next, kTemplateBound, 2));
}

TEST_F(TemplateInForceProcessTest, StalePlatformDoesNotRevertEntries) {
  StartCluster(1, 3);
  const std::uint64_t second = cluster_.PublishTemplates(Cluster::Templates());
  ASSERT_TRUE(WaitForTemplateRevision(second, kTemplateBound, 3));
  cluster_.SetPlatformFault(
      {{"stale", {{"name", "templates"}, {"revision", 1}}}});
  // Restart each entry in turn, and then all but one at the same time.
  for (const std::string entry : {"entry-1", "entry-2", "entry-3"}) {
    cluster_.process(entry).Kill();
    cluster_.Restart(entry);
    ASSERT_TRUE(cluster_.WaitServing(entry));
    EXPECT_EQ(Current(entry), second) << entry;
  }
  for (const std::string entry : {"entry-1", "entry-2"}) {
    cluster_.process(entry).Kill();
  }
  for (const std::string entry : {"entry-1", "entry-2"}) {
    cluster_.Restart(entry);
  }
  for (const std::string entry : {"entry-1", "entry-2"}) {
    ASSERT_TRUE(cluster_.WaitServing(entry));
    EXPECT_EQ(Current(entry), second) << entry;
  }
}

TEST_F(TemplateInForceProcessTest,
       IsolatedDataCentreKeepsServingAndThenCatchesUp) {
  cluster_.AddEngine("llm-1");
  Forwarder platform(cluster_.platform_port());
  cluster_.AddEntry("entry-1", "hall-tywi");
  cluster_.AddEntry("entry-2", "hall-teifi", platform.port());
  Forwarder to_first(cluster_.PeerPort("entry-1"));
  Forwarder to_second(cluster_.PeerPort("entry-2"));
  cluster_.SetListedPeerPort("entry-1", to_first.port());
  cluster_.SetListedPeerPort("entry-2", to_second.port());
  ASSERT_TRUE(cluster_.Start());
  const auto set_blackhole = [](Forwarder& link, bool enabled) {
    link.set_blackhole(enabled);
    if (enabled) link.BlackholeOpenConnections();
  };
  set_blackhole(platform, true);
  set_blackhole(to_first, true);
  set_blackhole(to_second, true);
  const std::uint64_t second = cluster_.PublishTemplates(Cluster::Templates());
  ASSERT_TRUE(WaitForTemplateRevision(second, kTemplateBound, 1));
  ProcessEventsFor(seconds(4));
  EXPECT_EQ(Current("entry-2"), 1U);
  SendCompletions("entry-2", 2);
  // Reconnect only the entries to each other; the platform stays unreachable.
  set_blackhole(to_first, false);
  set_blackhole(to_second, false);
  EXPECT_TRUE(WaitForTemplateRevision(second, kTemplateBound, 2));

  // An entry that restarts while isolated has no revision to serve with, so it
  // does not accept callers.
  set_blackhole(to_first, true);
  set_blackhole(to_second, true);
  cluster_.process("entry-2").Kill();
  cluster_.Restart("entry-2");
  const std::uint64_t third = cluster_.PublishTemplates(Cluster::Templates());
  ProcessEventsFor(seconds(3));
  EXPECT_EQ(Current("entry-2"), 0U);
  EXPECT_EQ(Send("GET", cluster_.EntryUrl("entry-2") + "/v1/models").status, 0);
  set_blackhole(platform, false);
  set_blackhole(to_first, false);
  set_blackhole(to_second, false);
  EXPECT_TRUE(WaitForTemplateRevision(third, kTemplateBound, 2));
  EXPECT_TRUE(cluster_.WaitServing("entry-2"));
}

TEST_F(TemplateInForceProcessTest, EntriesKeepServingDuringPlatformOutage) {
  StartCluster(1, 2);
  cluster_.SetPlatformFault({{"down", true}});
  ProcessEventsFor(seconds(1));
  SendCompletions("entry-1", 3);
  SendCompletions("entry-2", 3);
  const std::uint64_t revision =
      cluster_.PublishTemplates(Cluster::Templates());
  cluster_.SetPlatformFault({{"down", false}});
  EXPECT_TRUE(
      WaitForTemplateRevision(revision, kTemplateBound + seconds(5), 2));
}

TEST_F(TemplateInForceProcessTest, LastOfConcurrentRevisionsReachesEveryEntry) {
  StartCluster(1, 3);
  std::uint64_t last = 0;
  for (int i = 0; i < 20; ++i) {
    json templates = Cluster::Templates();
    templates["workspaces"]["tywi"]["weight"] = 1 + i % 2;
    last = std::max(last, cluster_.PublishTemplates(templates));
  }
  EXPECT_TRUE(WaitForTemplateRevision(last, kTemplateBound, 3));
}

TEST_F(TemplateInForceProcessTest, PlatformCallsDoNotGrowWithNumberOfEntries) {
  // Eight entries in two data centres; two watchers in each watch two values.
  StartCluster(1, 8);
  ProcessEventsFor(seconds(4));
  const std::uint64_t before = cluster_.PlatformCalls();
  QElapsedTimer elapsed;
  elapsed.start();
  const std::uint64_t revision =
      cluster_.PublishTemplates(Cluster::Templates());
  ASSERT_TRUE(WaitForTemplateRevision(revision, kTemplateBound, 8));
  ProcessEventsFor(seconds(1));
  // A watch is reopened when its time has elapsed, and once more after the
  // change.
  const std::uint64_t calls = cluster_.PlatformCalls() - before;
  const auto turns = static_cast<std::uint64_t>(
      milliseconds(elapsed.elapsed()) /
      config_service::WatcherSettings{}.long_poll_timeout);
  // Data centres times watchers in each times values.
  constexpr std::uint64_t kWatches = 2ULL * 2ULL * 2ULL;
  EXPECT_LE(calls, kWatches * (turns + 2));
}

// --- Overload ---

class OverloadProcessTest : public MembershipProcessTest {};

TEST_F(OverloadProcessTest, OutageIsReportedAtOnceWithRetryAfter) {
  StartCluster(2, 1);
  cluster_.process("llm-1").Kill();
  cluster_.process("llm-2").Kill();
  ProcessEventsFor(milliseconds(300));
  for (int i = 0; i < 50; ++i) {
    auto request = StartCompletion("entry-1", 3);
    ASSERT_TRUE(request->Wait(seconds(5)));
    const HttpResponse response = request->response();
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(response.headers.contains("retry-after"));
    EXPECT_EQ(response.Ran(), "not_run");
  }
  cluster_.Restart("llm-1");
  cluster_.Restart("llm-2");
  ASSERT_TRUE(WaitUntil(
      [this] {
        auto request = StartCompletion("entry-1", 3);
        request->Wait();
        return request->response().status == 200;
      },
      seconds(20)));
}

TEST_F(OverloadProcessTest, DisconnectedCallerFreesTheEngine) {
  StartCluster(1, 1);
  auto live = StartCompletion("entry-1", 3500);
  ASSERT_TRUE(
      WaitUntil([&] { return ParseEventStream(live->received()).tokens > 5; },
                seconds(20)));
  EXPECT_EQ(cluster_.Status("llm-1").value("running", 0), 1);
  live->Abort();
  EXPECT_TRUE(WaitUntil(
      [this] { return cluster_.Status("llm-1").value("running", 1) == 0; },
      seconds(10)));
}

// --- Poison ---

class PoisonProcessTest : public MembershipProcessTest {};

TEST_F(PoisonProcessTest, CrashesAtMostTwoEnginesThroughAnyEntry) {
  StartCluster(4, 2);
  auto neighbour = StartCompletion("entry-1", 60, "dossier", "companion");
  ProcessEventsFor(milliseconds(100));
  for (int i = 0; i < 6; ++i) {
    auto crashing = StartCompletion(i % 2 == 0 ? "entry-1" : "entry-2", 50,
                                    "dossier", "[[crash]]");
    ASSERT_TRUE(crashing->Wait());
    EXPECT_FALSE(ParseEventStream(crashing->received()).done);
  }
  int stopped_engines = 0;
  for (int i = 1; i <= 4; ++i) {
    const bool up =
        cluster_.process("llm-" + std::to_string(i) + "/backend").running();
    stopped_engines += up ? 0 : 1;
  }
  EXPECT_LE(stopped_engines, 2);
  neighbour->Wait();
  EXPECT_TRUE(ParseEventStream(neighbour->received()).done)
      << neighbour->received();
}

TEST_F(PoisonProcessTest, IsQuarantinedEvenIfEnginesAreRestarted) {
  StartCluster(4, 2);
  int crashes = 0;
  for (int i = 0; i < 8; ++i) {
    auto crashing = StartCompletion(i % 2 == 0 ? "entry-1" : "entry-2", 50,
                                    "guest", "[[crash]]");
    ASSERT_TRUE(crashing->Wait());
    for (int vm = 1; vm <= 4; ++vm) {
      const std::string engine = "llm-" + std::to_string(vm) + "/backend";
      if (cluster_.process(engine).running()) continue;
      ++crashes;
      cluster_.Restart(engine);
    }
    ProcessEventsFor(milliseconds(200));
  }
  EXPECT_LE(crashes, 4);
  auto last = StartCompletion("entry-2", 50, "guest", "[[crash]]");
  last->Wait();
  EXPECT_EQ(last->response().Code(), 2006) << last->response().body;
}

// Guards against requests that differ, and share a message which crashes each
// engine: every one of them crashed another engine (issue 26).
TEST_F(PoisonProcessTest, RequestsThatShareAMessageAreStopped) {
  // As on the operators' platform: crashes, and requests after them.
  constexpr int kToleratedCrashes = 5 + 3;
  StartCluster(4, 2);
  int crashes = 0;
  for (int i = 0; i < 16; ++i) {
    const std::string entry = i % 2 == 0 ? "entry-1" : "entry-2";
    const std::string question = "question " + std::to_string(i);
    auto sound = StartChat(entry, "You are a concierge.", question);
    ASSERT_TRUE(sound->Wait());
    EXPECT_TRUE(ParseEventStream(sound->received()).done) << sound->received();
    auto crashing = StartChat(entry, "[[crash]]", question);
    ASSERT_TRUE(crashing->Wait());
    ProcessEventsFor(milliseconds(100));
    for (int vm = 1; vm <= 4; ++vm) {
      const std::string engine = "llm-" + std::to_string(vm) + "/backend";
      if (cluster_.process(engine).running()) continue;
      ++crashes;
      cluster_.Restart(engine);
    }
    ProcessEventsFor(milliseconds(300));
  }
  EXPECT_LE(crashes, kToleratedCrashes);
}

// A first token on a second engine says nothing of that run, though it comes
// long after the first token of the run that crashed the first engine.
TEST_F(PoisonProcessTest, ARetryDoesNotProveItsRequestHarmless) {
  // An engine that is lost after one token, which shows only at the third try
  // to resume.
  std::map<QByteArray, int> resumed;
  const auto respond = [&resumed](const ScriptedRequest& request) {
    if (!request.is_resume) {
      return ScriptedResponse{EventStreamHead() + TokenEvents(0, 1)};
    }
    const int status = ++resumed[request.path] < 3 ? 503 : 404;
    return ScriptedResponse{FullResponse(status, "text/plain", "")};
  };
  ScriptedEngine first(respond);
  ScriptedEngine second(respond);
  BackendOptions options;
  options.own_backend_port = first.port();
  cluster_.AddEngine("llm-1", options);
  options.own_backend_port = second.port();
  cluster_.AddEngine("llm-2", options);
  cluster_.AddEntry("entry-1");
  ASSERT_TRUE(cluster_.Start());
  int code = 0;
  constexpr int kMaxRequests = 6;
  for (int i = 0; i < kMaxRequests && code != 2006; ++i) {
    auto request = StartChat("entry-1", "A message that crashes engines.",
                             "question " + std::to_string(i), false);
    ASSERT_TRUE(request->Wait());
    code = request->response().Code();
  }
  EXPECT_EQ(code, 2006) << first.started() + second.started() << " runs";
}

}  // namespace
}  // namespace balsam::processes
