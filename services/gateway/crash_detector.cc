// Contacts to servers whose responses were lost, and what follows from them.
#include "services/gateway/crash_detector.h"

#include <QTimer>
#include <algorithm>
#include <iterator>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

using directory::Presence;
using std::chrono::milliseconds;

// A process that ends closes its connections one after the other; its listening
// socket may be the last.
constexpr milliseconds kFirstContactDelay{10};
constexpr milliseconds kNextContactDelay{100};
// How long an accepted connection must stay open.
constexpr milliseconds kSettleTime{50};
// How long after a loss the news of a restart may arrive that explains it.
constexpr milliseconds kMaxRestartNewsDelay{5000};
// Losses in a row at sound servers are rare; older ones are forgotten.
constexpr std::size_t kMaxUnexplained = 256;

}  // namespace

void CrashDetector::OnResponseLost(const std::string& server_id,
                                   const directory::Endpoint& endpoint,
                                   std::function<void()> on_crash) {
  Loss loss{server_id, BootClock::now(), std::move(on_crash)};
  const auto found = checks_.find(server_id);
  if (found != checks_.end()) {
    found->second.losses.push_back(std::move(loss));
    return;
  }
  std::vector<Loss> losses;
  losses.push_back(std::move(loss));
  StartCheck(server_id, endpoint, std::move(losses));
}

void CrashDetector::StartCheck(const std::string& server_id,
                               const directory::Endpoint& endpoint,
                               std::vector<Loss> losses) {
  Check& check = checks_[server_id];
  check.endpoint = endpoint;
  check.losses = std::move(losses);
  check.number = next_number_++;
  After(kFirstContactDelay, server_id,
        [this, server_id](Check& current) { Contact(server_id, current); });
}

template <typename Step>
void CrashDetector::After(milliseconds delay, const std::string& server_id,
                          Step step) {
  const std::uint64_t number = checks_.at(server_id).number;
  QTimer::singleShot(delay, this,
                     [this, server_id, number, step = std::move(step)] {
                       const auto found = checks_.find(server_id);
                       if (found == checks_.end()) return;
                       if (found->second.number == number) step(found->second);
                     });
}

void CrashDetector::Contact(const std::string& server_id, Check& check) {
  check.contact_started_at = BootClock::now();
  check.connection = ConnectionLease(pool_, server_id, check.endpoint,
                                     ConnectionPool::Use::kNewConnection);
  // The check owns the connection, which calls nothing once it is closed.
  check.connection->Open([this, server_id](directory::Contact contact) {
    if (contact != directory::Contact::kAccepted) {
      OnContact(server_id, checks_.at(server_id), contact);
      return;
    }
    After(kSettleTime, server_id, [this, server_id](Check& settled) {
      OnContact(server_id, settled,
                settled.connection->reusable()
                    ? directory::Contact::kAccepted
                    : directory::Contact::kInconclusive);
    });
  });
}

void CrashDetector::OnContact(const std::string& server_id, Check& check,
                              directory::Contact contact) {
  check.connection.End();
  const Presence presence = check.presence.OnContact(contact);
  if (presence == Presence::kUnknown) {
    After(kNextContactDelay, server_id,
          [this, server_id](Check& current) { Contact(server_id, current); });
    return;
  }
  Check ended = std::move(check);
  checks_.erase(server_id);
  if (presence == Presence::kGone) {
    OnCrashed(server_id, std::move(ended.losses));
  } else {
    OnAlive(server_id, std::move(ended));
  }
}

void CrashDetector::OnCrashed(const std::string& server_id,
                              std::vector<Loss> losses) {
  ++crashes_found_;
  LogEvent("server_crashed", LogEvent::Level::kWarning)
      .With("server", server_id)
      .With("losses", losses.size())
      .With("after", BootClock::now() - losses.front().time);
  for (const Loss& loss : losses) loss.on_crash();
}

void CrashDetector::OnAlive(const std::string& server_id, Check check) {
  // The server may have crashed while it was being contacted.
  const auto later =
      std::ranges::stable_partition(check.losses, [&](const Loss& loss) {
        return loss.time + kFirstContactDelay <= check.contact_started_at;
      });
  std::vector<Loss> unchecked(std::make_move_iterator(later.begin()),
                              std::make_move_iterator(later.end()));
  check.losses.erase(later.begin(), later.end());
  losses_without_crash_ += check.losses.size();
  if (!check.losses.empty()) {
    LogEvent("response_lost_without_crash", LogEvent::Level::kWarning)
        .With("server", server_id)
        .With("losses", check.losses.size());
  }
  std::ranges::move(check.losses, std::back_inserter(unexplained_));
  while (unexplained_.size() > kMaxUnexplained) unexplained_.pop_front();
  if (unchecked.empty()) return;
  StartCheck(server_id, check.endpoint, std::move(unchecked));
}

void CrashDetector::OnServerRestarted(const std::string& server_id,
                                      BootTime began) {
  const auto is_explained = [&](const Loss& loss) {
    return loss.server_id == server_id &&
           loss.time <= began + directory::kMaxClockError;
  };
  std::vector<Loss> explained;
  const auto take = [&](auto& losses) {
    std::ranges::copy_if(losses, std::back_inserter(explained), is_explained);
    std::erase_if(losses, is_explained);
  };
  take(unexplained_);
  if (const auto found = checks_.find(server_id); found != checks_.end()) {
    take(found->second.losses);
    if (found->second.losses.empty()) checks_.erase(found);
  }
  if (!explained.empty()) OnCrashed(server_id, std::move(explained));
}

void CrashDetector::DropExpired(BootTime now) {
  std::erase_if(unexplained_, [&](const Loss& loss) {
    return now - loss.time > kMaxRestartNewsDelay;
  });
}

}  // namespace balsam::gateway
