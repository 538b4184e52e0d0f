// Finds another response within a body that only its connection ends: a faulty
// server may send one more, and nothing says where its own ended. A body may be
// about HTTP, so that only a whole head that the owner recognizes counts.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "libraries/http1/message_head.h"

namespace balsam::http1 {

class ResponseFinder {
 public:
  // `is_other_response`: whether the head is that of a response rather than a
  // text about one.
  explicit ResponseFinder(
      std::function<bool(const ResponseHead&)> is_other_response)
      : is_other_response_(std::move(is_other_response)) {}

  // Appends bytes of the body. Returns those that belong to no other response,
  // in order; what may begin one is kept until that is known.
  std::string Append(std::string_view bytes);
  // Returns what was kept; to be called when the body has ended.
  std::string TakeRest();
  // Whether another response was found. What follows is dropped.
  bool found() const { return found_; }
  std::size_t kept_bytes() const { return kept_.size(); }

 private:
  std::function<bool(const ResponseHead&)> is_other_response_;
  std::string kept_;
  bool found_ = false;
};

}  // namespace balsam::http1
