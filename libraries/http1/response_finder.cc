// Looks at each place where a status line may begin.
#include "libraries/http1/response_finder.h"

#include <algorithm>
#include <utility>

#include "libraries/http1/message_parser.h"

namespace balsam::http1 {
namespace {

// Returns how many of the last bytes may be the beginning of a status line.
std::size_t BeginningAtEnd(std::string_view text) {
  for (std::size_t size = std::min(text.size(), kStatusLineStart.size() - 1);
       size > 0; --size) {
    if (text.ends_with(kStatusLineStart.substr(0, size))) return size;
  }
  return 0;
}

}  // namespace

std::string ResponseFinder::Append(std::string_view bytes) {
  if (found_) return {};
  kept_ += bytes;
  std::size_t known = 0;
  while (true) {
    known = kept_.find(kStatusLineStart, known);
    if (known == std::string::npos) {
      known = kept_.size() - BeginningAtEnd(kept_);
      break;
    }
    ResponseParser parser({}, /*is_response_to_head=*/true);
    std::string ignored;
    parser.Consume(std::string_view(kept_).substr(known), ignored);
    const bool is_undecided =
        parser.error() == ParseError::kNone && !parser.head_complete();
    if (is_undecided) break;
    if (parser.error() == ParseError::kNone &&
        is_other_response_(parser.head())) {
      found_ = true;
      kept_.resize(known);
      break;
    }
    ++known;
  }
  std::string passed = kept_.substr(0, known);
  kept_.erase(0, known);
  return passed;
}

std::string ResponseFinder::TakeRest() { return std::exchange(kept_, {}); }

}  // namespace balsam::http1
