// The log: one logfmt line per event on standard error, "time=… level=… event=… key=value …". A value with a
// space, a quote or '=' in it stands in quotes. What is under the level costs a comparison.
#pragma once

#include <spdlog/fmt/fmt.h>

#include <concepts>
#include <string>
#include <string_view>

#include "net/error.h"

namespace turntally::net::log {

enum class Level { kDebug, kInfo, kWarn, kError };

// "debug", "info", "warn" or "error"; throws BadInput.
void set_level(const std::string& name);
bool on(Level level);

namespace detail {

void append(std::string& line, std::string_view value);
template <typename T>
requires std::integral<T> || std::floating_point<T>
void append(std::string& line, T value) { line += fmt::to_string(value); }
void write(Level level, const std::string& line);

inline void fields(std::string&) {}
template <typename T, typename... Rest>
void fields(std::string& line, std::string_view key, const T& value, const Rest&... rest) {
  line += ' ';
  line += key;
  line += '=';
  append(line, value);
  fields(line, rest...);
}

template <typename... Fields>
void event(Level level, std::string_view name, const Fields&... more) {
  if (!on(level)) return;
  std::string line = "event=";
  line += name;
  fields(line, more...);
  write(level, line);
}

}  // namespace detail

// log::info("listening", "address", text): an event's name, then keys and values by turns.
template <typename... Fields>
void debug(std::string_view event, const Fields&... more) {
  detail::event(Level::kDebug, event, more...);
}
template <typename... Fields>
void info(std::string_view event, const Fields&... more) {
  detail::event(Level::kInfo, event, more...);
}
template <typename... Fields>
void warn(std::string_view event, const Fields&... more) {
  detail::event(Level::kWarn, event, more...);
}
template <typename... Fields>
void error(std::string_view event, const Fields&... more) {
  detail::event(Level::kError, event, more...);
}

// An error that goes no further than the log: its code, what happened and what to do, behind what else is
// known.
template <typename... Fields>
void failed(Level level, std::string_view event, const Error& error, const Fields&... more) {
  detail::event(level, event, more..., "code", error.code(), "what", error.what(), "action", error.action());
}

}  // namespace turntally::net::log
