// The client's stream over several engines: whole events, each once, in order.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "libraries/migration/event_stream_merger.h"

namespace balsam::migration {
namespace {

std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: token " +
         std::to_string(number) + "\n\n";
}

std::string Events(int first, int last) {
  std::string text;
  for (int number = first; number <= last; ++number) text += Event(number);
  return text;
}

TEST(EventStreamMergerTest, PassesOnWholeEventsOnly) {
  EventStreamMerger stream;
  EventSplitter run;
  EXPECT_EQ(stream.Append(run, "id: 1\nda"), "");
  EXPECT_EQ(run.partial_bytes(), 8U);
  EXPECT_EQ(stream.Append(run, "ta: x\n\nid: 2"), "id: 1\ndata: x\n\n");
  EXPECT_EQ(run.partial_bytes(), 5U);
  EXPECT_EQ(stream.last_event(), 1U);
}

TEST(EventStreamMergerTest, DropsAPartialEventWhenTheEngineChanges) {
  EventStreamMerger stream;
  EventSplitter first;
  EXPECT_EQ(stream.Append(first, Event(1) + "id: 2\ndata: to"), Event(1));
  EventSplitter second;
  EXPECT_EQ(stream.Append(second, Event(2)), Event(2));
}

TEST(EventStreamMergerTest, GapIsAFault) {
  EventStreamMerger stream;
  EventSplitter run;
  EXPECT_EQ(stream.Append(run, Event(1) + Event(3)), Event(1));
  EXPECT_EQ(stream.fault(), EventStreamMerger::Fault::kGap);
  EXPECT_EQ(stream.Append(run, Event(2)), "");
}

TEST(EventStreamMergerTest, LineBeforeTheNumberIsPartOfTheEvent) {
  EventStreamMerger stream;
  EventSplitter run;
  const std::string event = "weight-versions: 2\nid: 7\ndata: x\n\n";
  EXPECT_EQ(stream.Append(run, event), event);
  EXPECT_EQ(stream.last_event(), 7U);
}

TEST(EventStreamMergerTest, OversizedEventIsAFault) {
  EventStreamMerger stream;
  EventSplitter run;
  stream.Append(run, std::string(EventSplitter::kMaxEventBytes + 1, 'x'));
  EXPECT_EQ(stream.fault(), EventStreamMerger::Fault::kTooLong);
}

// Guards against events of another request: without framing, a response that
// follows the run's own was split into events as well.
TEST(EventSplitterTest, RunWithoutFramingEndsAtAnotherResponse) {
  EventStreamMerger stream;
  EventSplitter run(EventSplitter::Framing::kUnframed);
  EXPECT_EQ(stream.Append(run, Event(1) + "HTT"), Event(1));
  EXPECT_EQ(run.partial_bytes(), 3U);
  EXPECT_EQ(stream.Append(run, "P/1.1 200 OK\r\n\r\n" + Event(2)), "");
  EXPECT_EQ(stream.Append(run, Event(2)), "");
  EXPECT_EQ(run.partial_bytes(), 0U);
}

// Guards against an event that was continued with the response after it: the
// engine had broken it off.
TEST(EventSplitterTest, RunWithoutFramingEndsAtAnotherResponseWithinAnEvent) {
  const std::string text = Event(1) + "id: 2\nda" +
                           "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\n\r\n" +
                           Event(1) + Event(2);
  for (std::size_t size = 1; size <= text.size(); ++size) {
    EventStreamMerger stream;
    EventSplitter run(EventSplitter::Framing::kUnframed);
    std::string seen;
    for (std::size_t at = 0; at < text.size(); at += size) {
      seen += stream.Append(run, text.substr(at, size));
    }
    EXPECT_EQ(seen, Event(1));
    EXPECT_EQ(run.partial_bytes(), 8U);
  }
}

// The text of an event may be about HTTP.
TEST(EventSplitterTest, StatusLineWithinAnEventIsText) {
  const std::string event = "id: 1\ndata: HTTP/1.1 200 OK\n\n";
  for (const auto framing :
       {EventSplitter::Framing::kFramed, EventSplitter::Framing::kUnframed}) {
    EventStreamMerger stream;
    EventSplitter run(framing);
    EXPECT_EQ(stream.Append(run, event), event);
  }
}

// Engines fail after any byte, and the next one resumes before or after the
// last event that the client received.
RC_GTEST_PROP(EventStreamMergerPropertyTest, ClientReceivesEachEventOnce, ()) {
  constexpr int kLast = 20;
  EventStreamMerger stream;
  std::string seen;
  for (int engines = 0; engines < 6; ++engines) {
    const int done = static_cast<int>(stream.last_event().value_or(0));
    const int from = *rc::gen::inRange(std::max(1, done - 2), done + 2);
    std::string text = Events(from, kLast);
    if (engines < 5) {
      text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    }
    EventSplitter run;
    while (!text.empty()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
      seen += stream.Append(run, text.substr(0, size));
      text.erase(0, size);
    }
  }
  RC_ASSERT(stream.fault() == EventStreamMerger::Fault::kNone);
  RC_ASSERT(seen == Events(1, kLast));
}

}  // namespace
}  // namespace balsam::migration
