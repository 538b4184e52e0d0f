// Requests for permits and their replies, sent as datagrams.
#include "services/gateway/permit_exchange.h"

#include <QTimer>
#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// An issuer replies within a few milliseconds.
constexpr milliseconds kReplyTimeout{30};
// When to ask again after an issuer did not reply; the other one is asked then.
constexpr milliseconds kUnansweredRetry{50};
// Requests of this gateway for permits of one server at a time, and when those
// beyond ask: a long queue would ask all at once each time.
constexpr std::ptrdiff_t kMaxPendingRequests = 8;
constexpr milliseconds kCrowdedRetry{10};

}  // namespace

PermitExchange::PermitExchange(std::string own_ip, GatewayContext& context,
                               LoadExchange& loads, Send send)
    : own_ip_(std::move(own_ip)),
      context_(context),
      loads_(loads),
      send_(std::move(send)) {
  context_.request_permit = [this](const std::string& server_id,
                                   PermitCallback on_result) {
    return RequestPermit(server_id, std::move(on_result));
  };
}

void PermitExchange::OnGossipRound() { permits_.RemoveIdle(BootClock::now()); }

bool PermitExchange::IsIssuer(const std::string& issuer) const {
  // There is none while this gateway is alone and has just started.
  return issuer.empty() || issuer == own_ip_;
}

limits::IssuerRole PermitExchange::RoleFor(std::uint32_t server) {
  return IsIssuer(loads_.PrimaryAggregatorOf(server))
             ? limits::IssuerRole::kPrimary
             : limits::IssuerRole::kBackup;
}

limits::PermitIssuer::Decision PermitExchange::Decide(
    std::uint32_t server, const std::string& entry) {
  const auto decision = permits_.Request(context_.limits, server, entry,
                                         RoleFor(server), BootClock::now());
  if (context_.limits.LimitOf(server).has_value()) {
    context_.metrics.CountEvent(decision.is_granted ? "permits_granted_total"
                                                    : "permits_denied_total");
  }
  return decision;
}

void PermitExchange::Charge(std::uint32_t server) {
  permits_.Charge(context_.limits, server, RoleFor(server), BootClock::now());
}

void PermitExchange::Deny(const std::string& server_id,
                          milliseconds retry_after) {
  context_.selector.OnPermitDenied(server_id, BootClock::now() + retry_after);
}

std::ptrdiff_t PermitExchange::PendingRequests(
    const std::string& server_id) const {
  return std::ranges::count_if(pending_, [&](const auto& item) {
    return item.second.server_id == server_id;
  });
}

PermitResult PermitExchange::RequestPermit(const std::string& server_id,
                                           PermitCallback on_result) {
  const std::uint32_t server = dispatch::ServerKey(server_id);
  if (!context_.limits.LimitOf(server).has_value()) {
    return PermitResult::kGranted;
  }
  const std::string issuer = loads_.AggregatorToQuery(server);
  if (IsIssuer(issuer)) {
    if (!on_result) {
      Charge(server);
      return PermitResult::kGranted;
    }
    const auto decision = Decide(server, own_ip_);
    if (decision.is_granted) return PermitResult::kGranted;
    Deny(server_id, decision.retry_after);
    return PermitResult::kDenied;
  }
  if (on_result && PendingRequests(server_id) >= kMaxPendingRequests) {
    Deny(server_id, kCrowdedRetry);
    return PermitResult::kDenied;
  }
  gossip::PermitRequest request;
  request.limit = context_.limits.StatementForMessage(server, BootClock::now());
  request.cold_requests_per_second = context_.limits.OwnColdRateOf(server);
  if (!on_result) {
    send_(issuer, gossip::Encode(request));
    return PermitResult::kGranted;
  }
  request.id = ++last_id_;
  pending_.emplace(request.id,
                   PendingRequest{server_id, issuer, std::move(on_result)});
  send_(issuer, gossip::Encode(request));
  QTimer::singleShot(kReplyTimeout, Qt::PreciseTimer, this,
                     [this, id = request.id] { OnTimeout(id); });
  return PermitResult::kPending;
}

void PermitExchange::OnTimeout(std::uint64_t request_id) {
  auto request = pending_.extract(request_id);
  if (request.empty()) return;
  LogEvent("permit_unanswered", LogEvent::Level::kWarning)
      .With("server", request.mapped().server_id)
      .With("keeper", request.mapped().issuer);
  loads_.OnAggregatorUnresponsive(request.mapped().issuer);
  Deny(request.mapped().server_id, kUnansweredRetry);
  request.mapped().on_result(false);
}

void PermitExchange::OnStatement(const limits::Statement& statement,
                                 const std::string& sender) {
  if (!context_.limits.OnStatement(statement, BootClock::now())) return;
  LogEvent("server_limit_from_peer")
      .With("peer", sender)
      .With("key", std::to_string(statement.server))
      .With("limited", statement.requests_per_second.has_value() ? 1 : 0)
      .With("per_second",
            std::to_string(statement.requests_per_second.value_or(0.0)));
}

void PermitExchange::OnMessage(const gossip::PermitRequest& request,
                               const std::string& sender) {
  OnStatement(request.limit, sender);
  const std::uint32_t server = request.limit.server;
  if (request.cold_requests_per_second.has_value()) {
    context_.limits.OnColdClaim(server, *request.cold_requests_per_second,
                                BootClock::now());
  }
  if (request.id == 0) {
    Charge(server);
    return;
  }
  const auto decision = Decide(server, sender);
  send_(sender,
        gossip::Encode(gossip::PermitReply{
            request.id, decision.is_granted, decision.retry_after,
            context_.limits.StatementForMessage(server, BootClock::now())}));
}

void PermitExchange::OnMessage(const gossip::PermitReply& reply,
                               const std::string& sender) {
  OnStatement(reply.limit, sender);
  const auto found = pending_.find(reply.id);
  if (found == pending_.end() || found->second.issuer != sender) return;
  const PendingRequest request = std::move(found->second);
  pending_.erase(found);
  if (!reply.is_granted) Deny(request.server_id, reply.retry_after);
  request.on_result(reply.is_granted);
}

}  // namespace balsam::gateway
