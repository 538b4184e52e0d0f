// Tests on real processes that a caller gets every token exactly once while
// processes are killed or suspended and connections fail in mid-stream.
#include <gtest/gtest.h>

#include <sstream>

#include "tests/processes/cluster.h"
#include "tests/processes/forwarder.h"
#include "tests/processes/scripted_engine.h"

namespace balsam::processes {
namespace {

using std::chrono::seconds;

constexpr int kTokens = 120;
// Tokens that the reader has received before a fault is injected.
constexpr int kTokensBeforeFault = 10;

// Returns the text of the chat completion events in `received`.
std::string ParseChat(const std::string& received) {
  std::istringstream lines(received);
  std::string text;
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("data: {")) continue;
    const auto event = nlohmann::json::parse(line.substr(6), nullptr, false);
    if (!event.is_object() || !event.contains("choices")) continue;
    const nlohmann::json& choice = event["choices"][0];
    if (choice.contains("delta")) text += choice["delta"].value("content", "");
  }
  return text;
}

class TokensOnceProcessTest : public testing::Test {
 protected:
  void StartCluster(int engines, int entries) {
    for (int i = 1; i <= engines; ++i) {
      cluster_.AddEngine("llm-" + std::to_string(i));
    }
    for (int i = 1; i <= entries; ++i) {
      cluster_.AddEntry("entry-" + std::to_string(i));
    }
    ASSERT_TRUE(cluster_.Start());
  }

  std::unique_ptr<AsyncRequest> StartCompletion(
      const std::string& entry, const std::string& template_name = "guest") {
    Headers headers = CallerHeaders();
    headers["Balsam-Template"] = template_name;
    return std::make_unique<AsyncRequest>(
        "POST", cluster_.EntryUrl(entry) + "/v1/completions",
        CompletionBody(kTokens), headers);
  }
  // Waits until the reader has received some tokens, but not all.
  void WaitMidStream(AsyncRequest& request) {
    ASSERT_TRUE(WaitUntil(
        [&] {
          return ParseEventStream(request.received()).tokens >=
                 kTokensBeforeFault;
        },
        seconds(20)))
        << "status " << request.response().status << ", received \""
        << request.received() << "\", entry-1 logged:\n"
        << cluster_.process("entry-1").Log() << "llm-1 logged:\n"
        << cluster_.process("llm-1").Log();
    ASSERT_LT(ParseEventStream(request.received()).tokens, kTokens);
  }
  // Returns the VM that runs the only generation, or an empty string.
  std::string BusyVm() {
    for (std::string vm : {"llm-1", "llm-2"}) {
      if (cluster_.EngineStartCount(vm) > 0) return vm;
    }
    return "";
  }

  Cluster cluster_;
};

TEST_F(TokensOnceProcessTest, ReaderResumesThroughAnotherEntry) {
  StartCluster(1, 2);
  auto first = StartCompletion("entry-1");
  WaitMidStream(*first);
  cluster_.process("entry-1").Kill();
  first->Wait();
  const EventStreamContent before = ParseEventStream(first->received());
  const auto id = before.last_id.substr(0, before.last_id.rfind(':'));
  Headers headers = CallerHeaders();
  headers["Last-Event-ID"] = before.last_id;
  const HttpResponse rest =
      Send("GET", cluster_.EntryUrl("entry-2") + "/v1/generations/" + id, "",
           headers);
  const EventStreamContent after = ParseEventStream(rest.body);
  EXPECT_EQ(before.text + after.text, ExpectedText(0, kTokens));
  EXPECT_TRUE(after.done);
}

// A chat that goes on as a completion has no text for a client of chats.
TEST_F(TokensOnceProcessTest, ChatResumedThroughAnotherEntryStaysAChat) {
  StartCluster(1, 2);
  const nlohmann::json body = {
      {"model", "croeso"},
      {"stream", true},
      {"messages",
       {{{"role", "user"},
         {"content", "[[tokens=" + std::to_string(kTokens) + "]]"}}}}};
  AsyncRequest first("POST",
                     cluster_.EntryUrl("entry-1") + "/v1/chat/completions",
                     body.dump(), CallerHeaders());
  ASSERT_TRUE(WaitUntil([&] { return !ParseChat(first.received()).empty(); },
                        seconds(20)));
  cluster_.process("entry-1").Kill();
  first.Wait();
  const std::string before = first.response().body;
  const auto id_at = before.rfind("id: ");
  const std::string event =
      before.substr(id_at + 4, before.find('\n', id_at) - id_at - 4);
  Headers headers = CallerHeaders();
  headers["Last-Event-ID"] = event;
  const HttpResponse rest =
      Send("GET",
           cluster_.EntryUrl("entry-2") + "/v1/generations/" +
               event.substr(0, event.rfind(':')),
           "", headers);
  EXPECT_EQ(ParseChat(before) + ParseChat(rest.body), ExpectedText(0, kTokens))
      << rest.body.substr(0, 400);
  EXPECT_EQ(rest.body.find("\"model\":\"\""), std::string::npos);
  EXPECT_NE(rest.body.find("data: [DONE]"), std::string::npos);
}

TEST_F(TokensOnceProcessTest, LiveResponseEndsWithResultCodeWhenSidecarDies) {
  StartCluster(1, 1);
  auto request = StartCompletion("entry-1");
  WaitMidStream(*request);
  cluster_.process("llm-1").Kill();
  ASSERT_TRUE(request->Wait());
  const EventStreamContent seen = ParseEventStream(request->received());
  EXPECT_EQ(seen.text, ExpectedText(0, seen.tokens));
  EXPECT_FALSE(seen.done);
  EXPECT_TRUE(WaitUntil(
      [this] {
        return cluster_.process("entry-1").Log().find(
                   "event=sidecar_stream_broken") != std::string::npos;
      },
      seconds(20)));
  EXPECT_EQ(seen.error.value("code", 0), 3003);
  EXPECT_EQ(seen.error.value("ran", ""), "ran");
}

TEST_F(TokensOnceProcessTest, LiveResponseEndsWithResultCodeWhenEngineDies) {
  StartCluster(1, 1);
  auto request = StartCompletion("entry-1");
  WaitMidStream(*request);
  cluster_.process("llm-1/backend").Kill();
  ASSERT_TRUE(request->Wait());
  const EventStreamContent seen = ParseEventStream(request->received());
  EXPECT_EQ(seen.text, ExpectedText(0, seen.tokens));
  EXPECT_EQ(seen.error.value("code", 0), 3001);
}

TEST_F(TokensOnceProcessTest, WholeResponseCompletesWhenEngineDies) {
  StartCluster(2, 1);
  auto request = StartCompletion("entry-1", "dossier");
  ASSERT_TRUE(WaitUntil([this] { return !BusyVm().empty(); }, seconds(20)));
  cluster_.process(BusyVm() + "/backend").Kill();
  ASSERT_TRUE(request->Wait());
  const EventStreamContent seen = ParseEventStream(request->received());
  EXPECT_EQ(seen.text, ExpectedText(0, kTokens));
  EXPECT_TRUE(seen.done);
}

TEST_F(TokensOnceProcessTest, WholeResponseCompletesWhenSidecarDies) {
  StartCluster(2, 1);
  auto request = StartCompletion("entry-1", "dossier");
  ASSERT_TRUE(WaitUntil([this] { return !BusyVm().empty(); }, seconds(20)));
  cluster_.process(BusyVm()).Kill();
  ASSERT_TRUE(request->Wait());
  const EventStreamContent seen = ParseEventStream(request->received());
  EXPECT_EQ(seen.text, ExpectedText(0, kTokens));
  EXPECT_TRUE(seen.done);
}

TEST_F(TokensOnceProcessTest, BlackholedConnectionIsReplaced) {
  cluster_.AddEngine("llm-1");
  cluster_.AddEntry("entry-1");
  Forwarder forwarder(cluster_.PeerPort("llm-1"));
  cluster_.SetListedPeerPort("llm-1", forwarder.port());
  ASSERT_TRUE(cluster_.Start());
  auto request = StartCompletion("entry-1");
  WaitMidStream(*request);
  forwarder.BlackholeOpenConnections();
  ASSERT_TRUE(request->Wait());
  const EventStreamContent seen = ParseEventStream(request->received());
  EXPECT_EQ(seen.text, ExpectedText(0, kTokens));
  EXPECT_TRUE(seen.done);
}

TEST_F(TokensOnceProcessTest, SuspendedSidecarDelaysTokensWithoutLoss) {
  StartCluster(1, 1);
  auto request = StartCompletion("entry-1");
  WaitMidStream(*request);
  cluster_.process("llm-1").Suspend();
  WaitUntil([] { return false; }, std::chrono::milliseconds(1500));
  cluster_.process("llm-1").Resume();
  ASSERT_TRUE(request->Wait());
  EXPECT_EQ(ParseEventStream(request->received()).text,
            ExpectedText(0, kTokens));
}

// The streams of a sidecar whose address changes in the VM list must go on.
TEST_F(TokensOnceProcessTest, StreamGoesOnWhenItsSidecarIsListedElsewhere) {
  cluster_.AddEngine("llm-1");
  cluster_.AddEntry("entry-1");
  Forwarder first_way(cluster_.PeerPort("llm-1"));
  Forwarder second_way(cluster_.PeerPort("llm-1"));
  cluster_.SetListedPeerPort("llm-1", first_way.port());
  ASSERT_TRUE(cluster_.Start());
  constexpr int kMany = 6 * kTokens;
  AsyncRequest request("POST", cluster_.EntryUrl("entry-1") + "/v1/completions",
                       CompletionBody(kMany), CallerHeaders());
  ASSERT_TRUE(
      WaitUntil([&] { return ParseEventStream(request.received()).tokens > 0; },
                seconds(20)));
  cluster_.SetListedPeerPort("llm-1", second_way.port());
  const std::uint64_t revision = cluster_.PublishList();
  ASSERT_TRUE(WaitUntil(
      [&] {
        return cluster_.Status("entry-1").value("list_revision",
                                                std::uint64_t{0}) >= revision;
      },
      seconds(20)));
  // Requests for every thread of the entry, so that the one with the stream
  // uses the new address.
  constexpr int kOthers = 8;
  std::vector<std::unique_ptr<AsyncRequest>> others;
  others.reserve(kOthers);
  for (int i = 0; i < kOthers; ++i) {
    others.push_back(std::make_unique<AsyncRequest>(
        "POST", cluster_.EntryUrl("entry-1") + "/v1/completions",
        CompletionBody(2, std::to_string(i)), CallerHeaders()));
  }
  for (const auto& other : others) {
    ASSERT_TRUE(other->Wait(seconds(20)));
    EXPECT_TRUE(ParseEventStream(other->response().body).done);
  }
  ASSERT_FALSE(request.finished());
  EXPECT_TRUE(request.Wait(seconds(20)));
  const EventStreamContent seen = ParseEventStream(request.received());
  EXPECT_EQ(seen.text, ExpectedText(0, kMany));
  EXPECT_TRUE(seen.done);
  EXPECT_TRUE(cluster_.process("entry-1").running());
}

TEST_F(TokensOnceProcessTest, AnotherWorkspaceCannotReadAGeneration) {
  StartCluster(1, 1);
  auto first = StartCompletion("entry-1");
  WaitMidStream(*first);
  const std::string event = ParseEventStream(first->received()).last_id;
  const auto id = event.substr(0, event.rfind(':'));
  const HttpResponse other =
      Send("GET", cluster_.EntryUrl("entry-1") + "/v1/generations/" + id, "",
           CallerHeaders(kOtherBearer));
  EXPECT_EQ(other.Code(), 1010);
  first->Wait();
  EXPECT_EQ(ParseEventStream(first->received()).text, ExpectedText(0, kTokens));
}

// Streams of engines whose responses the test writes.
class TokensOnceScriptedEngineProcessTest : public testing::Test {
 protected:
  static constexpr int kBefore = 12;
  static constexpr int kAll = 16;

  // Each generation sends `first`; `resume` answers the requests to resume it.
  void StartCluster(
      const ScriptedResponse& first,
      const std::function<ScriptedResponse(const ScriptedRequest&)>& resume) {
    for (const char* vm : {"llm-1", "llm-2"}) {
      engines_.push_back(std::make_unique<ScriptedEngine>(
          [first, resume](const ScriptedRequest& request) {
            return request.is_resume ? resume(request) : first;
          }));
      BackendOptions options;
      options.own_backend_port = engines_.back()->port();
      cluster_.AddEngine(vm, options);
    }
    cluster_.AddEntry("entry-1");
    ASSERT_TRUE(cluster_.Start());
  }
  // Returns what a caller of a live stream received until its end.
  EventStreamContent Complete() {
    AsyncRequest request("POST",
                         cluster_.EntryUrl("entry-1") + "/v1/completions",
                         CompletionBody(kAll), CallerHeaders());
    EXPECT_TRUE(request.Wait());
    received_ = request.response().body;
    return ParseEventStream(received_);
  }
  int generations() const {
    return engines_[0]->started() + engines_[1]->started();
  }
  std::string SidecarLogs() {
    return cluster_.process("llm-1").Log() + cluster_.process("llm-2").Log();
  }

  // The first tokens of a generation, without its end.
  static QByteArray Begun() {
    return EventStreamHead() + TokenEvents(0, kBefore);
  }
  // What an engine answers that resumes as it was asked to.
  static ScriptedResponse ResumeAsAsked(const ScriptedRequest& request) {
    return {EventStreamHead() + TokenEvents(request.from, kAll - request.from) +
            kDoneEvent};
  }

  std::vector<std::unique_ptr<ScriptedEngine>> engines_;
  Cluster cluster_;
  std::string received_;
};

struct FailedResume {
  std::string name;
  QByteArray response;
  int code = 3001;

  friend void PrintTo(const FailedResume& row, std::ostream* out) {
    *out << row.name;
  }
};

class TokensOnceFailedResumeProcessTest
    : public TokensOnceScriptedEngineProcessTest,
      public testing::WithParamInterface<FailedResume> {};

// A stream that had begun must neither contain any of the failed response nor
// look complete.
TEST_P(TokensOnceFailedResumeProcessTest, BegunStreamEndsWithAnError) {
  StartCluster({Begun()}, [](const ScriptedRequest&) {
    return ScriptedResponse{GetParam().response};
  });
  const EventStreamContent seen = Complete();
  EXPECT_EQ(seen.text, ExpectedText(0, kBefore)) << received_;
  EXPECT_FALSE(seen.done) << received_;
  EXPECT_EQ(seen.error.value("code", 0), GetParam().code) << received_;
  EXPECT_EQ(seen.error.value("ran", ""), "ran");
  EXPECT_EQ(received_.find("overloaded"), std::string::npos) << received_;
  EXPECT_EQ(received_.find("HTTP/1.1"), std::string::npos) << received_;
  EXPECT_TRUE(WaitUntil(
      [this] {
        return SidecarLogs().find("event=engine_stream_broken") !=
               std::string::npos;
      },
      seconds(20)));
  EXPECT_EQ(generations(), 1);
}

const QByteArray kErrorEvents =
    "data: {\"error\":\"overloaded\"}\n\n" + TokenEvents(77, 2) + kDoneEvent;

INSTANTIATE_TEST_SUITE_P(
    Responses, TokensOnceFailedResumeProcessTest,
    testing::Values(
        FailedResume{"NotFound", FullResponse(404, "application/json",
                                              "{\"error\":\"overloaded\"}")},
        FailedResume{"NotFoundWithEvents",
                     FullResponse(404, "text/event-stream", kErrorEvents)},
        FailedResume{"UnavailableWithEvents",
                     FullResponse(503, "text/event-stream", kErrorEvents)},
        FailedResume{"ServerErrorWithEvents",
                     FullResponse(500, "text/plain", kErrorEvents)},
        FailedResume{"RedirectWithEvents",
                     FullResponse(302, "text/plain", kErrorEvents)},
        FailedResume{
            "SuccessThatIsNoEventStream",
            FullResponse(200, "text/html", "<html>overloaded</html>\n")},
        FailedResume{"SuccessThatIsNoEventStreamWithEvents",
                     FullResponse(200, "text/plain", kErrorEvents)},
        FailedResume{"EmptySuccess",
                     FullResponse(200, "text/event-stream", "")},
        FailedResume{"NoResponse", ""},
        FailedResume{"NoHttp", "overloaded\r\n\r\n"},
        // An engine that lost the run and continues nothing.
        FailedResume{"EndAtOnce", EventStreamHead() + kDoneEvent},
        FailedResume{"ErrorEvent",
                     EventStreamHead() +
                         "event: error\ndata: {\"error\":"
                         "\"overloaded\"}\n\n" +
                         kDoneEvent,
                     3006},
        // An engine that ignores the position.
        FailedResume{"StartsAtTheFirstToken",
                     EventStreamHead() + TokenEvents(0, 16) + kDoneEvent},
        FailedResume{"SkipsTokens",
                     EventStreamHead() + TokenEvents(14, 2) + kDoneEvent}),
    [](const auto& row) { return row.param.name; });

struct BrokenStream {
  std::string name;
  // What follows the first tokens, and how the connection then ends.
  QByteArray rest;
  ConnectionEnd end = ConnectionEnd::kOrderly;

  friend void PrintTo(const BrokenStream& row, std::ostream* out) {
    *out << row.name;
  }
};

class TokensOnceBrokenStreamProcessTest
    : public TokensOnceScriptedEngineProcessTest,
      public testing::WithParamInterface<BrokenStream> {};

// What cannot be read of a stream must be fetched again, not left out, and
// nothing of it may be joined with the response that goes on.
TEST_P(TokensOnceBrokenStreamProcessTest, CallerReceivesTheWholeText) {
  StartCluster({Begun() + GetParam().rest, GetParam().end}, ResumeAsAsked);
  const EventStreamContent seen = Complete();
  EXPECT_EQ(seen.text, ExpectedText(0, kAll)) << received_;
  EXPECT_TRUE(seen.done) << received_;
  EXPECT_EQ(generations(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Streams, TokensOnceBrokenStreamProcessTest,
    testing::Values(
        BrokenStream{"EndsWithoutDone", ""},
        BrokenStream{"Reset", "", ConnectionEnd::kReset},
        BrokenStream{"ResetAfterDone", TokenEvents(12, 4) + kDoneEvent,
                     ConnectionEnd::kReset},
        BrokenStream{"CutInAnEvent", TokenEvents(12, 1).chopped(20)},
        BrokenStream{"CutInAnEventByReset", TokenEvents(12, 1).chopped(20),
                     ConnectionEnd::kReset},
        BrokenStream{"CutBeforeTheEventsEnd", TokenEvents(12, 1).chopped(2)},
        BrokenStream{"CutBeforeTheEventsBlankLine",
                     TokenEvents(12, 1).chopped(1)},
        BrokenStream{"CutInDone", TokenEvents(12, 4) + "data: [DO"},
        BrokenStream{"CutBeforeDonesEnd", TokenEvents(12, 4) + "data: [DONE]"},
        BrokenStream{"NoJson", "data: {\"choices\":[{\"te#\n\n" +
                                   TokenEvents(13, 3) + kDoneEvent},
        BrokenStream{"NoObject",
                     "data: 17\n\n" + TokenEvents(13, 3) + kDoneEvent},
        BrokenStream{"NoChoices",
                     "data: {\"choizes\":[{\"text\":\" t12\"}]}\n\n" +
                         TokenEvents(13, 3) + kDoneEvent},
        BrokenStream{"NoText", "data: {\"choices\":[{\"tezt\":\" t12\"}]}\n\n" +
                                   TokenEvents(13, 3) + kDoneEvent},
        BrokenStream{"InvalidUtf8",
                     "data: {\"choices\":[{\"text\":\"\xff\"}]}\n\n" +
                         TokenEvents(13, 3) + kDoneEvent},
        BrokenStream{"GarbledFieldName",
                     "dat#: {\"choices\":[{\"text\":\" t12\"}]}\n\n" +
                         TokenEvents(13, 3) + kDoneEvent}),
    [](const auto& row) { return row.param.name; });

}  // namespace
}  // namespace balsam::processes
