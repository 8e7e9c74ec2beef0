#include "registry/request_fields.h"

#include <charconv>

namespace turntally::registry {

using net::HttpRequest;
using nlohmann::json;

std::optional<uint64_t> parse_number(const std::string& text) {
  uint64_t number = 0;
  const auto end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_to != end) return {};
  return number;
}

std::optional<Revision> parse_precondition(const HttpRequest& request) {
  if (const auto it = request.fields.find("if-none-match"); it != request.fields.end()) {
    if (it->second != "*") throw std::invalid_argument("If-None-Match: only * is known here");
    return 0;
  }
  const auto it = request.fields.find("if-match");
  if (it == request.fields.end()) return {};
  std::string text = it->second;
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') text = text.substr(1, text.size() - 2);
  const auto revision = parse_number(text);
  if (!revision) throw std::invalid_argument("If-Match: '" + it->second + "' is no revision");
  return revision;
}

std::string header_field(const HttpRequest& request, const char* name) {
  const auto it = request.fields.find(name);
  return it == request.fields.end() ? "" : it->second;
}

std::string query_parameter(const HttpRequest& request, const char* name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? "" : it->second;
}

json parse_object(const std::string& body) {
  json object = json::parse(body, nullptr, false);
  if (object.is_discarded() || !object.is_object()) {
    throw std::invalid_argument("the body is no JSON object");
  }
  return object;
}

std::string path_suffix(const std::string& path, const std::string& prefix) {
  return path.size() > prefix.size() && path.starts_with(prefix) ? path.substr(prefix.size()) : "";
}

}  // namespace turntally::registry
