Feature: An answer without end fills no memory and holds up no reader
  A faulty server may send bytes until it is closed. Each reader of something outside
  stops at a bound of its own.

  # Guards against processes that run out of memory at a faulty server (LOST).
  Scenario Outline: <reader> without end is given up
    Given a server that answers without end
    When <reader> is read from it
    Then the read has ended after at most 20 MB

    Examples:
      | reader                    |
      | an order's confirmation   |
      | the list of instances     |
      | the list of servers       |
      | a load report             |
      | the list of held requests |
      | a release's confirmation  |

  Scenario Outline: <reader> that comes byte by byte is given up
    Given a server that answers without end, a byte each 0.1 s
    When <reader> is read from it
    Then the read has ended after at most 20 MB

    Examples:
      | reader                |
      | the list of instances |
      | the list of servers   |

  Scenario: A peer's acknowledgement without end is given up
    Given a peer that acknowledges a batch with a message of 2 GB
    When a message is sent to it
    Then it could send at most 12 MB

  Scenario: An encoded answer is not decoded
    When an answer is read whose 64 MB are encoded twice, in a few hundred bytes
    Then that took at most 4 MB of memory
