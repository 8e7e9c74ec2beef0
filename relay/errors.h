// Errors that keep the relay from serving or that it logs. docs/errors.md lists them.
#pragma once

#include "net/error.h"

namespace turntally::relay {

class MissingEnvironment : public net::Error {
 public:
  explicit MissingEnvironment(const std::string& variable)
      : Error("environment_missing", net::ErrorKind::kInvalidInput,
              "environment variable " + variable + " is not set",
              "set PROXY_CONFIG to the configuration file and PROXY_STATE to the state folder") {}
};

// An invalid configuration file, at the start or on SIGHUP.
class BadConfig : public net::Error {
 public:
  explicit BadConfig(const std::string& what)
      : Error("relay_config", net::ErrorKind::kInvalidInput, what,
              "correct the file that PROXY_CONFIG names; a running relay keeps its previous configuration") {}
};

class StateUnusable : public net::Error {
 public:
  explicit StateUnusable(const std::string& what)
      : Error("state_unusable", net::ErrorKind::kFailure, what,
              "check that the folder that PROXY_STATE names exists, is writable and has free space") {}
};

class HandoverRefused : public net::Error {
 public:
  explicit HandoverRefused(const std::string& folder)
      : Error("not_handed_over", net::ErrorKind::kRefused,
              "another process owns " + folder + " and does not hand it over",
              "stop the process that owns the folder, then start this one again") {}
};

class HandoverUnavailable : public net::Error {
 public:
  explicit HandoverUnavailable(const std::string& why)
      : Error("no_handover", net::ErrorKind::kFailure,
              "cannot listen on a local socket for a successor: " + why,
              "stop this process before starting a new version; everything else works") {}
};

// An invalid handover frame from either process. It is skipped; a client's connection in it is closed.
class HandoverFrameInvalid : public net::Error {
 public:
  HandoverFrameInvalid(char kind, const std::string& what)
      : Error("handover_frame_invalid", net::ErrorKind::kFailure,
              "handover frame of kind " + std::to_string(static_cast<unsigned char>(kind)) + ": " + what,
              "none: the handover continues without the frame; report both versions to the developers") {}
};

}  // namespace turntally::relay
