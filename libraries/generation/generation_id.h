// The identity of one generation or call: the VM and the incarnation of the
// sidecar that holds it, and a counter there. Nothing has to be looked up to
// find its holder, and an id of an earlier incarnation never matches a later
// one.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsam::generation {

struct GenerationId {
  std::string vm;
  // Unique to one run of one sidecar process.
  std::uint64_t incarnation = 0;
  std::uint64_t counter = 0;

  auto operator<=>(const GenerationId&) const = default;

  // Returns `vm~incarnation~counter`, the numbers in hexadecimal.
  std::string ToText() const;
  // Returns nothing if `text` is not of that form.
  static std::optional<GenerationId> Parse(std::string_view text);
};

// The place of one event in a generation, as callers see it in event ids.
struct EventId {
  GenerationId generation;
  // The sequence number of the token after the last one that was delivered.
  std::uint64_t next = 0;

  // Returns `generation:next`.
  std::string ToText() const;
  static std::optional<EventId> Parse(std::string_view text);
};

}  // namespace balsam::generation
