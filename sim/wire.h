// The simulator's wire: frames to events, actions to frames. Nothing is decided here.
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

// A frame that cannot be read; the text says what and at which byte.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct PowerOn {  // a simulated relay starts
  uint64_t seed = 0;
  std::string facts;  // its settings, path=value lines
};

struct Kill {};  // it ends at once

struct InstanceEvent {
  int instance = 0;  // number of the simulated relay
  std::variant<policy::Event, PowerOn, Kill> event;
};

struct Header {
  uint32_t length = 0;   // bytes that follow it
  uint32_t records = 0;  // in those bytes
  Time clock = 0;        // microseconds
};

constexpr size_t kHeaderBytes = 16;

// Of kHeaderBytes bytes; throws WireError.
Header decode_header(std::string_view bytes);

// Decodes the records of batches, in order. Lists of endpoints outlive a batch, so one decoder serves one
// input.
class Decoder {
 public:
  // `body`: the header's `length` bytes. Throws WireError; nothing of the batch counts then.
  std::vector<InstanceEvent> decode(const Header& header, std::string_view body);

 private:
  std::map<uint32_t, std::shared_ptr<const std::vector<policy::EndpointInfo>>> lists_;
};

// Builds one reply: the actions of each instance in the order given, then the whole frame.
class Encoder {
 public:
  // What outlasts no simulated relay (PersistDestinationState) is left out.
  void actions(int instance, std::span<const policy::Action> actions);
  // A crash of that instance's policy, with its words.
  void panic(int instance, std::string_view text);
  std::string frame() const;

 private:
  void speaking(int instance);

  std::string body_;
  uint32_t records_ = 0;
};

}  // namespace turntally::sim
