#include "registry/snapshot.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "registry/entry_codec.h"

namespace turntally::registry {
namespace {

using nlohmann::json;

constexpr int kFormatWithoutLeases = 1;  // and without sources
constexpr int kFormat = 2;

json encode_limits(const StateLimits& limits) {
  return {limits.max_changes,      limits.max_request_results, limits.leaving_ms,
          limits.expiry_window_ms, limits.max_expired_share,   limits.expired_always_allowed};
}

StateLimits decode_limits(const json& fields) {
  return {fields.at(0), fields.at(1), fields.at(2), fields.at(3), fields.at(4), fields.at(5)};
}

json encode_lease_limits(const LeaseLimits& limits) {
  return json::array({limits.min_ttl_ms, limits.max_ttl_ms, limits.max_waiters, limits.max_past_holders,
                      limits.max_leases, limits.max_checkpoint_bytes});
}

LeaseLimits decode_lease_limits(const json& fields) {
  return {fields.at(0), fields.at(1), fields.at(2), fields.at(3), fields.at(4), fields.at(5)};
}

json encode_entries(const StateData& data) {
  json entries = json::array();
  for (const auto& [id, entry] : data.entries) entries.push_back(encode_entry(entry));
  return entries;
}

json encode_changes(const StateData& data) {
  json changes = json::array();
  for (const Change& change : data.changes) {
    changes.push_back(
        {change.revision, change.id, encode_optional_entry(change.entry), encode_entry(change.last_entry)});
  }
  return changes;
}

json encode_results(const StateData& data) {
  json results = json::array();
  for (const std::string& request : data.request_order) {
    const ApplyResult& result = data.request_results.at(request);
    results.push_back({request, static_cast<int>(result.kind), result.revision, result.id});
  }
  return results;
}

json encode_sources(const StateData& data) {
  json sources = json::object();
  for (const auto& [name, source] : data.sources) {
    sources[name] = {source.revision, source.confirmed_ms, source.token, source.serial};
  }
  return sources;
}

// Decodes a source; snapshots of earlier versions have no token and serial.
Source decode_source(const json& fields) {
  Source source{fields.at(0), fields.at(1), 0, 0};
  if (fields.size() > 3) {
    source.token = fields.at(2);
    source.serial = fields.at(3);
  }
  return source;
}

void decode_list(const json& fields, StateData& data) {
  data.revision_offset = fields.at(2);
  data.revision = fields.at(3);
  data.compacted = fields.at(4);
  data.now = fields.at(5);
  data.identity = fields.at(6);
  data.members = fields.at(7).get<std::map<uint64_t, std::string>>();
  for (const json& entry : fields.at(8)) data.entries[entry.at(0)] = decode_entry(entry);
  data.registrations = fields.at(9).get<std::map<std::string, Millis>>();
  data.recent_expirations = fields.at(10).get<std::deque<Millis>>();
  data.expiry_paused = fields.at(11);
  for (const json& change : fields.at(12)) {
    data.changes.push_back(
        {change.at(0), change.at(1), decode_optional_entry(change.at(2)), decode_entry(change.at(3))});
  }
  for (const json& result : fields.at(13)) {
    const auto kind = static_cast<ApplyResult::Kind>(result.at(1).get<int>());
    remember_result(data, result.at(0), {kind, result.at(2), result.at(3)});
  }
  data.expired = fields.at(14).get<std::set<std::string>>();
}

void decode_leases_and_sources(const json& fields, StateData& data) {
  data.leases = LeaseTable::unpack(fields.at(16), decode_lease_limits(fields.at(15)));
  for (const auto& [name, source] : fields.at(17).items()) data.sources[name] = decode_source(source);
  data.drains = fields.at(18).get<std::map<std::string, Revision>>();
}

}  // namespace

std::string encode_snapshot(const StateData& data) {
  return to_cbor_bytes({kFormat, encode_limits(data.limits), data.revision_offset, data.revision,
                        data.compacted, data.now, data.identity, data.members, encode_entries(data),
                        data.registrations, data.recent_expirations, data.expiry_paused, encode_changes(data),
                        encode_results(data), data.expired, encode_lease_limits(data.leases.limits()),
                        data.leases.pack(), encode_sources(data), data.drains});
}

StateData decode_snapshot(const std::string& bytes) {
  const json fields = from_cbor_bytes(bytes);
  const json& format = fields.at(0);
  if (format != kFormatWithoutLeases && format != kFormat) {
    throw std::invalid_argument("unsupported snapshot format " + format.dump() + ", expected 1 or " +
                                std::to_string(kFormat));
  }
  StateData data;
  data.limits = decode_limits(fields.at(1));
  decode_list(fields, data);
  if (format != kFormatWithoutLeases) decode_leases_and_sources(fields, data);
  return data;
}

}  // namespace turntally::registry
