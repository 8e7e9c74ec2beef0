// What keeps the relay from serving, and what it tells its log: docs/errors.md.
#pragma once

#include "net/error.h"

namespace turntally::relay {

class NoEnvironment : public net::Error {
 public:
  explicit NoEnvironment(const std::string& variable)
      : Error("environment_missing", net::Family::kMisuse, "environment variable " + variable + " is not set",
              "set PROXY_CONFIG to the configuration's file and PROXY_STATE to the folder that lasts") {}
};

// The configuration's file, at the start and at SIGHUP.
class BadConfig : public net::Error {
 public:
  explicit BadConfig(const std::string& what)
      : Error("relay_config", net::Family::kMisuse, what,
              "mend the file that PROXY_CONFIG names; a running relay goes on with what it had") {}
};

class StateUnusable : public net::Error {
 public:
  explicit StateUnusable(const std::string& what)
      : Error("state_unusable", net::Family::kBroken, what,
              "see that the folder of PROXY_STATE is there, can be written and has room") {}
};

class NotHandedOver : public net::Error {
 public:
  explicit NotHandedOver(const std::string& folder)
      : Error("not_handed_over", net::Family::kRefused,
              "another process owns " + folder + " and does not hand over",
              "end the process before, then start this one again") {}
};

class NoHandover : public net::Error {
 public:
  explicit NoHandover(const std::string& why)
      : Error("no_handover", net::Family::kBroken, "no local socket for a successor: " + why,
              "end this process before a new version is started; all else works") {}
};

// A frame of a hand-over, from either process. It is skipped; a client's connection in it is closed.
class HandoverFrameInvalid : public net::Error {
 public:
  HandoverFrameInvalid(char kind, const std::string& what)
      : Error("handover_frame_invalid", net::Family::kBroken,
              "frame " + std::to_string(static_cast<unsigned char>(kind)) + " of the hand-over: " + what,
              "nothing: the hand-over goes on without it; tell the developers which two versions met") {}
};

}  // namespace turntally::relay
