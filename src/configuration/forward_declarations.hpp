/// Forward declarations of the `configuration` package.
#pragma once

namespace bilberryseam::configuration {
enum class service_kind;
struct account;
struct model;
struct note_verdict;
struct pipeline;
struct policy;
struct region_price;
struct service;
struct snapshot;
struct stage;
struct state;
struct target;
}
