// Appends tokens without gaps or duplicates.
#include "libraries/generation/token_log.h"

#include <algorithm>

namespace balsam::generation {

bool TokenLog::Append(std::uint64_t first,
                      std::span<const std::string> tokens) {
  if (first > end()) return false;
  const auto known_count =
      std::min<std::uint64_t>(end() - first, tokens.size());
  std::ranges::for_each(tokens.subspan(known_count),
                        [this](const std::string& token) {
                          bytes_ += token.size();
                          tokens_.push_back(token);
                        });
  return true;
}

std::span<const std::string> TokenLog::TokensFrom(std::uint64_t first,
                                                  std::size_t limit) const {
  if (first >= end()) return {};
  const auto count = std::min<std::uint64_t>(end() - first, limit);
  return std::span(tokens_).subspan(first, count);
}

}  // namespace balsam::generation
