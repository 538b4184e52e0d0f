// Splits the event stream of one run into its events. What an unfinished run
// left of an event ends with its splitter, so that it cannot be continued with
// the bytes of another run.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace balsam::migration {

class EventSplitter {
 public:
  enum class Framing {
    // The run's response has a length or chunks.
    kFramed,
    // The response ends with its connection, so that another response that the
    // engine sends after it looks like a part of it.
    kUnframed,
  };

  explicit EventSplitter(Framing framing = Framing::kFramed)
      : framing_(framing) {}

  // Maximum size of an event in bytes: longer than any engine sends.
  static constexpr std::size_t kMaxEventBytes = 256 << 10;

  // Appends bytes that the run sent.
  void Append(std::string_view bytes);
  // Returns the next whole event with the empty line that ends it, or nothing
  // if none is complete. Valid until the next call of `Append`. The run ends
  // where another response begins.
  std::optional<std::string_view> Next();

  // Another response has begun, so that the run is over.
  bool ended() const { return ended_; }
  // Bytes of the event that is not complete yet.
  std::size_t partial_bytes() const { return buffer_.size() - begin_; }
  // The incomplete event is longer than any engine sends.
  bool is_too_long() const { return partial_bytes() > kMaxEventBytes; }

 private:
  Framing framing_;
  // Another response has begun; what still arrives is dropped.
  bool ended_ = false;
  // The bytes from `begin_` on have not been returned yet.
  std::string buffer_;
  std::size_t begin_ = 0;
};

}  // namespace balsam::migration
