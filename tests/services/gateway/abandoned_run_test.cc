// Engines that go on with a run although its connection has closed. Each run
// that the gateway gives up must be stopped by a call.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

using routing::RequestKind;

// An engine's response to a call that stops a run without copying it.
constexpr char kStopped[] = R"({"handle":"c-1"})";

class AbandonedRunTest : public ExchangeTest {
 protected:
  AbandonedRunTest() {
    first_.on_request = [this](const ScriptedEngine::Request& request) {
      if (request.IsTo("/kv-move")) {
        stops_ += request.body.find("\"last\":true") != std::string::npos;
        if (stops_ <= refused_stops_) {
          Reply(request.socket, "503 Service Unavailable", "", "{}");
          return;
        }
        Reply(request.socket, stop_status_, "",
              stop_status_.starts_with("503") ? kStopped : "{}");
        if (stop_status_.starts_with("503")) is_running_ = false;
      } else if (request.IsTo("/x")) {
        is_running_ = true;
        BeginStream(request.socket, 1, first_events_);
        request.socket->flush();
        if (breaks_off_) request.socket->disconnectFromHost();
      } else {
        Reply(request.socket, "200 OK", "", "{}");
      }
    };
    second_.on_request = [this](const ScriptedEngine::Request& request) {
      if (!request.IsTo("/x")) return;
      ++second_requests_;
      BeginStream(request.socket, first_events_ + 1, 4);
      EndStream(request.socket);
    };
  }

  void SendOnResumableRoute() {
    Offer(RequestKind::kStream, 2, /*resumable=*/true);
    SendRequest();
  }

  // Sends a request that the second engine completes.
  void ExpectStreamFromSecondEngine() {
    SendOnResumableRoute();
    RunUntilDone();
    EXPECT_EQ(sink_.complete, true);
    EXPECT_EQ(second_requests_, 1);
  }

  // The second engine must not get the request while the first one runs it.
  void ForbidRunsAtBoth() {
    second_.on_request = [this,
                          handle = second_.on_request](const auto& request) {
      EXPECT_FALSE(request.IsTo("/x") && is_running_);
      handle(request);
    };
  }

  // What the first engine answers to a call that stops a run: it stops the run,
  // or has none.
  std::string stop_status_ = "503 Service Unavailable";
  // The first engine sheds load: it refuses so many calls and stops nothing.
  int refused_stops_ = 0;
  int first_events_ = 2;
  // The first engine closes the connection and goes on with the run.
  bool breaks_off_ = false;
  bool is_running_ = false;
  int stops_ = 0;
  int second_requests_ = 0;
};

// Guards against runs that go on after their client has left.
TEST_F(AbandonedRunTest, RunIsStoppedWhenItsClientLeaves) {
  sink_.on_text = [this] { exchange_->Cancel(); };
  Send(RequestKind::kStream, 1);
  ASSERT_TRUE(RunUntil([this] { return stops_ > 0 && !is_running_; }));
  EXPECT_EQ(stops_, 1);
}

// Guards against runs that go on because their engine refused one call.
TEST_F(AbandonedRunTest, RefusedStopIsRepeated) {
  refused_stops_ = 2;
  sink_.on_text = [this] { exchange_->Cancel(); };
  Send(RequestKind::kStream, 1);
  ASSERT_TRUE(RunUntil([this] { return stops_ > 0 && !is_running_; }));
  EXPECT_EQ(stops_, 3);
}

// Guards against a run that is queued when its client leaves, and begins later.
TEST_F(AbandonedRunTest, RunThatBeginsAfterItsClientLeftIsStopped) {
  first_events_ = 0;
  stop_status_ = "404 Not Found";
  first_.on_request = [this, handle = first_.on_request](const auto& request) {
    if (request.IsTo("/x")) {
      exchange_->Cancel();
      return;
    }
    // Begins after the first call.
    if (request.IsTo("/kv-move") && stops_ == 1) {
      is_running_ = true;
      stop_status_ = "503 Service Unavailable";
    }
    handle(request);
  };
  Send(RequestKind::kStream, 1);
  ASSERT_TRUE(RunUntil([this] { return stops_ == 2 && !is_running_; }));
}

// Guards against a stream that goes on at two engines: the first one closed the
// connection and went on with the run.
TEST_F(AbandonedRunTest, RunIsStoppedWhenItsStreamContinuesElsewhere) {
  breaks_off_ = true;
  SendOnResumableRoute();
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  ASSERT_TRUE(RunUntil([this] { return !is_running_; }));
  EXPECT_EQ(stops_, 1);
}

// Guards against a stream that goes on at two engines: the calls that stop the
// first run failed, and the second one did not wait for them.
TEST_F(AbandonedRunTest, StreamContinuesOnceItsFirstRunIsStopped) {
  breaks_off_ = true;
  refused_stops_ = 2;
  ForbidRunsAtBoth();
  ExpectStreamFromSecondEngine();
  EXPECT_EQ(stops_, 3);
}

// A run that may be repeated does not wait for proof without end.
TEST_F(AbandonedRunTest, StreamContinuesWithoutProofInTheEnd) {
  breaks_off_ = true;
  refused_stops_ = 1000;
  ExpectStreamFromSecondEngine();
}

// Guards against a request that runs at two engines (review/14): the answer to
// another request came first, the request itself was still queued, and its
// engine was asked once only whether it ran.
TEST_F(AbandonedRunTest, RequestWithAnotherOnesAnswerIsAskedForUntilItRuns) {
  first_events_ = 0;
  stop_status_ = "404 Not Found";
  first_.on_request = [this, handle = first_.on_request](const auto& request) {
    if (request.IsTo("/x")) {
      Reply(request.socket, "200 OK", "Request-Id: r-0\r\nResponse-Seal: s\r\n",
            "late");
      return;
    }
    // Begins after the second call.
    if (request.IsTo("/kv-move") && stops_ == 2) {
      is_running_ = true;
      stop_status_ = "503 Service Unavailable";
    }
    handle(request);
  };
  second_.on_request = [this,
                        handle = second_.on_request](const auto& request) {
    if (request.IsTo("/x")) EXPECT_EQ(stops_, 3);
    handle(request);
  };
  ExpectStreamFromSecondEngine();
  EXPECT_FALSE(is_running_);
}

// Guards against a slow generation that runs at two engines: its connection was
// closed, and it was sent to another engine.
class SlowRunTest : public AbandonedRunTest {
 protected:
  SlowRunTest() {
    latency_objective_ = std::chrono::milliseconds(50);
    first_events_ = 0;
  }
};

TEST_F(SlowRunTest, IsStoppedBeforeItBeginsElsewhere) {
  ForbidRunsAtBoth();
  ExpectStreamFromSecondEngine();
}

TEST_F(SlowRunTest, IsKeptWhileItIsQueued) {
  stop_status_ = "404 Not Found";
  QTcpSocket* client = nullptr;
  first_.on_request = [&, handle = first_.on_request](const auto& request) {
    if (request.IsTo("/x")) {
      client = request.socket;
      return;
    }
    handle(request);
    // The engine begins the run after the second call.
    if (stops_ < 2) return;
    BeginStream(client, 1, 4);
    EndStream(client);
  };
  SendOnResumableRoute();
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(second_requests_, 0);
}

// Guards against a slow generation that runs at two engines because its engine
// refused to stop it.
TEST_F(SlowRunTest, IsKeptWhileItsEngineRefusesToStopIt) {
  refused_stops_ = 2;
  ForbidRunsAtBoth();
  ExpectStreamFromSecondEngine();
  EXPECT_EQ(stops_, 3);
}

// Guards against a slow generation that runs at two engines (REPORT-3): a call
// that its engine reset was taken for the end of the run.
TEST_F(SlowRunTest, IsKeptWhileItsEngineResetsTheCallsThatStopIt) {
  int resets = 0;
  first_.on_request = [&, handle = first_.on_request](const auto& request) {
    if (request.IsTo("/kv-move") && ++resets <= 3) {
      request.socket->abort();
      return;
    }
    handle(request);
  };
  ForbidRunsAtBoth();
  ExpectStreamFromSecondEngine();
  EXPECT_EQ(resets, 4);
}

// Guards against a run that begins at an engine that is responsive again, after
// it has begun elsewhere.
TEST_F(SlowRunTest, IsStoppedWhenItsEngineRespondsAgain) {
  first_.on_request = [this, handle = first_.on_request](const auto& request) {
    if (request.IsTo("/kv-move") && second_requests_ == 0) return;
    handle(request);
  };
  SendOnResumableRoute();
  RunUntilDone();
  EXPECT_EQ(second_requests_, 1);
  ASSERT_TRUE(RunUntil([this] { return !is_running_; }));
}

TEST_F(SlowRunTest, BeginsElsewhereIfItsEngineDoesNotRespond) {
  first_.on_request = [](const auto&) {};
  ExpectStreamFromSecondEngine();
}

// Guards against a run that resumes at its source while the target runs it: the
// target's answer was lost.
class LostResumeTest : public AbandonedRunTest {
 protected:
  LostResumeTest() {
    first_.on_request = [this](const ScriptedEngine::Request& request) {
      if (request.IsTo("/kv-move")) {
        Reply(request.socket, "200 OK", "", R"({"handle":"c-1","created":2})");
      } else if (request.head.find("Kv-From") != std::string::npos) {
        EXPECT_FALSE(is_running_);
        ++resumed_at_source_;
        BeginStream(request.socket, 3, 4);
        EndStream(request.socket);
      } else if (request.IsTo("/x")) {
        BeginStream(request.socket, 1, 2);
      }
    };
    second_.on_request = [this](const ScriptedEngine::Request& request) {
      if (request.IsTo("/x")) {
        is_running_ = runs_at_target_;
        request.socket->disconnectFromHost();
        return;
      }
      if (!request.IsTo("/kv-move")) return;
      ++stops_;
      if (!responds_) return;
      if (stops_ <= refused_stops_) {
        Reply(request.socket, "503 Service Unavailable", "", "{}");
        return;
      }
      Reply(request.socket,
            is_running_ ? "503 Service Unavailable" : "404 Not Found", "",
            is_running_ ? kStopped : "{}");
      is_running_ = false;
    };
    sink_.on_text = [this] {
      if (std::exchange(noticed_, true)) return;
      Announce("i-1", first_, true);
      exchange_->OnServerLeaving("i-1");
    };
  }

  bool noticed_ = false;
  bool runs_at_target_ = true;
  // The target responds to the call that stops the run.
  bool responds_ = true;
  int resumed_at_source_ = 0;
};

TEST_F(LostResumeTest, RunIsStoppedAtTheTargetFirst) {
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(resumed_at_source_, 1);
}

TEST_F(LostResumeTest, RunIsStoppedAtATargetThatRefusesFirst) {
  refused_stops_ = 2;
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(resumed_at_source_, 1);
}

TEST_F(LostResumeTest, RunThatTheTargetDoesNotHaveResumesAtItsSource) {
  runs_at_target_ = false;
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(resumed_at_source_, 1);
}

TEST_F(LostResumeTest, RunIsLostIfTheTargetDoesNotRespond) {
  responds_ = false;
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_EQ(resumed_at_source_, 0);
}

}  // namespace
}  // namespace balsam::gateway
