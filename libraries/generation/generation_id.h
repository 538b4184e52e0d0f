// The id of one generation or call: the VM and incarnation of its sidecar, and
// a number that is unique there. The sidecar is found from the id without a
// lookup, and an id of an earlier incarnation never matches a later one.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsam::generation {

struct GenerationId {
  std::string vm;
  // Unique to one start of one sidecar process.
  std::uint64_t incarnation = 0;
  std::uint64_t local_id = 0;

  auto operator<=>(const GenerationId&) const = default;

  // Returns `vm~incarnation~local_id` with the numbers in hexadecimal.
  std::string ToText() const;
  // Returns nothing if `text` is not of that form.
  static std::optional<GenerationId> Parse(std::string_view text);
};

// The position of an event in a generation, as event ids encode it for callers.
struct EventId {
  GenerationId generation;
  // The sequence number of the token after the last one that was delivered.
  std::uint64_t next = 0;

  // Returns `generation:next`.
  std::string ToText() const;
  static std::optional<EventId> Parse(std::string_view text);
};

}  // namespace balsam::generation
