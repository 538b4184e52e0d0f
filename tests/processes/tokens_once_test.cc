// Tokens once, on real processes: kills, cuts and silence in mid-stream.
#include <gtest/gtest.h>

#include "tests/processes/cluster.h"
#include "tests/processes/forwarder.h"

namespace balsam::processes {
namespace {

using std::chrono::seconds;

constexpr int kTokens = 120;
// Tokens that the reader has before a fault strikes.
constexpr int kBeforeFault = 10;

class TokensOnceProcessTest : public testing::Test {
 protected:
  void StartWith(int engines, int entries) {
    for (int i = 1; i <= engines; ++i) {
      cluster_.AddEngine("llm-" + std::to_string(i));
    }
    for (int i = 1; i <= entries; ++i) {
      cluster_.AddEntry("entry-" + std::to_string(i));
    }
    ASSERT_TRUE(cluster_.Start());
  }

  std::unique_ptr<Exchange> Ask(const std::string& entry,
                                const std::string& template_name = "guest") {
    Headers headers = CallerHeaders();
    headers["Balsam-Template"] = template_name;
    return std::make_unique<Exchange>(
        "POST", cluster_.EntryUrl(entry) + "/v1/completions",
        CompletionBody(kTokens), headers);
  }
  // Waits until the reader has some tokens, but not all.
  void WaitMidStream(Exchange& exchange) {
    ASSERT_TRUE(WaitUntil(
        [&] { return ReadEvents(exchange.received()).tokens >= kBeforeFault; },
        seconds(20)))
        << "status " << exchange.answer().status << ", received \""
        << exchange.received() << "\", entry-1 logged:\n"
        << cluster_.process("entry-1").Log() << "llm-1 logged:\n"
        << cluster_.process("llm-1").Log();
    ASSERT_LT(ReadEvents(exchange.received()).tokens, kTokens);
  }
  // The VM that runs the only generation.
  std::string Busy() {
    for (std::string vm : {"llm-1", "llm-2"}) {
      if (cluster_.EngineStarts(vm) > 0) return vm;
    }
    return "";
  }

  Cluster cluster_;
};

TEST_F(TokensOnceProcessTest, AReaderGoesOnThroughAnotherEntry) {
  StartWith(1, 2);
  auto first = Ask("entry-1");
  WaitMidStream(*first);
  cluster_.process("entry-1").Kill();
  first->Wait();
  const EventText before = ReadEvents(first->received());
  const auto id = before.last_id.substr(0, before.last_id.rfind(':'));
  Headers headers = CallerHeaders();
  headers["Last-Event-ID"] = before.last_id;
  const HttpAnswer rest =
      Send("GET", cluster_.EntryUrl("entry-2") + "/v1/generations/" + id, "",
           headers);
  const EventText after = ReadEvents(rest.body);
  EXPECT_EQ(before.text + after.text, ExpectedText(0, kTokens));
  EXPECT_TRUE(after.done);
}

TEST_F(TokensOnceProcessTest, ADeadSidecarEndsALiveAnswerByNumber) {
  StartWith(1, 1);
  auto exchange = Ask("entry-1");
  WaitMidStream(*exchange);
  cluster_.process("llm-1").Kill();
  ASSERT_TRUE(exchange->Wait());
  const EventText seen = ReadEvents(exchange->received());
  EXPECT_EQ(seen.text, ExpectedText(0, seen.tokens));
  EXPECT_FALSE(seen.done);
  EXPECT_EQ(seen.error.value("code", 0), 3003);
  EXPECT_EQ(seen.error.value("ran", ""), "ran");
}

TEST_F(TokensOnceProcessTest, ADeadEngineEndsALiveAnswerByNumber) {
  StartWith(1, 1);
  auto exchange = Ask("entry-1");
  WaitMidStream(*exchange);
  cluster_.process("llm-1/backend").Kill();
  ASSERT_TRUE(exchange->Wait());
  const EventText seen = ReadEvents(exchange->received());
  EXPECT_EQ(seen.text, ExpectedText(0, seen.tokens));
  EXPECT_EQ(seen.error.value("code", 0), 3001);
}

TEST_F(TokensOnceProcessTest, AWholeAnswerSurvivesADeadEngine) {
  StartWith(2, 1);
  auto exchange = Ask("entry-1", "dossier");
  ASSERT_TRUE(WaitUntil([this] { return !Busy().empty(); }, seconds(20)));
  cluster_.process(Busy() + "/backend").Kill();
  ASSERT_TRUE(exchange->Wait());
  const EventText seen = ReadEvents(exchange->received());
  EXPECT_EQ(seen.text, ExpectedText(0, kTokens));
  EXPECT_TRUE(seen.done);
}

TEST_F(TokensOnceProcessTest, AWholeAnswerSurvivesADeadSidecar) {
  StartWith(2, 1);
  auto exchange = Ask("entry-1", "dossier");
  ASSERT_TRUE(WaitUntil([this] { return !Busy().empty(); }, seconds(20)));
  cluster_.process(Busy()).Kill();
  ASSERT_TRUE(exchange->Wait());
  const EventText seen = ReadEvents(exchange->received());
  EXPECT_EQ(seen.text, ExpectedText(0, kTokens));
  EXPECT_TRUE(seen.done);
}

TEST_F(TokensOnceProcessTest, ASilentConnectionIsReplaced) {
  cluster_.AddEngine("llm-1");
  cluster_.AddEntry("entry-1");
  Forwarder forwarder(cluster_.PeerPort("llm-1"));
  cluster_.SetListedPeerPort("llm-1", forwarder.port());
  ASSERT_TRUE(cluster_.Start());
  auto exchange = Ask("entry-1");
  WaitMidStream(*exchange);
  forwarder.SilenceOpenConnections();
  ASSERT_TRUE(exchange->Wait());
  const EventText seen = ReadEvents(exchange->received());
  EXPECT_EQ(seen.text, ExpectedText(0, kTokens));
  EXPECT_TRUE(seen.done);
}

TEST_F(TokensOnceProcessTest, AFrozenSidecarDelaysButLosesNothing) {
  StartWith(1, 1);
  auto exchange = Ask("entry-1");
  WaitMidStream(*exchange);
  cluster_.process("llm-1").Freeze();
  WaitUntil([] { return false; }, std::chrono::milliseconds(1500));
  cluster_.process("llm-1").Thaw();
  ASSERT_TRUE(exchange->Wait());
  EXPECT_EQ(ReadEvents(exchange->received()).text, ExpectedText(0, kTokens));
}

TEST_F(TokensOnceProcessTest, AnotherWorkspaceCannotReadAGeneration) {
  StartWith(1, 1);
  auto first = Ask("entry-1");
  WaitMidStream(*first);
  const std::string event = ReadEvents(first->received()).last_id;
  const auto id = event.substr(0, event.rfind(':'));
  const HttpAnswer other =
      Send("GET", cluster_.EntryUrl("entry-1") + "/v1/generations/" + id, "",
           CallerHeaders(kOtherBearer));
  EXPECT_EQ(other.Code(), 1010);
  first->Wait();
  EXPECT_EQ(ReadEvents(first->received()).text, ExpectedText(0, kTokens));
}

}  // namespace
}  // namespace balsam::processes
