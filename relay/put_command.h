// Parsing of the client command MSG.PUT.
#pragma once

#include <string>
#include <vector>

#include "relay/message.h"

namespace turntally::relay {

// Parses the words of MSG.PUT. Throws std::invalid_argument with the text of the reply to the client.
SubmittedMessage parse_put(std::vector<std::string> words);

}  // namespace turntally::relay
