// Typed and validated reading of one JSON object. Each read names a key, its
// type and its range. Keys that are missing, mistyped, out of range or unknown
// are reported as problems with their positions. Used for settings files and
// templates.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libraries/settings/json_document.h"

namespace balsam::settings {

// Reads the members of one object. Call `ReportUnknownKeys` after the last
// read; it reports the keys that were not read.
class ObjectReader {
 public:
  ObjectReader(const JsonDocument& document, std::string pointer,
               std::vector<Problem>& problems);

  // Each read returns the value, or `fallback` if the key is absent or invalid.
  // A key without `fallback` is required. A problem is added for an invalid
  // key, and for a required key that is missing.
  std::string String(const std::string& key,
                     const std::optional<std::string>& fallback = std::nullopt);
  std::int64_t Integer(const std::string& key, std::int64_t minimum,
                       std::int64_t maximum,
                       std::optional<std::int64_t> fallback = std::nullopt);
  double Number(const std::string& key, double minimum, double maximum,
                std::optional<double> fallback = std::nullopt);
  bool Boolean(const std::string& key,
               std::optional<bool> fallback = std::nullopt);
  // A duration is a string with a whole number and a unit: "250ms", "30s", "5m"
  // or "2h".
  std::chrono::milliseconds Duration(
      const std::string& key, std::chrono::milliseconds minimum,
      std::chrono::milliseconds maximum,
      std::optional<std::chrono::milliseconds> fallback = std::nullopt);
  // One of `names`, returned as its index.
  std::size_t Choice(const std::string& key,
                     const std::vector<std::string>& names,
                     std::optional<std::size_t> fallback = std::nullopt);

  bool Has(const std::string& key) const;
  // The object under `key`. An empty object if it is invalid, or absent and not
  // required.
  ObjectReader Object(const std::string& key, bool required = true);
  // The objects of the array under `key`.
  std::vector<ObjectReader> Objects(const std::string& key);
  // The strings of the array under `key`.
  std::vector<std::string> Strings(const std::string& key);
  // All members of this object, which must be objects, with their names.
  std::vector<std::pair<std::string, ObjectReader>> Members();

  void AddProblem(const std::string& key, const std::string& reason);
  void ReportUnknownKeys();

 private:
  const nlohmann::json* Find(const std::string& key, bool required);

  const JsonDocument* document_;
  std::string pointer_;
  const nlohmann::json* object_;
  std::vector<Problem>* problems_;
  std::set<std::string> read_keys_;
};

// Parses a duration with its unit; returns nothing if it is malformed or
// overflows.
std::optional<std::chrono::milliseconds> ParseDuration(const std::string& text);

// Returns the member of `names` with the smallest edit distance from `name`, if
// `name` is likely a misspelling of it.
std::optional<std::string> ClosestName(const std::string& name,
                                       const std::set<std::string>& names);

}  // namespace balsam::settings
