// Typed reads and their checks.
#include "libraries/settings/object_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>
#include <string_view>

namespace balsam::settings {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const json kEmptyObject = json::object();

struct DurationUnit {
  std::string_view suffix;
  std::int64_t milliseconds_each;
};

constexpr std::array kDurationUnits = {
    DurationUnit{"ms", 1}, DurationUnit{"s", 1000}, DurationUnit{"m", 60000},
    DurationUnit{"h", 3600000}};

template <typename Value>
std::string RangeMessage(Value minimum, Value maximum) {
  return "must lie between " + json(minimum).dump() + " and " +
         json(maximum).dump();
}

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> distances(b.size() + 1);
  std::iota(distances.begin(), distances.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = distances[0];
    distances[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = distances[j];
      distances[j] =
          std::min({distances[j] + 1, distances[j - 1] + 1, substituted});
    }
  }
  return distances.back();
}

}  // namespace

ObjectReader::ObjectReader(const JsonDocument& document, std::string pointer,
                           std::vector<Problem>& problems)
    : document_(&document),
      pointer_(std::move(pointer)),
      object_(&kEmptyObject),
      problems_(&problems) {
  const json::json_pointer at(pointer_);
  if (!document.root().contains(at) && !pointer_.empty()) return;
  const json& value = document.root().at(at);
  if (value.is_object()) {
    object_ = &value;
  } else {
    problems.push_back({document.source(), document.PositionOf(pointer_),
                        pointer_.substr(pointer_.rfind('/') + 1),
                        "must be an object"});
  }
}

const json* ObjectReader::Find(const std::string& key, bool required) {
  read_keys_.insert(key);
  const auto found = object_->find(key);
  if (found != object_->end()) return &*found;
  if (required) AddProblem(key, "is required but missing");
  return nullptr;
}

void ObjectReader::AddProblem(const std::string& key,
                              const std::string& reason) {
  problems_->push_back(
      {document_->source(),
       document_->PositionOf(pointer_ + '/' + EscapePointerToken(key)), key,
       reason});
}

bool ObjectReader::Has(const std::string& key) const {
  return object_->contains(key);
}

std::string ObjectReader::String(const std::string& key,
                                 const std::optional<std::string>& fallback) {
  const json* value = Find(key, !fallback.has_value());
  if (value == nullptr) return fallback.value_or("");
  if (!value->is_string()) {
    AddProblem(key, "must be a string");
    return fallback.value_or("");
  }
  return value->get<std::string>();
}

std::int64_t ObjectReader::Integer(const std::string& key, std::int64_t minimum,
                                   std::int64_t maximum,
                                   std::optional<std::int64_t> fallback) {
  const json* value = Find(key, !fallback.has_value());
  if (value == nullptr) return fallback.value_or(minimum);
  if (!value->is_number_integer()) {
    // The parser returns a whole number that exceeds 64 bits as a float.
    AddProblem(
        key, value->is_number_float() && std::abs(value->get<double>()) > 9.2e18
                 ? "number overflows 64 bits"
                 : "must be a whole number");
    return fallback.value_or(minimum);
  }
  const bool too_large =
      value->is_number_unsigned() &&
      value->get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const auto number = too_large ? maximum : value->get<std::int64_t>();
  if (too_large || number < minimum || number > maximum) {
    AddProblem(key, RangeMessage(minimum, maximum));
    return fallback.value_or(minimum);
  }
  return number;
}

double ObjectReader::Number(const std::string& key, double minimum,
                            double maximum, std::optional<double> fallback) {
  const json* value = Find(key, !fallback.has_value());
  if (value == nullptr) return fallback.value_or(minimum);
  if (!value->is_number()) {
    AddProblem(key, "must be a number");
    return fallback.value_or(minimum);
  }
  const auto number = value->get<double>();
  if (!std::isfinite(number) || number < minimum || number > maximum) {
    AddProblem(key, RangeMessage(minimum, maximum));
    return fallback.value_or(minimum);
  }
  return number;
}

bool ObjectReader::Boolean(const std::string& key,
                           std::optional<bool> fallback) {
  const json* value = Find(key, !fallback.has_value());
  if (value == nullptr) return fallback.value_or(false);
  if (!value->is_boolean()) {
    AddProblem(key, "must be true or false");
    return fallback.value_or(false);
  }
  return value->get<bool>();
}

milliseconds ObjectReader::Duration(const std::string& key,
                                    milliseconds minimum, milliseconds maximum,
                                    std::optional<milliseconds> fallback) {
  const json* value = Find(key, !fallback.has_value());
  if (value == nullptr) return fallback.value_or(minimum);
  if (!value->is_string()) {
    AddProblem(key, "must be a duration with its unit, such as \"250ms\"");
    return fallback.value_or(minimum);
  }
  const auto duration = ParseDuration(value->get<std::string>());
  if (!duration.has_value()) {
    AddProblem(key,
               "must be a whole number with unit ms, s, m or h, such as "
               "\"250ms\"");
    return fallback.value_or(minimum);
  }
  if (*duration < minimum || *duration > maximum) {
    AddProblem(key, "must lie between " + std::to_string(minimum.count()) +
                        "ms and " + std::to_string(maximum.count()) + "ms");
    return fallback.value_or(minimum);
  }
  return *duration;
}

std::size_t ObjectReader::Choice(const std::string& key,
                                 const std::vector<std::string>& names,
                                 std::optional<std::size_t> fallback) {
  const json* value = Find(key, !fallback.has_value());
  if (value == nullptr) return fallback.value_or(0);
  const auto found = value->is_string()
                         ? std::ranges::find(names, value->get<std::string>())
                         : names.end();
  if (found == names.end()) {
    const std::string list = std::accumulate(
        names.begin(), names.end(), std::string(),
        [](const std::string& sum, const std::string& name) {
          return sum + (sum.empty() ? "\"" : ", \"") + name + '"';
        });
    AddProblem(key, "must be one of " + list);
    return fallback.value_or(0);
  }
  return static_cast<std::size_t>(found - names.begin());
}

ObjectReader ObjectReader::Object(const std::string& key, bool required) {
  Find(key, required);
  return {*document_, pointer_ + '/' + EscapePointerToken(key), *problems_};
}

std::vector<ObjectReader> ObjectReader::Objects(const std::string& key) {
  std::vector<ObjectReader> readers;
  const json* value = Find(key, true);
  if (value == nullptr) return readers;
  if (!value->is_array()) {
    AddProblem(key, "must be an array of objects");
    return readers;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    readers.emplace_back(
        *document_,
        pointer_ + '/' + EscapePointerToken(key) + '/' + std::to_string(i),
        *problems_);
  }
  return readers;
}

std::vector<std::string> ObjectReader::Strings(const std::string& key) {
  std::vector<std::string> strings;
  const json* value = Find(key, true);
  if (value == nullptr) return strings;
  const bool is_valid =
      value->is_array() && std::ranges::all_of(*value, [](const json& item) {
        return item.is_string();
      });
  if (!is_valid) {
    AddProblem(key, "must be an array of strings");
    return strings;
  }
  return value->get<std::vector<std::string>>();
}

std::vector<std::pair<std::string, ObjectReader>> ObjectReader::Members() {
  std::vector<std::pair<std::string, ObjectReader>> members;
  for (const auto& item : object_->items()) {
    read_keys_.insert(item.key());
    members.emplace_back(
        item.key(),
        ObjectReader(*document_,
                     pointer_ + '/' + EscapePointerToken(item.key()),
                     *problems_));
  }
  return members;
}

void ObjectReader::ReportUnknownKeys() {
  for (const auto& item : object_->items()) {
    if (read_keys_.contains(item.key())) continue;
    const auto closest = ClosestName(item.key(), read_keys_);
    AddProblem(item.key(),
               closest.has_value()
                   ? "unknown key; did you mean \"" + *closest + "\"?"
                   : "unknown key");
  }
}

std::optional<milliseconds> ParseDuration(const std::string& text) {
  std::int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, count);
  if (error != std::errc()) return std::nullopt;
  const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
  const auto unit =
      std::ranges::find(kDurationUnits, suffix, &DurationUnit::suffix);
  if (unit == kDurationUnits.end()) return std::nullopt;
  std::int64_t product = 0;
  if (__builtin_mul_overflow(count, unit->milliseconds_each, &product)) {
    return std::nullopt;
  }
  return milliseconds(product);
}

std::optional<std::string> ClosestName(const std::string& name,
                                       const std::set<std::string>& names) {
  const auto closest = std::ranges::min_element(
      names, {}, [&name](const std::string& candidate) {
        return EditDistance(name, candidate);
      });
  if (closest == names.end()) return std::nullopt;
  const std::size_t limit = std::max<std::size_t>(2, name.size() / 3);
  if (EditDistance(name, *closest) > limit) return std::nullopt;
  return *closest;
}

}  // namespace balsam::settings
