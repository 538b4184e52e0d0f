// What gateways tell each other of their loads. Two of them keep the book of
// each backend server: they are told by all what each runs there, and are asked
// by whoever is about to choose an engine. Sums of each book also go to all, as
// far as the allowance lets, for choices that nobody is asked about.
#pragma once

#include <QObject>
#include <QTimer>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/gossip/digest.h"
#include "libraries/gossip/load_journal.h"
#include "libraries/gossip/part_journal.h"
#include "libraries/gossip/peer_table.h"
#include "libraries/gossip/send_allowance.h"
#include "libraries/membership/keepers.h"
#include "services/gateway/gateway_context.h"

namespace balsam::gateway {

class LoadExchange : public QObject {
  Q_OBJECT

 public:
  // Sends a datagram to a gateway.
  using Send =
      std::function<void(const std::string& ip, const std::string& bytes)>;

  // `context` and `peers` outlive this. Sets what `context` offers of loads.
  LoadExchange(std::string own_ip, GatewayContext& context,
               gossip::PeerTable& peers, Send send);

  void Start();
  // To be called each round, when it is known who is alive.
  void OnRound();
  // A gateway was lost, or began a new life: what it ran is not known to run
  // any more, and it lost what it was told.
  void Forget(const std::string& ip);

  void OnMessage(const gossip::LoadUpdate& update, const std::string& sender);
  void OnMessage(const gossip::LoadTotals& sums, const std::string& sender);
  void OnMessage(const gossip::LoadQuery& question, const std::string& sender);

 private:
  // A question to keepers that has no answer of all of them yet.
  struct Question {
    // Servers, with the keeper that was asked.
    std::map<std::uint32_t, std::string> unanswered;
    // Servers that are known of.
    std::size_t answers = 0;
    // Null once it was called.
    OnLoadsKnown on_known;
  };

  void OnLoadTime();
  // Tells the keepers of servers' books what changed of this gateway's load.
  void SendParts();
  // Tells peers what changed at the servers whose books are kept here, as far
  // as the allowance lets; the others have their turn before these next time.
  void SendSums();
  // The load of all gateways at servers whose books are kept here.
  dispatch::UsageByServer KeptLoad(BootTime now);
  // The same at these of them, without the reader's own part.
  dispatch::UsageByServer SumsFor(const std::string& reader,
                                  const std::vector<std::uint32_t>& servers,
                                  BootTime now);
  const dispatch::UsageByServer& OwnLoad(BootTime now);
  // See `GatewayContext::ask_loads`.
  bool AskLoads(const std::vector<std::string>& server_ids,
                OnLoadsKnown on_known);
  void EndQuestion(std::uint64_t query_id);
  static void TellKnown(Question& question);
  void UpdateKeepers(BootTime now);
  // Whom to tell of the load at a server.
  std::vector<std::string> ToldOf(std::uint32_t server);
  // Whether this gateway knows all load at a server by reports.
  bool KeepsBook(std::uint32_t server);
  // Whom to ask about a server.
  const std::string& AskedAbout(std::uint32_t server);

  std::string own_ip_;
  GatewayContext& context_;
  gossip::PeerTable& peers_;
  Send send_;
  QTimer timer_;
  gossip::SendRateLimiter allowance_;
  // Who keeps the book of which server, by its `dispatch::ServerKey`: of all
  // that are alive, and of those that have been long enough to know it all. The
  // first are told of loads, and the second too, who are asked.
  membership::AggregatorAssignment all_keepers_;
  membership::AggregatorAssignment settled_keepers_;
  // Whether this gateway itself is one that knows it all.
  bool is_settled_ = false;
  BootTime started_;
  // Keepers that did not answer, and when; the other one is asked for a while.
  std::map<std::string, BootTime> silent_keepers_;
  gossip::AggregatorLoadTracker part_journal_;
  // What peers were told of the kept servers.
  gossip::LoadDeltaTracker sum_journal_;
  // Of this gateway, as of `own_load_changes_` of the selector.
  dispatch::UsageByServer own_load_;
  std::uint64_t own_load_changes_ = 0;
  // The same when keepers were last told.
  std::uint64_t told_changes_ = 0;
  BootTime refreshed_;
  std::map<std::uint64_t, Question> questions_;
  std::uint64_t last_question_ = 0;
  // The last peer that was told of the sums.
  std::string last_told_;
  std::uint64_t sequence_ = 0;
};

}  // namespace balsam::gateway
