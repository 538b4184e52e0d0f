// Keeps an entry's templates and VM list up to date. A few entries of each
// data centre, by rendezvous rank, watch the platform; all others learn from
// them, and everybody asks someone at random, so that what one part of the
// fleet knows reaches every part that can be reached. Only higher revisions
// are adopted, so no step goes back.
#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "libraries/config_service/value_watcher.h"
#include "libraries/peer/peer_link.h"
#include "libraries/peer/peer_server.h"
#include "services/entry/order_notifier.h"
#include "services/entry/shared_state.h"

namespace balsam::entry {

class StateFollower : public QObject {
  Q_OBJECT

 public:
  explicit StateFollower(SharedState& shared, QObject* parent = nullptr);

  // Fails with kInvalidSettings if the peer address cannot be listened on.
  Result<void> Start();

  // True once the state can be relied on: templates are there, and every other
  // entry has said what it has or could not be reached.
  bool ready() const { return ready_; }
  bool watching() const { return template_watcher_.watching(); }
  std::uint64_t platform_calls() const;
  std::uint64_t peer_bytes() const;
  std::uint16_t peer_port() const { return server_.port(); }
  const OrderNotifier& orders() const { return orders_; }

  std::function<void()> on_ready;

 private:
  void Tick();
  void UpdateRole();
  // The text that `source` passed on; none if it could not be read, and whole
  // texts are asked for from now on.
  std::optional<std::string> TextOf(const revisions::RevisionedText& history,
                                    const revisions::TextDelta& change,
                                    const std::string& source);
  void OfferTemplates(std::uint64_t revision, const std::string& text,
                      const std::string& source);
  void OfferList(std::uint64_t revision, const std::string& text,
                 const std::string& source);
  void OnRequest(const peer::ServerStream& stream,
                 const peer::Message& message);
  // Asks one entry what it knows.
  void Ask(const std::string& vm);
  void AskAddress(const std::string& name, const peer::PeerAddress& address);
  peer::PeerLink& LinkTo(const std::string& name,
                         const peer::PeerAddress& address);
  peer::PeerLink& LinkTo(const membership::Vm& vm);
  // Tells all entries of this data centre, and one of each other, at once.
  void Announce();
  // Tells the sidecars that need the list: those that are homes of keys, and
  // those whose VM is leaving.
  void PushListToSidecars();
  void PushListTo(const membership::Vm& vm);
  void AskEverybodyOnce();
  // Gives each workspace its part of the published budget.
  void ShareBudgets();
  void CheckReady();
  std::vector<std::string> OtherEntries(bool same_data_center) const;
  std::vector<std::string> Watchers() const;
  peer::GossipRequest Knowledge() const;

  SharedState& shared_;
  peer::PeerServer server_;
  // What was in force lately, to pass changes on and to read them.
  revisions::RevisionedText template_history_;
  bool wants_whole_ = false;
  config_service::ValueWatcher template_watcher_;
  config_service::ValueWatcher list_watcher_;
  // Closes links that have nothing open and are not among `kept`.
  template <typename Kept>
  void CloseIdleLinks(const Kept& kept);

  std::map<std::string, std::unique_ptr<peer::PeerLink>> links_;
  std::uint64_t closed_link_bytes_ = 0;
  // Entries asked at the start that have not answered yet.
  std::set<std::string> awaited_;
  bool asked_everybody_ = false;
  bool ready_ = false;
  BootTime started_;
  // When a watcher last answered; others take its place when none does.
  BootTime heard_watcher_;
  OrderNotifier orders_;
  QTimer timer_;
  std::minstd_rand random_;
};

}  // namespace balsam::entry
