// The simulator's wire protocol: decodes frames to events and encodes actions to frames.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "turntally/policy.h"

namespace turntally::sim {

using policy::Endpoint;
using policy::Time;

// Thrown for a malformed frame. The text names the malformed part and its byte position.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A simulated relay starts.
struct InstanceStart {
  uint64_t seed = 0;
  std::string settings_text;  // path=value lines
};

// A simulated relay ends at once.
struct InstanceKill {};

struct InstanceEvent {
  int instance = 0;  // number of the simulated relay
  std::variant<policy::Event, InstanceStart, InstanceKill> event;
};

struct Header {
  uint32_t length = 0;   // bytes that follow it
  uint32_t records = 0;  // in those bytes
  Time clock = 0;        // microseconds
};

constexpr size_t kHeaderBytes = 16;

// Decodes kHeaderBytes bytes. Throws WireError.
Header decode_header(std::string_view bytes);

// Decodes the records of frames, in order. Lists of endpoints stay defined for later frames, so each input
// needs a decoder of its own.
class Decoder {
 public:
  // Decodes `body`, the `length` bytes after the header. Throws WireError, in which case none of the frame's
  // events may be used.
  std::vector<InstanceEvent> decode(const Header& header, std::string_view body);

 private:
  std::map<uint32_t, std::shared_ptr<const std::vector<policy::EndpointInfo>>> lists_;
};

// Builds the reply to one frame from the actions of each instance, in the order in which they are added.
class Encoder {
 public:
  // Leaves out the actions that persist a state, as a simulated relay has none that lasts.
  void add_actions(int instance, std::span<const policy::Action> actions);
  // Reports that the instance's policy threw an exception with this text.
  void add_panic(int instance, std::string_view text);
  std::string frame() const;

 private:
  void begin_instance(int instance);

  std::string body_;
  uint32_t records_ = 0;
};

}  // namespace turntally::sim
