// Counting, clearing and expiry of crashes.
#include "libraries/execution/crash_tracker.h"

#include <algorithm>

namespace balsam::execution {
namespace {

constexpr std::int64_t kQuarantineCrashes = 2;

}  // namespace

void CrashTracker::OnCrash(std::span<const std::uint64_t> fingerprints,
                           BootTime now) {
  const auto is_suspect = [&](std::uint64_t fingerprint) {
    return CrashesOf(fingerprint, now) > 0;
  };
  const bool any_suspect = std::ranges::any_of(fingerprints, is_suspect);
  std::ranges::for_each(fingerprints, [&](std::uint64_t fingerprint) {
    if (any_suspect && !is_suspect(fingerprint)) return;
    MergeCrashCount(fingerprint, CrashesOf(fingerprint, now) + 1, now);
  });
}

void CrashTracker::OnCompleted(std::uint64_t fingerprint) {
  crashes_.erase(fingerprint);
}

void CrashTracker::MergeCrashCount(std::uint64_t fingerprint,
                                   std::int64_t crashes, BootTime now) {
  if (crashes <= CrashesOf(fingerprint, now)) return;
  crashes_[fingerprint] = {crashes, now + lifetime_};
}

std::int64_t CrashTracker::CrashesOf(std::uint64_t fingerprint,
                                     BootTime now) const {
  const auto found = crashes_.find(fingerprint);
  if (found == crashes_.end() || found->second.expires <= now) return 0;
  return found->second.crashes;
}

CrashTracker::Status CrashTracker::StatusOf(std::uint64_t fingerprint,
                                            BootTime now) const {
  const std::int64_t crashes = CrashesOf(fingerprint, now);
  if (crashes >= kQuarantineCrashes) return Status::kQuarantined;
  return crashes > 0 ? Status::kSuspect : Status::kClear;
}

void CrashTracker::DropExpired(BootTime now) {
  std::erase_if(crashes_, [now](const auto& entry) {
    return entry.second.expires <= now;
  });
}

}  // namespace balsam::execution
