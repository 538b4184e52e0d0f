// Decides what follows an attempt at a backend server: the response is
// delivered to the client, another server is tried, or the request ends. A pure
// function, so that each case can be tested as a table row.
#pragma once

#include <string_view>

namespace balsam::retry {

// How an attempt ended, by what is known for certain about it.
enum class AttemptEnd {
  // No part of the request was written, e.g. because the connection failed.
  kNotSent,
  // The server confirmed that it did not run the request.
  kNotRun,
  // The server sent a complete response of its own, success or failure.
  kAnswered,
  // The server sent a complete error response; another server may succeed.
  kServerError,
  // The request was sent, but there was no usable response: the connection was
  // closed or reset, or the response was truncated or not the server's own.
  kUnknown,
};

constexpr std::string_view NameOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kNotRun:
      return "not_run";
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kServerError:
      return "server_error";
    case AttemptEnd::kUnknown:
      return "unknown";
  }
  return "";
}

struct AttemptState {
  AttemptEnd end = AttemptEnd::kUnknown;
  bool may_repeat = false;
  // Part of a response has been sent to the client.
  bool response_started = false;
  // That part is of this attempt's response.
  bool is_relayed = false;
  // Number of servers to which the request was sent, including this one, and
  // the maximum.
  int sent_attempts = 1;
  int max_attempts = 1;
  bool time_left = true;
  // Whether the shared retry budget allows another attempt.
  bool budget_left = true;
};

enum class NextStep {
  kDeliver,
  kTryAnother,
  // Final response that guarantees that the request was not run: 503.
  kRefuse,
  // Final response that does not say whether the request was run: 502.
  kFail,
  // The response has started, so the client's connection is closed without
  // completing it.
  kBreakOff,
};

constexpr std::string_view NameOf(NextStep step) {
  switch (step) {
    case NextStep::kDeliver:
      return "deliver";
    case NextStep::kTryAnother:
      return "try_another";
    case NextStep::kRefuse:
      return "refuse";
    case NextStep::kFail:
      return "fail";
    case NextStep::kBreakOff:
      return "break_off";
  }
  return "";
}

NextStep DecideNextStep(const AttemptState& state);

}  // namespace balsam::retry
