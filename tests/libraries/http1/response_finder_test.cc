// Another response within a body, in pieces of any size.
#include "libraries/http1/response_finder.h"

#include <gtest/gtest.h>

#include <string>

namespace balsam::http1 {
namespace {

struct Found {
  std::string passed;
  bool found = false;
};

Found Find(const std::string& text, std::size_t step) {
  ResponseFinder finder([](const ResponseHead& head) {
    return head.fields.Find("Request-Id") != nullptr;
  });
  Found result;
  for (std::size_t at = 0; at < text.size(); at += step) {
    result.passed += finder.Append(text.substr(at, step));
  }
  result.passed += finder.TakeRest();
  result.found = finder.found();
  return result;
}

TEST(ResponseFinderTest, PassesWhatIsBeforeAnotherResponse) {
  const std::string own = "own body, HTTP/1.1 and HTTP/1.1 200\r\n";
  const std::string text =
      own + "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\n\r\nother";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    const Found result = Find(text, step);
    EXPECT_TRUE(result.found) << step;
    EXPECT_EQ(result.passed, own) << step;
  }
}

TEST(ResponseFinderTest, PassesBodyAboutHttp) {
  const std::string texts[] = {
      "Send HTTP/1.1 200 OK\r\nAge: 1\r\n\r\n and stop.",
      "HTTP/1.1 200 OK\r\nRequest-Id", "HTTP/1.HTTP/1.1 2", "HTTP/1.", "H"};
  for (const std::string& text : texts) {
    for (std::size_t step = 1; step <= text.size(); ++step) {
      const Found result = Find(text, step);
      EXPECT_FALSE(result.found) << text;
      EXPECT_EQ(result.passed, text) << step;
    }
  }
}

// What looks like a head without end is kept no longer than heads may be.
TEST(ResponseFinderTest, KeepsNoMoreThanAHead) {
  ResponseFinder finder([](const ResponseHead&) { return true; });
  finder.Append("HTTP/1.1 200 OK\r\nA: ");
  for (int i = 0; i < 100; ++i) finder.Append(std::string(1000, 'b'));
  EXPECT_LE(finder.kept_bytes(), 20U << 10);
  EXPECT_FALSE(finder.found());
}

}  // namespace
}  // namespace balsam::http1
