// Tests of the validation of callers' requests: each kind of invalid request is
// rejected with its result code.
#include "services/entry/caller_request.h"

#include <gtest/gtest.h>

#include <QCryptographicHash>
#include <functional>
#include <string>

namespace balsam::entry {
namespace {

constexpr char kBearer[] = "secret-key";

std::shared_ptr<const templates::TemplateSet> MakeTemplateSet() {
  const std::string digest =
      QCryptographicHash::hash(QByteArray(kBearer), QCryptographicHash::Sha256)
          .toHex()
          .toStdString();
  templates::TemplateSet::Problems problems;
  auto set = templates::TemplateSet::Parse(
      1,
      R"({"templates": {"guest": {"class": "live", "max_output_tokens": 100},
                        "dossier": {"delivery": "whole"}},
          "models": {"m": {"service": "pool"}},
          "services": {"locker": {"methods": {
            "POST /release": {"idempotent": false}}}},
          "workspaces": {"tywi": {"key_sha256": ")" +
          digest +
          R"(", "tokens_per_second": 10, "templates": ["guest", "dossier"],
              "parameters": {"dossier": {"priority": 7}}}}})",
      problems);
  EXPECT_TRUE(problems.empty());
  return set;
}

RawCallerRequest ValidRequest() {
  RawCallerRequest raw;
  raw.method = "POST";
  raw.path = "/v1/completions";
  raw.content_type = "application/json; charset=utf-8";
  raw.bearer = kBearer;
  raw.body = R"({"model": "m", "prompt": "hello", "stream": true})";
  return raw;
}

// Returns the result code of the error, or zero.
int ResultCodeOf(const RawCallerRequest& raw,
                 ResponseFormat format = ResponseFormat::kCompletion) {
  const auto set = MakeTemplateSet();
  return TryOr(
      [&]() -> Result<int> {
        if (format == ResponseFormat::kCall) {
          BOOST_LEAF_CHECK(ParseServiceCall(raw, *set, ClockReading::Now()));
        } else {
          BOOST_LEAF_CHECK(
              ParseCompletion(raw, format, *set, ClockReading::Now()));
        }
        return 0;
      },
      [](const Error& error) {
        EXPECT_FALSE(error.detail.empty());
        EXPECT_EQ(error.detail.find(kBearer), std::string::npos);
        return static_cast<int>(error.code);
      });
}

struct InvalidRequestCase {
  std::string name;
  std::function<void(RawCallerRequest&)> corrupt;
  int code;

  friend void PrintTo(const InvalidRequestCase& row, std::ostream* out) {
    *out << row.name;
  }
};

class InvalidCallerRequestTest
    : public testing::TestWithParam<InvalidRequestCase> {};

TEST(CallerRequestTest, OneChoiceMayBeAskedFor) {
  RawCallerRequest raw = ValidRequest();
  raw.body = R"({"model": "m", "prompt": "", "n": 1})";
  EXPECT_EQ(ResultCodeOf(raw), 0);
}

TEST_P(InvalidCallerRequestTest, ReturnsItsResultCode) {
  RawCallerRequest raw = ValidRequest();
  ASSERT_EQ(ResultCodeOf(raw), 0);
  GetParam().corrupt(raw);
  EXPECT_EQ(ResultCodeOf(raw), GetParam().code);
}

std::function<void(RawCallerRequest&)> SetBody(std::string body) {
  return [body = std::move(body)](RawCallerRequest& raw) { raw.body = body; };
}

INSTANTIATE_TEST_SUITE_P(
    Cases, InvalidCallerRequestTest,
    testing::Values(
        InvalidRequestCase{"Malformed", SetBody("{\"model\":"), 1001},
        InvalidRequestCase{"Empty", SetBody(""), 1001},
        InvalidRequestCase{"TooDeep", SetBody(std::string(100000, '[')), 1001},
        InvalidRequestCase{"DuplicateKey",
                           SetBody(R"({"model": "m", "model": "m"})"), 1001},
        InvalidRequestCase{"NotUtf8", SetBody("{\"model\": \"\xff\xfe\"}"),
                           1001},
        InvalidRequestCase{"NoPrompt", SetBody(R"({"model": "m"})"), 1001},
        InvalidRequestCase{"PromptOfWrongType",
                           SetBody(R"({"model": "m", "prompt": 5})"), 1001},
        InvalidRequestCase{
            "StreamOfWrongType",
            SetBody(R"({"model": "m", "prompt": "", "stream": "yes"})"), 1001},
        // An engine mixes the tokens of several choices in one stream.
        InvalidRequestCase{"TwoChoices",
                           SetBody(R"({"model": "m", "prompt": "", "n": 2})"),
                           1006},
        InvalidRequestCase{"NoChoice",
                           SetBody(R"({"model": "m", "prompt": "", "n": 0})"),
                           1006},
        InvalidRequestCase{"ChoicesOfWrongType",
                           SetBody(R"({"model": "m", "prompt": "", "n": "1"})"),
                           1006},
        InvalidRequestCase{
            "NegativeLimit",
            SetBody(R"({"model": "m", "prompt": "", "max_tokens": -1})"), 1006},
        InvalidRequestCase{"HugeLimit", SetBody(R"({"model": "m", "prompt": "",
                         "max_tokens": 99999999999999999999})"),
                           1006},
        InvalidRequestCase{
            "LimitAboveTheTemplates",
            SetBody(R"({"model": "m", "prompt": "", "max_tokens": 101})"),
            1006},
        InvalidRequestCase{"UnknownModel",
                           SetBody(R"({"model": "x", "prompt": ""})"), 1005},
        InvalidRequestCase{
            "WrongContentType",
            [](RawCallerRequest& raw) { raw.content_type = "text/plain"; },
            1003},
        InvalidRequestCase{"UnknownKey",
                           [](RawCallerRequest& raw) { raw.bearer = "other"; },
                           1004},
        InvalidRequestCase{
            "NoKey", [](RawCallerRequest& raw) { raw.bearer = ""; }, 1004},
        InvalidRequestCase{
            "UnknownTemplate",
            [](RawCallerRequest& raw) { raw.template_name = "x"; }, 1013},
        InvalidRequestCase{"BadIdempotencyKey",
                           [](RawCallerRequest& raw) {
                             raw.idempotency_key = std::string(200, 'x');
                           },
                           1009},
        InvalidRequestCase{
            "KeyWithLineBreak",
            [](RawCallerRequest& raw) { raw.idempotency_key = "a\nb"; }, 1009}),
    [](const auto& row) { return row.param.name; });

TEST(CallerRequestTest, ServiceCallIsCheckedAgainstTemplates) {
  RawCallerRequest raw = ValidRequest();
  raw.path = "/services/locker/release?door=17";
  EXPECT_EQ(ResultCodeOf(raw, ResponseFormat::kCall), 0);
  raw.method = "DELETE";
  EXPECT_EQ(ResultCodeOf(raw, ResponseFormat::kCall), 1008);
  raw.path = "/services/unknown/x";
  EXPECT_EQ(ResultCodeOf(raw, ResponseFormat::kCall), 1007);
  raw.path = "/services/";
  EXPECT_EQ(ResultCodeOf(raw, ResponseFormat::kCall), 1007);
}

TEST(CallerRequestTest, ChatMessagesAreValidated) {
  RawCallerRequest raw = ValidRequest();
  raw.body = R"({"model": "m", "messages": [{"role": "user",
                                              "content": "hello"}]})";
  EXPECT_EQ(ResultCodeOf(raw, ResponseFormat::kChat), 0);
  for (const std::string messages :
       {"[]", "5", "[5]", "[{\"role\": \"user\"}]"}) {
    raw.body = R"({"model": "m", "messages": )" + messages + "}";
    EXPECT_EQ(ResultCodeOf(raw, ResponseFormat::kChat), 1001) << messages;
  }
}

TEST(CallerRequestTest, WorkspaceParametersOverrideTemplate) {
  RawCallerRequest raw = ValidRequest();
  raw.template_name = "dossier";
  const auto set = MakeTemplateSet();
  const auto request = TryOr(
      [&] {
        return ParseCompletion(raw, ResponseFormat::kCompletion, *set,
                               ClockReading::Now());
      },
      [](const Error&) { return CallerRequest{}; });
  EXPECT_TRUE(request.work.whole);
  EXPECT_EQ(request.work.priority, 7);
  EXPECT_EQ(request.service, "pool");
}

}  // namespace
}  // namespace balsam::entry
