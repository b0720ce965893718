Feature: A planned stop keeps what it has taken, and takes only what can end in time
  Callers keep an address for a while after the instance has left the directory, so
  requests come until late in a planned stop. One that could outlast it is refused as not
  run, so that its caller goes elsewhere, instead of being cut off at the end.

  Scenario: A stream that could outlast a planned stop is refused, and every other one ends
    Given a site whose streams last 1 s, and planned stops of 4 s
    When streams with a deadline of 2 s keep coming to instance 1 until it has stopped
    Then every stream that a model server received ended whole or at its deadline
    And every other answer came before the deadline: 503, code 1502, a time to come back and a close
    And streams were taken until 1 s after the stop began or later, and some refused

  Scenario: What is under way at the limit of a planned stop is ended without a false promise
    Given a site whose streams last 3.2 s, and planned stops of 1 s
    And no tool server answers
    When instance 1 is stopped while an unsafe request and a stream are under way
    Then the unsafe request is answered 504 with code 1224, since the limit is reached
    And the stream has begun and is broken off

  Scenario: On the own interface, what is under way at the limit may have run
    Given an own entry whose engines answer slowly, and planned stops of 1 s
    When it is stopped while a whole answer is awaited
    Then its caller is answered 504 with code 1224, since the limit is reached

  Scenario Outline: A planned stop takes only what has a known end within it
    Given a shutdown that holds for 6 s and is limited to 7.5 s
    When a request comes <at> s after its start and ends <end>
    Then the request is <outcome>

    Examples:
      | at  | end             | outcome |
      | 0.0 | within 7.4 s    | taken   |
      | 0.0 | within 7.6 s    | refused |
      | 0.0 | at no set time  | taken   |
      | 3.4 | within 4.0 s    | taken   |
      | 3.6 | within 4.0 s    | refused |
      | 5.9 | within 1.2 s    | taken   |
      | 6.2 | within 1.2 s    | taken   |
      | 6.4 | within 1.2 s    | refused |
      | 6.1 | at no set time  | refused |
      | 7.5 | within 0.0 s    | refused |

  Scenario: An instance that stops counts what it has taken since the last count
    Given a shutdown that holds for 6 s and is limited to 7.5 s
    When no request is in flight at 5.9 s, and the clock reaches 6 s
    Then the process goes on until no request is in flight at 6.1 s

  Scenario Outline: A planned stop uses the time until the process is killed
    Given settings that hold for <hold> s, with a limit of <limit> s and a grace of <grace> s
    Then requests are taken without an end for <held> s, and ended after <ended> s

    Examples:
      | hold | limit | grace | held | ended |
      | 2.5  | 60    | 8     | 2.5  | 7.5   |
      | 2.5  | 60    | 20    | 2.5  | 19.5  |
      | 2.5  | 3     | 8     | 2.5  | 3     |
      | 2.5  | 60    | 2     | 1.5  | 1.5   |
      | 5    | 60    | 0     | 5    | 60    |

  Scenario: Requests end at the limit of a planned stop, and the process soon after
    Given a shutdown that holds for 6 s and is limited to 7.5 s
    When 2 requests are in flight from 7 s on
    Then they are ended at 7.5 s, and the process ends at 7.7 s
