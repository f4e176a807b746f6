/// Forward declarations of the `base` package.
#pragma once

namespace bilberryseam {
class error;
class identifier_generator;
struct identifier;
struct ip_endpoint;
enum class error_kind;
}
