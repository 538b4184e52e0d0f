// What callers send: each bad request gets its number, and harms nobody.
#include "services/entry/caller_request.h"

#include <gtest/gtest.h>

#include <QCryptographicHash>
#include <functional>
#include <string>

namespace balsam::entry {
namespace {

constexpr char kBearer[] = "secret-key";

std::shared_ptr<const templates::TemplateSet> Set() {
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

CallerInput Good() {
  CallerInput input;
  input.method = "POST";
  input.path = "/v1/completions";
  input.content_type = "application/json; charset=utf-8";
  input.bearer = kBearer;
  input.body = R"({"model": "m", "prompt": "hello", "stream": true})";
  return input;
}

// The number of the error, or zero.
int CodeOf(const CallerInput& input,
           AnswerForm form = AnswerForm::kCompletion) {
  const auto set = Set();
  return TryOr(
      [&]() -> Result<int> {
        if (form == AnswerForm::kCall) {
          BOOST_LEAF_CHECK(ParseServiceCall(input, *set, ClockReading::Now()));
        } else {
          BOOST_LEAF_CHECK(
              ParseCompletion(input, form, *set, ClockReading::Now()));
        }
        return 0;
      },
      [](const Error& error) {
        EXPECT_FALSE(error.detail.empty());
        EXPECT_EQ(error.detail.find(kBearer), std::string::npos);
        return static_cast<int>(error.code);
      });
}

struct BadCase {
  std::string name;
  std::function<void(CallerInput&)> spoil;
  int code;

  friend void PrintTo(const BadCase& row, std::ostream* out) {
    *out << row.name;
  }
};

class BadCallerTest : public testing::TestWithParam<BadCase> {};

TEST_P(BadCallerTest, GetsItsNumber) {
  CallerInput input = Good();
  ASSERT_EQ(CodeOf(input), 0);
  GetParam().spoil(input);
  EXPECT_EQ(CodeOf(input), GetParam().code);
}

std::function<void(CallerInput&)> Body(std::string body) {
  return [body = std::move(body)](CallerInput& input) { input.body = body; };
}

INSTANTIATE_TEST_SUITE_P(
    Cases, BadCallerTest,
    testing::Values(
        BadCase{"Malformed", Body("{\"model\":"), 1001},
        BadCase{"Empty", Body(""), 1001},
        BadCase{"TooDeep", Body(std::string(100000, '[')), 1001},
        BadCase{"DuplicateKey", Body(R"({"model": "m", "model": "m"})"), 1001},
        BadCase{"NotUtf8", Body("{\"model\": \"\xff\xfe\"}"), 1001},
        BadCase{"NoPrompt", Body(R"({"model": "m"})"), 1001},
        BadCase{"PromptOfWrongType", Body(R"({"model": "m", "prompt": 5})"),
                1001},
        BadCase{"StreamOfWrongType",
                Body(R"({"model": "m", "prompt": "", "stream": "yes"})"), 1001},
        BadCase{"NegativeLimit",
                Body(R"({"model": "m", "prompt": "", "max_tokens": -1})"),
                1006},
        BadCase{"HugeLimit", Body(R"({"model": "m", "prompt": "",
                         "max_tokens": 99999999999999999999})"),
                1006},
        BadCase{"LimitAboveTheTemplates",
                Body(R"({"model": "m", "prompt": "", "max_tokens": 101})"),
                1006},
        BadCase{"UnknownModel", Body(R"({"model": "x", "prompt": ""})"), 1005},
        BadCase{"WrongContentType",
                [](CallerInput& input) { input.content_type = "text/plain"; },
                1003},
        BadCase{"UnknownKey",
                [](CallerInput& input) { input.bearer = "other"; }, 1004},
        BadCase{"NoKey", [](CallerInput& input) { input.bearer = ""; }, 1004},
        BadCase{"UnknownTemplate",
                [](CallerInput& input) { input.template_name = "x"; }, 1013},
        BadCase{"BadIdempotencyKey",
                [](CallerInput& input) {
                  input.idempotency_key = std::string(200, 'x');
                },
                1009},
        BadCase{"KeyWithLineBreak",
                [](CallerInput& input) { input.idempotency_key = "a\nb"; },
                1009}),
    [](const auto& row) { return row.param.name; });

TEST(CallerRequestTest, AServiceCallFollowsTheTemplates) {
  CallerInput input = Good();
  input.path = "/services/locker/release?door=17";
  EXPECT_EQ(CodeOf(input, AnswerForm::kCall), 0);
  input.method = "DELETE";
  EXPECT_EQ(CodeOf(input, AnswerForm::kCall), 1008);
  input.path = "/services/unknown/x";
  EXPECT_EQ(CodeOf(input, AnswerForm::kCall), 1007);
  input.path = "/services/";
  EXPECT_EQ(CodeOf(input, AnswerForm::kCall), 1007);
}

TEST(CallerRequestTest, ChatMessagesAreChecked) {
  CallerInput input = Good();
  input.body = R"({"model": "m", "messages": [{"role": "user",
                                              "content": "hello"}]})";
  EXPECT_EQ(CodeOf(input, AnswerForm::kChat), 0);
  for (const std::string messages :
       {"[]", "5", "[5]", "[{\"role\": \"user\"}]"}) {
    input.body = R"({"model": "m", "messages": )" + messages + "}";
    EXPECT_EQ(CodeOf(input, AnswerForm::kChat), 1001) << messages;
  }
}

TEST(CallerRequestTest, AWorkspacesOwnParametersHold) {
  CallerInput input = Good();
  input.template_name = "dossier";
  const auto set = Set();
  const auto request = TryOr(
      [&] {
        return ParseCompletion(input, AnswerForm::kCompletion, *set,
                               ClockReading::Now());
      },
      [](const Error&) { return CallerRequest{}; });
  EXPECT_TRUE(request.work.whole);
  EXPECT_EQ(request.work.priority, 7);
  EXPECT_EQ(request.service, "pool");
}

}  // namespace
}  // namespace balsam::entry
