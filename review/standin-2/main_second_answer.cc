// Case: a second answer behind a long one without length or chunks reaches the
// client as a part of its body.
//
// Servers write one more answer behind 3 in 100 of theirs (`garble`, `extra`).
// All answers have neither a length nor chunks and are of 140 KB. With
// TROUBLE=0 there are no second answers.
#include "net.h"
#include "platform.h"

namespace review {
namespace {

constexpr int kServers = 3;
// The share .6 of `garble`, and its x.
constexpr int kFaultyServers = 2;
constexpr int kOneIn = 34;
constexpr int kRequests = 900;
constexpr std::size_t kAnswerBytes = 140'000;

const char kConfiguration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"search-hit\",\"host\":"
    "\"towns.example\",\"prefix\":\"/search/\",\"kind\":\"readonly\","
    "\"timeoutMs\":2500,\"goalMs\":150,\"priority\":2,\"service\":\"web\","
    "\"attempts\":2,\"public\":false}],\"services\":[{\"name\":\"web\","
    "\"healthPath\":\"/health\",\"maxConns\":110}],\"limits\":{"
    "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
    "\"name\":\"town\",\"apiKeys\":[\"key-1\"]}]}";

std::string AnswerTo(const std::string& id) {
  std::string body;
  while (body.size() < kAnswerBytes) body += "parcel of " + id + "\n";
  return body;
}

std::string Unframed(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal-" +
         id + "\r\nConnection: close\r\n\r\n" + AnswerTo(id);
}

class WebServer {
 public:
  WebServer(std::string id, bool is_faulty)
      : id_(std::move(id)),
        is_faulty_(is_faulty),
        server_("127.0.0.1",
                [this](Connection& connection) { Serve(connection); }) {}
  std::string Entry() const {
    return "{\"service\":\"web\",\"addr\":\"" + server_.address().ToString() +
           "\",\"zone\":\"hall-tywi\",\"version\":\"v1\",\"slots\":6,"
           "\"state\":\"ready\",\"coldLeftMs\":0,\"born\":1700000000000,"
           "\"seq\":1}";
  }
  const std::string& id() const { return id_; }

 private:
  void Serve(Connection& connection) {
    const auto head = connection.ReadHead(NowMs() + 15'000);
    if (!head.has_value()) return;
    if (!head->Has("Request-Id")) {
      connection.Write(Response(200, "OK", "Instance-Id: " + id_ + "\r\n", ""));
      return;
    }
    const std::string id = head->Get("Request-Id");
    record.Line("server " + id_ + " runs " + id);
    SleepMs(15);
    const int number = ++answers_;
    std::string earlier;
    {
      const std::scoped_lock lock(mutex_);
      earlier = std::exchange(last_id_, id);
    }
    std::string bytes = Unframed(id);
    if (is_faulty_ && number % kOneIn == 0 && !earlier.empty()) {
      bytes += Unframed(earlier);
      record.Line("server " + id_ + " writes the answer to " + earlier +
                  " behind that to " + id);
    }
    connection.Write(bytes);
  }

  std::string id_;
  bool is_faulty_;
  std::atomic<int> answers_{0};
  std::mutex mutex_;
  std::string last_id_;
  Server server_;
};

// Returns 0 if the client got the whole answer, 1 if it got something else as a
// success, 2 if it got no success.
int Ask(const Address& gateway, const std::string& id) {
  const double until = NowMs() + 2500;
  const int descriptor = ConnectTo(gateway);
  if (descriptor < 0) return 2;
  Connection connection(descriptor);
  connection.Write(
      "GET /search/a HTTP/1.1\r\nHost: towns.example\r\n"
      "Request-Id: " +
      id + "\r\nDeadline-Ms: 2500\r\nCredential: key-1\r\n\r\n");
  const auto head = connection.ReadHead(until);
  if (!head.has_value() || head->status() != 200) return 2;
  std::string body;
  bool complete = false;
  if (Lower(head->Get("Transfer-Encoding")) == "chunked") {
    while (const auto line = connection.ReadLine(until)) {
      const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
      const auto chunk = connection.ReadExactly(size + 2, until);
      complete = size == 0;
      if (complete || !chunk.has_value()) break;
      body += chunk->substr(0, size);
    }
  } else {
    const auto whole = connection.ReadExactly(
        std::strtoul(head->Get("Content-Length").c_str(), nullptr, 10), until);
    complete = whole.has_value();
    body = whole.value_or("");
  }
  if (!complete) return 2;
  const bool is_own = body == AnswerTo(id);
  if (!is_own) {
    record.Line("client " + id + ": status 200, " +
                std::to_string(body.size()) + " bytes, complete, holds " +
                (body.find("HTTP/1.1 200 OK") == std::string::npos
                     ? "other bytes"
                     : "another answer") +
                "  <-- MIXED");
  }
  return is_own ? 0 : 1;
}

}  // namespace

int Run(int argc, char** argv) {
  if (argc != 4) return 2;
  const std::string root = argv[1];
  const std::string folder = argv[2];
  record.Open(argv[3]);
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble =
      trouble_text == nullptr || std::string(trouble_text) != "0";

  Store store("127.0.0.1");
  std::vector<std::unique_ptr<WebServer>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<WebServer>(
        "w-" + std::to_string(i), trouble && i < kFaultyServers));
    store.Put("servers/" + servers.back()->id(), servers.back()->Entry());
  }
  store.Put("op/config", kConfiguration);
  const std::vector<std::string> ips = {"127.0.0.11", "127.0.0.12"};
  const int port = FreePort(ips[0]);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const std::string& ip : ips) {
    gateways.push_back(std::make_unique<Gateway>(root, folder, ip, port,
                                                 store.address(), ips));
    if (!gateways.back()->Start()) return 2;
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitUntilReady(15'000)) return 2;
  }
  SleepMs(3000);

  std::atomic<int> results[3] = {};
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0x1000 + i);
      record.Line("client " + std::string(id) + " sends");
      const int result =
          Ask(gateways[static_cast<std::size_t>(i) % 2]->clients(), id);
      ++results[result];
      record.Line("client " + std::string(id) +
                  (result == 0   ? " has its whole answer"
                   : result == 1 ? " has a success that is not its answer"
                                 : " has no success"));
    });
    SleepMs(40);
  }
  for (std::thread& client : clients) client.join();
  gateways.clear();
  const std::string sum = "whole " + std::to_string(results[0]) +
                          ", no success " + std::to_string(results[2]) +
                          ", a success with another answer in its body " +
                          std::to_string(results[1]);
  record.Line(sum);
  std::printf("%s\n", sum.c_str());
  std::fflush(stdout);
  std::_Exit(results[1] > 0 ? 1 : 0);
}

}  // namespace review

int main(int argc, char** argv) { return review::Run(argc, argv); }
