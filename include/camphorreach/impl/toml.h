// The TOML library, without its internal assertions.
//
// Version 3.3 has an assertion that some malformed keys violate. Without it the parser reports the
// error; with it, a build without NDEBUG would abort on an operator's input.
#pragma once

#define TOML_ASSERT(expression) static_cast<void>(0)

#include <toml++/toml.h>
