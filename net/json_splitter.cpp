#include "net/json_splitter.h"

#include <utility>

namespace turntally::net {

std::string JsonSplitter::take_text(size_t end) {
  const size_t begin = text_begin_ == std::string::npos ? end : text_begin_;
  std::string out = buffer_.substr(begin, end - begin);
  returned_end_ = scanned_end_;
  text_begin_ = std::string::npos;
  depth_ = 0;
  in_string_ = escaped_ = is_unstructured_line_ = false;
  return out;
}

std::optional<std::string> JsonSplitter::next() {
  while (scanned_end_ < buffer_.size()) {
    const char c = buffer_[scanned_end_++];
    const bool is_blank = c == ' ' || c == '\t' || c == '\r' || c == '\n';
    non_blank_bytes_ += is_blank ? 0 : 1;
    if (c == '\n' && (is_unstructured_line_ || in_string_ || depth_ == 0)) {
      const bool text_ended = std::exchange(text_ended_on_line_, false);
      if (is_unstructured_line_ || in_string_ || !text_ended) return take_text(scanned_end_ - 1);
    } else if (!is_unstructured_line_ && (in_string_ || !is_blank) && ends_text(c)) {
      return take_text(scanned_end_);
    }
  }
  discard_returned();
  return {};
}

// `c`: the character before scanned_end_, which is part of a text.
bool JsonSplitter::ends_text(char c) {
  if (text_begin_ == std::string::npos) {
    text_begin_ = scanned_end_ - 1;
    is_unstructured_line_ = c != '{' && c != '[';
  }
  if (is_unstructured_line_) return false;
  if (in_string_) {
    const bool was_escaped = std::exchange(escaped_, false);
    escaped_ = !was_escaped && c == '\\';
    in_string_ = was_escaped || c != '"';
    return false;
  }
  in_string_ = c == '"';
  if (c == '{' || c == '[') ++depth_;
  if ((c != '}' && c != ']') || --depth_ != 0) return false;
  text_ended_on_line_ = true;
  return true;
}

void JsonSplitter::discard_returned() {
  buffer_.erase(0, returned_end_);
  scanned_end_ -= returned_end_;
  if (text_begin_ != std::string::npos) text_begin_ -= returned_end_;
  returned_end_ = 0;
}

}  // namespace turntally::net
