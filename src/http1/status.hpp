/// The HTTP status codes that this project sends or handles.
#pragma once

namespace bilberryseam::http1 {

inline constexpr unsigned statusOk = 200;
inline constexpr unsigned statusBadRequest = 400;
inline constexpr unsigned statusUnauthorized = 401;
inline constexpr unsigned statusNotFound = 404;
inline constexpr unsigned statusTimeout = 408;
inline constexpr unsigned statusConflict = 409;
inline constexpr unsigned statusGone = 410;
inline constexpr unsigned statusBodyTooLarge = 413;
inline constexpr unsigned statusMisdirected = 421;
inline constexpr unsigned statusTooManyRequests = 429;
inline constexpr unsigned statusHeaderTooLarge = 431;
inline constexpr unsigned statusInternalError = 500;
inline constexpr unsigned statusBadGateway = 502;
inline constexpr unsigned statusUnavailable = 503;
inline constexpr unsigned statusGatewayTimeout = 504;
inline constexpr unsigned statusInsufficientStorage = 507;
}
