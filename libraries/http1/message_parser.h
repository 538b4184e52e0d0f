// Incremental parsing of HTTP/1.1 messages on Boost.Beast's parser. What a
// proxy must not guess about is refused: more than one length, a length beside
// a transfer coding, other codings than chunked, and folded header lines
// (request smuggling, RFC 9112, 11.2).
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "libraries/http1/message_head.h"

namespace balsam::http1 {

enum class ParseError {
  kNone,
  // The bytes are no HTTP/1.1 message.
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  // The peer closed before the message was complete.
  kTruncated,
};

struct ParseLimits {
  std::size_t head_bytes = 16 << 10;
  std::uint64_t body_bytes = 4 << 20;
  // Bytes that may wait for the end of their line: chunk sizes, their
  // extensions and trailers have no length of their own.
  std::size_t line_bytes = 64 << 10;
};

// What both directions share. A parser reads one message.
class MessageParser {
 public:
  virtual ~MessageParser() = default;

  // Takes bytes from the front of `input` and returns how many. Stops at the
  // end of the message. Body bytes are appended to `body`.
  virtual std::size_t Consume(std::string_view input, std::string& body) = 0;
  // The peer closed its end.
  virtual void OnClosed() = 0;

  ParseError error() const { return error_; }
  bool started() const { return started_; }
  bool head_complete() const { return head_complete_; }
  bool complete() const { return complete_; }
  // Whether the connection may carry another message afterwards.
  bool keep_alive() const { return keep_alive_; }

 protected:
  // Feeds Beast's parser, and notes how far it came.
  template <typename Parser>
  std::size_t FeedAndNote(Parser& parser, std::string_view input,
                          std::string& body);

  explicit MessageParser(std::size_t line_bytes) : line_bytes_(line_bytes) {}

  std::size_t line_bytes_;
  ParseError error_ = ParseError::kNone;
  bool started_ = false;
  bool head_complete_ = false;
  bool complete_ = false;
  bool keep_alive_ = false;
};

class RequestParser : public MessageParser {
 public:
  explicit RequestParser(const ParseLimits& limits);
  ~RequestParser() override;

  std::size_t Consume(std::string_view input, std::string& body) override;
  void OnClosed() override;
  const RequestHead& head() const { return head_; }
  RequestHead TakeHead() { return std::move(head_); }

 private:
  class Implementation;
  RequestHead head_;
  std::unique_ptr<Implementation> implementation_;
};

class ResponseParser : public MessageParser {
 public:
  // `to_head_request`: the answer has no body whatever its head says.
  ResponseParser(const ParseLimits& limits, bool to_head_request);
  ~ResponseParser() override;

  std::size_t Consume(std::string_view input, std::string& body) override;
  void OnClosed() override;
  const ResponseHead& head() const { return head_; }
  // Whether the body ends with the connection.
  bool ends_with_connection() const;

 private:
  class Implementation;
  ResponseHead head_;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace balsam::http1
