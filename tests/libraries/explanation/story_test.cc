// Timelines and causes from the text of logs.
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include "libraries/base/log_event.h"
#include "libraries/explanation/cause.h"
#include "libraries/explanation/request_timeline.h"

namespace balsam::explanation {
namespace {

std::vector<LogLine> TimelineOf(const std::string& id,
                                const std::vector<std::string>& texts) {
  RequestTimeline timeline(id);
  for (const std::string& text : texts) {
    if (const auto line = ParseLogLine(text, "file")) timeline.Add(*line);
  }
  return timeline.Lines();
}

TEST(LogLineTest, ParsesEscapedValues) {
  const std::string value = "a \"quoted\\\" = \n\x01 end";
  const auto line = ParseLogLine("time=1 level=INFO process=p event=e reason=" +
                                     EscapeLogValue(value) + " id=r-1",
                                 "file");
  ASSERT_TRUE(line.has_value());
  EXPECT_EQ(line->event, "e");
  EXPECT_EQ(line->process, "p");
  EXPECT_EQ(line->Field("reason"), value);
  EXPECT_TRUE(line->ConcernsRequest("r-1"));
  EXPECT_FALSE(line->ConcernsRequest("r-2"));
}

TEST(LogLineTest, ASourceBeforeTheTimeOverridesTheFileName) {
  EXPECT_EQ(ParseLogLine("  1.5 vm-2 time=1 event=e", "file")->source, "vm-2");
  EXPECT_EQ(ParseLogLine("time=1 event=e", "file")->source, "file");
  EXPECT_FALSE(ParseLogLine("no event here", "file").has_value());
  EXPECT_FALSE(ParseLogLine("event=", "file").has_value());
}

// Guards against reporting a request as unfinished although the log shows that
// its process was killed and restarted.
TEST(CauseTest, ARestartedProcessHasLostItsRequests) {
  const auto timeline = TimelineOf(
      "r-1",
      {"event=started incarnation=1", "event=sent id=r-1 server=i-1",
       "event=started incarnation=2", "event=store_regained revision=9"});
  const Cause cause = FindCause(timeline);
  EXPECT_EQ(cause.name, "process_ended");
  ASSERT_TRUE(cause.deciding_line.has_value());
  EXPECT_EQ(timeline[*cause.deciding_line].Field("incarnation"), "2");
  // Later lines of the restarted process do not concern the request.
  EXPECT_EQ(timeline.back().event, "started");
}

TEST(CauseTest, ARequestWithoutFinalLineInARunningProcessIsUnfinished) {
  const auto timeline = TimelineOf(
      "r-1", {"event=started incarnation=1", "event=sent id=r-1 server=i-1"});
  EXPECT_EQ(FindCause(timeline).name, "unfinished");
}

TEST(RequestTimelineTest, IncludesTheKnownStateOfInvolvedServers) {
  const auto timeline = TimelineOf(
      "r-1", {"event=configuration_in_force version=4",
              "event=configuration_in_force version=5",
              "event=server_changed server=i-1 change=appeared",
              "event=server_changed server=i-9 change=appeared",
              "event=request id=r-0 server=i-9",
              "event=attempt_ended id=r-1 server=i-1 end=unknown",
              "event=server_changed server=i-1 change=leaving",
              "event=server_changed server=i-9 change=leaving",
              "event=request id=r-1 server=i-1 outcome=server_failed",
              "event=server_changed server=i-1 change=gone"});
  std::vector<std::string> texts;
  std::ranges::transform(timeline, std::back_inserter(texts), &LogLine::text);
  EXPECT_EQ(texts,
            (std::vector<std::string>{
                "event=configuration_in_force version=5",
                "event=server_changed server=i-1 change=appeared",
                "event=attempt_ended id=r-1 server=i-1 end=unknown",
                "event=server_changed server=i-1 change=leaving",
                "event=request id=r-1 server=i-1 outcome=server_failed"}));
}

// The sidecar's clock is an hour ahead of the entry's, whose line must still
// come last.
TEST(RequestTimelineTest, OrdersLinesByHopNotByClock) {
  const auto timeline = TimelineOf(
      "r-1",
      {"vm-1 time=10:00 process=balsam-entry event=concluded request=r-1 "
       "result=deadline_in_queue",
       "vm-2 time=11:00 process=balsam-sidecar event=refused request=r-1 "
       "code=2003 reason=\"waited in vain\""});
  ASSERT_EQ(timeline.size(), 2U);
  EXPECT_EQ(timeline[0].event, "refused");
  const Cause cause = FindCause(timeline);
  EXPECT_EQ(cause.name, "deadline_in_queue");
  EXPECT_EQ(cause.text, "waited in vain");
  EXPECT_EQ(cause.deciding_line, 0U);
}

TEST(CauseTest, ARequestWithoutFinalLineIsUnfinished) {
  EXPECT_EQ(FindCause(TimelineOf("r-1", {"event=waiting id=r-1"})).name,
            "unfinished");
  const Cause unknown = FindCause(TimelineOf("r-1", {"event=waiting id=r-2"}));
  EXPECT_EQ(unknown.text, "no log line mentions it");
}

TEST(CauseTest, AnEngineWhoseRecordExpired) {
  EXPECT_EQ(
      FindCause(
          TimelineOf("r-1", {"event=waiting id=r-1 server=i-1",
                             "event=server_changed server=i-1 change=lapsed",
                             "event=stream_broken id=r-1 server=i-1 moving=0",
                             "event=request id=r-1 outcome=stream_lost"}))
          .name,
      "engine_taken_for_lapsed");
}

TEST(CauseTest, RefusalsForLackOfCapacity) {
  for (const char* reason :
       {"no_room_in_time", "no_room", "deadline_while_waiting"}) {
    const std::string line =
        std::string("event=own_answer id=r-1 status=503 reason=") + reason;
    EXPECT_EQ(FindCause(TimelineOf("r-1", {line})).name, reason);
  }
}

}  // namespace
}  // namespace balsam::explanation
