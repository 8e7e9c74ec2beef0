// The command MSG.PUT of clients.
#pragma once

#include <string>
#include <vector>

#include "relay/message.h"

namespace turntally::relay {

// Reads the words of MSG.PUT. Throws std::invalid_argument with a line for the client.
SubmittedMessage parse_put(const std::vector<std::string>& words);

}  // namespace turntally::relay
