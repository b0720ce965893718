Feature: Clients that don't behave end no process
  Real processes with the memory and descriptors of the smallest machines. A crowd of
  clients stays connected while one ordinary request is sent.

  Scenario Outline: A crowd on the caller port, <crowd>
    Given real processes on small machines
    When a crowd comes with <crowd>
    Then every process lives within its machine
    And an ordinary request is answered meanwhile

    Examples:
      | crowd                                             |
      | 40 bodies announced as 10 GB                      |
      | 40 chunked bodies without end                     |
      | 8 bodies in chunks of two bytes                   |
      | 80 bodies that lack their last byte               |
      | 80 whole orders                                   |
      | 80 whole orders and unread answers                |
      | 80 whole drafts                                   |
      | 80 whole chats                                    |
      | 4 series of 25 kept turns                         |
      | 8 connections with 1 MB of requests sent ahead    |
      | 160 connections with 64 kB of requests sent ahead |
      | 160 connections with 1 MB of requests sent ahead  |
      | 12 endless answers                                |
      | 12 endless streams                                |
      | 12 endless chats                                  |
      | 12 endless streams that stay unread               |
      | 20 upgrades to websocket                          |
      | 20 upgrades to h2c                                |
      | 20 connections of HTTP/2 without TLS              |

  Scenario Outline: A crowd on the <port> port, <crowd>
    Given real processes on small machines
    When a crowd comes to the <port> port with <crowd>
    Then every process lives within its machine
    And an ordinary request is answered meanwhile

    Examples:
      | port              | crowd                                |
      | operator          | 80 bodies that lack their last byte  |
      | operator          | 80 whole configurations              |
      | operator          | 40 chunked bodies without end        |
      | directory         | 40 chunked bodies without end        |
      | ready             | 40 chunked bodies without end        |
      | entry's metrics   | 40 chunked bodies without end        |
      | store's peer      | 20 connections of HTTP/2 without TLS |
      | entry's peer      | 20 connections of HTTP/2 without TLS |

  Scenario Outline: More <crowd> than there are descriptors, on the <port> port
    Given real processes on small machines with 600 descriptors
    When a crowd comes to the <port> port with 800 <crowd>
    Then every process lives within its machine
    And an ordinary request is answered meanwhile

    Examples:
      | port              | crowd            |
      | caller            | idle connections |
      | caller            | unfinished heads |
      | operator          | idle connections |
      | directory         | unfinished heads |
      | ready             | idle connections |
      | entry's metrics   | idle connections |
      | entry's peer      | idle connections |
      | control's peer    | unfinished heads |
      | store's peer      | idle connections |
      | store's metrics   | unfinished heads |

  Scenario: Requests that ask for a refused upgrade are not read on without end
    Given real processes on small machines
    When a crowd comes with 20 upgrades to websocket
    Then each of the crowd was sent away before it had sent all

  Scenario: An unfinished head is given up before an idle connection is
    Given real processes on small machines
    When a connection that has had an answer stays idle while a head is unfinished
    Then the unfinished head is closed, and the idle connection serves another request

  Scenario Outline: A single largest request is served in calm, <form>, on <path>
    Given real processes on small machines
    When the largest request is sent to <path>, <form>
    Then every process lives within its machine
    And the largest request was answered

    Examples:
      | path     | form      |
      | /order/1 | whole     |
      | /order/1 | in chunks |
      | /draft/1 | whole     |
      | /draft/1 | in chunks |
      | /chat/1  | whole     |
      | /chat/1  | in chunks |

  Scenario: A connection that was idle for four fifths of the limit serves a request
    Given real processes on small machines with an idle limit of 5 seconds
    When a connection that has had an answer stays idle for 4 seconds
    Then it serves another request
