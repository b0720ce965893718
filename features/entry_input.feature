Feature: Faulty input affects only its sender

  Scenario Outline: A faulty request gets a numbered refusal that says not run
    Given an entry site for faulty input
    When a caller sends a request that is "<fault>"
    Then the faulty input is refused with code <code>
    And a good request on another connection is answered

    Examples:
      | fault               | code |
      | oversized           | 1002 |
      | malformed           | 1001 |
      | not completion      | 1001 |
      | slow in its body    | 1004 |
      | with a header twice | 1001 |
      | of a negative turn  | 1001 |
      | to no route         | 1003 |
      | with a dot segment  | 1001 |

  Scenario Outline: A connection that breaks the protocol is closed
    Given an entry site for faulty input
    When a caller opens a connection that is "<fault>"
    Then the connection ends within the idle bound
    And a good request on another connection is answered

    Examples:
      | fault                   |
      | sending noise           |
      | of a wrong version      |
      | half-closed             |
      | silent within a header  |
      | endless in a header     |

  Scenario: The memory for request bodies is limited
    Given an entry site for faulty input with 100000 bytes of memory for bodies
    When 8 callers pause within bodies of more than 30000 bytes
    Then some of them are refused with code 1302 and the memory is released

  Scenario: Many idle callers do not affect others
    Given an entry site for faulty input
    When 10000 callers connect and stay idle
    Then a good request on another connection is answered
