Feature: Bad input harms nobody but its sender

  Scenario Outline: A faulty request gets a numbered refusal that says not run
    Given an entry site for bad input
    When a caller sends a request that is "<fault>"
    Then the bad input is refused with code <code>
    And a good request on another connection is answered

    Examples:
      | fault               | code |
      | oversized           | 1002 |
      | malformed           | 1001 |
      | not completion      | 1001 |
      | slow in its body    | 1004 |
      | doubled in a header | 1001 |
      | of a wrong turn     | 1001 |
      | to no route         | 1003 |
      | with a dot segment  | 1001 |

  Scenario Outline: A connection that breaks the protocol is closed
    Given an entry site for bad input
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

  Scenario: Bodies under way are bounded in memory
    Given an entry site for bad input that holds at most 100000 bytes of bodies
    When 8 callers hold bodies of 30000 bytes open
    Then some of them are refused with code 1302 and the memory is given back

  Scenario: Many idle callers leave others unharmed
    Given an entry site for bad input
    When 10000 callers connect and stay idle
    Then a good request on another connection is answered
