// RESP2 requests: arrays of bulk strings, read piece by piece.
#pragma once

#include <functional>
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

struct RespCommand {
  std::vector<std::string> words;
  bool dropped = false;  // there was no room for its words
};

// Keeps each word once, in memory of its own length. A command for whose words there is no room is read to
// its end and its bytes are dropped, so that what follows can still be read.
class RespParser {
 public:
  static constexpr size_t kMaxWords = 16;
  static constexpr size_t kMaxWordBytes = size_t{64} * 1024;  // the largest message body
  static constexpr size_t kMaxCommandBytes = kMaxWordBytes + size_t{8} * 1024;
  // Bytes of a command that each parser may hold without asking.
  static constexpr size_t kFreeBytes = size_t{2} * 1024;
  static constexpr size_t kReadBytes = size_t{4} * 1024;  // at a time, outside a long word

  // Returns whether there is room for so many bytes more of a command.
  using Admission = std::function<bool(size_t bytes)>;

  explicit RespParser(Admission admit = {}) : admit_(std::move(admit)) {}

  void feed(std::string_view bytes);

  // Returns the next complete command, or nothing if more bytes are needed. Throws RespError if the bytes
  // are not a command.
  std::optional<RespCommand> next_command();

  // Returns how many bytes to read next: more would only wait here in place of the socket.
  size_t wanted_bytes() const;

  // Drops the words of the command that has begun, and those still to come.
  void drop_command();
  bool is_dropping() const { return is_dropping_; }

  // Returns the bytes that have not been returned as a command. Must not be called while a command is
  // dropped.
  std::string unread() const;
  bool empty() const { return word_count_ == 0 && unparsed().empty(); }
  void clear();

 private:
  std::string_view unparsed() const { return std::string_view(buffer_).substr(parsed_end_); }
  bool begin_command();
  bool begin_word();
  bool complete_word();
  RespCommand take_command();

  Admission admit_;
  std::string buffer_;
  size_t parsed_end_ = 0;     // end of the part of buffer_ that has been parsed
  size_t word_count_ = 0;     // words of the command that has begun; 0: none has
  size_t words_done_ = 0;     // complete words of it
  size_t command_bytes_ = 0;  // bytes of it that have been parsed
  std::vector<std::string> words_;
  bool is_in_word_ = false;
  size_t word_bytes_ = 0;   // length of the word that has begun
  size_t word_parsed_ = 0;  // bytes of it that have been parsed
  bool is_dropping_ = false;
};

}  // namespace turntally::relay
