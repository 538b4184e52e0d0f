// Parsers for JSON and CBOR that other processes wrote. A small text of theirs
// must not exhaust the stack or the memory of this process: the parsers of
// nlohmann::json call themselves for each level of CBOR, a level of JSON takes
// 64 times as much memory as its text, and copies and `dump` call themselves
// for each level of either.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace balsam::decoding {

// No message or record is nested deeper.
inline constexpr std::size_t kMaxDepth = 32;
// Values in one text, with those of its arrays and objects. The largest
// configuration and the longest list of changes have a fraction of it.
inline constexpr std::size_t kMaxValues = 1 << 18;

// Returns a discarded value, as `nlohmann::json::parse` does without
// exceptions, if `text` is not JSON or exceeds a limit above.
nlohmann::json ParseJson(std::string_view text);

// The same for CBOR (RFC 8949). Only what `nlohmann::json::to_cbor` writes of
// integers, texts, arrays, objects, booleans and null is accepted.
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace balsam::decoding
