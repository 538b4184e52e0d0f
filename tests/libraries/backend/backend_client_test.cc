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
#include "tests/processes/scripted_engine.h"

namespace balsam::backend {
namespace {

using processes::WaitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

QByteArray ToBytes(const std::string& text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

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

// A backend server that answers with `begin`, and then writes `repeated` until
// the client closes the connection.
class EndlessServer {
 public:
  EndlessServer(const QByteArray& begin, const QByteArray& repeated) {
    while (block_.size() < kBlockBytes) block_ += repeated;
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, [this, begin] {
      QTcpSocket* socket = server_.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, [this, socket, begin] {
        if (!socket->readAll().contains("\r\n\r\n")) return;
        socket->write(begin);
        Write(socket);
      });
      QObject::connect(socket, &QTcpSocket::bytesWritten,
                       [this, socket] { Write(socket); });
    });
  }
  QUrl url() const {
    return QUrl(QString("http://127.0.0.1:%1").arg(server_.serverPort()));
  }
  qsizetype written() const { return written_; }

 private:
  static constexpr qsizetype kBlockBytes = 16 << 10;

  void Write(QTcpSocket* socket) {
    if (socket->state() != QAbstractSocket::ConnectedState) return;
    if (socket->bytesToWrite() > 0) return;
    written_ += block_.size();
    socket->write(block_);
  }

  QTcpServer server_;
  QByteArray block_;
  qsizetype written_ = 0;
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
    // Leaves time for a repeated request, which would follow soon.
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

// Guards against waiting for the body of a response that has none.
TEST_F(BackendClientTest, AResponseToHeadHasNoBody) {
  FixedServer server("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", true);
  CreateClient(server.url());
  execution::WorkItem work = execution::Call();
  work.method = "HEAD";
  work.path = "/release";
  client_->StartCall(1, "s", work);
  EXPECT_EQ(Wait(), ClientEvent::kCompleted);
  EXPECT_EQ(outcome_.http_status, 200);
  EXPECT_EQ(outcome_.body, "");
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

// Guards against heads that are no response in the protocol, taken for one.
class RejectedHeadTest : public BackendClientTest,
                         public testing::WithParamInterface<std::string> {
 protected:
  QByteArray Response(const QByteArray& body) const {
    return ToBytes(GetParam()) +
           "Content-Type: text/event-stream\r\nContent-Length: " +
           QByteArray::number(body.size()) + "\r\n\r\n" + body;
  }
};

TEST_P(RejectedHeadTest, BreaksACall) {
  FixedServer server(Response("body"), true);
  CreateClient(server.url());
  EXPECT_EQ(Call("door"), ClientEvent::kBroken);
  EXPECT_EQ(server.requests(), 1);
}

TEST_P(RejectedHeadTest, BreaksAStream) {
  FixedServer server(
      Response("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"),
      true);
  CreateClient(server.url());
  EXPECT_EQ(Generate(), ClientEvent::kBroken);
  EXPECT_TRUE(tokens_.empty());
}

TEST_P(RejectedHeadTest, DoesNotConfirmACancel) {
  FixedServer server(Response(""), true);
  CreateClient(server.url());
  client_->CancelGeneration(1, "a~1~1");
  EXPECT_TRUE(WaitUntil([&] { return server.requests() > 1; }, seconds(20)));
}

INSTANTIATE_TEST_SUITE_P(
    Heads, RejectedHeadTest,
    testing::Values("HTTP/1.1 000 None\r\n", "HTTP/1.1 042 Odd\r\n",
                    "HTTP/1.1 200 OK\r\nA B: c\r\n",
                    "HTTP/1.1 200 OK\r\nA : c\r\n",
                    "HTTP/1.1 200 OK\r\nA\x01: c\r\n",
                    "HTTP/1.1 200 OK\r\nA: b\x02\r\n",
                    "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"),
    [](const auto& info) { return std::to_string(info.index); });

struct EndlessCase {
  const char* name;
  QByteArray begin;
  QByteArray repeated;

  friend void PrintTo(const EndlessCase& row, std::ostream* out) {
    *out << row.name;
  }
};

// Guards against a process that runs out of memory: a faulty server sends bytes
// without end, and the client keeps all of them.
class EndlessResponseTest : public BackendClientTest,
                            public testing::WithParamInterface<EndlessCase> {
 protected:
  // What the sockets hold, and a body of the largest size in chunks of a byte,
  // each of which takes six.
  static constexpr qsizetype kMaxWritten = (16 << 20) + 6 * (4 << 20);
};

TEST_P(EndlessResponseTest, BreaksACall) {
  EndlessServer server(GetParam().begin, GetParam().repeated);
  CreateClient(server.url());
  EXPECT_EQ(Call("door"), ClientEvent::kBroken);
  EXPECT_LE(server.written(), kMaxWritten);
}

TEST_P(EndlessResponseTest, EndsAStream) {
  EndlessServer server(GetParam().begin, GetParam().repeated);
  CreateClient(server.url());
  EXPECT_NE(Generate(), ClientEvent::kNone);
  EXPECT_TRUE(tokens_.empty());
  EXPECT_LE(server.written(), kMaxWritten);
}

const QByteArray kOk = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const QByteArray kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Bytes, EndlessResponseTest,
    testing::Values(
        EndlessCase{"NotHttp", "", "x"},
        EndlessCase{"Reason", "HTTP/1.1 200 ", "O"},
        EndlessCase{"Fields", kOk, "A: b\r\n"},
        EndlessCase{"ShortFields", kOk, "a:\r\n"},
        EndlessCase{"OneField", kOk + "A: ", "b"},
        EndlessCase{"InterimResponses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessCase{"ChunkExtension", kChunked + "1;a=", "b"},
        EndlessCase{"Trailers", kChunked + "0\r\n", "A: b\r\n"},
        EndlessCase{"Body", kOk + "\r\n", "x"},
        EndlessCase{"BodyInChunks", kChunked, "1\r\nx\r\n"},
        EndlessCase{"BodyOfFailure", "HTTP/1.1 500 Failed\r\n\r\n", "x"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(BackendClientTest, AStreamCompletesOnlyWithItsDoneEvent) {
  const QByteArray head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Connection: close\r\n\r\n";
  const QByteArray token =
      "data: {\"choices\":[{\"text\":\"a\"}]}\n\n: comment\n\n"
      "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n";
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

const QByteArray kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Connection: close\r\n\r\n";
const QByteArray kA = "data: {\"choices\":[{\"index\":0,\"text\":\"a\"}]}\n\n";
const QByteArray kB = "data: {\"choices\":[{\"index\":0,\"text\":\"b\"}]}\n\n";
const QByteArray kDone = "data: [DONE]\n\n";

struct StreamCase {
  std::string name;
  QByteArray events;
  std::vector<std::string> tokens;
  ClientEvent event;

  friend void PrintTo(const StreamCase& row, std::ostream* out) {
    *out << row.name;
  }
};

class BackendStreamTest : public BackendClientTest,
                          public testing::WithParamInterface<StreamCase> {};

// A token that is left out of a complete stream, or added to it, changes the
// number of each later one, by which it is resumed.
TEST_P(BackendStreamTest, GivesEachTokenOnceOrBreaks) {
  FixedServer server(kStreamHead + GetParam().events, true);
  CreateClient(server.url());
  EXPECT_EQ(Generate(), GetParam().event);
  EXPECT_EQ(tokens_, GetParam().tokens);
}

INSTANTIATE_TEST_SUITE_P(
    Events, BackendStreamTest,
    testing::Values(
        StreamCase{
            "Plain", kA + kB + kDone, {"a", "b"}, ClientEvent::kCompleted},
        StreamCase{"NoToken", kDone, {}, ClientEvent::kCompleted},
        StreamCase{"CarriageReturns",
                   QByteArray(kA + kB + kDone).replace("\n", "\r\n"),
                   {"a", "b"},
                   ClientEvent::kCompleted},
        StreamCase{"NoSpaceAfterColon",
                   QByteArray(kA + kB + kDone).replace("data: ", "data:"),
                   {"a", "b"},
                   ClientEvent::kCompleted},
        StreamCase{
            "OtherFields",
            ": comment\nid: 1\nevent: token\nretry: 5\n" + kA + kB + kDone,
            {"a", "b"},
            ClientEvent::kCompleted},
        StreamCase{
            "TwoLinesOfDataInOneEvent",
            "data: {\"choices\":\ndata: [{\"text\":\"a\"}]}\n\n" + kB + kDone,
            {"a", "b"},
            ClientEvent::kCompleted},
        StreamCase{"TwoEventsWithoutBlankLine",
                   QByteArray(kA).chopped(1) + kB + kDone,
                   {},
                   ClientEvent::kBroken},
        StreamCase{"ChatPreambleAndEnd",
                   "data: {\"choices\":[{\"index\":0,\"delta\":"
                   "{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n"
                   "data: {\"choices\":[{\"index\":0,\"delta\":"
                   "{\"content\":\"a\"},\"finish_reason\":null}]}\n\n"
                   "data: {\"choices\":[{\"index\":0,\"delta\":{},"
                   "\"finish_reason\":\"stop\"}]}\n\n"
                   "data: {\"choices\":[],\"usage\":{}}\n\n" +
                       kDone,
                   {"a"},
                   ClientEvent::kCompleted},
        StreamCase{"TextWithFinishReason",
                   kA +
                       "data: {\"choices\":[{\"text\":\"b\","
                       "\"finish_reason\":\"length\"}]}\n\n" +
                       kDone,
                   {"a", "b"},
                   ClientEvent::kCompleted},
        StreamCase{"EmptyToken",
                   kA +
                       "data: {\"choices\":[{\"index\":0,\"text\":\"\"}]}\n\n" +
                       kB + kDone,
                   {"a", "", "b"},
                   ClientEvent::kCompleted},
        StreamCase{"EmptyChatToken",
                   "data: {\"choices\":[{\"delta\":{\"content\":\"\"}}]}\n\n" +
                       kB + kDone,
                   {"", "b"},
                   ClientEvent::kCompleted},
        StreamCase{"EmptyTextAtTheEnd",
                   kA +
                       "data: {\"choices\":[{\"text\":\"\","
                       "\"finish_reason\":\"stop\"}]}\n\n" +
                       kDone,
                   {"a"},
                   ClientEvent::kCompleted},
        StreamCase{
            "AfterDone", kA + kDone + kB + kB, {"a"}, ClientEvent::kCompleted},
        StreamCase{"GarbageAfterDone",
                   kA + kDone + "data: #\n\n",
                   {"a"},
                   ClientEvent::kCompleted},
        StreamCase{"NoJson",
                   kA + "data: {#\n\n" + kB + kDone,
                   {"a"},
                   ClientEvent::kBroken},
        StreamCase{"NoObject",
                   kA + "data: [1]\n\n" + kB + kDone,
                   {"a"},
                   ClientEvent::kBroken},
        StreamCase{"NoChoices",
                   kA + "data: {\"choizes\":[]}\n\n" + kB + kDone,
                   {"a"},
                   ClientEvent::kBroken},
        StreamCase{"NoText",
                   kA + "data: {\"choices\":[{\"index\":0}]}\n\n" + kB + kDone,
                   {"a"},
                   ClientEvent::kBroken},
        StreamCase{"TextIsNoString",
                   kA + "data: {\"choices\":[{\"text\":7}]}\n\n" + kB + kDone,
                   {"a"},
                   ClientEvent::kBroken},
        StreamCase{
            "DeltaWithoutContent",
            kA + "data: {\"choices\":[{\"delta\":{\"contend\":\"x\"}}]}\n\n" +
                kB + kDone,
            {"a"},
            ClientEvent::kBroken},
        StreamCase{
            "AnotherChoice",
            kA + "data: {\"choices\":[{\"index\":1,\"text\":\"x\"}]}\n\n" + kB +
                kDone,
            {"a"},
            ClientEvent::kBroken},
        StreamCase{
            "TwoChoices",
            kA + "data: {\"choices\":[{\"text\":\"x\"},{\"text\":\"y\"}]}\n\n" +
                kB + kDone,
            {"a"},
            ClientEvent::kBroken},
        StreamCase{"UnknownField",
                   kA + "dat#: {}\n\n" + kB + kDone,
                   {"a"},
                   ClientEvent::kBroken},
        StreamCase{"CutInALine",
                   kA + QByteArray(kB).chopped(9),
                   {"a"},
                   ClientEvent::kBroken},
        StreamCase{
            "CutInDone", kA + "data: [DON", {"a"}, ClientEvent::kBroken}),
    [](const auto& row) { return row.param.name; });

struct AnswerCase {
  std::string name;
  QByteArray response;
  bool is_resume;
  ClientEvent event;
  ResultCode code = ResultCode::kOk;

  friend void PrintTo(const AnswerCase& row, std::ostream* out) {
    *out << row.name;
  }
};

class BackendAnswerTest : public BackendClientTest,
                          public testing::WithParamInterface<AnswerCase> {};

// Nothing of a response that is no event stream may become a token, and only
// an engine that does not know the stream counts as crashed.
TEST_P(BackendAnswerTest, IsNoStream) {
  FixedServer server(GetParam().response, true);
  CreateClient(server.url());
  if (GetParam().is_resume) {
    client_->ResumeGeneration(1, "a~1~1", 0);
    EXPECT_EQ(Wait(), GetParam().event);
  } else {
    EXPECT_EQ(Generate(), GetParam().event);
  }
  EXPECT_EQ(outcome_.code, GetParam().code);
  EXPECT_TRUE(tokens_.empty());
}

QByteArray Answer(const QByteArray& status, const QByteArray& type,
                  const QByteArray& body) {
  return "HTTP/1.1 " + status + "\r\nContent-Type: " + type +
         "\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" +
         body;
}

INSTANTIATE_TEST_SUITE_P(
    Responses, BackendAnswerTest,
    testing::Values(
        AnswerCase{"Unavailable",
                   Answer("503 Busy", "text/event-stream", kA + kDone), false,
                   ClientEvent::kCompleted, ResultCode::kBackendServerError},
        AnswerCase{"Redirect", Answer("302 Found", "text/plain", kA + kDone),
                   false, ClientEvent::kCompleted,
                   ResultCode::kBackendServerError},
        AnswerCase{"Html", Answer("200 OK", "text/html", "<html></html>\n"),
                   false, ClientEvent::kCompleted,
                   ResultCode::kBackendServerError},
        AnswerCase{"HtmlWithEvents", Answer("200 OK", "text/html", kA + kDone),
                   false, ClientEvent::kCompleted,
                   ResultCode::kBackendServerError},
        AnswerCase{"Json",
                   Answer("200 OK", "application/json",
                          "{\"choices\":[{\"text\":\"a\"}]}"),
                   false, ClientEvent::kCompleted,
                   ResultCode::kBackendServerError},
        AnswerCase{"ErrorEvent",
                   kStreamHead + "data: {\"error\":{}}\n\n" + kDone, false,
                   ClientEvent::kCompleted, ResultCode::kBackendServerError},
        AnswerCase{"UnknownStreamAtResume",
                   Answer("404 Not Found", "text/event-stream", kA + kDone),
                   true, ClientEvent::kResumeFailed},
        AnswerCase{"UnavailableAtResume",
                   Answer("503 Busy", "text/event-stream", kA + kDone), true,
                   ClientEvent::kBroken},
        AnswerCase{"ServerErrorAtResume",
                   Answer("500 Error", "text/plain", kA + kDone), true,
                   ClientEvent::kBroken},
        AnswerCase{"HtmlAtResume", Answer("200 OK", "text/html", kA + kDone),
                   true, ClientEvent::kBroken}),
    [](const auto& row) { return row.param.name; });

struct ResumeCase {
  std::string name;
  QByteArray events;
  std::vector<std::string> tokens;
  ClientEvent event;

  friend void PrintTo(const ResumeCase& row, std::ostream* out) {
    *out << row.name;
  }
};

class BackendStreamResumeTest : public BackendClientTest,
                                public testing::WithParamInterface<ResumeCase> {
};

// A stream that goes on elsewhere than where it broke repeats or lacks tokens.
TEST_P(BackendStreamResumeTest, GoesOnWhereItBroke) {
  FixedServer server(kStreamHead + GetParam().events, true);
  CreateClient(server.url());
  tokens_ = {"x", "a", "b"};
  client_->ResumeGeneration(1, "a~1~1", 3, {"a", "b"});
  EXPECT_EQ(Wait(), GetParam().event);
  EXPECT_EQ(tokens_, GetParam().tokens);
  EXPECT_TRUE(server.received().contains("from=1 "));
}

const QByteArray kC = "data: {\"choices\":[{\"text\":\"c\"}]}\n\n";

INSTANTIATE_TEST_SUITE_P(
    Events, BackendStreamResumeTest,
    testing::Values(
        ResumeCase{"AsAsked",
                   kA + kB + kC + kDone,
                   {"x", "a", "b", "c"},
                   ClientEvent::kCompleted},
        ResumeCase{"NothingMore",
                   kA + kB + kDone,
                   {"x", "a", "b"},
                   ClientEvent::kCompleted},
        ResumeCase{"OneTooEarly",
                   kB + kA + kB + kC + kDone,
                   {"x", "a", "b"},
                   ClientEvent::kBroken},
        ResumeCase{"OneTooLate",
                   kB + kC + kDone,
                   {"x", "a", "b"},
                   ClientEvent::kBroken},
        ResumeCase{
            "OnlyNewTokens", kC + kDone, {"x", "a", "b"}, ClientEvent::kBroken},
        ResumeCase{"EndsAtOnce", kDone, {"x", "a", "b"}, ClientEvent::kBroken},
        ResumeCase{"EndsInTheRepeatedTokens",
                   kA + kDone,
                   {"x", "a", "b"},
                   ClientEvent::kBroken},
        ResumeCase{"BreaksInTheRepeatedTokens",
                   kA,
                   {"x", "a", "b"},
                   ClientEvent::kBroken}),
    [](const auto& row) { return row.param.name; });

struct CallCase {
  std::string name;
  QByteArray response;
  ClientEvent event;

  friend void PrintTo(const CallCase& row, std::ostream* out) {
    *out << row.name;
  }
};

class BackendCallTest : public BackendClientTest,
                        public testing::WithParamInterface<CallCase> {};

// A part of a response must not be delivered as a whole one.
TEST_P(BackendCallTest, IsCompleteOrBroken) {
  FixedServer server(GetParam().response, true);
  CreateClient(server.url());
  EXPECT_EQ(Call("door"), GetParam().event);
  if (GetParam().event == ClientEvent::kCompleted) {
    EXPECT_EQ(outcome_.body, "whole");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Responses, BackendCallTest,
    testing::Values(
        CallCase{"Chunks",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "5\r\nwhole\r\n0\r\n\r\n",
                 ClientEvent::kCompleted},
        CallCase{"ChunksWithoutTheLast",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "5\r\nwhole\r\n",
                 ClientEvent::kBroken},
        CallCase{"CutInAChunk",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "9\r\nwhole",
                 ClientEvent::kBroken},
        CallCase{"ErrorCutShort",
                 "HTTP/1.1 409 Conflict\r\nContent-Length: 100\r\n\r\npart",
                 ClientEvent::kBroken},
        CallCase{"HeadCutShort", "HTTP/1.1 200 OK\r\nContent-Le",
                 ClientEvent::kBroken},
        CallCase{"EndsWithItsConnection", "HTTP/1.1 200 OK\r\n\r\nwhole",
                 ClientEvent::kCompleted}),
    [](const auto& row) { return row.param.name; });

// Guards against a response whose head the server broke off, delivered as a
// success with an empty or short body.
// Guards against a generation that goes on at its engine, which refused the
// call that cancels it, or lost the response.
TEST_F(BackendClientTest, ACancelWithoutAConfirmationIsRepeated) {
  for (const QByteArray& response :
       {QByteArray("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        QByteArray()}) {
    FixedServer server(response, true);
    CreateClient(server.url());
    client_->CancelGeneration(1, "g-1");
    EXPECT_TRUE(WaitUntil([&] { return server.requests() >= 2; }, seconds(20)));
  }
}

TEST_F(BackendClientTest, AHeadThatIsBrokenOffIsABrokenCall) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
      "Content-Length: 6\r\n\r\n";
  for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
    for (std::size_t size = 1; size < head.size(); ++size) {
      last_event_ = ClientEvent::kNone;
      FixedServer server(ToBytes(before + head.substr(0, size)),
                         /*close_after=*/true);
      CreateClient(server.url());
      execution::WorkItem work = execution::Call();
      work.method = "POST";
      work.path = "/release";
      client_->StartCall(1, "s", work);
      WaitUntil([this] { return last_event_ != ClientEvent::kNone; },
                seconds(20));
      EXPECT_EQ(last_event_, ClientEvent::kBroken)
          << size << " bytes after \"" << before << '"';
    }
  }
}

TEST_F(BackendClientTest, AResponseWithTrailersIsComplete) {
  FixedServer server(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
      "4\r\nopen\r\n0\r\nX-Sum: 1\r\n\r\n",
      true);
  CreateClient(server.url());
  EXPECT_EQ(Call("door"), ClientEvent::kCompleted);
  EXPECT_EQ(outcome_.body, "open");
}

TEST_F(BackendClientTest, ACallSendsItsBodyAndFieldsOnce) {
  FixedServer server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true);
  CreateClient(server.url());
  EXPECT_EQ(Call(std::string(5000, 'd')), ClientEvent::kCompleted);
  const QByteArray& received = server.received();
  EXPECT_TRUE(received.startsWith("POST /release HTTP/1.1\r\n"));
  EXPECT_TRUE(received.contains("Content-Length: 5000\r\n"));
  EXPECT_TRUE(received.contains("X-Stream-Id: s\r\n"));
  EXPECT_FALSE(received.contains("Expect:"));
  EXPECT_EQ(received.count(" HTTP/1.1\r\n"), 1);
}

// A response without a length that is reset is not known to be complete.
TEST_F(BackendClientTest, AResponseWithoutLengthThatIsResetIsABrokenCall) {
  processes::ScriptedEngine server([](const processes::ScriptedRequest&) {
    return processes::ScriptedResponse{
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart",
        processes::ConnectionEnd::kReset};
  });
  CreateClient(QUrl(QString("http://127.0.0.1:%1").arg(server.port())));
  execution::WorkItem work = execution::Call();
  work.method = "POST";
  work.path = "/v1/release";
  client_->StartCall(1, "s", work);
  EXPECT_EQ(Wait(), ClientEvent::kBroken);
  EXPECT_EQ(server.started(), 1);
}

}  // namespace
}  // namespace balsam::backend
