// Books, questions and sums, in datagrams.
#include "services/gateway/load_exchange.h"

#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// Between two looks at what changed of the load. Changes of one moment share a
// message, and are known elsewhere before the next request comes.
constexpr milliseconds kLookInterval{20};
// Between two looks at what is to be told again, and at what changed at the
// servers whose books are kept here. Whoever chooses one asks, so that the sums
// are for knowing which to ask.
constexpr milliseconds kRefreshLook{100};
// Keepers answer within a few milliseconds; without their answer a server is
// judged by what is known.
constexpr milliseconds kQuestionTime{30};
// A gateway knows the whole books of its servers when it has been alive for
// this long: the others know of it by then, and told it all they have
// (gossip::AggregatorLoadTracker::kRefreshInterval).
constexpr milliseconds kSettlingTime{2000};
// A keeper that did not answer is not asked again for this long, in which it is
// found out whether it lives.
constexpr milliseconds kSilentKeeperTime{1500};
// With so many answers a choice is made; the others may be long in coming.
constexpr std::size_t kEnoughAnswers = 2;
// Less is sent unasked where questions and parts take more of it.
constexpr double kBytesPerSecond = 5000.0;

}  // namespace

LoadExchange::LoadExchange(std::string own_ip, GatewayContext& context,
                           gossip::PeerTable& peers, Send send)
    : own_ip_(std::move(own_ip)),
      context_(context),
      peers_(peers),
      send_(std::move(send)),
      allowance_(kBytesPerSecond),
      started_(BootClock::now()) {
  connect(&timer_, &QTimer::timeout, this, &LoadExchange::OnLoadTime);
  context_.ask_loads = [this](const std::vector<std::string>& server_ids,
                              OnLoadsKnown on_known) {
    return AskLoads(server_ids, std::move(on_known));
  };
  context_.tell_load = [this] { SendParts(); };
}

void LoadExchange::Start() { timer_.start(kLookInterval); }

void LoadExchange::OnRound() {
  const BootTime now = BootClock::now();
  for (const std::string& ip : peers_.AlivePeers()) {
    context_.selector.reports().RenewReport(ip, now);
  }
  UpdateKeepers(now);
}

void LoadExchange::Forget(const std::string& ip) {
  sum_journal_.Forget(ip);
  part_journal_.Forget(ip);
  context_.selector.reports().ReplaceReport(ip, {}, BootClock::now());
}

const dispatch::UsageByServer& LoadExchange::OwnLoad(BootTime now) {
  const std::uint64_t changes = context_.selector.local_usage_version();
  if (std::exchange(own_load_changes_, changes) != changes) {
    own_load_ = context_.selector.LocalUsage(now);
  }
  return own_load_;
}

void LoadExchange::OnLoadTime() {
  const BootTime now = BootClock::now();
  const bool is_refresh = now - refreshed_ >= kRefreshLook;
  if (context_.selector.local_usage_version() != told_changes_ || is_refresh) {
    SendParts();
  }
  if (!is_refresh) return;
  refreshed_ = now;
  SendSums();
}

void LoadExchange::SendParts() {
  const BootTime now = BootClock::now();
  told_changes_ = context_.selector.local_usage_version();
  const auto told_of = [this](std::uint32_t server) { return ToldOf(server); };
  for (auto& [keeper, load] :
       part_journal_.TakeUpdates(OwnLoad(now), told_of, now)) {
    if (keeper == own_ip_) continue;
    const std::string bytes =
        gossip::Encode(gossip::LoadUpdate{++sequence_, std::move(load)});
    allowance_.Consume(bytes.size(), now);
    send_(keeper, bytes);
  }
}

dispatch::UsageByServer LoadExchange::KeptLoad(BootTime now) {
  dispatch::UsageByServer load = context_.selector.reports().ReportedUsage(now);
  for (const auto& [server, usage] : OwnLoad(now)) load[server] += usage;
  std::erase_if(load, [this](const auto& item) {
    return settled_keepers_.AggregatorsOf(item.first)[0] != own_ip_;
  });
  return load;
}

dispatch::UsageByServer LoadExchange::SumsFor(
    const std::string& reader, const std::vector<std::uint32_t>& servers,
    BootTime now) {
  const dispatch::UsageByServer& own = OwnLoad(now);
  dispatch::UsageByServer sums;
  for (const std::uint32_t server : servers) {
    dispatch::Usage& sum = sums[server];
    sum = context_.selector.reports().ReportedUsageExcept(server, reader, now);
    const auto found = own.find(server);
    if (found != own.end()) sum += found->second;
  }
  return sums;
}

void LoadExchange::SendSums() {
  const BootTime now = BootClock::now();
  const dispatch::UsageByServer load = KeptLoad(now);
  for (const auto& [server, usage] :
       context_.selector.reports().ReportedUsage(now)) {
    // What was reported here is for its other keepers to know.
    if (!std::ranges::binary_search(ToldOf(server), own_ip_)) {
      context_.selector.reports().RemoveServer(server);
    }
  }
  sum_journal_.Update(load);
  for (const std::string& ip : peers_.AlivePeersAfter(last_told_)) {
    if (!sum_journal_.HasDeltaFor(ip, now)) continue;
    std::vector<std::uint32_t> servers;
    for (const auto& [server, usage] : sum_journal_.DeltaFor(ip, now).load) {
      servers.push_back(server);
    }
    if (!servers.empty()) {
      const std::string bytes =
          gossip::Encode(gossip::LoadTotals{0, SumsFor(ip, servers, now)});
      if (!allowance_.TryConsume(bytes.size(), now)) return;
      send_(ip, bytes);
    }
    sum_journal_.OnSent(ip, now);
    last_told_ = ip;
  }
}

bool LoadExchange::AskLoads(const std::vector<std::string>& server_ids,
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
  const std::uint64_t query_id = ++last_question_;
  question.on_known = std::move(on_known);
  questions_.emplace(query_id, std::move(question));
  for (auto& [keeper, servers] : by_keeper) {
    const std::string bytes =
        gossip::Encode(gossip::LoadQuery{query_id, std::move(servers)});
    allowance_.Consume(bytes.size(), now);
    send_(keeper, bytes);
  }
  QTimer::singleShot(kQuestionTime, Qt::PreciseTimer, this,
                     [this, query_id] { EndQuestion(query_id); });
  return true;
}

void LoadExchange::EndQuestion(std::uint64_t query_id) {
  auto question = questions_.extract(query_id);
  if (question.empty()) return;
  const BootTime now = BootClock::now();
  std::set<std::string> silent;
  for (const auto& [server, keeper] : question.mapped().unanswered) {
    context_.selector.reports().OnAggregatorUnresponsive(server, now);
    silent.insert(keeper);
  }
  for (const std::string& keeper : silent) {
    silent_keepers_.insert_or_assign(keeper, now);
    peers_.AddProbe(keeper, now);
    LogEvent("load_unanswered", LogEvent::Level::kWarning)
        .With("keeper", keeper)
        .With("servers", question.mapped().unanswered.size());
  }
  TellKnown(question.mapped());
}

void LoadExchange::TellKnown(Question& question) {
  std::set<std::uint32_t> untold;
  for (const auto& [server, keeper] : question.unanswered) {
    untold.insert(server);
  }
  // It may ask again.
  const OnLoadsKnown on_known = std::exchange(question.on_known, nullptr);
  if (on_known) on_known(untold);
}

void LoadExchange::UpdateKeepers(BootTime now) {
  std::erase_if(silent_keepers_, [now](const auto& item) {
    return now - item.second > kSilentKeeperTime;
  });
  std::vector<std::string> all = peers_.AlivePeers();
  all.push_back(own_ip_);
  std::vector<std::string> settled = peers_.PeersAliveFor(kSettlingTime, now);
  is_settled_ = now - started_ >= kSettlingTime;
  if (is_settled_) settled.push_back(own_ip_);
  // Where most have just started, nobody knows more than the others.
  if (settled.size() * 2 <= all.size()) {
    settled = all;
    is_settled_ = true;
  }
  const bool changed = all_keepers_.SetMembers(std::move(all));
  if (!settled_keepers_.SetMembers(std::move(settled)) && !changed) return;
  context_.selector.reports().RemoveTotals(
      [this](std::uint32_t server) { return KeepsBook(server); });
}

std::vector<std::string> LoadExchange::ToldOf(std::uint32_t server) {
  std::set<std::string> told;
  for (membership::AggregatorAssignment* keepers :
       {&all_keepers_, &settled_keepers_}) {
    const membership::AggregatorAssignment::AggregatorPair& pair =
        keepers->AggregatorsOf(server);
    told.insert(pair.begin(), pair.end());
  }
  told.erase(std::string());
  return {told.begin(), told.end()};
}

bool LoadExchange::KeepsBook(std::uint32_t server) {
  return settled_keepers_.IsAggregator(own_ip_, server);
}

const std::string& LoadExchange::AskedAbout(std::uint32_t server) {
  const membership::AggregatorAssignment::AggregatorPair& keepers =
      settled_keepers_.AggregatorsOf(server);
  const bool has_other = !keepers[1].empty();
  return has_other && silent_keepers_.contains(keepers[0]) ? keepers[1]
                                                           : keepers[0];
}

void LoadExchange::OnMessage(const gossip::LoadUpdate& update,
                             const std::string& sender) {
  const BootTime now = BootClock::now();
  if (!peers_.OnLoadUpdate(sender, update.sequence, now)) return;
  dispatch::LoadReports& reports = context_.selector.reports();
  reports.UpdateReport(sender, update.load, now);
  // The sender takes this gateway for a keeper, which it may not know yet.
  reports.RemoveTotals(
      [&](std::uint32_t server) { return update.load.contains(server); });
}

void LoadExchange::OnMessage(const gossip::LoadTotals& sums,
                             const std::string& sender) {
  const BootTime now = BootClock::now();
  const auto question = questions_.find(sums.query_id);
  for (const auto& [server, usage] : sums.load) {
    if (KeepsBook(server)) continue;
    context_.selector.reports().SetTotal(server, usage, now);
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
    EndQuestion(sums.query_id);
  } else if (question->second.answers >= kEnoughAnswers) {
    TellKnown(question->second);
  }
}

void LoadExchange::OnMessage(const gossip::LoadQuery& question,
                             const std::string& sender) {
  const BootTime now = BootClock::now();
  dispatch::UsageByServer sums;
  if (is_settled_) sums = SumsFor(sender, question.servers, now);
  const std::string bytes =
      gossip::Encode(gossip::LoadTotals{question.query_id, std::move(sums)});
  allowance_.Consume(bytes.size(), now);
  send_(sender, bytes);
}

}  // namespace balsam::gateway
