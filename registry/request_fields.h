// Parsers for the parts that all HTTP calls to a registry member share: numbers, JSON fields, preconditions
// and paths. Stateless. They throw std::invalid_argument, whose text is sent in the reply with status 400.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "net/http.h"
#include "registry/state.h"

namespace turntally::registry {

constexpr size_t kMaxNameLength = 200;  // bytes; of ids, lease names and holders, sources, request keys

// Parses a decimal number that spans the whole text. Returns nothing for any other text.
std::optional<uint64_t> parse_number(const std::string& text);

// Returns the revision in If-Match ("123" or 123), 0 for If-None-Match: * (the entry must not exist yet), or
// nothing if the request has neither.
std::optional<Revision> parse_precondition(const net::HttpRequest& request);

// Returns a header field by its lower-case name, or a query parameter; empty if the request has none.
std::string header_field(const net::HttpRequest& request, const char* name);
std::string query_parameter(const net::HttpRequest& request, const char* name);

// Parses the body, which must be a JSON object.
nlohmann::json parse_object(const std::string& body);

// Returns the part of `path` after `prefix`, or an empty string if `path` does not begin with it.
std::string path_suffix(const std::string& path, const std::string& prefix);

// Returns a field of a JSON object, or `fallback` if it is missing or null. Throws if its type does not fit.
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
