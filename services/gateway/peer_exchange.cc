// Digests as datagrams; changes and peer lists over HTTP.
#include "services/gateway/peer_exchange.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <algorithm>
#include <charconv>
#include <utility>
#include <variant>

#include "libraries/base/log_event.h"
#include "libraries/gossip/change_set.h"
#include "libraries/revisions/revision.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// Interval between gossip rounds; each requests a digest from the next peer of
// the ring and from those with a pending probe.
constexpr milliseconds kDigestInterval{100};
// Limit for all digests except urgent ones, which are rare. Together with the
// load messages (LoadExchange) they stay within the limit on a node's control
// traffic (docs/CAPACITY.md).
constexpr double kDigestBytesPerSecond = 3000.0;
// Crash evidence that is learned within this time is sent together.
constexpr milliseconds kEvidenceDelay{5};
// A leaving server is announced to the other gateways until this much time has
// passed since its last report.
constexpr milliseconds kLeavingAnnounceTime{1000};
// A peer that does not begin to respond within this time is given up for
// another one.
constexpr milliseconds kFetchTimeout{1000};
// What follows may take as long as it makes progress.
constexpr net::ProgressLimit::Limits kFetchProgress{milliseconds(1000),
                                                    32 << 10};
// Part of the link that texts for peers may take; the rest is the clients'.
constexpr double kTextShareOfLink = 0.5;
// Connect timeout of a fetch: gateways are milliseconds apart, and another peer
// is used instead of one that does not respond.
constexpr milliseconds kFetchConnectTimeout{200};
// Number of gateways that news are announced to, each of which announces them
// to as many. Five steps reach hundreds of gateways, and the periodic digests
// reach the few that were missed.
constexpr std::size_t kAnnounceFanout = 4;
// Statements about limits in one digest.
constexpr std::size_t kMaxStatements = 8;
constexpr std::string_view kChangesTarget = "/changes?after=";
constexpr std::string_view kListTarget = "/gateways";
// A field of a request for changes: the receiver fetches long texts by itself.
// Gateways of earlier versions do not send it and get whole texts.
constexpr char kLongTexts[] = "Long-Texts";
constexpr char kByReference[] = "reference";
// Key by which gateways are ranked for watching the store.
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
        return ServeFetch(head);
      }),
      digest_rate_limiter_(kDigestBytesPerSecond),
      loads_(identity_.ip, context, peers_,
             [this](const std::string& ip, const std::string& bytes) {
               Send(ip, bytes);
             }),
      permits_(identity_.ip, context, loads_,
               [this](const std::string& ip, const std::string& bytes) {
                 digest_rate_limiter_.Consume(bytes.size(), BootClock::now());
                 Send(ip, bytes);
               }),
      texts_(identity_.changes.port,
             {.sent_bytes_per_second =
                  kTextShareOfLink * identity_.link_bytes_per_second},
             replica),
      // Zero denotes a peer from which no digest has been received.
      incarnation_(seed | 1) {
  texts_.sources = [this](std::uint64_t revision) {
    std::vector<std::string> peers = PeersWith(revision);
    std::ranges::shuffle(peers, context_.random);
    return peers;
  };
  texts_.on_text = [this](revisions::RevisionedEntry entry) {
    const std::string key = entry.key;
    std::vector<revisions::RevisionedEntry> changes;
    changes.push_back(std::move(entry));
    on_changes(std::move(changes), 0);
    OnText(key);
    ApplyWaitingSet();
  };
  connect(&socket_, &QUdpSocket::readyRead, this, &PeerExchange::OnDatagrams);
  connect(&digest_timer_, &QTimer::timeout, this, &PeerExchange::OnGossipRound);
  evidence_timer_.setSingleShot(true);
  connect(&evidence_timer_, &QTimer::timeout, this, [this] {
    const BootTime announced_before =
        std::exchange(evidence_announced_at_, BootClock::now());
    SendDigest(peers_.SelectAliveTargets(kAnnounceFanout), false,
               announced_before);
  });
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

void PeerExchange::AnnounceLeaving(const gossip::LeavingServer& server) {
  const bool is_new =
      announced_leaving_
          .insert_or_assign(server.id,
                            LeavingAnnouncement{server, BootClock::now()})
          .second;
  // Every tenth of a second counts for the generations that run there.
  if (is_new) SendDigest(peers_.AlivePeers(), false);
}

std::size_t PeerExchange::HigherRankedWatchers() const {
  return peers_.CountStoreReachersRankedBefore(kWatcherRank);
}

std::size_t PeerExchange::HigherRankedGateways() const {
  return peers_.CountPeersRankedBefore(kWatcherRank);
}

void PeerExchange::OnText(const std::string& key) {
  texts_.Keep(key);
  DropKnownTexts();
  // If there is a still newer one, texts change often, but do arrive.
  const auto newer = newer_texts_.find(key);
  if (newer != newer_texts_.end()) newer->second = BootClock::now();
}

void PeerExchange::DropKnownTexts() {
  texts_.DropKnown();
  std::erase_if(newer_texts_, [this](const auto& item) {
    return !texts_.IsFetching(item.first);
  });
}

milliseconds PeerExchange::Lag(BootTime now) const {
  if (replica_.revision() >= lacking_revision_) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(now - lacking_since_);
}

bool PeerExchange::MostPeersAreAhead() const {
  const std::size_t gateways = peers_.AlivePeers().size() + 1;
  return replica_.revision() < lacking_revision_ &&
         2 * PeersWith(lacking_revision_).size() >= gateways;
}

std::vector<std::string> PeerExchange::PeersWith(std::uint64_t revision) const {
  std::vector<std::string> peers;
  for (const auto& [ip, announced] : peer_revisions_) {
    if (announced >= revision && peers_.IsAlive(ip)) peers.push_back(ip);
  }
  return peers;
}

void PeerExchange::OnNewerRevision(std::uint64_t revision) {
  if (replica_.revision() < lacking_revision_) return;
  lacking_revision_ = revision;
  lacking_since_ = BootClock::now();
}

void PeerExchange::AnnounceRevision() {
  DropKnownTexts();
  ApplyWaitingSet();
  SendDigest(peers_.SelectAliveTargets(kAnnounceFanout), false);
}

void PeerExchange::AnnounceEvidence() {
  if (!evidence_timer_.isActive()) evidence_timer_.start(kEvidenceDelay);
}

void PeerExchange::SendDigest(const std::vector<std::string>& recipients,
                              bool reply_requested,
                              std::optional<BootTime> evidence_since) {
  if (recipients.empty()) return;
  const BootTime now = BootClock::now();
  gossip::Digest digest = MakeDigest(recipients.size());
  digest.evidence =
      context_.crash_ledger.Share(now, evidence_since.value_or(now));
  digest.reply_requested = reply_requested;
  const std::string bytes = gossip::Encode(digest);
  last_digest_bytes_ = bytes.size();
  digest_rate_limiter_.Consume(bytes.size() * recipients.size(), now);
  for (const std::string& ip : recipients) Send(ip, bytes);
}

void PeerExchange::OnGossipRound() {
  const BootTime now = BootClock::now();
  std::erase_if(announced_leaving_, [now](const auto& item) {
    return now - item.second.said_at > kLeavingAnnounceTime;
  });
  peers_.SetReachesStore(reaches_store());
  for (const std::string& ip : peers_.TakeLostPeers(now)) {
    LogEvent("peer_lost", LogEvent::Level::kWarning)
        .With("peer", ip)
        .With("alive", peers_.AlivePeers().size());
    loads_.ForgetPeer(ip);
    peer_revisions_.erase(ip);
  }
  loads_.OnGossipRound();
  permits_.OnGossipRound();
  SendDigest(peers_.SelectProbeTargets(now), true);
  const std::size_t max_recipients = digest_rate_limiter_.SendableMessages(
      std::max<std::size_t>(last_digest_bytes_, 1), now);
  SendDigest(peers_.SelectDigestTargets(max_recipients), false);
  if (const auto source = peers_.TakeListSource(now)) FetchPeerList(*source);
  UpdateGatewayCount();
}

void PeerExchange::Send(const std::string& ip, const std::string& bytes) {
  socket_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                        Address(ip), identity_.gossip_port);
}

gossip::Digest PeerExchange::MakeDigest(std::size_t recipients) {
  gossip::Digest digest;
  digest.incarnation = incarnation_;
  digest.sequence = ++sequence_;
  digest.revision = replica_.revision();
  digest.reaches_store = peers_.own_reaches_store();
  digest.state_version = peers_.own_version();
  digest.membership_hash = peers_.MembershipHash();
  digest.peer_updates = peers_.TakeUpdates(recipients);
  for (const auto& [server_id, announcement] : announced_leaving_) {
    digest.leaving_servers.push_back(announcement.server);
  }
  digest.limits =
      context_.limits.TakeStatements(kMaxStatements, BootClock::now());
  return digest;
}

void PeerExchange::UpdateGatewayCount() {
  const std::size_t gateways = peers_.AlivePeers().size() + 1;
  if (std::exchange(context_.gateway_count, gateways) == gateways) return;
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
          const std::string ip =
              datagram.senderAddress().toString().toStdString();
          std::visit([&](const auto& body) { OnMessage(body, ip); }, message);
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
                             const std::string& ip) {
  const BootTime now = BootClock::now();
  const auto event = peers_.OnDigest(ip, digest, now);
  if (event != gossip::PeerTable::PeerEvent::kNone) {
    LogEvent("peer_heard")
        .With("peer", ip)
        .With("incarnation", digest.incarnation);
  }
  // What the peer ran before its restart is not known to run any more, and it
  // has lost what it was sent.
  if (event == gossip::PeerTable::PeerEvent::kRestarted) loads_.ForgetPeer(ip);
  for (const gossip::LeavingServer& server : digest.leaving_servers) {
    on_leaving(server);
  }
  for (const limits::Statement& statement : digest.limits) {
    permits_.OnStatement(statement, ip);
  }
  if (!digest.evidence.empty()) {
    const auto change = context_.crash_ledger.Merge(digest.evidence, now);
    if (change.is_news) on_evidence(change, ip);
  }
  if (digest.reply_requested) SendDigest({ip}, false);
  std::uint64_t& announced = peer_revisions_[ip];
  announced = event == gossip::PeerTable::PeerEvent::kNone
                  ? std::max(announced, digest.revision)
                  : digest.revision;
  if (digest.revision <= replica_.revision()) return;
  OnNewerRevision(digest.revision);
  // What a set that waits for texts has need not be fetched again.
  const bool is_waited_for =
      waiting_set_.has_value() && digest.revision <= waiting_set_->revision;
  if (!is_waited_for) FetchChanges(ip);
}

OutboundConnection* PeerExchange::Fetch(
    const std::string& ip, const std::string& target,
    std::function<void(const std::string& body)> on_body,
    std::function<void()> on_end) {
  auto* connection = new OutboundConnection({ip, identity_.changes.port},
                                            {kFetchConnectTimeout}, this);
  connection->AllowBulkResponses(kFetchProgress);
  http1::RequestHead head;
  head.method = "GET";
  head.target = target;
  head.fields.Add("Host", identity_.changes.ToString());
  head.fields.Add(kLongTexts, kByReference);
  head.fields.Add("Connection", "close");
  connection->Call(
      http1::Serialize(head, {}), kFetchTimeout,
      [connection, ip, on_body = std::move(on_body),
       on_end =
           std::move(on_end)](const OutboundConnection::Response& response) {
        connection->deleteLater();
        on_end();
        if (response.end == OutboundConnection::EndReason::kComplete) {
          on_body(response.body);
          return;
        }
        LogEvent("pull_failed", LogEvent::Level::kWarning)
            .With("peer", ip)
            .With("end", OutboundConnection::NameOf(response.end))
            .With("bytes", response.body.size());
      });
  return connection;
}

template <typename Handler>
void PeerExchange::HandleOrLog(const std::string& ip,
                               std::string_view error_event,
                               Handler&& handler) {
  TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(handler());
        return true;
      },
      [&](const Error& error) {
        LogEvent(error_event, LogEvent::Level::kWarning)
            .With("peer", ip)
            .With("reason", error.detail);
        return false;
      });
}

void PeerExchange::FetchPeerList(const std::string& ip) {
  if (peer_list_fetch_ != nullptr) return;
  peer_list_fetch_ = Fetch(
      ip, std::string(kListTarget),
      [this, ip](const std::string& body) {
        HandleOrLog(ip, "list_refused", [&]() -> Result<void> {
          BOOST_LEAF_AUTO(list, gossip::DecodePeerList(body));
          peers_.OnPeerList(list, BootClock::now());
          return {};
        });
      },
      [this] { peer_list_fetch_ = nullptr; });
}

void PeerExchange::FetchChanges(const std::string& ip) {
  if (changes_fetch_ != nullptr) return;
  changes_fetch_ = Fetch(
      ip, std::string(kChangesTarget) + std::to_string(replica_.revision()),
      [this, ip](const std::string& body) {
        HandleOrLog(ip, "changes_refused", [&]() -> Result<void> {
          BOOST_LEAF_AUTO(set, gossip::DecodeChangeSet(body));
          OnChanges(ip, std::move(set));
          return {};
        });
      },
      [this] { changes_fetch_ = nullptr; });
}

void PeerExchange::OnChanges(const std::string& ip, gossip::ChangeSet set) {
  LogEvent("changes_from_peer")
      .With("peer", ip)
      .With("changes", set.changes.size())
      .With("texts", set.texts.size())
      .With("whole", set.is_snapshot ? 1 : 0)
      .With("revision", set.revision);
  if (HasTexts(set)) {
    Apply(std::move(set));
    return;
  }
  // The short changes take effect now. In a new era of the store, though, an
  // entry does not mean what it meant before until all are known.
  const bool is_same_era =
      revisions::EraOf(set.revision) == revisions::EraOf(replica_.revision());
  if (!set.is_snapshot || is_same_era || replica_.revision() == 0) {
    on_changes(set.changes, 0);
  }
  const BootTime now = BootClock::now();
  const std::vector<gossip::TextReference> texts = set.texts;
  if (!waiting_set_.has_value() || waiting_set_->revision <= set.revision) {
    waiting_set_ = std::move(set);
  }
  for (const gossip::TextReference& text : texts) {
    if (replica_.RevisionOf(text.key) >= text.revision) continue;
    newer_texts_.try_emplace(text.key, now);
    texts_.Fetch(text, ip);
  }
}

bool PeerExchange::HasTexts(const gossip::ChangeSet& set) const {
  return std::ranges::all_of(set.texts, [this](const auto& text) {
    return replica_.RevisionOf(text.key) >= text.revision;
  });
}

void PeerExchange::Apply(gossip::ChangeSet set) {
  std::vector<revisions::RevisionedEntry>& entries = set.changes;
  if (!set.is_snapshot) {
    on_changes(std::move(entries), set.revision);
    return;
  }
  for (const gossip::TextReference& text : set.texts) {
    const std::string* known = replica_.Find(text.key);
    if (known == nullptr) continue;
    entries.push_back({text.key, replica_.RevisionOf(text.key), *known});
  }
  on_snapshot(std::move(entries), set.revision);
}

void PeerExchange::ApplyWaitingSet() {
  if (!waiting_set_.has_value() || !HasTexts(*waiting_set_)) return;
  gossip::ChangeSet set = *std::exchange(waiting_set_, std::nullopt);
  if (set.revision > replica_.revision()) Apply(std::move(set));
}

HttpResponse PeerExchange::ServeFetch(const http1::RequestHead& head) {
  if (head.target == kListTarget) {
    return {200, "application/cbor", gossip::Encode(peers_.PeerList())};
  }
  if (TextExchange::IsTarget(head.target)) return texts_.Serve(head);
  if (head.target.starts_with(kChangesTarget)) return ServeChanges(head);
  return {404, "text/plain", {}};
}

HttpResponse PeerExchange::ServeChanges(const http1::RequestHead& head) {
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
  const std::string* long_texts = head.fields.Find(kLongTexts);
  const bool by_reference =
      long_texts != nullptr && *long_texts == kByReference;
  replica_.VisitChangesAfter(
      set.is_snapshot ? 0 : after,
      [&](const std::string& key, std::uint64_t revision,
          const std::string* value) {
        if (value == nullptr) {
          if (!set.is_snapshot) {
            set.changes.push_back({key, revision, std::nullopt});
          }
        } else if (by_reference && TextExchange::IsLong(*value)) {
          set.texts.push_back({key, revision});
        } else {
          set.changes.push_back({key, revision, *value});
        }
      });
  return {200, "application/cbor", gossip::Encode(set)};
}

}  // namespace balsam::gateway
