// RESP2 requests: arrays of bulk strings, read piece by piece.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace turntally::relay {

class RespError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class RespParser {
 public:
  static constexpr size_t kMaxWords = 16;
  static constexpr size_t kMaxWordBytes = size_t{64} * 1024;  // the largest message body
  static constexpr size_t kMaxCommandBytes = kMaxWordBytes + size_t{8} * 1024;

  void feed(std::string_view bytes);

  // Returns the next complete command, or nothing if more bytes are needed. Throws RespError if the bytes
  // are not a command.
  std::optional<std::vector<std::string>> next_command();

  // Returns the bytes that have not been returned as a command.
  std::string_view unread() const { return std::string_view(buffer_).substr(returned_end_); }
  bool empty() const { return returned_end_ == buffer_.size(); }

 private:
  std::string buffer_;
  size_t returned_end_ = 0;  // end of the part that has been returned
};

}  // namespace turntally::relay
