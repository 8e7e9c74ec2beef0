#include "registry/http_routes.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "registry/backup_restore.h"
#include "registry/entry_json.h"
#include "registry/error_reply.h"
#include "registry/lease_requests.h"
#include "registry/member_metrics.h"
#include "registry/request_fields.h"
#include "registry/status_report.h"
#include "registry/target_requests.h"
#include "registry/wire_names.h"

namespace turntally::registry {

using net::HttpRequest;
using net::HttpResponse;
using nlohmann::json;

void HttpRoutes::handle(const HttpRequest& request, const Responder& responder) {
  try {
    dispatch(request, responder);
  } catch (const std::invalid_argument& error) {
    ++member_.metrics.writes_refused;
    responder->reply(error_reply(BadRequest(error.what())));
  }
}

void HttpRoutes::dispatch(const HttpRequest& request, const Responder& responder) {
  const std::string& path = request.path;
  if (path == "/api/targets" || path.starts_with("/api/targets/")) return handle_targets(request, responder);
  if (path == "/api/leases" || path.starts_with("/api/leases/")) return handle_leases(request, responder);
  if (path == "/api/mirror") return handle_mirror(request, responder);
  if (path.starts_with("/api/registrations/")) return handle_registrations(request, responder);
  if (path.starts_with("/registry/members/")) return memberships_.handle(request, responder);
  if (path == "/registry/restore" && request.method == "POST") {
    return writes_.submit(request, responder, parse_restore(request.body));
  }
  handle_reports(request, responder);
}

void HttpRoutes::handle_targets(const HttpRequest& request, const Responder& responder) {
  const std::string id = path_suffix(request.path, "/api/targets/");
  if (!id.empty()) return handle_target(request, responder, id);
  if (request.method == "GET") return reads_.read_list(request, responder);
  if (request.method != "POST") return responder->reply(error_reply(NoSuchMethod(request.method)));
  writes_.submit(request, responder, parse_target_batch(request.body));
}

void HttpRoutes::handle_target(const HttpRequest& request, const Responder& responder,
                               const std::string& id) {
  if (request.method == "PUT") return writes_.submit(request, responder, parse_target_put(request, id));
  if (request.method == "DELETE") return writes_.submit(request, responder, parse_target_delete(request, id));
  if (request.method == "GET") return show_target(responder, id);
  responder->reply(error_reply(NoSuchMethod(request.method)));
}

void HttpRoutes::show_target(const Responder& responder, const std::string& id) {
  const auto it = member_.state.entries().find(id);
  if (it == member_.state.entries().end()) return responder->reply(error_reply(NotListed(id)));
  HttpResponse reply = member_.reply_head();
  reply.fields["ETag"] = "\"" + std::to_string(it->second.revision) + "\"";
  reply.body = entry_to_json(it->second).dump() + "\n";
  responder->reply(std::move(reply));
}

void HttpRoutes::handle_registrations(const HttpRequest& request, const Responder& responder) {
  const std::string id = path_suffix(request.path, "/api/registrations/");
  if (id.empty()) return responder->reply(error_reply(NoSuchCall(request.path)));
  if (request.method == "POST") return writes_.submit(request, responder, renewal_command(id));
  if (request.method != "PUT") return responder->reply(error_reply(NoSuchMethod(request.method)));
  writes_.submit(request, responder, parse_registration(request.body, id));
}

void HttpRoutes::handle_leases(const HttpRequest& request, const Responder& responder) {
  const std::string name = path_suffix(request.path, "/api/leases/");
  if (request.method == "POST" && !name.empty()) {
    Command command = make_command(Command::Kind::kLease);
    command.lease = parse_lease_command(parse_object(request.body), name, member_.state.leases().limits());
    return writes_.submit(request, responder, std::move(command));
  }
  if (request.method != "GET") return responder->reply(error_reply(NoSuchMethod(request.method)));
  ++member_.metrics.reads;
  reads_.run_when_current(request, responder, [this, responder, name] { show_leases(responder, name); });
}

// Replies with one lease and its checkpoint, or with all leases without checkpoints.
void HttpRoutes::show_leases(const Responder& responder, const std::string& name) {
  const auto& leases = member_.state.leases().by_name();
  const Millis now = member_.state.now();
  json body;
  if (name.empty()) {
    body["leases"] = json::array();
    for (const auto& [key, lease] : leases) body["leases"].push_back(lease_status(lease, now));
  } else if (const auto it = leases.find(name); it != leases.end()) {
    body = lease_status(it->second, now);
    body[wire::kCheckpoint] = it->second.checkpoint;
  } else {
    return responder->reply(error_reply(LeaseUnknown("nobody has held '" + name + "'")));
  }
  HttpResponse reply = member_.reply_head();
  reply.body = body.dump() + "\n";
  responder->reply(std::move(reply));
}

void HttpRoutes::handle_mirror(const HttpRequest& request, const Responder& responder) {
  if (request.method != "PUT") return responder->reply(error_reply(NoSuchMethod(request.method)));
  writes_.submit(request, responder, parse_mirror(request));
}

void HttpRoutes::handle_reports(const HttpRequest& request, const Responder& responder) {
  const std::string& path = request.path;
  if (request.method != "GET") return responder->reply(error_reply(NoSuchCall(path)));
  HttpResponse reply = member_.reply_head();
  if (path == "/registry/status") {
    reply.body = status_report(member_, broadcaster_).dump() + "\n";
  } else if (path == "/registry/backup") {
    reply.body = make_backup(member_.state).dump() + "\n";
  } else if (path == "/metrics") {
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = metrics_text(member_, broadcaster_, *server_);
  } else {
    return responder->reply(error_reply(NoSuchCall(path)));
  }
  responder->reply(std::move(reply));
}

}  // namespace turntally::registry
