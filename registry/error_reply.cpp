#include "registry/error_reply.h"

namespace turntally::registry {

net::HttpResponse error_reply(const Error& error, nlohmann::json body) {
  body["code"] = error.code();
  body["error"] = error.what();
  body["action"] = error.action();
  body["outcome"] = error.is_outcome_unknown() ? "unknown" : "none";
  net::HttpResponse reply{error.status(), body.dump() + "\n", "application/json", {}};
  if (error.status() == 503) reply.fields["Retry-After"] = "1";
  return reply;
}

Error proposal_error(const ProposalResult& result) {
  if (result.outcome == ProposalOutcome::kNotLeader) return NoLeader(result.reason);
  if (result.outcome == ProposalOutcome::kRefused) return ProposalRefused(result.reason);
  return WriteUnknown(result.reason);
}

}  // namespace turntally::registry
