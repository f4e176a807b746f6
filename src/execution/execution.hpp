/// Umbrella header of the `execution` package: components that entries and sides share.
#pragma once

#include "execution/configuration_endpoints.hpp"
#include "execution/configuration_follower.hpp"
#include "execution/operator_server.hpp"
#include "execution/snapshot_store.hpp"
#include "execution/suspicion_exchange.hpp"
