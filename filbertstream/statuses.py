"""The HTTP statuses that this system uses, and their reason phrases."""

from typing import Final

OK: Final = 200
CREATED: Final = 201
MULTIPLE_CHOICES: Final = 300
BAD_REQUEST: Final = 400
UNAUTHORIZED: Final = 401
FORBIDDEN: Final = 403
NOT_FOUND: Final = 404
TIMEOUT: Final = 408
CONFLICT: Final = 409
GONE: Final = 410
TOO_LARGE: Final = 413
MISDIRECTED: Final = 421
UNPROCESSABLE: Final = 422
TOO_MANY_REQUESTS: Final = 429
FIELDS_TOO_LARGE: Final = 431
INTERNAL_SERVER_ERROR: Final = 500
NOT_IMPLEMENTED: Final = 501
BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504

REASONS: Final[dict[int, str]] = {
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
