// Finds out whether servers crashed whose responses were lost, by connecting to
// them again. No request is sent, so that a server without a free slot can be
// checked as well. A server that restarted faster than it was checked is
// recognised by its new incarnation.
#pragma once

#include <QObject>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/directory/presence_check.h"
#include "services/gateway/connection_lease.h"

namespace balsam::gateway {

class CrashDetector : public QObject {
  Q_OBJECT

 public:
  // `pool` must outlive this.
  explicit CrashDetector(ConnectionPool& pool) : pool_(pool) {}

  // A response was lost now at this server, which is checked. `on_crash` is
  // called from the event loop if the server is found to have crashed, unless
  // this is destroyed before.
  void OnResponseLost(const std::string& server_id,
                      const directory::Endpoint& endpoint,
                      std::function<void()> on_crash);
  // An incarnation of the server began at `began`, so that the former one has
  // ended before.
  void OnServerRestarted(const std::string& server_id, BootTime began);
  // Forgets losses that no restart explains.
  void DropExpired(BootTime now);

  // Number of servers that are being checked.
  std::size_t checks() const { return checks_.size(); }
  std::uint64_t crashes_found() const { return crashes_found_; }
  // Losses at servers that were found to be alive.
  std::uint64_t losses_without_crash() const { return losses_without_crash_; }

 private:
  struct Loss {
    std::string server_id;
    BootTime time;
    std::function<void()> on_crash;
  };
  // A server that is being checked.
  struct Check {
    directory::Endpoint endpoint;
    directory::PresenceCheck presence;
    // Never empty.
    std::vector<Loss> losses;
    ConnectionLease connection;
    BootTime contact_started_at;
    // Tells the check apart from a later one of the same server.
    std::uint64_t number = 0;
  };

  void StartCheck(const std::string& server_id,
                  const directory::Endpoint& endpoint,
                  std::vector<Loss> losses);
  // Calls `step(check)` after the delay if the check is still in progress.
  template <typename Step>
  void After(std::chrono::milliseconds delay, const std::string& server_id,
             Step step);
  void Contact(const std::string& server_id, Check& check);
  void OnContact(const std::string& server_id, Check& check,
                 directory::Contact contact);
  void OnCrashed(const std::string& server_id, std::vector<Loss> losses);
  void OnAlive(const std::string& server_id, Check check);

  ConnectionPool& pool_;
  // By server id.
  std::map<std::string, Check> checks_;
  // Losses at servers that were found to be alive, by time.
  std::deque<Loss> unexplained_;
  std::uint64_t next_number_ = 1;
  std::uint64_t crashes_found_ = 0;
  std::uint64_t losses_without_crash_ = 0;
};

}  // namespace balsam::gateway
