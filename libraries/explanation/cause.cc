// Rules from the last decision backwards: the answer's own reason, then what
// led to it.
#include "libraries/explanation/cause.h"

#include <algorithm>
#include <map>
#include <string_view>

#include "libraries/retry/attempt_policy.h"

namespace balsam::explanation {
namespace {

using Lines = std::vector<LogLine>;
using Index = std::optional<std::size_t>;

// The log names them by retry::NameOf.
using retry::AttemptEnd;

Index LastOf(const Lines& story, std::string_view event,
             std::string_view field = {}, std::string_view value = {}) {
  for (std::size_t i = story.size(); i > 0; --i) {
    const LogLine& line = story[i - 1];
    if (line.event != event) continue;
    if (field.empty() || line.Field(field) == value) return i - 1;
  }
  return std::nullopt;
}

bool Has(const Lines& story, std::string_view event,
         std::string_view field = {}, std::string_view value = {}) {
  return LastOf(story, event, field, value).has_value();
}

// Answers that the process gave at once, by their reason.
const std::map<std::string_view, std::string_view>& PlainReasons() {
  static const std::map<std::string_view, std::string_view> kReasons = {
      {"no_request_id", "the request came without an id"},
      {"no_route",
       "no route of the configuration in force fits its host and "
       "path"},
      {"unknown_key",
       "its key is in no workspace of the configuration in "
       "force"},
      {"no_configuration",
       "the process had just started and knew no "
       "configuration"},
      {"stopping",
       "the process was stopping, and would have ended before the "
       "request's time was over"},
      {"quarantined", "servers broke off while they ran this request before"},
      {"no_backend_server", "no backend server of its service was known"},
      {"no_room_in_time",
       "all servers were full, and the forecast of the wait "
       "was longer than it may wait"},
      {"no_room", "it waited for room as long as it may, and none came free"},
      {"deadline_while_waiting", "its deadline passed while it waited"},
      {"deadline", "its time was over before the answer was complete"},
      {"no_other_server", "no other server was left to try"},
      {"client_left", "the client closed its connection"},
      {"answer_broken",
       "the server's answer broke off after the client had "
       "its beginning"},
      {"event_gap", "the engine that went on skipped an event"},
      {"event_too_long", "the engine sent what is no event, without end"},
  };
  return kReasons;
}

Cause OfServerFailure(const Lines& story, Index answer) {
  if (const Index rejected = LastOf(story, "answer_rejected")) {
    return {"answer_rejected",
            "the server's answer was not one to this request: " +
                story[*rejected].Field("reason"),
            rejected};
  }
  const Index attempt = LastOf(story, "attempt_ended");
  if (!attempt.has_value()) {
    return {"server_failed", "the server failed", answer};
  }
  const std::string& end = story[*attempt].Field("end");
  const std::string& server = story[*attempt].Field("server");
  if (end == NameOf(AttemptEnd::kNotSent)) {
    return {"server_unreachable", "server " + server + " was not connected to",
            attempt};
  }
  if (end == NameOf(AttemptEnd::kNotRun)) {
    return {"server_refused",
            "server " + server + " proved that it did not run the request",
            attempt};
  }
  if (end == NameOf(AttemptEnd::kServerError)) {
    return {"server_error",
            "server " + server + " answered " + story[*attempt].Field("status"),
            attempt};
  }
  return {"answer_lost",
          "the connection to server " + server +
              " ended without a whole answer; the request may have run",
          attempt};
}

Cause OfLostStream(const Lines& story, Index end) {
  const Index broken = LastOf(story, "stream_broken");
  const std::string server =
      broken.has_value() ? story[*broken].Field("server") : "";
  const Index copied = LastOf(story, "move_copied", "status", "200");
  const bool has_copy =
      copied.has_value() &&
      (!broken.has_value() || story[*copied].Field("from") == server);
  if (has_copy) {
    return {"copy_refused",
            "engine " + story[*copied].Field("from") + " left, and engine " +
                story[*copied].Field("to") +
                ", which held the run's copy, did not go on with it",
            copied};
  }
  if (!broken.has_value()) {
    return {"stream_lost", "the run could not go on elsewhere", end};
  }
  if (story[*broken].Field("moving") == "0") {
    if (const Index lapsed =
            LastOf(story, "server_changed", "change", "lapsed")) {
      return {"engine_taken_for_lapsed",
              "engine " + server +
                  " left; its missing entry was taken for an outage of the "
                  "store, so its runs were not moved",
              lapsed};
    }
    return {"engine_lost_without_notice",
            "engine " + server + " broke off and had not said that it leaves",
            broken};
  }
  const Index refused = LastOf(story, "move_copied", "status", "503");
  if (refused.has_value() && story[*refused].Field("from") == server) {
    return {"no_room_for_copy",
            "engine " + server + " left, and targets refused its copy",
            refused};
  }
  if (const Index none = LastOf(story, "move_no_target", "server", server)) {
    return {"no_target_for_copy",
            "engine " + server + " left, and no other engine had room", none};
  }
  return {"engine_left_before_copy",
          "engine " + server +
              " was gone before the copy was complete: its link was busy",
          broken};
}

Cause OfReason(const Lines& story, const std::string& reason, Index line) {
  if (reason == "server_failed" || reason == "refused_by_server") {
    return OfServerFailure(story, line);
  }
  if (reason == "stream_lost") return OfLostStream(story, line);
  const auto known = PlainReasons().find(reason);
  return {reason,
          known == PlainReasons().end() ? reason : std::string(known->second),
          line};
}

// The product's daemons conclude with a result code's name.
Cause OfConclusion(const Lines& story, std::size_t conclusion) {
  const std::string& result = story[conclusion].Field("result");
  if (result == "ok") return {"served", "it was served", conclusion};
  Index deciding = LastOf(story, "refused");
  if (!deciding.has_value()) deciding = LastOf(story, "finished");
  const std::string& detail =
      deciding.has_value() ? story[*deciding].Field("reason") : std::string();
  return {result, detail.empty() ? "see docs/RESULT_CODES.md" : detail,
          deciding.has_value() ? deciding : Index(conclusion)};
}

}  // namespace

Cause FindCause(const Lines& story) {
  if (const Index conclusion = LastOf(story, "concluded")) {
    return OfConclusion(story, *conclusion);
  }
  if (const Index answer = LastOf(story, "own_answer")) {
    return OfReason(story, story[*answer].Field("reason"), answer);
  }
  const Index end = LastOf(story, "request");
  if (!end.has_value()) {
    // The process starts anew after the request's first line there.
    const Index started = LastOf(story, "started");
    const auto is_own = [](const LogLine& line) {
      return line.event == "sent" || line.event == "waiting";
    };
    const auto own = std::ranges::find_if(story, is_own);
    if (started.has_value() && own != story.end() &&
        static_cast<std::size_t>(own - story.begin()) < *started) {
      return {"process_ended",
              "the gateway's process ended while it had the request, and "
              "started anew",
              started};
    }
    return {"unfinished",
            story.empty() ? "no line tells of it"
                          : "no line tells its end: it ran still, or its "
                            "process ended",
            std::nullopt};
  }
  const std::string& outcome = story[*end].Field("outcome");
  if (outcome != "delivered") return OfReason(story, outcome, end);
  const std::string& status = story[*end].Field("status");
  if (status.starts_with('5')) {
    return {"server_error",
            "server " + story[*end].Field("server") + " answered " + status,
            Has(story, "attempt_ended") ? LastOf(story, "attempt_ended") : end};
  }
  if (status.starts_with('4')) {
    return {"server_refused_request",
            "server " + story[*end].Field("server") + " answered " + status,
            end};
  }
  return {"served", "it was served", end};
}

}  // namespace balsam::explanation
