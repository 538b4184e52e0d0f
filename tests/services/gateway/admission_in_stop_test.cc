// What a stopping gateway accepts from clients that still reach it late in the
// grace period.
#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

using routing::RequestKind;
using std::chrono::milliseconds;

class AdmissionInStopTest : public ExchangeTest {
 protected:
  AdmissionInStopTest() {
    route_timeout_ = milliseconds(39000);
    max_tokens_ = 20;
    expected_tokens_ = 20;
    first_.on_request = [](const ScriptedEngine::Request& request) {
      BeginStream(request.socket, 1, 2);
      EndStream(request.socket);
    };
  }

  // Offers a route of this kind and sends a request to a gateway that was asked
  // to stop `since` ago.
  void SendInStop(RequestKind kind, milliseconds since) {
    Offer(kind, 1);
    context_.stop.emplace(BootClock::now() - since, milliseconds(8000));
    SendRequest();
    RunUntilDone();
  }
};

// Guards against generations that are accepted late in a planned stop because
// they are short, and cut when the process is terminated, because their engine
// takes longer for a token than was assumed.
TEST_F(AdmissionInStopTest, LateGenerationIsRefusedWhateverItsLength) {
  for (const int since : {2700, 3000, 4000, 5500, 7600}) {
    sink_ = RecordingSink();
    SendInStop(RequestKind::kStream, milliseconds(since));
    EXPECT_EQ(sink_.status, 503) << since;
    EXPECT_EQ(sink_.text, "stopping\n") << since;
  }
  EXPECT_TRUE(first_.heads.empty());
}

TEST_F(AdmissionInStopTest, LateGenerationThatItsDeadlineEndsInTimeIsServed) {
  route_timeout_ = milliseconds(2000);
  SendInStop(RequestKind::kStream, milliseconds(4000));
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.complete, true);
}

TEST_F(AdmissionInStopTest, ShortGenerationIsServedWhileClientsStillArrive) {
  SendInStop(RequestKind::kStream, milliseconds(1000));
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.complete, true);
}

}  // namespace
}  // namespace balsam::gateway
