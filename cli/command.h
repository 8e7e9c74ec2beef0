// cli: turntally, the program for operators: a subcommand for each job. What they share.
#pragma once

#include <CLI/CLI.hpp>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "registry/client.h"

namespace turntally::cli {

// How a command ends, for a shell.
constexpr int kHeld = 0;
constexpr int kBroken = 1;   // something that was checked did not hold, or a run failed
constexpr int kMisuse = 2;   // the command or its input is wrong
constexpr int kRefused = 3;  // asked rightly, and refused as things stand
constexpr int kUnknown = 4;  // it may have been done

// What every command needs that talks to a registry.
struct RegistryOptions {
  std::string at;
  bool json = false;

  void add_to(CLI::App& command);
  std::vector<std::string> addresses() const;  // throws net::BadInput
  registry::Client client() const;
  bool table() const;  // as print() writes: a table, or JSON
  // The rows, the first one being their head, on a terminal; else the JSON.
  void print(const nlohmann::json& value, const std::vector<std::vector<std::string>>& rows) const;
};

// Each adds its subcommands; what is chosen leaves its exit status in `status`.
void add_controller(CLI::App& app, int& status);
void add_lab(CLI::App& app, int& status);
void add_registry(CLI::App& app, int& status);
void add_targets(CLI::App& app, int& status);

}  // namespace turntally::cli
