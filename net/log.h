// Logging: one logfmt line per event on standard error, "time=… level=… event=… key=value …". A value with a
// space, a quote or '=' in it is quoted. An event below the level costs one comparison.
#pragma once

#include <spdlog/fmt/fmt.h>

#include <concepts>
#include <string>
#include <string_view>

#include "net/error.h"

namespace turntally::net::log {

enum class Level { kDebug, kInfo, kWarn, kError };

// Sets the lowest level that is written: "debug", "info", "warn" or "error". Throws InvalidInput otherwise.
void set_level(const std::string& name);
bool is_enabled(Level level);

namespace detail {

void append(std::string& line, std::string_view value);
template <typename T>
requires std::integral<T> || std::floating_point<T>
void append(std::string& line, T value) { line += fmt::to_string(value); }
void write(Level level, const std::string& line);

inline void append_fields(std::string&) {}
template <typename T, typename... Rest>
void append_fields(std::string& line, std::string_view key, const T& value, const Rest&... rest) {
  line += ' ';
  line += key;
  line += '=';
  append(line, value);
  append_fields(line, rest...);
}

template <typename... Fields>
void event(Level level, std::string_view name, const Fields&... other_fields) {
  if (!is_enabled(level)) return;
  std::string line = "event=";
  line += name;
  append_fields(line, other_fields...);
  write(level, line);
}

}  // namespace detail

// Usage: log::info("listening", "address", text), that is the event's name, then alternating keys and
// values.
template <typename... Fields>
void debug(std::string_view event, const Fields&... other_fields) {
  detail::event(Level::kDebug, event, other_fields...);
}
template <typename... Fields>
void info(std::string_view event, const Fields&... other_fields) {
  detail::event(Level::kInfo, event, other_fields...);
}
template <typename... Fields>
void warn(std::string_view event, const Fields&... other_fields) {
  detail::event(Level::kWarn, event, other_fields...);
}
template <typename... Fields>
void error(std::string_view event, const Fields&... other_fields) {
  detail::event(Level::kError, event, other_fields...);
}

// Logs an error that is not passed on: the other fields first, then its code, description and action.
template <typename... Fields>
void failed(Level level, std::string_view event, const Error& error, const Fields&... other_fields) {
  detail::event(level, event, other_fields..., "code", error.code(), "what", error.what(), "action",
                error.action());
}

}  // namespace turntally::net::log
