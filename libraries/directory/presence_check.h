// Decides from attempts to connect whether a server is still there. A lost
// response alone does not show that it is gone: a server may lose one and serve
// on. One that crashed accepts no connection until it has started again, which
// takes some seconds.
#pragma once

namespace balsam::directory {

// What an attempt to connect to a server came to.
enum class Contact {
  // The connection is established.
  kAccepted,
  // It tells nothing: the server accepted the connection and closed it, since
  // it
  // has too many or its process is just ending, or it could not be opened here.
  kInconclusive,
  // Nothing listens there.
  kRefused,
  // No answer arrived in time: the server's machine may be gone, or packets may
  // have been lost.
  kTimedOut,
};

enum class Presence {
  // The server is to be contacted again.
  kUnknown,
  kPresent,
  kGone,
};

class PresenceCheck {
 public:
  struct Limits {
    // Consecutive contacts without an answer that show that it is gone.
    int timeouts_for_gone = 2;
    // After this many contacts, a server that accepts connections is present.
    int max_contacts = 4;
  };

  PresenceCheck() = default;
  explicit PresenceCheck(Limits limits) : limits_(limits) {}

  Presence OnContact(Contact contact) {
    ++contacts_;
    timeouts_ = contact == Contact::kTimedOut ? timeouts_ + 1 : 0;
    if (contact == Contact::kAccepted) return Presence::kPresent;
    if (contact == Contact::kRefused) return Presence::kGone;
    if (timeouts_ >= limits_.timeouts_for_gone) return Presence::kGone;
    const bool is_last = contacts_ >= limits_.max_contacts && timeouts_ == 0;
    return is_last ? Presence::kPresent : Presence::kUnknown;
  }

 private:
  Limits limits_;
  int contacts_ = 0;
  // The latest contacts in a row that got no answer.
  int timeouts_ = 0;
};

}  // namespace balsam::directory
