Feature: Connections of callers
  A server on a real socket: /read reads a body of up to 100,000 bytes, /skip answers
  without reading it, /break begins an answer and breaks it off.

  Scenario Outline: <what>
    Given a server of callers
    When a caller sends "<what>"
    Then the answers have the statuses <statuses>, and the connection is <end>

    Examples:
      | what                                   | statuses    | end    |
      | three requests ahead                   | 200 200 200 | kept   |
      | a body that it waits to be asked for   | 100 200     | kept   |
      | a body that nobody asks for            | 200         | closed |
      | a short body that is not read          | 200 200     | kept   |
      | a long body that is not read           | 200         | closed |
      | a body announced as too long           | 413         | closed |
      | a body that becomes too long           | 413         | closed |
      | chunks that are none                   | 400         | closed |
      | a question for headers only            | 200 200     | kept   |
      | an old request                         | 200         | closed |
      | a request that is the last             | 200         | closed |
      | an upgrade to websocket                | 200 200     | kept   |
      | the preface of HTTP/2                  | 505         | closed |
      | noise                                  | 400         | closed |
      | a head that is too long                | 431         | closed |
      | a head without end                     |             | closed |
      | nothing                                |             | closed |
      | a body that stops                      | 408         | closed |

  Scenario: A head is closed by its own limit, though an idle connection came before
    Given a server of callers
    When a caller stays idle, and another one never ends its head
    Then the head was closed first

  Scenario: An answer that is broken off never looks complete
    Given a server of callers
    When a caller of HTTP/1.0 and one of HTTP/1.1 get answers that are broken off
    Then neither takes its answer for whole

  Scenario: A caller that reads nothing of an answer is given up while others wait
    Given a server of callers with little room
    When a caller asks for an answer that takes all room, and reads nothing
    Then another caller's large request is served
