Feature: An endpoint's answers are read completely, and only by their own requests

  Scenario Outline: An answer with <answer> is read to its end
    Given an endpoint that answers with <answer>
    When a request is sent to it
    Then the answer's body is "whole" within 1 s

    Examples:
      | answer                                  |
      | a length                                |
      | a length and the end of its connection  |
      | chunks and the end of its connection    |
      | no length but the end of its connection |
      | an extra answer of another request first |

  Scenario Outline: An answer of <answer> is reported as broken
    Given an endpoint that answers with <answer>
    When a request is sent to it
    Then the answer is broken within 1 s

    Examples:
      | answer                        |
      | fewer bytes than its length   |
      | chunks without their end      |
      | bytes that are no answer      |
      | a reset in place of an answer |

  Scenario: A connection with bytes after its answer is not used again
    Given an endpoint that answers with a length and an extra answer behind it
    When a request is sent to it
    Then the answer's body is "whole" within 1 s
    And the connection is not used again

  Scenario: A connection outlives a silence that is shorter than all keep-alive probes take
    Given an endpoint that answers with a length
    When a request is sent to it
    Then the connection's user timeout is no shorter than its keep-alive probes take

  Scenario Outline: Bytes that are no answer and never end do not hold a request: <answer>
    Given an endpoint that answers with <answer>
    When a request is sent to it
    Then the answer is broken within 1 s

    Examples:
      | answer                                |
      | a head without end                    |
      | interim answers without end           |
      | an extra answer whose body has no end |

  Scenario: An event without end is not kept in memory
    When 64 MB of an event without end come from an endpoint
    Then the event is given up after at most 2 MB

  Scenario Outline: On the own interface, <answer> without end is given up
    Given an endpoint of the own interface that answers with <answer> without end
    When a pooled client reads at most 1 MB of its answer
    Then the read has failed within 3 s

    Examples:
      | answer          |
      | a head          |
      | a body          |
      | interim answers |
