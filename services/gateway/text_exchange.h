// Long texts of the replica, such as the configuration, cross between gateways
// by themselves, so that short changes do not wait for them. A gateway sends
// the change since the text that the other one has, or the whole, compressed.
// What arrived of a response that ended is kept, and the next peer goes on from
// there. A gateway whose link is busy with texts refers others to its peers.
#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/gossip/change_set.h"
#include "libraries/gossip/send_rate_limiter.h"
#include "libraries/revisions/revisioned_map.h"
#include "libraries/revisions/revisioned_text.h"
#include "services/gateway/outbound_connection.h"
#include "services/gateway/simple_http_server.h"

namespace balsam::gateway {

class TextExchange : public QObject {
  Q_OBJECT

 public:
  // Texts longer than this are sent by themselves.
  static constexpr std::size_t kMinLongText = 8 << 10;

  struct Limits {
    // Bytes of texts that are sent to peers in a second, in the long run.
    double sent_bytes_per_second = 1e6;
    // From the request to the first byte of the response.
    std::chrono::milliseconds response_timeout{1000};
    net::ProgressLimit::Limits progress{std::chrono::milliseconds(500),
                                        32 << 10};
    // How long one peer is waited for while there is another one to go on with.
    // Doubled each time, since peers may not have the same frame to go on with.
    std::chrono::milliseconds patience{1000};
    // Delay before peers that failed or refused are asked again.
    std::chrono::milliseconds retry_delay{100};
  };

  // Peers are asked at `port`. `replica` must outlive this.
  TextExchange(std::uint16_t port, Limits limits,
               const revisions::RevisionedMap& replica);

  // Whether the text is sent by itself.
  static bool IsLong(const std::string& text) {
    return text.size() > kMinLongText &&
           text.size() <= revisions::kMaxTextBytes;
  }
  static bool IsTarget(const std::string& target);

  // The replica may have changed: keeps the text of `key` if it is long, so
  // that the change to a later one can be sent.
  void Keep(const std::string& key);
  // Responds to a request of a peer.
  HttpResponse Serve(const http1::RequestHead& head);

  // Fetches the text, or a later one of its key, first from `ip`.
  void Fetch(const gossip::TextReference& text, const std::string& ip);
  // Ends the fetches of texts that the replica has.
  void DropKnown();
  // Whether a text of this key is being fetched.
  bool IsFetching(const std::string& key) const {
    return wanted_.contains(key);
  }

  // Returns the peers that have a revision, in the order in which they are to
  // be asked.
  std::function<std::vector<std::string>(std::uint64_t revision)> sources;
  // A text arrived. It is not less than the revision asked for, unless a later
  // one was asked for meanwhile.
  std::function<void(revisions::RevisionedEntry entry)> on_text;

 private:
  // The one request in progress.
  struct Request {
    OutboundConnection* connection = nullptr;
    std::string key;
    std::string ip;
    // Bytes of `partial_` that the peer was told to leave out.
    std::size_t kept_bytes = 0;
  };
  // What has arrived of a response that was not complete.
  struct Partial {
    std::string key;
    // Identifies the frame; equal frames have equal tags at all peers.
    std::string tag;
    std::string bytes;
  };

  // Starts the next request unless one is in progress.
  void RequestNext();
  void SendRequest(const std::string& key, const std::string& ip);
  // Returns the first peer that has not failed; nothing if all have.
  std::optional<std::string> NextSource(std::uint64_t revision) const;
  void OnResponse(const Request& request,
                  const OutboundConnection::Response& response);
  // Keeps what arrived, if it is more than what is kept already.
  void KeepPartial(const Request& request,
                   const OutboundConnection::Response& response);
  // Decodes a complete frame; fails if it is none for a text that is kept here,
  // or if its text is not newer than the one here.
  Result<revisions::RevisionedEntry> Decode(const std::string& key,
                                            const http1::ResponseHead& head,
                                            const std::string& frame);
  void OnFrame(const Request& request, const http1::ResponseHead& head,
               const std::string& frame);
  // Stops waiting for a slow peer if there is another one.
  void OnPatienceEnded();

  std::uint16_t port_;
  Limits limits_;
  const revisions::RevisionedMap& replica_;
  gossip::SendRateLimiter sent_limiter_;
  // The last texts of each key.
  std::map<std::string, revisions::RevisionedText> texts_;
  // The lowest revision that is asked for, by key.
  std::map<std::string, std::uint64_t> wanted_;
  std::optional<Request> request_;
  std::optional<Partial> partial_;
  // Peers that failed, refused or were too slow since the last text arrived.
  std::set<std::string> failed_;
  // Where the next request goes if that peer has not failed; may be empty.
  std::string preferred_ip_;
  // The next request asks for the whole text, since a change did not fit.
  bool needs_whole_ = false;
  // How long the next peer is waited for.
  std::chrono::milliseconds patience_;
  QTimer patience_timer_;
  QTimer retry_timer_;
};

}  // namespace balsam::gateway
