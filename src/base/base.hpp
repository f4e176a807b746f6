/// Umbrella header of the `base` package: identifiers, time, endpoints, errors, results, hashing, JSON.
#pragma once

#include "base/endpoint.hpp"
#include "base/error.hpp"
#include "base/forward_declarations.hpp"
#include "base/hash.hpp"
#include "base/identifier.hpp"
#include "base/json_schema.hpp"
#include "base/json_text.hpp"
#include "base/result.hpp"
#include "base/time.hpp"
