// Entry point of turntally, the operators' program.
#include <cstdio>
#include <exception>
#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "cli/errors.h"
#include "registry/client_errors.h"

namespace {

using namespace turntally;

// Prints the error to standard error and returns the exit status for its family.
int report_error(const net::Error& error) {
  std::fprintf(stderr, "turntally: %s\n  %s [%s]\n", error.what(), error.action().c_str(), error.code());
  switch (error.kind()) {
    case net::ErrorKind::kFailure:
      return cli::kExitFailed;
    case net::ErrorKind::kInvalidInput:
      return cli::kExitMisuse;
    case net::ErrorKind::kRefused:
      return cli::kExitRefused;
    case net::ErrorKind::kOutcomeUnknown:
      return cli::kExitUnknown;
  }
  return cli::kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("turntally: operates and tests a fleet of message relays.");
  app.set_version_flag("--version", "turntally " TURNTALLY_VERSION);
  app.footer(
      "Exit status: 0 success, 1 a check or a run failed, 2 invalid usage or input, 3 refused in the present "
      "state, 4 outcome unknown: the request may have been carried out.\nErrors are printed to standard "
      "error, "
      "followed by what to do and the error's code, which docs/errors.md explains.\n"
      "Example: turntally lab run lab/scenarios/calm.toml");
  app.require_subcommand(1);
  int status = cli::kExitOk;
  cli::add_controller(app, status);
  cli::add_lab(app, status);
  cli::add_registry(app, status);
  cli::add_targets(app, status);
  try {
    app.parse(argc, argv);
    return status;
  } catch (const CLI::Success& success) {  // --help, --version
    return app.exit(success);
  } catch (const CLI::ParseError& error) {
    const auto unparsed = app.remaining(true);
    return report_error(cli::InvalidUsage(
        unparsed.empty() ? error.what() : "'" + unparsed.front() + "' is not a known command or option"));
  } catch (const net::Error& error) {
    return report_error(error);
  } catch (const nlohmann::json::exception& error) {  // a reply: files are parsed without exceptions
    return report_error(registry::AnswerUnreadable(error.what()));
  } catch (const std::exception& error) {
    return report_error(cli::Unexpected(error.what()));
  }
}
