// Digests and loads in datagrams; changes over HTTP.
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
// Between two looks at what changed of the load. Changes of one moment share a
// message, and are known elsewhere before the next request comes.
constexpr milliseconds kLoadInterval{20};
// Between two looks at what is to be told again, and at what changed at the
// servers whose books are kept here. Whoever chooses one asks, so that the sums
// are for knowing which to ask.
constexpr milliseconds kRefreshLook{100};
// Keepers answer within a few milliseconds; without their answer a server is
// judged by what is known.
constexpr milliseconds kQuestionTime{30};
// A gateway knows the whole books of its servers when it has been alive for
// this long: the others know of it by then, and told it all they have
// (gossip::PartJournal::kRefreshInterval).
constexpr milliseconds kSettlingTime{2000};
// A keeper that did not answer is not asked again for this long, in which it is
// found out whether it lives.
constexpr milliseconds kSilentKeeperTime{1500};
// With so many answers a choice is made; the others may be long in coming.
constexpr std::size_t kEnoughAnswers = 2;
// Of all digests but urgent ones, which are rare, and of loads. Together the
// bound on a node's control traffic (docs/CAPACITY.md), less what pulled
// changes take.
constexpr double kDigestBytesPerSecond = 3000.0;
constexpr double kLoadBytesPerSecond = 5000.0;
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
      load_allowance_(kLoadBytesPerSecond),
      started_(BootClock::now()),
      // Zero stands for a peer that was never heard.
      incarnation_(seed | 1) {
  connect(&socket_, &QUdpSocket::readyRead, this, &PeerExchange::OnDatagrams);
  connect(&digest_timer_, &QTimer::timeout, this, &PeerExchange::OnRound);
  connect(&load_timer_, &QTimer::timeout, this, &PeerExchange::OnLoadTime);
  context_.ask_loads = [this](const std::vector<std::string>& server_ids,
                              OnLoadsKnown on_known) {
    return AskLoads(server_ids, std::move(on_known));
  };
  context_.tell_load = [this] { SendParts(); };
}

Result<void> PeerExchange::Start() {
  BOOST_LEAF_CHECK(server_.Listen(identity_.changes));
  if (!socket_.bind(Address(identity_.ip), identity_.gossip_port)) {
    return Fail(
        ResultCode::kInvalidSettings,
        "cannot bind the gossip port " + std::to_string(identity_.gossip_port));
  }
  digest_timer_.start(kDigestInterval);
  load_timer_.start(kLoadInterval);
  return {};
}

void PeerExchange::SetSeeds(const std::vector<std::string>& ips) {
  peers_.SetSeeds(ips, BootClock::now());
}

void PeerExchange::TellLeaving(const std::string& server_id) {
  const bool is_news =
      told_leaving_.insert_or_assign(server_id, BootClock::now()).second;
  // Each tenth of a second counts for what runs there.
  if (is_news) SendDigest(peers_.Alive(), false);
}

std::size_t PeerExchange::WatchersBefore() const {
  return peers_.StoreReachersBefore(kWatcherRank);
}

std::size_t PeerExchange::GatewaysBefore() const {
  return peers_.PeersBefore(kWatcherRank);
}

void PeerExchange::TellNews() {
  SendDigest(peers_.NextTargets(kNewsReaders), false);
}

void PeerExchange::SendDigest(const std::vector<std::string>& readers,
                              bool wants_answer) {
  if (readers.empty()) return;
  const BootTime now = BootClock::now();
  gossip::Digest digest = MakeDigest(readers.size(), now);
  digest.wants_answer = wants_answer;
  const std::string bytes = gossip::Encode(digest);
  digest_bytes_ = bytes.size();
  digest_allowance_.Spend(bytes.size() * readers.size(), now);
  for (const std::string& ip : readers) {
    socket_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                          Address(ip), identity_.gossip_port);
  }
}

void PeerExchange::OnRound() {
  const BootTime now = BootClock::now();
  std::erase_if(told_leaving_, [now](const auto& item) {
    return now - item.second > kLeavingTold;
  });
  peers_.SetReachesStore(reaches_store());
  for (const std::string& ip : peers_.TakeLost(now)) {
    LogEvent("peer_lost", LogEvent::Level::kWarning)
        .With("peer", ip)
        .With("alive", peers_.Alive().size());
    sum_journal_.Forget(ip);
    context_.selector.reports().Replace(ip, {}, now);
  }
  const std::vector<std::string> alive = peers_.Alive();
  for (const std::string& ip : alive)
    context_.selector.reports().Renew(ip, now);
  UpdateKeepers(now);
  if (const auto asked = peers_.TakeAsked(now)) SendDigest({*asked}, true);
  const std::size_t most = digest_allowance_.Affordable(
      std::max<std::size_t>(digest_bytes_, 1), now);
  SendDigest(peers_.Targets(most), false);
  if (const auto source = peers_.TakeListSource(now)) PullList(*source);
  CountGateways();
}

void PeerExchange::Send(const std::string& ip, const std::string& bytes) {
  socket_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                        Address(ip), identity_.gossip_port);
}

const dispatch::UsageByServer& PeerExchange::OwnLoad(BootTime now) {
  const std::uint64_t changes = context_.selector.usage_changes();
  if (std::exchange(own_load_changes_, changes) != changes) {
    own_load_ = context_.selector.OwnUsage(now);
  }
  return own_load_;
}

void PeerExchange::OnLoadTime() {
  const BootTime now = BootClock::now();
  const bool is_refresh = now - refreshed_ >= kRefreshLook;
  if (context_.selector.usage_changes() != own_load_changes_ || is_refresh) {
    SendParts();
  }
  if (!is_refresh) return;
  refreshed_ = now;
  SendSums();
}

void PeerExchange::SendParts() {
  const BootTime now = BootClock::now();
  const auto told_of = [this](std::uint32_t server) { return ToldOf(server); };
  for (auto& [keeper, load] :
       part_journal_.TakeNews(OwnLoad(now), told_of, now)) {
    if (keeper == identity_.ip) continue;
    const std::string bytes =
        gossip::Encode(gossip::LoadUpdate{++sequence_, std::move(load)});
    load_allowance_.Spend(bytes.size(), now);
    Send(keeper, bytes);
  }
}

dispatch::UsageByServer PeerExchange::KeptLoad(BootTime now) {
  dispatch::UsageByServer load = context_.selector.reports().Reported(now);
  for (const auto& [server, usage] : OwnLoad(now)) load[server] += usage;
  std::erase_if(load, [this](const auto& item) {
    return settled_keepers_.KeepersOf(item.first)[0] != identity_.ip;
  });
  return load;
}

dispatch::UsageByServer PeerExchange::SumsFor(
    const std::string& reader, const std::vector<std::uint32_t>& servers,
    BootTime now) {
  const dispatch::UsageByServer& own = OwnLoad(now);
  dispatch::UsageByServer sums;
  for (const std::uint32_t server : servers) {
    dispatch::Usage& sum = sums[server];
    sum = context_.selector.reports().ReportedExcept(server, reader, now);
    const auto found = own.find(server);
    if (found != own.end()) sum += found->second;
  }
  return sums;
}

void PeerExchange::SendSums() {
  const BootTime now = BootClock::now();
  const dispatch::UsageByServer load = KeptLoad(now);
  for (const auto& [server, usage] :
       context_.selector.reports().Reported(now)) {
    // What was reported here is for its other keepers to know.
    if (!std::ranges::binary_search(ToldOf(server), identity_.ip)) {
      context_.selector.reports().DropServer(server);
    }
  }
  sum_journal_.Update(load);
  for (const std::string& ip : peers_.AliveAfter(last_told_)) {
    if (!sum_journal_.HasNewsFor(ip, now)) continue;
    std::vector<std::uint32_t> servers;
    for (const auto& [server, usage] : sum_journal_.NewsFor(ip, now).load) {
      servers.push_back(server);
    }
    if (!servers.empty()) {
      const std::string bytes =
          gossip::Encode(gossip::LoadSums{0, SumsFor(ip, servers, now)});
      if (!load_allowance_.TryTake(bytes.size(), now)) return;
      Send(ip, bytes);
    }
    sum_journal_.OnTold(ip, now);
    last_told_ = ip;
  }
}

bool PeerExchange::AskLoads(const std::vector<std::string>& server_ids,
                            OnLoadsKnown on_known) {
  const BootTime now = BootClock::now();
  std::map<std::string, std::vector<std::uint32_t>> by_keeper;
  Question question;
  for (const std::string& id : server_ids) {
    const std::uint32_t server = dispatch::ServerKey(id);
    // Sums that keepers told unasked do not do: all heard them at one moment.
    if (KeepsBook(server)) {
      ++question.answers;
      continue;
    }
    const std::string& keeper = AskedAbout(server);
    by_keeper[keeper].push_back(server);
    question.unanswered.emplace(server, keeper);
  }
  if (by_keeper.empty()) return false;
  const std::uint64_t number = ++last_question_;
  question.on_known = std::move(on_known);
  questions_.emplace(number, std::move(question));
  for (auto& [keeper, servers] : by_keeper) {
    const std::string bytes =
        gossip::Encode(gossip::LoadQuestion{number, std::move(servers)});
    load_allowance_.Spend(bytes.size(), now);
    Send(keeper, bytes);
  }
  QTimer::singleShot(kQuestionTime, Qt::PreciseTimer, this,
                     [this, number] { EndQuestion(number); });
  return true;
}

void PeerExchange::EndQuestion(std::uint64_t number) {
  auto question = questions_.extract(number);
  if (question.empty()) return;
  const BootTime now = BootClock::now();
  std::set<std::string> silent;
  for (const auto& [server, keeper] : question.mapped().unanswered) {
    context_.selector.reports().OnUnanswered(server, now);
    silent.insert(keeper);
  }
  for (const std::string& keeper : silent) {
    silent_keepers_.insert_or_assign(keeper, now);
    peers_.AskNext(keeper);
    LogEvent("load_unanswered", LogEvent::Level::kWarning)
        .With("keeper", keeper)
        .With("servers", question.mapped().unanswered.size());
  }
  TellKnown(question.mapped());
}

void PeerExchange::TellKnown(Question& question) {
  std::set<std::uint32_t> untold;
  for (const auto& [server, keeper] : question.unanswered) {
    untold.insert(server);
  }
  // It may ask again.
  const OnLoadsKnown on_known = std::exchange(question.on_known, nullptr);
  if (on_known) on_known(untold);
}

void PeerExchange::UpdateKeepers(BootTime now) {
  std::erase_if(silent_keepers_, [now](const auto& item) {
    return now - item.second > kSilentKeeperTime;
  });
  std::vector<std::string> all = peers_.Alive();
  all.push_back(identity_.ip);
  std::vector<std::string> settled = peers_.AliveFor(kSettlingTime, now);
  is_settled_ = now - started_ >= kSettlingTime;
  if (is_settled_) settled.push_back(identity_.ip);
  // Where most have just started, nobody knows more than the others.
  if (settled.size() * 2 <= all.size()) {
    settled = all;
    is_settled_ = true;
  }
  const bool changed = all_keepers_.SetMembers(std::move(all));
  if (!settled_keepers_.SetMembers(std::move(settled)) && !changed) return;
  context_.selector.reports().DropSumsOf(
      [this](std::uint32_t server) { return KeepsBook(server); });
}

std::vector<std::string> PeerExchange::ToldOf(std::uint32_t server) {
  std::set<std::string> told;
  for (membership::Keepers* keepers : {&all_keepers_, &settled_keepers_}) {
    const membership::Keepers::Pair& pair = keepers->KeepersOf(server);
    told.insert(pair.begin(), pair.end());
  }
  told.erase(std::string());
  return {told.begin(), told.end()};
}

bool PeerExchange::KeepsBook(std::uint32_t server) {
  return settled_keepers_.Keeps(identity_.ip, server);
}

const std::string& PeerExchange::AskedAbout(std::uint32_t server) {
  const membership::Keepers::Pair& keepers = settled_keepers_.KeepersOf(server);
  const bool has_other = !keepers[1].empty();
  return has_other && silent_keepers_.contains(keepers[0]) ? keepers[1]
                                                           : keepers[0];
}

gossip::Digest PeerExchange::MakeDigest(std::size_t readers, BootTime now) {
  gossip::Digest digest;
  digest.incarnation = incarnation_;
  digest.sequence = ++sequence_;
  digest.revision = replica_.revision();
  digest.reaches_store = peers_.own_reaches_store();
  digest.standing = peers_.own_standing();
  digest.news = peers_.TakeNews(readers);
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
  const std::size_t gateways = peers_.Alive().size() + 1;
  if (std::exchange(context_.gateways, gateways) == gateways) return;
  for (auto& [service, budget] : context_.retry_budgets) {
    budget.SetEntries(gateways);
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

void PeerExchange::OnMessage(const gossip::LoadUpdate& update,
                             const std::string& sender) {
  const BootTime now = BootClock::now();
  if (!peers_.OnLoadUpdate(sender, update.sequence, now)) return;
  dispatch::LoadReports& reports = context_.selector.reports();
  reports.Change(sender, update.load, now);
  // From a sum that another keeper told, if this one has only just become it.
  for (const auto& [server, usage] : update.load) reports.DropSum(server);
}

void PeerExchange::OnMessage(const gossip::LoadSums& sums,
                             const std::string& sender) {
  const BootTime now = BootClock::now();
  const auto question = questions_.find(sums.number);
  for (const auto& [server, usage] : sums.load) {
    if (KeepsBook(server)) continue;
    context_.selector.reports().TakeSum(server, usage, now);
    if (question != questions_.end()) {
      question->second.unanswered.erase(server);
    }
  }
  if (question == questions_.end()) return;
  question->second.answers += sums.load.size();
  // One that does not know its books yet says nothing of them.
  const bool is_over = std::ranges::none_of(
      question->second.unanswered,
      [&](const auto& item) { return item.second != sender; });
  if (is_over) {
    EndQuestion(sums.number);
  } else if (question->second.answers >= kEnoughAnswers) {
    TellKnown(question->second);
  }
}

void PeerExchange::OnMessage(const gossip::LoadQuestion& question,
                             const std::string& sender) {
  const BootTime now = BootClock::now();
  dispatch::UsageByServer sums;
  if (is_settled_) sums = SumsFor(sender, question.servers, now);
  const std::string bytes =
      gossip::Encode(gossip::LoadSums{question.number, std::move(sums)});
  load_allowance_.Spend(bytes.size(), now);
  Send(sender, bytes);
}

void PeerExchange::OnMessage(const gossip::Digest& digest,
                             const std::string& sender) {
  const BootTime now = BootClock::now();
  const auto news = peers_.OnDigest(sender, digest, now);
  if (news != gossip::PeerTable::News::kNone) {
    LogEvent("peer_heard")
        .With("peer", sender)
        .With("incarnation", digest.incarnation);
  }
  if (news == gossip::PeerTable::News::kRestarted) {
    // Nothing that it ran before is known to run any more, and it lost what it
    // was told.
    context_.selector.reports().Replace(sender, {}, now);
    sum_journal_.Forget(sender);
  }
  context_.selector.reports().Renew(sender, now);
  for (const std::string& server_id : digest.leaving_servers) {
    on_leaving(server_id);
  }
  for (const auto& [fingerprint, crashes] : digest.crashes) {
    context_.suspicions.Learn(fingerprint, crashes, now);
  }
  if (digest.wants_answer) SendDigest({sender}, false);
  if (digest.revision > replica_.revision()) PullFrom(sender);
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

void PeerExchange::PullList(const std::string& ip) {
  if (list_pull_ != nullptr) return;
  list_pull_ = Pull(
      ip, std::string(kListTarget),
      [this, ip](const std::string& body) {
        TryOr(
            [&]() -> Result<bool> {
              BOOST_LEAF_AUTO(list, gossip::DecodeNews(body));
              peers_.OnList(list, BootClock::now());
              return true;
            },
            [&](const Error& error) {
              LogEvent("list_refused", LogEvent::Level::kWarning)
                  .With("peer", ip)
                  .With("reason", error.detail);
              return false;
            });
      },
      [this] { list_pull_ = nullptr; });
}

void PeerExchange::PullFrom(const std::string& ip) {
  if (pull_ != nullptr) return;
  pull_ = Pull(
      ip, std::string(kChangesTarget) + std::to_string(replica_.revision()),
      [this, ip](const std::string& body) { OnChanges(ip, body); },
      [this] { pull_ = nullptr; });
}

void PeerExchange::OnChanges(const std::string& ip, const std::string& body) {
  TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(set, gossip::DecodeChangeSet(body));
        LogEvent("changes_from_peer")
            .With("peer", ip)
            .With("changes", set.changes.size())
            .With("whole", set.is_whole ? 1 : 0)
            .With("revision", set.revision);
        if (set.is_whole) {
          on_snapshot(set.changes, set.revision);
        } else {
          on_changes(set.changes, set.revision);
        }
        return true;
      },
      [&](const Error& error) {
        LogEvent("changes_refused", LogEvent::Level::kWarning)
            .With("peer", ip)
            .With("reason", error.detail);
        return false;
      });
}

PlainAnswer PeerExchange::AnswerPull(const http1::RequestHead& head) const {
  if (head.target == kListTarget) {
    return {200, "application/cbor", gossip::Encode(peers_.List())};
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
  set.is_whole = !replica_.HasHistoryAfter(after);
  set.changes = set.is_whole ? replica_.All() : replica_.ChangesAfter(after);
  return {200, "application/cbor", gossip::Encode(set)};
}

}  // namespace balsam::gateway
