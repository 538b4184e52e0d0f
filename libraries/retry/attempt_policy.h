// Decides what follows an attempt at a backend server: the answer goes to the
// client, another server is tried, or the request ends. Pure, so that each row
// of the table is a test.
#pragma once

#include <string_view>

namespace balsam::retry {

// How one attempt ended, by what is proved about it.
enum class AttemptEnd {
  // Nothing of the request was written, as when the connection failed.
  kNotSent,
  // The server proved that it did not run the request.
  kNotRun,
  // A complete answer of the server's own, success or failure.
  kAnswered,
  // A complete failure of a server that may be another's next success.
  kServerError,
  // Sent, and no answer that can be used: closed, reset, truncated, foreign.
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
  // Bytes of the answer have reached the client.
  bool answer_begun = false;
  // Servers that the request was sent to, this one included, and how many it
  // may be sent to.
  int sent_attempts = 1;
  int max_attempts = 1;
  bool time_left = true;
  // Whether the shared retry budget allows another arrival.
  bool budget_left = true;
};

enum class NextStep {
  kDeliver,
  kTryAnother,
  // A final answer that promises that the request never ran: 503.
  kRefuse,
  // A final answer that promises nothing: 502.
  kFail,
  // The answer has begun; the client's connection ends incomplete.
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

NextStep DecideNext(const AttemptState& state);

}  // namespace balsam::retry
