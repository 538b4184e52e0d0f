// Derives the cause backwards from the final response: first its own reason,
// then the events that led to it.
#include "libraries/explanation/cause.h"

#include <algorithm>
#include <map>
#include <string_view>

#include "libraries/retry/attempt_policy.h"

namespace balsam::explanation {
namespace {

using Lines = std::vector<LogLine>;
using LineIndex = std::optional<std::size_t>;

// The log contains the names that retry::NameOf returns.
using retry::AttemptEnd;

LineIndex FindLast(const Lines& timeline, std::string_view event,
                   std::string_view field = {}, std::string_view value = {}) {
  for (std::size_t i = timeline.size(); i > 0; --i) {
    const LogLine& line = timeline[i - 1];
    if (line.event != event) continue;
    if (field.empty() || line.Field(field) == value) return i - 1;
  }
  return std::nullopt;
}

bool HasEvent(const Lines& timeline, std::string_view event,
              std::string_view field = {}, std::string_view value = {}) {
  return FindLast(timeline, event, field, value).has_value();
}

// Descriptions of reasons that need no further lines to explain them.
const std::map<std::string_view, std::string_view>& ReasonDescriptions() {
  static const std::map<std::string_view, std::string_view> kDescriptions = {
      {"no_request_id", "the request has no id"},
      {"no_route",
       "no route of the current configuration matches its host and "
       "path"},
      {"unknown_key",
       "its key belongs to no workspace of the current "
       "configuration"},
      {"no_configuration",
       "the process had just started and had no configuration "
       "yet"},
      {"newer_configuration",
       "its route or key was unknown, but a newer configuration was on its way "
       "from another gateway"},
      {"outdated_configuration",
       "the process still lacked a configuration that most gateways had"},
      {"stopping",
       "the process was stopping and would have exited before the "
       "request's deadline"},
      {"quarantined",
       "servers repeatedly crashed while they were running this request, or "
       "others that share parts of its prompt"},
      {"no_backend_server", "no backend server of its service is known"},
      {"no_room_in_time",
       "all servers were full, and the expected wait exceeded its "
       "limit"},
      {"no_room", "no capacity was freed within its maximum wait"},
      {"deadline_while_waiting", "its deadline expired while it was queued"},
      {"deadline", "its deadline expired before the response was complete"},
      {"no_other_server", "no other server was available for a retry"},
      {"client_left", "the client closed its connection"},
      {"answer_broken",
       "the connection to the server broke after part of the response "
       "had been sent to the client"},
      {"event_gap", "the engine that resumed the run skipped an event"},
      {"event_too_long", "the engine sent data without the end of an event"},
  };
  return kDescriptions;
}

Cause CauseOfServerFailure(const Lines& timeline, LineIndex response) {
  if (const LineIndex rejected = FindLast(timeline, "answer_rejected")) {
    return {"answer_rejected",
            "the server's response does not belong to this request: " +
                timeline[*rejected].Field("reason"),
            rejected};
  }
  const LineIndex attempt = FindLast(timeline, "attempt_ended");
  if (!attempt.has_value()) {
    return {"server_failed", "the server failed", response};
  }
  const std::string& end = timeline[*attempt].Field("end");
  const std::string& server = timeline[*attempt].Field("server");
  if (end == NameOf(AttemptEnd::kNotSent)) {
    return {"server_unreachable", "server " + server + " could not be reached",
            attempt};
  }
  if (end == NameOf(AttemptEnd::kNotRun)) {
    return {"server_refused",
            "server " + server + " reported that it did not run the request",
            attempt};
  }
  if (end == NameOf(AttemptEnd::kServerError)) {
    return {"server_error",
            "server " + server + " returned status " +
                timeline[*attempt].Field("status"),
            attempt};
  }
  return {"answer_lost",
          "the connection to server " + server +
              " ended before the response was complete; the request may have "
              "run",
          attempt};
}

Cause CauseOfLostStream(const Lines& timeline, LineIndex end) {
  const LineIndex broken = FindLast(timeline, "stream_broken");
  const std::string server =
      broken.has_value() ? timeline[*broken].Field("server") : "";
  const LineIndex copied = FindLast(timeline, "move_copied", "status", "200");
  const bool was_copied =
      copied.has_value() &&
      (!broken.has_value() || timeline[*copied].Field("from") == server);
  if (was_copied) {
    return {"copy_refused",
            "engine " + timeline[*copied].Field("from") + " left, and engine " +
                timeline[*copied].Field("to") +
                ", which held a copy of the run, did not resume it",
            copied};
  }
  if (!broken.has_value()) {
    return {"stream_lost", "the run could not be resumed on another engine",
            end};
  }
  if (timeline[*broken].Field("moving") == "0") {
    if (const LineIndex lapsed =
            FindLast(timeline, "server_changed", "change", "lapsed")) {
      return {"engine_taken_for_lapsed",
              "engine " + server +
                  " left, but its missing store record was taken for an "
                  "outage of the store, so its runs were not migrated",
              lapsed};
    }
    return {
        "engine_lost_without_notice",
        "engine " + server + " disconnected without announcing that it leaves",
        broken};
  }
  const LineIndex refused = FindLast(timeline, "move_copied", "status", "503");
  if (refused.has_value() && timeline[*refused].Field("from") == server) {
    return {
        "no_room_for_copy",
        "engine " + server + " left, and the target engines refused the copy",
        refused};
  }
  if (const LineIndex no_target =
          FindLast(timeline, "move_no_target", "server", server)) {
    return {"no_target_for_copy",
            "engine " + server + " left, and no other engine had capacity",
            no_target};
  }
  return {"engine_left_before_copy",
          "engine " + server +
              " left before the copy was complete, because its link was busy",
          broken};
}

Cause CauseOfReason(const Lines& timeline, const std::string& reason,
                    LineIndex line) {
  if (reason == "server_failed" || reason == "refused_by_server") {
    return CauseOfServerFailure(timeline, line);
  }
  if (reason == "stream_lost") return CauseOfLostStream(timeline, line);
  const auto known = ReasonDescriptions().find(reason);
  return {
      reason,
      known == ReasonDescriptions().end() ? reason : std::string(known->second),
      line};
}

// Entries and sidecars log the name of a result code.
Cause CauseOfConclusion(const Lines& timeline, std::size_t conclusion) {
  const std::string& result = timeline[conclusion].Field("result");
  if (result == "ok") return {"served", "it was served", conclusion};
  LineIndex deciding = FindLast(timeline, "refused");
  if (!deciding.has_value()) deciding = FindLast(timeline, "finished");
  const std::string& detail = deciding.has_value()
                                  ? timeline[*deciding].Field("reason")
                                  : std::string();
  return {result, detail.empty() ? "see docs/RESULT_CODES.md" : detail,
          deciding.has_value() ? deciding : LineIndex(conclusion)};
}

}  // namespace

Cause FindCause(const Lines& timeline) {
  if (const LineIndex conclusion = FindLast(timeline, "concluded")) {
    return CauseOfConclusion(timeline, *conclusion);
  }
  if (const LineIndex response = FindLast(timeline, "own_answer")) {
    return CauseOfReason(timeline, timeline[*response].Field("reason"),
                         response);
  }
  const LineIndex end = FindLast(timeline, "request");
  if (!end.has_value()) {
    // The process restarted after its first line about the request.
    const LineIndex started = FindLast(timeline, "started");
    const auto is_request_line = [](const LogLine& line) {
      return line.event == "sent" || line.event == "waiting";
    };
    const auto first_line = std::ranges::find_if(timeline, is_request_line);
    if (started.has_value() && first_line != timeline.end() &&
        static_cast<std::size_t>(first_line - timeline.begin()) < *started) {
      return {"process_ended",
              "the gateway process ended while it was handling the request, "
              "and was restarted",
              started};
    }
    return {"unfinished",
            timeline.empty()
                ? "no log line mentions it"
                : "its final line is missing: it is still running, "
                  "or its process ended",
            std::nullopt};
  }
  const std::string& outcome = timeline[*end].Field("outcome");
  if (outcome != "delivered") return CauseOfReason(timeline, outcome, end);
  const std::string& status = timeline[*end].Field("status");
  if (status.starts_with('5')) {
    return {"server_error",
            "server " + timeline[*end].Field("server") + " returned status " +
                status,
            HasEvent(timeline, "attempt_ended")
                ? FindLast(timeline, "attempt_ended")
                : end};
  }
  if (status.starts_with('4')) {
    return {"server_refused_request",
            "server " + timeline[*end].Field("server") + " returned status " +
                status,
            end};
  }
  return {"served", "it was served", end};
}

}  // namespace balsam::explanation
