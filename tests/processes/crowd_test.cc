// Crowds of clients that hold a gateway's memory or descriptors, and servers
// that send without end. The process must live, stay within the limits of its
// machine, and answer an ordinary request in the meantime.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "tests/processes/gateway_process.h"

namespace balsam::processes {
namespace {

constexpr std::size_t kMemoryMegabytes = 48;
constexpr std::size_t kDescriptors = 1000;
constexpr std::size_t kFewDescriptors = 300;
// Of the machine's descriptors, these are for files.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kMaxHeadBytes = 16 << 10;
constexpr std::size_t kMaxBodyBytes = 1 << 20;
constexpr int kBodyClients = 64;
constexpr int kHeadClients = 240;
constexpr int kIdleClients = 240;
constexpr std::size_t kWhole = ~std::size_t{0};
constexpr std::size_t kPieceBytes = 1000;
constexpr std::size_t kLargeChunkBytes = 64 << 10;
// A crowd has stopped when no socket moves for this many polls.
constexpr int kQuietPolls = 20;
constexpr int kPollMs = 100;

std::string Chunked(std::size_t size, std::size_t chunk) {
  std::array<char, 20> length{};
  std::string out;
  for (std::size_t done = 0; done < size; done += chunk) {
    const std::size_t part = std::min(chunk, size - done);
    std::snprintf(length.data(), length.size(), "%zx\r\n", part);
    out += length.data();
    out.append(part, 'b');
    out += "\r\n";
  }
  return out + "0\r\n\r\n";
}

// Fills a head with short lines, odd ones among them, up to its legal size.
std::string FillWithLines(std::string head, std::size_t size) {
  for (int i = 0; head.size() + 8 < size; ++i) {
    head += i % 3 == 0 ? "a:\r\n" : i % 3 == 1 ? "~:\t\r\n" : "B: \r\n";
  }
  return head;
}

// Sends bytes on many connections, as far as the gateway takes them.
class Crowd {
 public:
  explicit Crowd(std::uint16_t port) : port_(port) {}
  ~Crowd() {
    for (const Client& client : clients_) ::close(client.descriptor);
  }
  Crowd(const Crowd&) = delete;

  void Add(std::string head, std::shared_ptr<const std::string> body) {
    const int descriptor = ConnectTo(port_);
    if (descriptor < 0) return;
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    clients_.push_back({descriptor, std::move(head), std::move(body)});
  }

  // Each client in turn sends up to `piece` bytes.
  void SendAll(std::size_t piece) {
    for (int quiet = 0; quiet < kQuietPolls;) {
      const auto moved = std::ranges::count_if(
          clients_, [&](Client& client) { return Move(client, piece); });
      if (std::ranges::all_of(clients_, [](const Client& client) {
            return client.is_closed || client.Left().empty();
          })) {
        return;
      }
      if (moved > 0) {
        quiet = 0;
        continue;
      }
      ::poll(nullptr, 0, kPollMs);
      ++quiet;
    }
  }

 private:
  struct Client {
    int descriptor;
    std::string head;
    std::shared_ptr<const std::string> body;
    std::size_t sent = 0;
    bool is_closed = false;

    std::string_view Left() const {
      if (sent < head.size()) return std::string_view(head).substr(sent);
      return std::string_view(*body).substr(sent - head.size());
    }
  };

  static bool Move(Client& client, std::size_t piece) {
    if (client.is_closed) return false;
    std::array<char, 4096> buffer;
    const ssize_t received =
        ::recv(client.descriptor, buffer.data(), buffer.size(), 0);
    client.is_closed = received == 0 || (received < 0 && errno != EAGAIN);
    const std::string_view left = client.Left().substr(0, piece);
    if (client.is_closed || left.empty()) return received > 0;
    const ssize_t sent =
        ::send(client.descriptor, left.data(), left.size(), MSG_NOSIGNAL);
    if (sent <= 0) return received > 0;
    client.sent += static_cast<std::size_t>(sent);
    return true;
  }

  std::uint16_t port_;
  std::vector<Client> clients_;
};

class CrowdProcessTest : public testing::Test {
 protected:
  void Begin(std::size_t descriptors = kDescriptors) {
    BeginWith({kMemoryMegabytes, descriptors, kMaxBodyBytes});
  }

  void BeginWith(const GatewayLimits& limits,
                 std::optional<ServerReply> held = std::nullopt) {
    gateway_ = std::make_unique<GatewayProcess>(limits, std::move(held));
    ASSERT_TRUE(gateway_->Start());
    idle_memory_ = gateway_->StatusKilobytes("VmRSS");
    crowd_ = std::make_unique<Crowd>(gateway_->client_port());
  }

  // All clients send `fields` and `body`, without its last `missing` bytes.
  void SendBodies(const std::string& fields, std::string body,
                  std::size_t missing, std::size_t piece) {
    body.resize(body.size() - missing);
    const auto shared = std::make_shared<const std::string>(std::move(body));
    for (int i = 0; i < kBodyClients; ++i) {
      crowd_->Add(GatewayProcess::HeadOf("c" + std::to_string(i), true) +
                      fields + "\r\n",
                  shared);
    }
    crowd_->SendAll(piece);
    ExpectHealthy(kDescriptors);
  }

  void SendWithLength(std::size_t missing, std::size_t piece) {
    SendBodies("Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n",
               std::string(kMaxBodyBytes, 'b'), missing, piece);
  }

  // `missing` counts the bytes of the last chunk as well.
  void SendChunked(std::size_t chunk, std::size_t missing) {
    SendBodies("Transfer-Encoding: chunked\r\n", Chunked(kMaxBodyBytes, chunk),
               missing, kWhole);
  }

  void SendHeads(std::string_view end) {
    const auto nothing = std::make_shared<const std::string>();
    for (int i = 0; i < kHeadClients; ++i) {
      crowd_->Add(
          FillWithLines(GatewayProcess::HeadOf("c" + std::to_string(i), true) +
                            "Content-Length: 2\r\n",
                        kMaxHeadBytes) +
              std::string(end),
          nothing);
    }
    crowd_->SendAll(kWhole);
    ExpectHealthy(kDescriptors);
  }

  void ExpectHealthy(std::size_t descriptors) {
    gateway_->Settle();
    EXPECT_EQ(gateway_->Request("small"), 200);
    gateway_->Settle();
    ASSERT_TRUE(gateway_->IsRunning());
    const std::size_t peak = gateway_->StatusKilobytes("VmHWM");
    const std::size_t sockets = gateway_->OpenSockets();
    std::printf("idle %zu KiB, peak %zu KiB, now %zu KiB, sockets %zu\n",
                idle_memory_, peak, gateway_->StatusKilobytes("VmRSS"),
                sockets);
    EXPECT_GT(peak, 0U);
    EXPECT_LE(peak, kMemoryMegabytes << 10);
    EXPECT_LE(sockets, descriptors - kFileDescriptors);
  }

  std::unique_ptr<GatewayProcess> gateway_;
  std::unique_ptr<Crowd> crowd_;
  std::size_t idle_memory_ = 0;
};

TEST_F(CrowdProcessTest, HeadsOfShortLinesWithoutTheirBody) {
  Begin();
  SendHeads("\r\n");
}

TEST_F(CrowdProcessTest, HeadsOfShortLinesWithoutTheirEnd) {
  Begin();
  SendHeads("");
}

TEST_F(CrowdProcessTest, HeadsOfShortLinesWhoseRequestsAreHeld) {
  Begin();
  SendHeads("\r\nbb");
}

TEST_F(CrowdProcessTest, WholeBodies) {
  Begin();
  SendWithLength(0, kWhole);
}

TEST_F(CrowdProcessTest, BodiesThatStopShort) {
  Begin();
  SendWithLength(1, kWhole);
}

TEST_F(CrowdProcessTest, BodiesPieceByPieceThatStopShort) {
  Begin();
  SendWithLength(1, kPieceBytes);
}

TEST_F(CrowdProcessTest, WholeBodiesInLargeChunks) {
  Begin();
  SendChunked(kLargeChunkBytes, 0);
}

TEST_F(CrowdProcessTest, LargeChunksThatStopShort) {
  Begin();
  SendChunked(kLargeChunkBytes, 5);
}

TEST_F(CrowdProcessTest, WholeBodiesInTinyChunks) {
  Begin();
  SendChunked(1, 0);
}

TEST_F(CrowdProcessTest, TinyChunksThatStopShort) {
  Begin();
  SendChunked(1, 5);
}

TEST_F(CrowdProcessTest, IdleConnections) {
  Begin(kFewDescriptors);
  const auto nothing = std::make_shared<const std::string>();
  for (int i = 0; i < kIdleClients; ++i) crowd_->Add("", nothing);
  ExpectHealthy(kFewDescriptors);
}

// Single requests inside the limits are served.
TEST_F(CrowdProcessTest, OneRequestOfTheLargestSizeIsServed) {
  Begin();
  const std::string lines = FillWithLines(
      "",
      kMaxHeadBytes - GatewayProcess::HeadOf("ordinary", false).size() - 64);
  EXPECT_EQ(gateway_->Request("small", lines), 200);
  EXPECT_EQ(gateway_->Request(std::string(kMaxBodyBytes, 'b')), 200);
  for (const std::size_t chunk : {kLargeChunkBytes, std::size_t{1}}) {
    EXPECT_EQ(gateway_->Request(Chunked(kMaxBodyBytes, chunk),
                                "Transfer-Encoding: chunked\r\n"),
              200);
  }
  ExpectHealthy(kDescriptors);
}

TEST_F(CrowdProcessTest, OneRequestOfTheDefaultLimitsIsServedBySmallMachine) {
  constexpr std::size_t kSmallMachineMegabytes = 88;
  constexpr std::size_t kDefaultMaxBodyBytes = 4 << 20;
  BeginWith({kSmallMachineMegabytes, kDescriptors, kDefaultMaxBodyBytes});
  EXPECT_EQ(gateway_->Request(std::string(kDefaultMaxBodyBytes, 'b')), 200);
  EXPECT_EQ(gateway_->Request(Chunked(kDefaultMaxBodyBytes, 1),
                              "Transfer-Encoding: chunked\r\n"),
            200);
  ASSERT_TRUE(gateway_->IsRunning());
  EXPECT_LE(gateway_->StatusKilobytes("VmHWM"), kSmallMachineMegabytes << 10);
}

struct EndlessCase {
  const char* name;
  ServerReply reply;

  friend void PrintTo(const EndlessCase& row, std::ostream* out) {
    *out << row.name;
  }
};

// Guards against a process that runs out of memory, and takes the requests of
// other clients with it: a faulty server answers each request and each call
// without end. The clients do not read.
class EndlessResponseProcessTest
    : public CrowdProcessTest,
      public testing::WithParamInterface<EndlessCase> {};

TEST_P(EndlessResponseProcessTest, OthersAreServed) {
  BeginWith({kMemoryMegabytes, kDescriptors, kMaxBodyBytes}, GetParam().reply);
  const auto nothing = std::make_shared<const std::string>();
  for (int i = 0; i < kBodyClients; ++i) {
    crowd_->Add(GatewayProcess::HeadOf("c" + std::to_string(i), true) +
                    "Content-Length: 2\r\n\r\nbb",
                nothing);
  }
  crowd_->SendAll(kWhole);
  ExpectHealthy(kDescriptors);
}

constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";
constexpr char kChunked[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
constexpr char kFailed[] = "HTTP/1.1 500 Failed\r\n\r\n";

// Fields that can be read as they arrive: each read of 16 KiB ends shortly
// behind the first byte of a line, wherever the head begins.
EndlessCase FieldsThatAreReadAsTheyArrive() {
  const std::string line = "a:" + std::string(28, 'b') + "\r\n";
  return {"Fields",
          {std::string(kOk) + "x: 123456\r\n" + line.substr(0, 1),
           line.substr(1) + line.substr(0, 1)}};
}

INSTANTIATE_TEST_SUITE_P(
    Bytes, EndlessResponseProcessTest,
    testing::Values(
        EndlessCase{"NotHttp", {"", "x"}}, FieldsThatAreReadAsTheyArrive(),
        EndlessCase{"ShortFields", {kOk, "a:\r\n"}},
        EndlessCase{"OneField", {std::string(kOk) + "A: ", "b"}},
        EndlessCase{
            "InterimResponses",
            {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"}},
        EndlessCase{"ChunkExtension",
                    {std::string(kChunked) + "\r\n1;a=", "b"}},
        EndlessCase{"Trailers",
                    {std::string(kChunked) + "\r\n0\r\n", "A: b\r\n"}},
        EndlessCase{"Body", {std::string(kOk) + "\r\n", "x"}},
        EndlessCase{"BodyInTinyChunks",
                    {std::string(kChunked) + "\r\n", "1\r\nx\r\n"}},
        EndlessCase{"BodyOfFailure", {kFailed, "x"}}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace balsam::processes
