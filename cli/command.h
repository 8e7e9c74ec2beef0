// cli: turntally, the program for operators: a subcommand for each job. What they share.
#pragma once

#include <CLI/CLI.hpp>

namespace firspool::cli {

// How a command ends, for a shell.
constexpr int kHeld = 0;
constexpr int kBroken = 1;  // something that was checked did not hold, or a run failed
constexpr int kMisuse = 2;  // the command or its input is wrong

// Each adds its subcommands; what is chosen leaves its exit status in `status`.
void add_lab(CLI::App& app, int& status);

}  // namespace firspool::cli
