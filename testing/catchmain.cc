// Catch's main, compiled once for all tests.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
