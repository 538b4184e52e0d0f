// An engine that writes an earlier response once more on a connection that was
// kept: what callers are told, and how often their requests run. Each test runs
// a complete gateway on sockets.
#include <gtest/gtest.h>

#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "tests/services/gateway/gateway_node_fixture.h"

namespace balsam::gateway {
namespace {

// Returns the value of a request's `Request-Id`.
std::string IdOf(const std::string& head) {
  constexpr std::string_view kName = "Request-Id: ";
  const std::size_t begin = head.find(kName) + kName.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

// An engine that refuses the first request on each connection, and writes that
// refusal again before it responds to any later one, which it runs.
class RepeatingEngine {
 public:
  // `refusal`: status line and fields.
  void Script(ScriptedEngine& engine, const std::string& refusal) {
    engine.on_request = [this, refusal](const auto& request) {
      const std::string id = IdOf(request.head);
      const bool is_first = refused_.insert(request.socket).second;
      std::string text = "HTTP/1.1 " + refusal + "Content-Length: 0\r\n\r\n";
      if (!is_first || !refuses_) {
        ++runs_[id];
        const std::string own = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                                "\r\nResponse-Seal: s\r\n"
                                "Content-Length: 3\r\n\r\nran";
        text = is_first ? own : text + own;
      }
      request.socket->write(text.data(), static_cast<qint64>(text.size()));
    };
  }
  // Requests on new connections are run from now on.
  void StopRefusing() { refuses_ = false; }
  int Runs(const std::string& id) const {
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }

 private:
  std::set<QTcpSocket*> refused_;
  std::map<std::string, int> runs_;
  bool refuses_ = true;
};

class RepeatedRefusalTest : public GatewayNodeTest {
 protected:
  RepeatedRefusalTest() { kind_ = "non_idempotent"; }

  // Sends a request on a new connection and returns the response's status.
  int Status(const std::string& id) {
    QTcpSocket client;
    client.connectToHost("127.0.0.1", client_port_);
    const std::string request =
        "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
        "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    client.write(request.data(), static_cast<qint64>(request.size()));
    std::string response;
    EXPECT_TRUE(RunUntil([&] {
      response += client.readAll().toStdString();
      return client.state() == QAbstractSocket::UnconnectedState;
    }));
    return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
  }

  RepeatingEngine engines_;
};

class RefusalStatusTest : public RepeatedRefusalTest,
                          public testing::WithParamInterface<const char*> {};

INSTANTIATE_TEST_SUITE_P(Statuses, RefusalStatusTest,
                         testing::Values("503 Full", "429 Slow", "408 Late"));

// A caller was told "not run, try again" for a request that ran: the engine
// wrote the refusal of an earlier request, which named none, once more.
TEST_P(RefusalStatusTest, RepeatedRefusalWithoutIdIsNoProof) {
  engines_.Script(first_, std::string(GetParam()) + "\r\nNot-Run: 1\r\n");
  Publish({&first_});
  EXPECT_NE(Status("r-1"), 200);
  engines_.StopRefusing();
  const int status = Status("r-2");
  EXPECT_EQ(engines_.Runs("r-2"), 1);
  EXPECT_EQ(status, 200);
}

// The same, and the request ran at a second engine too.
TEST_F(RepeatedRefusalTest, RequestBehindRepeatedRefusalRunsOnce) {
  attempts_ = 2;
  engines_.Script(first_, "503 Full\r\nNot-Run: 1\r\n");
  engines_.Script(second_, "503 Full\r\nNot-Run: 1\r\n");
  Publish({&first_, &second_});
  // Refused by both.
  EXPECT_EQ(Status("r-1"), 503);
  engines_.StopRefusing();
  const int status = Status("r-2");
  EXPECT_EQ(engines_.Runs("r-2"), 1);
  EXPECT_EQ(status, 200);
}

// The same with a refusal that names the earlier request. Its connection is
// used again, and the refusal is rejected where the next response is due.
TEST_F(RepeatedRefusalTest, RepeatedRefusalOfNamedRequestIsNoProof) {
  attempts_ = 2;
  const std::string refusal = "503 Full\r\nNot-Run: 1\r\nRequest-Id: r-1\r\n";
  engines_.Script(first_, refusal);
  engines_.Script(second_, refusal);
  Publish({&first_, &second_});
  EXPECT_EQ(Status("r-1"), 503);
  engines_.StopRefusing();
  const int status = Status("r-2");
  EXPECT_EQ(engines_.Runs("r-2"), 1);
  EXPECT_TRUE(status == 200 || status == 502) << status;
}

}  // namespace
}  // namespace balsam::gateway
