// Tests that logging never blocks when the reader has stopped.
#include "libraries/base/bounded_log_sink.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <climits>

namespace balsam {
namespace {

class BoundedLogSinkTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(pipe2(pipe_.data(), O_NONBLOCK), 0);
    // The write end is blocking, like standard output.
    ASSERT_EQ(fcntl(pipe_[1], F_SETFL, 0), 0);
  }
  void TearDown() override {
    close(pipe_[0]);
    close(pipe_[1]);
  }
  std::string ReadAll() {
    std::string text;
    std::array<char, 4096> buffer;
    for (ssize_t count = 0;
         (count = read(pipe_[0], buffer.data(), buffer.size())) > 0;) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  std::array<int, 2> pipe_{-1, -1};
  BootTime now_ = BootTime{} + std::chrono::hours(1);
};

TEST_F(BoundedLogSinkTest, StoppedReaderDropsLinesWithoutBlocking) {
  BoundedLogSink sink(pipe_[1]);
  const std::string line = std::string(1000, 'x') + "\n";
  int written = 0;
  for (int i = 0; i < 1000; ++i) {
    if (sink.Write("event" + std::to_string(i), line, now_)) ++written;
  }
  EXPECT_GT(written, 0);
  EXPECT_EQ(sink.dropped(), 1000U - static_cast<unsigned>(written));
  ReadAll();
  EXPECT_TRUE(sink.Write("later", "event=later\n", now_));
  EXPECT_EQ(ReadAll(), "event=log_dropped lines=" +
                           std::to_string(1000 - written) + "\nevent=later\n");
}

// Regression test: a writable pipe accepts PIPE_BUF bytes without blocking, but
// a line with a client's id can be longer. The writer blocked when the reader
// stopped after the first of two such lines.
TEST_F(BoundedLogSinkTest, TruncatesLongLineToAtomicPipeWrite) {
  BoundedLogSink sink(pipe_[1]);
  const std::string line = std::string(std::size_t{5} * PIPE_BUF, 'x') + "\n";
  EXPECT_TRUE(sink.Write("event", line, now_));
  const std::string read = ReadAll();
  EXPECT_EQ(read.size(), PIPE_BUF);
  EXPECT_EQ(read.back(), '\n');
}

TEST_F(BoundedLogSinkTest, RateLimitsEachEventSeparately) {
  BoundedLogSink sink(pipe_[1]);
  std::int64_t written = 0;
  for (int i = 0; i < 1000; ++i) {
    if (sink.Write("often", "event=often\n", now_)) ++written;
  }
  EXPECT_EQ(written, BoundedLogSink::kMaxLinesPerSecond);
  EXPECT_TRUE(sink.Write("rare", "event=rare\n", now_));
  now_ += std::chrono::seconds(1);
  EXPECT_TRUE(sink.Write("often", "event=often\n", now_));
}

}  // namespace
}  // namespace balsam
