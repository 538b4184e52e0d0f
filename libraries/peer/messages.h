// The messages between our processes. Each travels as one frame: a CBOR array
// of its number and a map from field numbers to values. Unknown fields are
// ignored and absent ones keep their defaults, so that versions can meet.
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
#include "libraries/execution/work.h"
#include "libraries/orders/order_book.h"
#include "libraries/revisions/revisioned_text.h"

namespace balsam::peer {

// Paths of the HTTP/2 streams, one for each kind of request.
inline constexpr char kExecutePath[] = "/execute";
inline constexpr char kResumePath[] = "/resume";
inline constexpr char kTicketPath[] = "/ticket";
inline constexpr char kConfirmPath[] = "/confirm";
inline constexpr char kGossipPath[] = "/gossip";
inline constexpr char kOrderPath[] = "/order";

// Asks a sidecar to run work. Answered by Accepted, Tokens and Finished.
struct ExecuteRequest {
  execution::WorkItem work;
};

// Asks for a generation's tokens from `next` on. Answered like an execution.
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
  // The asker takes no keys any more.
  bool keys_relinquished = false;
};

struct ConfirmReply {
  execution::Confirmation confirmation;
  // The answering sidecar's list, if it is newer than the asker's.
  std::string list_text;
};

// What one process knows of the platform's published state. The answer holds
// the content of what the asker lacks.
struct GossipRequest {
  std::string vm;
  std::uint64_t template_revision = 0;
  std::uint64_t list_revision = 0;
  // The asker could not use a change, and wants whole texts.
  bool whole = false;
  // What the asker has reason to think the other lacks; often empty.
  revisions::TextDelta list_change;
};

struct GossipReply {
  std::uint64_t template_revision = 0;
  std::uint64_t list_revision = 0;
  revisions::TextDelta template_change;
  revisions::TextDelta list_change;
};

struct AcceptedReply {
  std::string generation;
  execution::LoadReport load;
};

struct TokensReply {
  std::string generation;
  std::uint64_t first = 0;
  std::vector<std::string> tokens;
};

struct FinishedReply {
  // Empty if nothing was taken on.
  std::string generation;
  Outcome outcome;
  // Crashes that the request is blamed for at this sidecar.
  std::int64_t crash_count = 0;
  execution::LoadReport load;
};

// Tells a sidecar what operators published for its engine.
struct OrderNotice {
  std::string vm;
  orders::DesiredState desired;
};

struct OrderReply {
  std::uint64_t revision = 0;
  // The engine was seen in the published state.
  bool settled = false;
  // The engine has taken a higher number than the sidecar knows.
  bool superseded = false;
};

using Message =
    std::variant<ExecuteRequest, ResumeRequest, TicketRequest, TicketReply,
                 ConfirmRequest, ConfirmReply, GossipRequest, GossipReply,
                 AcceptedReply, TokensReply, FinishedReply, OrderNotice,
                 OrderReply>;

QByteArray Encode(const Message& message);

// Fails with kInvalidPeerMessage, naming what does not fit. Never crashes,
// whatever the bytes are.
Result<Message> Decode(const QByteArray& frame);

// The same for callers that need no reason; nothing if the frame does not fit.
std::optional<Message> DecodeIfValid(const QByteArray& frame);

}  // namespace balsam::peer
