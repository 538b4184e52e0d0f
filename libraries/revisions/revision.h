// Revisions that order all states of a store, also across its restoration from
// an older copy, after which it counts from a lower value again.
#pragma once

#include <cstdint>
#include <optional>

namespace balsam::revisions {

// The era is in the upper bits, so that every revision of an era is greater
// than those of the eras before.
inline constexpr int kCounterBits = 48;
inline constexpr std::uint64_t kMaxCounter =
    (std::uint64_t{1} << kCounterBits) - 1;
inline constexpr std::uint64_t kMaxEra =
    (std::uint64_t{1} << (64 - kCounterBits)) - 1;

// `era`: how many times the store was restored. `counter`: its own count of
// changes. Returns nothing if one of them is too large.
constexpr std::optional<std::uint64_t> MakeRevision(std::uint64_t era,
                                                    std::uint64_t counter) {
  if (era > kMaxEra || counter > kMaxCounter) return std::nullopt;
  return (era << kCounterBits) | counter;
}

constexpr std::uint64_t EraOf(std::uint64_t revision) {
  return revision >> kCounterBits;
}

constexpr std::uint64_t CounterOf(std::uint64_t revision) {
  return revision & kMaxCounter;
}

}  // namespace balsam::revisions
