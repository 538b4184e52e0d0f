// Uses Boost.Beast's basic_parser, which reads a message incrementally and
// reports its parts through virtual functions.
#include "libraries/http1/message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <functional>
#include <limits>

#include "libraries/http1/response_rules.h"

namespace balsam::http1 {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

// Returns the length of the head including its empty line; npos if `input` does
// not contain all of it.
std::size_t HeadLength(std::string_view input) {
  const std::size_t end = input.find(kHeadEnd);
  return end == std::string_view::npos ? end : end + kHeadEnd.size();
}

ParseError ToParseError(const error_code& code) {
  if (code == http::error::header_limit) return ParseError::kHeadTooLarge;
  if (code == http::error::body_limit) return ParseError::kBodyTooLarge;
  if (code == http::error::partial_message ||
      code == http::error::end_of_stream) {
    return ParseError::kTruncated;
  }
  return ParseError::kMalformed;
}

// Stores the parts that Beast reports in a head and a body string.
template <bool kIsRequest, typename Head>
class MessageCollector : public http::basic_parser<kIsRequest> {
 public:
  using Base = http::basic_parser<kIsRequest>;

  MessageCollector(const ParseLimits& limits, Head& head)
      : head_(head), limits_(limits) {
    this->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
    this->body_limit(limits.body_bytes);
    this->eager(true);
  }

  // Body bytes are appended here while `put` runs.
  std::string* body = nullptr;
  // What `put` parses.
  std::string_view input;

 private:
  // Whether the field extends over several lines. Beast then returns a copy of
  // its value, or a value that does not begin on the line of the name.
  bool IsFolded(string_view name, string_view value) const {
    const std::less<const char*> is_before;
    const char* input_end = input.data() + input.size();
    if (is_before(value.data(), input.data()) ||
        !is_before(value.data(), input_end)) {
      return true;
    }
    const char* name_end = name.data() + name.size();
    return std::find(name_end, value.data(), '\n') != value.data();
  }

  void on_request_impl(http::verb /*verb*/, string_view method,
                       string_view target, int version,
                       error_code& error) override {
    if constexpr (kIsRequest) {
      head_.method = std::string(method);
      head_.target = std::string(target);
    }
    if (version != 11) error = http::error::bad_version;
  }
  void on_response_impl(int status, string_view reason, int version,
                        error_code& error) override {
    if constexpr (!kIsRequest) {
      head_.status = status;
      head_.reason = std::string(reason);
      if (!IsValidStatus(status)) error = http::error::bad_status;
    }
    version_ = version;
  }
  void on_field_impl(http::field /*field*/, string_view name, string_view value,
                     error_code& error) override {
    // Trailers are ignored; they are not trusted as header fields.
    if (head_done_) return;
    // Beast reads fields as they arrive, and compares its limit with those of
    // one piece only.
    field_bytes_ += name.size() + value.size() + kFieldOverhead;
    if (field_bytes_ > limits_.head_bytes ||
        head_.fields.size() >= limits_.fields) {
      error = http::error::header_limit;
      return;
    }
    if (IsFolded(name, value)) {
      error = http::error::bad_obs_fold;
      return;
    }
    head_.fields.Add({name.data(), name.size()}, {value.data(), value.size()});
  }
  void on_header_impl(error_code& error) override {
    head_done_ = true;
    if (HasAmbiguousFraming(head_.fields)) {
      error = http::error::bad_transfer_encoding;
    }
    if constexpr (!kIsRequest) {
      // Version 1.0 has no chunks (RFC 9112, 6.1).
      const bool has_chunks_of_old_version =
          version_ < kHttp11 &&
          head_.fields.Find("Transfer-Encoding") != nullptr;
      if (has_chunks_of_old_version || !IsValidResponseHead(head_)) {
        error = http::error::bad_field;
      }
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         error_code& /*error*/) override {}
  std::size_t on_body_impl(string_view data, error_code& /*error*/) override {
    body->append(data.data(), data.size());
    return data.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                            error_code& /*error*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view data,
                                 error_code& /*error*/) override {
    body->append(data.data(), data.size());
    return data.size();
  }
  void on_finish_impl(error_code& /*error*/) override {}

  static constexpr int kHttp11 = 11;
  // Colon and line end; a blank may follow the colon.
  static constexpr std::size_t kFieldOverhead = 3;

  Head& head_;
  ParseLimits limits_;
  std::size_t field_bytes_ = 0;
  bool head_done_ = false;
  // Ten times the version of HTTP; of a response only.
  int version_ = kHttp11;
};

// Passes `input` to `parser`. Returns the number of bytes consumed, and sets
// `error` if parsing failed.
template <typename Parser>
std::size_t ParseInput(Parser& parser, std::string_view input,
                       std::string& body, ParseError& error) {
  parser.body = &body;
  parser.input = input;
  std::size_t consumed = 0;
  while (consumed < input.size() && !parser.is_done()) {
    error_code code;
    const std::size_t step =
        parser.put(boost::asio::const_buffer(input.data() + consumed,
                                             input.size() - consumed),
                   code);
    consumed += step;
    if (code == http::error::need_more) break;
    if (code) {
      error = ToParseError(code);
      break;
    }
    if (step == 0) break;
  }
  return consumed;
}

}  // namespace

template <typename Parser>
std::size_t MessageParser::FeedAndUpdateState(Parser& parser,
                                              std::string_view input,
                                              std::string& body) {
  const std::size_t consumed = ParseInput(parser, input, body, error_);
  if (error_ == ParseError::kNone && !parser.is_done() &&
      input.size() - consumed > line_bytes_) {
    error_ = ParseError::kMalformed;
  }
  head_complete_ = parser.is_header_done();
  complete_ = parser.is_done();
  if (!head_complete_) return consumed;
  keep_alive_ = parser.keep_alive();
  return consumed;
}

class RequestParser::Implementation
    : public MessageCollector<true, RequestHead> {
  using MessageCollector::MessageCollector;
};

RequestParser::RequestParser(const ParseLimits& limits)
    : MessageParser(limits.line_bytes),
      implementation_(std::make_unique<Implementation>(limits, head_)) {}
RequestParser::~RequestParser() = default;

std::size_t RequestParser::Consume(std::string_view input, std::string& body) {
  if (!input.empty()) started_ = true;
  if (!head_complete_) {
    const std::size_t length = HeadLength(input);
    if (length != std::string_view::npos) {
      const std::string_view head = input.substr(0, length);
      const auto lines = std::ranges::count(head, '\r');
      head_.fields.Reserve(head_.fields.size() +
                           static_cast<std::size_t>(lines));
    }
  }
  return FeedAndUpdateState(*implementation_, input, body);
}

void RequestParser::OnClosed() {
  if (started_ && !complete_) error_ = ParseError::kTruncated;
}

class ResponseParser::Implementation
    : public MessageCollector<false, ResponseHead> {
  using MessageCollector::MessageCollector;
};

ResponseParser::ResponseParser(const ParseLimits& limits,
                               bool is_response_to_head)
    : MessageParser(limits.line_bytes),
      implementation_(std::make_unique<Implementation>(limits, head_)) {
  implementation_->skip(is_response_to_head);
}
ResponseParser::~ResponseParser() = default;

std::size_t ResponseParser::Consume(std::string_view input, std::string& body) {
  if (!input.empty()) started_ = true;
  return FeedAndUpdateState(*implementation_, input, body);
}

void ResponseParser::OnClosed() {
  if (complete_) return;
  if (!head_complete_) {
    error_ = ParseError::kTruncated;
    return;
  }
  error_code code;
  implementation_->put_eof(code);
  if (code) {
    error_ = ToParseError(code);
    return;
  }
  complete_ = implementation_->is_done();
}

bool ResponseParser::ends_with_connection() const {
  return head_complete_ && implementation_->need_eof();
}

}  // namespace balsam::http1
