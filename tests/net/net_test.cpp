// Tests of the log, the JSON splitter and the backoff.
#include <gtest/gtest.h>

#include "net/backoff.h"
#include "net/json_splitter.h"
#include "net/log.h"

namespace turntally::net {
namespace {

std::vector<std::string> split(const std::string& bytes, size_t piece) {
  JsonSplitter splitter;
  std::vector<std::string> out;
  for (size_t at = 0; at < bytes.size(); at += piece) {
    splitter.add(bytes.substr(at, piece));
    while (const auto text = splitter.next()) out.push_back(*text);
  }
  return out;
}

TEST(JsonSplitter, SplitsTextsInPiecesOfAnySize) {
  const std::string one = R"({"a":["]}\"{",1]})";
  const std::string two = "{\n \"b\": {\r\n \n  \"c\": []\n }\n}";
  const std::string all = one + "\n\n" + two + "\n \r\n" + one + one + "\n";
  const std::vector<std::string> expected = {one, "", two, "", one, one};
  for (size_t piece = 1; piece <= all.size(); ++piece) EXPECT_EQ(split(all, piece), expected) << piece;
}

TEST(JsonSplitter, ReturnsUnstructuredLinesAndBrokenTexts) {
  EXPECT_EQ(split("oops {}\n\n{\"a\n{}\n", 3), (std::vector<std::string>{"oops {}", "", "{\"a", "{}"}));
  JsonSplitter splitter;
  splitter.add("{\"a\":1,\n \n");
  EXPECT_FALSE(splitter.next());
  EXPECT_TRUE(splitter.is_within_text());
  EXPECT_EQ(splitter.non_blank_bytes(), 7U);  // blanks do not count
}

TEST(Backoff, RespectsMaxDelayAndStillWidensSpan) {
  Backoff backoff(10, 1);
  for (int i = 0; i < 100; ++i) EXPECT_LE(backoff.next_delay(std::chrono::milliseconds(1000)).count(), 1000);
  std::chrono::milliseconds longest{0};
  for (int i = 0; i < 100; ++i) longest = std::max(longest, backoff.next_delay());
  EXPECT_GT(longest.count(), 2000);  // wider than the first, 1.2 s
}

// Starts of calls are spaced: neither how long a call takes to fail nor how often it fails adds to the
// distance.
TEST(Backoff, SpacesStartsOfFailedCalls) {
  Backoff backoff(300, 1);
  backoff.next_delay();
  for (const int took : {0, 150, 2150, 3000, 3800, 9000}) {
    EXPECT_EQ(backoff.delay_after_failure(std::chrono::milliseconds(took)).count(), std::max(0, 3800 - took))
        << took;
  }
  Backoff alone(1, 1);
  EXPECT_LE(alone.next_delay().count(), 50);
  for (const int distance : {100, 200, 400, 800, 1600, 2000, 2000}) {
    EXPECT_EQ(alone.delay_after_failure(std::chrono::milliseconds(0)).count(), distance);
  }
}

TEST(Log, QuotesValuesWithSpecialCharacters) {
  std::string line;
  log::detail::append_fields(line, "id", std::string("9b1f"), "n", 3, "none", "", "why", "no \"room\"\nleft",
                             "sum", "a=b");
  EXPECT_EQ(line, " id=9b1f n=3 none=\"\" why=\"no \\\"room\\\" left\" sum=\"a=b\"");
}

TEST(Log, WritesEventsAtOrAboveLevel) {
  log::set_level("warn");
  ::testing::internal::CaptureStderr();
  log::info("small", "n", 1);
  log::error("large", "n", 2);
  log::set_level("info");
  const std::string out = ::testing::internal::GetCapturedStderr();
  EXPECT_EQ(out.find("small"), std::string::npos);
  EXPECT_NE(out.find(" level=error event=large n=2\n"), std::string::npos) << out;
  EXPECT_THROW(log::set_level("loud"), InvalidInput);
}

TEST(Log, IncludesErrorCodeAndAction) {
  ::testing::internal::CaptureStderr();
  log::failed(log::Level::kWarn, "rejected", InvalidInput("f:1: no"), "by", "me");
  const std::string out = ::testing::internal::GetCapturedStderr();
  EXPECT_NE(
      out.find(" level=warning event=rejected by=me code=bad_input what=\"f:1: no\" action=\"mend what is "
               "named, and ask again\"\n"),
      std::string::npos)
      << out;
}

}  // namespace
}  // namespace turntally::net
