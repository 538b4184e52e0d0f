// Keeps the newest statement of each server, and which servers are cold.
#include "libraries/limits/limit_table.h"

#include <algorithm>

namespace balsam::limits {

using std::chrono::milliseconds;

namespace {

// Of two limits, the one that binds.
std::optional<double> Smaller(std::optional<double> first,
                              std::optional<double> second) {
  if (!first.has_value() || !second.has_value()) {
    return first.has_value() ? first : second;
  }
  return std::min(*first, *second);
}

// Returns the rate of a server in one of the maps of cold servers.
std::optional<double> FindRate(const auto& rates, std::uint32_t server) {
  const auto found = rates.find(server);
  return found == rates.end()
             ? std::nullopt
             : std::optional(found->second.requests_per_second);
}

}  // namespace

bool LimitTable::Update(std::uint32_t server, Record record) {
  if (record.requests_per_second.has_value()) {
    record.requests_per_second =
        std::clamp(*record.requests_per_second, 0.0, kMaxRequestsPerSecond);
  }
  const auto found = records_.find(server);
  if (found == records_.end()) {
    records_.emplace(server, record);
    return record.requests_per_second.has_value();
  }
  if (record.stated_at < found->second.stated_at) return false;
  const bool changed =
      found->second.requests_per_second != record.requests_per_second;
  found->second = record;
  return changed;
}

bool LimitTable::OnResponse(std::uint32_t server,
                            std::optional<double> requests_per_second,
                            BootTime now) {
  if (!requests_per_second.has_value() && !records_.contains(server)) {
    return false;
  }
  return Update(server, {requests_per_second, now});
}

void LimitTable::OnRestarted(std::uint32_t server, BootTime began) {
  if (records_.contains(server)) Update(server, {std::nullopt, began});
}

bool LimitTable::OnStatement(const Statement& statement, BootTime now) {
  const Record record{statement.requests_per_second,
                      now - std::max(statement.age, milliseconds(0))};
  return !HasExpired(record, now) && Update(statement.server, record);
}

bool LimitTable::HasExpired(const Record& record, BootTime now) {
  return now - record.stated_at > (record.requests_per_second.has_value()
                                       ? kLimitRetention
                                       : kEndRetention);
}

void LimitTable::RemoveExpired(BootTime now) {
  std::erase_if(records_, [now](const auto& item) {
    return HasExpired(item.second, now);
  });
  for (ColdRates* rates : {&cold_, &claimed_cold_}) {
    std::erase_if(*rates,
                  [now](const auto& item) { return item.second.until <= now; });
  }
}

bool LimitTable::SetCold(std::uint32_t server, double requests_per_second,
                         BootTime until) {
  return cold_.insert_or_assign(server, ColdRate{requests_per_second, until})
      .second;
}

void LimitTable::OnColdClaim(std::uint32_t server, double requests_per_second,
                             BootTime now) {
  claimed_cold_.insert_or_assign(
      server,
      ColdRate{std::clamp(requests_per_second, 0.0, kMaxRequestsPerSecond),
               now + kColdClaimRetention});
}

void LimitTable::Forget(std::uint32_t server) {
  records_.erase(server);
  cold_.erase(server);
  claimed_cold_.erase(server);
}

std::optional<double> LimitTable::LimitOf(std::uint32_t server) const {
  return Smaller(StatedLimitOf(server), ColdRateOf(server));
}

std::optional<double> LimitTable::OwnColdRateOf(std::uint32_t server) const {
  return FindRate(cold_, server);
}

std::optional<double> LimitTable::ColdRateOf(std::uint32_t server) const {
  return Smaller(OwnColdRateOf(server), FindRate(claimed_cold_, server));
}

std::optional<double> LimitTable::StatedLimitOf(std::uint32_t server) const {
  const auto found = records_.find(server);
  return found == records_.end() ? std::nullopt
                                 : found->second.requests_per_second;
}

Statement LimitTable::ToStatement(std::uint32_t server, const Record& record,
                                  BootTime now) {
  return {server, record.requests_per_second,
          std::chrono::duration_cast<milliseconds>(now - record.stated_at)};
}

std::optional<Statement> LimitTable::StatementOf(std::uint32_t server,
                                                 BootTime now) const {
  const auto found = records_.find(server);
  if (found == records_.end()) return std::nullopt;
  return ToStatement(server, found->second, now);
}

Statement LimitTable::StatementForMessage(std::uint32_t server,
                                          BootTime now) const {
  return StatementOf(server, now)
      .value_or(
          Statement{server, std::nullopt, kEndRetention + milliseconds(1000)});
}

std::vector<Statement> LimitTable::TakeStatements(std::size_t max_count,
                                                  BootTime now) {
  std::vector<Statement> statements;
  auto next = records_.upper_bound(last_taken_);
  for (std::size_t i = 0; i < std::min(max_count, records_.size()); ++i) {
    if (next == records_.end()) next = records_.begin();
    statements.push_back(ToStatement(next->first, next->second, now));
    last_taken_ = next->first;
    ++next;
  }
  return statements;
}

}  // namespace balsam::limits
