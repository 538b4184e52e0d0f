// Reads the events of one response of an engine: bytes in, tokens out. All that
// is kept between two reads belongs to this response and ends with it.
//
// Every event that should hold a token and cannot be read is a fault, since the
// tokens after it would get the numbers of their predecessors.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balsam::backend {

class EngineStream {
 public:
  struct Batch {
    std::vector<std::string> tokens;
    int preemptions = 0;
  };

  EngineStream() = default;
  // A stream that begins by repeating these tokens. They are compared and not
  // given out; any other beginning is a fault.
  explicit EngineStream(std::vector<std::string> repeated)
      : repeated_(std::move(repeated)) {}

  // Reads the events that `bytes` completes. Reads nothing after the end, a
  // failure or a fault.
  Batch Read(std::string_view bytes);

  // The engine ended the stream: every token was read.
  bool done() const { return done_; }
  // Why the rest of the stream cannot be read; empty if it can.
  const std::string& fault() const { return fault_; }
  // The engine reported in the stream that the generation failed.
  bool failed() const { return failed_; }
  // An event has begun and not ended.
  bool IsInsideEvent() const { return !line_.empty() || !data_.empty(); }

 private:
  bool HasEnded() const { return done_ || failed_ || !fault_.empty(); }
  void ReadLine(std::string_view line, Batch& batch);
  void ReadEvent(Batch& batch);
  void AddToken(std::string text, Batch& batch);

  // The part of the last line that was received.
  std::string line_;
  // The data of the event that has begun, each line of it with its end.
  std::string data_;
  std::vector<std::string> repeated_;
  std::size_t compared_ = 0;
  bool done_ = false;
  bool failed_ = false;
  std::string fault_;
};

}  // namespace balsam::backend
