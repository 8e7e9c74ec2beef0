// Splits a stream of JSON texts. Discovery usually writes one text per line but may indent a text over
// several lines, and bytes arrive in pieces of any size. Runs in time linear in the input. Whether a text is
// valid JSON is left to its reader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace turntally::net {

class JsonSplitter {
 public:
  void add(const std::string& bytes) { buffer_ += bytes; }
  // Returns the next complete text without its line end, or an empty text for an empty line between texts. A
  // line that begins with neither an object nor a list is returned as a text of its own, and so is a text
  // that breaks off within a string; neither is valid JSON.
  std::optional<std::string> next();

  bool is_within_text() const { return depth_ > 0; }  // a text has begun and has not ended
  size_t buffered_bytes() const { return buffer_.size() - returned_end_; }  // bytes not yet returned
  // Returns how many bytes other than blanks next() has scanned.
  uint64_t non_blank_bytes() const { return non_blank_bytes_; }

 private:
  std::string take_text(size_t end);
  bool ends_text(char c);
  void discard_returned();

  std::string buffer_;
  size_t returned_end_ = 0;                // end of the part that has been returned
  size_t scanned_end_ = 0;                 // end of the part that has been scanned
  size_t text_begin_ = std::string::npos;  // start of the current text; npos: none has begun
  int depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
  bool is_unstructured_line_ = false;  // the current line begins with neither an object nor a list
  bool text_ended_on_line_ = false;    // a text ended on the current line
  uint64_t non_blank_bytes_ = 0;
};

}  // namespace turntally::net
