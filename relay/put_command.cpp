#include "relay/put_command.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <functional>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace turntally::relay {
namespace {

constexpr size_t kMaxNameLength = 128;  // bytes of an id, a key, or the name of a class or tenant
constexpr Time kMaxTimeToLiveMs = Time{24} * 3600 * 1000;

// Ids and keys become header lines and journal records, so only visible ASCII characters without spaces are
// allowed.
bool is_name(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isgraph(c) != 0; });
}

// Names of classes and tenants come from the settings and may contain anything but control characters. They
// never become header lines.
bool is_display_name(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::none_of(text.begin(), text.end(), [](unsigned char c) { return std::iscntrl(c) != 0; });
}

int64_t parse_number(std::string_view text, int64_t max) {
  int64_t value = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > max) {
    throw std::invalid_argument("a number is unreadable or out of range");  // its bytes could forge a line
  }
  return value;
}

// Returns the ordering key for the command's key: the value of its up to sixteen hexadecimal digits (0:
// none), or the hash of any other text.
uint64_t parse_ordering_key(const std::string& key) {
  uint64_t ordering_key = 0;
  const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), ordering_key, 16);
  return error == std::errc() && end == key.data() + key.size() ? ordering_key
                                                                : std::hash<std::string>{}(key);
}

// Sets one field of the command's list. Ignores unknown names.
void set_field(SubmittedMessage& message, std::string_view name, std::string_view value) {
  if (name == "c") message.message_class = value;
  if (name == "t") message.tenant = value;
  if (name == "k") message.idempotency_key = value;
  if (name == "d") message.time_to_live = 1000 * parse_number(value, kMaxTimeToLiveMs);
  if (name == "dest") message.destination = static_cast<int>(parse_number(value, 1'000'000));
}

void parse_fields(SubmittedMessage& message, std::string_view list) {
  while (!list.empty()) {
    const std::string_view item = list.substr(0, list.find(','));
    list.remove_prefix(std::min(list.size(), item.size() + 1));
    const size_t equals = item.find('=');
    if (equals == std::string_view::npos) throw std::invalid_argument("a name without a value");
    set_field(message, item.substr(0, equals), item.substr(equals + 1));
  }
}

void validate(const SubmittedMessage& message) {
  if (!is_display_name(message.message_class)) throw std::invalid_argument("unreadable class");
  if (!message.tenant.empty() && !is_display_name(message.tenant))
    throw std::invalid_argument("unreadable tenant");
  if (!message.idempotency_key.empty() && !is_name(message.idempotency_key))
    throw std::invalid_argument("unreadable idempotency key");
  if (message.time_to_live < 0) throw std::invalid_argument("no d");
  if (message.destination < 0) throw std::invalid_argument("no dest");
}

}  // namespace

SubmittedMessage parse_put(std::vector<std::string> words) {
  if (words.size() != 5) throw std::invalid_argument("MSG.PUT takes a key, an id, a list and a body");
  SubmittedMessage message;
  message.ordering_key = parse_ordering_key(words[1]);
  message.id = words[2];
  if (!is_name(message.id)) throw std::invalid_argument("unreadable id");
  message.destination = -1;
  message.time_to_live = -1;
  parse_fields(message, words[3]);
  validate(message);
  message.body = std::move(words[4]);
  return message;
}

}  // namespace turntally::relay
