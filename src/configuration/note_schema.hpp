/// JSON schema of release notes. docs/CONFIGURATION.md documents each key.
#pragma once

#include <string_view>

namespace bilberryseam::configuration::detail {

inline constexpr std::string_view noteSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["schema", "note"],
  "properties": {
    "schema": { "type": "integer", "minimum": 1 },
    "note": { "$ref": "#/definitions/name" },
    "author": { "type": "string", "maxLength": 200 },
    "allowEmptyStages": { "type": "boolean" },
    "added": { "$ref": "#/definitions/objects" },
    "changed": { "$ref": "#/definitions/objects" },
    "withdrawn": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "services": { "$ref": "#/definitions/withdrawals" },
        "targets": { "$ref": "#/definitions/withdrawals" },
        "pipelines": { "$ref": "#/definitions/withdrawals" },
        "accounts": { "$ref": "#/definitions/withdrawals" },
        "models": { "$ref": "#/definitions/withdrawals" },
        "prices": { "$ref": "#/definitions/withdrawals" },
        "policies": { "$ref": "#/definitions/withdrawals" }
      }
    }
  },
  "definitions": {
    "name": { "type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$" },
    "endpoint": { "type": "string", "pattern": "^(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[0-9]{1,5}$" },
    "basedOn": { "type": "integer", "minimum": 0 },
    "withdrawals": {
      "type": "array",
      "maxItems": 10000,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "basedOn"],
        "properties": { "name": { "type": "string" }, "basedOn": { "$ref": "#/definitions/basedOn" } }
      }
    },
    "objects": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "services": { "type": "array", "items": { "$ref": "#/definitions/service" } },
        "targets": { "type": "array", "items": { "$ref": "#/definitions/target" } },
        "pipelines": { "type": "array", "items": { "$ref": "#/definitions/pipeline" } },
        "accounts": { "type": "array", "items": { "$ref": "#/definitions/account" } },
        "models": { "type": "array", "items": { "$ref": "#/definitions/model" } },
        "prices": { "type": "array", "items": { "$ref": "#/definitions/price" } },
        "policies": { "type": "array", "items": { "$ref": "#/definitions/policy" } }
      }
    },
    "service": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "kind"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "basedOn": { "$ref": "#/definitions/basedOn" },
        "kind": { "enum": ["engine", "pool", "plain"] },
        "path": { "type": "string", "pattern": "^/[^\\s]*$" },
        "repeatable": { "type": "boolean" },
        "checksFencing": { "type": "boolean" },
        "maxQueue": { "type": "integer", "minimum": 0, "maximum": 100000 }
      }
    },
    "target": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "service", "region", "side", "address"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "basedOn": { "$ref": "#/definitions/basedOn" },
        "service": { "$ref": "#/definitions/name" },
        "instance": { "$ref": "#/definitions/name" },
        "region": { "$ref": "#/definitions/name" },
        "failureDomain": { "$ref": "#/definitions/name" },
        "side": { "$ref": "#/definitions/endpoint" },
        "address": { "$ref": "#/definitions/endpoint" },
        "capacity": { "type": "integer", "minimum": 1, "maximum": 100000 }
      }
    },
    "pipeline": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "stages"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "basedOn": { "$ref": "#/definitions/basedOn" },
        "deadlineMs": { "type": "integer", "minimum": 1, "maximum": 600000 },
        "maxBodyBytes": { "type": "integer", "minimum": 1, "maximum": 4000000 },
        "stages": {
          "type": "array",
          "minItems": 1,
          "maxItems": 16,
          "items": {
            "type": "object",
            "additionalProperties": false,
            "required": ["name", "service"],
            "properties": {
              "name": { "$ref": "#/definitions/name" },
              "service": { "$ref": "#/definitions/name" },
              "model": { "type": "string", "maxLength": 200 },
              "maxTokens": { "type": "integer", "minimum": 1, "maximum": 1000000 }
            }
          }
        }
      }
    },
    "account": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "basedOn": { "$ref": "#/definitions/basedOn" },
        "weight": { "type": "number", "minimum": 0.001, "maximum": 1000000 },
        "maxInFlight": { "type": "integer", "minimum": 1, "maximum": 1000000 }
      }
    },
    "model": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "service", "version"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "basedOn": { "$ref": "#/definitions/basedOn" },
        "service": { "$ref": "#/definitions/name" },
        "version": { "type": "string", "maxLength": 100 },
        "adapters": { "type": "array", "items": { "type": "string", "maxLength": 200 } },
        "weightBytes": { "type": "integer", "minimum": 0 }
      }
    },
    "price": {
      "type": "object",
      "additionalProperties": false,
      "required": ["from", "to", "perGib"],
      "properties": {
        "basedOn": { "$ref": "#/definitions/basedOn" },
        "from": { "$ref": "#/definitions/name" },
        "to": { "$ref": "#/definitions/name" },
        "perGib": { "type": "number", "minimum": 0 }
      }
    },
    "policy": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name"],
      "properties": {
        "name": { "enum": ["default"] },
        "basedOn": { "$ref": "#/definitions/basedOn" },
        "mode": { "enum": ["baseline", "weighted"] },
        "attainmentWeight": { "type": "number", "minimum": 0 },
        "costWeight": { "type": "number", "minimum": 0 },
        "hedgePercent": { "type": "number", "minimum": 0, "maximum": 100 },
        "retryPercent": { "type": "number", "minimum": 0, "maximum": 100 }
      }
    }
  }
})json";
}
