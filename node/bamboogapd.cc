// The daemon's command line.

#include <cstdio>
#include <cstdlib>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "node/daemon.h"

namespace {

constexpr const char *kVersion = "0.1.0";

int printProblems(const bamboogap::SettingsErrors &errors)
{
    for (const bamboogap::Error &error : errors)
        fmt::print(stderr, "{}\n", error.text());
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    std::string file;
    bool checkOnly = false;
    try {
        TCLAP::CmdLine line("Runs one node of a bamboogap fleet: a router, and with a data folder "
                            "also a control replica.",
                            ' ', kVersion);
        TCLAP::ValueArg<std::string> check("", "check", "Check a settings file and exit", false, "",
                                           "file");
        TCLAP::ValueArg<std::string> settings("s", "settings", "Settings file to run with", false,
                                              "", "file");
        line.xorAdd(check, settings);
        line.parse(argc, argv);
        checkOnly = check.isSet();
        file = checkOnly ? check.getValue() : settings.getValue();
    } catch (const TCLAP::ArgException &problem) {
        fmt::print(stderr, "{}: {}; see --help\n", problem.argId(), problem.error());
        return EXIT_FAILURE;
    }
    auto settings = bamboogap::loadSettings(file);
    if (!settings)
        return printProblems(settings.error());
    if (checkOnly) {
        fmt::print("{}: settings are valid\n", file);
        return EXIT_SUCCESS;
    }
    auto daemon = bamboogap::Daemon::start(std::move(*settings));
    if (!daemon)
        return printProblems({ daemon.error() });
    (*daemon)->run();
    return EXIT_SUCCESS;
}
