#include "relay/resp.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turntally::relay {
namespace {

constexpr size_t kMaxLengthDigits = 7;
constexpr std::string_view kLineEnd = "\r\n";

// Parses "<type><number>\r\n" at `position` and advances past it. Returns nothing if it is incomplete.
std::optional<size_t> parse_length(std::string_view bytes, size_t& position, char type) {
  if (position == bytes.size()) return {};
  if (bytes[position] != type) throw RespError(std::string("expected '") + type + "'");
  const size_t end = bytes.find(kLineEnd, position);
  if (end == std::string_view::npos ? bytes.size() - position > kMaxLengthDigits + 2
                                    : end - position > kMaxLengthDigits + 1) {
    throw RespError("length is too long");
  }
  if (end == std::string_view::npos) return {};
  size_t value = 0;
  const char* last = bytes.data() + end;
  const auto [parsed_end, error] = std::from_chars(bytes.data() + position + 1, last, value);
  if (error != std::errc() || parsed_end != last) throw RespError("length is not a number");
  position = end + kLineEnd.size();
  return value;
}

std::string length_line(char type, size_t value) {
  return type + std::to_string(value) + std::string(kLineEnd);
}

}  // namespace

// Bytes of a word that has begun go to the word, without a stay in the buffer. Parsed bytes are erased once
// per read rather than per command, as a read may bring several commands.
void RespParser::feed(std::string_view bytes) {
  if (is_in_word_ && unparsed().empty()) {
    const std::string_view part = bytes.substr(0, word_bytes_ - word_parsed_);
    if (!is_dropping_) words_.back().append(part);
    word_parsed_ += part.size();
    command_bytes_ += part.size();
    bytes.remove_prefix(part.size());
  }
  buffer_.erase(0, std::exchange(parsed_end_, 0));
  buffer_.append(bytes);
}

std::optional<RespCommand> RespParser::next_command() {
  if (word_count_ == 0 && !begin_command()) return {};
  while (words_done_ < word_count_) {
    if (!is_in_word_ && !begin_word()) return {};
    if (!complete_word()) return {};
  }
  return take_command();
}

bool RespParser::begin_command() {
  size_t position = 0;
  const auto count = parse_length(unparsed(), position, '*');
  if (!count) return false;
  if (*count == 0 || *count > kMaxWords) throw RespError("number of words is out of range");
  word_count_ = *count;
  command_bytes_ = position;
  parsed_end_ += position;
  return true;
}

bool RespParser::begin_word() {
  size_t position = 0;
  const auto length = parse_length(unparsed(), position, '$');
  if (!length) return false;
  if (*length > kMaxWordBytes || command_bytes_ + position + *length > kMaxCommandBytes)
    throw RespError("word is too long");
  parsed_end_ += position;
  command_bytes_ += position;
  is_in_word_ = true;
  word_bytes_ = *length;
  word_parsed_ = 0;
  const bool needs_room = command_bytes_ + *length > kFreeBytes;
  if (!is_dropping_ && needs_room && admit_ && !admit_(*length)) drop_command();
  if (is_dropping_) return true;
  words_.emplace_back();
  words_.back().reserve(*length);
  return true;
}

bool RespParser::complete_word() {
  const std::string_view part = unparsed().substr(0, word_bytes_ - word_parsed_);
  if (!is_dropping_) words_.back().append(part);
  word_parsed_ += part.size();
  command_bytes_ += part.size();
  parsed_end_ += part.size();
  if (word_parsed_ < word_bytes_ || unparsed().size() < kLineEnd.size()) return false;
  if (!unparsed().starts_with(kLineEnd)) throw RespError("word does not end where it should");
  parsed_end_ += kLineEnd.size();
  command_bytes_ += kLineEnd.size();
  is_in_word_ = false;
  ++words_done_;
  return true;
}

RespCommand RespParser::take_command() {
  RespCommand command{std::exchange(words_, {}), std::exchange(is_dropping_, false)};
  word_count_ = words_done_ = 0;
  if (empty()) clear();  // an idle connection keeps no buffer
  return command;
}

size_t RespParser::wanted_bytes() const {
  const size_t rest_of_word = is_in_word_ ? word_bytes_ - word_parsed_ + kLineEnd.size() : 0;
  return std::max(kReadBytes, rest_of_word);
}

void RespParser::drop_command() {
  is_dropping_ = true;
  std::vector<std::string>().swap(words_);
}

std::string RespParser::unread() const {
  std::string out;
  if (word_count_ > 0) out = length_line('*', word_count_);
  for (size_t i = 0; i < words_.size(); ++i) {
    const bool is_complete = i < words_done_;
    out += length_line('$', is_complete ? words_[i].size() : word_bytes_) + words_[i];
    if (is_complete) out += kLineEnd;
  }
  return out.append(unparsed());
}

void RespParser::clear() {
  std::string().swap(buffer_);
  std::vector<std::string>().swap(words_);
  parsed_end_ = word_count_ = words_done_ = 0;
  is_in_word_ = is_dropping_ = false;
}

}  // namespace turntally::relay
