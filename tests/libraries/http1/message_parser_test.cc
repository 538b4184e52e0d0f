// Tests of HTTP/1.1 parsing: framing, limits, and rejection of ambiguous
// messages.
#include "libraries/http1/message_parser.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace balsam::http1 {
namespace {

struct Parsed {
  ParseError error = ParseError::kNone;
  bool complete = false;
  std::string body;
  std::string rest;
  RequestHead head;
  bool keep_alive = false;
};

// Parses `text` in pieces of `step` bytes, as they arrive on a connection.
Parsed Parse(const std::string& text, std::size_t step,
             const ParseLimits& limits = {}) {
  RequestParser parser(limits);
  Parsed parsed;
  std::string input;
  std::size_t fed = 0;
  while (fed < text.size() && !parser.complete() &&
         parser.error() == ParseError::kNone) {
    const std::size_t size = std::min(step, text.size() - fed);
    input += text.substr(fed, size);
    fed += size;
    input.erase(0, parser.Consume(input, parsed.body));
  }
  parsed.error = parser.error();
  parsed.complete = parser.complete();
  parsed.rest = input + text.substr(fed);
  parsed.keep_alive = parser.keep_alive();
  parsed.head = parser.TakeHead();
  return parsed;
}

TEST(RequestParserTest, ParsesTheSameInPiecesOfAnySize) {
  const std::string text =
      "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n4;ext=1\r\ndefg\r\n0\r\n\r\nGET /next";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    const Parsed parsed = Parse(text, step);
    ASSERT_TRUE(parsed.complete) << step;
    EXPECT_EQ(parsed.body, "abcdefg");
    EXPECT_EQ(parsed.head.method, "POST");
    EXPECT_EQ(parsed.head.target, "/a/b?c=1");
    EXPECT_EQ(parsed.head.Path(), "/a/b");
    EXPECT_EQ(parsed.rest, "GET /next");
    EXPECT_TRUE(parsed.keep_alive);
  }
}

struct RejectedCase {
  const char* name;
  const char* text;
};

// Without this, names of parameterized tests would contain addresses.
void PrintTo(const RejectedCase& value, std::ostream* out) {
  *out << value.name;
}

class RejectedRequestTest : public testing::TestWithParam<RejectedCase> {};

TEST_P(RejectedRequestTest, IsMalformed) {
  EXPECT_EQ(Parse(GetParam().text, 1000).error, ParseError::kMalformed);
}

INSTANTIATE_TEST_SUITE_P(
    Smuggling, RejectedRequestTest,
    testing::Values(
        RejectedCase{"TwoLengths",
                     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                     "Content-Length: 4\r\n\r\nabcd"},
        RejectedCase{"SameLengthTwice",
                     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                     "Content-Length: 3\r\n\r\nabc"},
        RejectedCase{"LengthAndChunked",
                     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        RejectedCase{"OtherCoding",
                     "POST / HTTP/1.1\r\nHost: x\r\n"
                     "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
        RejectedCase{"FoldedLine",
                     "POST / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n"},
        RejectedCase{"SpaceBeforeColon", "POST / HTTP/1.1\r\nHost : x\r\n\r\n"},
        RejectedCase{
            "NegativeLength",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"},
        RejectedCase{"BadChunkSize",
                     "POST / HTTP/1.1\r\nHost: x\r\n"
                     "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
        RejectedCase{"OldVersion", "GET / HTTP/1.0\r\nHost: x\r\n\r\n"},
        RejectedCase{"NotHttp", "hello there\r\n\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(RequestParserTest, TrailersAreNotHeaderFields) {
  const Parsed parsed = Parse(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\nAuthorization: other\r\n\r\n",
      1000);
  ASSERT_TRUE(parsed.complete);
  EXPECT_EQ(parsed.head.fields.Find("Authorization"), nullptr);
}

TEST(RequestParserTest, LimitsHeadAndBody) {
  const std::string head = "GET / HTTP/1.1\r\nHost: x\r\nA: ";
  EXPECT_EQ(Parse(head + std::string(500, 'a'), 64, {200, 1000}).error,
            ParseError::kHeadTooLarge);
  EXPECT_EQ(Parse("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n",
                  1000, {1000, 10})
                .error,
            ParseError::kBodyTooLarge);
  EXPECT_EQ(Parse("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                  "chunked\r\n\r\nb\r\nabcdefghijk\r\n0\r\n\r\n",
                  1000, {1000, 10})
                .error,
            ParseError::kBodyTooLarge);
}

TEST(ResponseParserTest, BodyWithoutLengthEndsWithAnOrderlyClose) {
  ResponseParser parser({}, false);
  std::string body;
  parser.Consume("HTTP/1.1 200 OK\r\n\r\nabc", body);
  EXPECT_TRUE(parser.ends_with_connection());
  EXPECT_FALSE(parser.complete());
  parser.OnClosed();
  EXPECT_TRUE(parser.complete());
  EXPECT_FALSE(parser.keep_alive());
  EXPECT_EQ(body, "abc");
}

TEST(ResponseParserTest, ShortBodyIsTruncated) {
  ResponseParser parser({}, false);
  std::string body;
  parser.Consume("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", body);
  parser.OnClosed();
  EXPECT_FALSE(parser.complete());
  EXPECT_EQ(parser.error(), ParseError::kTruncated);
}

TEST(ResponseParserTest, LeavesBytesAfterTheResponse) {
  ResponseParser parser({}, false);
  std::string body;
  const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n";
  const std::size_t taken = parser.Consume(text, body);
  EXPECT_TRUE(parser.complete());
  EXPECT_EQ(text.substr(taken), "HTTP/1.1 200 OK\r\n");
}

TEST(ResponseParserTest, ResponseToHeadHasNoBody) {
  ResponseParser parser({}, true);
  std::string body;
  parser.Consume("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", body);
  EXPECT_TRUE(parser.complete());
}

TEST(FieldListTest, HopByHopFieldsAreRemoved) {
  FieldList fields;
  fields.Add("Connection", "close, X-Hop");
  fields.Add("x-hop", "1");
  fields.Add("Keep-Alive", "timeout=5");
  fields.Add("Transfer-Encoding", "chunked");
  fields.Add("Content-Length", "3");
  fields.Add("X-End", "2");
  fields.RemoveHopByHopFields();
  ASSERT_EQ(fields.size(), 1U);
  EXPECT_EQ(*fields.Find("X-END"), "2");
}

TEST(SerializeTest, OutputIsParsedBack) {
  ResponseHead head;
  head.status = 503;
  head.fields.Add("Retry-After", "0.5");
  const std::string text = Serialize(head, {2, false}) + "no";
  ResponseParser parser({}, false);
  std::string body;
  parser.Consume(text, body);
  ASSERT_TRUE(parser.complete());
  EXPECT_EQ(parser.head().status, 503);
  EXPECT_EQ(parser.head().reason, "Service Unavailable");
  EXPECT_EQ(body, "no");
}

}  // namespace
}  // namespace balsam::http1
