// Encodes commands as the bytes of log entries: a CBOR array of fields in a fixed order. Also decodes the
// shorter arrays that earlier versions wrote. No state.
#pragma once

#include <string>

#include "registry/command.h"

namespace turntally::registry {

std::string encode(const Command& command);
// Throws std::exception if `bytes` do not begin with a command. Padding after the command is ignored.
Command decode(const std::string& bytes);

}  // namespace turntally::registry
