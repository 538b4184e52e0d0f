// Decides whether a server crashed when a response of it was lost, from
// attempts to reach the server again. A lost response alone does not show it: a
// server may lose one and serve on. A server that crashed accepts no connection
// until it has started again, which takes some seconds.
#pragma once

namespace balsam::quarantine {

// What an attempt to connect to the server came to.
enum class Contact {
  // The connection is established and stays open.
  kAccepted,
  // It tells nothing: the server accepted the connection and closed it, since
  // it
  // has too many or its process is just ending, or it could not be opened here.
  kClosed,
  // Nothing listens there.
  kRefused,
  // No answer arrived in time: the server's machine may be gone, or packets may
  // have been lost.
  kTimedOut,
};

enum class CrashVerdict { kUnknown, kCrashed, kAlive };

class CrashCheck {
 public:
  struct Limits {
    // Consecutive contacts without an answer that show a crash.
    int timeouts_for_crash = 2;
    // After this many contacts, a server that accepts connections is alive.
    int max_contacts = 4;
  };

  explicit CrashCheck(Limits limits) : limits_(limits) {}

  // Until the verdict is known, the server is to be contacted again.
  CrashVerdict OnContact(Contact contact) {
    ++contacts_;
    timeouts_ = contact == Contact::kTimedOut ? timeouts_ + 1 : 0;
    if (contact == Contact::kAccepted) return CrashVerdict::kAlive;
    if (contact == Contact::kRefused) return CrashVerdict::kCrashed;
    if (timeouts_ >= limits_.timeouts_for_crash) return CrashVerdict::kCrashed;
    const bool is_last = contacts_ >= limits_.max_contacts && timeouts_ == 0;
    return is_last ? CrashVerdict::kAlive : CrashVerdict::kUnknown;
  }

 private:
  Limits limits_;
  int contacts_ = 0;
  // The latest contacts in a row that got no answer.
  int timeouts_ = 0;
};

}  // namespace balsam::quarantine
