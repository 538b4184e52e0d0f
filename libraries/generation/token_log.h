// The bounded log of one generation's tokens, which every reader of it replays
// from a sequence number of its own.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace balsam::generation {

class TokenLog {
 public:
  // Appends the tokens that begin at sequence number `first`. Tokens that are
  // already held are skipped, since a resumed stream may repeat them. Returns
  // false, and takes nothing, if `first` would leave a gap.
  bool Append(std::uint64_t first, std::span<const std::string> tokens);

  // Returns up to `limit` tokens from sequence number `first` on.
  std::span<const std::string> From(std::uint64_t first,
                                    std::size_t limit) const;

  // The sequence number after the last token.
  std::uint64_t end() const { return tokens_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  // Index and sequence number are the same: nothing is dropped from the front
  // while a reader may still reconnect.
  std::vector<std::string> tokens_;
  std::size_t bytes_ = 0;
};

}  // namespace balsam::generation
