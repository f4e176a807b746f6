/// Umbrella header of the `settings` package: command lines and validated settings files.
#pragma once

#include "settings/command_line.hpp"
#include "settings/entry_settings.hpp"
#include "settings/gateway_settings.hpp"
#include "settings/option_values.hpp"
#include "settings/settings_file.hpp"
#include "settings/side_settings.hpp"
