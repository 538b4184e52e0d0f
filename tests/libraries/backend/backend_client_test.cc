// The contract with backend servers on real sockets: each call is sent once,
// and each way to fail says whether it may have arrived.
#include "libraries/backend/backend_client.h"

#include <gtest/gtest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <optional>

#include "tests/libraries/execution/work_builder.h"
#include "tests/processes/http_client.h"

namespace balsam::backend {
namespace {

using processes::WaitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A backend server that answers each request by one fixed text, or none.
class FixedServer {
 public:
  explicit FixedServer(QByteArray answer, bool close_after)
      : answer_(std::move(answer)), close_after_(close_after) {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, [this] {
      QTcpSocket* socket = server_.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] {
        const QByteArray data = socket->readAll();
        received_ += data;
        requests_ += static_cast<int>(data.count(" HTTP/1.1\r\n"));
        if (!answer_.isEmpty()) socket->write(answer_);
        if (close_after_) socket->disconnectFromHost();
      });
    });
  }
  QUrl url() const {
    return QUrl(QString("http://127.0.0.1:%1").arg(server_.serverPort()));
  }
  int requests() const { return requests_; }
  const QByteArray& received() const { return received_; }

 private:
  QTcpServer server_;
  QByteArray answer_;
  bool close_after_;
  QByteArray received_;
  int requests_ = 0;
};

enum class Seen { kNothing, kCompleted, kNotSent, kBroken, kResumeFailed };

class BackendClientTest : public testing::Test {
 protected:
  void Use(const QUrl& url, milliseconds silence = seconds(20)) {
    client_ = std::make_unique<BackendClient>(BackendSettings{url, silence});
    client_->on_tokens = [this](execution::Counter, std::uint64_t first,
                                const std::vector<std::string>& tokens) {
      EXPECT_EQ(first, tokens_.size());
      tokens_.insert(tokens_.end(), tokens.begin(), tokens.end());
    };
    client_->on_completed = [this](execution::Counter, Outcome outcome) {
      seen_ = Seen::kCompleted;
      outcome_ = std::move(outcome);
    };
    client_->on_not_sent = [this](execution::Counter, const std::string&) {
      seen_ = Seen::kNotSent;
    };
    client_->on_broken = [this](execution::Counter, const std::string&) {
      seen_ = Seen::kBroken;
    };
    client_->on_resume_failed = [this](execution::Counter) {
      seen_ = Seen::kResumeFailed;
    };
  }
  Seen Call(const std::string& body) {
    execution::Work work = execution::Call();
    work.method = "POST";
    work.path = "/release";
    work.body = body;
    client_->StartCall(1, "s", work);
    return Wait();
  }
  Seen Generate() {
    execution::Work work = execution::Generation();
    work.method = "POST";
    work.path = "/v1/completions";
    work.body = "{}";
    client_->StartGeneration(1, "s", work);
    return Wait();
  }
  Seen Wait() {
    WaitUntil([this] { return seen_ != Seen::kNothing; }, seconds(20));
    // A repeat by the library would come soon after.
    WaitUntil([] { return false; }, milliseconds(200));
    return seen_;
  }

  std::unique_ptr<BackendClient> client_;
  std::vector<std::string> tokens_;
  Outcome outcome_;
  Seen seen_ = Seen::kNothing;
};

TEST_F(BackendClientTest, AConnectionThatClosesWithoutAnswerIsNotRepeated) {
  for (const std::string body : {"door", ""}) {
    seen_ = Seen::kNothing;
    FixedServer server({}, /*close_after=*/true);
    Use(server.url());
    EXPECT_EQ(Call(body), Seen::kBroken);
    EXPECT_EQ(server.requests(), 1) << "body \"" << body << "\"";
  }
}

TEST_F(BackendClientTest, ARefusedConnectionProvesThatNothingWasSent) {
  QTcpServer closed;
  closed.listen(QHostAddress::LocalHost);
  const QUrl url(QString("http://127.0.0.1:%1").arg(closed.serverPort()));
  closed.close();
  Use(url);
  EXPECT_EQ(Call("door"), Seen::kNotSent);
}

TEST_F(BackendClientTest, AnAnswerIsPassedOnWhateverItsStatus) {
  FixedServer server(
      "HTTP/1.1 409 Conflict\r\nContent-Type: text/plain\r\n"
      "Content-Length: 4\r\n\r\nbusy",
      true);
  Use(server.url());
  EXPECT_EQ(Call("door"), Seen::kCompleted);
  EXPECT_EQ(outcome_.http_status, 409);
  EXPECT_EQ(outcome_.body, "busy");
  EXPECT_EQ(outcome_.run_state, RunState::kRan);
}

TEST_F(BackendClientTest, AnAnswerThatIsCutOffIsNotAnAnswer) {
  FixedServer server("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
                     true);
  Use(server.url());
  EXPECT_EQ(Call("door"), Seen::kBroken);
}

TEST_F(BackendClientTest, ASilentServerIsGivenUpAsUnknown) {
  FixedServer server({}, false);
  Use(server.url(), milliseconds(300));
  EXPECT_EQ(Call("door"), Seen::kBroken);
  EXPECT_EQ(server.requests(), 1);
}

TEST_F(BackendClientTest, AStreamEndsOnlyByItsLastEvent) {
  const QByteArray head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Connection: close\r\n\r\n";
  const QByteArray token =
      "data: {\"choices\":[{\"text\":\"a\"}]}\n\n: comment\n\n"
      "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
      "data: not json\n\n";
  FixedServer cut(head + token, true);
  Use(cut.url());
  EXPECT_EQ(Generate(), Seen::kBroken);
  EXPECT_EQ(tokens_, (std::vector<std::string>{"a", "b"}));
  tokens_.clear();
  seen_ = Seen::kNothing;
  FixedServer whole(head + token + "data: [DONE]\n\n", true);
  Use(whole.url());
  EXPECT_EQ(Generate(), Seen::kCompleted);
  EXPECT_EQ(cut.requests(), 1);
}

TEST_F(BackendClientTest, AnUnknownStreamCannotBeResumed) {
  FixedServer server("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
                     true);
  Use(server.url());
  client_->ResumeGeneration(1, "a~1~1", 5);
  EXPECT_EQ(Wait(), Seen::kResumeFailed);
  EXPECT_TRUE(server.received().contains("from=5"));
}

}  // namespace
}  // namespace balsam::backend
