// The messages between the processes of a deployment. Each is encoded as one
// frame: a CBOR array of the message number and a map from field numbers to
// values. Unknown fields are ignored and absent fields keep their defaults, so
// that processes of different versions can communicate.
#pragma once

#include <QByteArray>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/outcome.h"
#include "libraries/execution/executor.h"
#include "libraries/execution/work_item.h"
#include "libraries/orders/engine_reconciler.h"
#include "libraries/revisions/revisioned_text.h"

namespace balsam::peer {

// Paths of the HTTP/2 streams, one for each kind of request.
inline constexpr char kExecutePath[] = "/execute";
inline constexpr char kResumePath[] = "/resume";
inline constexpr char kTicketPath[] = "/ticket";
inline constexpr char kConfirmPath[] = "/confirm";
inline constexpr char kGossipPath[] = "/gossip";
inline constexpr char kOrderPath[] = "/order";

// Asks a sidecar to run work. The replies are AcceptedReply, TokensReply and
// FinishedReply.
struct ExecuteRequest {
  execution::WorkItem work;
};

// Asks for a generation's tokens from `next` on. The replies are those of
// ExecuteRequest.
struct ResumeRequest {
  std::string request_id;
  std::string workspace;
  std::string generation;
  std::uint64_t next = 0;
};

struct TicketRequest {
  std::string workspace;
};

struct TicketReply {
  std::string ticket;
};

// Asks a sidecar of the same service to confirm; see KeyOwnership.
struct ConfirmRequest {
  std::string vm;
  std::uint64_t incarnation = 0;
  std::uint64_t list_revision = 0;
  std::string list_text;
  // The requester has relinquished its idempotency keys: it accepts no more
  // calls with a key.
  bool keys_relinquished = false;
};

struct ConfirmReply {
  execution::Confirmation confirmation;
  // The replying sidecar's VM list, if it is newer than the requester's.
  std::string list_text;
};

// The revisions of the platform's published state that the requester has. The
// reply contains the content that the requester lacks.
struct GossipRequest {
  std::string vm;
  std::uint64_t template_revision = 0;
  std::uint64_t list_revision = 0;
  // The requester could not apply a change and asks for full texts.
  bool wants_full_text = false;
  // A change that the requester expects the receiver to lack; often empty.
  revisions::TextDelta list_change;
  // What entries know of requests that crash backend servers
  // (`quarantine::Encode`); often empty.
  std::string crash_evidence;
};

struct GossipReply {
  std::uint64_t template_revision = 0;
  std::uint64_t list_revision = 0;
  revisions::TextDelta template_change;
  revisions::TextDelta list_change;
  std::string crash_evidence;
};

struct AcceptedReply {
  std::string generation;
  execution::LoadReport load;
  // The path and the model that the generation was requested with, for a reader
  // that resumes it through another entry.
  std::string path;
  std::string model;
};

struct TokensReply {
  std::string generation;
  std::uint64_t first = 0;
  std::vector<std::string> tokens;
};

struct FinishedReply {
  // Empty if the work was not accepted.
  std::string generation;
  Outcome outcome;
  // Backend server crashes counted for the request at this sidecar.
  std::int64_t crash_count = 0;
  execution::LoadReport load;
  // The backend server crashed before the work proved harmless: how long ago
  // that was, and how long ago the work had begun to run.
  bool is_suspected = false;
  std::chrono::milliseconds crash_age{0};
  std::chrono::milliseconds run_age{0};
};

// Sends a sidecar the order that operators published for its engine.
struct OrderNotice {
  std::string vm;
  orders::DesiredState desired;
  // From the sidecar's last reply, which shows that the notice is newer than
  // it; zero before the first.
  std::uint64_t challenge = 0;
};

struct OrderReply {
  std::uint64_t revision = 0;
  // The engine was observed in the published state.
  bool settled = false;
  // The engine has accepted a higher fencing number than the sidecar knows.
  bool superseded = false;
  // See `orders::EngineReconciler::challenge`.
  std::uint64_t challenge = 0;
};

using Message =
    std::variant<ExecuteRequest, ResumeRequest, TicketRequest, TicketReply,
                 ConfirmRequest, ConfirmReply, GossipRequest, GossipReply,
                 AcceptedReply, TokensReply, FinishedReply, OrderNotice,
                 OrderReply>;

QByteArray Encode(const Message& message);

// Fails with kInvalidPeerMessage and the first invalid part. Accepts arbitrary
// bytes without crashing.
Result<Message> Decode(const QByteArray& frame);

// Like Decode, but returns nullopt for an invalid frame and gives no reason.
std::optional<Message> DecodeIfValid(const QByteArray& frame);

}  // namespace balsam::peer
