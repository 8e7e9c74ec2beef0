#include "net/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <memory>

namespace turntally::net::log {
namespace {

constexpr std::array kLevels = {spdlog::level::debug, spdlog::level::info, spdlog::level::warn,
                                spdlog::level::err};
constexpr std::array kNames = {"debug", "info", "warn", "error"};

Level min_level = Level::kInfo;

// Each process has one thread that logs; the sink flushes each line.
spdlog::logger& logger() {
  static const auto kLogger = [] {
    auto stderr_logger =
        std::make_unique<spdlog::logger>("log", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    stderr_logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%fZ level=%l %v", spdlog::pattern_time_type::utc);
    stderr_logger->set_level(spdlog::level::debug);
    return stderr_logger;
  }();
  return *kLogger;
}

}  // namespace

void set_level(const std::string& name) {
  for (size_t i = 0; i < kNames.size(); ++i) {
    if (name == kNames[i]) return void(min_level = static_cast<Level>(i));
  }
  throw InvalidInput("'" + name + "' is not a log level; use debug, info, warn or error");
}

bool is_enabled(Level level) { return level >= min_level; }

namespace detail {

void append(std::string& line, std::string_view value) {
  if (!value.empty() && value.find_first_of(" \"=\\\r\n\t") == std::string_view::npos) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') line += '\\';
    line += c == '\n' || c == '\r' || c == '\t' ? ' ' : c;
  }
  line += '"';
}

void write(Level level, const std::string& line) {
  logger().log(kLevels[static_cast<size_t>(level)], std::string_view(line));
}

}  // namespace detail
}  // namespace turntally::net::log
