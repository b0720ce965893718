"""The socket options by which connections to endpoints notice a dead path."""

import socket

IDLE_S = 2
INTERVAL_S = 1
PROBES = 3
# On Linux this also ends a connection whose keep-alive probes are unanswered, whatever
# their count, so it must not be shorter than all of them take.
USER_TIMEOUT_MS = 1000 * (IDLE_S + PROBES * INTERVAL_S)

# Unanswered probes show that the network path no longer has a connection.
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)
