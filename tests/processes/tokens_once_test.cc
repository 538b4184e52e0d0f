// Tests on real processes that a caller gets every token exactly once while
// processes are killed or suspended and connections fail in mid-stream.
#include <gtest/gtest.h>

#include "tests/processes/cluster.h"
#include "tests/processes/forwarder.h"

namespace balsam::processes {
namespace {

using std::chrono::seconds;

constexpr int kTokens = 120;
// Tokens that the reader has received before a fault is injected.
constexpr int kTokensBeforeFault = 10;

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

TEST_F(TokensOnceProcessTest, LiveResponseEndsWithResultCodeWhenSidecarDies) {
  StartCluster(1, 1);
  auto request = StartCompletion("entry-1");
  WaitMidStream(*request);
  cluster_.process("llm-1").Kill();
  ASSERT_TRUE(request->Wait());
  const EventStreamContent seen = ParseEventStream(request->received());
  EXPECT_EQ(seen.text, ExpectedText(0, seen.tokens));
  EXPECT_FALSE(seen.done);
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

}  // namespace
}  // namespace balsam::processes
