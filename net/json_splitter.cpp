#include "net/json_splitter.h"

#include <utility>

namespace turntally::net {

std::string JsonSplitter::take(size_t end) {
  const size_t begin = begin_ == std::string::npos ? end : begin_;
  std::string out = held_.substr(begin, end - begin);
  done_ = at_;
  begin_ = std::string::npos;
  depth_ = 0;
  quoted_ = escaped_ = plain_ = false;
  return out;
}

std::optional<std::string> JsonSplitter::next() {
  while (at_ < held_.size()) {
    const char c = held_[at_++];
    const bool blank = c == ' ' || c == '\t' || c == '\r' || c == '\n';
    told_ += blank ? 0 : 1;
    if (c == '\n' && (plain_ || quoted_ || depth_ == 0)) {
      const bool said = std::exchange(said_, false);
      if (plain_ || quoted_ || !said) return take(at_ - 1);
    } else if (!plain_ && (quoted_ || !blank) && ends_text(c)) {
      return take(at_);
    }
  }
  drop_handed_out();
  return {};
}

// `c`: the character before at_, which is part of a text.
bool JsonSplitter::ends_text(char c) {
  if (begin_ == std::string::npos) {
    begin_ = at_ - 1;
    plain_ = c != '{' && c != '[';
  }
  if (plain_) return false;
  if (quoted_) {
    const bool escaped = std::exchange(escaped_, false);
    escaped_ = !escaped && c == '\\';
    quoted_ = escaped || c != '"';
    return false;
  }
  quoted_ = c == '"';
  if (c == '{' || c == '[') ++depth_;
  if ((c != '}' && c != ']') || --depth_ != 0) return false;
  said_ = true;
  return true;
}

void JsonSplitter::drop_handed_out() {
  held_.erase(0, done_);
  at_ -= done_;
  if (begin_ != std::string::npos) begin_ -= done_;
  done_ = 0;
}

}  // namespace turntally::net
