// Finds the ends of server-sent events (WHATWG HTML, 9.2).
#include "libraries/migration/event_splitter.h"

namespace balsam::migration {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kStatusLineStart = "HTTP/1.";

}  // namespace

void EventSplitter::Append(std::string_view bytes) {
  buffer_.erase(0, begin_);
  begin_ = 0;
  if (!ended_) buffer_ += bytes;
}

bool EventSplitter::IsAtOtherResponse() const {
  return framing_ == Framing::kUnmarked &&
         std::string_view(buffer_).substr(begin_).starts_with(kStatusLineStart);
}

std::optional<std::string_view> EventSplitter::Next() {
  if (IsAtOtherResponse()) {
    ended_ = true;
    buffer_.resize(begin_);
  }
  const std::size_t end = buffer_.find(kEventEnd, begin_);
  if (end == std::string::npos) return std::nullopt;
  const std::size_t size = end + kEventEnd.size() - begin_;
  const std::string_view event = std::string_view(buffer_).substr(begin_, size);
  begin_ += size;
  ++events_;
  return event;
}

}  // namespace balsam::migration
