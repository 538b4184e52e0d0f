// Parsers for JSON and CBOR that other processes wrote. A small text of theirs
// must not exhaust the stack or the memory of this process: the parsers of
// nlohmann::json call themselves for each level of CBOR, a level of JSON takes
// 64 times as much memory as its text, and copies and `dump` call themselves
// for each level of either.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsam::decoding {

// No message or record is nested deeper.
inline constexpr std::size_t kMaxDepth = 32;
// Values in one text, with those of its arrays and objects. The largest
// configuration and the longest list of changes have a fraction of it.
inline constexpr std::size_t kMaxValues = 1 << 18;

// Returns a discarded value, as `nlohmann::json::parse` does without
// exceptions, if `text` is not JSON or exceeds a limit above.
nlohmann::json ParseJson(std::string_view text);

// A JSON text without its long strings.
struct CutJson {
  // The text with a mark and an index in place of each of them.
  std::string rest;
  // What was in their places.
  std::vector<std::string_view> strings;
};

// Takes out the strings of more than `min_bytes`, which a parser would read
// character by character, if they have neither escapes nor other than printable
// ASCII. `mark` must not occur in `text`, and be printable ASCII.
CutJson CutLongStrings(std::string_view text, std::size_t min_bytes,
                       std::string_view mark);

// A JSON object, apart from the elements of one array among its members.
struct SplitObject {
  // The object with that array empty.
  std::string rest;
  // The elements, as they are written in the text.
  std::vector<std::string_view> elements;
};

// Splits `text` so that elements that did not change need not be parsed again.
// `text` is valid JSON if `rest` and all elements are. Returns nothing if there
// is no such array; one whose name has escapes is not found.
std::optional<SplitObject> SplitMember(std::string_view text,
                                       std::string_view member);

// The same for CBOR (RFC 8949). Only what `nlohmann::json::to_cbor` writes of
// integers, texts, arrays, objects, booleans and null is accepted.
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace balsam::decoding
