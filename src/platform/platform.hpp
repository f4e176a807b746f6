/// Umbrella header of the `platform` package: clients of the platform's store, log streams and instance list.
#pragma once

#include "platform/instance_list.hpp"
#include "platform/log_client.hpp"
#include "platform/store_client.hpp"
