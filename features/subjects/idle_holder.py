"""Hold idle connections open, as a process with file descriptors of its own."""

import resource
import socket
import sys

READY = "ready"


def hold(host: str, port: int, count: int) -> None:
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    held = [socket.create_connection((host, port)) for _ in range(count)]
    print(READY, len(held), flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    hold(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
