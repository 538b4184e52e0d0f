// Comparison of secrets without a timing side channel.
#pragma once

#include <functional>
#include <numeric>
#include <string_view>

namespace balsam {

// Returns whether both are equal, in a time that depends only on the lengths.
inline bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  const int difference =
      std::transform_reduce(a.begin(), a.end(), b.begin(), 0, std::bit_or<>(),
                            [](char left, char right) { return left ^ right; });
  return difference == 0;
}

}  // namespace balsam
