/// Umbrella header of the `fakes` package: test doubles for the tests and the demo.
#pragma once

#include "fakes/fake_link.hpp"
#include "fakes/fake_target.hpp"
#include "fakes/platform_store.hpp"
#include "fakes/soup_faults.hpp"
