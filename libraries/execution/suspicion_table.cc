// Blame, clearing and expiry.
#include "libraries/execution/suspicion_table.h"

#include <algorithm>

namespace balsam::execution {
namespace {

constexpr std::int64_t kCrashesToQuarantine = 2;

}  // namespace

void SuspicionTable::OnCrash(std::span<const std::uint64_t> fingerprints,
                             BootTime now) {
  const auto is_suspect = [&](std::uint64_t fingerprint) {
    return CrashesOf(fingerprint, now) > 0;
  };
  const bool suspect_ran = std::ranges::any_of(fingerprints, is_suspect);
  std::ranges::for_each(fingerprints, [&](std::uint64_t fingerprint) {
    if (suspect_ran && !is_suspect(fingerprint)) return;
    Learn(fingerprint, CrashesOf(fingerprint, now) + 1, now);
  });
}

void SuspicionTable::OnCompleted(std::uint64_t fingerprint) {
  suspicions_.erase(fingerprint);
}

void SuspicionTable::Learn(std::uint64_t fingerprint, std::int64_t crashes,
                           BootTime now) {
  if (crashes <= CrashesOf(fingerprint, now)) return;
  suspicions_[fingerprint] = {crashes, now + lifetime_};
}

std::int64_t SuspicionTable::CrashesOf(std::uint64_t fingerprint,
                                       BootTime now) const {
  const auto found = suspicions_.find(fingerprint);
  if (found == suspicions_.end() || found->second.expires <= now) return 0;
  return found->second.crashes;
}

SuspicionTable::Verdict SuspicionTable::VerdictOn(std::uint64_t fingerprint,
                                                  BootTime now) const {
  const std::int64_t crashes = CrashesOf(fingerprint, now);
  if (crashes >= kCrashesToQuarantine) return Verdict::kQuarantined;
  return crashes > 0 ? Verdict::kSuspect : Verdict::kClear;
}

void SuspicionTable::DropExpired(BootTime now) {
  std::erase_if(suspicions_, [now](const auto& entry) {
    return entry.second.expires <= now;
  });
}

}  // namespace balsam::execution
