// Servers that lost responses: which have crashed, and which serve on.
#include "services/gateway/crash_detector.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "tests/services/gateway/event_loop.h"
#include "tests/services/gateway/scripted_engine.h"

namespace balsam::gateway {
namespace {

constexpr char kServer[] = "i-1";

class CrashDetectorTest : public testing::Test {
 protected:
  void Lose() {
    detector_.OnResponseLost(kServer, {"127.0.0.1", server_.port()},
                             [this] { ++crashes_; });
  }
  void WaitForVerdict() {
    ASSERT_TRUE(RunUntil([this] { return detector_.checks() == 0; }));
  }

  ScriptedEngine server_;
  ConnectionPool pool_{{}};
  CrashDetector detector_{pool_};
  // Losses that a crash explains.
  int crashes_ = 0;
};

TEST_F(CrashDetectorTest, ServerThatAcceptsConnectionsHasNotCrashed) {
  Lose();
  WaitForVerdict();
  EXPECT_EQ(crashes_, 0);
  EXPECT_EQ(detector_.losses_without_crash(), 1U);
}

TEST_F(CrashDetectorTest, OneCheckExplainsAllLosses) {
  server_.Crash();
  Lose();
  Lose();
  WaitForVerdict();
  EXPECT_EQ(crashes_, 2);
  EXPECT_EQ(detector_.crashes_found(), 1U);
}

// It has too many connections.
TEST_F(CrashDetectorTest, ServerThatResetsConnectionsHasNotCrashed) {
  int connections = 0;
  server_.on_connection = [&](QTcpSocket* socket) {
    ++connections;
    socket->abort();
  };
  Lose();
  WaitForVerdict();
  EXPECT_GT(connections, 1);
  EXPECT_EQ(crashes_, 0);
}

// Guards against missing a crash: the connection that shows the server alive
// was made before it crashed.
TEST_F(CrashDetectorTest, CrashDuringTheCheckIsFound) {
  server_.on_connection = [this](QTcpSocket*) {
    Lose();
    server_.Crash();
  };
  Lose();
  WaitForVerdict();
  EXPECT_EQ(crashes_, 2);
}

// A server that was alive before a loss may have crashed since.
TEST_F(CrashDetectorTest, LossDuringTheCheckIsCheckedAgain) {
  int connections = 0;
  server_.on_connection = [&](QTcpSocket*) {
    if (++connections == 1) Lose();
  };
  Lose();
  WaitForVerdict();
  EXPECT_EQ(connections, 2);
  EXPECT_EQ(detector_.losses_without_crash(), 2U);
}

TEST_F(CrashDetectorTest, RestartExplainsEarlierLosses) {
  Lose();
  WaitForVerdict();
  detector_.OnServerRestarted("i-2", BootClock::now());
  EXPECT_EQ(crashes_, 0);
  detector_.OnServerRestarted(kServer, BootClock::now());
  EXPECT_EQ(crashes_, 1);
  detector_.OnServerRestarted(kServer, BootClock::now());
  EXPECT_EQ(crashes_, 1);
}

TEST_F(CrashDetectorTest, RestartEndsTheCheck) {
  Lose();
  detector_.OnServerRestarted(kServer, BootClock::now());
  EXPECT_EQ(crashes_, 1);
  EXPECT_EQ(detector_.checks(), 0U);
}

TEST_F(CrashDetectorTest, OldLossesAreForgotten) {
  Lose();
  WaitForVerdict();
  detector_.DropExpired(BootClock::now() + std::chrono::seconds(10));
  detector_.OnServerRestarted(kServer, BootClock::now());
  EXPECT_EQ(crashes_, 0);
}

}  // namespace
}  // namespace balsam::gateway
