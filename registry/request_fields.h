// Readers of the parts that all HTTP calls to a registry member share: numbers, JSON fields, preconditions
// and paths. No state. They throw std::invalid_argument, whose text goes into the reply with status 400.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "net/http.h"
#include "registry/state.h"

namespace turntally::registry {

constexpr size_t kMaxNameLength = 200;  // characters, of ids, lease names and holders, sources, request keys

// A decimal number that fills the text; nothing for any other text.
std::optional<uint64_t> parse_number(const std::string& text);

// The value of If-Match ("123" or 123) or If-None-Match (only *: 0, for what does not exist yet). Nothing
// where the request has neither.
std::optional<Revision> parse_precondition(const net::HttpRequest& request);

// A header field by its lower-case name, or a query parameter; empty where the request has none.
std::string header_field(const net::HttpRequest& request, const char* name);
std::string query_parameter(const net::HttpRequest& request, const char* name);

// The body, which must be a JSON object.
nlohmann::json parse_object(const std::string& body);

// The part of `path` after `prefix`; empty where it does not begin with it.
std::string path_suffix(const std::string& path, const std::string& prefix);

// A field of a JSON object; `fallback` where it is missing or null.
template <typename T>
T json_field(const nlohmann::json& object, const char* key, const T& fallback) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return fallback;
  try {
    return it->get<T>();
  } catch (const nlohmann::json::exception&) {
    throw std::invalid_argument(std::string(key) + ": " + it->dump() + " does not fit");
  }
}

}  // namespace turntally::registry
