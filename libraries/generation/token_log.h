// The log of one generation's tokens. Each reader reads it from its own
// sequence number.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace balsam::generation {

class TokenLog {
 public:
  // Appends the tokens that begin at sequence number `first`. Tokens that are
  // already stored are skipped, since a resumed stream may repeat them. Returns
  // false and appends nothing if `first` would leave a gap.
  bool Append(std::uint64_t first, std::span<const std::string> tokens);

  // Returns up to `limit` tokens from sequence number `first` on.
  std::span<const std::string> TokensFrom(std::uint64_t first,
                                          std::size_t limit) const;

  // The sequence number after the last token.
  std::uint64_t end() const { return tokens_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  // The index equals the sequence number: no tokens are dropped from the front,
  // because a reader may reconnect.
  std::vector<std::string> tokens_;
  std::size_t bytes_ = 0;
};

}  // namespace balsam::generation
