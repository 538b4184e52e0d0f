// Finds the ends of server-sent events (WHATWG HTML, 9.2).
#include "libraries/migration/event_splitter.h"

#include "libraries/http1/message_head.h"

namespace balsam::migration {
namespace {

constexpr std::string_view kEventEnd = "\n\n";

// Returns where another response begins in `text`, the rest of a run up to the
// end of its next event; npos if nowhere.
std::size_t FindOtherResponse(std::string_view text) {
  using http1::kStatusLineStart;
  if (text.starts_with(kStatusLineStart)) return 0;
  // The engine may have broken off an event. Unlike a status line, the lines of
  // events end without a carriage return.
  for (std::size_t at = text.find(kStatusLineStart); at != std::string::npos;
       at = text.find(kStatusLineStart, at + 1)) {
    const std::size_t line_end = text.find('\n', at);
    if (line_end != std::string::npos && text[line_end - 1] == '\r') return at;
  }
  return std::string::npos;
}

}  // namespace

void EventSplitter::Append(std::string_view bytes) {
  buffer_.erase(0, begin_);
  begin_ = 0;
  if (!ended_) buffer_ += bytes;
}

std::optional<std::string_view> EventSplitter::Next() {
  const std::size_t end = buffer_.find(kEventEnd, begin_);
  const bool is_whole = end != std::string::npos;
  const std::string_view event = std::string_view(buffer_).substr(
      begin_, is_whole ? end + kEventEnd.size() - begin_ : std::string::npos);
  if (framing_ == Framing::kUnframed) {
    const std::size_t other_response = FindOtherResponse(event);
    if (other_response != std::string::npos) {
      ended_ = true;
      buffer_.resize(begin_ + other_response);
      return std::nullopt;
    }
  }
  if (!is_whole) return std::nullopt;
  begin_ += event.size();
  return event;
}

}  // namespace balsam::migration
