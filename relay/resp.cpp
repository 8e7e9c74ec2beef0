#include "relay/resp.h"

#include <charconv>
#include <utility>

namespace turntally::relay {
namespace {

constexpr size_t kMaxLengthDigits = 7;

// Parses "<type><number>\r\n" at `position` and advances past it. Returns nothing if it is incomplete.
std::optional<size_t> parse_length(std::string_view bytes, size_t& position, char type) {
  if (position == bytes.size()) return {};
  if (bytes[position] != type) throw RespError(std::string("expected '") + type + "'");
  const size_t end = bytes.find("\r\n", position);
  if (end == std::string_view::npos ? bytes.size() - position > kMaxLengthDigits + 2
                                    : end - position > kMaxLengthDigits + 1) {
    throw RespError("length is too long");
  }
  if (end == std::string_view::npos) return {};
  size_t value = 0;
  const char* last = bytes.data() + end;
  const auto [parsed_end, error] = std::from_chars(bytes.data() + position + 1, last, value);
  if (error != std::errc() || parsed_end != last) throw RespError("length is not a number");
  position = end + 2;
  return value;
}

}  // namespace

// Erases returned bytes once per read rather than per command, as a read may bring hundreds of commands.
void RespParser::feed(std::string_view bytes) {
  buffer_.erase(0, std::exchange(returned_end_, 0));
  buffer_.append(bytes);
}

std::optional<std::vector<std::string>> RespParser::next_command() {
  const std::string_view bytes = std::string_view(buffer_).substr(returned_end_);
  size_t position = 0;
  const auto count = parse_length(bytes, position, '*');
  if (!count) return {};
  if (*count == 0 || *count > kMaxWords) throw RespError("number of words is out of range");
  std::vector<std::string_view> words;
  while (words.size() < *count) {
    const auto length = parse_length(bytes, position, '$');
    if (!length) return {};
    if (*length > kMaxWordBytes || position + *length > kMaxCommandBytes) throw RespError("word is too long");
    if (bytes.size() < position + *length + 2) return {};
    words.push_back(bytes.substr(position, *length));
    if (bytes.substr(position + *length, 2) != "\r\n") throw RespError("word does not end where it should");
    position += *length + 2;
  }
  std::vector<std::string> out(words.begin(), words.end());
  returned_end_ += position;
  if (empty()) {  // an idle connection keeps no large buffer
    std::string().swap(buffer_);
    returned_end_ = 0;
  }
  return out;
}

}  // namespace turntally::relay
