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
    if (c == '\n' && (plain_ || quoted_)) {
      said_ = false;
      return take(at_ - 1);
    }
    if (c == '\n' && depth_ == 0) {
      if (!std::exchange(said_, false)) return take(at_ - 1);
      continue;
    }
    if (plain_ || (blank && !quoted_)) continue;
    if (begin_ == std::string::npos) {
      begin_ = at_ - 1;
      plain_ = c != '{' && c != '[';
    }
    if (escaped_) {
      escaped_ = false;
    } else if (quoted_) {
      escaped_ = c == '\\';
      quoted_ = c != '"';
    } else if (c == '"') {
      quoted_ = !plain_;
    } else if (!plain_ && (c == '{' || c == '[')) {
      ++depth_;
    } else if (!plain_ && (c == '}' || c == ']') && --depth_ == 0) {
      said_ = true;
      return take(at_);
    }
  }
  held_.erase(0, done_);
  at_ -= done_;
  if (begin_ != std::string::npos) begin_ -= done_;
  done_ = 0;
  return {};
}

}  // namespace turntally::net
