// Where one JSON text ends and the next begins in a stream of them. Discovery writes one to a line as a rule,
// but may indent it over many, and bytes come in pieces of any size. Linear in what comes; whether a text is
// JSON its reader says.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace turntally::net {

class JsonSplitter {
 public:
  void add(const std::string& bytes) { held_ += bytes; }
  // The next whole text, without its line's end; an empty one for an empty line between texts. A line that
  // begins no object or list is a text by itself, and so is one that breaks off within a string: neither can
  // be read.
  std::optional<std::string> next();

  bool within() const { return depth_ > 0; }            // a text has begun and not ended
  size_t size() const { return held_.size() - done_; }  // bytes that are held back until it ends
  uint64_t told() const { return told_; }               // bytes so far that say something: all but blanks

 private:
  std::string take(size_t end);
  bool ends_text(char c);
  void drop_handed_out();

  std::string held_;
  size_t done_ = 0;                   // before it everything has been handed out
  size_t at_ = 0;                     // looked at so far
  size_t begin_ = std::string::npos;  // of the text that is looked at
  int depth_ = 0;
  bool quoted_ = false;
  bool escaped_ = false;
  bool plain_ = false;  // a line that begins no object or list
  bool said_ = false;   // a text ended on this line
  uint64_t told_ = 0;
};

}  // namespace turntally::net
