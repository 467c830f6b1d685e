// Defines Catch2's main() in one translation unit.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
