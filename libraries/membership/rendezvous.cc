// Rendezvous hashing over XXH3.
#include "libraries/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace balsam::membership {
namespace {

// Includes the id to break ties, so that ids with equal hashes also rank
// identically in every process.
std::pair<std::uint64_t, std::string_view> RankOf(std::uint64_t key_hash,
                                                  std::string_view id) {
  return {StableHash(id, key_hash), id};
}

}  // namespace

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> ids) {
  const std::uint64_t key_hash = StableHash(key);
  std::ranges::sort(ids, std::greater<>(), [key_hash](const std::string& id) {
    return RankOf(key_hash, id);
  });
  return ids;
}

std::string RendezvousFirst(std::string_view key,
                            const std::vector<std::string>& ids) {
  const std::uint64_t key_hash = StableHash(key);
  const auto first = std::ranges::max_element(
      ids, {},
      [key_hash](const std::string& id) { return RankOf(key_hash, id); });
  return first == ids.end() ? std::string() : *first;
}

}  // namespace balsam::membership
