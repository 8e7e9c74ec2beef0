// Commands as bytes of the log: CBOR, an array of fields in a fixed order. Logs of earlier versions, whose
// arrays are shorter, stay readable. No state.
#pragma once

#include <string>

#include "registry/command.h"

namespace turntally::registry {

std::string encode(const Command& command);
// Throws std::exception on what is no command. Padding after it is ignored.
Command decode(const std::string& bytes);

}  // namespace turntally::registry
