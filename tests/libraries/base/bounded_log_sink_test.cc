// A log that never waits, with a reader that stopped.
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
    ASSERT_EQ(pipe2(ends_.data(), O_NONBLOCK), 0);
    // Blocking for the writer, as standard output is.
    ASSERT_EQ(fcntl(ends_[1], F_SETFL, 0), 0);
  }
  void TearDown() override {
    close(ends_[0]);
    close(ends_[1]);
  }
  std::string ReadAll() {
    std::string text;
    std::array<char, 4096> buffer;
    for (ssize_t count = 0;
         (count = read(ends_[0], buffer.data(), buffer.size())) > 0;) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  std::array<int, 2> ends_{-1, -1};
  BootTime now_ = BootTime{} + std::chrono::hours(1);
};

TEST_F(BoundedLogSinkTest, AReaderThatStoppedCostsLinesNotTime) {
  BoundedLogSink sink(ends_[1]);
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

// Found by reading: a pipe that is ready takes PIPE_BUF bytes without waiting,
// and a client's id may be longer than that. A reader that stops after the
// first of two such lines made the writer wait.
TEST_F(BoundedLogSinkTest, ALongLineIsCutToWhatAPipeTakesAtOnce) {
  BoundedLogSink sink(ends_[1]);
  const std::string line = std::string(std::size_t{5} * PIPE_BUF, 'x') + "\n";
  EXPECT_TRUE(sink.Write("event", line, now_));
  const std::string read = ReadAll();
  EXPECT_EQ(read.size(), PIPE_BUF);
  EXPECT_EQ(read.back(), '\n');
}

TEST_F(BoundedLogSinkTest, OneEventCannotCrowdOutTheOthers) {
  BoundedLogSink sink(ends_[1]);
  std::int64_t written = 0;
  for (int i = 0; i < 1000; ++i) {
    if (sink.Write("often", "event=often\n", now_)) ++written;
  }
  EXPECT_EQ(written, BoundedLogSink::kLinesPerSecond);
  EXPECT_TRUE(sink.Write("rare", "event=rare\n", now_));
  now_ += std::chrono::seconds(1);
  EXPECT_TRUE(sink.Write("often", "event=often\n", now_));
}

}  // namespace
}  // namespace balsam
