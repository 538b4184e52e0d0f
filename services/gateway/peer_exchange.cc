// Digests in datagrams; changes and lists over HTTP.
#include "services/gateway/peer_exchange.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <algorithm>
#include <charconv>
#include <utility>
#include <variant>

#include "libraries/base/log_event.h"
#include "libraries/gossip/change_set.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// Between two rounds of digests; in each, one peer is asked whether it lives.
constexpr milliseconds kDigestInterval{100};
// Of all digests but urgent ones, which are rare. With what loads take
// (LoadExchange) within the bound on a node's control traffic
// (docs/CAPACITY.md).
constexpr double kDigestBytesPerSecond = 3000.0;
// Fingerprints of requests that crashed servers in one digest; all have their
// turn within a few.
constexpr std::size_t kToldCrashes = 4;
// For how long after it was last heard the others are told that a server
// leaves.
constexpr milliseconds kLeavingTold{1000};
// A peer answers a pull within this time, or another one is asked.
constexpr milliseconds kPullTime{1000};
// Time for the connection of a pull: gateways are milliseconds apart, and one
// that does not answer is left for another.
constexpr milliseconds kPullConnectTime{200};
// Gateways that are told at once of news, and tell as many: five steps reach
// hundreds, and a digest in turn the few that were missed.
constexpr std::size_t kNewsReaders = 4;
constexpr std::string_view kChangesTarget = "/changes?after=";
constexpr std::string_view kListTarget = "/gateways";
// By which gateways are ranked to watch the store.
constexpr std::string_view kWatcherRank = "store";

QHostAddress Address(const std::string& ip) {
  return QHostAddress(QString::fromStdString(ip));
}

}  // namespace

PeerExchange::PeerExchange(Identity identity, GatewayContext& context,
                           const revisions::RevisionedMap& replica,
                           std::uint64_t seed)
    : identity_(std::move(identity)),
      context_(context),
      replica_(replica),
      peers_(identity_.ip, {}, seed),
      server_([this](const http1::RequestHead& head, const std::string&) {
        return AnswerPull(head);
      }),
      digest_allowance_(kDigestBytesPerSecond),
      loads_(identity_.ip, context, peers_,
             [this](const std::string& ip, const std::string& bytes) {
               Send(ip, bytes);
             }),
      // Zero stands for a peer that was never heard.
      incarnation_(seed | 1) {
  connect(&socket_, &QUdpSocket::readyRead, this, &PeerExchange::OnDatagrams);
  connect(&digest_timer_, &QTimer::timeout, this, &PeerExchange::OnRound);
}

Result<void> PeerExchange::Start() {
  BOOST_LEAF_CHECK(server_.Listen(identity_.changes));
  if (!socket_.bind(Address(identity_.ip), identity_.gossip_port)) {
    return Fail(
        ResultCode::kInvalidSettings,
        "cannot bind the gossip port " + std::to_string(identity_.gossip_port));
  }
  digest_timer_.start(kDigestInterval);
  loads_.Start();
  return {};
}

void PeerExchange::SetSeeds(const std::vector<std::string>& ips) {
  peers_.SetSeeds(ips, BootClock::now());
}

void PeerExchange::TellLeaving(const std::string& server_id) {
  const bool is_news =
      told_leaving_.insert_or_assign(server_id, BootClock::now()).second;
  // Each tenth of a second counts for what runs there.
  if (is_news) SendDigest(peers_.AlivePeers(), false);
}

std::size_t PeerExchange::WatchersBefore() const {
  return peers_.CountStoreReachersRankedBefore(kWatcherRank);
}

std::size_t PeerExchange::GatewaysBefore() const {
  return peers_.CountPeersRankedBefore(kWatcherRank);
}

void PeerExchange::TellNews() {
  SendDigest(peers_.SelectAliveTargets(kNewsReaders), false);
}

void PeerExchange::SendDigest(const std::vector<std::string>& readers,
                              bool reply_requested) {
  if (readers.empty()) return;
  const BootTime now = BootClock::now();
  gossip::Digest digest = MakeDigest(readers.size(), now);
  digest.reply_requested = reply_requested;
  const std::string bytes = gossip::Encode(digest);
  digest_bytes_ = bytes.size();
  digest_allowance_.Consume(bytes.size() * readers.size(), now);
  for (const std::string& ip : readers) Send(ip, bytes);
}

void PeerExchange::OnRound() {
  const BootTime now = BootClock::now();
  std::erase_if(told_leaving_, [now](const auto& item) {
    return now - item.second > kLeavingTold;
  });
  peers_.SetReachesStore(reaches_store());
  for (const std::string& ip : peers_.TakeLostPeers(now)) {
    LogEvent("peer_lost", LogEvent::Level::kWarning)
        .With("peer", ip)
        .With("alive", peers_.AlivePeers().size());
    loads_.Forget(ip);
  }
  loads_.OnRound();
  SendDigest(peers_.SelectProbeTargets(now), true);
  const std::size_t most = digest_allowance_.SendableMessages(
      std::max<std::size_t>(digest_bytes_, 1), now);
  SendDigest(peers_.SelectDigestTargets(most), false);
  if (const auto source = peers_.TakeListSource(now)) PullList(*source);
  CountGateways();
}

void PeerExchange::Send(const std::string& ip, const std::string& bytes) {
  socket_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                        Address(ip), identity_.gossip_port);
}

gossip::Digest PeerExchange::MakeDigest(std::size_t readers, BootTime now) {
  gossip::Digest digest;
  digest.incarnation = incarnation_;
  digest.sequence = ++sequence_;
  digest.revision = replica_.revision();
  digest.reaches_store = peers_.own_reaches_store();
  digest.state_version = peers_.own_version();
  digest.peer_updates = peers_.TakeUpdates(readers);
  for (const auto& [server_id, heard] : told_leaving_) {
    digest.leaving_servers.push_back(server_id);
  }
  const std::size_t known = context_.own_crashes.size();
  for (std::size_t i = 0; i < std::min(known, kToldCrashes); ++i) {
    const std::uint64_t fingerprint =
        context_.own_crashes[(sequence_ * kToldCrashes + i) % known];
    const std::int64_t crashes =
        context_.suspicions.CrashesOf(fingerprint, now);
    if (crashes > 0) digest.crashes[fingerprint] = crashes;
  }
  return digest;
}

void PeerExchange::CountGateways() {
  const std::size_t gateways = peers_.AlivePeers().size() + 1;
  if (std::exchange(context_.gateways, gateways) == gateways) return;
  for (auto& [service, budget] : context_.retry_budgets) {
    budget.SetEntryCount(gateways);
  }
}

void PeerExchange::OnDatagrams() {
  while (socket_.hasPendingDatagrams()) {
    const QNetworkDatagram datagram = socket_.receiveDatagram();
    const QByteArray bytes = datagram.data();
    TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(
              message, gossip::Decode({bytes.data(), static_cast<std::size_t>(
                                                         bytes.size())}));
          const std::string sender =
              datagram.senderAddress().toString().toStdString();
          std::visit([&](const auto& body) { OnMessage(body, sender); },
                     message);
          return true;
        },
        [](const Error& error) {
          LogEvent("datagram_refused", LogEvent::Level::kWarning)
              .With("reason", error.detail);
          return false;
        });
  }
}

void PeerExchange::OnMessage(const gossip::Digest& digest,
                             const std::string& sender) {
  const BootTime now = BootClock::now();
  const auto peer_updates = peers_.OnDigest(sender, digest, now);
  if (peer_updates != gossip::PeerTable::PeerEvent::kNone) {
    LogEvent("peer_heard")
        .With("peer", sender)
        .With("incarnation", digest.incarnation);
  }
  // Nothing that it ran before is known to run any more, and it lost what it
  // was told.
  if (peer_updates == gossip::PeerTable::PeerEvent::kRestarted)
    loads_.Forget(sender);
  for (const std::string& server_id : digest.leaving_servers) {
    on_leaving(server_id);
  }
  for (const auto& [fingerprint, crashes] : digest.crashes) {
    context_.suspicions.Learn(fingerprint, crashes, now);
  }
  if (digest.reply_requested) SendDigest({sender}, false);
  if (digest.revision > replica_.revision()) PullChanges(sender);
}

OutboundConnection* PeerExchange::Pull(
    const std::string& ip, const std::string& target,
    std::function<void(const std::string& body)> on_body,
    std::function<void()> on_end) {
  auto* connection = new OutboundConnection({ip, identity_.changes.port},
                                            {kPullConnectTime}, this);
  http1::RequestHead head;
  head.method = "GET";
  head.target = target;
  head.fields.Add("Host", identity_.changes.ToString());
  head.fields.Add("Connection", "close");
  connection->Call(
      http1::Serialize(head, {}), kPullTime,
      [connection, ip, on_body = std::move(on_body),
       on_end = std::move(on_end)](const OutboundConnection::Answer& answer) {
        connection->deleteLater();
        on_end();
        if (answer.end == OutboundConnection::End::kComplete) {
          on_body(answer.body);
          return;
        }
        LogEvent("pull_failed", LogEvent::Level::kWarning)
            .With("peer", ip)
            .With("end", OutboundConnection::NameOf(answer.end));
      });
  return connection;
}

template <typename Take>
void PeerExchange::TakeOrRefuse(const std::string& ip, std::string_view refused,
                                Take&& take) {
  TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(take());
        return true;
      },
      [&](const Error& error) {
        LogEvent(refused, LogEvent::Level::kWarning)
            .With("peer", ip)
            .With("reason", error.detail);
        return false;
      });
}

void PeerExchange::PullList(const std::string& ip) {
  if (list_pull_ != nullptr) return;
  list_pull_ = Pull(
      ip, std::string(kListTarget),
      [this, ip](const std::string& body) {
        TakeOrRefuse(ip, "list_refused", [&]() -> Result<void> {
          BOOST_LEAF_AUTO(list, gossip::DecodePeerList(body));
          peers_.OnPeerList(list, BootClock::now());
          return {};
        });
      },
      [this] { list_pull_ = nullptr; });
}

void PeerExchange::PullChanges(const std::string& ip) {
  if (changes_pull_ != nullptr) return;
  changes_pull_ = Pull(
      ip, std::string(kChangesTarget) + std::to_string(replica_.revision()),
      [this, ip](const std::string& body) {
        TakeOrRefuse(ip, "changes_refused", [&]() -> Result<void> {
          BOOST_LEAF_AUTO(set, gossip::DecodeChangeSet(body));
          OnChanges(ip, set);
          return {};
        });
      },
      [this] { changes_pull_ = nullptr; });
}

void PeerExchange::OnChanges(const std::string& ip,
                             const gossip::ChangeSet& set) {
  LogEvent("changes_from_peer")
      .With("peer", ip)
      .With("changes", set.changes.size())
      .With("whole", set.is_snapshot ? 1 : 0)
      .With("revision", set.revision);
  if (set.is_snapshot) {
    on_snapshot(set.changes, set.revision);
  } else {
    on_changes(set.changes, set.revision);
  }
}

PlainAnswer PeerExchange::AnswerPull(const http1::RequestHead& head) const {
  if (head.target == kListTarget) {
    return {200, "application/cbor", gossip::Encode(peers_.PeerList())};
  }
  if (!head.target.starts_with(kChangesTarget)) return {404, "text/plain", {}};
  const std::string_view number =
      std::string_view(head.target).substr(kChangesTarget.size());
  std::uint64_t after = 0;
  const auto [end, error] =
      std::from_chars(number.data(), number.data() + number.size(), after);
  if (error != std::errc() || end != number.data() + number.size()) {
    return {400, "text/plain", {}};
  }
  gossip::ChangeSet set;
  set.revision = replica_.revision();
  set.is_snapshot = !replica_.HasCompleteHistoryAfter(after);
  set.changes =
      set.is_snapshot ? replica_.LiveEntries() : replica_.ChangesAfter(after);
  return {200, "application/cbor", gossip::Encode(set)};
}

}  // namespace balsam::gateway
