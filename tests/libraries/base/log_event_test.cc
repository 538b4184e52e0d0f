// Tests that no value can end a log line or forge a pair.
#include "libraries/base/log_event.h"

#include <gtest/gtest.h>

#include <string>

namespace balsam {
namespace {

TEST(LogEventTest, PlainValuesAreNotEscaped) {
  EXPECT_EQ(EscapeLogValue("llm-pool-01"), "llm-pool-01");
}

TEST(LogEventTest, ValuesCannotEndLineOrForgePair) {
  EXPECT_EQ(EscapeLogValue("a\nevent=forged"), "\"a\\x0aevent=forged\"");
  EXPECT_EQ(EscapeLogValue("a b=c"), "\"a b=c\"");
  EXPECT_EQ(EscapeLogValue("say \"x\"\\"), "\"say \\\"x\\\"\\\\\"");
  EXPECT_EQ(EscapeLogValue(""), "\"\"");
  EXPECT_EQ(EscapeLogValue("\x1b[31m\xff"), "\"\\x1b[31m\\xff\"");
}

}  // namespace
}  // namespace balsam
