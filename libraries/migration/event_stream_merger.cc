// Orders events by their numbers.
#include "libraries/migration/event_stream_merger.h"

#include <charconv>

namespace balsam::migration {
namespace {

constexpr std::string_view kIdField = "id:";

}  // namespace

std::optional<std::uint64_t> EventStreamMerger::EventNumber(
    std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    std::uint64_t number = 0;
    const auto [rest, error] =
        std::from_chars(line.data(), line.data() + line.size(), number);
    if (error != std::errc()) return std::nullopt;
    return number;
  }
  return std::nullopt;
}

std::string EventStreamMerger::Append(EventSplitter& run,
                                      std::string_view bytes) {
  run.Append(bytes);
  std::string whole_events;
  while (fault_ == Fault::kNone) {
    const std::optional<std::string_view> event = run.Next();
    if (!event.has_value()) break;
    const std::optional<std::uint64_t> number = EventNumber(*event);
    if (number.has_value() && last_event_.has_value()) {
      if (*number <= *last_event_) continue;
      if (*number != *last_event_ + 1) {
        fault_ = Fault::kGap;
        break;
      }
    }
    if (number.has_value()) last_event_ = number;
    ++events_;
    whole_events += *event;
  }
  if (run.is_too_long()) fault_ = Fault::kTooLong;
  return whole_events;
}

}  // namespace balsam::migration
