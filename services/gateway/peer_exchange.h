// What the gateways tell each other: a digest to some of them several times a
// second, their load as it changes, and the changes of configuration and
// directory to one that lacks them.
#pragma once

#include <QTimer>
#include <QUdpSocket>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/gossip/load_journal.h"
#include "libraries/gossip/part_journal.h"
#include "libraries/gossip/peer_table.h"
#include "libraries/gossip/send_allowance.h"
#include "libraries/membership/keepers.h"
#include "libraries/revisions/revisioned_map.h"
#include "services/gateway/gateway_context.h"
#include "services/gateway/plain_server.h"

namespace balsam::gateway {

class PeerExchange : public QObject {
  Q_OBJECT

 public:
  // Who this gateway is to the others.
  struct Identity {
    std::string ip;
    // Where peers fetch changes; the same port on every VM.
    directory::Endpoint changes;
    // Where datagrams arrive; the same on every VM.
    std::uint16_t gossip_port = 0;
  };

  // `context` and `replica` outlive this.
  PeerExchange(Identity identity, GatewayContext& context,
               const revisions::RevisionedMap& replica, std::uint64_t seed);

  // Fails with kInvalidSettings if an address cannot be used.
  Result<void> Start();
  void SetSeeds(const std::vector<std::string>& ips);
  // Tells the others at once, and for a while, that a server said it leaves.
  void TellLeaving(const std::string& server_id);

  // Addresses of the gateways that are heard, without this one's own.
  std::vector<std::string> Alive() const { return peers_.Alive(); }
  // Whether any gateway that is heard reached the store all the while lately:
  // then the store was not away, whatever this gateway's own path to it did.
  bool AnyReachesStore() const { return peers_.AnyReachesStore(); }
  // How many gateways that reach the store rank before this one to watch it.
  std::size_t WatchersBefore() const;
  // How many do, whether they reach it or not.
  std::size_t GatewaysBefore() const;
  // The replica has something new: tells a few gateways, who tell others.
  void TellNews();
  std::uint64_t incarnation() const { return incarnation_; }

  // Another gateway heard that a server leaves.
  std::function<void(const std::string& server_id)> on_leaving;
  // A peer knew changes that the replica lacks.
  std::function<void(const std::vector<revisions::RevisionedEntry>& changes,
                     std::uint64_t revision)>
      on_changes;
  // The same where a peer told all entries that there are.
  std::function<void(const std::vector<revisions::RevisionedEntry>& entries,
                     std::uint64_t revision)>
      on_snapshot;
  // Whether this gateway reached the store all the while lately.
  std::function<bool()> reaches_store;

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

  // Sends a digest to peers in their turn, as many as the allowance lets, asks
  // one for its own, and notices those that were lost.
  void OnRound();
  void SendDigest(const std::vector<std::string>& readers, bool wants_answer);
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
  void EndQuestion(std::uint64_t number);
  static void TellKnown(Question& question);
  void UpdateKeepers(BootTime now);
  // Whom to tell of the load at a server.
  std::vector<std::string> ToldOf(std::uint32_t server);
  // Whether this gateway knows all load at a server by reports.
  bool KeepsBook(std::uint32_t server);
  // Whom to ask about a server.
  const std::string& AskedAbout(std::uint32_t server);
  void Send(const std::string& ip, const std::string& bytes);
  gossip::Digest MakeDigest(std::size_t readers, BootTime now);
  // Counts the gateways that share budgets.
  void CountGateways();
  void OnDatagrams();
  void OnMessage(const gossip::Digest& digest, const std::string& sender);
  void OnMessage(const gossip::LoadUpdate& update, const std::string& sender);
  void OnMessage(const gossip::LoadSums& sums, const std::string& sender);
  void OnMessage(const gossip::LoadQuestion& question,
                 const std::string& sender);
  // Asks `ip` for all gateways that it knows of.
  void PullList(const std::string& ip);
  void PullFrom(const std::string& ip);
  // Calls a peer; `on_body` gets the body of a whole answer.
  OutboundConnection* Pull(const std::string& ip, const std::string& target,
                           std::function<void(const std::string& body)> on_body,
                           std::function<void()> on_end);
  void OnChanges(const std::string& ip, const std::string& body);
  PlainAnswer AnswerPull(const http1::RequestHead& head) const;

  Identity identity_;
  GatewayContext& context_;
  const revisions::RevisionedMap& replica_;
  gossip::PeerTable peers_;
  PlainServer server_;
  QUdpSocket socket_;
  QTimer digest_timer_;
  QTimer load_timer_;
  gossip::SendAllowance digest_allowance_;
  gossip::SendAllowance load_allowance_;
  // Who keeps the book of which server, by its `dispatch::ServerKey`: of all
  // that are alive, and of those that have been long enough to know it all. The
  // first are told of loads, and the second too, who are asked.
  membership::Keepers all_keepers_;
  membership::Keepers settled_keepers_;
  // Whether this gateway itself is one that knows it all.
  bool is_settled_ = false;
  BootTime started_;
  // Keepers that did not answer, and when; the other one is asked for a while.
  std::map<std::string, BootTime> silent_keepers_;
  gossip::PartJournal part_journal_;
  // What peers were told of the kept servers.
  gossip::LoadJournal sum_journal_;
  // Of this gateway, as of `own_load_changes_` of the selector.
  dispatch::UsageByServer own_load_;
  std::uint64_t own_load_changes_ = 0;
  BootTime refreshed_;
  std::map<std::uint64_t, Question> questions_;
  std::uint64_t last_question_ = 0;
  // The last peer that was told of the load.
  std::string last_told_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  // Servers that said here that they leave, and when they last did. What only a
  // peer heard is not told on, or it would go round for ever.
  std::map<std::string, BootTime> told_leaving_;
  // The pull that is under way; null if none is.
  OutboundConnection* pull_ = nullptr;
  OutboundConnection* list_pull_ = nullptr;
  // Bytes of the last digest.
  std::size_t digest_bytes_ = 0;
};

}  // namespace balsam::gateway
