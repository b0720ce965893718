"""The configuration of a small deployment, like that of the site files."""

from typing import Any

HOST = "site.example"
KEY = "3fexd9dnn2ctnfzs989a"
CHAT = "/chat/"
DRAFT = "/draft/"
PING = "/ping/"
ORDER = "/order/"


def build_configuration(version: int = 7) -> dict[str, Any]:
    """Build a configuration with a route for each kind of request."""
    chat = _build_route("r-chat", CHAT, "streaming", "lm-pool", 4000, 200)
    draft = _build_route("r-draft", DRAFT, "streaming", "lm-pool", 4000, 200)
    return {
        "version": version,
        "routes": [
            chat | {"retained": True, "sticky": True, "max-gap-ms": 200},
            draft | {"resumable": True, "sticky": True, "max-gap-ms": 200},
            _build_route("r-ping", PING, "safe", "member-app", 1200, 120)
            | {"max-attempts": 2},
            _build_route("r-order", ORDER, "unsafe", "member-app", 3000, 400),
        ],
        "services": [
            {
                "name": "lm-pool",
                "health-path": "/healthz",
                "max-conns": 180,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 16,
                    "kv-capacity": 122817,
                    "event-tokens": 9,
                    "models": [{"name": "m"}],
                },
            },
            _build_service("member-app"),
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {
                "name": "hule930",
                "api-keys": [KEY],
                "priority": 1,
                "rate-per-s": 200,
                "burst": 200,
            }
        ],
    }


def _build_route(
    name: str, prefix: str, kind: str, service: str, timeout_ms: int, objective_ms: int
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "route-kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": objective_ms,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "retained": False,
        "retention-s": 60.0,
        "public": False,
        "sticky": False,
        "resumable": False,
    }


def _build_service(name: str) -> dict[str, Any]:
    return {
        "name": name,
        "health-path": "/healthz",
        "max-conns": 110,
        "protocol": "h1",
        "tls": False,
    }


def add_route(
    configuration: dict[str, Any], name: str, prefix: str, service: str
) -> None:
    """Add a route for unsafe requests and its new service."""
    configuration["version"] += 1
    configuration["services"].append(_build_service(service))
    configuration["routes"].append(
        _build_route(name, prefix, "unsafe", service, 3000, 400)
    )
