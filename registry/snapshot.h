// Encodes the state machine's data as bytes: a CBOR array of a format number and fields in a fixed order.
// Equal data give equal bytes, so members can compare hashes. No state.
#pragma once

#include <string>

#include "registry/state_data.h"

namespace turntally::registry {

std::string encode_snapshot(const StateData& data);
// Reads formats 1 and 2. Throws std::exception on any other input. Padding after the snapshot is ignored.
StateData decode_snapshot(const std::string& bytes);

}  // namespace turntally::registry
