// Merges the event streams of a generation that runs on several engines in
// succession into the single stream sent to its client. The client receives
// only whole events of single runs, each exactly once and in order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/migration/event_splitter.h"

namespace balsam::migration {

class EventStreamMerger {
 public:
  enum class Fault {
    kNone,
    // An event is missing: an event number does not follow the last one.
    kGap,
    // An event is longer than any engine sends.
    kTooLong,
  };

  // `client_last_event`: the last event that the client has from an earlier
  // connection, if any.
  explicit EventStreamMerger(
      std::optional<std::uint64_t> client_last_event = std::nullopt)
      : last_event_(client_last_event) {}

  // Appends bytes of the run that `run` splits; returns the whole events that
  // the client has not received yet. Events without a number are always passed
  // on.
  std::string Append(EventSplitter& run, std::string_view bytes);

  // Number of the last event that the client has; nothing before the first.
  std::optional<std::uint64_t> last_event() const { return last_event_; }
  std::uint64_t events() const { return events_; }
  Fault fault() const { return fault_; }

 private:
  // Returns the number in the "id:" line of an event; nothing if there is none.
  static std::optional<std::uint64_t> EventNumber(std::string_view event);

  std::optional<std::uint64_t> last_event_;
  std::uint64_t events_ = 0;
  Fault fault_ = Fault::kNone;
};

}  // namespace balsam::migration
