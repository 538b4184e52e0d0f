// A complete gateway that reads and watches a scripted store in which another
// writer left odd entries among sound ones (issue 30): machines that read such
// a list ended again and again, or did not follow it any more.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <QByteArray>
#include <QTcpSocket>
#include <deque>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store_client.h"
#include "services/gateway/simple_http_server.h"
#include "tests/services/gateway/gateway_node_fixture.h"

namespace balsam::gateway {
namespace {

using revisions::RevisionedEntry;
using std::chrono::milliseconds;

constexpr std::size_t kLargestValue = 1 << 20;

// The greatest size that this process had in memory.
std::size_t PeakBytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<std::size_t>(usage.ru_maxrss) << 10;
}

std::string ItemOf(const RevisionedEntry& entry) {
  const nlohmann::json key = entry.key;
  std::string item =
      R"({"key":)" + key.dump() + R"(,"rev":)" + std::to_string(entry.revision);
  if (!entry.value.has_value()) return item + R"(,"deleted":true})";
  return item + R"(,"created":1,"lease":0,"value":")" +
         QByteArray::fromStdString(*entry.value).toBase64().toStdString() +
         "\"}";
}

class OddEntryFixture : public GatewayNodeTest {
 protected:
  OddEntryFixture()
      : store_([this](const http1::RequestHead&, const std::string&) {
          if (responses_.empty()) return HttpResponse{503, "text/plain", {}};
          HttpResponse response = responses_.front();
          responses_.pop_front();
          return response;
        }) {}

  void SetUp() override {
    GatewayNodeTest::SetUp();
    ASSERT_TRUE(RetryWithOtherPorts([this] {
      const directory::Endpoint endpoint{"127.0.0.1", FreePort()};
      platform::StoreClient::Limits limits;
      limits.min_retry_delay = milliseconds(1);
      limits.max_retry_delay = milliseconds(2);
      client_ = std::make_unique<platform::StoreClient>(endpoint, limits);
      return TryOr(
          [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(store_.Listen(endpoint));
            return true;
          },
          [](const Error&) { return false; });
    }));
    client_->on_changes = [this](const auto& changes, std::uint64_t revision) {
      node_->OnStoreChanges(changes, revision);
    };
    client_->on_snapshot = [this](const auto& entries, std::uint64_t revision) {
      node_->OnStoreSnapshot(entries, revision);
    };
  }

  // The store responds once with these entries, to a read or to a watch.
  void Respond(const char* list, const std::vector<RevisionedEntry>& entries) {
    std::string body = std::string(R"({"truncated":false,"storeRevision":)") +
                       std::to_string(revision_) + R"(,")" + list + R"(":[)";
    for (const RevisionedEntry& entry : entries) {
      if (&entry != entries.data()) body += ',';
      body += ItemOf(entry);
    }
    responses_.push_back({200, "application/json", body + "]}"});
  }
  // Runs until the gateway has everything that the store has responded.
  void RunUntilFollowed() {
    ASSERT_TRUE(
        RunUntil([this] { return node_->known_revision() == revision_; }));
  }

  RevisionedEntry OddEntry(const std::string& key, const std::string& value) {
    return {key, ++revision_, value};
  }
  // The same engine is about to leave.
  RevisionedEntry Draining(RevisionedEntry entry) {
    nlohmann::json fields = nlohmann::json::parse(*entry.value);
    fields["state"] = "draining";
    return {entry.key, ++revision_, fields.dump()};
  }

  SimpleHttpServer store_;
  std::deque<HttpResponse> responses_;
  std::unique_ptr<platform::StoreClient> client_;
};

struct OddCase {
  const char* name;
  std::string value;
  // Replaces the key of an engine's entry if it is not empty.
  std::string key;
};

void PrintTo(const OddCase& value, std::ostream* out) { *out << value.name; }

// Stands for the port of the engine that an odd entry names.
constexpr std::string_view kPort = "PORT";

std::string EngineWith(const std::string& members) {
  return R"({"service":"s","addr":"127.0.0.1:PORT","zone":"z","slots":8,)"
         R"("state":"ready",)" +
         members + "}";
}

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

class OddEntryTest : public OddEntryFixture,
                     public testing::WithParamInterface<OddCase> {
 protected:
  // The parameter's value, with the port of an engine that is to get nothing.
  std::string Value() {
    std::string value = GetParam().value;
    const std::size_t at = value.find(kPort);
    if (at == std::string::npos) return value;
    return value.replace(at, kPort.size(), std::to_string(odd_.port()));
  }
  RevisionedEntry Odd() {
    const std::string& key = GetParam().key;
    return OddEntry(key.empty() ? "servers/i-odd" : key, Value());
  }
  // Requests are sent to this engine and to no other.
  void ExpectServedBy(ScriptedEngine& engine) {
    const std::size_t before = Requests(engine);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(RequestStatus(), 200);
    EXPECT_EQ(Requests(engine), before + 3);
    EXPECT_TRUE(odd_.heads.empty());
  }

  ScriptedEngine odd_;
};

TEST_P(OddEntryTest, OthersServeAndAreFollowed) {
  const std::size_t peak = PeakBytes();
  const RevisionedEntry first = EntryOf(0, first_, 1);
  Respond("items", {Odd(), ConfigurationEntry(1, true), first});
  client_->Start();
  RunUntilFollowed();
  ExpectServedBy(first_);
  // The odd entry changes, and in the same response one engine replaces the
  // other.
  Respond("events", {Odd(), Draining(first), EntryOf(1, second_, 1), Odd()});
  RunUntilFollowed();
  ExpectServedBy(second_);
  if (GetParam().key.empty()) {
    // The entry of the engine itself becomes odd.
    Respond("events", {OddEntry("servers/i-1", Value())});
    RunUntilFollowed();
    EXPECT_EQ(RequestStatus(), 503);
  }
  // Later changes are followed.
  Respond("events", {EntryOf(1, second_, 2), Odd()});
  RunUntilFollowed();
  ExpectServedBy(second_);
  // A machine has 88 MB.
  EXPECT_LT(PeakBytes() - peak, std::size_t{32} << 20);
}

INSTANTIATE_TEST_SUITE_P(
    Entries, OddEntryTest,
    testing::Values(
        OddCase{"Empty", "", ""}, OddCase{"Null", "null", ""},
        OddCase{"NotJson", "\xff\xfe", ""},
        OddCase{"NestedArrays", EngineWith(R"("x":)" + Nested(100'000)), ""},
        OddCase{"LargestNesting", std::string(kLargestValue, '['), ""},
        OddCase{"LargestNestedArrays", Nested(kLargestValue / 2), ""},
        OddCase{"LargestNestedObjects",
                [] {
                  std::string text;
                  while (text.size() + 5 <= kLargestValue) text += R"({"a":)";
                  return text;
                }(),
                ""},
        OddCase{"HugeSlots", EngineWith(R"("slots":1e300)"), ""},
        OddCase{"OverflowingSlots", EngineWith(R"("slots":1e400)"), ""},
        OddCase{"SlotsBeyond64Bits",
                EngineWith(R"("slots":99999999999999999999)"), ""},
        OddCase{"MostSlots", EngineWith(R"("slots":2147483647)"), ""},
        OddCase{"NegativeSlots", EngineWith(R"("slots":-1)"), ""},
        OddCase{"PortBeyondRange", EngineWith(R"("addr":"127.0.0.1:65536")"),
                ""},
        OddCase{"PortFarBeyondRange", EngineWith(R"("addr":"127.0.0.1:99999")"),
                ""},
        OddCase{"PortZero", EngineWith(R"("addr":"127.0.0.1:0")"), ""},
        OddCase{"NegativePort", EngineWith(R"("addr":"127.0.0.1:-1")"), ""},
        OddCase{"OwnAddress", EngineWith(R"("addr":"0.0.0.0:PORT")"), ""},
        OddCase{"LargestState",
                EngineWith(R"("state":")" +
                           std::string(kLargestValue - 200, 'x') + '"'),
                ""}),
    [](const auto& info) { return std::string(info.param.name); });

// Entries that are sound apart from the key.
INSTANTIATE_TEST_SUITE_P(
    Keys, OddEntryTest,
    testing::Values(OddCase{"EmptyId", EngineWith(R"("seq":1e300)"),
                            "servers/"},
                    OddCase{"IdWithLineEnd", EngineWith(R"("seq":-1)"),
                            "servers/i\r\nTenant: w"}),
    [](const auto& info) { return std::string(info.param.name); });

// A configuration that cannot be read leaves the one before in force, and does
// not keep later ones from taking its place: with a negative version, it did.
TEST_F(OddEntryFixture, OddConfigurationChangesNothing) {
  const std::vector<std::string> odd_texts = {
      "",
      "null",
      "\xff\xfe",
      std::string(kLargestValue, '['),
      Nested(kLargestValue / 2),
      R"({"version":1e400,"routes":[],"services":[]})",
      R"({"version":99999999999999999999,"routes":[],"services":[]})",
      R"({"version":2,"routes":)" + Nested(100) + R"(,"services":[]})",
      R"({"version":2,"routes":[],"services":[null]})",
      R"({"version":-1,"routes":[],"services":[]})"};
  // The first read has one, too.
  Respond("items",
          {OddEntry("op/config", odd_texts[3]), EntryOf(0, first_, 1)});
  client_->Start();
  RunUntilFollowed();
  EXPECT_EQ(RequestStatus(), 503);
  Respond("events", {ConfigurationEntry(1, true)});
  RunUntilFollowed();
  for (const std::string& text : odd_texts) {
    Respond("events", {OddEntry("op/config", text)});
    RunUntilFollowed();
    EXPECT_EQ(RequestStatus(), 200) << text.substr(0, 80);
  }
  Respond("events", {ConfigurationEntry(2, false)});
  RunUntilFollowed();
  EXPECT_EQ(RequestStatus(), 401);
}

// Each gateway that lacks a change is sent the texts of all entries that are
// new to it: one of 1 MiB takes most of the time that it waits for them on a
// link of 10 Mbit/s, and several exceed the largest response, so that it would
// never learn of the others.
TEST_F(OddEntryFixture, PeersAreNotSentTextsOfNoUse) {
  const std::string text(kLargestValue, '[');
  std::vector<RevisionedEntry> entries = {ConfigurationEntry(1, true),
                                          EntryOf(0, first_, 1)};
  for (int i = 0; i < 9; ++i) {
    entries.push_back(OddEntry("servers/i-odd-" + std::to_string(i), text));
    entries.push_back(OddEntry("elsewhere/" + std::to_string(i), text));
  }
  node_->OnStoreSnapshot(entries, revision_);
  QTcpSocket peer;
  peer.connectToHost("127.0.0.1", peer_port_);
  peer.write(
      "GET /changes?after=0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  std::string response;
  EXPECT_TRUE(RunUntil([&] {
    response += peer.readAll().toStdString();
    return peer.state() == QAbstractSocket::UnconnectedState;
  }));
  EXPECT_NE(response.find("servers/i-0"), std::string::npos);
  EXPECT_LT(response.size(), std::size_t{8} << 10);
  EXPECT_EQ(RequestStatus(), 200);
}

}  // namespace
}  // namespace balsam::gateway
