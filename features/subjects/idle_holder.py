"""A process that keeps idle connections open.

As a separate process, it has a limit of open files of its own.
"""

import resource
import socket
import sys

READY = "ready"


def keep_connections(host: str, port: int, count: int) -> None:
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    connections = [socket.create_connection((host, port)) for _ in range(count)]
    print(READY, len(connections), flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    keep_connections(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
