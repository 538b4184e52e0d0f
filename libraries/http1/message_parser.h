// Incremental parsing of HTTP/1.1 messages with Boost.Beast's parser. Rejects
// messages that a proxy and its backend server could frame differently (request
// smuggling, RFC 9112, 11.2): more than one length, a length together with a
// transfer coding, transfer codings other than chunked, and folded header
// lines. Responses also keep the rules of response_rules.h.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "libraries/http1/message_head.h"

namespace balsam::http1 {

enum class ParseError {
  kNone,
  // The bytes are not a valid HTTP/1.1 message.
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  // The peer closed the connection before the message was complete.
  kTruncated,
};

struct ParseLimits {
  // Of the fields together, and of the start line.
  std::size_t head_bytes = 16 << 10;
  std::uint64_t body_bytes = 4 << 20;
  // Maximum number of buffered bytes of an incomplete line. Beast does not
  // limit chunk sizes, chunk extensions and trailers.
  std::size_t line_bytes = 64 << 10;
  // Number of header fields. A short one takes far more memory than its text.
  std::size_t fields = std::numeric_limits<std::size_t>::max();
};

// Base class of the request and response parsers. A parser reads one message.
class MessageParser {
 public:
  virtual ~MessageParser() = default;

  // Parses bytes from the front of `input` and returns how many were consumed.
  // Stops at the end of the message. Appends body bytes to `body`.
  virtual std::size_t Consume(std::string_view input, std::string& body) = 0;
  // To be called when the peer has closed its side of the connection.
  virtual void OnClosed() = 0;

  ParseError error() const { return error_; }
  bool started() const { return started_; }
  bool head_complete() const { return head_complete_; }
  bool complete() const { return complete_; }
  // Whether the connection may be used for another message.
  bool keep_alive() const { return keep_alive_; }

 protected:
  // Passes input to Beast's parser and updates the state from it.
  template <typename Parser>
  std::size_t FeedAndUpdateState(Parser& parser, std::string_view input,
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
  // `is_response_to_head`: the response has no body, whatever its head says.
  ResponseParser(const ParseLimits& limits, bool is_response_to_head);
  ~ResponseParser() override;

  std::size_t Consume(std::string_view input, std::string& body) override;
  void OnClosed() override;
  const ResponseHead& head() const { return head_; }
  // Whether the body ends when the peer closes the connection.
  bool ends_with_connection() const;

 private:
  class Implementation;
  ResponseHead head_;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace balsam::http1
