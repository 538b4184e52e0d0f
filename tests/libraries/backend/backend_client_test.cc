// Tests the client against real sockets: each request is sent once, and every
// failure reports whether the request may have reached the server.
#include "libraries/backend/backend_client.h"

#include <gtest/gtest.h>

#include <QHash>
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

// A backend server that answers each request with a fixed response, or none.
class FixedServer {
 public:
  explicit FixedServer(QByteArray response, bool close_after)
      : response_(std::move(response)), close_after_(close_after) {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, [this] {
      QTcpSocket* socket = server_.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] {
        const QByteArray data = socket->readAll();
        received_ += data;
        requests_ += static_cast<int>(data.count(" HTTP/1.1\r\n"));
        if (!response_.isEmpty()) socket->write(response_);
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
  QByteArray response_;
  bool close_after_;
  QByteArray received_;
  int requests_ = 0;
};

// A backend server that keeps its connections open, although it is asked to
// close them. It writes the first response of a connection once more before
// each later one.
class RepeatingServer {
 public:
  RepeatingServer() {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, [this] {
      QTcpSocket* socket = server_.nextPendingConnection();
      ++open_connections_;
      QObject::connect(socket, &QTcpSocket::disconnected,
                       [this] { --open_connections_; });
      QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] {
        if (!socket->readAll().contains(" HTTP/1.1\r\n")) return;
        const QByteArray first = first_responses_.value(socket);
        const QByteArray own =
            requests_++ == 0
                ? "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull"
                : "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
        if (first.isEmpty()) first_responses_[socket] = own;
        socket->write(first + own);
      });
    });
  }
  QUrl url() const {
    return QUrl(QString("http://127.0.0.1:%1").arg(server_.serverPort()));
  }
  int open_connections() const { return open_connections_; }

 private:
  QTcpServer server_;
  QHash<QTcpSocket*, QByteArray> first_responses_;
  int open_connections_ = 0;
  int requests_ = 0;
};

enum class ClientEvent { kNone, kCompleted, kNotSent, kBroken, kResumeFailed };

class BackendClientTest : public testing::Test {
 protected:
  void CreateClient(const QUrl& url, milliseconds silence = seconds(20)) {
    client_ = std::make_unique<BackendClient>(BackendSettings{url, silence});
    client_->on_tokens = [this](execution::LocalId, std::uint64_t first,
                                const std::vector<std::string>& tokens) {
      EXPECT_EQ(first, tokens_.size());
      tokens_.insert(tokens_.end(), tokens.begin(), tokens.end());
    };
    client_->on_completed = [this](execution::LocalId, Outcome outcome) {
      last_event_ = ClientEvent::kCompleted;
      outcome_ = std::move(outcome);
    };
    client_->on_not_sent = [this](execution::LocalId, const std::string&) {
      last_event_ = ClientEvent::kNotSent;
    };
    client_->on_broken = [this](execution::LocalId, const std::string&) {
      last_event_ = ClientEvent::kBroken;
    };
    client_->on_resume_failed = [this](execution::LocalId) {
      last_event_ = ClientEvent::kResumeFailed;
    };
  }
  ClientEvent Call(const std::string& body) {
    execution::WorkItem work = execution::Call();
    work.method = "POST";
    work.path = "/release";
    work.body = body;
    client_->StartCall(1, "s", work);
    return Wait();
  }
  ClientEvent Generate() {
    execution::WorkItem work = execution::Generation();
    work.method = "POST";
    work.path = "/v1/completions";
    work.body = "{}";
    client_->StartGeneration(1, "s", work);
    return Wait();
  }
  ClientEvent Wait() {
    WaitUntil([this] { return last_event_ != ClientEvent::kNone; },
              seconds(20));
    // Leaves time for a repeated request by Qt, which would follow soon.
    WaitUntil([] { return false; }, milliseconds(200));
    return last_event_;
  }

  std::unique_ptr<BackendClient> client_;
  std::vector<std::string> tokens_;
  Outcome outcome_;
  ClientEvent last_event_ = ClientEvent::kNone;
};

TEST_F(BackendClientTest,
       ARequestIsNotRepeatedWhenTheConnectionClosesWithoutResponse) {
  for (const std::string body : {"door", ""}) {
    last_event_ = ClientEvent::kNone;
    FixedServer server({}, /*close_after=*/true);
    CreateClient(server.url());
    EXPECT_EQ(Call(body), ClientEvent::kBroken);
    EXPECT_EQ(server.requests(), 1) << "body \"" << body << "\"";
  }
}

TEST_F(BackendClientTest, ARefusedConnectionMeansThatNothingWasSent) {
  QTcpServer closed;
  closed.listen(QHostAddress::LocalHost);
  const QUrl url(QString("http://127.0.0.1:%1").arg(closed.serverPort()));
  closed.close();
  CreateClient(url);
  EXPECT_EQ(Call("door"), ClientEvent::kNotSent);
}

TEST_F(BackendClientTest, AResponseIsForwardedRegardlessOfItsStatus) {
  FixedServer server(
      "HTTP/1.1 409 Conflict\r\nContent-Type: text/plain\r\n"
      "Content-Length: 4\r\n\r\nbusy",
      true);
  CreateClient(server.url());
  EXPECT_EQ(Call("door"), ClientEvent::kCompleted);
  EXPECT_EQ(outcome_.http_status, 409);
  EXPECT_EQ(outcome_.body, "busy");
  EXPECT_EQ(outcome_.run_state, RunState::kRan);
}

// The response to an earlier call, which the server wrote once more, was taken
// for the response to a later one.
TEST_F(BackendClientTest, ARepeatedResponseDoesNotAnswerALaterCall) {
  RepeatingServer server;
  CreateClient(server.url());
  EXPECT_EQ(Call("first"), ClientEvent::kCompleted);
  EXPECT_EQ(outcome_.http_status, 503);
  last_event_ = ClientEvent::kNone;
  EXPECT_EQ(Call("second"), ClientEvent::kCompleted);
  EXPECT_EQ(outcome_.http_status, 200);
  EXPECT_EQ(outcome_.body, "own");
}

TEST_F(BackendClientTest, AConnectionThatTheServerKeepsIsClosed) {
  RepeatingServer server;
  CreateClient(server.url());
  EXPECT_EQ(Call("door"), ClientEvent::kCompleted);
  EXPECT_TRUE(
      WaitUntil([&] { return server.open_connections() == 0; }, seconds(20)));
}

// The same for a stream that is resumed. All streams counted as lost in a crash
// of the server, which still ran them.
TEST_F(BackendClientTest, ARepeatedResponseDoesNotAnswerAResume) {
  RepeatingServer server;
  CreateClient(server.url());
  EXPECT_EQ(Generate(), ClientEvent::kCompleted);
  EXPECT_EQ(outcome_.code, ResultCode::kBackendServerError);
  last_event_ = ClientEvent::kNone;
  client_->ResumeGeneration(2, "a~1~2", 5);
  EXPECT_EQ(Wait(), ClientEvent::kBroken);
}

TEST_F(BackendClientTest, ATruncatedResponseIsABrokenCall) {
  FixedServer server("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
                     true);
  CreateClient(server.url());
  EXPECT_EQ(Call("door"), ClientEvent::kBroken);
}

TEST_F(BackendClientTest, ACallToASilentServerIsBroken) {
  FixedServer server({}, false);
  CreateClient(server.url(), milliseconds(300));
  EXPECT_EQ(Call("door"), ClientEvent::kBroken);
  EXPECT_EQ(server.requests(), 1);
}

TEST_F(BackendClientTest, AStreamCompletesOnlyWithItsDoneEvent) {
  const QByteArray head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Connection: close\r\n\r\n";
  const QByteArray token =
      "data: {\"choices\":[{\"text\":\"a\"}]}\n\n: comment\n\n"
      "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
      "data: not json\n\n";
  FixedServer truncated(head + token, true);
  CreateClient(truncated.url());
  EXPECT_EQ(Generate(), ClientEvent::kBroken);
  EXPECT_EQ(tokens_, (std::vector<std::string>{"a", "b"}));
  tokens_.clear();
  last_event_ = ClientEvent::kNone;
  FixedServer complete(head + token + "data: [DONE]\n\n", true);
  CreateClient(complete.url());
  EXPECT_EQ(Generate(), ClientEvent::kCompleted);
  EXPECT_EQ(truncated.requests(), 1);
}

TEST_F(BackendClientTest, AnUnknownStreamCannotBeResumed) {
  FixedServer server("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
                     true);
  CreateClient(server.url());
  client_->ResumeGeneration(1, "a~1~1", 5);
  EXPECT_EQ(Wait(), ClientEvent::kResumeFailed);
  EXPECT_TRUE(server.received().contains("from=5"));
}

}  // namespace
}  // namespace balsam::backend
