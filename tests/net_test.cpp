// What every process uses: the log.
#include <gtest/gtest.h>

#include "net/log.h"

namespace firspool::net {
namespace {

TEST(Log, QuotesWhatWouldNotBeOneField) {
  std::string line;
  log::detail::fields(line, "id", std::string("9b1f"), "n", 3, "none", "", "why", "no \"room\"\nleft", "sum",
                      "a=b");
  EXPECT_EQ(line, " id=9b1f n=3 none=\"\" why=\"no \\\"room\\\" left\" sum=\"a=b\"");
}

TEST(Log, WritesWhatReachesItsLevel) {
  log::set_level("warn");
  ::testing::internal::CaptureStderr();
  log::info("small", "n", 1);
  log::error("large", "n", 2);
  log::set_level("info");
  const std::string out = ::testing::internal::GetCapturedStderr();
  EXPECT_EQ(out.find("small"), std::string::npos);
  EXPECT_NE(out.find(" level=error event=large n=2\n"), std::string::npos) << out;
  EXPECT_THROW(log::set_level("loud"), std::invalid_argument);
}

}  // namespace
}  // namespace firspool::net
