// Keeps an entry's templates and VM list up to date. A few entries of each data
// centre, the watchers, are selected by rendezvous hashing and watch the
// platform. Every entry gossips at each interval with a random watcher of its
// data centre and with a random other entry, so that a revision known to any
// entry spreads to all entries that it can reach. Only higher revisions are
// applied, so an entry never goes back to an older one.
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

class ConfigSync : public QObject {
  Q_OBJECT

 public:
  explicit ConfigSync(SharedState& shared, QObject* parent = nullptr);

  // Fails with kInvalidSettings if the peer address cannot be listened on.
  Result<void> Start();

  // True once the entry may serve callers: it has templates, and every other
  // entry has replied or could not be reached (within a time limit). Without
  // the replies, a restarted entry could serve with an older revision than
  // before.
  bool ready() const { return ready_; }
  bool watching() const { return template_watcher_.watching(); }
  std::uint64_t platform_calls() const;
  // Bytes sent and received on connections between peers.
  std::uint64_t peer_bytes() const;
  std::uint16_t peer_port() const { return peer_server_.port(); }
  const OrderNotifier& order_notifier() const { return order_notifier_; }

  std::function<void()> on_ready;

 private:
  void Tick();
  void UpdateWatching();
  // Returns the text that a change from `source` leads to. Returns nullopt if
  // the change is empty or cannot be applied; in the latter case the following
  // gossip requests ask for full texts.
  std::optional<std::string> ReadChange(
      const revisions::RevisionedText& history,
      const revisions::TextDelta& change, const std::string& source);
  void ApplyTemplates(std::uint64_t revision, const std::string& text,
                      const std::string& source);
  void ApplyVmList(std::uint64_t revision, const std::string& text,
                   const std::string& source);
  void OnGossipRequest(const peer::ServerStream& stream,
                       const peer::Message& message);
  // Sends one entry the revisions known here and applies its reply.
  void GossipWith(const std::string& vm);
  void GossipWithAddress(const std::string& name,
                         const peer::PeerAddress& address);
  peer::PeerLink& GetLink(const std::string& name,
                          const peer::PeerAddress& address);
  peer::PeerLink& GetLink(const membership::Vm& vm);
  // Gossips at once with a few other entries, which pass on what is new to
  // them.
  void AnnounceCrashEvidence();
  void MergeCrashEvidence(const std::string& bytes, const std::string& source);
  // Gossips at once with all other entries of this data centre.
  void NotifyEntries();
  // Sends the VM list to the sidecars that need it: those of services with
  // methods that must not run twice, and those whose VM is leaving.
  void PushVmListToSidecars();
  void PushVmListTo(const membership::Vm& vm);
  void GossipWithAllOnce();
  // Sets this entry's share of each workspace's published token rate.
  void UpdateBudgetShares();
  void CheckReady();
  std::vector<std::string> OtherEntries(bool same_data_center) const;
  std::vector<std::string> Watchers() const;
  peer::GossipRequest KnownRevisions() const;

  SharedState& shared_;
  peer::PeerServer peer_server_;
  // Recent revisions of the templates, against which changes are computed and
  // applied.
  revisions::RevisionedText template_history_;
  bool needs_full_text_ = false;
  config_service::ValueWatcher template_watcher_;
  config_service::ValueWatcher list_watcher_;
  // Closes links that have no open streams and are not in `kept`.
  template <typename Kept>
  void CloseIdleLinks(const Kept& kept);

  std::map<std::string, std::unique_ptr<peer::PeerLink>> links_;
  std::uint64_t closed_link_bytes_ = 0;
  // Entries that have not replied yet to the gossip request sent at the start.
  std::set<std::string> pending_replies_;
  bool initial_gossip_sent_ = false;
  bool ready_ = false;
  BootTime started_;
  // When a watcher last replied. This entry watches the platform itself if no
  // watcher replies for kWatcherTimeout.
  BootTime last_watcher_reply_;
  OrderNotifier order_notifier_;
  QTimer gossip_timer_;
  std::minstd_rand random_;
};

}  // namespace balsam::entry
