/// Umbrella header of the `configuration` package: objects, release notes, their fold, snapshots, peer synchronization.
#pragma once

#include "configuration/fold.hpp"
#include "configuration/forward_declarations.hpp"
#include "configuration/note.hpp"
#include "configuration/objects.hpp"
#include "configuration/peer_sync.hpp"
#include "configuration/snapshot.hpp"
#include "configuration/state.hpp"
