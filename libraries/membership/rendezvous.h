// Rendezvous hashing: all processes that know the same ids rank them
// identically for a key, and removing an id moves only the keys of that id.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsam::membership {

// Returns `ids` from the highest to the lowest rank for `key`.
std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> ids);

// Returns the highest-ranked id for `key`, or an empty string if `ids` is
// empty.
std::string RendezvousFirst(std::string_view key,
                            const std::vector<std::string>& ids);

// Returns a 64-bit hash that is the same in every process and release.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

}  // namespace balsam::membership
