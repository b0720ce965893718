"""The socket options of connections to endpoints.

By them a dead path is noticed, and little waits unread of what an endpoint sends.
"""

import socket

IDLE_S = 2
INTERVAL_S = 1
PROBES = 3
# On Linux this also ends a connection whose keep-alive probes are unanswered, whatever
# their count, so it must not be shorter than all of them take.
USER_TIMEOUT_MS = 1000 * (IDLE_S + PROBES * INTERVAL_S)

RECEIVE_BUFFER_BYTES = 131_072

# Unanswered probes show that the network path no longer has a connection.
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
)
